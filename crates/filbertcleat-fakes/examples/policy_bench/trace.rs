//! Seeded traces of requests.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AdapterVersion;
use filbertcleat_base::Class;
use filbertcleat_fakes::EngineSpec;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A customer's system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    Cassowary,
    Coldwater,
}

impl Deployment {
    pub const ALL: [Self; 2] = [Self::Cassowary, Self::Coldwater];
    /// The entries of either system.
    pub const ENTRIES: usize = 3;
    /// The adapters of either system.
    pub const ADAPTERS: usize = 3000;

    pub fn name(self) -> &'static str {
        match self {
            Self::Cassowary => "cassowary",
            Self::Coldwater => "coldwater",
        }
    }

    pub fn replicas(self) -> usize {
        match self {
            Self::Cassowary => 9,
            Self::Coldwater => 18,
        }
    }

    pub fn loads_per_s(self) -> f64 {
        match self {
            Self::Cassowary => 2.0,
            Self::Coldwater => 4.0,
        }
    }

    pub fn engine() -> EngineSpec {
        EngineSpec::usual()
    }

    /// Returns the requests a second that the engines can do in full batches.
    pub fn capacity_per_s(self) -> f64 {
        let spec = Self::engine();
        let call_s = spec.step(spec.batch).as_secs_f64() * Trace::TOKENS_MEAN as f64;
        self.replicas() as f64 * spec.batch as f64 / call_s
    }
}

/// The shape of a workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// A steady share of the capacity under Zipf's law.
    Steady { percent: u32, zipf: f64 },
    /// A quiet night, then a peak of twice the capacity's half for a third of the run.
    Dawn,
    /// In one minute a quiet adapter becomes the busiest, then ten do.
    Front,
    /// A backlog of routine work with key-account work arriving among it.
    Backlog,
    /// One adapter asks for as much as the engines can do, in the middle third.
    Storm,
}

impl Load {
    pub fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for zipf in [0.9, 1.0, 1.2] {
            for percent in [50, 80, 110] {
                all.push(Self::Steady { percent, zipf });
            }
        }
        all.extend([Self::Dawn, Self::Front, Self::Backlog, Self::Storm]);
        all
    }

    pub fn name(self) -> String {
        match self {
            Self::Steady { percent, zipf } => format!("zipf{zipf:.1}-{percent}"),
            Self::Dawn => "dawn".to_owned(),
            Self::Front => "front".to_owned(),
            Self::Backlog => "backlog".to_owned(),
            Self::Storm => "storm".to_owned(),
        }
    }

    /// Returns the arrivals at a share of the run, as a share of the capacity.
    fn intensity(self, share: f64) -> f64 {
        match self {
            Self::Steady { percent, .. } => f64::from(percent) / 100.0,
            Self::Dawn if (0.4..0.7).contains(&share) => 1.0,
            Self::Dawn => 0.25,
            Self::Front | Self::Storm => 0.6,
            Self::Backlog => 0.3,
        }
    }
}

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
