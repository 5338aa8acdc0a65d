//! The tokens that an entry holds for the requests of workspaces.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::IpAddr;

use filbertcleat_base::MonoTime;
use filbertcleat_base::stable_hash;

use super::AllowanceBounds;
use super::AllowanceCharge;
use super::AllowanceDecision;
use super::AllowanceGrant;
use super::AllowanceMessage;
use super::AllowanceRefusal;
use super::AllowanceTicket;
use super::outbox::Outbox;
use super::workspace_ledger::WorkspaceLedger;
use crate::Allowance;
use crate::BucketAgents;

/// The time from an entry's request for tokens until it may no longer spend them. Agents count it
/// with the window, since tokens may be spent that much later than they were granted.
pub(super) const HOLD_MS: u64 = 200;

/// The tokens that an entry holds for the requests of workspaces, and its open requests for more.
#[derive(Clone, Debug)]
pub struct AllowanceLedger {
    workspaces: HashMap<u64, WorkspaceLedger>,
    /// The workspaces with tokens, open requests, or requests of callers that wait.
    active: BTreeSet<u64>,
    agents: KnownAgents,
    outbox: Outbox,
    tickets: u64,
    expired_at: MonoTime,
}

impl AllowanceLedger {
    /// The time after which the state of an unused workspace is removed.
    const UNUSED_MS: u64 = 60_000;

    /// Creates an empty ledger. The id of the entry's incarnation distinguishes it from all others.
    pub fn new(entry: u32, bounds: &AllowanceBounds) -> Self {
        Self {
            workspaces: HashMap::new(),
            active: BTreeSet::new(),
            agents: KnownAgents::default(),
            outbox: Outbox::new(entry, bounds.window_ms),
            tickets: 0,
            expired_at: MonoTime::ZERO,
        }
    }

    /// Returns the hash that stands for a workspace between processes.
    pub fn workspace_hash(name: &str) -> u64 {
        stable_hash(name)
    }

    /// Sets the agents of the listed engines, and the version of the list.
    pub fn set_agents(&mut self, now: MonoTime, agents: BucketAgents, list_version: u64) {
        self.outbox.list_version = list_version;
        self.agents.set(now, agents);
    }

    /// Decides on a request of a workspace, or asks agents for tokens first.
    pub fn take(
        &mut self,
        now: MonoTime,
        workspace: u64,
        allowance: &Allowance,
        config_version: u64,
        cost: u64,
    ) -> AllowanceDecision {
        self.remove_unused(now);
        self.tickets += 1;
        let ticket = AllowanceTicket(self.tickets);
        let ledger =
            self.workspaces.entry(workspace).or_insert_with(|| WorkspaceLedger::new(workspace));
        ledger.configure(allowance, config_version);
        ledger.choose_holders(now, &self.agents, &mut self.outbox);
        let taken = ledger.take(now, ticket, cost, &mut self.outbox);
        self.active.insert(workspace);
        if let Some(charge) = taken {
            return AllowanceDecision::Granted(charge);
        }
        let settled = &mut self.outbox.settled;
        match settled.iter().position(|(known, _)| *known == ticket) {
            None => AllowanceDecision::Pending(ticket),
            Some(position) => match settled.remove(position).1 {
                Ok(charge) => AllowanceDecision::Granted(charge),
                Err(refusal) => AllowanceDecision::Refused(refusal),
            },
        }
    }

    /// Takes back the tokens of a request that has not run.
    pub fn give_back(&mut self, now: MonoTime, charge: AllowanceCharge) {
        let AllowanceCharge { workspace, parts } = charge;
        let Some(ledger) = self.workspaces.get_mut(&workspace) else { return };
        ledger.give_back(now, parts, &mut self.outbox);
        self.active.insert(workspace);
    }

    /// Removes a request whose caller has gone.
    pub fn cancel(&mut self, workspace: u64, ticket: AllowanceTicket) {
        if let Some(ledger) = self.workspaces.get_mut(&workspace) {
            ledger.cancel(ticket);
        }
    }

    /// Applies an agent's response.
    pub fn on_grant(&mut self, now: MonoTime, from: IpAddr, grant: &AllowanceGrant) {
        if grant.is_leaving {
            self.agents.on_leaving(now, from);
        }
        let Some(ledger) = self.workspaces.get_mut(&grant.workspace) else { return };
        ledger.apply_grant(now, from, grant, &mut self.outbox);
        ledger.choose_holders(now, &self.agents, &mut self.outbox);
        ledger.advance(now, &mut self.outbox);
        self.active.insert(grant.workspace);
    }

