//! The tokens that an entry holds for one workspace.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;

use filbertcleat_base::MonoTime;

use super::AllowanceCharge;
use super::AllowanceGrant;
use super::AllowanceMessage;
use super::AllowanceMove;
use super::AllowanceRefusal;
use super::AllowanceRequest;
use super::AllowanceTicket;
use super::BucketId;
use super::BucketSpec;
use super::bucket_state::BucketState;
use super::charge::Holding;
use super::ledger::HOLD_MS;
use super::ledger::KnownAgents;
use super::outbox::Outbox;
use super::recent_use::RecentUse;
use crate::Allowance;

/// The time that an agent is given to respond: ten typical round trips.
const REPLY_TIMEOUT_MS: u64 = 30;
/// The longest time that a request waits for tokens: a request to an agent, two repetitions of it,
/// and one to the standby.
const WAIT_MAX_MS: u64 = 150;

/// The tokens that an entry holds for one workspace, and its open request for more.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceLedger {
    workspace: u64,
    allowance: Option<Allowance>,
    config_version: u64,
    generation: u64,
    /// The main buckets, and the standby last if there are enough agents.
    buckets: Vec<BucketState>,
    /// The bucket to ask next.
    next_bucket: usize,
    /// Tokens in hand, those that expire first in front.
    holdings: VecDeque<Holding>,
    waiting: VecDeque<WaitingRequest>,
    /// The open request to an agent; one at a time, for all requests that wait.
    asked: Option<OpenAsk>,
    /// Requests to agents that were given up, which may still be granted.
    abandoned: BTreeMap<u32, OpenAsk>,
    recent_use: RecentUse,
    used_at: MonoTime,
}

/// A request of a caller that waits for tokens.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: AllowanceTicket,
    cost: u64,
    since: MonoTime,
    /// Whether an agent has been asked for its tokens, and so expects its caller to come back.
    is_asked: bool,
}

/// A request to an agent without a response.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    request: AllowanceRequest,
    holder: IpAddr,
    /// When it was first sent.
    requested_at: MonoTime,
    /// When it was last sent.
    sent_at: MonoTime,
}

impl WorkspaceLedger {
    /// Creates the ledger of a workspace, given by the hash of its name.
    pub fn new(workspace: u64) -> Self {
        Self {
            workspace,
            allowance: None,
            config_version: 0,
            generation: 0,
            buckets: Vec::new(),
            next_bucket: 0,
            holdings: VecDeque::new(),
            waiting: VecDeque::new(),
            asked: None,
            abandoned: BTreeMap::new(),
            recent_use: RecentUse::default(),
            used_at: MonoTime::ZERO,
        }
    }

    /// Adopts the allowance of the configuration in force.
    pub fn configure(&mut self, allowance: &Allowance, config_version: u64) {
        self.config_version = config_version;
        if self.allowance != Some(*allowance) {
            self.allowance = Some(*allowance);
            // The number of buckets may differ, and a dry bucket may not be dry any more.
            self.generation = 0;
            for state in &mut self.buckets {
                state.dry_until = MonoTime::ZERO;
            }
        }
    }

    /// Chooses the holders of the buckets, if the agents have changed. Tells an agent that still
    /// responds that another one holds its bucket.
    pub fn choose_holders(&mut self, now: MonoTime, agents: &KnownAgents, outbox: &mut Outbox) {
        if self.generation == agents.generation() {
            return;
        }
        self.generation = agents.generation();
        let count = BucketSpec::count(self.rate_and_burst().1);
        let ids = (0..count).map(BucketId::Main).chain([BucketId::Standby]);
        let holders = agents.holders(self.workspace, count);
        let mut chosen = Vec::new();
        for (bucket, (holder, known_at)) in ids.zip(holders) {
            let before = self.buckets.iter().find(|state| state.bucket == bucket);
            match before {
                Some(state) if state.holder == holder => chosen.push(*state),
                _ => {
                    let notice = AllowanceMove {
                        workspace: self.workspace,
                        bucket,
                        list_version: outbox.list_version,
                        holder,
                    };
                    let old = before.map(|state| state.holder);
                    outbox.messages.extend(old.map(|old| (old, AllowanceMessage::Move(notice))));
                    let known_at = if before.is_some() { now } else { known_at };
                    chosen.push(BucketState::new(bucket, holder, known_at));
                }
            }
        }
        self.buckets = chosen;
    }

