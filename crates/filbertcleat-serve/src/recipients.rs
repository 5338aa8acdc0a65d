//! Decides when an agent sends updates to which entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use filbertcleat_base::MonoTime;

use crate::EntryUpdate;

/// The entries to which an agent sends its updates: those that send updates to the agent.
///
/// If the entries are few, all of them get changes promptly. Otherwise only the interested ones do,
/// those that have recently demanded or used an adapter or sent a prompt here. The others get
/// updates at a slow interval, since every entry gets updates about every engine and most of these
/// matter to it only occasionally.
#[derive(Clone, Debug, Default)]
pub struct UpdateRecipients {
    recipients: BTreeMap<SocketAddr, Recipient>,
}

#[derive(Clone, Copy, Debug)]
struct Recipient {
    entry: u64,
    received_at: MonoTime,
    sent_at: MonoTime,
    interested_at: Option<MonoTime>,
    sent_prompt_tokens: u64,
}

impl UpdateRecipients {
    /// The time after which an entry without updates of its own gets no more updates: three of its
    /// longest update intervals.
    const LIVE_MS: u64 = 3_000;
    /// The number of entries up to which all get prompt updates, so that each knows the prompts
    /// that the others send. Updates of 52 agents to 28 entries cost each entry at most 4% of a
    /// core, and with 40 entries they stay within 10%.
    const PROMPT_RECIPIENTS_MAX: usize = 40;
    /// The time for which an entry stays interested: the duration of a typical stream.
    const INTERESTED_MS: u64 = 2_000;
    /// The interval of updates to the other entries. Entries treat updates as stale after 1,600 ms,
    /// so two may be lost.
    const SLOW_INTERVAL_MS: u64 = 500;
    /// The time after which a promptly sent announcement has reached its recipients.
    const PROMPT_DELAY_MS: u64 = 120;

    /// Returns whether each of this number of entries learns of the others' prompts at once.
    pub(crate) fn are_all_prompt(entries: usize) -> bool {
        entries <= Self::PROMPT_RECIPIENTS_MAX
    }

    /// Records an update of an entry, which makes the entry a recipient.
    pub fn on_entry_update(&mut self, now: MonoTime, from: SocketAddr, update: &EntryUpdate) {
        let known = self.recipients.get(&from).filter(|known| known.entry == update.entry);
        let sent_prompt_tokens = update.sent_prompt_tokens;
        let has_sent = known.is_some_and(|known| known.sent_prompt_tokens != sent_prompt_tokens);
        let is_interested =
            has_sent || !update.adapter_demand.is_empty() || !update.adapters_in_use.is_empty();
        let interested_at =
            if is_interested { Some(now) } else { known.and_then(|known| known.interested_at) };
        let sent_at = known.map_or(MonoTime::ZERO, |known| known.sent_at);
        let recipient = Recipient {
            entry: update.entry,
            received_at: now,
            sent_at,
            interested_at,
            sent_prompt_tokens,
        };
        self.recipients.insert(from, recipient);
    }

    /// Returns the entries that are due for an update, with their addresses, and records the update
    /// as sent. `has_changes` tells whether there are changes that the last update did not contain.
    pub fn due_recipients(&mut self, now: MonoTime, has_changes: bool) -> Vec<(SocketAddr, u64)> {
        self.recipients.retain(|_, recipient| now.ms_since(recipient.received_at) <= Self::LIVE_MS);
        let is_prompt_for_all = Self::are_all_prompt(self.recipients.len());
        let mut due = Vec::new();
        for (address, recipient) in &mut self.recipients {
            let is_prompt = is_prompt_for_all
                || recipient
                    .interested_at
                    .is_some_and(|at| now.ms_since(at) <= Self::INTERESTED_MS);
            let is_due = if is_prompt {
                has_changes
            } else {
                now.ms_since(recipient.sent_at) >= Self::SLOW_INTERVAL_MS
            };
            if is_due {
                recipient.sent_at = now;
                due.push((*address, recipient.entry));
            }
        }
        due
    }

    /// Returns the addresses of all entries that send updates.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.recipients.keys().copied()
    }

    /// Returns the time after which an announcement has reached all entries.
    pub fn announcement_delay_ms(&self) -> u64 {
        let is_prompt_for_all = Self::are_all_prompt(self.recipients.len());
        if is_prompt_for_all {
            Self::PROMPT_DELAY_MS
        } else {
            Self::PROMPT_DELAY_MS + Self::SLOW_INTERVAL_MS
        }
    }
}
