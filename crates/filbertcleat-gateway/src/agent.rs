//! The agent process, which loads and unloads the models and adapters of the engine on its VM.

mod engine_notices;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::Step;
use filbertcleat_platform::CallError;
use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::AllowanceBounds;
use filbertcleat_serve::AllowanceBuckets;
use filbertcleat_serve::AllowanceMessage;
use filbertcleat_serve::BucketId;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::Fact;
use filbertcleat_serve::ObservationPool;
use filbertcleat_serve::Order;
use filbertcleat_serve::OrderKind;
use filbertcleat_serve::PromptTurns;
use filbertcleat_serve::SharedFacts;
use filbertcleat_serve::StreamOrigins;
use filbertcleat_serve::UpdateRecipients;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;

use self::engine_notices::EngineNotices;
use crate::EngineAnswer;
use crate::EngineControl;
use crate::OrderResponse;
use crate::ServerNotice;
use crate::ShutdownSignal;
use crate::clock::Clock;
use crate::clock::unix_ms;
use crate::listen::bind_if;
use crate::logs::dropped_log_lines;
use crate::metrics::Metric;
use crate::metrics::Metrics;
use crate::metrics::WorkspaceUse;
use crate::metrics::serve_metrics;
use crate::panics::contain;
use crate::peer_socket::PeerSocket;
use crate::peer_socket::PeerUpdate;
use crate::peer_socket::incarnation_id;

/// The sockets of an agent.
#[derive(Debug)]
pub struct AgentListeners {
    socket: PeerSocket,
    metrics: Option<TcpListener>,
    /// The bound address to which entries send updates.
    pub peer_address: SocketAddr,
}

impl AgentListeners {
    /// Binds the addresses. Fails if one of them can't be bound.
    pub async fn bind(peers: SocketAddr, metrics: Option<SocketAddr>) -> Result<Self, Fault> {
        let fault = |error| Fault::new(Step::Connect, peers, error);
        let socket = PeerSocket::bind(peers).await.map_err(fault)?;
        let peer_address = socket.local_address().map_err(fault)?;
        Ok(Self { socket, metrics: bind_if(metrics).await?, peer_address })
    }
}

/// Runs an agent until `shutdown` is triggered. It must run within a `LocalSet`.
///
/// Without bounds on allowances it holds no tokens of workspaces. It believes no start of a server
/// that lies further in the future than the clocks of two machines may differ.
pub async fn run_agent<E: EngineControl>(
    name: &NodeName,
    allowance_bounds: Option<AllowanceBounds>,
    clock_difference_ms: u64,
    listeners: AgentListeners,
    engine: E,
    shutdown: ShutdownSignal,
) {
    let AgentListeners { socket, metrics: metrics_listener, peer_address } = listeners;
    log::info!("event=start role=agent node={name} peers={peer_address}");
    let metrics = Metrics::new();
    let clock = Clock::start();
    let engine_reported_at = Rc::new(Cell::new(MonoTime::ZERO));
    let id = incarnation_id();
    let allowances = allowance_bounds
        .map(|bounds| Rc::new(RefCell::new(AllowanceBuckets::new(id as u32, bounds))));
    if let Some(listener) = metrics_listener {
        let held = allowances.clone();
        let reported_at = Rc::clone(&engine_reported_at);
        let refresh = move |metrics: &Metrics| {
            metrics.gauge(Metric::EngineAge, &[], clock.now().ms_since(reported_at.get()));
            metrics.gauge(Metric::DroppedLogLines, &[], dropped_log_lines());
            if let Some(held) = &held {
                update_level_gauges(metrics, clock.now(), &held.borrow());
            }
        };
        spawn_local(serve_metrics(listener, metrics.clone(), refresh));
    }
    let mut agent = Agent {
        clock,
        metrics,
        engine_reported_at,
        engine: Rc::new(engine),
        call: None,
        needs_report: false,
        socket,
        scheduler: AdapterScheduler::new(id),
        recipients: UpdateRecipients::default(),
        origins: StreamOrigins::default(),
        facts: SharedFacts::default(),
        clock_difference_ms,
        observations: ObservationPool::default(),
        prompt_turns: PromptTurns::default(),
        allowances,
        all_facts_at: MonoTime::ZERO,
        last_update: None,
        last_update_at: MonoTime::ZERO,
        id,
        sequence: 0,
        is_engine_lost: false,
        notices: EngineNotices::default(),
    };
    let metrics = agent.metrics.clone();
    let run = async {
        while contain("agent", &metrics, agent.run()).await.is_none() {
            agent.on_panic();
            tokio::time::sleep(Agent::<E>::RESTART_PAUSE).await;
        }
    };
    tokio::select! {
        () = run => {}
        () = shutdown.triggered() => {}
    }
    log::info!("event=stop role=agent node={name}");
}

