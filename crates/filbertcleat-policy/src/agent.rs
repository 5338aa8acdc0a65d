//! Request scheduling and adapter placement for one backend server.

mod action;
mod attempt_request;
mod call;
mod dispatch;
mod engine_state;
mod input;
mod load_failures;
mod loads;
mod moving_average;
mod permit;
mod priority;
mod queue;
mod settings;
mod slot;
mod slots;

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
pub use self::attempt_request::AttemptRequest;
use self::call::Call;
pub use self::engine_state::EngineState;
pub use self::engine_state::LoadedAdapter;
pub use self::input::AgentInput;
use self::load_failures::LoadFailures;
use self::moving_average::MovingAverage;
use self::permit::PermitClient;
pub use self::priority::Priority;
use self::queue::LoadCandidate;
use self::queue::Queue;
use self::queue::QueuedRequest;
pub use self::settings::AgentSettings;
use self::slots::Slots;
use crate::AttemptEvent;
use crate::AttemptEventKind;
use crate::Popularity;
use crate::RefuseReason;
use crate::ReplicaReport;

/// Schedules the calls and adapter loads of one backend server.
///
/// The agent queues the attempts that entries send, decides which of them the engine runs next, and
/// decides which adapter each slot holds.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    policy: Policy,
    weights: ObjectiveWeights,
    config_version: ConfigVersion,
    ownership: Ownership,
    /// Whether the agent refuses new attempts.
    draining: bool,
    /// Whether the end of the drain was reported.
    drained: bool,
    queue: Queue,
    /// Attempts that name a configuration version newer than `config_version`.
    awaiting_config: Vec<AttemptRequest>,
    slots: Slots,
    engine_epoch: Option<u64>,
    /// When the adapters were last listed because of foreign calls.
    list_requested_at: MonoTime,
    calls: HashMap<AttemptId, Call>,
    /// The number of running key-account calls.
    key_account_calls: usize,
    /// The number of running calls beyond their adapters' fair shares.
    backfill_calls: usize,
    /// The number of key-account calls started in a row while routine requests were startable.
    key_account_streak: u32,
    popularity: Popularity,
    load_failures: LoadFailures,
    permit_client: PermitClient,
    mean_call_ms: MovingAverage,
    mean_load_ms: MovingAverage,
    actions: Vec<AgentAction>,
}

impl Agent {
    /// The number of key-account calls in a row that may start ahead of waiting routine requests.
    const KEY_ACCOUNT_STREAK_MAX: u32 = 6;
    /// The number of startable requests beyond the free batch capacity from which a load for a
    /// later request is postponed.
    const READY_BACKLOG_MIN: usize = 2;
    /// The minimum interval between two adapter listings while calls of a former owner are running.
    const LIST_INTERVAL_MS: u64 = 300;
    /// The longest time that an attempt waits for the configuration version it names.
    const CONFIG_WAIT_MAX_MS: u64 = 3000;

    /// Creates the agent of a backend server whose slots have not been listed yet.
    pub fn new(settings: AgentSettings) -> Self {
        let slots = Slots::new(settings.slot_limit);
        Self {
            policy: Policy::default(),
            weights: ObjectiveWeights::default(),
            config_version: ConfigVersion::default(),
            ownership: Ownership::None,
            draining: false,
            drained: false,
            queue: Queue::default(),
            awaiting_config: Vec::new(),
            slots,
            engine_epoch: None,
            list_requested_at: MonoTime::ZERO,
            calls: HashMap::new(),
            key_account_calls: 0,
            backfill_calls: 0,
            key_account_streak: 0,
            popularity: Popularity::new(Popularity::HALF_LIFE_S),
            load_failures: LoadFailures::default(),
            permit_client: PermitClient::default(),
            mean_call_ms: MovingAverage::new(settings.initial_call_ms),
            mean_load_ms: MovingAverage::new(settings.initial_load_ms),
            actions: Vec::new(),
            settings,
        }
    }

    /// Applies one input and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: MonoTime, input: AgentInput) -> Vec<AgentAction> {
        match input {
            AgentInput::Submit(request) => self.submit(now, request),
            AgentInput::Cancel { attempt } => self.cancel(&attempt),
            AgentInput::Chunk { attempt, text } => {
                // A chunk changes nothing that the scheduling of calls and loads depends on.
                self.send_call_event(&attempt, AttemptEventKind::Chunk { text });
                return std::mem::take(&mut self.actions);
            }
            AgentInput::StreamBroken { attempt, fault, resumable } => {
                self.stream_broken(&attempt, fault, resumable);
            }
            AgentInput::CallEnded { attempt, kind } => self.call_ended(now, &attempt, kind),
            AgentInput::Loaded { adapter } => self.load_finished(now, &adapter),
            AgentInput::LoadFailed { adapter, known_absent } => {
                self.load_failed(now, &adapter, known_absent);
            }
            AgentInput::LoadGranted { grant_id, adapter, hold_ms } => {
                self.permit_client.grant(grant_id, adapter, now.plus_ms(hold_ms));
            }
            AgentInput::CoordinatorLost => self.permit_client.coordinator_lost(now),
            AgentInput::EngineListed(state) => self.apply_engine_state(now, &state),
            AgentInput::Ownership(ownership) => self.set_ownership(ownership),
            AgentInput::Config { version, policy, weights } => {
                self.apply_config(now, version, policy, weights);
            }
            AgentInput::Drain => self.drain(),
            AgentInput::Tick => self.tick(now),
        }

