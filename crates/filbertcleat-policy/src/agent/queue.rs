//! The requests that wait at an agent.

mod group;
mod place;

use std::collections::BTreeSet;
use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_config::QueuePolicy;

use self::group::Group;
pub(super) use self::group::LoadCandidate;
pub(super) use self::place::Place;
pub(super) use self::place::Waiting;
use super::AttemptRequest;
use super::slots::Slots;
use crate::Target;

/// Waiting requests, grouped by what they run on and ordered by tags within each class.
///
/// A request's tag is its arrival, moved by its deadline and by how much its adapter asks for.
#[derive(Debug, Default)]
pub(super) struct Queue {
    groups: HashMap<Target, Group>,
    order: [BTreeSet<Place>; 2],
    places: HashMap<AttemptId, Place>,
    next_number: u64,
    over_share: usize,
}

impl Queue {
    /// The share of a backend server that one adapter may take before its tags move back.
    const FAIR_SHARE: f64 = 0.9;
    /// The calls by which an adapter may run ahead of its share before it only fills gaps.
    const BURST_CALLS: f64 = 16.0;
    /// How far a late deadline may move a request back.
    const DEADLINE_DELAY_MAX_MS: u64 = 600_000;
    /// How long before its deadline a request should start.
    const DEADLINE_LEAD_MS: u64 = 60_000;

    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns the number of requests beyond their adapters' shares.
    pub fn len_over_share(&self) -> usize {
        self.over_share
    }

    pub fn len_of(&self, class: Class) -> usize {
        self.order[class as usize].len()
    }

    /// Adds a request; `spacing_ms` is the time between two calls of a busy backend server.
    pub fn push(&mut self, policy: QueuePolicy, offer: AttemptRequest, spacing_ms: f64) {
        let group = self.groups.entry(offer.target.clone()).or_default();
        let class = match policy {
            QueuePolicy::Grouped => offer.class,
            QueuePolicy::Fifo => Class::Routine,
        };
        let base = base_tag(&offer);
        let tag = match policy {
            QueuePolicy::Grouped => {
                group.space(class, base, (spacing_ms / Self::FAIR_SHARE) as u64)
            }
            QueuePolicy::Fifo => offer.arrived_at,
        };
        let over_share = tag > base.plus_ms((spacing_ms * Self::BURST_CALLS) as u64);

        self.over_share += usize::from(over_share);
        self.next_number += 1;
        let place = Place { class, tag, number: self.next_number, target: offer.target.clone() };
        self.order[class as usize].insert(place.clone());
        self.places.insert(offer.attempt.clone(), place.clone());
        group.insert(&place, Waiting { offer, over_share });
    }

    /// Returns the place of the first request for `target` in a class.
    pub fn first(&self, target: &Target, class: Class) -> Option<&Place> {
        self.groups.get(target)?.first(class)
    }

    /// Returns whether any request waits for `target`.
    pub fn wants(&self, target: &Target) -> bool {
        self.groups.get(target).is_some_and(|group| !group.is_empty())
    }

    /// Returns the place of the first request for `target` that is within its adapter's share.
    pub fn first_in_share(&self, target: &Target, class: Class) -> Option<&Place> {
        let (place, waiting) = self.groups.get(target)?.first_waiting(class)?;
        (!waiting.over_share).then_some(place)
    }

    /// Returns the number of requests that wait for `target` within its adapter's share.
    pub fn len_in_share(&self, target: &Target) -> usize {
        self.groups.get(target).map_or(0, Group::len_in_share)
    }

    /// Takes a request out of the queue.
    pub fn take(&mut self, place: &Place) -> Option<Waiting> {
        let group = self.groups.get_mut(&place.target)?;
        let waiting = group.remove(place)?;
        self.order[place.class as usize].remove(place);
        self.places.remove(&waiting.offer.attempt);
        self.over_share -= usize::from(waiting.over_share);
        Some(waiting)
    }

