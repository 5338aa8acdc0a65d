//! The state that the tasks of an entry share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use filbertcleat_base::Fault;
use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::AbandonedRuns;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::CallerLimits;
use filbertcleat_serve::CallerShares;
use filbertcleat_serve::CatalogueEpoch;
use filbertcleat_serve::CurrentDeployment;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::DeploymentChange;
use filbertcleat_serve::EpochChange;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::KeptMarks;
use filbertcleat_serve::KeptRoutes;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::RetryBudget;
use filbertcleat_serve::Server;
use filbertcleat_serve::Ticket;
use filbertcleat_serve::Workspaces;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::ANSWER_RESERVE_MS;
use super::BALANCER_DELAY_MS;
use super::EXIT_RESERVE_MS;
use super::agent_updates::AgentUpdateState;
use super::allowances::Allowances;
use super::body_rooms::BodyRooms;
use super::caller_connections::CallerConnections;
use super::caller_memory::CallerMemory;
use super::connection_pool::ConnectionPool;
use super::crashes::UnverifiedCrashes;
use super::idle_timeouts::IdleTimeouts;
use super::in_flight::InFlightAttempt;
use super::kept_origins::observe_versions;
use super::origins::OriginState;
use super::prompt_turns::OpenTurns;
use crate::CatalogueDelays;
use crate::CatalogueEvent;
use crate::Dialect;
use crate::GatewaySettings;
use crate::RetryBudgetSettings;
use crate::ShutdownSignal;
use crate::Topic;
use crate::clock::Clock;
use crate::logs::dropped_log_lines;
use crate::metrics::Metric;
use crate::metrics::Metrics;
use crate::peer_socket::PeerSocket;
use crate::peer_socket::incarnation_id;

/// An entry: its settings, sockets, metrics and routing state.
pub(super) struct Entry<D: Dialect> {
    pub settings: GatewaySettings,
    pub dialect: D,
    pub peers: PeerSocket,
    retry_budget: watch::Receiver<RetryBudgetSettings>,
    pub shutdown: ShutdownSignal,
    pub pool: ConnectionPool,
    pub metrics: Metrics,
    /// Bounds what is held of responses until callers have read it.
    pub caller_memory: CallerMemory,
    /// Bounds what is held of the bodies of requests, until their responses have begun or ended.
    pub body_rooms: BodyRooms,
    /// Bounds the connections of callers.
    pub connections: CallerConnections,
    /// The allowances of workspaces, unless the settings do not bound them.
    pub allowances: Option<Rc<Allowances>>,
    /// Wakes the dispatcher when a queued request might be placed.
    pub dispatcher_wakeup: Notify,
    /// Wakes the task that keeps facts in the catalogue.
    pub facts_changed: Notify,
    /// Wakes the task that keeps the targets of routes in the catalogue.
    pub routes_changed: Notify,
    /// Wakes the task that reads origins from the catalogue.
    pub origins_wanted: Notify,
    /// Wakes the task that keeps origins in the catalogue.
    pub origins_changed: Notify,
    /// The number of reads of origins that have ended, for the requests that wait for one.
    pub origin_reads: watch::Sender<u64>,
    /// Wakes the task that follows the list of backend servers.
    pub list_wanted: Notify,
    /// The number of responses on the list of backend servers, for the requests that wait for one.
    pub list_reads: watch::Sender<u64>,
    /// Has the configuration read, also while a call waits for its changes.
    pub configuration_wanted: Notify,
    /// The time up to which all configurations are known, for the requests that wait for one.
    pub configuration_read_at: watch::Sender<MonoTime>,
    pub state: RefCell<State<D>>,
    /// The id of this incarnation of the entry.
    pub incarnation: u64,
    clock: Clock,
    open_requests: Cell<usize>,
    shutdown_since: Cell<Option<MonoTime>>,
    configured_at: Cell<MonoTime>,
    idle_timeouts: RefCell<IdleTimeouts>,
    catalogue_epoch: Cell<CatalogueEpoch>,
    /// The version of the list of backend servers, which increases also with a restore.
    listing_version: Cell<u64>,
    /// The number of times that the catalogue was restored, for the tasks that have to list again.
    catalogue_restores: watch::Sender<u64>,
    /// When the catalogue last told all changes, by topic.
    catalogue_read_at: [Cell<MonoTime>; 4],
}

