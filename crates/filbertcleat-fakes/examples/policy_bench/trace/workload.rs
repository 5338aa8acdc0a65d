//! The simulated deployments and workloads.

use filbertcleat_fakes::EngineSpec;

use super::Trace;

/// A deployment to simulate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    Cassowary,
    Coldwater,
}

impl Deployment {
    pub const ALL: [Self; 2] = [Self::Cassowary, Self::Coldwater];
    /// The number of entries in each deployment.
    pub const ENTRIES: usize = 3;
    /// The number of adapters in each deployment.
    pub const ADAPTERS: usize = 3000;

    /// Returns the name for options and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cassowary => "cassowary",
            Self::Coldwater => "coldwater",
        }
    }

    /// Returns the number of engines.
    pub fn replicas(self) -> usize {
        match self {
            Self::Cassowary => 9,
            Self::Coldwater => 18,
        }
    }

    /// Returns the total load rate of the weight store.
    pub fn loads_per_s(self) -> f64 {
        match self {
            Self::Cassowary => 2.0,
            Self::Coldwater => 4.0,
        }
    }

    /// Returns the specification of the engines of each deployment.
    pub fn engine_spec() -> EngineSpec {
        EngineSpec::realistic()
    }

    /// Returns the requests per second that the engines complete with full batches.
    pub fn capacity_per_s(self) -> f64 {
        let spec = Self::engine_spec();
        let call_s =
            spec.step_time(spec.batch_limit).as_secs_f64() * Trace::MEAN_ANSWER_TOKENS as f64;
        self.replicas() as f64 * spec.batch_limit as f64 / call_s
    }
}

/// A workload to simulate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Workload {
    /// A constant request rate in percent of the capacity, with Zipf-distributed adapters.
    Steady { percent: u32, zipf: f64 },
    /// Requests at a quarter of the capacity, with a peak at the full capacity for 30 % of the run.
    Dawn,
    /// Half of the requests suddenly move to one rarely used adapter, and later to ten others.
    Front,
    /// An initial backlog of routine requests, while key-account requests arrive.
    Backlog,
    /// A base rate, plus requests for one adapter at the full capacity in the middle third.
    Storm,
}

impl Workload {
    /// Returns all workloads in the order of the report.
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

    /// Returns the name for options and reports.
    pub fn name(self) -> String {
        match self {
            Self::Steady { percent, zipf } => format!("zipf{zipf:.1}-{percent}"),
            Self::Dawn => "dawn".to_owned(),
            Self::Front => "front".to_owned(),
            Self::Backlog => "backlog".to_owned(),
            Self::Storm => "storm".to_owned(),
        }
    }

    /// Returns the arrival rate as a fraction of the capacity.
    ///
    /// `progress` is the elapsed fraction of the run.
    pub fn intensity(self, progress: f64) -> f64 {
        match self {
            Self::Steady { percent, .. } => f64::from(percent) / 100.0,
            Self::Dawn if (0.4..0.7).contains(&progress) => 1.0,
            Self::Dawn => 0.25,
            Self::Front | Self::Storm => 0.6,
            Self::Backlog => 0.3,
        }
    }
}
