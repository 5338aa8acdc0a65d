//! The stage of an adapter between its load and its unload.

/// The stage of an adapter between its load and its unload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdapterStage {
    /// The adapter is loaded, and requests for it may be sent.
    Loaded,
    /// The adapter is being loaded. Requests should wait for this load rather than start another.
    Loading,
    /// The adapter is about to be unloaded, and no new requests for it may be sent.
    Unloading,
}
