//! Learns how many tokens the engines of a service write for a request.

use std::collections::BTreeMap;

use super::adapter_lengths::AdapterLengths;
use super::output_estimate::OutputEstimate;
use super::quantile::Quantile;
use super::token_rate::TokenRate;
use crate::RequestDemand;

/// The output lengths of a service's finished streams, by route and by adapter.
///
/// A request names only the largest number of tokens, which few streams reach. An entry sees few
/// streams of most adapters, so that the mean of an adapter is weighed with that of its route, and
/// the distances from the estimates are common to all.
#[derive(Clone, Debug)]
pub(crate) struct OutputLengths {
    routes: BTreeMap<u64, RouteLength>,
    adapters: AdapterLengths,
    tokens_per_event: TokenRate,
    /// The lengths of the streams, as multiples of their estimates: the quantile that guards memory.
    high_factor: Quantile,
    /// The factors between the lengths and their estimates in either direction.
    error_median: Quantile,
    error_p90: Quantile,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteLength {
    mean_events: f64,
    streams: u32,
}

impl OutputLengths {
    /// The streams of a route after which its lengths count as known, and the number over which the
    /// quantile that guards memory has to be learned.
    const SETTLED_STREAMS: u32 = 200;
    /// The weight of a route's mean, in streams of the adapter.
    const ROUTE_WEIGHT: f64 = 4.0;
    /// The smallest weight of the latest stream in a route's mean.
    const ROUTE_STEP_MIN: f64 = 0.005;
    /// The share of the streams that are no longer than the high estimate.
    const HIGH_SHARE: f64 = 0.99;
    /// The largest number of routes, which bounds the memory if configurations follow each other.
    const ROUTES_MAX: usize = 256;

    /// Creates the record of a service without finished streams.
    pub fn new() -> Self {
        Self {
            routes: BTreeMap::new(),
            adapters: AdapterLengths::new(),
            tokens_per_event: TokenRate::default(),
            high_factor: Quantile::new(Self::HIGH_SHARE, 1.0),
            error_median: Quantile::new(0.5, 1.0),
            error_p90: Quantile::new(0.9, 1.0),
        }
    }

    /// Records the number of events of a stream that was read from its first event to its end.
    pub fn observe(&mut self, demand: &RequestDemand, events: u32) {
        if events == 0 {
            return;
        }
        let length = f64::from(events);
        let hash = demand.route_hash();
        self.tokens_per_event.observe(demand.output_tokens_max, events);
        if let Some(expected) = self.expected_events(demand) {
            self.high_factor.observe(length / expected);
            let error = (length / expected).max(expected / length);
            self.error_median.observe(error);
            self.error_p90.observe(error);
        }
        if !self.routes.contains_key(&hash) && self.routes.len() >= Self::ROUTES_MAX {
            self.routes.pop_first();
        }
        let route = self.routes.entry(hash).or_default();
        route.streams = route.streams.saturating_add(1);
        let step = (1.0 / f64::from(route.streams)).max(Self::ROUTE_STEP_MIN);
        route.mean_events += (length - route.mean_events) * step;
        if let Some(adapter) = demand.adapter_hash() {
            self.adapters.observe(adapter, length);
        }
    }

    /// Returns the estimate for a request, once enough streams of its route have ended.
    pub fn estimate(&self, demand: &RequestDemand) -> Option<OutputEstimate> {
        let route = self.routes.get(&demand.route_hash())?;
        if route.streams < Self::SETTLED_STREAMS {
            return None;
        }
        let max = demand.output_tokens_max as f64;
        let events = self.expected_events(demand)?;
        let relative = events / route.mean_events;
        let expected = events * self.tokens_per_event.get()?;
        let high = expected * self.high_factor.value().max(1.0);
        Some(OutputEstimate {
            expected_tokens: expected.min(max),
            high_tokens: high.min(max),
            relative,
        })
    }

    /// Returns the factors between the lengths and their estimates in either direction, which half
    /// and nine tenths of the streams do not exceed.
    pub fn error_factors(&self) -> (f64, f64) {
        (self.error_median.value().max(1.0), self.error_p90.value().max(1.0))
    }

    fn expected_events(&self, demand: &RequestDemand) -> Option<f64> {
        let route_mean = self.routes.get(&demand.route_hash())?.mean_events;
        let adapter = demand.adapter_hash().and_then(|hash| self.adapters.get(hash));
        let Some((mean, streams)) = adapter else { return Some(route_mean) };
        let weight = streams / (streams + Self::ROUTE_WEIGHT);
        Some(route_mean + (mean - route_mean) * weight)
    }
}
