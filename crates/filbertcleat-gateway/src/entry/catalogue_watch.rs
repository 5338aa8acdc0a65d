//! Watches the catalogue and applies its events to the state of the entry.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::Step;
use filbertcleat_serve::EpochChange;
use tokio::time::Instant;

use super::call_limits::prompt_limits;
use super::call_limits::servers_pause;
use super::call_limits::watch_limits;
use super::state::Entry;
use crate::Catalogue;
use crate::CatalogueData;
use crate::CatalogueResponse;
use crate::Dialect;
use crate::Topic;

/// The shortest pause between two calls that requests wait for.
const WANTED_PAUSE: Duration = Duration::from_millis(250);
/// The time from the start of a failed call to the next call. It grows by this much with each
/// further failure; it is short at first because most failures are transient.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// The longest time from the start of a failed call to the next call, unless the call took longer.
const RETRY_INTERVAL_MAX: Duration = Duration::from_millis(600);

/// Watches a topic of the catalogue for as long as the process runs.
pub(super) async fn watch_catalogue<C: Catalogue, D: Dialect>(
    entry: Rc<Entry<D>>,
    catalogue: C,
    topic: Topic,
) {
    let delays = entry.settings.catalogue_delays;
    let mut restores = entry.catalogue_restores();
    let mut watcher = CatalogueWatcher {
        entry,
        topic,
        cursor: None,
        list_bytes: 0,
        failures: 0,
        is_wanted: false,
    };
    loop {
        let cursor = watcher.cursor;
        let step = async {
            let mut began_at = watcher.entry.now();
            let response = match cursor {
                None => catalogue.list(topic).await,
                Some(after) => {
                    let prompt = prompt_limits(topic, watcher.list_bytes);
                    let limits = if watcher.is_wanted || watcher.failures > 0 {
                        prompt
                    } else {
                        let has_workspaces = watcher.entry.has_workspaces();
                        watch_limits(topic, delays, has_workspaces, watcher.list_bytes)
                    };
                    let open = catalogue.watch(topic, after, limits);
                    if let Some(response) = watcher.unless_wanted(open).await {
                        response
                    } else {
                        began_at = watcher.entry.now();
                        catalogue.watch(topic, after, prompt).await
                    }
                }
            };
            let pause = watcher.apply(response, began_at);
            watcher.pause(pause).await;
        };
        tokio::select! {
            biased;
            // A call of either topic showed the restore. An open call is given up: its cursor is of
            // an earlier epoch, and its connection may have gone silent.
            _ = restores.changed() => watcher.cursor = None,
            () = step => {}
        }
    }
}

struct CatalogueWatcher<D: Dialect> {
    entry: Rc<Entry<D>>,
    topic: Topic,
    cursor: Option<u64>,
    /// The size of the last list of the topic, or of changes after it that were larger.
    list_bytes: usize,
    failures: u32,
    /// Whether a request waits for the next response.
    is_wanted: bool,
}

impl<D: Dialect> CatalogueWatcher<D> {
    /// Pauses until the next call, which comes sooner if a request waits for its response.
    async fn pause(&mut self, pause: Duration) {
        self.is_wanted = false;
        let end = Instant::now() + pause;
        tokio::time::sleep(pause.min(WANTED_PAUSE)).await;
        if self.topic == Topic::Servers && self.failures == 0 {
            let wanted = self.entry.list_wanted.notified();
            self.is_wanted = tokio::time::timeout_at(end, wanted).await.is_ok();
        } else {
            tokio::time::sleep_until(end).await;
        }
    }

    /// Waits for the response to a call, unless a request wants the configuration as of now. The call
    /// may have begun long before, and proves nothing until it ends.
    async fn unless_wanted(
        &self,
        call: impl Future<Output = CatalogueResponse>,
    ) -> Option<CatalogueResponse> {
        if self.topic != Topic::Operators {
            return Some(call.await);
        }
        let wanted = async {
            tokio::time::sleep(WANTED_PAUSE).await;
            self.entry.configuration_wanted.notified().await;
        };
        tokio::select! {
            biased;
            response = call => Some(response),
            () = wanted => None,
        }
    }

