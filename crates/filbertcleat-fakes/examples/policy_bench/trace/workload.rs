//! The systems and the shapes of workloads.

use filbertcleat_fakes::EngineSpec;

use super::Trace;

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
        EngineSpec::realistic()
    }

    /// Returns the requests a second that the engines can do in full batches.
    pub fn capacity_per_s(self) -> f64 {
        let spec = Self::engine();
        let call_s = spec.step_time(spec.batch_limit).as_secs_f64() * Trace::TOKENS_MEAN as f64;
        self.replicas() as f64 * spec.batch_limit as f64 / call_s
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
    pub fn intensity(self, share: f64) -> f64 {
        match self {
            Self::Steady { percent, .. } => f64::from(percent) / 100.0,
            Self::Dawn if (0.4..0.7).contains(&share) => 1.0,
            Self::Dawn => 0.25,
            Self::Front | Self::Storm => 0.6,
            Self::Backlog => 0.3,
        }
    }
}