/// The result of a call to the engine; at most one call is in progress at a time.
enum CallResult {
    Report(EngineAnswer<Result<EngineReport, Fault>>),
    Order(Order, EngineAnswer<Result<OrderResponse, CallError>>),
    /// The call ended without a result, by a panic.
    None,
}

struct Agent<E> {
    clock: Clock,
    metrics: Metrics,
    engine_reported_at: Rc<Cell<MonoTime>>,
    engine: Rc<E>,
    call: Option<JoinHandle<CallResult>>,
    /// Whether the engine has to report before the next order.
    needs_report: bool,
    socket: PeerSocket,
    scheduler: AdapterScheduler,
    recipients: UpdateRecipients,
    origins: StreamOrigins,
    facts: SharedFacts,
    clock_difference_ms: u64,
    observations: ObservationPool,
    prompt_turns: PromptTurns,
    /// The tokens of workspaces, if the settings bound their allowances.
    allowances: Option<Rc<RefCell<AllowanceBuckets>>>,
    /// When the next list of all facts may be sent.
    all_facts_at: MonoTime,
    last_update: Option<AgentUpdate>,
    last_update_at: MonoTime,
    /// The id of this incarnation of the agent.
    id: u64,
    sequence: u64,
    is_engine_lost: bool,
    notices: EngineNotices,
}

impl<E: EngineControl> Agent<E> {
    /// The pause after a panic, in which the engine can report.
    const RESTART_PAUSE: Duration = Duration::from_millis(100);
    /// The interval between reports of the engine. The engine is on the same VM, so a call is cheap
    /// and its response current.
    const REPORT_INTERVAL: Duration = Duration::from_millis(100);
    /// The interval while an order is in progress or awaited: a tenth of the time to load an
    /// adapter.
    const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(25);
    /// The longest interval between two updates. Entries treat an update as stale after 1,600 ms,
    /// so that three may be lost.
    const UPDATE_INTERVAL_MS: u64 = 400;
    /// The shortest interval between updates on the prompts of other entries. A longer one lets
    /// several entries send prompts to the engine at the same time.
    const PROMPT_UPDATE_INTERVAL_MS: u64 = 1;
    /// The pause after a list of all facts, per fact. It limits lists to about 300 KB a second,
    /// however many entries differ.
    const FACT_PAUSE_US: u64 = 100;
    /// The shortest interval between updates in which only the load changed.
    const LOAD_UPDATE_INTERVAL_MS: u64 = 100;

    async fn run(&mut self) {
        let mut buffer = Vec::new();
        let mut report_at = Instant::now();
        loop {
            let report_due = report_at.max(self.clock.instant(self.notices.paused_until()));
            tokio::select! {
                (update, from) = self.socket.receive(&mut buffer) => {
                    let now = self.clock.now();
                    let Some(update) = self.handle_facts(now, from, update) else { continue };
                    self.recipients.on_entry_update(now, from, &update);
                    let was_busy = self.scheduler.needs_frequent_reports(now);
                    self.scheduler.apply_entry_update(now, update);
                    if self.scheduler.needs_frequent_reports(now) && !was_busy {
                        report_at = report_at.min(Instant::now() + Self::BUSY_REPORT_INTERVAL);
                    }
                }
                result = call_result(&mut self.call) => {
                    self.call = None;
                    match result {
                        CallResult::Report(EngineAnswer { result, notice }) => {
                            self.apply_notice(notice, result.is_ok());
                            if notice.pause.is_none() {
                                self.apply_report(result);
                            }
                            report_at = Instant::now() + self.report_interval();
                        }
                        CallResult::Order(order, EngineAnswer { result, notice }) => {
                            self.apply_notice(notice, false);
                            self.apply_response(&order, result);
                        }
                        CallResult::None => {
                            self.on_panic();
                            report_at = Instant::now() + Self::REPORT_INTERVAL;
                        }
                    }
                }
                () = tokio::time::sleep_until(report_due), if self.call.is_none() => {
                    self.request_report();
                }
            }
            self.send_order();
            self.send_updates();
        }
    }

