//! Snapshots of the configuration in the object store, so that a new process need not read every
//! patch.

use filbertcleat_config::Configuration;
use filbertcleat_platform::ObjectStore;
use filbertcleat_platform::Table;
use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;
use serde::Deserialize;
use serde::Serialize;

/// The key of the row that names the newest snapshot.
const POINTER_KEY: &str = "config/snapshot";

/// The row that names the newest snapshot.
#[derive(Debug, Deserialize, Serialize)]
struct SnapshotPointer {
    version: u64,
}

/// Reads the newest snapshot; returns `None` if there is none or it can't be read.
///
/// Without a snapshot, all patches are read from the first one, with the same result.
pub(super) async fn read_snapshot(
    table: &impl Table,
    objects: &impl ObjectStore,
) -> Option<Configuration> {
    let (_, pointer) = read_pointer(table).await?;
    let json = objects.read(&object_key(pointer.version)).await.ok()??;
    serde_json::from_slice(&json).ok()
}

/// Writes a snapshot and makes the pointer row name it, unless that names a newer one.
///
/// A failed write is not retried, since the next snapshot replaces this one.
pub(crate) async fn write_snapshot(
    table: &impl Table,
    objects: &impl ObjectStore,
    configuration: &Configuration,
) {
    let version = configuration.version.value();
    let Ok(json) = serde_json::to_vec(configuration) else {
        return;
    };
    if objects.write(&object_key(version), json).await.is_err() {
        return;
    }
    let precondition = match read_pointer(table).await {
        Some((_, pointer)) if pointer.version >= version => return,
        Some((revision, _)) => Precondition::Revision(revision),
        None => Precondition::Absent,
    };
    let Ok(value) = serde_json::to_vec(&SnapshotPointer { version }) else {
        return;
    };
    table.execute(&TableOp::Write { key: POINTER_KEY.to_owned(), precondition, value }).await;
}

/// Returns the pointer row with its revision.
async fn read_pointer(table: &impl Table) -> Option<(u64, SnapshotPointer)> {
    match table.execute(&TableOp::Read { key: POINTER_KEY.to_owned() }).await {
        TableResult::Found { revision, value } => {
            Some((revision, serde_json::from_slice(&value).ok()?))
        }
        TableResult::NotFound
        | TableResult::Written { .. }
        | TableResult::Conflict
        | TableResult::UnknownOutcome
        | TableResult::Unavailable => None,
    }
}

fn object_key(version: u64) -> String {
    format!("config/snapshot/{version}")
}
