//! Fetches newer configuration versions.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;
use filbertcleat_platform::ObjectStore;
use filbertcleat_platform::Table;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;
use filbertcleat_store::patch_key;
use filbertcleat_wire::v1;

use super::ConfigEvent;
use super::snapshot;
use crate::peers::Peers;

/// The most patches that one fetch returns; the next poll fetches the rest.
const FETCHED_PATCHES_MAX: usize = 512;

/// Reads the patches after `version` from the store, starting at the newest snapshot if `version`
/// is 0.
pub(crate) async fn fetch_from_store(
    table: &impl Table,
    objects: &impl ObjectStore,
    version: ConfigVersion,
) -> ConfigEvent {
    let mut snapshot = None;
    if version == ConfigVersion::default() {
        snapshot = snapshot::read_snapshot(table, objects).await.map(Box::new);
    }

    let mut next = snapshot.as_ref().map_or(version, |configuration| configuration.version).next();
    let mut patches = Vec::new();
    let mut reached_head = false;
    while patches.len() < FETCHED_PATCHES_MAX {
        match table.execute(&TableOp::Read { key: patch_key(next) }).await {
            TableResult::Found { value, .. } => match Patch::parse(&value) {
                Ok(patch) => patches.push(patch),
                Err(error) => {
                    log::error!("event=bad-patch version={next} reason=\"{error}\"");
                    break;
                }
            },
            TableResult::NotFound => {
                reached_head = true;
                break;
            }
            TableResult::Written { .. }
            | TableResult::Conflict
            | TableResult::UnknownOutcome
            | TableResult::Unavailable => break,
        }
        next = next.next();
    }
    ConfigEvent::Fetched { snapshot, patches, reached_head }
}

/// Requests the patches after `version` from a peer, or a snapshot if the peer no longer has them.
///
/// A peer that does not answer yields an empty result.
pub(crate) async fn fetch_from_peer(
    peers: &Peers,
    address: &str,
    version: ConfigVersion,
) -> ConfigEvent {
    let mut fetched = (None, Vec::new(), false);
    if let Ok(mut client) = peers.node(address)
        && let Ok(response) = client.patches(v1::PatchesRequest { after: version.value() }).await
    {
        let response = response.into_inner();
        fetched.1 = response.patches.iter().filter_map(|json| Patch::parse(json).ok()).collect();
        fetched.2 = true;
        if fetched.1.is_empty()
            && response.head > version.value()
            && let Ok(response) = client.snapshot(v1::SnapshotRequest {}).await
        {
            let json = response.into_inner().configuration;
            fetched.0 = serde_json::from_slice::<Configuration>(&json).ok().map(Box::new);
        }
    }
    ConfigEvent::Fetched { snapshot: fetched.0, patches: fetched.1, reached_head: fetched.2 }
}