    /// Gives up the call in progress. An order in it may have been carried out, so the next one waits
    /// for a report.
    fn on_panic(&mut self) {
        self.call = None;
        self.needs_report = true;
    }

    /// Handles what the agent holds for entries, and returns any update of an entry.
    fn handle_facts(
        &mut self,
        now: MonoTime,
        from: SocketAddr,
        update: PeerUpdate,
    ) -> Option<EntryUpdate> {
        match update {
            PeerUpdate::Entry(update) => {
                if update.facts_digest.is_some_and(|digest| digest != self.facts.digest()) {
                    self.send_all_facts(now, from);
                }
                return Some(update);
            }
            PeerUpdate::Facts { facts, .. } => self.pass_on(now, from, &facts),
            PeerUpdate::Origin(origin) => self.origins.record(now, origin),
            PeerUpdate::OriginQuery(request) => {
                let origin = self.origins.of(request).cloned();
                self.socket.send(from, &PeerUpdate::OriginReply(request, origin));
            }
            PeerUpdate::Allowance(message) => self.handle_allowance(now, from, &message),
            PeerUpdate::Observations { entry, services } => {
                self.observations.record(now, entry, services);
                let services = self.observations.others(entry);
                self.socket.send(from, &PeerUpdate::Observations { entry, services });
            }
            PeerUpdate::PromptTurn { turn, request } => {
                let reply = self.prompt_turns.assign(now, request);
                self.socket.send(from, &PeerUpdate::PromptTurnReply { turn, reply });
            }
            PeerUpdate::Agent(_)
            | PeerUpdate::OriginReply(..)
            | PeerUpdate::PromptTurnReply { .. } => {
                log::debug!("event=news-unexpected peer={from}");
            }
        }
        None
    }

    /// Answers a request for tokens of a workspace, or takes tokens back.
    fn handle_allowance(&self, now: MonoTime, from: SocketAddr, message: &AllowanceMessage) {
        let Some(allowances) = &self.allowances else { return };
        let mut allowances = allowances.borrow_mut();
        match message {
            AllowanceMessage::Request(request) => {
                allowances.set_leaving(self.notices.is_leaving());
                let grant = allowances.on_request(now, request);
                log::debug!(
                    "event=allowance-grant workspace={:016x} bucket={:?} peer={from} needed={} \
                     granted={} wait_ms={}",
                    request.workspace,
                    request.bucket,
                    request.needed,
                    grant.granted,
                    grant.wait_ms
                );
                let grant = PeerUpdate::Allowance(AllowanceMessage::Grant(grant));
                self.socket.send(from, &grant);
            }
            AllowanceMessage::Return(given) => allowances.on_return(now, given),
            AllowanceMessage::Move(notice) => allowances.on_moved(notice),
            AllowanceMessage::Grant(_) => log::debug!("event=news-unexpected peer={from}"),
        }
    }

    /// Sends all facts to an entry, unless lists were sent so recently that the entry has to ask
    /// again.
    fn send_all_facts(&mut self, now: MonoTime, to: SocketAddr) {
        if now < self.all_facts_at {
            return;
        }
        let facts = self.facts.all(now);
        let pause_us = facts.len() as u64 * Self::FACT_PAUSE_US;
        self.all_facts_at = now + Duration::from_micros(pause_us);
        self.socket.send(to, &PeerUpdate::Facts { facts, is_complete: true });
    }

    /// Merges the facts of an entry, and tells the other entries those that are new.
    fn pass_on(&mut self, now: MonoTime, from: SocketAddr, facts: &[Fact]) {
        let start_max_unix_ms = unix_ms().saturating_add(self.clock_difference_ms);
        let believed = facts.iter().filter(|fact| fact.is_believable(start_max_unix_ms));
        let news = self.facts.merge(now, &believed.cloned().collect::<Vec<_>>());
        if news.is_empty() {
            return;
        }
        let update = PeerUpdate::Facts { facts: news, is_complete: false };
        for address in self.recipients.addresses().filter(|address| *address != from) {
            self.socket.send(address, &update);
        }
    }

    fn report_interval(&self) -> Duration {
        let is_busy = self.scheduler.needs_frequent_reports(self.clock.now());
        if is_busy { Self::BUSY_REPORT_INTERVAL } else { Self::REPORT_INTERVAL }
    }

    fn request_report(&mut self) {
        let engine = Rc::clone(&self.engine);
        self.call = Some(spawn_local(async move { CallResult::Report(engine.report().await) }));
    }

