//! A model engine over HTTP.

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

/// A model engine on an address of its own.
#[derive(Debug)]
pub struct FakeEngine {
    address: SocketAddr,
    state: Arc<EngineState>,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeEngine {
    /// Starts an engine on an address; port 0 asks for any free one.
    pub async fn start(
        address: SocketAddr,
        name: &str,
        spec: EngineSpec,
        weights: WeightStoreModel,
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(EngineState::new(name, spec, weights, recorder));
        let router = Router::new()
            .hoop(salvo::affix_state::inject(Arc::clone(&state)))
            .push(at(paths::ENGINE_COMPLETIONS).post(handlers::complete))
            .push(at(paths::ENGINE_CHAT).post(handlers::complete))
            .push(at(paths::ENGINE_LOAD_ADAPTER).post(handlers::load))
            .push(at(paths::ENGINE_UNLOAD_ADAPTER).post(handlers::unload))
            .push(at(paths::ENGINE_ADAPTERS).get(handlers::adapters))
            .push(at(paths::ENGINE_CANCEL).post(handlers::cancel))
            .push(at(paths::ENGINE_LOAD).get(handlers::load_report))
            .push(at(paths::ENGINE_CACHE_EVENTS).get(handlers::cache_events))
            .push(at(paths::ENGINE_ROLE).post(handlers::obey))
            .push(at(paths::ENGINE_MODEL).post(handlers::obey));
        let stepping = tokio::spawn(step_on(Arc::clone(&state)));
        Ok(Self { address, state, tasks: vec![serve_http(listener, router), stepping] })
    }

    /// Returns the engine's address, as `http://address:port`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the engine's switches.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Restarts the engine cold, which cuts off all its streams.
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

fn at(path: &str) -> Router {
    Router::with_path(path.trim_start_matches('/'))
}

/// Makes one step after the other while there is work.
async fn step_on(state: Arc<EngineState>) {
    loop {
        match state.step_time() {
            Some(time) => {
                tokio::time::sleep(time).await;
                state.step();
            }
            None => state.work.notified().await,
        }
    }
}