    /// Takes the tokens of a request if they are in hand. Otherwise the request waits, or has been
    /// settled already.
    pub fn take(
        &mut self,
        now: MonoTime,
        ticket: AllowanceTicket,
        cost: u64,
        outbox: &mut Outbox,
    ) -> Option<AllowanceCharge> {
        self.used_at = now;
        self.recent_use.add(now, cost);
        self.expire_holdings(now, outbox);
        if cost <= self.in_hand() {
            let charge = self.charge(cost);
            self.top_up(now, outbox);
            return Some(charge);
        }
        self.waiting.push_back(WaitingRequest { ticket, cost, since: now, is_asked: false });
        self.advance(now, outbox);
        None
    }

    /// Takes tokens back. They are in hand again for the rest of their time, or go to their agents.
    pub fn give_back(&mut self, now: MonoTime, parts: Vec<Holding>, outbox: &mut Outbox) {
        for part in parts {
            self.hold(now, part, outbox);
        }
        self.advance(now, outbox);
    }

    /// Removes a request whose caller has gone.
    pub fn cancel(&mut self, ticket: AllowanceTicket) {
        self.waiting.retain(|request| request.ticket != ticket);
    }

    /// Applies an agent's response.
    pub fn apply_grant(
        &mut self,
        now: MonoTime,
        from: IpAddr,
        grant: &AllowanceGrant,
        outbox: &mut Outbox,
    ) {
        let is_asked = |ask: &OpenAsk| ask.request.sequence == grant.sequence;
        let Some(ask) = self
            .asked
            .take_if(|ask| is_asked(ask))
            .or_else(|| self.abandoned.remove(&grant.sequence))
        else {
            return;
        };
        let state = self.buckets.iter_mut().find(|state| state.bucket == grant.bucket);
        if let Some(state) = state
            && state.holder == from
        {
            match grant.moved_to {
                Some(holder) => *state = BucketState::new(grant.bucket, holder, now),
                None => state.on_grant(now, grant),
            }
        }
        let holding = Holding {
            bucket: grant.bucket,
            holder: ask.holder,
            agent: grant.agent,
            sequence: grant.sequence,
            requested_at: ask.requested_at,
            amount: grant.granted,
        };
        self.hold(now, holding, outbox);
    }

    /// Settles the requests that wait as far as tokens are in hand, and asks for more if they are
    /// too few.
    pub fn advance(&mut self, now: MonoTime, outbox: &mut Outbox) {
        self.settle_covered(outbox);
        if self.waiting.is_empty() || self.asked.is_some() {
            return;
        }
        if let Some(index) = self.candidate(now) {
            self.ask(now, index, outbox);
            return;
        }
        self.refuse_where(now, |request| request.is_asked, outbox);
        // Tokens that were too few for the refused ones may do for those behind them.
        self.settle_covered(outbox);
        if self.waiting.is_empty() {
            return;
        }
        // Only the agent knows how many callers of other entries come back before this one's.
        match self.soonest(now) {
            Some(index) => self.ask(now, index, outbox),
            None => self.refuse_where(now, |_| true, outbox),
        }
    }

    /// Repeats a request without a response and returns tokens that were not spent in time.
    pub fn on_timer(&mut self, now: MonoTime, outbox: &mut Outbox) {
        self.expire_holdings(now, outbox);
        while self.waiting.front().is_some_and(|first| now.ms_since(first.since) >= WAIT_MAX_MS) {
            let first = self.waiting.pop_front();
            let refusal = Err(AllowanceRefusal::Unreachable);
            outbox.settled.extend(first.map(|first| (first.ticket, refusal)));
        }
        let window_ms = outbox.window_ms;
        self.abandoned.retain(|_, ask| now.ms_since(ask.requested_at) <= window_ms);
        if let Some(ask) = self.asked.take_if(|ask| now.ms_since(ask.sent_at) >= REPLY_TIMEOUT_MS) {
            self.on_timeout(now, ask, outbox);
        }
        self.advance(now, outbox);
    }

