//! Which entries an agent speaks to, and when.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use filbertcleat_base::MonoTime;

use crate::EntryUpdate;

/// The entries that an agent has heard.
///
/// Few entries are told all that changes at once. Among many, those that have lately wanted, used or
/// sent something here are; the others are told at a slow pace, since an entry hears of every engine
/// and most of them matter to it only now and then.
#[derive(Clone, Debug, Default)]
pub struct UpdateRecipients {
    listeners: BTreeMap<SocketAddr, Listener>,
}

#[derive(Clone, Copy, Debug)]
struct Listener {
    entry: u64,
    heard: MonoTime,
    told: MonoTime,
    interested: Option<MonoTime>,
    sent_tokens: u64,
}

impl UpdateRecipients {
    /// An entry that is silent for longer is told nothing: three of its rarest messages.
    const LIVE_MS: u64 = 3_000;
    /// Up to this number all entries are told at once, as each had better know what the others send:
    /// 28 entries and 52 agents take an entry 4% of a core at most, and 40 keep within a tenth.
    const FEW: usize = 40;
    /// How long an entry stays interested: the time of a usual stream.
    const INTEREST_MS: u64 = 2_000;
    /// The pace for others; entries take news for stale after 1,600 ms, so two may be lost.
    const SLOW_MS: u64 = 500;
    /// The time in which an announcement is known where news travel at once.
    const ANNOUNCED_MS: u64 = 120;

    /// Takes in that an entry spoke.
    pub fn on_entry_update(&mut self, now: MonoTime, from: SocketAddr, news: &EntryUpdate) {
        let known = self.listeners.get(&from).filter(|known| known.entry == news.entry);
        let has_sent = known.is_some_and(|known| known.sent_tokens != news.sent_prompt_tokens);
        let is_interested =
            has_sent || !news.adapter_demand.is_empty() || !news.adapters_in_use.is_empty();
        let interested = if is_interested { Some(now) } else { known.and_then(|k| k.interested) };
        let told = known.map_or(MonoTime::ZERO, |known| known.told);
        let sent_tokens = news.sent_prompt_tokens;
        let listener = Listener { entry: news.entry, heard: now, told, interested, sent_tokens };
        self.listeners.insert(from, listener);
    }

    /// Returns the entries to tell now with their addresses, where `is_news` says whether there is
    /// anything that those who are told at once don't know.
    pub fn due_recipients(&mut self, now: MonoTime, is_news: bool) -> Vec<(SocketAddr, u64)> {
        self.listeners.retain(|_, listener| now.ms_since(listener.heard) <= Self::LIVE_MS);
        let is_few = self.listeners.len() <= Self::FEW;
        let mut due = Vec::new();
        for (address, listener) in &mut self.listeners {
            let is_prompt = is_few
                || listener.interested.is_some_and(|at| now.ms_since(at) <= Self::INTEREST_MS);
            let is_due =
                if is_prompt { is_news } else { now.ms_since(listener.told) >= Self::SLOW_MS };
            if is_due {
                listener.told = now;
                due.push((*address, listener.entry));
            }
        }
        due
    }

    /// Returns the time after which all entries know of an announcement.
    pub fn announcement_delay_ms(&self) -> u64 {
        let is_few = self.listeners.len() <= Self::FEW;
        if is_few { Self::ANNOUNCED_MS } else { Self::ANNOUNCED_MS + Self::SLOW_MS }
    }
}
