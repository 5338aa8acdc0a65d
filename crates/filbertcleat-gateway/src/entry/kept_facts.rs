//! Keeps marks of crashes in the catalogue, and learns from there while no agent tells any.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::Step;
use filbertcleat_base::mix_hashes;
use filbertcleat_serve::EpochChange;
use filbertcleat_serve::Fact;
use filbertcleat_serve::KeepStep;
use filbertcleat_serve::KeptRow;
use filbertcleat_serve::RouteRow;

use super::call_limits::watch_limits;
use super::catalogue_watch::log_regained;
use super::facts::FactSource;
use super::facts::hears_holders;
use super::facts::merge_facts;
use super::state::Entry;
use crate::Catalogue;
use crate::CatalogueData;
use crate::CatalogueEvent;
use crate::CatalogueResponse;
use crate::Dialect;
use crate::KeepOutcome;
use crate::KeepResponse;
use crate::Topic;

/// How often the entry checks whether it still hears the agents that hold facts, besides at each
/// change of the facts.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps marks in the catalogue for as long as the process runs.
pub(super) async fn keep_facts<C: Catalogue, D: Dialect>(entry: Rc<Entry<D>>, catalogue: C) {
    let mut restores = entry.catalogue_restores();
    let mut keeper = FactKeeper { entry, cursor: 0, list_bytes: 0, failures: 0 };
    loop {
        tokio::select! {
            biased;
            // A call that is open has a version of an earlier epoch.
            _ = restores.changed() => keeper.on_restored(),
            () = keeper.take_step(&catalogue) => {}
        }
    }
}

struct FactKeeper<D: Dialect> {
    entry: Rc<Entry<D>>,
    cursor: u64,
    list_bytes: usize,
    failures: u32,
}

impl<D: Dialect> FactKeeper<D> {
    async fn take_step<C: Catalogue>(&mut self, catalogue: &C) {
        let now = self.entry.now();
        let step = {
            let state = &mut *self.entry.state.borrow_mut();
            let is_isolated = !hears_holders(now, state);
            state.kept.step(now, state.fleet.facts().crashes(), is_isolated)
        };
        match step {
            KeepStep::Read => {
                let response = catalogue.list(Topic::Facts).await;
                self.apply(response, now, true);
            }
            KeepStep::Watch => {
                let delays = self.entry.settings.catalogue_delays;
                let limits = watch_limits(Topic::Facts, delays, false, self.list_bytes);
                let response = tokio::select! {
                    () = self.entry.facts_changed.notified() => return,
                    response = catalogue.watch(Topic::Facts, self.cursor, limits) => response,
                };
                self.apply(response, now, false);
            }
            KeepStep::Write(row) => {
                let response = catalogue.keep(&row).await;
                self.apply_write(row, response, now);
            }
            KeepStep::Wait { until } => {
                let pause = until.map(|until| Duration::from_millis(until.ms_since(now).max(1)));
                let pause = pause.unwrap_or(CHECK_INTERVAL).min(CHECK_INTERVAL);
                // Both only end the wait.
                let _ = tokio::time::timeout(pause, self.entry.facts_changed.notified()).await;
            }
        }
    }

    /// Applies the response to a list or watch call.
    fn apply(&mut self, response: CatalogueResponse, began_at: MonoTime, is_list: bool) {
        let CatalogueResponse { epoch, result } = response;
        let data = match self.check_epoch(epoch, result) {
            Ok(data) => data,
            Err(fault) => return self.on_failed(&fault, began_at),
        };
        let CatalogueData::Events { events, cursor, size_bytes } = data else {
            let now = self.entry.now();
            return self.entry.state.borrow_mut().kept.on_outdated(now);
        };
        self.on_success();
        self.cursor = cursor;
        self.list_bytes = if is_list { size_bytes } else { self.list_bytes.max(size_bytes) };
        // A watch call without a change says nothing of a row; a list without it, that there is none.
        let (mut row, mut routes) =
            (is_list.then(KeptRow::default), is_list.then(RouteRow::default));
        for event in events {
            match event {
                CatalogueEvent::Kept(kept) => row = Some(kept),
                CatalogueEvent::Routes(kept) => routes = Some(kept),
                CatalogueEvent::Deployment(_)
                | CatalogueEvent::AdapterVersion { .. }
                | CatalogueEvent::Listing(_)
                | CatalogueEvent::Origins(_) => {}
            }
        }
        if let Some(routes) = routes {
            self.apply_routes(&routes);
        }
        if let Some(row) = row {
            self.merge(&row);
            self.entry.state.borrow_mut().kept.on_read(row);
        }
    }

    fn apply_routes(&self, row: &RouteRow) {
        let now = self.entry.now();
        self.entry.state.borrow_mut().origins.routes.on_read(now, row);
        self.entry.routes_changed.notify_one();
        log::info!(
            "event=routes-read version={} routes={}",
            row.version,
            row.routes.as_ref().map_or("-".to_owned(), |routes| routes.len().to_string()),
        );
    }

    fn apply_write(&mut self, row: KeptRow, response: KeepResponse<KeptRow>, began_at: MonoTime) {
        let KeepResponse { epoch, result } = response;
        match self.check_epoch(epoch, result) {
            Ok(KeepOutcome::Written { version }) => {
                self.on_success();
                log::info!("event=facts-kept marks={} version={version}", row.marks.len());
                self.entry.state.borrow_mut().kept.on_written(KeptRow { version, ..row });
            }
            Ok(KeepOutcome::Conflict(current)) => {
                self.on_success();
                self.merge(&current);
                let (now, draw) = (self.entry.now(), self.draw());
                self.entry.state.borrow_mut().kept.on_conflict(now, current, draw);
            }
            Err(fault) => self.on_failed(&fault, began_at),
        }
    }

    /// Returns the result of a call, unless the response is of another epoch of the catalogue.
    fn check_epoch<T>(&self, epoch: Option<u64>, result: Result<T, Fault>) -> Result<T, Fault> {
        if epoch.is_none() && result.is_err() {
            // Without a response there is no epoch to compare.
            return result;
        }
        match self.entry.observe_catalogue_epoch(Topic::Facts, epoch) {
            EpochChange::Unchanged => result,
            EpochChange::Outdated | EpochChange::Restored => {
                let reason = "the catalogue was restored from a copy";
                Err(Fault::new(Step::Store, Topic::Facts.as_str(), reason))
            }
        }
    }

    fn merge(&self, row: &KeptRow) {
        let facts: Vec<Fact> = row.marks.iter().copied().map(Fact::Crash).collect();
        let news = merge_facts(&self.entry, &facts, FactSource::Catalogue);
        if !facts.is_empty() {
            let (marks, version) = (facts.len(), row.version);
            log::info!("event=facts-read marks={marks} version={version} new={}", news.len());
        }
    }

    fn on_restored(&self) {
        let (now, draw) = (self.entry.now(), self.draw());
        self.entry.state.borrow_mut().kept.on_restored(now, draw);
    }

    fn on_failed(&mut self, fault: &Fault, began_at: MonoTime) {
        let now = self.entry.now();
        self.failures += 1;
        self.entry.on_catalogue_failure(Topic::Facts, self.failures, now.ms_since(began_at), fault);
        self.entry.state.borrow_mut().kept.on_failed(now);
    }

    fn on_success(&mut self) {
        log_regained(Topic::Facts, std::mem::take(&mut self.failures));
    }

    fn draw(&self) -> u64 {
        mix_hashes(self.entry.incarnation, self.entry.now().as_us())
    }
}
