//! The queue of an agent.

mod position;
mod target_queue;

use std::collections::BTreeSet;
use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_config::QueuePolicy;

pub(super) use self::position::QueuePosition;
pub(super) use self::position::QueuedRequest;
pub(super) use self::target_queue::LoadCandidate;
use self::target_queue::TargetQueue;
use super::AttemptRequest;
use super::slots::Slots;
use crate::Target;

/// Queued requests, grouped by target and ordered by start tag within each class.
///
/// The tags implement start-time fair queueing: a tag is the arrival time, moved back by a distant
/// deadline and by the excess of the adapter's requests over its fair share.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_target: HashMap<Target, TargetQueue>,
    by_class: [BTreeSet<QueuePosition>; 2],
    positions: HashMap<AttemptId, QueuePosition>,
    next_sequence: u64,
    over_share_count: usize,
}

impl Queue {
    /// The share of a backend server's capacity that one adapter may use before its tags are
    /// delayed.
    const FAIR_SHARE: f64 = 0.9;
    /// The number of calls by which an adapter may exceed its share before its requests count as
    /// backfill.
    const BURST_CALLS: f64 = 16.0;
    /// The most that a distant deadline may delay a request's tag.
    const DEADLINE_DELAY_MAX_MS: u64 = 600_000;
    /// How long before its deadline a request should start.
    const DEADLINE_LEAD_MS: u64 = 60_000;

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of requests beyond their adapters' shares.
    pub fn len_over_share(&self) -> usize {
        self.over_share_count
    }

    /// Returns the number of requests of a class.
    pub fn len_of_class(&self, class: Class) -> usize {
        self.by_class[class as usize].len()
    }

    /// Adds a request.
    ///
    /// `spacing_ms` is the mean time between two call starts on a fully loaded backend server.
    pub fn push(&mut self, policy: QueuePolicy, request: AttemptRequest, spacing_ms: f64) {
        let queue = self.by_target.entry(request.target.clone()).or_default();
        let class = match policy {
            QueuePolicy::Grouped => request.class,
            QueuePolicy::Fifo => Class::Routine,
        };
        let base = base_tag(&request);
        let tag = match policy {
            QueuePolicy::Grouped => {
                queue.next_tag(class, base, (spacing_ms / Self::FAIR_SHARE) as u64)
            }
            QueuePolicy::Fifo => request.arrived_at,
        };
        let over_share = tag > base.plus_ms((spacing_ms * Self::BURST_CALLS) as u64);

        self.over_share_count += usize::from(over_share);
        self.next_sequence += 1;
        let position = QueuePosition {
            class,
            tag,
            sequence: self.next_sequence,
            target: request.target.clone(),
        };
        self.by_class[class as usize].insert(position.clone());
        self.positions.insert(request.attempt.clone(), position.clone());
        queue.insert(&position, QueuedRequest { request, over_share });
    }

    /// Returns the position of the first request for `target` in a class.
    pub fn first_position(&self, target: &Target, class: Class) -> Option<&QueuePosition> {
        self.by_target.get(target)?.first_position(class)
    }

    /// Returns whether any request for `target` is queued.
    pub fn has_requests_for(&self, target: &Target) -> bool {
        self.by_target.get(target).is_some_and(|queue| !queue.is_empty())
    }

    /// Returns the position of the first request for `target` in a class, unless that request is
    /// beyond its adapter's share.
    pub fn first_position_in_share(&self, target: &Target, class: Class) -> Option<&QueuePosition> {
        let (position, queued) = self.by_target.get(target)?.first_entry(class)?;
        (!queued.over_share).then_some(position)
    }

    /// Returns the number of requests for `target` within its adapter's share.
    pub fn len_in_share(&self, target: &Target) -> usize {
        self.by_target.get(target).map_or(0, TargetQueue::len_in_share)
    }

    /// Removes the request at a position.
    pub fn take(&mut self, position: &QueuePosition) -> Option<QueuedRequest> {
        let queue = self.by_target.get_mut(&position.target)?;
        let queued = queue.remove(position)?;
        self.by_class[position.class as usize].remove(position);
        self.positions.remove(&queued.request.attempt);
        self.over_share_count -= usize::from(queued.over_share);
        Some(queued)
    }

