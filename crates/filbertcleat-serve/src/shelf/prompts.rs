//! The prompts that entries have lately sent to one engine.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

use crate::fleet::Prefill;

/// The prompts that entries have lately sent to one engine, by what each says that it ever sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prompts {
    totals: BTreeMap<u64, u64>,
    recent: VecDeque<(MonoTime, u64, u64)>,
}

impl Prompts {
    /// Takes in the total that an entry tells; the first one tells nothing of when it was sent.
    pub fn hear(&mut self, now: MonoTime, entry: u64, total: u64) {
        let known = self.totals.insert(entry, total);
        if let Some(tokens) =
            known.and_then(|known| total.checked_sub(known)).filter(|more| *more > 0)
        {
            self.recent.push_back((now, entry, tokens));
        }
        while self.recent.front().is_some_and(|(at, _, _)| now.ms_since(*at) > Prefill::WINDOW_MS) {
            self.recent.pop_front();
        }
    }

    /// Forgets entries that are no longer heard.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.totals.retain(|entry, _| is_kept(*entry));
    }

    /// Returns what all but one entry have sent within the window, in tokens.
    pub fn others(&self, now: MonoTime, entry: u64) -> u64 {
        let recent = self
            .recent
            .iter()
            .filter(|(at, of, _)| *of != entry && now.ms_since(*at) <= Prefill::WINDOW_MS);
        recent.map(|(_, _, tokens)| tokens).sum()
    }
}