/// The state that routing decisions are based on.
pub(super) struct State<D: Dialect> {
    pub deployment: CurrentDeployment,
    /// The newest version of each adapter that the catalogue named.
    pub versions: HashMap<AdapterKey, u64>,
    pub fleet: Fleet,
    pub queue: RequestQueue,
    /// Where the dispatcher delivers the placement of each queued request.
    pub placements: HashMap<Ticket, oneshot::Sender<InFlightAttempt<D>>>,
    pub agent_updates: AgentUpdateState,
    pub origins: OriginState,
    pub turns: OpenTurns,
    pub unverified_crashes: UnverifiedCrashes,
    pub abandoned_runs: AbandonedRuns,
    pub kept: KeptMarks,
    /// Recent requests by base model: a count that is halved at intervals.
    pub recent_requests: BTreeMap<ModelName, u32>,
    halved_at: MonoTime,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl<D: Dialect> Entry<D> {
    /// Creates an entry without a configuration and without backend servers.
    pub fn new(
        settings: GatewaySettings,
        dialect: D,
        peers: PeerSocket,
        retry_budget: watch::Receiver<RetryBudgetSettings>,
        shutdown: ShutdownSignal,
    ) -> Self {
        let clock = Clock::start();
        let incarnation = incarnation_id();
        let routes = KeptRoutes::new(settings.is_first_start, incarnation);
        let origins = OriginState::new(settings.name.clone(), routes);
        let shares = CallerShares::of(settings.memory_max_mb, settings.sockets_max);
        let body_rooms = BodyRooms::new(clock, shares.memory_max_bytes);
        let allowances = settings.allowance_bounds.as_ref();
        let allowances =
            allowances.map(|bounds| Rc::new(Allowances::new(clock, incarnation, bounds)));
        Self {
            settings,
            dialect,
            peers,
            retry_budget,
            shutdown,
            pool: ConnectionPool::new(clock, shares.idle_sockets_max),
            metrics: Metrics::new(),
            caller_memory: CallerMemory::new(shares.memory_max_bytes),
            connections: CallerConnections::new(shares, body_rooms.clone()),
            body_rooms,
            allowances,
            dispatcher_wakeup: Notify::new(),
            facts_changed: Notify::new(),
            routes_changed: Notify::new(),
            origins_wanted: Notify::new(),
            origins_changed: Notify::new(),
            origin_reads: watch::Sender::new(0),
            list_wanted: Notify::new(),
            list_reads: watch::Sender::new(0),
            configuration_wanted: Notify::new(),
            configuration_read_at: watch::Sender::new(MonoTime::ZERO),
            incarnation,
            state: RefCell::new(State {
                deployment: CurrentDeployment::default(),
                versions: HashMap::new(),
                fleet: Fleet::with_seed(incarnation),
                queue: RequestQueue::new(incarnation),
                placements: HashMap::new(),
                agent_updates: AgentUpdateState::new(incarnation),
                origins,
                turns: OpenTurns::default(),
                unverified_crashes: UnverifiedCrashes::default(),
                abandoned_runs: AbandonedRuns::default(),
                kept: KeptMarks::new(clock.now()),
                recent_requests: BTreeMap::new(),
                halved_at: MonoTime::ZERO,
                budgets: HashMap::new(),
            }),
            clock,
            open_requests: Cell::new(0),
            shutdown_since: Cell::new(None),
            configured_at: Cell::new(MonoTime::ZERO),
            idle_timeouts: RefCell::default(),
            catalogue_epoch: Cell::default(),
            listing_version: Cell::new(0),
            catalogue_restores: watch::Sender::new(0),
            catalogue_read_at: [const { Cell::new(MonoTime::ZERO) }; 4],
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Returns the clock that `now` reads.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts a request as open.
    pub fn add_open_request(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    /// Removes an ended request from the count of open ones.
    pub fn remove_open_request(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
    }

    /// Returns whether the entry accepts callers: it has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().deployment.get().is_some() && !self.shutdown.is_triggered()
    }

    /// Returns whether shutdown began long enough ago for the load balancer to send no more
    /// callers.
    pub fn is_out_of_rotation(&self) -> bool {
        let now = self.now();
        self.shutdown_since.get().is_some_and(|since| now.ms_since(since) >= BALANCER_DELAY_MS)
    }

    /// Waits until requests have to be answered because the process is about to exit.
    pub async fn answers_due(&self) {
        self.shutdown.triggered().await;
        let since = self.shutdown_since.get().unwrap_or(self.now());
        let wait_ms = self.settings.grace_ms.saturating_sub(EXIT_RESERVE_MS + ANSWER_RESERVE_MS);
        tokio::time::sleep_until(self.clock.instant(since.plus_ms(wait_ms))).await;
    }

    /// Records that shutdown has begun.
    pub fn begin_shutdown(&self) {
        self.shutdown_since.set(Some(self.now()));
    }

    /// Applies an event of the catalogue; versions of adapters are monotonic.
    pub fn apply_event(&self, event: CatalogueEvent) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        match event {
            CatalogueEvent::Deployment(deployment) => {
                let version = deployment.version;
                let before = state.deployment.get().cloned();
                match state.deployment.offer(deployment) {
                    DeploymentChange::Applied => self.on_configured(now, state, before.as_deref()),
                    DeploymentChange::Ignored => {}
                    DeploymentChange::Undecided => log::info!(
                        "event=configuration-undecided version={version} before={}",
                        state.deployment.version()
                    ),
                }
            }
            CatalogueEvent::AdapterVersion { key, version } => {
                let known = state.versions.entry(key).or_default();
                *known = version.max(*known);
            }
            CatalogueEvent::Listing(change) => state.fleet.apply_listing(now, change),
            // The tasks that keep these read the rows by themselves.
            CatalogueEvent::Kept(_) | CatalogueEvent::Routes(_) | CatalogueEvent::Origins(_) => {}
        }
        self.dispatcher_wakeup.notify_one();
    }

    /// Returns the limits on callers that are in force.
    pub fn caller_limits(&self) -> CallerLimits {
        self.state.borrow().deployment.get().map(|known| known.limits).unwrap_or_default()
    }

    /// Returns how long a caller's connection may be idle that became idle at a time.
    pub fn idle_close_ms(&self, idle_since: MonoTime) -> u64 {
        self.idle_timeouts.borrow().close_after_ms(idle_since)
    }

    /// Records that the changes of a topic have been applied that a call which began at `began_at`
    /// has shown, and whether they were those of a list.
    pub fn on_topic_read(&self, topic: Topic, began_at: MonoTime, is_list: bool) {
        if topic == Topic::Servers {
            let now = self.now();
            self.state.borrow_mut().fleet.on_listing_read(now, began_at);
            observe_versions(self);
            {
                let state = &mut *self.state.borrow_mut();
                // A list does not show servers that were listed and removed before it.
                let has_gap = state.fleet.take_unseen_removal() || is_list;
                state.origins.kept.on_followed(now, began_at, has_gap);
            }
            self.origins_changed.notify_one();
            self.list_reads.send_modify(|reads| *reads += 1);
            let state = self.state.borrow();
            let servers = state.fleet.servers();
            let listed: HashSet<SocketAddr> = servers.map(|server| server.listed.address).collect();
            self.pool.retain_addresses(|address| listed.contains(&address));
        }
        if topic != Topic::Operators {
            return;
        }
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        if is_list {
            state.deployment.on_topic_listed();
        }
        let before = state.deployment.get().cloned();
        if state.deployment.on_current_read(now) {
            self.on_configured(now, state, before.as_deref());
            self.dispatcher_wakeup.notify_one();
        }
        self.configuration_read_at.send_replace(began_at);
    }

    fn on_configured(&self, now: MonoTime, state: &mut State<D>, before: Option<&Deployment>) {
        let current = &state.deployment;
        let routes = current.get().map_or(0, |deployment| deployment.routes.len());
        let version = current.version();
        let version_before = before.map_or(0, |deployment| deployment.version);
        log::info!("event=configuration version={version} before={version_before} routes={routes}");
        if let Some(deployment) = current.get() {
            let routes_before = before.map(|before| &before.routes[..]);
            state.origins.routes.on_configured(now, routes_before, &deployment.routes);
            self.routes_changed.notify_one();
            let idle_timeout_ms = deployment.limits.idle_timeout_ms;
            self.idle_timeouts.borrow_mut().set(now, idle_timeout_ms);
            for problem in &deployment.problems {
                let (place, reason) = (&problem.place, &problem.reason);
                log::warn!(
                    "event=configuration-item-invalid version={version} kind={} name=\"{}\" \
                     reason=\"{reason}\"",
                    place.kind(),
                    place.name()
                );
            }
            let workspaces = deployment.workspaces.iter();
            for problem in workspaces.flat_map(Workspaces::problems) {
                let (workspace, kind) = (&problem.workspace, &problem.kind);
                log::warn!(
                    "event=workspace-invalid version={version} workspace={workspace} \
                     problem=\"{kind}\""
                );
            }
        }
        self.configured_at.set(now);
    }

    /// Counts a request towards the retry budget of its service.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        let settings = *self.retry_budget.borrow();
        self.state.borrow_mut().budget(settings, service).record_request(now);
    }

    /// Takes one retry from the budget of a service, and returns whether there was one.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let entries = state.fleet.live_entries(now);
        let settings = *self.retry_budget.borrow();
        let is_allowed = state.budget(settings, service).try_take(now, entries);
        let outcome = if is_allowed { "allowed" } else { "refused" };
        self.metrics.count(Metric::Retries, &[("outcome", outcome)]);
        is_allowed
    }

