//! Settings of an entry.

use filbertcleat_base::NodeName;

/// The fixed properties of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of the entry.
    pub node: NodeName,
    /// The seed of the entry's random number generator.
    pub seed: u64,
}
