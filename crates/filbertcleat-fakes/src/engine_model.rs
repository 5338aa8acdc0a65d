//! A model of an engine with continuous batching.

mod call;

use std::collections::HashMap;
use std::time::Duration;

use filbertcleat_base::AdapterRef;

pub use self::call::EngineCall;
pub use self::call::ProducedToken;
use crate::EngineSpec;

/// A model of an engine with continuous batching, without a clock of its own.
///
/// The owner waits for [`EngineModel::next_step_time`] before each [`EngineModel::step`].
#[derive(Clone, Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    /// Incremented by each restart.
    pub epoch: u64,
    adapters: Vec<AdapterRef>,
    calls: Vec<EngineCall>,
    /// The number of steps run since the last restart.
    pub steps: u64,
    /// The sum of the batch sizes of those steps.
    pub batched_calls: u64,
    /// The highest fencing token received; kept across restarts.
    pub highest_fence: u64,
}

impl EngineModel {
    /// Creates an engine with no adapter loaded.
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

    /// Returns the capacity and timing of the engine.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Restarts the engine with no adapter loaded, and returns the calls that this aborted.
    pub fn restart(&mut self) -> Vec<EngineCall> {
        let calls = std::mem::take(&mut self.calls);
        *self = Self { highest_fence: self.highest_fence, ..Self::new(self.spec, self.epoch + 1) };
        calls
    }

    /// Returns whether an order with this fencing token is accepted, and records the token.
    ///
    /// An engine that checks fencing tokens rejects those lower than the highest one received. Once
    /// it has received one, it also rejects orders without a token.
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

    /// Returns the loaded adapters, each with its number of unfinished calls.
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterRef, usize)> {
        self.adapters.iter().map(|adapter| (adapter, self.call_count(adapter)))
    }

    /// Returns whether an adapter is loaded.
    pub fn has_adapter(&self, adapter: &AdapterRef) -> bool {
        self.adapters.contains(adapter)
    }

    /// Loads an adapter; returns `false` if no adapter slot is free.
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

    /// Unloads an adapter, and returns its number of unfinished calls, which continue.
    pub fn unload_adapter(&mut self, adapter: &AdapterRef) -> usize {
        let unfinished = self.call_count(adapter);
        self.adapters.retain(|loaded| loaded != adapter);
        unfinished
    }

    /// Adds a call; returns `false` if its adapter is not loaded.
    pub fn start_call(&mut self, call: EngineCall) -> bool {
        if !self.has_adapter(&call.adapter) {
            return false;
        }
        self.calls.push(call);
        true
    }

    /// Removes a call and returns it, or `None` if there is no such call.
    pub fn cancel_call(&mut self, id: &str) -> Option<EngineCall> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    /// Returns the unfinished call with an id.
    pub fn call_mut(&mut self, id: &str) -> Option<&mut EngineCall> {
        self.calls.iter_mut().find(|call| call.id == id)
    }

    /// Returns the adapter and the prompt of each call, by call id.
    pub fn prompts(&self) -> HashMap<String, (AdapterRef, String)> {
        let prompt =
            |call: &EngineCall| (call.id.clone(), (call.adapter.clone(), call.prompt.clone()));
        self.calls.iter().map(prompt).collect()
    }

    /// Returns the number of calls in the batch and the number of waiting calls.
    pub fn call_counts(&self) -> (usize, usize) {
        let running = self.calls.len().min(self.spec.batch_limit);
        (running, self.calls.len() - running)
    }

    /// Returns the duration of the next step, or `None` if there are no calls.
    pub fn next_step_time(&self) -> Option<Duration> {
        let (running, _) = self.call_counts();
        (running > 0).then(|| self.spec.step_time(running))
    }

    /// Runs a step, which produces one token for each call in the batch.
    ///
    /// The batch consists of the first calls by priority, then by sequence number.
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

    fn call_count(&self, adapter: &AdapterRef) -> usize {
        self.calls.iter().filter(|call| call.adapter == *adapter).count()
    }
}
