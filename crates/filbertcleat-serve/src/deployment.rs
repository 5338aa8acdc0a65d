//! The operators' configuration in force.

use std::collections::BTreeMap;

use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use filbertcleat_base::hash;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The version; versions only grow.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceShape>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Deployment {
    /// Returns the route of the host with the longest prefix that begins the path.
    ///
    /// Hosts are compared without their port and without regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The prefix of the paths.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, earns full credit.
    pub objective_ms: u64,
    /// The longest pause between two events of a stream for full credit; 0 if there is none.
    pub gap_ms: u64,
    /// The urgency; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the route's requests.
    pub targets: Vec<Target>,
    /// The most backend servers that one request may be sent to.
    pub sends_max: u32,
}

impl Route {
    /// Chooses the service for a request by its id, in proportion to the weights.
    pub fn service(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut point = hash(request_id).checked_rem(total)?;
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

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run once at most.
    Once,
    /// A stream of events, which may go on at another backend server if it is resumable.
    Stream {
        /// Whether a stream may go on after an event id.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
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

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceShape {
    /// The most connections that one backend server accepts from all callers.
    pub connections_max: usize,
    /// The engines' shape, if the service generates text.
    pub engine: Option<EngineShape>,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShape {
    /// The most requests in one batch.
    pub slots: u32,
    /// The memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// The memory for weights and adapters.
    pub weights_max_mb: f64,
    /// The most adapters held at once.
    pub adapter_places: usize,
    /// The base models that the service may hold.
    pub models: Vec<ModelShape>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelShape {
    /// The model's name.
    pub name: ModelName,
    /// The size of its weights.
    pub weights_mb: f64,
    /// The size of one of its adapters.
    pub adapter_mb: f64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub header_max_bytes: usize,
    /// The largest body of a request.
    pub body_max_bytes: usize,
    /// The time within which a head has to arrive.
    pub header_ms: u64,
    /// The time that a connection may stay idle.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// The limits until a configuration is known: common sizes of HTTP servers.
    fn default() -> Self {
        Self {
            header_max_bytes: 16_384,
            body_max_bytes: 4_194_304,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}
