//! An entry: it answers callers by speaking with backend servers itself.

mod body;
mod caller;
mod connection;
mod events;
mod follow;
mod handle;
mod line;
mod open;
mod place;
mod pool;
mod pump;
mod read;
mod readiness;
mod refusal;
mod send;
mod socket;
mod state;
mod stream;
mod tell;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use self::connection::serve_callers;
use self::follow::follow;
use self::pump::pump;
use self::readiness::serve_readiness;
use self::state::Entry;
use self::tell::hear_agents;
use crate::Catalogue;
use crate::Dialect;
use crate::GatewaySettings;
use crate::RetryBudgetSettings;
use crate::ShutdownSignal;
use crate::Topic;
use crate::exchange::Exchange;
use crate::listen::bind;
use crate::listen::bind_if;
use crate::metrics::Metrics;
use crate::metrics::serve_metrics;

/// A balancer that asks each second takes a process out after two misses; until then, and a little
/// longer, it still sends callers.
const BALANCER_LAG_MS: u64 = 2_600;
/// The part of the grace that is kept for the end of the process itself.
const END_MS: u64 = 600;
/// How often a stopping process looks whether its requests have ended.
const END_LOOK: Duration = Duration::from_millis(50);

/// Where an entry listens.
#[derive(Debug)]
pub struct EntryListeners {
    /// Callers connect here.
    pub callers: TcpListener,
    /// The balancer asks here whether the entry takes callers.
    pub readiness: TcpListener,
    /// Metrics are served here, if anywhere.
    pub metrics: Option<TcpListener>,
}

impl EntryListeners {
    /// Binds the addresses.
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

/// Runs an entry until it shall end; it has to run within a `LocalSet`.
///
/// The grant of repeats may change while it runs.
pub async fn run_entry<C: Catalogue, D: Dialect>(
    settings: &GatewaySettings,
    listeners: EntryListeners,
    catalogue: C,
    dialect: D,
    grants: watch::Receiver<RetryBudgetSettings>,
    stop: ShutdownSignal,
) -> Result<(), Fault> {
    let peers = SocketAddr::new(settings.ip, settings.peer_port);
    let exchange =
        Exchange::bind(peers).await.map_err(|error| Fault::new(Step::Connect, peers, error))?;
    let entry = Rc::new(Entry::new(settings.clone(), dialect, exchange, grants, stop.clone()));
    log::info!("event=start role=entry node={} peers={peers}", settings.name);

    spawn_local(follow(Rc::clone(&entry), catalogue.clone(), Topic::Operators));
    spawn_local(follow(Rc::clone(&entry), catalogue, Topic::Servers));
    spawn_local(hear_agents(Rc::clone(&entry)));
    spawn_local(pump(Rc::clone(&entry)));
    spawn_local(serve_readiness(Rc::clone(&entry), listeners.readiness));
    spawn_local(serve_callers(Rc::clone(&entry), listeners.callers));

    if let Some(listener) = listeners.metrics {
        let measured = Rc::clone(&entry);
        let refresh = move |metrics: &Metrics| measured.measure(metrics);
        spawn_local(serve_metrics(listener, entry.metrics.clone(), refresh));
    }

    stop.triggered().await;
    let open = entry.requests();
    log::info!("event=stopping role=entry node={} requests={open}", settings.name);
    wait_for_end(&entry).await;
    log::info!("event=stop role=entry node={} requests={}", settings.name, entry.requests());
    Ok(())
}

/// Waits until the balancer has taken the process out and its requests have ended.
async fn wait_for_end<D: Dialect>(entry: &Entry<D>) {
    entry.stops();
    let since = entry.now();
    loop {
        let passed_ms = entry.now().ms_since(since);
        let is_done = passed_ms >= BALANCER_LAG_MS && entry.requests() == 0;
        if is_done || passed_ms + END_MS >= entry.settings.grace_ms {
            return;
        }
        tokio::time::sleep(END_LOOK).await;
    }
}