    /// Returns when `on_timer` is due next.
    pub fn next_timer(&self) -> Option<MonoTime> {
        let asked = self.asked.map(|ask| ask.sent_at.plus_ms(REPLY_TIMEOUT_MS));
        let waiting = self.waiting.front().map(|first| first.since.plus_ms(WAIT_MAX_MS));
        let held = self.holdings.front().map(|held| held.requested_at.plus_ms(HOLD_MS + 1));
        [asked, waiting, held].into_iter().flatten().min()
    }

    /// Returns the tokens in hand.
    pub fn in_hand(&self) -> u64 {
        self.holdings.iter().map(|held| held.amount).sum()
    }

    /// Returns when a request last came.
    pub fn used_at(&self) -> MonoTime {
        self.used_at
    }

    fn rate_and_burst(&self) -> (f64, f64) {
        self.allowance.map_or((0.0, 0.0), |allowance| (allowance.rate_per_s, allowance.burst))
    }

    fn charge(&mut self, cost: u64) -> AllowanceCharge {
        let mut charge = AllowanceCharge { workspace: self.workspace, parts: Vec::new() };
        let mut left = cost;
        while left > 0
            && let Some(held) = self.holdings.front_mut()
        {
            let amount = held.amount.min(left);
            charge.parts.push(Holding { amount, ..*held });
            held.amount -= amount;
            left -= amount;
            if held.amount == 0 {
                self.holdings.pop_front();
            }
        }
        charge
    }

    /// Keeps tokens in hand, or returns them if their time is over.
    fn hold(&mut self, now: MonoTime, holding: Holding, outbox: &mut Outbox) {
        if now.ms_since(holding.requested_at) > HOLD_MS {
            outbox.give_back(now, self.workspace, &holding);
        } else if holding.amount > 0 {
            let at =
                self.holdings.partition_point(|held| held.requested_at <= holding.requested_at);
            self.holdings.insert(at, holding);
        }
    }

    fn expire_holdings(&mut self, now: MonoTime, outbox: &mut Outbox) {
        while let Some(held) = self.holdings.front()
            && now.ms_since(held.requested_at) > HOLD_MS
        {
            outbox.give_back(now, self.workspace, held);
            self.holdings.pop_front();
        }
    }

    /// Settles the requests in front for which there are tokens in hand.
    fn settle_covered(&mut self, outbox: &mut Outbox) {
        while let Some(first) = self.waiting.front().copied()
            && first.cost <= self.in_hand()
        {
            self.waiting.pop_front();
            outbox.settled.push((first.ticket, Ok(self.charge(first.cost))));
        }
    }

    /// Asks for the tokens of expected requests before they come, so that these need not wait.
    fn top_up(&mut self, now: MonoTime, outbox: &mut Outbox) {
        let is_low = self.in_hand() < self.recent_use.expected(now) / 2;
        if is_low
            && self.asked.is_none()
            && let Some(index) = self.candidate(now)
        {
            self.ask(now, index, outbox);
        }
    }

    /// Returns the bucket to ask: main buckets in turn, and the standby if a main bucket does not
    /// respond.
    fn candidate(&self, now: MonoTime) -> Option<usize> {
        let main = self.buckets.iter().filter(|state| state.bucket != BucketId::Standby).count();
        let mut order = (0..main).map(|offset| (self.next_bucket + offset) % main);
        let found = order.find(|index| self.buckets[*index].is_candidate(now));
        let is_lost = |state: &BucketState| state.failures >= BucketState::FAILURES_MAX;
        found.or_else(|| {
            let standby =
                self.buckets.iter().position(|state| state.bucket == BucketId::Standby)?;
            let is_needed = self.buckets[..main].iter().any(is_lost);
            (is_needed && self.buckets[standby].is_candidate(now)).then_some(standby)
        })
    }

    /// Returns the dry bucket that has tokens next.
    fn soonest(&self, now: MonoTime) -> Option<usize> {
        let states = self.buckets.iter().enumerate();
        let dry = states.filter(|(_, state)| {
            state.bucket != BucketId::Standby && state.is_dry(now) && now >= state.silent_until
        });
        dry.min_by_key(|(_, state)| state.retry_at).map(|(index, _)| index)
    }

