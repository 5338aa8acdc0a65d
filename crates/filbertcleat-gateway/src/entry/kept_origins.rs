//! Keeps origins of streams in the catalogue, and reads them from there.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::Step;
use filbertcleat_base::mix_hashes;
use filbertcleat_serve::EpochChange;
use filbertcleat_serve::OriginRow;
use filbertcleat_serve::OriginWriteStep;
use filbertcleat_serve::OutdatedRow;
use filbertcleat_serve::Route;

use super::catalogue_watch::log_regained;
use super::state::Entry;
use crate::Catalogue;
use crate::CatalogueData;
use crate::CatalogueEvent;
use crate::CatalogueResponse;
use crate::Dialect;
use crate::KeepOutcome;
use crate::KeepResponse;
use crate::Topic;

/// After this time a call counts as failed. It is shorter than the time limit of the catalogue's
/// other calls, because a stream's origin is of use for some seconds only.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Records the software versions of the services that have resumable streams.
pub(super) fn observe_versions<D: Dialect>(entry: &Entry<D>) {
    let now = entry.now();
    let state = &mut *entry.state.borrow_mut();
    let routes = state.deployment.get().map_or(&[][..], |deployment| &deployment.routes);
    let is_resumable = |route: &&Route| route.retry_policy.is_resumable();
    let targets = routes.iter().filter(is_resumable).flat_map(|route| &route.targets);
    let services: BTreeSet<_> = targets.map(|target| &target.service).collect();
    for service in services {
        let versions = state.fleet.software_versions(now, service);
        state.origins.kept.observe(now, service, versions);
    }
}

/// Has the rows read as soon as the time between two lists allows it.
pub(super) fn want_read<D: Dialect>(entry: &Entry<D>) {
    entry.state.borrow_mut().origins.kept.want_read();
    entry.origins_wanted.notify_one();
}

/// Reads the rows whenever a request needs them, for as long as the process runs.
pub(super) async fn read_origins<C: Catalogue, D: Dialect>(entry: Rc<Entry<D>>, catalogue: C) {
    let mut reader = OriginReader { entry, failures: 0 };
    loop {
        reader.entry.origins_wanted.notified().await;
        let next_at = reader.entry.state.borrow().origins.kept.next_read_at();
        tokio::time::sleep_until(reader.entry.clock().instant(next_at)).await;
        let began_at = reader.entry.now();
        if !reader.entry.state.borrow_mut().origins.kept.begin_read(began_at) {
            continue;
        }
        let list = tokio::time::timeout(CALL_TIMEOUT, catalogue.list(Topic::Origins)).await;
        let outdated = reader.apply(began_at, list.ok());
        reader.entry.origin_reads.send_modify(|reads| *reads += 1);
        reader.entry.origins_changed.notify_one();
        if !outdated.is_empty() {
            reader.remove(&catalogue, &outdated).await;
        }
    }
}

/// Writes the own row whenever that is due, for as long as the process runs.
pub(super) async fn write_origins<C: Catalogue, D: Dialect>(entry: Rc<Entry<D>>, catalogue: C) {
    let mut restores = entry.catalogue_restores();
    loop {
        let now = entry.now();
        let step = entry.state.borrow_mut().origins.kept.write_step(now);
        let until = match step {
            OriginWriteStep::Write(row) => {
                let call = tokio::time::timeout(CALL_TIMEOUT, catalogue.keep_origins(&row)).await;
                apply_write(&entry, &row, call.ok());
                continue;
            }
            OriginWriteStep::Read => {
                want_read(&entry);
                None
            }
            OriginWriteStep::Wait { until } => until,
        };
        tokio::select! {
            _ = restores.changed() => entry.state.borrow_mut().origins.kept.on_restored(),
            () = entry.origins_changed.notified() => {}
            () = sleep_until(&entry, until) => {}
        }
    }
}

/// Reads the rows and logs what came of it.
struct OriginReader<D: Dialect> {
    entry: Rc<Entry<D>>,
    failures: u32,
}

