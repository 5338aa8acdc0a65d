//! The decisions of the process beside one backend server.

mod action;
mod average;
mod call;
mod engine_state;
mod failures;
mod input;
mod loads;
mod offer;
mod plan;
mod priority;
mod queue;
mod settings;
mod slot;
mod slots;
mod starts;

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_config::ObjectiveWeights;
use filbertcleat_config::Policy;
use filbertcleat_store::Ownership;

pub use self::action::AgentAction;
use self::average::Average;
use self::call::Call;
pub use self::engine_state::EngineState;
pub use self::engine_state::LoadedAdapter;
use self::failures::Failures;
pub use self::input::AgentInput;
pub use self::offer::AttemptRequest;
use self::plan::LoadPlan;
pub use self::priority::Priority;
use self::queue::LoadCandidate;
use self::queue::Queue;
use self::queue::Waiting;
pub use self::settings::AgentSettings;
use self::slots::Slots;
use crate::AttemptEvent;
use crate::AttemptEventKind;
use crate::Popularity;
use crate::RefuseReason;
use crate::ReplicaReport;

/// Owns one backend server: what it runs next and which adapter is in which slot.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    policy: Policy,
    weights: ObjectiveWeights,
    config: ConfigVersion,
    ownership: Ownership,
    leaving: bool,
    drained: bool,
    queue: Queue,
    parked: Vec<AttemptRequest>,
    slots: Slots,
    epoch: Option<u64>,
    inspected: MonoTime,
    calls: HashMap<AttemptId, Call>,
    running_key: usize,
    filling: usize,
    key_streak: u32,
    popularity: Popularity,
    failures: Failures,
    load: LoadPlan,
    call_ms: Average,
    load_ms: Average,
    actions: Vec<AgentAction>,
}

impl Agent {
    /// Key-account calls that may overtake waiting routine work in a row.
    const KEY_STREAK_MAX: u32 = 6;
    /// Startable requests beyond the batch's room that make another load useless for now.
    const CALLS_AHEAD: usize = 2;
    /// The time between two looks at calls that others made.
    const INSPECT_MS: u64 = 300;
    /// The longest time that an offer waits for its configuration version.
    const PARK_MAX_MS: u64 = 3000;

