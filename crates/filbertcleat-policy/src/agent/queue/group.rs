//! The requests that wait for one target.

use std::collections::BTreeMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;

use super::Place;
use super::Waiting;
use crate::LoadRequest;

/// The requests that wait for one target, by class.
#[derive(Debug, Default)]
pub(super) struct Group {
    waiting: [BTreeMap<Place, Waiting>; 2],
    last_tag: [MonoTime; 2],
    arrived_sum_ms: [u64; 2],
    /// Requests beyond the adapter's share.
    over_share: usize,
}

impl Group {
    /// The weight of a key-account request against a routine one.
    const KEY_WEIGHT: f64 = 4.0;
    /// The age at which a waiting request counts twice.
    const AGE_DOUBLE_S: f64 = 20.0;

    /// Returns the tag of the next request, at least `spacing_ms` after the one before it.
    ///
    /// An adapter that asks for more than its share falls behind the others by this.
    pub fn space(&mut self, class: Class, base: MonoTime, spacing_ms: u64) -> MonoTime {
        let tag = base.max(self.last_tag[class as usize]);
        self.last_tag[class as usize] = tag.plus_ms(spacing_ms);
        tag
    }

    pub fn insert(&mut self, place: &Place, waiting: Waiting) {
        self.over_share += usize::from(waiting.over_share);
        self.arrived_sum_ms[place.class as usize] += waiting.offer.arrived_at.as_ms();
        self.waiting[place.class as usize].insert(place.clone(), waiting);
    }

    pub fn remove(&mut self, place: &Place) -> Option<Waiting> {
        let waiting = self.waiting[place.class as usize].remove(place)?;
        self.over_share -= usize::from(waiting.over_share);
        self.arrived_sum_ms[place.class as usize] -= waiting.offer.arrived_at.as_ms();
        Some(waiting)
    }

    pub fn len_in_share(&self) -> usize {
        let all: usize = self.waiting.iter().map(BTreeMap::len).sum();
        all - self.over_share
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeMap::is_empty)
    }

    /// Returns whether the tags run ahead of the time, which has to be remembered.
    pub fn is_ahead(&self, now: MonoTime) -> bool {
        self.last_tag.iter().any(|tag| *tag > now)
    }

    pub fn first(&self, class: Class) -> Option<&Place> {
        self.waiting[class as usize].keys().next()
    }

    pub fn first_waiting(&self, class: Class) -> Option<(&Place, &Waiting)> {
        self.waiting[class as usize].first_key_value()
    }

    pub fn places(&self) -> Vec<Place> {
        self.waiting.iter().flat_map(BTreeMap::keys).cloned().collect()
    }

    pub fn oldest(&self) -> Option<MonoTime> {
        self.waiting.iter().flat_map(BTreeMap::values).map(|waiting| waiting.offer.arrived_at).min()
    }

    /// Describes the load that the group waits for.
    pub fn candidate(
        &self,
        now: MonoTime,
        adapter: &AdapterRef,
        fill: f64,
    ) -> Option<LoadCandidate> {
        let place = self.waiting.iter().filter_map(|list| list.keys().next()).min()?;
        let (key_urgency, key_growth) = self.urgency(now, Class::KeyAccount);
        let (urgency, growth) = self.urgency(now, Class::Routine);

        let want = LoadRequest {
            adapter: adapter.clone(),
            class: place.class,
            urgency: (key_urgency * Self::KEY_WEIGHT + urgency) * fill,
            urgency_growth_per_s: (key_growth * Self::KEY_WEIGHT + growth) * fill,
        };
        Some(LoadCandidate { want, place: place.clone() })
    }

    fn urgency(&self, now: MonoTime, class: Class) -> (f64, f64) {
        let count = self.waiting[class as usize].len() as u64;
        let age_sum_ms = (count * now.as_ms()).saturating_sub(self.arrived_sum_ms[class as usize]);
        let growth = count as f64 / Self::AGE_DOUBLE_S;
        (count as f64 + age_sum_ms as f64 / 1000.0 / Self::AGE_DOUBLE_S, growth)
    }
}

/// A load that waiting requests need.
#[derive(Clone, Debug)]
pub(in crate::agent) struct LoadCandidate {
    pub want: LoadRequest,
    pub place: Place,
}
