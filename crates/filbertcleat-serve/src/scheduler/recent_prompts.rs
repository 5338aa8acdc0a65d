//! Counts the prompt tokens that entries have recently sent to one engine.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

use crate::fleet::PrefillPacer;

/// The prompt tokens that entries have recently sent to one engine, derived from the running total
/// in each entry's updates.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentPrompts {
    /// The running totals in tokens, by entry.
    totals: BTreeMap<u64, u64>,
    /// The sum of all increases, and of those by entry.
    increases: u64,
    increases_by_entry: BTreeMap<u64, u64>,
    /// Increases of a total: when it was reported, by which entry, and the number of tokens.
    recent: VecDeque<(MonoTime, u64, u64)>,
}

impl RecentPrompts {
    /// Records the running total of an entry. The first total of an entry counts no tokens, because
    /// it does not show when they were sent.
    pub fn record_total(&mut self, now: MonoTime, entry: u64, total_tokens: u64) {
        let known = self.totals.insert(entry, total_tokens);
        if let Some(tokens) =
            known.and_then(|known| total_tokens.checked_sub(known)).filter(|more| *more > 0)
        {
            self.recent.push_back((now, entry, tokens));
            self.increases = self.increases.saturating_add(tokens);
            let by_entry = self.increases_by_entry.entry(entry).or_default();
            *by_entry = by_entry.saturating_add(tokens);
        }
        while self
            .recent
            .front()
            .is_some_and(|(at, _, _)| now.ms_since(*at) > PrefillPacer::WINDOW_MS)
        {
            self.recent.pop_front();
        }
    }

    /// Discards the totals of entries for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.totals.retain(|entry, _| is_kept(*entry));
        self.increases_by_entry.retain(|entry, _| is_kept(*entry));
    }

    /// Returns the tokens that all entries except `entry` have sent since the first update.
    pub fn others_total_tokens(&self, entry: u64) -> u64 {
        let own = self.increases_by_entry.get(&entry).copied().unwrap_or(0);
        self.increases.saturating_sub(own)
    }

    /// Returns the tokens that all entries except `entry` have sent within the window.
    pub fn others_tokens(&self, now: MonoTime, entry: u64) -> u64 {
        let recent = self.recent.iter().filter(|(at, sender, _)| {
            *sender != entry && now.ms_since(*at) <= PrefillPacer::WINDOW_MS
        });
        recent.fold(0, |sum, (_, _, tokens)| sum.saturating_add(*tokens))
    }
}