    /// Records that the catalogue has told all changes of a topic.
    pub fn on_catalogue_data(&self, topic: Topic) {
        self.catalogue_read_at[topic_index(topic)].set(self.now());
    }

    /// Counts and logs a call of a topic that failed, the one with number `failures` in a row.
    pub fn on_catalogue_failure(&self, topic: Topic, failures: u32, took_ms: u64, fault: &Fault) {
        let topic = topic.as_str();
        self.metrics.count(Metric::CatalogueFailures, &[("topic", topic)]);
        let event = if failures == 1 { "catalogue-lost" } else { "catalogue-call-failed" };
        log::warn!(
            "event={event} topic={topic} failures={failures} took_ms={took_ms} reason=\"{fault}\""
        );
    }

    /// Records the epoch that a response of the catalogue names. If the catalogue was restored, all
    /// topics are listed again.
    pub fn observe_catalogue_epoch(&self, topic: Topic, named: Option<u64>) -> EpochChange {
        let before = self.catalogue_epoch.get();
        let mut epoch = before;
        let change = epoch.observe(named);
        self.catalogue_epoch.set(epoch);
        if change == EpochChange::Restored {
            let topic = topic.as_str();
            log::warn!("event=catalogue-restored epoch={epoch} before={before} topic={topic}");
            self.metrics.count(Metric::CatalogueRestores, &[]);
            let (now, state) = (self.now(), &mut *self.state.borrow_mut());
            let CatalogueDelays { contact_ms, draining_ms, .. } = self.settings.catalogue_delays;
            state.fleet.on_catalogue_restored(now, contact_ms, draining_ms);
            state.deployment.on_catalogue_restored(now, contact_ms);
            self.catalogue_restores.send_modify(|restores| *restores += 1);
        }
        change
    }

