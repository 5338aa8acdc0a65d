//! A route from a host and a path prefix to services.

use filbertcleat_base::ServiceName;
use filbertcleat_base::stable_hash;

use super::RetryPolicy;

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The prefix of the request paths.
    pub path_prefix: String,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// The longest time that a caller may wait for the response.
    pub timeout_ms: u64,
    /// The latency objective for a response or for the first event of a stream.
    pub latency_objective_ms: u64,
    /// The objective for the longest gap between two events of a stream; 0 if there is none.
    pub gap_objective_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services between which the route's requests are split.
    pub targets: Vec<Target>,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// The largest number of attempts at backend servers for one request.
    pub attempts_max: u32,
}

impl Route {
    /// The shortest time after which callers leave a stream that has no event.
    const STREAM_WAIT_MIN_MS: u64 = 2_000;

    /// Returns how long callers wait for the next event of a stream: 2 s, four times the latency
    /// objective or eight times the gap objective, whichever is longest. `None` if the route has no
    /// objective.
    pub fn stream_wait_ms(&self) -> Option<u64> {
        let wait_ms = self
            .latency_objective_ms
            .saturating_mul(4)
            .max(self.gap_objective_ms.saturating_mul(8));
        (wait_ms > 0).then(|| wait_ms.max(Self::STREAM_WAIT_MIN_MS))
    }

    /// Returns whether requests of the route may go to a service.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.service == *service && target.weight > 0)
    }

    /// Returns the service to which all requests of the route go; `None` if several share them, or
    /// there is none.
    pub fn only_service(&self) -> Option<&ServiceName> {
        let mut services = self.targets.iter().filter(|target| target.weight > 0);
        let first = &services.next()?.service;
        services.all(|target| target.service == *first).then_some(first)
    }

    /// Selects the service of a request from a hash of its id, in proportion to the targets'
    /// weights. Returns `None` if all weights are 0.
    pub fn choose_service(&self, request_id: &str) -> Option<&ServiceName> {
        let weights = self.targets.iter().map(|target| target.weight);
        let total = weights.fold(0, u64::saturating_add);
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
    /// The service's share of the sum of all weights of the route.
    pub weight: u64,
}
