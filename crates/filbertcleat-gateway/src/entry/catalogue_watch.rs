//! Watches the catalogue and applies its events to the state of the entry.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;

use super::state::Entry;
use crate::Catalogue;
use crate::CatalogueDelays;
use crate::CatalogueResponse;
use crate::Dialect;
use crate::Topic;

/// How long a call of the servers' topic waits for changes. The list of backend servers changes with
/// every heartbeat, so that calls wait briefly and are spaced by a pause.
const SERVERS_WAIT: Duration = Duration::from_millis(500);
/// The pause after a failed call. It grows by this much with each further failure; it is short at
/// first because most failures are transient.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause after a failed call.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);

/// Watches a topic of the catalogue for as long as the process runs.
pub(super) async fn watch_catalogue<C: Catalogue, D: Dialect>(
    entry: Rc<Entry<D>>,
    catalogue: C,
    topic: Topic,
) {
    let delays = entry.settings.catalogue_delays;
    let mut watcher = CatalogueWatcher { entry, topic, cursor: None, failures: 0 };
    loop {
        let outcome = match watcher.cursor {
            None => catalogue.list(topic).await,
            Some(after) => catalogue.watch(topic, after, wait_for(topic, delays)).await,
        };
        let pause = watcher.apply(outcome);
        tokio::time::sleep(pause).await;
    }
}

struct CatalogueWatcher<D: Dialect> {
    entry: Rc<Entry<D>>,
    topic: Topic,
    cursor: Option<u64>,
    failures: u32,
}

impl<D: Dialect> CatalogueWatcher<D> {
    /// Applies the result of a call and returns the pause until the next one.
    fn apply(&mut self, outcome: Result<CatalogueResponse, Fault>) -> Duration {
        match outcome {
            Ok(CatalogueResponse::Events { events, cursor }) => {
                self.on_success();
                for event in events {
                    self.entry.apply_event(event);
                }
                self.cursor = Some(cursor);
                match self.topic {
                    Topic::Operators => Duration::ZERO,
                    Topic::Servers => servers_pause(self.entry.settings.catalogue_delays),
                }
            }
            Ok(CatalogueResponse::CursorExpired) => {
                log::info!("event=catalogue-lapsed topic={}", self.topic.as_str());
                self.on_success();
                self.cursor = None;
                Duration::ZERO
            }
            Err(fault) => {
                if self.failures == 0 {
                    let topic = self.topic.as_str();
                    log::warn!("event=catalogue-lost topic={topic} reason=\"{fault}\"");
                }
                self.failures += 1;
                (RETRY_PAUSE * self.failures).min(RETRY_PAUSE_MAX)
            }
        }
    }

    /// Records a successful call, and the recovery if earlier calls had failed.
    fn on_success(&mut self) {
        self.entry.on_catalogue_response(self.topic);
        if self.failures == 0 {
            return;
        }
        let (topic, failures) = (self.topic.as_str(), self.failures);
        log::info!("event=catalogue-regained topic={topic} failures={failures}");
        self.failures = 0;
        if self.topic == Topic::Servers {
            let now = self.entry.now();
            self.entry.state.borrow_mut().fleet.on_catalogue_regained(now);
        }
    }
}

/// Returns how long a call of a topic waits for changes.
///
/// A call of the operators' topic returns at the first change, so that a long wait costs time only
/// if the connection goes silent. Then this wait and the time limit of the call, which is as long,
/// both pass before the next call. They must fit within the time after which a process is out of
/// touch and the time for a configuration to come into force.
fn wait_for(topic: Topic, delays: CatalogueDelays) -> Duration {
    match topic {
        Topic::Operators => {
            Duration::from_millis(delays.contact_ms.midpoint(delays.configuration_ms))
        }
        Topic::Servers => SERVERS_WAIT,
    }
}

/// Returns the pause between two calls of the servers' topic: half of the time in which a draining
/// server has to be known. The rest is for a call that is slow or has to be repeated.
fn servers_pause(delays: CatalogueDelays) -> Duration {
    Duration::from_millis(delays.draining_ms / 2)
}