        self.start_calls(now);
        self.plan_loads(now);
        // The load plan may have released a reserved slot, so further requests may be startable.
        self.start_calls(now);
        self.check_drained();
        std::mem::take(&mut self.actions)
    }

    /// Returns the state of the replica that is published to the entries.
    pub fn report(&self, now: MonoTime) -> ReplicaReport {
        let spare_rates = self.spare_slot_rates(now).into_iter();
        let spare_rates = spare_rates.map(|per_s| (per_s * 1000.0) as u32).collect();
        let waiting = self.queue.len() + self.awaiting_config.len();
        ReplicaReport {
            node: self.settings.node.clone(),
            service: self.settings.service.clone(),
            loaded_adapters: self.slots.loaded_adapters().cloned().collect(),
            pending_adapters: self.queue.unloaded_adapters(&self.slots).take(64).cloned().collect(),
            pending_key_account_adapters: self.queue.count_unloaded_key_account(&self.slots) as u32,
            queued_in_share: (waiting - self.queue.len_over_share()) as u32,
            queued_over_share: self.queue.len_over_share() as u32,
            queued_key_account: self.queue.len_of_class(Class::KeyAccount) as u32,
            running_in_share: (self.calls.len() - self.backfill_calls) as u32,
            batch_limit: self.settings.batch_limit as u32,
            slot_limit: self.settings.slot_limit as u32,
            spare_rates_per_1000s: spare_rates,
            mean_call_ms: self.mean_call_ms.value() as u32,
            mean_load_ms: self.mean_load_ms.value() as u32,
        }
    }

    /// Returns whether the agent is draining and refuses new attempts.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the configuration version in force at this agent.
    pub fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Returns the number of waiting attempts and the number of running calls.
    pub fn attempt_counts(&self) -> (usize, usize) {
        (self.queue.len() + self.awaiting_config.len(), self.calls.len())
    }

    /// Returns each loaded adapter with its number of running calls.
    pub fn calls_by_adapter(&self) -> Vec<(AdapterRef, usize)> {
        self.slots.calls_by_adapter()
    }

    /// Refuses, starts or queues an attempt, or holds it until its configuration version is known.
    fn submit(&mut self, now: MonoTime, request: AttemptRequest) {
        if let Some(reason) = self.refusal_reason(now, &request) {
            self.refuse(request.attempt, reason);
            return;
        }
        if request.config_version > self.config_version {
            self.actions.push(AgentAction::FetchConfig { version: request.config_version });
            self.awaiting_config.push(AttemptRequest { arrived_at: now, ..request });
            return;
        }
        if request.is_resume
            && request.target.adapter().is_some_and(|adapter| self.slots.is_loaded(adapter))
        {
            // The interrupted call still occupies a slot of the engine's batch, so its resumption
            // does not queue.
            self.start_call(now, QueuedRequest { request, over_share: false });
            return;
        }
        self.enqueue(now, request);
    }

    /// Returns why an attempt is refused on arrival, if it is.
    fn refusal_reason(&self, now: MonoTime, request: &AttemptRequest) -> Option<RefuseReason> {
        if self.draining {
            return Some(RefuseReason::Leaving);
        }
        if request.service != self.settings.service {
            return Some(RefuseReason::WrongService);
        }
        if self.queue.len() + self.awaiting_config.len() >= self.settings.queue_max {
            return Some(RefuseReason::Full);
        }
        if self.ownership == Ownership::Lost {
            return Some(RefuseReason::NoLease);
        }
        let adapter = request.target.adapter()?;
        if self.load_failures.is_given_up(now, adapter) && !self.slots.is_loaded(adapter) {
            return Some(RefuseReason::LoadFailed);
        }
        None
    }

    fn enqueue(&mut self, now: MonoTime, request: AttemptRequest) {
        if let Some(adapter) = request.target.adapter() {
            self.popularity.set_rate(now, adapter, f64::from(request.demand_per_1000s) / 1000.0);
        }
        let spacing_ms = self.mean_call_ms.value() / self.settings.batch_limit as f64;
        self.queue.push(self.policy.queue, request, spacing_ms);
    }

    fn cancel(&mut self, attempt: &AttemptId) {
        if self.queue.remove(attempt).is_some() {
            return;
        }
        if let Some(index) =
            self.awaiting_config.iter().position(|request| request.attempt == *attempt)
        {
            self.awaiting_config.remove(index);
            return;
        }
        if let Some(call) = self.calls.get_mut(attempt)
            && !call.cancelled
        {
            // The call counts as running until the engine reports that it has ended.
            call.cancelled = true;
            self.actions.push(AgentAction::CancelCall { attempt: attempt.clone() });
        }
    }

    fn apply_engine_state(&mut self, now: MonoTime, state: &EngineState) {
        let restarted = self.engine_epoch.is_some_and(|epoch| epoch != state.epoch);
        self.engine_epoch = Some(state.epoch);
        self.slots.reconcile(&state.adapters, restarted, now);
        if restarted {
            self.actions.push(AgentAction::EngineRestarted { epoch: state.epoch });
        }
    }

    /// Applies a change of the lease; the loss of the lease refuses all queued attempts.
    fn set_ownership(&mut self, ownership: Ownership) {
        self.ownership = ownership;
        if ownership != Ownership::Lost {
            return;
        }
        for queued in self.queue.drain_all() {
            self.refuse(queued.request.attempt, RefuseReason::NoLease);
        }
    }

    /// Applies a newer configuration and queues the attempts that waited for it.
    fn apply_config(
        &mut self,
        now: MonoTime,
        version: ConfigVersion,
        policy: Policy,
        weights: ObjectiveWeights,
    ) {
        if version <= self.config_version {
            return;
        }
        self.config_version = version;
        self.policy = policy;
        self.weights = weights;

        let (ready, still_waiting): (Vec<_>, Vec<_>) =
            self.awaiting_config.drain(..).partition(|request| request.config_version <= version);
        self.awaiting_config = still_waiting;
        for request in ready {
            self.enqueue(now, request);
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        let queued = self.queue.drain_all().into_iter().map(|queued| queued.request.attempt);
        let awaiting_config = self.awaiting_config.drain(..).map(|request| request.attempt);
        for attempt in queued.chain(awaiting_config).collect::<Vec<_>>() {
            self.refuse(attempt, RefuseReason::Leaving);
        }
    }

    fn check_drained(&mut self) {
        if self.draining && !self.drained && self.calls.is_empty() {
            self.drained = true;
            self.actions.push(AgentAction::Drained);
        }
    }

    fn tick(&mut self, now: MonoTime) {
        self.expire_config_waits(now);
        // Calls of a former owner keep their adapters from being evicted. Only the engine's listing
        // shows when they have ended.
        if self.slots.has_foreign_calls()
            && now.ms_since(self.list_requested_at) >= Self::LIST_INTERVAL_MS
        {
            self.list_requested_at = now;
            self.actions.push(AgentAction::ListAdapters);
        }
    }

    /// Refuses attempts whose configuration version has not arrived in time.
    fn expire_config_waits(&mut self, now: MonoTime) {
        let has_expired =
            |request: &AttemptRequest| now.ms_since(request.arrived_at) >= Self::CONFIG_WAIT_MAX_MS;
        let (expired, still_waiting): (Vec<_>, Vec<_>) =
            self.awaiting_config.drain(..).partition(has_expired);
        self.awaiting_config = still_waiting;
        for request in expired {
            self.refuse(request.attempt, RefuseReason::Behind);
        }
    }

    /// Refuses an attempt that was never handed to the backend server.
    fn refuse(&mut self, attempt: AttemptId, reason: RefuseReason) {
        let retry_after_ms = match reason {
            RefuseReason::Leaving | RefuseReason::WrongService => 0,
            RefuseReason::Full => self.mean_call_ms.value() as u64,
            RefuseReason::LoadFailed => LoadFailures::GIVE_UP_MS,
            RefuseReason::Behind | RefuseReason::NoLease | RefuseReason::BackendDown => 1000,
        };
        let config_version = self.config_version;
        let kind = AttemptEventKind::Refused { reason, retry_after_ms, config_version };
        self.actions.push(AgentAction::SendEvent(AttemptEvent { attempt, sequence: 0, kind }));
    }

    /// Sends the next event of a running call; a cancelled call sends none.
    fn send_call_event(&mut self, attempt: &AttemptId, kind: AttemptEventKind) {
        let Some(call) = self.calls.get_mut(attempt).filter(|call| !call.cancelled) else {
            return;
        };
        let sequence = call.next_sequence;
        call.next_sequence += 1;
        let attempt = attempt.clone();
        self.actions.push(AgentAction::SendEvent(AttemptEvent { attempt, sequence, kind }));
    }
}
