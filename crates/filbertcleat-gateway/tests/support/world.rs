//! A running entry with its fake environment.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::ModelName;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::EntryListeners;
use filbertcleat_gateway::GatewayRole;
use filbertcleat_gateway::GatewaySettings;
use filbertcleat_gateway::RetryBudgetSettings;
use filbertcleat_gateway::ShutdownSignal;
use filbertcleat_gateway::run_entry;
use filbertcleat_serve::AllowanceBounds;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::ListedModel;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceSpec;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::Target;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use super::Backend;
use super::Caller;
use super::TestCatalogue;
use super::TestDialect;

/// The bound on what workspaces may cost.
pub const ALLOWANCE_BOUNDS: AllowanceBounds =
    AllowanceBounds { window_ms: 8_000, overage: 0.1, slack: 11_000.0 };

/// A running entry with its fake environment.
#[derive(Debug)]
pub struct World {
    pub catalogue: TestCatalogue,
    pub shutdown: ShutdownSignal,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub retry_budget: watch::Sender<RetryBudgetSettings>,
    pub entry: JoinHandle<()>,
}

impl World {
    /// Runs a test in paused time on one thread.
    pub fn run(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime starts");
        LocalSet::new().block_on(&runtime, test);
    }

    /// Runs a test in real time on one thread.
    pub fn run_in_real_time(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        LocalSet::new().block_on(&runtime.expect("a runtime starts"), test);
    }

    /// Starts an entry and waits until it knows the routes and backend servers.
    pub async fn start(routes: Vec<Route>, backends: &[&Backend]) -> Self {
        let catalogue = TestCatalogue::default();
        let world = Self::start_with_catalogue(catalogue).await;
        world.configure(routes, backends).await;
        world
    }

    /// Writes the routes and backend servers, and waits until the entry knows them.
    async fn configure(&self, routes: Vec<Route>, backends: &[&Backend]) {
        self.catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        for backend in backends {
            self.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(backend))));
        }
        // The entry needs up to one more call per topic to learn of them.
        tokio::time::sleep(Duration::from_secs(2)).await;
    }

    /// Starts an entry with a catalogue.
    pub async fn start_with_catalogue(catalogue: TestCatalogue) -> Self {
        let catalogue_delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        Self::start_with_delays(catalogue, catalogue_delays).await
    }

    /// Starts an entry with a catalogue and the times within which it has to apply changes.
    pub async fn start_with_delays(
        catalogue: TestCatalogue,
        catalogue_delays: CatalogueDelays,
    ) -> Self {
        let peers = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self::start_with_peers(catalogue, catalogue_delays, peers).await
    }

    /// Starts an entry with a memory limit, and waits until it knows the routes and backend servers.
    pub async fn start_with_memory(
        memory_max_mb: u64,
        routes: Vec<Route>,
        backends: &[&Backend],
    ) -> Self {
        let delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        let peers = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let catalogue = TestCatalogue::default();
        let world = Self::start_entry(catalogue, delays, peers, Some(memory_max_mb)).await;
        world.configure(routes, backends).await;
        world
    }

    /// Starts an entry that exchanges updates with agents, at an address of its own.
    pub async fn start_with_peers(
        catalogue: TestCatalogue,
        catalogue_delays: CatalogueDelays,
        peers: SocketAddr,
    ) -> Self {
        Self::start_entry(catalogue, catalogue_delays, peers, None).await
    }

    async fn start_entry(
        catalogue: TestCatalogue,
        catalogue_delays: CatalogueDelays,
        peers: SocketAddr,
        memory_max_mb: Option<u64>,
    ) -> Self {
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let listeners =
            EntryListeners::bind(loopback, loopback, Some(loopback)).await.expect("ports are free");
        let callers = listeners.callers.local_addr().expect("bound");
        let readiness = listeners.readiness.local_addr().expect("bound");
        let metrics = listeners
            .metrics
            .as_ref()
            .expect("a metrics address was given")
            .local_addr()
            .expect("bound");
        let settings = GatewaySettings {
            name: NodeName::new(&format!("entry-{}", peers.ip())),
            failure_domain: FailureDomain::new("here"),
            role: GatewayRole::Entry { callers, readiness },
            ip: peers.ip(),
            peer_port: peers.port(),
            catalogue_address: loopback,
            catalogue_delays,
            grace_ms: 8_000,
            retry_budget: RetryBudgetSettings { ratio: 0.2, slack: 160.0, window_ms: 10_000 },
            allowance_bounds: Some(ALLOWANCE_BOUNDS),
            clock_difference_ms: 60_000,
            is_first_start: true,
            memory_max_mb,
            sockets_max: None,
        };
        let shutdown = ShutdownSignal::default();
        let retry_budget = watch::Sender::new(settings.retry_budget);
        let retry_budget_receiver = retry_budget.subscribe();
        let (entry_catalogue, entry_shutdown) = (catalogue.clone(), shutdown.clone());
        let entry = spawn_local(async move {
            run_entry(
                &settings,
                listeners,
                entry_catalogue,
                TestDialect,
                retry_budget_receiver,
                entry_shutdown,
            )
            .await
            .expect("the entry runs");
        });
        Self { catalogue, shutdown, callers, readiness, metrics, retry_budget, entry }
    }

    /// Returns the text of all metrics.
    pub async fn metrics(&self) -> String {
        let mut stream = TcpStream::connect(self.metrics).await.expect("metrics are served");
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("written");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("read");
        text
    }

    /// Returns the value of one metric.
    pub async fn metric(&self, series: &str) -> Option<u64> {
        let text = self.metrics().await;
        let mut values =
            text.lines().filter_map(|line| line.strip_prefix(series)?.strip_prefix(' '));
        values.next()?.parse().ok()
    }

    /// Connects a caller.
    pub async fn caller(&self) -> Caller {
        Caller::connect(self.callers).await.expect("the entry listens")
    }
}

