//! The agent beside an engine.

use std::cell::Cell;
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
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::OrderKind;
use filbertcleat_serve::UpdateRecipients;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::EngineControl;
use crate::OrderResponse;
use crate::ShutdownSignal;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::exchange::News;
use crate::exchange::sender_id;
use crate::listen::bind_if;
use crate::logs::dropped_log_lines;
use crate::metrics::Metric;
use crate::metrics::Metrics;
use crate::metrics::serve_metrics;

/// Where an agent listens.
#[derive(Debug)]
pub struct AgentListeners {
    exchange: Exchange,
    metrics: Option<TcpListener>,
    /// Entries speak to the agent here.
    pub peer_address: SocketAddr,
}

impl AgentListeners {
    /// Binds the addresses.
    pub async fn bind(peers: SocketAddr, metrics: Option<SocketAddr>) -> Result<Self, Fault> {
        let fault = |error| Fault::new(Step::Connect, peers, error);
        let exchange = Exchange::bind(peers).await.map_err(fault)?;
        let peer_address = exchange.local_address().map_err(fault)?;
        Ok(Self { exchange, metrics: bind_if(metrics).await?, peer_address })
    }
}

/// Runs the agent until it shall end; it has to run within a `LocalSet`.
pub async fn run_agent<E: EngineControl>(
    name: &NodeName,
    listeners: AgentListeners,
    engine: E,
    stop: ShutdownSignal,
) {
    let AgentListeners { exchange, metrics, peer_address } = listeners;
    log::info!("event=start role=agent node={name} peers={peer_address}");
    let measured = Metrics::new();
    let clock = Clock::start();
    let engine_heard = Rc::new(Cell::new(MonoTime::ZERO));
    if let Some(listener) = metrics {
        let heard = Rc::clone(&engine_heard);
        let refresh = move |metrics: &Metrics| {
            metrics.gauge(Metric::EngineAge, &[], clock.now().ms_since(heard.get()));
            metrics.gauge(Metric::DroppedLogLines, &[], dropped_log_lines());
        };
        spawn_local(serve_metrics(listener, measured.clone(), refresh));
    }
    let id = sender_id();
    let mut agent = Agent {
        clock,
        metrics: measured,
        engine_heard,
        engine: Rc::new(engine),
        call: None,
        is_resting: false,
        exchange,
        shelf: AdapterScheduler::new(id),
        audience: UpdateRecipients::default(),
        told: None,
        told_at: MonoTime::ZERO,
        id,
        sequence: 0,
        is_engine_lost: false,
    };
    tokio::select! {
        () = agent.run() => {}
        () = stop.triggered() => {}
    }
    log::info!("event=stop role=agent node={name}");
}

/// What the engine answered to the one call that is under way at a time.
enum EngineAnswer {
    Report(Result<EngineReport, Fault>),
    Order(Order, Result<OrderResponse, CallError>),
}

struct Agent<E> {
    clock: Clock,
    metrics: Metrics,
    engine_heard: Rc<Cell<MonoTime>>,
    engine: Rc<E>,
    call: Option<JoinHandle<EngineAnswer>>,
    /// Whether no order follows until the engine has reported.
    is_resting: bool,
    exchange: Exchange,
    shelf: AdapterScheduler,
    audience: UpdateRecipients,
    told: Option<AgentUpdate>,
    told_at: MonoTime,
    id: u64,
    sequence: u64,
    is_engine_lost: bool,
}

impl<E: EngineControl> Agent<E> {
    /// The engine is asked at this pace; its answer on the own VM is fresh and free.
    const REPORT_EVERY: Duration = Duration::from_millis(100);
    /// The pace while an order is under way or waited for: a tenth of a load's time.
    const REPORT_BUSY: Duration = Duration::from_millis(25);
    /// Entries take news for stale after 1,600 ms, so three may be lost.
    const TELL_AT_LEAST_MS: u64 = 400;
    /// News of prompts are told at this pace, so that entries don't send theirs at the same time.
    const TELL_PROMPTS_MS: u64 = 1;
    /// News that only the load changed are told at this pace.
    const TELL_LOAD_MS: u64 = 100;

