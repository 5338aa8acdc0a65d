//! Events of the configuration.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use tokio::sync::oneshot;

/// An event of the configuration.
#[derive(Debug)]
pub(crate) enum ConfigEvent {
    /// A fetch of newer versions from the store or a peer has ended.
    Fetched {
        /// The whole configuration that the patches follow, if one was fetched.
        snapshot: Option<Box<Configuration>>,
        /// The patches after the snapshot or the version in force.
        patches: Vec<Patch>,
        /// Whether the patches reach the newest version that the source knows.
        reached_head: bool,
    },
    /// An operator's patch was accepted or refused.
    Published {
        /// The submitted patch.
        patch: Patch,
        /// The version that the patch became, or the reason for the refusal.
        outcome: Result<ConfigVersion, PatchError>,
        /// The channel to the waiting operator.
        reply: oneshot::Sender<Result<ConfigVersion, PatchError>>,
    },
}
