//! The ring of a process's events.

use std::collections::VecDeque;

use filbertcleat_base::HybridClock;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_base::Timestamp;
use filbertcleat_operate::Event;
use filbertcleat_operate::EventKind;
use filbertcleat_operate::TimelinePage;

/// Keeps the last events of a process.
#[derive(Debug)]
pub(crate) struct Timeline {
    node: NodeName,
    clock: HybridClock,
    ring: VecDeque<Event>,
    dropped: u64,
}

impl Timeline {
    /// The number of events kept.
    const EVENTS_MAX: usize = 8192;

    pub fn new(node: NodeName) -> Self {
        Self { node, clock: HybridClock::default(), ring: VecDeque::new(), dropped: 0 }
    }

    /// Returns a stamp for a message to a peer.
    pub fn stamp(&mut self, wall_ms: u64) -> Timestamp {
        self.clock.stamp(wall_ms)
    }

    /// Takes in the stamp of a peer's message.
    pub fn observe(&mut self, wall_ms: u64, stamp: Timestamp) {
        self.clock.observe(wall_ms, stamp);
    }

    /// Adds an event, and writes it to the log.
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

        if self.ring.len() >= Self::EVENTS_MAX {
            self.ring.pop_front();
            self.dropped += 1;
        }
        self.ring.push_back(event);
    }

    /// Returns the events since a time, of one request or of all.
    pub fn page(&self, request: Option<&str>, since_ms: u64) -> TimelinePage {
        let wanted = |event: &&Event| {
            let same = request.is_none_or(|request| {
                event.request.as_ref().is_some_and(|own| own.as_str() == request)
            });
            same && event.stamp.wall_ms >= since_ms
        };
        TimelinePage {
            node: self.node.clone(),
            dropped: self.dropped,
            oldest: self.ring.front().map(|event| event.stamp),
            events: self.ring.iter().filter(wanted).cloned().collect(),
        }
    }
}
