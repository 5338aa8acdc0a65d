//! The queued requests for one target.

use std::collections::BTreeMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;

use super::QueuePosition;
use super::QueuedRequest;
use crate::LoadRequest;

/// The queued requests for one target, by class.
#[derive(Debug, Default)]
pub(super) struct TargetQueue {
    requests: [BTreeMap<QueuePosition, QueuedRequest>; 2],
    /// The earliest tag of the next request, per class.
    last_tag: [MonoTime; 2],
    /// The sum of the arrival times per class, from which the total waiting time is derived.
    arrival_sum_ms: [u64; 2],
    /// The number of requests beyond the adapter's share.
    over_share_count: usize,
}

impl TargetQueue {
    /// The weight of a key-account request relative to a routine request.
    const KEY_ACCOUNT_WEIGHT: f64 = 4.0;
    /// The waiting time after which a request counts twice towards the urgency.
    const AGE_DOUBLING_S: f64 = 20.0;

    /// Returns the tag of the next request, and delays the tag after it by `spacing_ms`.
    ///
    /// The tags of an adapter that exceeds its fair share fall behind those of other adapters.
    pub fn next_tag(&mut self, class: Class, earliest: MonoTime, spacing_ms: u64) -> MonoTime {
        let tag = earliest.max(self.last_tag[class as usize]);
        self.last_tag[class as usize] = tag.plus_ms(spacing_ms);
        tag
    }

    /// Adds a request at a position.
    pub fn insert(&mut self, position: &QueuePosition, queued: QueuedRequest) {
        self.over_share_count += usize::from(queued.over_share);
        self.arrival_sum_ms[position.class as usize] += queued.request.arrived_at.as_ms();
        self.requests[position.class as usize].insert(position.clone(), queued);
    }

    /// Removes the request at a position.
    pub fn remove(&mut self, position: &QueuePosition) -> Option<QueuedRequest> {
        let queued = self.requests[position.class as usize].remove(position)?;
        self.over_share_count -= usize::from(queued.over_share);
        self.arrival_sum_ms[position.class as usize] -= queued.request.arrived_at.as_ms();
        Some(queued)
    }

    /// Returns the number of requests within the adapter's share.
    pub fn len_in_share(&self) -> usize {
        let all: usize = self.requests.iter().map(BTreeMap::len).sum();
        all - self.over_share_count
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.iter().all(BTreeMap::is_empty)
    }

    /// Returns whether a tag lies in the future, so that the queue has to be kept for fairness even
    /// while it is empty.
    pub fn has_future_tag(&self, now: MonoTime) -> bool {
        self.last_tag.iter().any(|tag| *tag > now)
    }

    /// Returns the first position of a class.
    pub fn first_position(&self, class: Class) -> Option<&QueuePosition> {
        self.requests[class as usize].keys().next()
    }

    /// Returns the first position of a class with its request.
    pub fn first_entry(&self, class: Class) -> Option<(&QueuePosition, &QueuedRequest)> {
        self.requests[class as usize].first_key_value()
    }

    /// Returns the positions of all requests.
    pub fn positions(&self) -> Vec<QueuePosition> {
        self.requests.iter().flat_map(BTreeMap::keys).cloned().collect()
    }

    /// Returns the arrival time of the oldest request.
    pub fn oldest_arrival(&self) -> Option<MonoTime> {
        self.requests
            .iter()
            .flat_map(BTreeMap::values)
            .map(|queued| queued.request.arrived_at)
            .min()
    }

    /// Returns the load that the queued requests need, or `None` if none is queued.
    pub fn load_candidate(
        &self,
        now: MonoTime,
        adapter: &AdapterRef,
        urgency_factor: f64,
    ) -> Option<LoadCandidate> {
        let position = self.requests.iter().filter_map(|list| list.keys().next()).min()?;
        let (key_account_urgency, key_account_growth) = self.urgency(now, Class::KeyAccount);
        let (urgency, growth) = self.urgency(now, Class::Routine);

        let request = LoadRequest {
            adapter: adapter.clone(),
            class: position.class,
            urgency: (key_account_urgency * Self::KEY_ACCOUNT_WEIGHT + urgency) * urgency_factor,
            urgency_growth_per_s: (key_account_growth * Self::KEY_ACCOUNT_WEIGHT + growth)
                * urgency_factor,
        };
        Some(LoadCandidate { request, position: position.clone() })
    }

    /// Returns the urgency of a class and its growth per second.
    ///
    /// Each request counts 1, plus its waiting time in units of `AGE_DOUBLING_S`.
    fn urgency(&self, now: MonoTime, class: Class) -> (f64, f64) {
        let count = self.requests[class as usize].len() as u64;
        let age_sum_ms = (count * now.as_ms()).saturating_sub(self.arrival_sum_ms[class as usize]);
        let growth = count as f64 / Self::AGE_DOUBLING_S;
        (count as f64 + age_sum_ms as f64 / 1000.0 / Self::AGE_DOUBLING_S, growth)
    }
}

/// A load that queued requests need.
#[derive(Clone, Debug)]
pub(in crate::agent) struct LoadCandidate {
    pub request: LoadRequest,
    /// The position of the first of these requests.
    pub position: QueuePosition,
}
