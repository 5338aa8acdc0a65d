//! Messages between filbertcleat's processes, generated from `proto/filbertcleat.proto`.

/// Version 1 of the protocol.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    reason = "generated code; see examples/generate.rs"
)]
pub mod v1 {
    include!("generated/filbertcleat.v1.rs");
}
