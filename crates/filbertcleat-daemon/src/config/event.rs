//! News of the configuration.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use tokio::sync::oneshot;

/// News of the configuration.
#[derive(Debug)]
pub(crate) enum ConfigEvent {
    /// What the store or a peer has beyond the version in force.
    Followed {
        /// A whole configuration, if the patches begin after one.
        snapshot: Option<Box<Configuration>>,
        /// The patches that follow.
        patches: Vec<Patch>,
        /// Whether this reaches the head, as far as the source knows.
        reached_head: bool,
    },
    /// A patch has been decided.
    Published {
        /// The patch.
        patch: Patch,
        /// The version that it became, or why it was refused.
        outcome: Result<ConfigVersion, PatchError>,
        /// Where the operator waits.
        reply: oneshot::Sender<Result<ConfigVersion, PatchError>>,
    },
}
