//! Pseudo-random request traces that depend only on their parameters and a seed.

mod workload;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AdapterVersion;
use filbertcleat_base::Class;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::workload::Deployment;
pub use self::workload::Workload;

/// A request of a trace.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// The arrival time since the start of the run.
    pub arrival_us: u64,
    /// The index of the adapter, which is also its popularity rank.
    pub adapter: usize,
    pub class: Class,
    pub answer_tokens: u64,
    /// Whether the request belongs to a surge of the storm or front workload, whose latencies are
    /// reported separately.
    pub is_surge: bool,
}

/// A sequence of requests in arrival order, with the adapters that they name.
#[derive(Clone, Debug)]
pub struct Trace {
    pub requests: Vec<TraceRequest>,
    pub adapters: Vec<AdapterRef>,
    /// The duration of the arrivals.
    pub duration_s: u64,
}

impl Trace {
    /// The mean number of tokens in an answer.
    pub const MEAN_ANSWER_TOKENS: u64 = 216;
    /// The fraction of requests that belong to key accounts.
    const KEY_ACCOUNT_FRACTION: f64 = 0.2;
    /// The adapter of the surge in the storm workload, which otherwise gets few requests.
    const STORM_ADAPTER: usize = 700;
    /// The adapter of the first surge in the front workload; those of the second surge follow it.
    /// All of them otherwise get few requests.
    const FRONT_ADAPTER: usize = 800;
    /// The size of the initial backlog, as the time that the engines need to process it.
    const BACKLOG_S: f64 = 600.0;

    /// Generates the trace of a workload; equal arguments yield equal traces.
    pub fn new(deployment: Deployment, workload: Workload, duration_s: u64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let zipf = match workload {
            Workload::Steady { zipf, .. } => Zipf::new(zipf),
            Workload::Dawn | Workload::Front | Workload::Backlog | Workload::Storm => {
                Zipf::new(1.0)
            }
        };
        let capacity_per_s = deployment.capacity_per_s();
        let mut requests = Vec::new();
        if workload == Workload::Backlog {
            for _ in 0..(capacity_per_s * Self::BACKLOG_S) as usize {
                let adapter = zipf.sample(&mut rng);
                requests.push(request(0, adapter, Class::Routine, false, &mut rng));
            }
        }

        let end_us = duration_s * 1_000_000;
        let mut arrival_us = 0;
        loop {
            let progress = arrival_us as f64 / end_us as f64;
            arrival_us += interarrival_us(capacity_per_s * workload.intensity(progress), &mut rng);
            if arrival_us >= end_us {
                break;
            }
            let is_key_account =
                workload == Workload::Backlog || rng.random_bool(Self::KEY_ACCOUNT_FRACTION);
            let class = if is_key_account { Class::KeyAccount } else { Class::Routine };
            let adapter = zipf.sample(&mut rng);
            let (adapter, is_surge) = apply_front(workload, progress, adapter, &mut rng);
            requests.push(request(arrival_us, adapter, class, is_surge, &mut rng));
        }
        if workload == Workload::Storm {
            add_storm(capacity_per_s, end_us, &mut requests, &mut rng);
        }
        requests.sort_by_key(|request| request.arrival_us);

        let version = AdapterVersion::new(1);
        let adapters = (0..Deployment::ADAPTERS)
            .map(|rank| AdapterRef::new(format!("adapter-{rank:04}").into(), version))
            .collect();
        Self { requests, adapters, duration_s }
    }
}

/// Returns the adapter of a request, and whether it belongs to a surge.
///
/// During the surges of the front workload, half of the requests move to one rarely used adapter,
/// and later to ten others.
fn apply_front(
    workload: Workload,
    progress: f64,
    adapter: usize,
    rng: &mut SmallRng,
) -> (usize, bool) {
    if workload != Workload::Front || !rng.random_bool(0.5) {
        return (adapter, false);
    }
    match progress {
        progress if (0.3..0.5).contains(&progress) => (Trace::FRONT_ADAPTER, true),
        progress if (0.6..0.8).contains(&progress) => {
            (Trace::FRONT_ADAPTER + rng.random_range(1..=10), true)
        }
        _ => (adapter, false),
    }
}

/// Adds requests for one adapter, at the capacity of all engines, to the middle third of the run.
fn add_storm(
    capacity_per_s: f64,
    duration_us: u64,
    requests: &mut Vec<TraceRequest>,
    rng: &mut SmallRng,
) {
    let mut arrival_us = duration_us / 3;
    while arrival_us < duration_us * 2 / 3 {
        arrival_us += interarrival_us(capacity_per_s, rng);
        requests.push(request(arrival_us, Trace::STORM_ADAPTER, Class::Routine, true, rng));
    }
}

/// Creates a request with a random answer length.
fn request(
    arrival_us: u64,
    adapter: usize,
    class: Class,
    is_surge: bool,
    rng: &mut SmallRng,
) -> TraceRequest {
    let answer_tokens =
        rng.random_range(Trace::MEAN_ANSWER_TOKENS / 2..=Trace::MEAN_ANSWER_TOKENS * 3 / 2);
    TraceRequest { arrival_us, adapter, class, answer_tokens, is_surge }
}

/// Returns a random time to the next arrival of a Poisson process with `rate_per_s`.
fn interarrival_us(rate_per_s: f64, rng: &mut SmallRng) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    (-uniform.ln() / rate_per_s * 1e6) as u64 + 1
}

/// A Zipf distribution over the adapters.
struct Zipf {
    /// The cumulative unnormalized weights of the adapters, by rank.
    cumulative: Vec<f64>,
}

impl Zipf {
    fn new(exponent: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=Deployment::ADAPTERS).map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        });
        Self { cumulative: weights.collect() }
    }

    /// Draws an adapter index.
    fn sample(&self, rng: &mut SmallRng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let point = rng.random_range(0.0..total);
        self.cumulative.partition_point(|sum| *sum <= point).min(Deployment::ADAPTERS - 1)
    }
}
