//! Records the calls and orders that the test doubles receive, so that tests can verify them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use filbertcleat_base::AdapterRef;

/// The observations of all test doubles of a system; clones share their list.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    observations: Arc<Mutex<Vec<Observation>>>,
}

/// A call or order that a test double received.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An engine started a call.
    CallStarted {
        /// The name of the engine.
        engine: String,
        /// The id of the call.
        call: String,
        /// The adapter that the call uses.
        adapter: AdapterRef,
        /// The prompt.
        prompt: String,
    },
    /// An engine loaded an adapter.
    AdapterLoaded {
        /// The name of the engine.
        engine: String,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// An engine was ordered to unload an adapter that had unfinished calls.
    EvictedWhileServing {
        /// The name of the engine.
        engine: String,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// An engine rejected an order with a missing or stale fencing token.
    StaleFence {
        /// The name of the engine.
        engine: String,
    },
    /// A plain service received a request.
    PlainRequest {
        /// The path of the request.
        path: String,
        /// The body of the request.
        body: String,
    },
}

impl Recorder {
    /// Appends an observation.
    pub fn record(&self, observation: Observation) {
        self.lock().push(observation);
    }

    /// Returns all observations in the order of their recording.
    pub fn observations(&self) -> Vec<Observation> {
        self.lock().clone()
    }

    /// Returns how many calls were started for each prompt.
    pub fn run_counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for observation in self.lock().iter() {
            if let Observation::CallStarted { prompt, .. } = observation {
                *counts.entry(prompt.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns how many times an adapter was unloaded while it had unfinished calls.
    pub fn evictions_while_serving(&self) -> usize {
        let evicted = |observation: &&Observation| {
            matches!(observation, Observation::EvictedWhileServing { .. })
        };
        self.lock().iter().filter(evicted).count()
    }

    /// Returns the number of completed adapter loads.
    pub fn load_count(&self) -> usize {
        self.lock().iter().filter(|seen| matches!(seen, Observation::AdapterLoaded { .. })).count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Observation>> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
