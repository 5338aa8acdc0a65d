//! Where an adapter stands.

/// Where an adapter stands on its way to, on and off an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdapterStage {
    /// Requests may be sent for it.
    Loaded,
    /// It is on its way, and requests had better wait for it than load it elsewhere.
    Loading,
    /// It is about to be dropped, so that nothing new may be sent for it.
    Unloading,
}