    /// Sends the next order, if one is due and no call to the engine is in progress.
    ///
    /// A report that overlaps with an order might not show the effect of the order.
    fn send_order(&mut self) {
        let accepts_orders = self.notices.accepts_orders(self.clock.now());
        if self.call.is_some() || self.needs_report || !accepts_orders {
            return;
        }
        let announcement_delay_ms = self.recipients.announcement_delay_ms();
        let Some(order) = self.scheduler.next_order(self.clock.now(), announcement_delay_ms) else {
            return;
        };
        let engine = Rc::clone(&self.engine);
        self.call = Some(spawn_local(async move {
            let response = engine.order(&order).await;
            CallResult::Order(order, response)
        }));
    }

    /// Applies what the engine announced in an answer.
    fn apply_notice(&mut self, notice: ServerNotice, is_complete_report: bool) {
        let now = self.clock.now();
        self.notices.apply(now, &self.metrics, notice, is_complete_report);
        if notice.pause.is_some() {
            // Without reports the agent has nothing current to tell entries.
            self.scheduler.on_engine_lost();
        }
    }

    /// Applies a report of the engine, or records that the engine did not respond.
    fn apply_report(&mut self, report: Result<EngineReport, Fault>) {
        self.needs_report = false;
        match report {
            Ok(report) => {
                if self.is_engine_lost {
                    self.is_engine_lost = false;
                    log::info!("event=engine-regained server={}", report.server);
                }
                let now = self.clock.now();
                self.engine_reported_at.set(now);
                let order_count = report.order_count;
                if self.scheduler.apply_report(now, report) {
                    log::info!("event=engine-start orders={order_count}");
                }
            }
            Err(fault) => {
                if !self.is_engine_lost {
                    self.is_engine_lost = true;
                    log::warn!("event=engine-lost reason=\"{fault}\"");
                }
                self.scheduler.on_engine_lost();
            }
        }
    }

    /// Applies the response to an order. Unless it was accepted, the next order waits for a report.
    fn apply_response(&mut self, order: &Order, response: Result<OrderResponse, CallError>) {
        let now = self.clock.now();
        let fields = order_fields(&order.kind);
        let expected = order.expected_order_count;
        let kind = match order.kind {
            OrderKind::LoadModel(_) => "load-model",
            OrderKind::UnloadModel(_) => "drop-model",
            OrderKind::LoadAdapter(..) => "load",
            OrderKind::UnloadAdapter(_) => "drop",
        };
        let outcome_tag = match &response {
            Ok(OrderResponse::Accepted | OrderResponse::Done) => "accepted",
            Ok(OrderResponse::Refused { .. } | OrderResponse::Misdirected) => "refused",
            Err(_) => "unknown",
        };
        self.metrics.count(Metric::Orders, &[("kind", kind), ("ending", outcome_tag)]);
        self.needs_report = outcome_tag != "accepted";
        match response {
            Ok(OrderResponse::Accepted | OrderResponse::Done) => {
                let is_done = matches!(response, Ok(OrderResponse::Done));
                let outcome = if is_done { "done" } else { "accepted" };
                log::info!("event=order {fields} expected={expected} outcome={outcome}");
                self.scheduler.on_accepted(now, order, is_done);
            }
            Ok(OrderResponse::Misdirected) => {
                let server = &order.server;
                log::info!(
                    "event=order {fields} expected={expected} outcome=misdirected server={server}"
                );
                self.scheduler.on_misdirected(now, order);
            }
            Ok(OrderResponse::Refused { status }) => {
                log::info!(
                    "event=order {fields} expected={expected} outcome=refused status={status}"
                );
                self.scheduler.on_refused(now, order);
            }
            Err(error) => {
                log::warn!(
                    "event=order {fields} expected={expected} outcome=unknown reason=\"{}\"",
                    error.fault
                );
            }
        }
    }

