//! Following the catalogue.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;

use super::state::Entry;
use crate::Catalogue;
use crate::CatalogueResponse;
use crate::Dialect;
use crate::Topic;

/// A call waits for changes this long. It ends as soon as there is one, so a long wait costs time only
/// if the connection falls silent: then this and the call's own time limit have to pass within
/// the time in which a deployment counts a process as out of touch, and that of a configuration
/// to come into force, five seconds together.
const OPERATORS_WAIT: Duration = Duration::from_millis(2_500);
/// The list of backend servers changes with every heartbeat, so each call waits little and the next
/// one comes later: leaving servers have to be known within two seconds.
const SERVERS_WAIT: Duration = Duration::from_millis(500);
/// The pause between two calls for the list, which is half of the time in which a leaving server has
/// to be left.
const SERVERS_PAUSE: Duration = Duration::from_secs(1);
/// The pauses after calls that failed: short at first, since most failures pass.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);

/// Follows a topic of the catalogue for as long as the process runs.
pub(super) async fn follow<C: Catalogue, D: Dialect>(
    entry: Rc<Entry<D>>,
    catalogue: C,
    topic: Topic,
) {
    let mut follower = Follower { entry, topic, cursor: None, failures: 0 };
    loop {
        let outcome = match follower.cursor {
            None => catalogue.list(topic).await,
            Some(after) => catalogue.watch(topic, after, wait(topic)).await,
        };
        let pause = follower.take_in(outcome);
        tokio::time::sleep(pause).await;
    }
}

struct Follower<D: Dialect> {
    entry: Rc<Entry<D>>,
    topic: Topic,
    cursor: Option<u64>,
    failures: u32,
}

impl<D: Dialect> Follower<D> {
    /// Takes in what a call brought and returns the pause until the next one.
    fn take_in(&mut self, outcome: Result<CatalogueResponse, Fault>) -> Duration {
        match outcome {
            Ok(CatalogueResponse::Events { events, cursor }) => {
                self.regain();
                for event in events {
                    self.entry.learn(event);
                }
                self.cursor = Some(cursor);
                match self.topic {
                    Topic::Operators => Duration::ZERO,
                    Topic::Servers => SERVERS_PAUSE,
                }
            }
            Ok(CatalogueResponse::CursorExpired) => {
                log::info!("event=catalogue-lapsed topic={}", self.topic.as_str());
                self.regain();
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

    fn regain(&mut self) {
        self.entry.hears(self.topic);
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

fn wait(topic: Topic) -> Duration {
    match topic {
        Topic::Operators => OPERATORS_WAIT,
        Topic::Servers => SERVERS_WAIT,
    }
}