    /// Creates the agent of a backend server whose slots are not known yet.
    pub fn new(settings: AgentSettings) -> Self {
        let slots = Slots::new(settings.slot_limit);
        Self {
            policy: Policy::default(),
            weights: ObjectiveWeights::default(),
            config: ConfigVersion::default(),
            ownership: Ownership::None,
            leaving: false,
            drained: false,
            queue: Queue::default(),
            parked: Vec::new(),
            slots,
            epoch: None,
            inspected: MonoTime::ZERO,
            calls: HashMap::new(),
            running_key: 0,
            filling: 0,
            key_streak: 0,
            popularity: Popularity::new(Popularity::HALF_LIFE_S),
            failures: Failures::default(),
            load: LoadPlan::default(),
            call_ms: Average::new(settings.initial_call_ms),
            load_ms: Average::new(settings.initial_load_ms),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes in one input and returns what is to be done.
    pub fn handle(&mut self, now: MonoTime, input: AgentInput) -> Vec<AgentAction> {
        match input {
            AgentInput::Submit(offer) => self.offer(now, offer),
            AgentInput::Cancel { attempt } => self.cancel(&attempt),
            AgentInput::Chunk { attempt, text } => {
                // A piece changes nothing that calls or loads are decided by.
                self.emit_call(&attempt, AttemptEventKind::Chunk { text });
                return std::mem::take(&mut self.actions);
            }
            AgentInput::StreamBroken { attempt, fault, resumable } => {
                self.broken(&attempt, fault, resumable);
            }
            AgentInput::CallEnded { attempt, kind } => self.end(now, &attempt, kind),
            AgentInput::Loaded { adapter } => self.loaded(now, &adapter),
            AgentInput::LoadFailed { adapter, known_absent: certain } => {
                self.load_failed(now, &adapter, certain);
            }
            AgentInput::LoadGranted { grant_id: grant, adapter, hold_ms } => {
                self.load.granted(grant, adapter, now.plus_ms(hold_ms));
            }
            AgentInput::CoordinatorLost => self.load.keeper_lost(now),
            AgentInput::EngineListed(state) => self.engine(now, &state),
            AgentInput::Ownership(ownership) => self.own(ownership),
            AgentInput::Config { version, policy, weights } => {
                self.configure(now, version, policy, weights);
            }
            AgentInput::Drain => self.drain(),
            AgentInput::Tick => self.tick(now),
        }

        self.start_calls(now);
        self.plan_loads(now);
        self.start_calls(now);
        self.check_drained();
        std::mem::take(&mut self.actions)
    }

    /// Describes the replica for the entries.
    pub fn report(&self, now: MonoTime) -> ReplicaReport {
        let spare = self.spare_rates(now).into_iter();
        let spare = spare.map(|per_s| (per_s * 1000.0) as u32).collect();
        let waiting = self.queue.len() + self.parked.len();
        ReplicaReport {
            node: self.settings.node.clone(),
            service: self.settings.service.clone(),
            loaded_adapters: self.slots.resident().cloned().collect(),
            pending_adapters: self.queue.absent(&self.slots).take(64).cloned().collect(),
            pending_key_account_adapters: self.queue.absent_key(&self.slots) as u32,
            queued_in_share: (waiting - self.queue.len_over_share()) as u32,
            queued_over_share: self.queue.len_over_share() as u32,
            queued_key_account: self.queue.len_of(Class::KeyAccount) as u32,
            running_in_share: (self.calls.len() - self.filling) as u32,
            batch_limit: self.settings.batch_limit as u32,
            slot_limit: self.settings.slot_limit as u32,
            spare_rates_per_1000s: spare,
            mean_call_ms: self.call_ms.value() as u32,
            mean_load_ms: self.load_ms.value() as u32,
        }
    }

    /// Returns whether the agent takes no new work.
    pub fn is_draining(&self) -> bool {
        self.leaving
    }

    /// Returns the configuration version in force here.
    pub fn config_version(&self) -> ConfigVersion {
        self.config
    }

    /// Returns the number of attempts that wait and that run.
    pub fn attempt_counts(&self) -> (usize, usize) {
        (self.queue.len() + self.parked.len(), self.calls.len())
    }

    /// Returns each adapter in a slot with the number of calls that it serves.
    pub fn calls_by_adapter(&self) -> Vec<(AdapterRef, usize)> {
        self.slots.serving()
    }

    fn offer(&mut self, now: MonoTime, offer: AttemptRequest) {
        if let Some(reason) = self.refuses(now, &offer) {
            self.refuse(offer.attempt, reason);
            return;
        }
        if offer.config_version > self.config {
            self.actions.push(AgentAction::FetchConfig { version: offer.config_version });
            self.parked.push(AttemptRequest { arrived_at: now, ..offer });
            return;
        }
        if offer.is_resume
            && offer.target.adapter().is_some_and(|adapter| self.slots.holds(adapter))
        {
            // The call that broke off still has its place in the batch.
            self.start(now, Waiting { offer, over_share: false });
            return;
        }
        self.enqueue(now, offer);
    }

    fn refuses(&self, now: MonoTime, offer: &AttemptRequest) -> Option<RefuseReason> {
        if self.leaving {
            return Some(RefuseReason::Leaving);
        }
        if offer.service != self.settings.service {
            return Some(RefuseReason::WrongService);
        }
        if self.queue.len() + self.parked.len() >= self.settings.queue_max {
            return Some(RefuseReason::Full);
        }
        if self.ownership == Ownership::Lost {
            return Some(RefuseReason::NoLease);
        }
        let adapter = offer.target.adapter()?;
        if self.failures.given_up(now, adapter) && !self.slots.holds(adapter) {
            return Some(RefuseReason::LoadFailed);
        }
        None
    }

    fn enqueue(&mut self, now: MonoTime, offer: AttemptRequest) {
        if let Some(adapter) = offer.target.adapter() {
            self.popularity.set_rate(now, adapter, f64::from(offer.demand_per_1000s) / 1000.0);
        }
        let spacing_ms = self.call_ms.value() / self.settings.batch_limit as f64;
        self.queue.push(self.policy.queue, offer, spacing_ms);
    }

    fn cancel(&mut self, attempt: &AttemptId) {
        if self.queue.remove(attempt).is_some() {
            return;
        }
        if let Some(index) = self.parked.iter().position(|offer| offer.attempt == *attempt) {
            self.parked.remove(index);
            return;
        }
        if let Some(call) = self.calls.get_mut(attempt)
            && !call.cancelled
        {
            // The slot stays in use until the engine has let go of the call.
            call.cancelled = true;
            self.actions.push(AgentAction::CancelCall { attempt: attempt.clone() });
        }
    }

    fn engine(&mut self, now: MonoTime, state: &EngineState) {
        let restarted = self.epoch.is_some_and(|epoch| epoch != state.epoch);
        self.epoch = Some(state.epoch);
        self.slots.reconcile(&state.adapters, restarted, now);
        if restarted {
            self.actions.push(AgentAction::EngineRestarted { epoch: state.epoch });
        }
    }

    fn own(&mut self, ownership: Ownership) {
        self.ownership = ownership;
        if ownership != Ownership::Lost {
            return;
        }
        for waiting in self.queue.drain_all() {
            self.refuse(waiting.offer.attempt, RefuseReason::NoLease);
        }
    }

    fn configure(
        &mut self,
        now: MonoTime,
        version: ConfigVersion,
        policy: Policy,
        weights: ObjectiveWeights,
    ) {
        if version <= self.config {
            return;
        }
        self.config = version;
        self.policy = policy;
        self.weights = weights;

        let (ready, parked): (Vec<_>, Vec<_>) =
            self.parked.drain(..).partition(|offer| offer.config_version <= version);
        self.parked = parked;
        for offer in ready {
            self.enqueue(now, offer);
        }
    }

    fn drain(&mut self) {
        self.leaving = true;
        let waiting = self.queue.drain_all().into_iter().map(|waiting| waiting.offer.attempt);
        let parked = self.parked.drain(..).map(|offer| offer.attempt);
        for attempt in waiting.chain(parked).collect::<Vec<_>>() {
            self.refuse(attempt, RefuseReason::Leaving);
        }
    }

    fn check_drained(&mut self) {
        if self.leaving && !self.drained && self.calls.is_empty() {
            self.drained = true;
            self.actions.push(AgentAction::Drained);
        }
    }

    fn tick(&mut self, now: MonoTime) {
        self.expire_parked(now);
        // Calls of a former owner keep their adapters in use until the engine says otherwise.
        if self.slots.has_foreign() && now.ms_since(self.inspected) >= Self::INSPECT_MS {
            self.inspected = now;
            self.actions.push(AgentAction::ListAdapters);
        }
    }

    fn expire_parked(&mut self, now: MonoTime) {
        let late = |offer: &AttemptRequest| now.ms_since(offer.arrived_at) >= Self::PARK_MAX_MS;
        let (expired, parked): (Vec<_>, Vec<_>) = self.parked.drain(..).partition(late);
        self.parked = parked;
        for offer in expired {
            self.refuse(offer.attempt, RefuseReason::Behind);
        }
    }

    fn refuse(&mut self, attempt: AttemptId, reason: RefuseReason) {
        let retry_after_ms = match reason {
            RefuseReason::Leaving | RefuseReason::WrongService => 0,
            RefuseReason::Full => self.call_ms.value() as u64,
            RefuseReason::LoadFailed => Failures::GIVE_UP_MS,
            RefuseReason::Behind | RefuseReason::NoLease | RefuseReason::BackendDown => 1000,
        };
        let config_version = self.config;
        let kind = AttemptEventKind::Refused { reason, retry_after_ms, config_version };
        self.actions.push(AgentAction::SendEvent(AttemptEvent { attempt, sequence: 0, kind }));
    }

    fn emit_call(&mut self, attempt: &AttemptId, kind: AttemptEventKind) {
        let Some(call) = self.calls.get_mut(attempt).filter(|call| !call.cancelled) else {
            return;
        };
        let sequence = call.sequence;
        call.sequence += 1;
        let attempt = attempt.clone();
        self.actions.push(AgentAction::SendEvent(AttemptEvent { attempt, sequence, kind }));
    }
}
