//! Orders and queries to the engine, each run as a task.

use std::time::Duration;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::FencingToken;
use filbertcleat_platform::CallError;
use filbertcleat_platform::EngineClient;

use super::AgentEvent;
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;

/// An order to load an adapter, after evicting another one.
#[derive(Debug)]
pub(super) struct LoadOrder {
    pub adapter: AdapterRef,
    pub evict: Option<AdapterRef>,
    pub fence: Option<FencingToken>,
    pub timeout: Duration,
}

impl LoadOrder {
    /// Runs the order and sends its outcome to the event loop.
    pub async fn run(self, engine: EngineClient, loop_sender: LoopSender) {
        let event = match self.execute(&engine).await {
            Ok(()) => AgentEvent::Loaded { adapter: self.adapter },
            Err(failure) => AgentEvent::LoadFailed {
                adapter: self.adapter,
                known_absent: failure.known_absent,
                reason: failure.error.to_string(),
            },
        };
        send_to_loop(&loop_sender, LoopEvent::Agent(event));
    }

    async fn execute(&self, engine: &EngineClient) -> Result<(), LoadFailure> {
        if let Some(evict) = &self.evict {
            // After a failed unload the slot's content is unknown until the engine lists its
            // adapters.
            let unloaded = engine.unload(evict, self.fence).await;
            unloaded.map_err(|error| LoadFailure { known_absent: false, error })?;
        }
        let loaded = engine.load(&self.adapter, self.fence, self.timeout).await;
        loaded.map_err(|error| LoadFailure { known_absent: !error.sent, error })
    }
}

/// The failure of a load order.
#[derive(Debug)]
struct LoadFailure {
    /// Whether it is certain that the engine has not loaded the adapter.
    known_absent: bool,
    error: CallError,
}

/// Queries the engine's loaded adapters and sends them to the event loop.
pub(super) async fn list_adapters(engine: EngineClient, loop_sender: LoopSender) {
    let listing = engine.adapters().await.ok();
    send_to_loop(&loop_sender, LoopEvent::Agent(AgentEvent::AdapterList { listing }));
}

/// Queries the engine's statistics and sends them to the event loop.
pub(super) async fn read_engine_stats(engine: EngineClient, loop_sender: LoopSender) {
    let stats = engine.stats().await.ok();
    send_to_loop(&loop_sender, LoopEvent::Agent(AgentEvent::EngineStats { stats }));
}
