//! An engine that batches continuously.

mod call;

use std::collections::HashMap;
use std::time::Duration;

use filbertcleat_base::AdapterRef;

pub use self::call::EngineCall;
pub use self::call::ProducedToken;
use crate::EngineSpec;

/// An engine that batches continuously, without a clock of its own.
#[derive(Clone, Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    /// A number that changes when the engine restarts.
    pub epoch: u64,
    adapters: Vec<AdapterRef>,
    calls: Vec<EngineCall>,
    /// Steps made.
    pub steps: u64,
    /// Places that calls took in those steps.
    pub batched_calls: u64,
    /// The highest fencing number seen.
    pub highest_fence: u64,
}

impl EngineModel {
    /// Creates an engine with nothing loaded.
    pub fn new(spec: EngineSpec, epoch: u64) -> Self {
        Self {
            spec,
            epoch,
            adapters: Vec::new(),
            calls: Vec::new(),
            steps: 0,
            batched_calls: 0,
            highest_fence: 0,
        }
    }

    /// Returns what the engine can do.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Restarts the engine cold, and returns the calls that were cut off.
    pub fn restart(&mut self) -> Vec<EngineCall> {
        let calls = std::mem::take(&mut self.calls);
        *self = Self { highest_fence: self.highest_fence, ..Self::new(self.spec, self.epoch + 1) };
        calls
    }

    /// Returns whether an order with a fencing number is to be obeyed.
    pub fn accepts_fence(&mut self, fence: Option<u64>) -> bool {
        let Some(fence) = fence else {
            return !self.spec.checks_fence || self.highest_fence == 0;
        };
        if self.spec.checks_fence && fence < self.highest_fence {
            return false;
        }
        self.highest_fence = self.highest_fence.max(fence);
        true
    }

    /// Returns the adapters held, with the calls that each serves.
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterRef, usize)> {
        self.adapters.iter().map(|adapter| (adapter, self.serving(adapter)))
    }

    /// Returns whether an adapter is held.
    pub fn has_adapter(&self, adapter: &AdapterRef) -> bool {
        self.adapters.contains(adapter)
    }

    /// Puts an adapter into a slot; `false` means that none is free.
    pub fn load_adapter(&mut self, adapter: &AdapterRef) -> bool {
        if self.has_adapter(adapter) {
            return true;
        }
        if self.adapters.len() >= self.spec.adapter_slots {
            return false;
        }
        self.adapters.push(adapter.clone());
        true
    }

    /// Takes an adapter out, and returns the number of calls that it was serving.
    pub fn unload_adapter(&mut self, adapter: &AdapterRef) -> usize {
        let serving = self.serving(adapter);
        self.adapters.retain(|held| held != adapter);
        serving
    }

    /// Begins a call; `false` means that its adapter is not held.
    pub fn start_call(&mut self, call: EngineCall) -> bool {
        if !self.has_adapter(&call.adapter) {
            return false;
        }
        self.calls.push(call);
        true
    }

    /// Ends a call, if it is there.
    pub fn cancel_call(&mut self, id: &str) -> Option<EngineCall> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    /// Returns a call that can be resumed.
    pub fn call_mut(&mut self, id: &str) -> Option<&mut EngineCall> {
        self.calls.iter_mut().find(|call| call.id == id)
    }

    /// Returns the adapter and the prompt of each call.
    pub fn prompts(&self) -> HashMap<String, (AdapterRef, String)> {
        let prompt =
            |call: &EngineCall| (call.id.clone(), (call.adapter.clone(), call.prompt.clone()));
        self.calls.iter().map(prompt).collect()
    }

    /// Returns the number of calls in the batch and of those that wait.
    pub fn call_counts(&self) -> (usize, usize) {
        let running = self.calls.len().min(self.spec.batch_limit);
        (running, self.calls.len() - running)
    }

    /// Returns how long the next step takes, or `None` while there is nothing to do.
    pub fn next_step_time(&self) -> Option<Duration> {
        let (running, _) = self.call_counts();
        (running > 0).then(|| self.spec.step_time(running))
    }

    /// Makes a step: each call in the batch gets a token.
    ///
    /// The batch is the first calls by priority and arrival.
    pub fn step(&mut self) -> Vec<ProducedToken> {
        self.calls.sort_by_key(|call| (call.priority, call.sequence));
        let (running, _) = self.call_counts();
        if running == 0 {
            return Vec::new();
        }
        self.steps += 1;
        self.batched_calls += running as u64;

        let mut produced = Vec::with_capacity(running);
        for call in &mut self.calls[..running] {
            produced.push(ProducedToken {
                call_id: call.id.clone(),
                index: call.produced_tokens,
                is_last: call.produced_tokens + 1 >= call.answer_tokens,
            });
            call.produced_tokens += 1;
        }
        self.calls.retain(|call| call.produced_tokens < call.answer_tokens);
        produced
    }

    fn serving(&self, adapter: &AdapterRef) -> usize {
        self.calls.iter().filter(|call| call.adapter == *adapter).count()
    }
}
