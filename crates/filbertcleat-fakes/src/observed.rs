//! What the stand-ins saw, from which the promises are checked.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use filbertcleat_base::AdapterRef;

/// What the stand-ins saw.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    list: Arc<Mutex<Vec<Seen>>>,
}

/// Something that a stand-in saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// An engine began a call.
    Run {
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
    Load {
        /// The engine.
        engine: String,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// An engine was told to take out an adapter that was serving calls.
    EvictedServing {
        /// The engine.
        engine: String,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// An engine refused an order with an old fencing number.
    OldFence {
        /// The engine.
        engine: String,
    },
    /// A plain service was called.
    Plain {
        /// The path.
        path: String,
        /// The body.
        body: String,
    },
}

impl Observed {
    /// Adds something seen.
    pub fn add(&self, seen: Seen) {
        self.lock().push(seen);
    }

    /// Returns all that was seen.
    pub fn all(&self) -> Vec<Seen> {
        self.lock().clone()
    }

    /// Returns how often each prompt was run.
    pub fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for seen in self.lock().iter() {
            if let Seen::Run { prompt, .. } = seen {
                *runs.entry(prompt.clone()).or_default() += 1;
            }
        }
        runs
    }

    /// Returns the number of adapters that were evicted while they served.
    pub fn evicted_serving(&self) -> usize {
        let evicted = |seen: &&Seen| matches!(seen, Seen::EvictedServing { .. });
        self.lock().iter().filter(evicted).count()
    }

    /// Returns the number of loads.
    pub fn loads(&self) -> usize {
        self.lock().iter().filter(|seen| matches!(seen, Seen::Load { .. })).count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
