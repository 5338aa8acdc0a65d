//! Learns how long the first events of sent requests take beyond the prefill of their prompts.

use std::collections::BTreeMap;

use filbertcleat_base::ServiceName;

use crate::RequestDemand;
use crate::fleet::Quantile;

/// The time from the dispatch of a request to its first event, beyond the prefill of its own prompt,
/// for each service: the prompts ahead, the wait for a turn and the way there and back.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstEventMargins {
    services: BTreeMap<ServiceName, Quantile>,
}

impl FirstEventMargins {
    /// The share of the requests whose margin is enough. Requests are dispatched at the last moment
    /// when capacity is short, so that a smaller share would make many of them late.
    const SHARE: f64 = 0.9;
    /// The margin before any response: the prior of the time to an empty prompt's first event.
    const PRIOR_MS: f64 = 50.0;
    /// The largest part of the objective that the margin and the prompt may take. A request counts as
    /// able to meet its objective for as long as the rest, so that long prompts keep their places.
    const OBJECTIVE_SHARE_MAX: f64 = 0.5;

    /// Records the time from the dispatch of a request to its first event.
    pub fn observe(&mut self, demand: &RequestDemand, wait_ms: u64, ms_per_prompt_token: f64) {
        let margin_ms = wait_ms as f64 - demand.prompt_tokens as f64 * ms_per_prompt_token;
        let new = || Quantile::new(Self::SHARE, Self::PRIOR_MS);
        let margin = self.services.entry(demand.service.clone()).or_insert_with(new);
        margin.observe(margin_ms.max(1.0));
    }

    /// Returns how long a request may wait in the queue, whatever is expected of its first event.
    pub fn wait_min_ms(demand: &RequestDemand) -> u64 {
        let objective_ms = demand.latency_objective_ms as f64;
        (objective_ms - objective_ms * Self::OBJECTIVE_SHARE_MAX) as u64
    }

    /// Returns how long a request may wait in the queue and still meet its objective.
    pub fn wait_max_ms(&self, demand: &RequestDemand, ms_per_prompt_token: f64) -> u64 {
        let margin_ms = self.services.get(&demand.service).map_or(Self::PRIOR_MS, |it| it.value());
        let event_ms = demand.prompt_tokens as f64 * ms_per_prompt_token + margin_ms;
        let objective_ms = demand.latency_objective_ms as f64;
        (objective_ms - event_ms.min(objective_ms * Self::OBJECTIVE_SHARE_MAX)) as u64
    }
}
