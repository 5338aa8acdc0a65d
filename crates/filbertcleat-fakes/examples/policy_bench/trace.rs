//! Seeded traces of requests.

mod workload;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AdapterVersion;
use filbertcleat_base::Class;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::workload::Deployment;
pub use self::workload::Load;

/// A request of a trace.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    pub at_us: u64,
    pub adapter: usize,
    pub class: Class,
    pub tokens: u64,
    /// Whether it is part of the storm or the front, which are measured apart.
    pub special: bool,
}

/// A seeded trace.
#[derive(Clone, Debug)]
pub struct Trace {
    pub requests: Vec<TraceRequest>,
    pub adapters: Vec<AdapterRef>,
    pub seconds: u64,
}

impl Trace {
    /// The mean length of an answer.
    pub const TOKENS_MEAN: u64 = 216;
    /// The share of key-account requests.
    const KEY_SHARE: f64 = 0.2;
    /// The adapter that storms, which is quiet otherwise.
    const STORM_RANK: usize = 700;
    /// The first of the adapters that a weather front wakes.
    const FRONT_RANK: usize = 800;
    /// The routine requests of the backlog, in seconds of the engines' whole capacity.
    const BACKLOG_S: f64 = 600.0;

    pub fn new(deployment: Deployment, load: Load, seconds: u64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let zipf = match load {
            Load::Steady { zipf, .. } => Zipf::new(zipf),
            Load::Dawn | Load::Front | Load::Backlog | Load::Storm => Zipf::new(1.0),
        };
        let capacity = deployment.capacity_per_s();
        let mut requests = Vec::new();
        if load == Load::Backlog {
            for _ in 0..(capacity * Self::BACKLOG_S) as usize {
                let adapter = zipf.sample(&mut rng);
                requests.push(request(0, adapter, Class::Routine, false, &mut rng));
            }
        }

        let whole_us = seconds * 1_000_000;
        let mut at_us = 0;
        loop {
            let share = at_us as f64 / whole_us as f64;
            at_us += gap_us(capacity * load.intensity(share), &mut rng);
            if at_us >= whole_us {
                break;
            }
            let key = load == Load::Backlog || rng.random_bool(Self::KEY_SHARE);
            let class = if key { Class::KeyAccount } else { Class::Routine };
            let adapter = zipf.sample(&mut rng);
            let (adapter, special) = front(load, share, adapter, &mut rng);
            requests.push(request(at_us, adapter, class, special, &mut rng));
        }
        if load == Load::Storm {
            storm(capacity, whole_us, &mut requests, &mut rng);
        }
        requests.sort_by_key(|request| request.at_us);

        let version = AdapterVersion::new(1);
        let adapters = (0..Deployment::ADAPTERS)
            .map(|rank| AdapterRef::new(format!("adapter-{rank:04}").into(), version))
            .collect();
        Self { requests, adapters, seconds }
    }
}

/// Sends half of the traffic to a quiet adapter, and later to ten of them.
fn front(load: Load, share: f64, adapter: usize, rng: &mut SmallRng) -> (usize, bool) {
    if load != Load::Front || !rng.random_bool(0.5) {
        return (adapter, false);
    }
    match share {
        share if (0.3..0.5).contains(&share) => (Trace::FRONT_RANK, true),
        share if (0.6..0.8).contains(&share) => {
            (Trace::FRONT_RANK + rng.random_range(1..=10), true)
        }
        _ => (adapter, false),
    }
}

fn storm(capacity: f64, whole_us: u64, requests: &mut Vec<TraceRequest>, rng: &mut SmallRng) {
    let mut at_us = whole_us / 3;
    while at_us < whole_us * 2 / 3 {
        at_us += gap_us(capacity, rng);
        requests.push(request(at_us, Trace::STORM_RANK, Class::Routine, true, rng));
    }
}

fn request(
    at_us: u64,
    adapter: usize,
    class: Class,
    special: bool,
    rng: &mut SmallRng,
) -> TraceRequest {
    let tokens = rng.random_range(Trace::TOKENS_MEAN / 2..=Trace::TOKENS_MEAN * 3 / 2);
    TraceRequest { at_us, adapter, class, tokens, special }
}

/// Returns the time to the next arrival of a Poisson process.
fn gap_us(per_s: f64, rng: &mut SmallRng) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    (-uniform.ln() / per_s * 1e6) as u64 + 1
}

/// Zipf's law over the adapters.
struct Zipf {
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

    fn sample(&self, rng: &mut SmallRng) -> usize {
        let whole = self.cumulative.last().copied().unwrap_or(1.0);
        let point = rng.random_range(0.0..whole);
        self.cumulative.partition_point(|sum| *sum <= point).min(Deployment::ADAPTERS - 1)
    }
}
