//! What the stand-ins saw, from which the promises are checked.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use filbertcleat_base::AdapterRef;

/// What the stand-ins saw.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    list: Arc<Mutex<Vec<Observation>>>,
}

/// Something that a stand-in saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An engine began a call.
    CallStarted {
        /// The engine.
        engine: String,
        /// The call's id.
        call: String,
        /// The adapter that it ran on.
        adapter: AdapterRef,
        /// The prompt.
        prompt: String,
    },
    /// An engine loaded an adapter.
    AdapterLoaded {
        /// The engine.
        engine: String,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// An engine was told to take out an adapter that was serving calls.
    EvictedWhileServing {
        /// The engine.
        engine: String,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// An engine refused an order with an old fencing number.
    StaleFence {
        /// The engine.
        engine: String,
    },
    /// A plain service was called.
    PlainRequest {
        /// The path.
        path: String,
        /// The body.
        body: String,
    },
}

impl Recorder {
    /// Adds something seen.
    pub fn record(&self, seen: Observation) {
        self.lock().push(seen);
    }

    /// Returns all that was seen.
    pub fn observations(&self) -> Vec<Observation> {
        self.lock().clone()
    }

    /// Returns how often each prompt was run.
    pub fn run_counts(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for seen in self.lock().iter() {
            if let Observation::CallStarted { prompt, .. } = seen {
                *runs.entry(prompt.clone()).or_default() += 1;
            }
        }
        runs
    }

    /// Returns the number of adapters that were evicted while they served.
    pub fn evictions_while_serving(&self) -> usize {
        let evicted = |seen: &&Observation| matches!(seen, Observation::EvictedWhileServing { .. });
        self.lock().iter().filter(evicted).count()
    }

    /// Returns the number of loads.
    pub fn load_count(&self) -> usize {
        self.lock().iter().filter(|seen| matches!(seen, Observation::AdapterLoaded { .. })).count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Observation>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
