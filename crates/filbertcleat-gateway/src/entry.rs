//! The entry process: it accepts callers and forwards their requests to backend servers.

mod agent_replies;
mod agent_updates;
mod allowances;
mod answer;
mod attempt;
mod backend_body;
mod backend_connection;
mod body;
mod body_framing;
mod body_rooms;
mod call_limits;
mod caller_connections;
mod caller_memory;
mod caller_socket;
mod caller_stream;
mod catalogue_watch;
mod close_reason;
mod connection;
mod connection_activity;
mod connection_pool;
mod counted_attempt;
mod crashes;
mod dispatch;
mod event_order;
mod events;
mod exchange;
mod exchange_error;
mod facts;
mod handler;
mod held_bytes;
mod holders;
mod identity_answer;
mod idle_timeouts;
mod in_flight;
mod kept_facts;
mod kept_origins;
mod kept_routes;
mod listed_start;
mod liveness;
mod notices;
mod open_query;
mod origin_question;
mod origins;
mod placement;
mod prompt_turns;
mod read_allowance;
mod read_request;
mod readiness;
mod receive_buffer;
mod refusal;
mod request;
mod request_body;
mod request_log;
mod response_body;
mod sent_request;
mod socket;
mod state;
mod stream_close;
mod stream_moves;
mod stream_part;
mod stream_position;
mod stream_relay;
mod stream_source;
mod whole_body;

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
use self::kept_origins::read_origins;
use self::kept_origins::write_origins;
use self::kept_routes::write_routes;
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
use crate::panics::supervise;
use crate::peer_socket::PeerSocket;

/// How long the load balancer still sends callers after shutdown has begun.
///
/// The balancer checks readiness each second and removes a process after two failed checks; the
/// rest is margin.
const BALANCER_DELAY_MS: u64 = 2_600;
/// The part of the shutdown grace period that is reserved for the exit of the process itself.
const EXIT_RESERVE_MS: u64 = 600;
/// The part of the shutdown grace period, before the exit, in which callers without an answer get
/// one and read it: several network round trips and checks of a draining entry.
const ANSWER_RESERVE_MS: u64 = 300;
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
    log::info!(
        "event=start role=entry node={} peers={peer_address} first_start={}",
        settings.name,
        settings.is_first_start
    );

    for (task, topic) in [("operators-watch", Topic::Operators), ("servers-watch", Topic::Servers)]
    {
        let catalogue = catalogue.clone();
        spawn_task(&entry, task, move |entry| watch_catalogue(entry, catalogue.clone(), topic));
    }
    let kept = catalogue.clone();
    spawn_task(&entry, "facts", move |entry| keep_facts(entry, kept.clone()));
    let listed = catalogue.clone();
    spawn_task(&entry, "origin-lists", move |entry| read_origins(entry, listed.clone()));
    let routes = catalogue.clone();
    spawn_task(&entry, "route-row", move |entry| write_routes(entry, routes.clone()));
    spawn_task(&entry, "origin-rows", move |entry| write_origins(entry, catalogue.clone()));
    spawn_task(&entry, "agent-updates", receive_agent_updates);
    spawn_task(&entry, "allowances", run_allowances);
    spawn_task(&entry, "dispatcher", run_dispatcher);
    let (readiness, callers) = (Rc::new(listeners.readiness), Rc::new(listeners.callers));
    spawn_task(&entry, "readiness", move |entry| serve_readiness(entry, Rc::clone(&readiness)));
    spawn_task(&entry, "callers", move |entry| serve_callers(entry, Rc::clone(&callers)));

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
        entry.connections.len()
    );
    Ok(())
}

/// Starts a task that lasts as long as the process, whatever happens in it.
fn spawn_task<D: Dialect, F: Future<Output = ()> + 'static>(
    entry: &Rc<Entry<D>>,
    task: &'static str,
    mut start: impl FnMut(Rc<Entry<D>>) -> F + 'static,
) {
    let entry = Rc::clone(entry);
    spawn_local(supervise(task, entry.metrics.clone(), move || start(Rc::clone(&entry))));
}

/// Waits until the load balancer has removed the process and its callers have read their responses,
/// at most for the grace period.
async fn drain<D: Dialect>(entry: &Entry<D>) {
    entry.begin_shutdown();
    let since = entry.now();
    loop {
        let elapsed_ms = entry.now().ms_since(since);
        let is_idle = entry.open_requests() == 0 && entry.connections.len() == 0;
        let is_done = elapsed_ms >= BALANCER_DELAY_MS && is_idle;
        if is_done || elapsed_ms + EXIT_RESERVE_MS >= entry.settings.grace_ms {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
