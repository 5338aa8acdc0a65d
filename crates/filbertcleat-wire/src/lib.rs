//! The gRPC services and messages between filbertcleat processes, generated from
//! `proto/filbertcleat.proto`.

/// Version 1 of the protocol.
pub mod v1 {
    include!("generated/filbertcleat.v1.rs");
}
