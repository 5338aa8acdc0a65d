//! Whether a replica can be used.

/// Whether a replica can be used, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It answers.
    Live,
    /// It has been silent for a while and is only avoided.
    Suspect,
    /// It takes no new work.
    NotReady,
    /// It is gone.
    Gone,
}
