//! Combines the observations of all entries at an agent.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use super::ServiceObservations;

/// The latest observations of each entry, of which an agent tells each entry those of the others.
#[derive(Clone, Debug, Default)]
pub struct ObservationPool {
    latest: BTreeMap<u64, (MonoTime, Vec<ServiceObservations>)>,
}

impl ObservationPool {
    /// How long observations count. Those of an entry that has ended still describe the engines, but
    /// engines may have been replaced after a minute.
    const LIFETIME_MS: u64 = 60_000;
    /// The most entries whose observations are kept: more than the largest deployment has.
    const ENTRIES_MAX: usize = 1_024;

    /// Replaces the observations of an entry.
    pub fn record(
        &mut self,
        now: MonoTime,
        entry: u64,
        observations: impl IntoIterator<Item = ServiceObservations>,
    ) {
        self.latest.retain(|_, (at, _)| now.ms_since(*at) <= Self::LIFETIME_MS);
        let valid = observations.into_iter().filter(|item| item.prefill.is_valid());
        if self.latest.len() < Self::ENTRIES_MAX || self.latest.contains_key(&entry) {
            self.latest.insert(entry, (now, valid.collect()));
        }
    }

    /// Returns the sums over all entries but one, by service.
    pub fn others(&self, entry: u64) -> Vec<ServiceObservations> {
        let mut sums = BTreeMap::new();
        let others = self.latest.iter().filter(|(other, _)| **other != entry);
        for item in others.flat_map(|(_, (_, observations))| observations) {
            sums.entry(item.service.clone())
                .and_modify(|sum: &mut ServiceObservations| {
                    sum.prefill = sum.prefill.merged(&item.prefill);
                })
                .or_insert_with(|| item.clone());
        }
        sums.into_values().collect()
    }
}
