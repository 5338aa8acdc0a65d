//! A route from a host and a path prefix to services.

use filbertcleat_base::ServiceName;
use filbertcleat_base::stable_hash;

use super::RetryPolicy;

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The prefix of the paths.
    pub path_prefix: String,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, earns full credit.
    pub latency_objective_ms: u64,
    /// The longest pause between two events of a stream for full credit; 0 if there is none.
    pub gap_objective_ms: u64,
    /// The urgency; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the route's requests.
    pub targets: Vec<Target>,
    /// The most backend servers that one request may be sent to.
    pub sends_max: u32,
}

impl Route {
    /// Chooses the service for a request by its id, in proportion to the weights.
    pub fn choose_service(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut point = stable_hash(request_id).checked_rem(total)?;
        self.targets
            .iter()
            .find(|target| {
                let hit = point < target.weight;
                point = point.saturating_sub(target.weight);
                hit
            })
            .map(|target| &target.service)
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, against the sum over the route's targets.
    pub weight: u64,
}