    /// Records the version of the catalogue up to which the list of backend servers is known.
    pub fn on_listing_read(&self, cursor: u64) {
        let epoch = match self.catalogue_epoch.get() {
            CatalogueEpoch::Unknown | CatalogueEpoch::Unnumbered => 0,
            CatalogueEpoch::Numbered(epoch) => epoch,
        };
        self.listing_version.set((epoch << EPOCH_SHIFT) + cursor);
    }

    /// Returns the version of the list of backend servers.
    pub fn listing_version(&self) -> u64 {
        self.listing_version.get()
    }

    /// Returns whether a configuration may be in force that this entry has not read, because the
    /// catalogue has not told its changes for longer than a configuration may take to be applied.
    pub fn may_lack_configuration(&self) -> bool {
        let read_at = self.catalogue_read_at[topic_index(Topic::Operators)].get();
        self.now().ms_since(read_at) > self.settings.catalogue_delays.configuration_ms
    }

    /// Returns whether the configuration has workspaces.
    pub fn has_workspaces(&self) -> bool {
        self.state.borrow().deployment.get().is_some_and(|known| known.workspaces.is_some())
    }

    /// Returns a receiver that changes each time that the catalogue was restored from a copy.
    pub fn catalogue_restores(&self) -> watch::Receiver<u64> {
        self.catalogue_restores.subscribe()
    }

