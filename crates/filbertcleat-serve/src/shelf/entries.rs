//! What entries have lately told an agent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::MonoTime;

use crate::AdapterDemand;
use crate::AdapterKey;
use crate::EntryUpdate;
use crate::ModelDemand;

/// What entries have lately told an agent, by the entry.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    heard: BTreeMap<u64, Heard>,
}

#[derive(Debug)]
struct Heard {
    at: MonoTime,
    news: EntryUpdate,
}

impl Entries {
    /// An entry that is silent for longer has ended or is cut off: six of its messages.
    const LIVE_MS: u64 = 3_000;
    /// What an entry wants lapses sooner, as its requests wait a second or two at most.
    const WANT_LIVE_MS: u64 = 1_200;

    /// Returns whether news are later than what the same entry has told.
    pub fn is_new(&self, news: &EntryUpdate) -> bool {
        news.sequence > self.heard.get(&news.entry).map_or(0, |heard| heard.news.sequence)
    }

    /// Takes in what an entry says.
    pub fn hear(&mut self, now: MonoTime, news: EntryUpdate) {
        self.heard.insert(news.entry, Heard { at: now, news });
    }

    /// Forgets entries that have been silent for long.
    pub fn retain(&mut self, now: MonoTime) {
        self.heard.retain(|_, heard| now.ms_since(heard.at) <= Self::LIVE_MS);
    }

    /// Returns whether an entry is known.
    pub fn contains(&self, entry: u64) -> bool {
        self.heard.contains_key(&entry)
    }

    /// Returns how many entries were heard lately.
    pub fn live(&self, now: MonoTime) -> usize {
        self.within(now, Self::LIVE_MS).count()
    }

    /// Returns the adapters that requests run on at the engine.
    pub fn uses(&self, now: MonoTime) -> BTreeSet<&AdapterKey> {
        let live = self.within(now, Self::LIVE_MS);
        live.flat_map(|news| news.adapters_in_use.iter().map(|(key, _)| key)).collect()
    }

    /// Returns the work that all entries see for base models.
    pub fn demand(&self, now: MonoTime) -> Vec<ModelDemand> {
        let mut demand: Vec<ModelDemand> = Vec::new();
        for item in self.within(now, Self::LIVE_MS).flat_map(|news| &news.model_demand) {
            match demand.iter_mut().find(|known| known.model == item.model) {
                Some(known) => {
                    known.recent_requests += item.recent_requests;
                    // An entry that has just started knows few engines.
                    known.engines = known.engines.max(item.engines);
                }
                None => demand.push(item.clone()),
            }
        }
        demand
    }

    /// Returns what all entries want together, the most urgent and most awaited first.
    pub fn wants(&self, now: MonoTime) -> Vec<AdapterDemand> {
        let mut wants: BTreeMap<&AdapterKey, AdapterDemand> = BTreeMap::new();
        for want in self.within(now, Self::WANT_LIVE_MS).flat_map(|news| &news.adapter_demand) {
            wants
                .entry(&want.key)
                .and_modify(|sum| {
                    sum.waiting_requests += want.waiting_requests;
                    sum.min_version = sum.min_version.max(want.min_version);
                    sum.priority = sum.priority.min(want.priority);
                })
                .or_insert_with(|| want.clone());
        }
        let mut wants: Vec<_> = wants.into_values().collect();
        wants.sort_by_key(|want| {
            (want.waiting_requests == 0, want.priority, u32::MAX - want.waiting_requests)
        });
        wants
    }

    fn within(&self, now: MonoTime, limit_ms: u64) -> impl Iterator<Item = &EntryUpdate> {
        let live = self.heard.values().filter(move |heard| now.ms_since(heard.at) <= limit_ms);
        live.map(|heard| &heard.news)
    }
}
