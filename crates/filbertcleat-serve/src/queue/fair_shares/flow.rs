//! The requests of a workspace for a service at a priority.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::vec;

use super::EngineTime;
use super::FlowKey;
use super::LateRequests;
use super::VirtualTimes;

/// The requests of a workspace for a service at a priority.
#[derive(Debug)]
pub(super) struct Flow {
    pub key: FlowKey,
    /// The prompt tokens and the largest number of output tokens of each queued request, by number.
    pub queued: BTreeMap<u64, (u64, u64)>,
    /// The virtual time: where the flow began, plus the engine time that it was given since.
    pub used_ms: f64,
    /// The engine time of the last request that was sent.
    pub last_ms: f64,
}

impl Flow {
    /// Creates a flow that was given no engine time.
    pub fn new(key: FlowKey) -> Self {
        Self { key, queued: BTreeMap::new(), used_ms: 0.0, last_ms: 0.0 }
    }

    /// Returns the engine time of the queued requests.
    pub fn queued_ms(&self, time: EngineTime) -> f64 {
        self.queued.values().map(|(prompt, output)| time.of(*prompt, *output)).sum()
    }

    /// Returns whether the flow has nothing queued and is not ahead of the others.
    pub fn is_settled(&self, times: &VirtualTimes) -> bool {
        self.queued.is_empty() && self.used_ms <= self.key.virtual_ms(times)
    }
}

/// The next request of a flow, while the order of all requests is determined.
#[derive(Debug)]
pub(super) struct FlowHead {
    pub priority: u8,
    pub number: u64,
    /// The virtual time at which the request starts, relative to that of the service.
    start_ms: f64,
    /// The number of requests of the flow from this one on. Of two flows that start at the same
    /// time, the one with fewer requests is first: it is not the reason for the wait.
    left: usize,
    /// The engine time of the request.
    time_ms: f64,
    /// The requests after this one.
    queued: vec::IntoIter<(u64, (u64, u64))>,
    time: EngineTime,
}

impl FlowHead {
    /// Returns the first request of a flow, or `None` if none is queued.
    pub fn first(
        flow: &Flow,
        virtual_ms: f64,
        time: EngineTime,
        late: &LateRequests,
    ) -> Option<Self> {
        let queued = flow.queued.iter().map(|(number, tokens)| (*number, *tokens));
        let mut queued: Vec<_> = queued.collect();
        if !late.is_empty() {
            queued.sort_by_key(|(number, _)| late.get(number));
        }
        let mut head = Self {
            priority: flow.key.priority,
            number: 0,
            start_ms: (flow.used_ms - virtual_ms).max(0.0),
            left: flow.queued.len() + 1,
            time_ms: 0.0,
            queued: queued.into_iter(),
            time,
        };
        head.advance().then_some(head)
    }

    /// Moves to the next request of the flow, and returns whether there is one.
    pub fn advance(&mut self) -> bool {
        let Some((number, (prompt_tokens, output_tokens))) = self.queued.next() else {
            return false;
        };
        self.number = number;
        self.start_ms += self.time_ms;
        self.time_ms = self.time.of(prompt_tokens, output_tokens);
        self.left -= 1;
        true
    }
}

impl Ord for FlowHead {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_start = || self.start_ms.total_cmp(&other.start_ms);
        let by_rest = || (self.left, self.number).cmp(&(other.left, other.number));
        self.priority.cmp(&other.priority).then_with(by_start).then_with(by_rest)
    }
}

impl PartialOrd for FlowHead {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for FlowHead {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for FlowHead {}
