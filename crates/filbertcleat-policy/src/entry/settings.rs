//! The settings of an entry's decisions.

use filbertcleat_base::NodeName;

/// What an entry knows from the start.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The entry's name.
    pub node: NodeName,
    /// The seed of its random numbers.
    pub seed: u64,
}