    async fn run(&mut self) {
        let mut buffer = Vec::new();
        let mut report_at = Instant::now();
        loop {
            tokio::select! {
                (news, from) = self.exchange.receive(&mut buffer) => {
                    let now = self.clock.now();
                    let News::Entry(news) = news else { continue };
                    self.audience.on_entry_update(now, from, &news);
                    let was_busy = self.shelf.needs_frequent_reports(now);
                    self.shelf.apply_entry_update(now, news);
                    if self.shelf.needs_frequent_reports(now) && !was_busy {
                        report_at = report_at.min(Instant::now() + Self::REPORT_BUSY);
                    }
                }
                answer = answered(&mut self.call) => {
                    self.call = None;
                    match answer {
                        EngineAnswer::Report(report) => {
                            self.take_report(report);
                            report_at = Instant::now() + self.report_pause();
                        }
                        EngineAnswer::Order(order, answer) => self.take_answer(&order, answer),
                    }
                }
                () = tokio::time::sleep_until(report_at), if self.call.is_none() => {
                    self.ask_report();
                }
            }
            self.give_order();
            self.tell();
        }
    }

    fn report_pause(&self) -> Duration {
        let is_busy = self.shelf.needs_frequent_reports(self.clock.now());
        if is_busy { Self::REPORT_BUSY } else { Self::REPORT_EVERY }
    }

    fn ask_report(&mut self) {
        let engine = Rc::clone(&self.engine);
        self.call = Some(spawn_local(async move { EngineAnswer::Report(engine.report().await) }));
    }

    /// Gives the next order, if one is due and the engine is not being asked or ordered already: a
    /// report of before an order would hide its effect.
    fn give_order(&mut self) {
        if self.call.is_some() || self.is_resting {
            return;
        }
        let announced_ms = self.audience.announcement_delay_ms();
        let Some(order) = self.shelf.next_order(self.clock.now(), announced_ms) else { return };
        let engine = Rc::clone(&self.engine);
        self.call = Some(spawn_local(async move {
            let answer = engine.order(&order).await;
            EngineAnswer::Order(order, answer)
        }));
    }

    fn take_report(&mut self, report: Result<EngineReport, Fault>) {
        self.is_resting = false;
        match report {
            Ok(report) => {
                if self.is_engine_lost {
                    self.is_engine_lost = false;
                    log::info!("event=engine-regained server={}", report.server);
                }
                let now = self.clock.now();
                self.engine_heard.set(now);
                let sequence = report.order_count;
                if self.shelf.apply_report(now, report) {
                    log::info!("event=engine-start orders={sequence}");
                }
            }
            Err(fault) => {
                if !self.is_engine_lost {
                    self.is_engine_lost = true;
                    log::warn!("event=engine-lost reason=\"{fault}\"");
                }
                self.shelf.on_engine_lost();
            }
        }
    }

    /// Takes in the answer to an order; after one that is not good a report comes before the next.
    fn take_answer(&mut self, order: &Order, answer: Result<OrderResponse, CallError>) {
        let now = self.clock.now();
        let what = describe(&order.kind);
        let expected = order.expected_order_count;
        let kind = match order.kind {
            OrderKind::LoadModel(_) => "load-model",
            OrderKind::UnloadModel(_) => "drop-model",
            OrderKind::LoadAdapter(..) => "load",
            OrderKind::UnloadAdapter(_) => "drop",
        };
        let ending = match &answer {
            Ok(OrderResponse::Accepted | OrderResponse::Done) => "accepted",
            Ok(OrderResponse::Refused { .. } | OrderResponse::Misdirected) => "refused",
            Err(_) => "unknown",
        };
        self.metrics.count(Metric::Orders, &[("kind", kind), ("ending", ending)]);
        self.is_resting = ending != "accepted";
        match answer {
            Ok(OrderResponse::Accepted | OrderResponse::Done) => {
                let is_done = matches!(answer, Ok(OrderResponse::Done));
                let outcome = if is_done { "done" } else { "accepted" };
                log::info!("event=order {what} expected={expected} outcome={outcome}");
                self.shelf.on_accepted(now, order, is_done);
            }
            Ok(OrderResponse::Misdirected) => {
                let server = &order.server;
                log::info!(
                    "event=order {what} expected={expected} outcome=misdirected server={server}"
                );
                self.shelf.on_misdirected(now, order);
            }
            Ok(OrderResponse::Refused { status }) => {
                log::info!(
                    "event=order {what} expected={expected} outcome=refused status={status}"
                );
                self.shelf.on_refused(now, order);
            }
            Err(error) => {
                log::warn!(
                    "event=order {what} expected={expected} outcome=unknown reason=\"{}\"",
                    error.fault
                );
            }
        }
    }

