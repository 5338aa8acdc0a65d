//! The operators' client filbertcleat.

fn main() {}