impl<D: Dialect> OriginReader<D> {
    /// Applies the response to a list, `None` if it did not come in time. Returns the rows to
    /// remove.
    fn apply(
        &mut self,
        began_at: MonoTime,
        response: Option<CatalogueResponse>,
    ) -> Vec<OutdatedRow> {
        let rows = match self.rows(response) {
            Ok(rows) => rows,
            Err(fault) => {
                self.failures += 1;
                let took_ms = self.entry.now().ms_since(began_at);
                self.entry.on_catalogue_failure(Topic::Origins, self.failures, took_ms, &fault);
                self.entry.state.borrow_mut().origins.kept.on_read_failed();
                return Vec::new();
            }
        };
        log_regained(Topic::Origins, std::mem::take(&mut self.failures));
        let now = self.entry.now();
        let state = &mut *self.entry.state.borrow_mut();
        let entries = state.fleet.live_entries(now).unwrap_or(1);
        let draw = mix_hashes(self.entry.incarnation, now.as_us());
        let outdated = state.origins.kept.on_read(now, began_at, &rows, entries, draw);
        let streams = rows.iter().filter_map(|row| row.content.as_ref());
        log::info!(
            "event=origins-read rows={} unreadable={} streams={} took_ms={}",
            rows.len(),
            rows.iter().filter(|row| row.content.is_none()).count(),
            streams.map(|content| content.streams.len()).sum::<usize>(),
            now.ms_since(began_at),
        );
        outdated
    }

    fn rows(&self, response: Option<CatalogueResponse>) -> Result<Vec<OriginRow>, Fault> {
        let CatalogueResponse { epoch, result } = response.ok_or_else(timed_out)?;
        let data = check_epoch(&self.entry, Topic::Origins, epoch, result)?;
        let CatalogueData::Events { events, .. } = data else {
            return Err(fault("the list has no rows"));
        };
        let rows = events.into_iter().filter_map(|event| match event {
            CatalogueEvent::Origins(row) => Some(row),
            CatalogueEvent::Deployment(_)
            | CatalogueEvent::AdapterVersion { .. }
            | CatalogueEvent::Listing(_)
            | CatalogueEvent::Kept(_)
            | CatalogueEvent::Routes(_) => None,
        });
        Ok(rows.collect())
    }

    /// Removes outdated rows. If that fails, a later read tries it again.
    async fn remove<C: Catalogue>(&self, catalogue: &C, outdated: &[OutdatedRow]) {
        let call = tokio::time::timeout(CALL_TIMEOUT, catalogue.remove_origins(outdated)).await;
        let result = call.unwrap_or_else(|_| Err(timed_out()));
        let outcome = if result.is_ok() { "removed" } else { "failed" };
        log::info!("event=origins-removed rows={} outcome={outcome}", outdated.len());
    }
}

fn apply_write<D: Dialect>(
    entry: &Entry<D>,
    row: &OriginRow,
    response: Option<KeepResponse<OriginRow>>,
) {
    let result = response.ok_or_else(timed_out).and_then(|KeepResponse { epoch, result }| {
        check_epoch(entry, Topic::Origins, epoch, result)
    });
    let (streams, versions) = row
        .content
        .as_ref()
        .map_or((0, 0), |content| (content.streams.len(), content.versions.len()));
    let now = entry.now();
    let kept = &mut entry.state.borrow_mut().origins.kept;
    match result {
        Ok(KeepOutcome::Written { version }) => {
            log::info!(
                "event=origins-kept streams={streams} versions={versions} version={version}"
            );
            kept.on_written(version);
        }
        Ok(KeepOutcome::Conflict(current)) => {
            let (before, version) = (row.version, current.version);
            log::info!("event=origins-conflict before={before} version={version}");
            kept.on_conflict(now, &current);
        }
        Err(fault) => {
            log::warn!("event=origins-not-kept streams={streams} reason=\"{fault}\"");
            kept.on_write_failed(now);
        }
    }
}

/// Returns the result of a call, unless the response is of another epoch of the catalogue.
pub(super) fn check_epoch<D: Dialect, T>(
    entry: &Entry<D>,
    topic: Topic,
    epoch: Option<u64>,
    result: Result<T, Fault>,
) -> Result<T, Fault> {
    if epoch.is_none() && result.is_err() {
        // Without a response there is no epoch to compare.
        return result;
    }
    match entry.observe_catalogue_epoch(topic, epoch) {
        EpochChange::Unchanged => result,
        EpochChange::Outdated | EpochChange::Restored => {
            Err(Fault::new(Step::Store, topic.as_str(), "the catalogue was restored from a copy"))
        }
    }
}

fn timed_out() -> Fault {
    fault("no response in time")
}

fn fault(reason: &str) -> Fault {
    Fault::new(Step::Store, Topic::Origins.as_str(), reason)
}

/// Waits until a time; without one, for ever.
pub(super) async fn sleep_until<D: Dialect>(entry: &Entry<D>, until: Option<MonoTime>) {
    match until {
        Some(until) => tokio::time::sleep_until(entry.clock().instant(until)).await,
        None => std::future::pending().await,
    }
}
