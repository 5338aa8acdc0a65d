//! The state of an entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::RetryBudget;
use filbertcleat_serve::Server;
use filbertcleat_serve::Ticket;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::BALANCER_LAG_MS;
use super::open::OpenSend;
use super::pool::Pool;
use super::tell::Told;
use crate::CatalogueEvent;
use crate::Dialect;
use crate::GatewaySettings;
use crate::RetryBudgetSettings;
use crate::ShutdownSignal;
use crate::Topic;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::exchange::sender_id;
use crate::logs::dropped_log_lines;
use crate::metrics::Metric;
use crate::metrics::Metrics;

/// An entry: its state, and what its tasks share.
pub(super) struct Entry<D: Dialect> {
    pub settings: GatewaySettings,
    pub dialect: D,
    pub exchange: Exchange,
    grants: watch::Receiver<RetryBudgetSettings>,
    pub stop: ShutdownSignal,
    pub pool: Pool,
    pub metrics: Metrics,
    /// Woken when a waiting request might go.
    pub changed: Notify,
    pub state: RefCell<State<D>>,
    clock: Clock,
    requests: Cell<usize>,
    stopping_since: Cell<Option<MonoTime>>,
    configured_at: Cell<MonoTime>,
    heard_at: [Cell<MonoTime>; 2],
}

/// What an entry knows and decides upon.
pub(super) struct State<D: Dialect> {
    pub deployment: Option<Rc<Deployment>>,
    pub versions: HashMap<AdapterKey, u64>,
    pub fleet: Fleet,
    pub queue: RequestQueue,
    pub waiting: HashMap<Ticket, oneshot::Sender<OpenSend<D>>>,
    pub told: Told,
    /// Requests by base model, halved now and then.
    pub demand: BTreeMap<ModelName, u32>,
    demand_halved: MonoTime,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl<D: Dialect> Entry<D> {
    pub fn new(
        settings: GatewaySettings,
        dialect: D,
        exchange: Exchange,
        grants: watch::Receiver<RetryBudgetSettings>,
        stop: ShutdownSignal,
    ) -> Self {
        let clock = Clock::start();
        Self {
            settings,
            dialect,
            exchange,
            grants,
            stop,
            pool: Pool::new(clock),
            metrics: Metrics::new(),
            changed: Notify::new(),
            state: RefCell::new(State {
                deployment: None,
                versions: HashMap::new(),
                fleet: Fleet::default(),
                queue: RequestQueue::new(sender_id()),
                waiting: HashMap::new(),
                told: Told::new(),
                demand: BTreeMap::new(),
                demand_halved: MonoTime::ZERO,
                budgets: HashMap::new(),
            }),
            clock,
            requests: Cell::new(0),
            stopping_since: Cell::new(None),
            configured_at: Cell::new(MonoTime::ZERO),
            heard_at: [const { Cell::new(MonoTime::ZERO) }; 2],
        }
    }

    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the requests that callers wait for.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    pub fn request_begins(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    pub fn request_ends(&self) {
        self.requests.set(self.requests.get().saturating_sub(1));
    }

    /// Returns whether the process answers callers: it knows a configuration and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().deployment.is_some() && !self.stop.is_triggered()
    }

    /// Returns whether the balancer has had the time to take a stopping process out.
    pub fn is_out(&self) -> bool {
        let now = self.now();
        self.stopping_since.get().is_some_and(|since| now.ms_since(since) >= BALANCER_LAG_MS)
    }

    /// Notes that the process shall end.
    pub fn stops(&self) {
        self.stopping_since.set(Some(self.now()));
    }

    /// Takes in a fact of the catalogue; configurations and versions never go back.
    pub fn learn(&self, fact: CatalogueEvent) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        match fact {
            CatalogueEvent::Deployment(deployment) => {
                let known = state.deployment.as_ref().map(|known| known.version);
                if known.is_some_and(|known| known >= deployment.version) {
                    return;
                }
                log::info!(
                    "event=configuration version={} before={} routes={}",
                    deployment.version,
                    known.unwrap_or(0),
                    deployment.routes.len()
                );
                state.deployment = Some(Rc::new(deployment));
                self.configured_at.set(now);
            }
            CatalogueEvent::AdapterVersion { key, version } => {
                let known = state.versions.entry(key).or_default();
                *known = version.max(*known);
            }
            CatalogueEvent::Listing(change) => state.fleet.apply_listing(now, change),
        }
        self.changed.notify_one();
    }

