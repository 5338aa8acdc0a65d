//! A test double of an engine, served over HTTP.

mod handlers;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use filbertcleat_platform::paths;
use salvo::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub(crate) use self::state::EngineState;
use crate::EngineSpec;
use crate::Faults;
use crate::Recorder;
use crate::WeightStoreModel;
use crate::serve_http;

/// An HTTP server around an [`EngineModel`](crate::EngineModel).
#[derive(Debug)]
pub struct FakeEngine {
    address: SocketAddr,
    state: Arc<EngineState>,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeEngine {
    /// Starts an engine on `address`; with port 0, the system picks a free port.
    pub async fn start(
        address: SocketAddr,
        name: &str,
        spec: EngineSpec,
        weight_store: WeightStoreModel,
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(EngineState::new(name, spec, weight_store, recorder));
        let router = Router::new()
            .hoop(salvo::affix_state::inject(Arc::clone(&state)))
            .push(route(paths::ENGINE_COMPLETIONS).post(handlers::complete))
            .push(route(paths::ENGINE_CHAT).post(handlers::complete))
            .push(route(paths::ENGINE_LOAD_ADAPTER).post(handlers::load_adapter))
            .push(route(paths::ENGINE_UNLOAD_ADAPTER).post(handlers::unload_adapter))
            .push(route(paths::ENGINE_ADAPTERS).get(handlers::list_adapters))
            .push(route(paths::ENGINE_CANCEL).post(handlers::cancel))
            .push(route(paths::ENGINE_LOAD).get(handlers::stats))
            .push(route(paths::ENGINE_CACHE_EVENTS).get(handlers::cache_events))
            .push(route(paths::ENGINE_ROLE).post(handlers::accept_order))
            .push(route(paths::ENGINE_MODEL).post(handlers::accept_order));
        let step_task = tokio::spawn(run_steps(Arc::clone(&state)));
        Ok(Self { address, state, tasks: vec![serve_http(listener, router), step_task] })
    }

    /// Returns the base URL of the engine, `http://address:port`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the fault injection of the engine.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Restarts the engine with no adapter loaded, which cuts off all its streams.
    pub fn restart(&self) {
        self.state.restart();
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn route(path: &str) -> Router {
    Router::with_path(path.trim_start_matches('/'))
}

/// Runs steps while there are calls, and otherwise waits for the next call.
async fn run_steps(state: Arc<EngineState>) {
    loop {
        match state.next_step_time() {
            Some(duration) => {
                tokio::time::sleep(duration).await;
                state.step();
            }
            None => state.call_added.notified().await,
        }
    }
}
