//! Keeps the targets of routes in the catalogue, for the entries that start later.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use filbertcleat_serve::RouteRow;
use filbertcleat_serve::RouteWriteStep;

use super::kept_origins::check_epoch;
use super::kept_origins::sleep_until;
use super::state::Entry;
use crate::Catalogue;
use crate::Dialect;
use crate::KeepOutcome;
use crate::KeepResponse;
use crate::Topic;

/// After this time a write counts as failed: several times what it takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Writes the row whenever that is due, for as long as the process runs.
pub(super) async fn write_routes<C: Catalogue, D: Dialect>(entry: Rc<Entry<D>>, catalogue: C) {
    loop {
        let now = entry.now();
        let step = {
            let state = &mut *entry.state.borrow_mut();
            let entries = state.fleet.live_entries(now).unwrap_or(1);
            state.origins.routes.write_step(now, entries)
        };
        match step {
            RouteWriteStep::Write(row) => {
                let call = tokio::time::timeout(CALL_TIMEOUT, catalogue.keep_routes(&row)).await;
                apply_write(&entry, &row, call.ok());
            }
            RouteWriteStep::Wait { until } => tokio::select! {
                () = entry.routes_changed.notified() => {}
                () = sleep_until(&entry, until) => {}
            },
        }
    }
}

fn apply_write<D: Dialect>(
    entry: &Entry<D>,
    row: &RouteRow,
    response: Option<KeepResponse<RouteRow>>,
) {
    let timed_out = || Fault::new(Step::Store, Topic::Facts.as_str(), "no response in time");
    let result = response
        .ok_or_else(timed_out)
        .and_then(|KeepResponse { epoch, result }| check_epoch(entry, Topic::Facts, epoch, result));
    let now = entry.now();
    let kept = &mut entry.state.borrow_mut().origins.routes;
    match result {
        Ok(KeepOutcome::Written { version }) => {
            let routes = row.routes.as_ref().map_or(0, Vec::len);
            log::info!("event=routes-kept routes={routes} version={version}");
            kept.on_written(now, row, version);
        }
        Ok(KeepOutcome::Conflict(current)) => {
            let (before, version) = (row.version, current.version);
            log::info!("event=routes-conflict before={before} version={version}");
            kept.on_conflict(now, &current);
        }
        Err(fault) => {
            log::warn!("event=routes-not-kept reason=\"{fault}\"");
            kept.on_write_failed(now);
        }
    }
}