    /// Counts a request for the budget of repeats.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        let grant = *self.grants.borrow();
        self.state.borrow_mut().budget(grant, service).record_request(now);
    }

    /// Takes one repeat from the budget if there is one.
    pub fn take_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let entries = state.fleet.live_entries(now);
        let grant = *self.grants.borrow();
        let is_allowed = state.budget(grant, service).try_take(now, entries);
        let outcome = if is_allowed { "allowed" } else { "refused" };
        self.metrics.count(Metric::Retries, &[("outcome", outcome)]);
        is_allowed
    }

    /// Notes that the catalogue has answered on a topic.
    pub fn hears(&self, topic: Topic) {
        self.heard_at[topic_index(topic)].set(self.now());
    }

    /// Sets the metrics that are read off the state.
    pub fn measure(&self, metrics: &Metrics) {
        let now = self.now();
        let state = self.state.borrow();
        let version = state.deployment.as_ref().map_or(0, |deployment| deployment.version);
        metrics.gauge(Metric::ConfigurationVersion, &[], version);
        metrics.gauge(Metric::ConfigurationAge, &[], now.ms_since(self.configured_at.get()));
        for topic in [Topic::Operators, Topic::Servers] {
            let age_ms = now.ms_since(self.heard_at[topic_index(topic)].get());
            metrics.gauge(Metric::CatalogueAge, &[("topic", topic.as_str())], age_ms);
        }
        let count = |is_one: &dyn Fn(&Server) -> bool| {
            state.fleet.servers().filter(|server| is_one(server)).count() as u64
        };
        let usable = count(&|server| server.is_usable(now));
        let heard = count(&|server| server.fresh_update(now).is_some());
        let leaving = count(&|server| server.listed.is_draining);
        for (what, number) in [("usable", usable), ("heard", heard), ("leaving", leaving)] {
            metrics.gauge(Metric::Servers, &[("are", what)], number);
        }
        let open = state.fleet.servers().map(|server| u64::from(server.open_requests)).sum();
        metrics.gauge(Metric::InFlight, &[], open);
        metrics.gauge(Metric::Queued, &[], state.queue.len() as u64);
        metrics.gauge(Metric::DroppedLogLines, &[], dropped_log_lines());
    }
}

fn topic_index(topic: Topic) -> usize {
    match topic {
        Topic::Operators => 0,
        Topic::Servers => 1,
    }
}

impl<D: Dialect> State<D> {
    /// The requests for a model count half after this time: about as long as loading one takes.
    const DEMAND_HALF_MS: u64 = 5_000;

    /// Counts a request for a base model.
    pub fn count_demand(&mut self, now: MonoTime, model: &ModelName) {
        if now.ms_since(self.demand_halved) >= Self::DEMAND_HALF_MS {
            self.demand_halved = now;
            self.demand.values_mut().for_each(|count| *count /= 2);
            self.demand.retain(|_, count| *count > 0);
        }
        *self.demand.entry(model.clone()).or_default() += 1;
    }

    fn budget(&mut self, grant: RetryBudgetSettings, service: &ServiceName) -> &mut RetryBudget {
        let RetryBudgetSettings { ratio, slack, window_ms } = grant;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(ratio, slack, window_ms));
        budget.set_grant(ratio, slack, window_ms);
        budget
    }
}
