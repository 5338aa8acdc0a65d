//! Measures how much prompt each adapter's requests bring.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use crate::AdapterKey;
use crate::RequestDemand;

/// The recent rate of prompt tokens of each adapter's requests at this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct ArrivalRates {
    /// The tokens that arrived, decayed to the given time.
    adapters: BTreeMap<AdapterKey, (MonoTime, f64)>,
}

impl ArrivalRates {
    /// The time constant of the decay: long enough for several requests of an adapter that needs
    /// more than one engine, and short compared with the changes of its popularity.
    const DECAY_MS: f64 = 4_000.0;
    /// The number of adapters from which those without recent requests are discarded.
    const ADAPTERS_MAX: usize = 512;
    /// An adapter is discarded once less than this is left of its tokens.
    const TOKENS_MIN: f64 = 50.0;

    /// Records the arrival of a request.
    pub fn record(&mut self, now: MonoTime, demand: &RequestDemand) {
        let Some(key) = &demand.adapter else { return };
        if self.adapters.len() >= Self::ADAPTERS_MAX {
            self.adapters.retain(|_, (at, tokens)| decayed(now, *at, *tokens) >= Self::TOKENS_MIN);
        }
        let (at, tokens) = self.adapters.entry(key.clone()).or_insert((now, 0.0));
        *tokens = decayed(now, *at, *tokens) + demand.prompt_tokens as f64;
        *at = now;
    }

    /// Returns the rate of the requests for the adapter of `demand`.
    pub fn tokens_per_ms(&self, now: MonoTime, demand: &RequestDemand) -> f64 {
        let arrived = demand.adapter.as_ref().and_then(|key| self.adapters.get(key));
        arrived.map_or(0.0, |(at, tokens)| decayed(now, *at, *tokens) / Self::DECAY_MS)
    }
}

fn decayed(now: MonoTime, at: MonoTime, tokens: f64) -> f64 {
    tokens * (-(now.ms_since(at) as f64) / ArrivalRates::DECAY_MS).exp()
}