    /// Repeats requests without a response and returns tokens that were not spent in time.
    pub fn on_timer(&mut self, now: MonoTime) {
        let (workspaces, outbox) = (&mut self.workspaces, &mut self.outbox);
        self.active.retain(|workspace| {
            let Some(ledger) = workspaces.get_mut(workspace) else { return false };
            ledger.on_timer(now, outbox);
            ledger.next_timer().is_some()
        });
    }

    /// Returns when `on_timer` is due next.
    pub fn next_timer(&self) -> Option<MonoTime> {
        let ledgers = self.active.iter().filter_map(|workspace| self.workspaces.get(workspace));
        ledgers.filter_map(WorkspaceLedger::next_timer).min()
    }

    /// Returns the messages to send, and removes them.
    pub fn take_messages(&mut self) -> Vec<(IpAddr, AllowanceMessage)> {
        std::mem::take(&mut self.outbox.messages)
    }

    /// Returns the decisions on requests that waited, and removes them.
    pub fn take_settled(
        &mut self,
    ) -> Vec<(AllowanceTicket, Result<AllowanceCharge, AllowanceRefusal>)> {
        std::mem::take(&mut self.outbox.settled)
    }

    /// Returns the tokens in hand for a workspace.
    pub fn in_hand(&self, workspace: u64) -> u64 {
        self.workspaces.get(&workspace).map_or(0, WorkspaceLedger::in_hand)
    }

    fn remove_unused(&mut self, now: MonoTime) {
        if now.ms_since(self.expired_at) < Self::UNUSED_MS {
            return;
        }
        self.expired_at = now;
        self.workspaces.retain(|_, ledger| {
            ledger.next_timer().is_some() || now.ms_since(ledger.used_at()) < Self::UNUSED_MS
        });
    }
}

/// The agents that an entry knows and has known.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownAgents {
    /// Increases with each change.
    generation: u64,
    /// The current list last, with the time from which each was known.
    lists: VecDeque<(MonoTime, BucketAgents)>,
    /// The agents whose engines are leaving, and when they said so.
    leaving: BTreeMap<IpAddr, MonoTime>,
}

impl KnownAgents {
    /// The number of lists that are remembered, to know for how long an agent has held a bucket.
    const LISTS_MAX: usize = 8;
    /// The time for which an agent is not asked whose engine is leaving. By then its record has been
    /// removed, or the engine has started again.
    const LEAVING_MS: u64 = 10_000;

    /// Returns a number that increases with each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the holders of the main buckets of a workspace, and last that of its standby bucket,
    /// and since when each of them has been known as the holder of its bucket.
    pub fn holders(&self, workspace: u64, count: u8) -> Vec<(IpAddr, MonoTime)> {
        let is_leaving = |agent: IpAddr| self.leaving.contains_key(&agent);
        let mut lists = self.lists.iter().rev();
        let Some((since, current)) = lists.next() else { return Vec::new() };
        let holders = current.holders(workspace, count, is_leaving);
        let mut holders: Vec<(IpAddr, MonoTime)> =
            holders.into_iter().map(|holder| (holder, *since)).collect();
        let mut is_same = vec![true; holders.len()];
        for (since, list) in lists {
            let before = list.holders(workspace, count, is_leaving);
            for (index, (holder, known_at)) in holders.iter_mut().enumerate() {
                is_same[index] &= before.get(index) == Some(holder);
                if is_same[index] {
                    *known_at = *since;
                }
            }
        }
        holders
    }

    fn set(&mut self, now: MonoTime, agents: BucketAgents) {
        let leaving_before = self.leaving.len();
        self.leaving.retain(|_, since| now.ms_since(*since) < Self::LEAVING_MS);
        let is_known = self.lists.back().is_some_and(|(_, known)| *known == agents);
        if !is_known {
            if self.lists.len() == Self::LISTS_MAX {
                self.lists.pop_front();
            }
            self.lists.push_back((now, agents));
        }
        self.generation += u64::from(!is_known || leaving_before != self.leaving.len());
    }

    fn on_leaving(&mut self, now: MonoTime, agent: IpAddr) {
        if self.leaving.insert(agent, now).is_none() {
            self.generation += 1;
        }
    }
}
