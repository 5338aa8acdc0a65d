//! The entry process: it accepts callers and forwards their requests to backend servers.

mod agent_updates;
mod allowances;
mod answer;
mod attempt;
mod backend_body;
mod backend_connection;
mod body;
mod caller_socket;
mod catalogue_watch;
mod close_reason;
mod connection;
mod connection_activity;
mod connection_pool;
mod counted_attempt;
mod crashes;
mod dispatch;
mod events;
mod exchange;
mod exchange_error;
mod facts;
mod handler;
mod holders;
mod idle_timeouts;
mod in_flight;
mod kept_facts;
mod notices;
mod open_connection;
mod origins;
mod placement;
mod read_allowance;
mod read_request;
mod readiness;
mod refusal;
mod request;
mod request_log;
mod response_body;
mod socket;
mod state;
mod stream_close;
mod stream_moves;
mod stream_relay;
mod stream_source;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use self::agent_updates::receive_agent_updates;
use self::allowances::run_allowances;
use self::catalogue_watch::watch_catalogue;
use self::connection::serve_callers;
use self::dispatch::run_dispatcher;
use self::kept_facts::keep_facts;
use self::readiness::serve_readiness;
use self::state::Entry;
use crate::Catalogue;
use crate::Dialect;
use crate::GatewaySettings;
use crate::RetryBudgetSettings;
use crate::ShutdownSignal;
use crate::Topic;
use crate::listen::bind;
use crate::listen::bind_if;
use crate::metrics::Metrics;
use crate::metrics::serve_metrics;
use crate::peer_socket::PeerSocket;

/// How long the load balancer still sends callers after shutdown has begun.
///
/// The balancer checks readiness each second and removes a process after two failed checks; the
/// rest is margin.
const BALANCER_DELAY_MS: u64 = 2_600;
/// The part of the shutdown grace period that is reserved for the exit of the process itself.
const EXIT_RESERVE_MS: u64 = 600;
/// How often a draining entry checks whether its requests and connections have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The listening sockets of an entry.
#[derive(Debug)]
pub struct EntryListeners {
    /// Accepts callers.
    pub callers: TcpListener,
    /// Serves the readiness checks of the load balancer.
    pub readiness: TcpListener,
    /// Serves metrics, if enabled.
    pub metrics: Option<TcpListener>,
}

impl EntryListeners {
    /// Binds the addresses. Fails if one of them can't be bound.
    pub async fn bind(
        callers: SocketAddr,
        readiness: SocketAddr,
        metrics: Option<SocketAddr>,
    ) -> Result<Self, Fault> {
        Ok(Self {
            callers: bind(callers).await?,
            readiness: bind(readiness).await?,
            metrics: bind_if(metrics).await?,
        })
    }
}

/// Runs an entry until `shutdown` is triggered and its requests have ended.
///
/// It must run within a `LocalSet`. The retry budget may change while it runs. Fails if the socket
/// for updates between entries and agents can't be bound.
pub async fn run_entry<C: Catalogue, D: Dialect>(
    settings: &GatewaySettings,
    listeners: EntryListeners,
    catalogue: C,
    dialect: D,
    retry_budget: watch::Receiver<RetryBudgetSettings>,
    shutdown: ShutdownSignal,
) -> Result<(), Fault> {
    let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
    let peers = PeerSocket::bind(peer_address)
        .await
        .map_err(|error| Fault::new(Step::Connect, peer_address, error))?;
    let entry =
        Rc::new(Entry::new(settings.clone(), dialect, peers, retry_budget, shutdown.clone()));
    log::info!("event=start role=entry node={} peers={peer_address}", settings.name);

    spawn_local(watch_catalogue(Rc::clone(&entry), catalogue.clone(), Topic::Operators));
    spawn_local(watch_catalogue(Rc::clone(&entry), catalogue.clone(), Topic::Servers));
    spawn_local(keep_facts(Rc::clone(&entry), catalogue));
    spawn_local(receive_agent_updates(Rc::clone(&entry)));
    spawn_local(run_allowances(Rc::clone(&entry)));
    spawn_local(run_dispatcher(Rc::clone(&entry)));
    spawn_local(serve_readiness(Rc::clone(&entry), listeners.readiness));
    spawn_local(serve_callers(Rc::clone(&entry), listeners.callers));

    if let Some(listener) = listeners.metrics {
        let source = Rc::clone(&entry);
        let refresh = move |metrics: &Metrics| source.update_gauges(metrics);
        spawn_local(serve_metrics(listener, entry.metrics.clone(), refresh));
    }

    shutdown.triggered().await;
    let open = entry.open_requests();
    log::info!("event=stopping role=entry node={} requests={open}", settings.name);
    drain(&entry).await;
    log::info!(
        "event=stop role=entry node={} requests={} connections={}",
        settings.name,
        entry.open_requests(),
        entry.open_connections()
    );
    Ok(())
}

/// Waits until the load balancer has removed the process and its callers have read their responses,
/// at most for the grace period.
async fn drain<D: Dialect>(entry: &Entry<D>) {
    entry.begin_shutdown();
    let since = entry.now();
    loop {
        let elapsed_ms = entry.now().ms_since(since);
        let is_idle = entry.open_requests() == 0 && entry.open_connections() == 0;
        let is_done = elapsed_ms >= BALANCER_DELAY_MS && is_idle;
        if is_done || elapsed_ms + EXIT_RESERVE_MS >= entry.settings.grace_ms {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
