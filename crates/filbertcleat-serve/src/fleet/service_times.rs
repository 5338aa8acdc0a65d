//! The learned response times of all routes to servers without engines.

use std::collections::BTreeMap;

use super::service_time::ServiceTime;
use crate::RequestDemand;

/// The learned response times of the routes to servers without engines, at most a fixed number.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    routes: BTreeMap<u64, ServiceTime>,
}

impl ServiceTimes {
    /// The largest number of routes. It bounds the memory to some 20 KB if configurations with new
    /// names follow each other.
    const ROUTES_MAX: usize = 256;

    /// Returns the estimate of a request's route and service.
    pub fn get(&self, demand: &RequestDemand) -> Option<&ServiceTime> {
        self.routes.get(&demand.route_hash())
    }

    /// Records a response time and its distance from the estimate, in logarithms.
    pub fn observe(&mut self, demand: &RequestDemand, response_ms: f64, error: f64) {
        let hash = demand.route_hash();
        if !self.routes.contains_key(&hash) && self.routes.len() >= Self::ROUTES_MAX {
            self.routes.pop_first();
        }
        let times = self.routes.entry(hash).or_insert_with(ServiceTime::new);
        times.observe(response_ms, error);
    }
}
