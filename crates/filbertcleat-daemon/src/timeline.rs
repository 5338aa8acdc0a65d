//! The event timeline of a process.

use std::collections::VecDeque;

use filbertcleat_base::HybridClock;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_base::Timestamp;
use filbertcleat_operate::Event;
use filbertcleat_operate::EventKind;
use filbertcleat_operate::TimelinePage;

/// A ring buffer of the latest events of a process.
#[derive(Debug)]
pub(crate) struct Timeline {
    node: NodeName,
    clock: HybridClock,
    events: VecDeque<Event>,
    /// The number of events that the ring buffer has dropped.
    dropped: u64,
}

impl Timeline {
    /// The capacity of the ring buffer.
    const EVENTS_MAX: usize = 8192;

    pub fn new(node: NodeName) -> Self {
        Self { node, clock: HybridClock::default(), events: VecDeque::new(), dropped: 0 }
    }

    /// Returns a hybrid-clock timestamp for a message to a peer.
    pub fn stamp(&mut self, wall_ms: u64) -> Timestamp {
        self.clock.stamp(wall_ms)
    }

    /// Advances the hybrid clock past the timestamp of a peer's message.
    pub fn observe(&mut self, wall_ms: u64, stamp: Timestamp) {
        self.clock.observe(wall_ms, stamp);
    }

    /// Adds an event and logs it; events that come with every request are logged at debug level.
    pub fn add(
        &mut self,
        wall_ms: u64,
        kind: EventKind,
        request: Option<&RequestId>,
        detail: String,
    ) {
        let stamp = self.clock.stamp(wall_ms);
        let event =
            Event { stamp, node: self.node.clone(), kind, request: request.cloned(), detail };
        if kind.is_per_request() {
            log::debug!("{event}");
        } else {
            log::info!("{event}");
        }

        if self.events.len() >= Self::EVENTS_MAX {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the events since a wall-clock time, either of one request or of all.
    pub fn page(&self, request: Option<&str>, since_ms: u64) -> TimelinePage {
        let matches = |event: &&Event| {
            let is_of_request = request.is_none_or(|request| {
                event.request.as_ref().is_some_and(|own| own.as_str() == request)
            });
            is_of_request && event.stamp.wall_ms >= since_ms
        };
        TimelinePage {
            node: self.node.clone(),
            dropped: self.dropped,
            oldest: self.events.front().map(|event| event.stamp),
            events: self.events.iter().filter(matches).cloned().collect(),
        }
    }
}
