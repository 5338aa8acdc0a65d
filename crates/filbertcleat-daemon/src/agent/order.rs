//! Orders to the engine.

use std::time::Duration;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Fence;
use filbertcleat_platform::CallError;
use filbertcleat_platform::EngineClient;

use super::AgentEvent;
use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;

/// A load, after taking another adapter out.
#[derive(Debug)]
pub(super) struct LoadOrder {
    pub adapter: AdapterRef,
    pub evict: Option<AdapterRef>,
    pub fence: Option<Fence>,
    pub timeout: Duration,
}

impl LoadOrder {
    /// Gives the orders one after the other and tells the loop how they ended.
    pub async fn run(self, engine: EngineClient, inputs: Inputs) {
        let event = match self.carry_out(&engine).await {
            Ok(()) => AgentEvent::Loaded { adapter: self.adapter },
            Err(failure) => AgentEvent::LoadFailed {
                adapter: self.adapter,
                certain: failure.certain,
                reason: failure.error.to_string(),
            },
        };
        tell(&inputs, Input::Agent(event));
    }

    async fn carry_out(&self, engine: &EngineClient) -> Result<(), Failure> {
        if let Some(evict) = &self.evict {
            // Whatever went wrong, only the engine's own list tells what the slot holds now.
            let unloaded = engine.unload(evict, self.fence).await;
            unloaded.map_err(|error| Failure { certain: false, error })?;
        }
        let loaded = engine.load(&self.adapter, self.fence, self.timeout).await;
        loaded.map_err(|error| Failure { certain: !error.sent, error })
    }
}

/// An order that failed.
#[derive(Debug)]
struct Failure {
    certain: bool,
    error: CallError,
}

/// Reads the engine's list of adapters, and tells the loop.
pub(super) async fn inspect(engine: EngineClient, inputs: Inputs) {
    let listing = engine.adapters().await.ok();
    tell(&inputs, Input::Agent(AgentEvent::Listing { listing }));
}

/// Reads the engine's report of its load, and tells the loop.
pub(super) async fn report(engine: EngineClient, inputs: Inputs) {
    let report = engine.stats().await.ok();
    tell(&inputs, Input::Agent(AgentEvent::Load { report }));
}