    /// Removes the request of an attempt.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<Waiting> {
        let place = self.places.get(attempt)?.clone();
        self.take(&place)
    }

    /// Removes all requests for `target`.
    pub fn drain(&mut self, target: &Target) -> Vec<Waiting> {
        let places: Vec<_> = self.groups.get(target).map(Group::places).unwrap_or_default();
        places.iter().filter_map(|place| self.take(place)).collect()
    }

    /// Removes all requests.
    pub fn drain_all(&mut self) -> Vec<Waiting> {
        let places: Vec<_> = self.order.iter().flatten().cloned().collect();
        places.iter().filter_map(|place| self.take(place)).collect()
    }

    /// Returns when the request that has waited longest for an adapter arrived.
    pub fn oldest(&self, adapter: &AdapterRef) -> Option<MonoTime> {
        self.groups.get(&Target::Adapter(adapter.clone()))?.oldest()
    }

    /// Returns the adapters that are waited for and in no slot.
    pub fn absent<'a>(&'a self, slots: &'a Slots) -> impl Iterator<Item = &'a AdapterRef> {
        self.groups
            .iter()
            .filter(|(_, group)| !group.is_empty())
            .filter_map(|(target, _)| target.adapter())
            .filter(|adapter| !slots.holds(adapter))
    }

    /// Returns the number of adapters that key-account requests wait for and that are in no slot.
    pub fn absent_key(&self, slots: &Slots) -> usize {
        let key = |adapter: &&AdapterRef| {
            self.first(&Target::Adapter(AdapterRef::clone(adapter)), Class::KeyAccount).is_some()
        };
        if self.len_of(Class::KeyAccount) == 0 { 0 } else { self.absent(slots).filter(key).count() }
    }

    /// Returns the adapters to load for waiting requests, the most urgent first.
    pub fn candidates(
        &mut self,
        now: MonoTime,
        policy: QueuePolicy,
        fill: f64,
        may_load: impl Fn(&AdapterRef) -> bool,
    ) -> Vec<LoadCandidate> {
        self.forget_idle(now);
        let mut candidates: Vec<_> = self
            .groups
            .iter()
            .filter(|(_, group)| !group.is_empty())
            .filter_map(|(target, group)| Some((target.adapter()?, group)))
            .filter(|(adapter, _)| may_load(adapter))
            .filter_map(|(adapter, group)| group.candidate(now, adapter, fill))
            .collect();

        let most = candidates.len().min(Slots::MAX_WANTS);
        let order = |left: &LoadCandidate, right: &LoadCandidate| match policy {
            QueuePolicy::Grouped => {
                let class = left.want.class.cmp(&right.want.class);
                let urgency = right.want.urgency.total_cmp(&left.want.urgency);
                class.then(urgency).then_with(|| left.place.cmp(&right.place))
            }
            QueuePolicy::Fifo => left.place.cmp(&right.place),
        };
        if candidates.len() > most {
            candidates.select_nth_unstable_by(most, order);
            candidates.truncate(most);
        }
        candidates.sort_by(order);
        candidates
    }

    fn forget_idle(&mut self, now: MonoTime) {
        const GROUPS_MAX: usize = 64;
        if self.groups.len() > GROUPS_MAX.max(self.places.len() * 2) {
            self.groups.retain(|_, group| !group.is_empty() || group.is_ahead(now));
        }
    }
}

/// Returns the tag of a request before its adapter's share is considered.
fn base_tag(offer: &AttemptRequest) -> MonoTime {
    let Some(deadline) = offer.deadline else {
        return offer.arrived_at;
    };
    let slack_ms = deadline.ms_since(offer.arrived_at).saturating_sub(Queue::DEADLINE_LEAD_MS);
    offer.arrived_at.plus_ms(slack_ms.min(Queue::DEADLINE_DELAY_MAX_MS))
}