    fn tell(&mut self) {
        let now = self.clock.now();
        let Some(news) = self.news(now) else { return };
        let since_ms = now.ms_since(self.told_at);
        let is_due = match &self.told {
            None => true,
            Some(told)
                if told.adapters != news.adapters
                    || told.available_models != news.available_models =>
            {
                true
            }
            Some(told) if told.others_prompt_tokens < news.others_prompt_tokens => {
                since_ms >= Self::TELL_PROMPTS_MS
            }
            Some(told) if *told != news => since_ms >= Self::TELL_LOAD_MS,
            Some(_) => since_ms >= Self::TELL_AT_LEAST_MS,
        };
        if is_due {
            self.measure(&news);
            self.told = Some(news.clone());
            self.told_at = now;
        }
        self.sequence += 1;
        for (to, entry) in self.audience.due_recipients(now, is_due) {
            let others_tokens = self.shelf.others_prompt_tokens(now, entry);
            let news = AgentUpdate {
                sequence: self.sequence,
                others_prompt_tokens: others_tokens,
                ..news.clone()
            };
            self.exchange.send(to, &News::Agent(news));
        }
    }

    fn measure(&self, news: &AgentUpdate) {
        for (word, stage) in [
            ("held", AdapterStage::Loaded),
            ("coming", AdapterStage::Loading),
            ("going", AdapterStage::Unloading),
        ] {
            let number = news.adapters.iter().filter(|held| held.stage == stage).count() as u64;
            self.metrics.gauge(Metric::Adapters, &[("stage", word)], number);
        }
        self.metrics.gauge(Metric::EngineRunning, &[], u64::from(news.running_requests));
        self.metrics.gauge(Metric::EngineWaiting, &[], u64::from(news.waiting_requests));
        self.metrics.gauge(Metric::Entries, &[], u64::from(news.live_entries));
    }

    fn news(&self, now: MonoTime) -> Option<AgentUpdate> {
        let report = self.shelf.engine_report()?;
        Some(AgentUpdate {
            agent: self.id,
            server: report.server.clone(),
            sequence: 0,
            available_models: self.shelf.available_models(),
            loading_models: report.loading_models.clone(),
            adapters: self.shelf.adapters(),
            running_requests: report.running_requests,
            waiting_requests: report.waiting_requests,
            memory_used_tokens: report.memory_used_tokens,
            memory_tokens: report.memory_tokens,
            others_prompt_tokens: self.shelf.others_prompt_tokens(now, self.id),
            live_entries: u32::try_from(self.shelf.live_entries(now)).unwrap_or(u32::MAX),
        })
    }
}

/// Waits for the answer to the call that is under way, for ever if none is.
async fn answered(call: &mut Option<JoinHandle<EngineAnswer>>) -> EngineAnswer {
    match call {
        Some(call) => call.await.expect("a call to the engine neither panics nor is aborted"),
        None => std::future::pending().await,
    }
}

fn describe(kind: &OrderKind) -> String {
    match kind {
        OrderKind::LoadModel(model) => format!("order=load-model model={model}"),
        OrderKind::UnloadModel(model) => format!("order=drop-model model={model}"),
        OrderKind::LoadAdapter(key, version) => {
            format!("order=load adapter={key} version={version}")
        }
        OrderKind::UnloadAdapter(key) => format!("order=drop adapter={key}"),
    }
}
