//! An engine that batches continuously.

mod call;

use std::collections::HashMap;
use std::time::Duration;

use filbertcleat_base::AdapterRef;

pub use self::call::ModelCall;
pub use self::call::Produced;
use crate::EngineSpec;

/// An engine that batches continuously, without a clock of its own.
#[derive(Clone, Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    /// A number that changes when the engine restarts.
    pub epoch: u64,
    adapters: Vec<AdapterRef>,
    calls: Vec<ModelCall>,
    /// Steps made.
    pub steps: u64,
    /// Places that calls took in those steps.
    pub step_places: u64,
    /// The highest fencing number seen.
    pub fence: u64,
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
            step_places: 0,
            fence: 0,
        }
    }

    /// Returns what the engine can do.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Restarts the engine cold, and returns the calls that were cut off.
    pub fn restart(&mut self) -> Vec<ModelCall> {
        let calls = std::mem::take(&mut self.calls);
        *self = Self { fence: self.fence, ..Self::new(self.spec, self.epoch + 1) };
        calls
    }

    /// Returns whether an order with a fencing number is to be obeyed.
    pub fn admits(&mut self, fence: Option<u64>) -> bool {
        let Some(fence) = fence else {
            return !self.spec.checks_fence || self.fence == 0;
        };
        if self.spec.checks_fence && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        true
    }

    /// Returns the adapters held, with the calls that each serves.
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterRef, usize)> {
        self.adapters.iter().map(|adapter| (adapter, self.serving(adapter)))
    }

    /// Returns whether an adapter is held.
    pub fn holds(&self, adapter: &AdapterRef) -> bool {
        self.adapters.contains(adapter)
    }

    /// Puts an adapter into a slot; `false` means that none is free.
    pub fn load(&mut self, adapter: &AdapterRef) -> bool {
        if self.holds(adapter) {
            return true;
        }
        if self.adapters.len() >= self.spec.slots {
            return false;
        }
        self.adapters.push(adapter.clone());
        true
    }

    /// Takes an adapter out, and returns the number of calls that it was serving.
    pub fn unload(&mut self, adapter: &AdapterRef) -> usize {
        let serving = self.serving(adapter);
        self.adapters.retain(|held| held != adapter);
        serving
    }

    /// Begins a call; `false` means that its adapter is not held.
    pub fn begin(&mut self, call: ModelCall) -> bool {
        if !self.holds(&call.adapter) {
            return false;
        }
        self.calls.push(call);
        true
    }

    /// Ends a call, if it is there.
    pub fn cancel(&mut self, id: &str) -> Option<ModelCall> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    /// Returns a call that can be resumed.
    pub fn call_mut(&mut self, id: &str) -> Option<&mut ModelCall> {
        self.calls.iter_mut().find(|call| call.id == id)
    }

    /// Returns the adapter and the prompt of each call.
    pub fn prompts(&self) -> HashMap<String, (AdapterRef, String)> {
        let prompt =
            |call: &ModelCall| (call.id.clone(), (call.adapter.clone(), call.prompt.clone()));
        self.calls.iter().map(prompt).collect()
    }

    /// Returns the number of calls in the batch and of those that wait.
    pub fn load_counts(&self) -> (usize, usize) {
        let running = self.calls.len().min(self.spec.batch);
        (running, self.calls.len() - running)
    }

    /// Returns how long the next step takes, or `None` while there is nothing to do.
    pub fn step_time(&self) -> Option<Duration> {
        let (running, _) = self.load_counts();
        (running > 0).then(|| self.spec.step(running))
    }

    /// Makes a step: each call in the batch gets a token.
    ///
    /// The batch is the first calls by priority and arrival.
    pub fn step(&mut self) -> Vec<Produced> {
        self.calls.sort_by_key(|call| (call.priority, call.number));
        let (running, _) = self.load_counts();
        if running == 0 {
            return Vec::new();
        }
        self.steps += 1;
        self.step_places += running as u64;

        let mut produced = Vec::with_capacity(running);
        for call in &mut self.calls[..running] {
            produced.push(Produced {
                id: call.id.clone(),
                index: call.produced,
                last: call.produced + 1 >= call.tokens,
            });
            call.produced += 1;
        }
        self.calls.retain(|call| call.produced < call.tokens);
        produced
    }

    fn serving(&self, adapter: &AdapterRef) -> usize {
        self.calls.iter().filter(|call| call.adapter == *adapter).count()
    }
}