    /// Sets the gauges from the current state.
    pub fn update_gauges(&self, metrics: &Metrics) {
        let now = self.now();
        let state = self.state.borrow();
        metrics.gauge(Metric::ConfigurationVersion, &[], state.deployment.version());
        metrics.gauge(Metric::ConfigurationAge, &[], now.ms_since(self.configured_at.get()));
        for topic in [Topic::Operators, Topic::Servers] {
            let age_ms = now.ms_since(self.catalogue_read_at[topic_index(topic)].get());
            metrics.gauge(Metric::CatalogueAge, &[("topic", topic.as_str())], age_ms);
        }
        let count = |is_counted: &dyn Fn(&Server) -> bool| {
            state.fleet.servers().filter(|server| is_counted(server)).count() as u64
        };
        let usable = count(&|server| server.is_usable(now));
        let connected = count(&|server| server.fresh_update(now).is_some());
        let leaving = count(&|server| server.is_leaving());
        let paused = count(&|server| server.paused_until(now).is_some());
        for (status, number) in
            [("usable", usable), ("heard", connected), ("leaving", leaving), ("paused", paused)]
        {
            metrics.gauge(Metric::Servers, &[("are", status)], number);
        }
        let in_flight = state.fleet.servers().map(|server| u64::from(server.open_requests)).sum();
        metrics.gauge(Metric::InFlight, &[], in_flight);
        metrics.gauge(Metric::Queued, &[], state.queue.len() as u64);
        for (reader, held) in [
            ("callers", self.caller_memory.held().get()),
            ("servers", self.body_rooms.held_bytes()),
        ] {
            metrics.gauge(Metric::HeldBytes, &[("for", reader)], held);
        }
        metrics.gauge(Metric::Connections, &[], self.connections.len() as u64);
        metrics.gauge(Metric::PooledServers, &[], self.pool.addresses() as u64);
        let suspected = state.fleet.facts().crashes().suspected().len();
        metrics.gauge(Metric::Suspects, &[], suspected as u64);
        metrics.gauge(Metric::DroppedLogLines, &[], dropped_log_lines());
        if let Some(allowances) = &self.allowances {
            allowances.update_gauges(metrics);
        }
    }
}

/// The bits of a listing's version that the version of the catalogue within its epoch may take.
const EPOCH_SHIFT: u32 = 36;

fn topic_index(topic: Topic) -> usize {
    match topic {
        Topic::Operators => 0,
        Topic::Servers => 1,
        Topic::Facts => 2,
        Topic::Origins => 3,
    }
}

impl<D: Dialect> State<D> {
    /// The request counts are halved at this interval, which is about the time to load a model.
    const HALVING_INTERVAL_MS: u64 = 5_000;

    /// Counts a request for a base model.
    pub fn count_model_request(&mut self, now: MonoTime, model: &ModelName) {
        if now.ms_since(self.halved_at) >= Self::HALVING_INTERVAL_MS {
            self.halved_at = now;
            self.recent_requests.values_mut().for_each(|count| *count /= 2);
            self.recent_requests.retain(|_, count| *count > 0);
        }
        *self.recent_requests.entry(model.clone()).or_default() += 1;
    }

    fn budget(&mut self, settings: RetryBudgetSettings, service: &ServiceName) -> &mut RetryBudget {
        let RetryBudgetSettings { ratio, slack, window_ms } = settings;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(ratio, slack, window_ms));
        budget.set_grant(ratio, slack, window_ms);
        budget
    }
}