    /// Removes the request of an attempt.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<QueuedRequest> {
        let position = self.positions.get(attempt)?.clone();
        self.take(&position)
    }

    /// Removes all requests for `target`.
    pub fn drain_target(&mut self, target: &Target) -> Vec<QueuedRequest> {
        let positions: Vec<_> =
            self.by_target.get(target).map(TargetQueue::positions).unwrap_or_default();
        positions.iter().filter_map(|position| self.take(position)).collect()
    }

    /// Removes all requests, in queue order.
    pub fn drain_all(&mut self) -> Vec<QueuedRequest> {
        let positions: Vec<_> = self.by_class.iter().flatten().cloned().collect();
        positions.iter().filter_map(|position| self.take(position)).collect()
    }

    /// Returns the arrival time of the oldest request for an adapter.
    pub fn oldest_arrival(&self, adapter: &AdapterRef) -> Option<MonoTime> {
        self.by_target.get(&Target::Adapter(adapter.clone()))?.oldest_arrival()
    }

    /// Returns the adapters that have queued requests and are not loaded.
    pub fn unloaded_adapters<'a>(
        &'a self,
        slots: &'a Slots,
    ) -> impl Iterator<Item = &'a AdapterRef> {
        self.by_target
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .filter_map(|(target, _)| target.adapter())
            .filter(|adapter| !slots.is_loaded(adapter))
    }

    /// Returns the number of adapters that have queued key-account requests and are not loaded.
    pub fn count_unloaded_key_account(&self, slots: &Slots) -> usize {
        let has_key_account = |adapter: &&AdapterRef| {
            self.first_position(&Target::Adapter(AdapterRef::clone(adapter)), Class::KeyAccount)
                .is_some()
        };
        if self.len_of_class(Class::KeyAccount) == 0 {
            0
        } else {
            self.unloaded_adapters(slots).filter(has_key_account).count()
        }
    }

    /// Returns the most urgent loads that queued requests need, the most urgent first.
    ///
    /// `urgency_factor` scales all urgencies of this backend server.
    pub fn load_candidates(
        &mut self,
        now: MonoTime,
        policy: QueuePolicy,
        urgency_factor: f64,
        may_load: impl Fn(&AdapterRef) -> bool,
    ) -> Vec<LoadCandidate> {
        self.remove_idle_queues(now);
        let mut candidates: Vec<_> = self
            .by_target
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .filter_map(|(target, queue)| Some((target.adapter()?, queue)))
            .filter(|(adapter, _)| may_load(adapter))
            .filter_map(|(adapter, queue)| queue.load_candidate(now, adapter, urgency_factor))
            .collect();

        let kept = candidates.len().min(Slots::LOAD_REQUESTS_MAX);
        let order = |left: &LoadCandidate, right: &LoadCandidate| match policy {
            QueuePolicy::Grouped => {
                let class = left.request.class.cmp(&right.request.class);
                let urgency = right.request.urgency.total_cmp(&left.request.urgency);
                class.then(urgency).then_with(|| left.position.cmp(&right.position))
            }
            QueuePolicy::Fifo => left.position.cmp(&right.position),
        };
        if candidates.len() > kept {
            candidates.select_nth_unstable_by(kept, order);
            candidates.truncate(kept);
        }
        candidates.sort_by(order);
        candidates
    }

    /// Removes empty queues whose tags have been reached, once they outnumber the queued requests.
    fn remove_idle_queues(&mut self, now: MonoTime) {
        const QUEUES_KEPT_MIN: usize = 64;
        if self.by_target.len() > QUEUES_KEPT_MIN.max(self.positions.len() * 2) {
            self.by_target.retain(|_, queue| !queue.is_empty() || queue.has_future_tag(now));
        }
    }
}

/// Returns the tag of a request without the delay by its adapter's fair share.
fn base_tag(request: &AttemptRequest) -> MonoTime {
    let Some(deadline) = request.deadline else {
        return request.arrived_at;
    };
    let slack_ms = deadline.ms_since(request.arrived_at).saturating_sub(Queue::DEADLINE_LEAD_MS);
    request.arrived_at.plus_ms(slack_ms.min(Queue::DEADLINE_DELAY_MAX_MS))
}
