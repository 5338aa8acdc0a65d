//! Fetches newer versions.

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

/// The most patches that are fetched before they are applied.
const PATCHES_MAX: usize = 512;

/// Reads the store's chain of patches after `version`.
pub(crate) async fn follow_store(
    table: &impl Table,
    objects: &impl ObjectStore,
    version: ConfigVersion,
) -> ConfigEvent {
    let mut found = None;
    if version == ConfigVersion::default() {
        found = snapshot::read_snapshot(table, objects).await.map(Box::new);
    }

    let mut next = found.as_ref().map_or(version, |configuration| configuration.version).next();
    let mut patches = Vec::new();
    let mut reached_head = false;
    while patches.len() < PATCHES_MAX {
        match table.execute(&TableOp::Read { key: patch_key(next) }).await {
            TableResult::Found { value, .. } => match Patch::parse(&value) {
                Ok(patch) => patches.push(patch),
                Err(refusal) => {
                    log::error!("event=bad-patch version={next} reason=\"{refusal}\"");
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
    ConfigEvent::Followed { snapshot: found, patches, reached_head }
}

/// Asks a peer for what it has after `version`.
pub(crate) async fn follow_peer(
    peers: &Peers,
    address: &str,
    version: ConfigVersion,
) -> ConfigEvent {
    let mut event = (None, Vec::new(), false);
    if let Ok(mut client) = peers.node(address)
        && let Ok(answer) = client.patches(v1::PatchesRequest { after: version.value() }).await
    {
        let answer = answer.into_inner();
        event.1 = answer.patches.iter().filter_map(|json| Patch::parse(json).ok()).collect();
        event.2 = true;
        if event.1.is_empty()
            && answer.head > version.value()
            && let Ok(answer) = client.snapshot(v1::SnapshotRequest {}).await
        {
            let json = answer.into_inner().configuration;
            event.0 = serde_json::from_slice::<Configuration>(&json).ok().map(Box::new);
        }
    }
    ConfigEvent::Followed { snapshot: event.0, patches: event.1, reached_head: event.2 }
}
