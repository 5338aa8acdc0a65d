//! The number of a body in its ledger.

/// The number of a body in its ledger.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BodyId(pub(super) u64);