    /// Sends updates to the entries for which one is due.
    fn send_updates(&mut self) {
        let now = self.clock.now();
        let Some(update) = self.update(now) else { return };
        let since_ms = now.ms_since(self.last_update_at);
        let is_due = match &self.last_update {
            None => true,
            Some(last)
                if last.is_leaving != update.is_leaving
                    || last.limit != update.limit
                    || last.adapters != update.adapters
                    || last.available_models != update.available_models =>
            {
                true
            }
            Some(last) if last.others_prompt_tokens < update.others_prompt_tokens => {
                since_ms >= Self::PROMPT_UPDATE_INTERVAL_MS
            }
            Some(last) if *last != update => since_ms >= Self::LOAD_UPDATE_INTERVAL_MS,
            Some(_) => since_ms >= Self::UPDATE_INTERVAL_MS,
        };
        if is_due {
            self.update_gauges(&update);
            self.last_update = Some(update.clone());
            self.last_update_at = now;
        }
        self.sequence += 1;
        for (to, entry) in self.recipients.due_recipients(now, is_due) {
            let others_prompt_tokens = self.scheduler.others_prompt_tokens(now, entry);
            let update = AgentUpdate {
                sequence: self.sequence,
                others_prompt_tokens,
                others_total_tokens: self.scheduler.others_total_tokens(entry),
                ..update.clone()
            };
            self.socket.send(to, &PeerUpdate::Agent(update));
        }
    }

    fn update_gauges(&self, update: &AgentUpdate) {
        for (label, stage) in [
            ("held", AdapterStage::Loaded),
            ("coming", AdapterStage::Loading),
            ("going", AdapterStage::Unloading),
        ] {
            let number =
                update.adapters.iter().filter(|adapter| adapter.stage == stage).count() as u64;
            self.metrics.gauge(Metric::Adapters, &[("stage", label)], number);
        }
        self.metrics.gauge(Metric::EngineRunning, &[], u64::from(update.running_requests));
        self.metrics.gauge(Metric::EngineWaiting, &[], u64::from(update.waiting_requests));
        self.metrics.gauge(Metric::Entries, &[], u64::from(update.live_entries));
    }

    /// Returns the current update, or `None` until the engine has reported.
    fn update(&self, now: MonoTime) -> Option<AgentUpdate> {
        let report = self.scheduler.engine_report()?;
        Some(AgentUpdate {
            agent: self.id,
            server: report.server.clone(),
            sequence: 0,
            available_models: self.scheduler.available_models(),
            loading_models: report.loading_models.clone(),
            adapters: self.scheduler.adapters(),
            running_requests: report.running_requests,
            waiting_requests: report.waiting_requests,
            memory_used_tokens: report.memory_used_tokens,
            memory_tokens: report.memory_tokens,
            others_prompt_tokens: self.scheduler.others_prompt_tokens(now, self.id),
            others_total_tokens: 0,
            is_leaving: self.notices.is_leaving(),
            limit: self.notices.limit(),
            live_entries: u32::try_from(self.scheduler.live_entries(now)).unwrap_or(u32::MAX),
        })
    }
}

/// Sets the gauges of the tokens in buckets. Those that have granted most have one of their own; the
/// others share one, which shows the lowest.
fn update_level_gauges(metrics: &Metrics, now: MonoTime, allowances: &AllowanceBuckets) {
    metrics.clear(Metric::AllowanceLevel);
    let mut levels: Vec<_> = allowances.levels(now).collect();
    levels.sort_by(|left, right| right.granted.total_cmp(&left.granted));
    let others = levels.split_off(levels.len().min(WorkspaceUse::ROWS_MAX));
    for level in levels {
        let bucket = match level.bucket {
            BucketId::Main(number) => format!("{:016x}/{number}", level.workspace),
            BucketId::Standby => format!("{:016x}/standby", level.workspace),
        };
        let tags = [("bucket", bucket.as_str())];
        metrics.gauge(Metric::AllowanceLevel, &tags, level.tokens.max(0.0) as u64);
    }
    if let Some(lowest) = others.iter().map(|level| level.tokens).min_by(f64::total_cmp) {
        let tags = [("bucket", "other")];
        metrics.gauge(Metric::AllowanceLevel, &tags, lowest.max(0.0) as u64);
    }
}

/// Waits for the result of the call in progress; never returns if there is none.
async fn call_result(call: &mut Option<JoinHandle<CallResult>>) -> CallResult {
    match call {
        Some(call) => call.await.unwrap_or_else(|error| {
            log::error!("event=task-panicked task=engine-call reason=\"{error}\"");
            CallResult::None
        }),
        None => std::future::pending().await,
    }
}

/// Returns the log fields that describe an order.
fn order_fields(kind: &OrderKind) -> String {
    match kind {
        OrderKind::LoadModel(model) => format!("order=load-model model={model}"),
        OrderKind::UnloadModel(model) => format!("order=drop-model model={model}"),
        OrderKind::LoadAdapter(key, version) => {
            format!("order=load adapter={key} version={version}")
        }
        OrderKind::UnloadAdapter(key) => format!("order=drop adapter={key}"),
    }
}