/// Returns a route from `/NAME/` to the service `desk`, or to `writer` if it streams.
pub fn route(name: &str, kind: RetryPolicy, attempts_max: u32) -> Route {
    let service = if matches!(kind, RetryPolicy::Stream { .. }) { "writer" } else { "desk" };
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: format!("/{name}/"),
        retry_policy: kind,
        timeout_ms: 10_000,
        latency_objective_ms: 500,
        gap_objective_ms: 300,
        priority: 1,
        targets: vec![Target { service: ServiceName::new(service), weight: 1 }],
        is_public: false,
        attempts_max,
    }
}

/// Returns a configuration with the services `desk` and `writer`.
pub fn deployment(version: u64, routes: Vec<Route>) -> Deployment {
    let health_path = Some("/health".to_owned());
    let plain =
        ServiceSpec { connections_max: 100, health_path: health_path.clone(), engine: None };
    let engine = EngineSpec { batch_limit: 8, adapter_slots: 4, ..EngineSpec::default() };
    let writer = ServiceSpec { connections_max: 100, health_path, engine: Some(engine) };
    let services = [("desk", plain), ("writer", writer)];
    let services = services.map(|(name, spec)| (ServiceName::new(name), Rc::new(spec))).into();
    Deployment { version, routes, services, ..Deployment::default() }
}

/// Returns the catalogue's entry of a backend server: of the service `writer` if its id begins with
/// `w`, else of `desk`.
pub fn listed(backend: &Backend) -> ListedServer {
    let is_engine = backend.id.starts_with('w');
    let service = if is_engine { "writer" } else { "desk" };
    let model = ListedModel { name: ModelName::new("base"), adapters: Vec::new() };
    ListedServer {
        id: ServerId::new(&backend.id),
        service: ServiceName::new(service),
        address: backend.address,
        domain: FailureDomain::new("here"),
        concurrency_limit: 6,
        software_version: SoftwareVersion::new("v1"),
        is_draining: false,
        models: if is_engine { vec![model] } else { Vec::new() },
        started_unix_ms: 1,
    }
}