    fn ask(&mut self, now: MonoTime, index: usize, outbox: &mut Outbox) {
        self.next_bucket = index + 1;
        let mut others = self.buckets.iter().enumerate().filter(|(other, _)| *other != index);
        let is_last =
            !others.any(|(_, state)| state.bucket != BucketId::Standby && state.is_candidate(now));
        self.waiting.iter_mut().for_each(|request| request.is_asked = true);
        let (rate_per_s, burst) = self.rate_and_burst();
        let waiting: u64 = self.waiting.iter().map(|request| request.cost).sum();
        let needed =
            if self.waiting.is_empty() { 0 } else { waiting.saturating_sub(self.in_hand()) };
        let first_cost =
            self.waiting.front().map_or(0, |first| first.cost.saturating_sub(self.in_hand()));
        let state = &self.buckets[index];
        let request = AllowanceRequest {
            workspace: self.workspace,
            bucket: state.bucket,
            entry: outbox.entry,
            sequence: outbox.next_sequence(),
            needed,
            first_cost,
            expected: self.recent_use.expected(now),
            is_last,
            rate_per_s,
            burst,
            config_version: self.config_version,
            known_ms: now.ms_since(state.known_at),
            list_version: outbox.list_version,
        };
        let holder = state.holder;
        self.asked = Some(OpenAsk { request, holder, requested_at: now, sent_at: now });
        outbox.messages.push((holder, AllowanceMessage::Request(request)));
    }

    /// Repeats a request, or gives it up if another bucket may have tokens.
    fn on_timeout(&mut self, now: MonoTime, ask: OpenAsk, outbox: &mut Outbox) {
        let bucket = ask.request.bucket;
        let state = self.buckets.iter_mut().find(|state| state.bucket == bucket);
        if let Some(state) = state
            && state.holder == ask.holder
        {
            state.on_timeout(now);
            let is_lost = state.failures >= BucketState::FAILURES_MAX;
            if !is_lost && !self.waiting.is_empty() && self.candidate(now).is_none() {
                outbox.messages.push((ask.holder, AllowanceMessage::Request(ask.request)));
                self.asked = Some(OpenAsk { sent_at: now, ..ask });
                return;
            }
        }
        self.abandoned.insert(ask.request.sequence, ask);
    }

    /// Refuses requests that wait, as no bucket has tokens.
    fn refuse_where(
        &mut self,
        now: MonoTime,
        is_refused: impl Fn(&WaitingRequest) -> bool,
        outbox: &mut Outbox,
    ) {
        let in_hand = self.in_hand();
        let main = self.buckets.iter().filter(|state| state.bucket != BucketId::Standby).count();
        let dry = self.buckets[..main].iter().filter(|state| state.is_dry(now)).count();
        // Buckets that do not respond may have tokens, but not those of most of the allowance.
        let is_exceeded = dry * 2 > main;
        let per_ms = self.rate_and_burst().0 / main.max(1) as f64 / 1_000.0;
        let last = self.next_bucket.checked_sub(1);
        let (refused, waiting): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(is_refused);
        self.waiting = waiting;
        for WaitingRequest { ticket, cost, .. } in refused {
            let dry = self.buckets[..main].iter_mut().enumerate();
            let dry = dry.filter(|(_, state)| state.is_dry(now));
            // The bucket that was asked last expects the callers.
            let promising = dry.min_by_key(|(index, state)| (Some(*index) != last, state.retry_at));
            let refusal = match promising.map(|(_, state)| state) {
                Some(state) if is_exceeded => {
                    let retry_after_ms = state.retry_at.ms_since(now).max(1);
                    state.retry_at = state.retry_at.plus_ms((cost as f64 / per_ms).ceil() as u64);
                    AllowanceRefusal::Exceeded { retry_after_ms, in_hand, holder: state.holder }
                }
                _ => AllowanceRefusal::Unreachable,
            };
            outbox.settled.push((ticket, Err(refusal)));
        }
    }
}