    /// Applies a response and returns the pause until the next call.
    fn apply(&mut self, response: CatalogueResponse, began_at: MonoTime) -> Duration {
        let CatalogueResponse { epoch, result } = response;
        // Without a response there is no epoch to compare.
        let change = if epoch.is_some() || result.is_ok() {
            self.entry.observe_catalogue_epoch(self.topic, epoch)
        } else {
            EpochChange::Unchanged
        };
        match (change, result) {
            (EpochChange::Outdated, _) => {
                let reason = "the response is of an epoch that has ended";
                self.on_failure(&Fault::new(Step::Store, self.topic.as_str(), reason), began_at)
            }
            (EpochChange::Unchanged | EpochChange::Restored, Err(fault)) => {
                self.on_failure(&fault, began_at)
            }
            // The next call lists the topic; the data may belong to a cursor of an earlier epoch.
            (EpochChange::Restored, Ok(_)) => {
                self.on_success();
                Duration::ZERO
            }
            (EpochChange::Unchanged, Ok(data)) => self.on_data(data, began_at),
        }
    }

    /// Applies the data of a response of the current epoch.
    fn on_data(&mut self, data: CatalogueData, began_at: MonoTime) -> Duration {
        self.on_success();
        match data {
            CatalogueData::Events { events, cursor, size_bytes } => {
                self.entry.on_catalogue_data(self.topic);
                if self.topic == Topic::Operators && !events.is_empty() {
                    let call = if self.cursor.is_none() { "list" } else { "watch" };
                    log::info!(
                        "event=catalogue-changes topic=operators call={call} events={} \
                         bytes={size_bytes} took_ms={}",
                        events.len(),
                        self.entry.now().ms_since(began_at),
                    );
                }
                for event in events {
                    self.entry.apply_event(event);
                }
                self.entry.on_topic_read(self.topic, began_at, self.cursor.is_none());
                if self.topic == Topic::Servers {
                    self.entry.on_listing_read(cursor);
                }
                let is_list = self.cursor.is_none();
                self.list_bytes =
                    if is_list { size_bytes } else { self.list_bytes.max(size_bytes) };
                self.cursor = Some(cursor);
                match self.topic {
                    Topic::Operators | Topic::Facts | Topic::Origins => Duration::ZERO,
                    // Missing servers may come back, or others may show that they have left.
                    Topic::Servers if self.entry.state.borrow().fleet.has_unlisted() => {
                        WANTED_PAUSE
                    }
                    Topic::Servers => servers_pause(self.entry.settings.catalogue_delays),
                }
            }
            CatalogueData::Oversized => {
                let (topic, list_bytes) = (self.topic.as_str(), self.list_bytes);
                log::info!("event=catalogue-oversized topic={topic} list_bytes={list_bytes}");
                self.cursor = None;
                Duration::ZERO
            }
            CatalogueData::CursorExpired => {
                log::info!("event=catalogue-lapsed topic={}", self.topic.as_str());
                self.cursor = None;
                Duration::ZERO
            }
        }
    }

    /// Records a failed call. Returns the pause until the next call.
    fn on_failure(&mut self, fault: &Fault, began_at: MonoTime) -> Duration {
        let now = self.entry.now();
        self.failures += 1;
        let took_ms = now.ms_since(began_at);
        self.entry.on_catalogue_failure(self.topic, self.failures, took_ms, fault);
        if self.topic == Topic::Servers {
            let contact_ms = self.entry.settings.catalogue_delays.contact_ms;
            self.entry.state.borrow_mut().fleet.on_catalogue_lost(now, contact_ms);
        }
        let interval = (RETRY_INTERVAL * self.failures).min(RETRY_INTERVAL_MAX);
        interval.saturating_sub(now.since(began_at))
    }

    /// Records a successful call, and the recovery if earlier calls had failed.
    fn on_success(&mut self) {
        let failures = std::mem::take(&mut self.failures);
        log_regained(self.topic, failures);
        if failures > 0 && self.topic == Topic::Servers {
            let now = self.entry.now();
            self.entry.state.borrow_mut().fleet.on_catalogue_regained(now);
        }
    }
}

/// Logs the first call of a topic that succeeded after `failures` others, if there were any.
pub(super) fn log_regained(topic: Topic, failures: u32) {
    if failures > 0 {
        let topic = topic.as_str();
        log::info!("event=catalogue-regained topic={topic} failures={failures}");
    }
}
