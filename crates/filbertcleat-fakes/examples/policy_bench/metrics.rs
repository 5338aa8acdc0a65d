//! The metrics of a simulation run.

use filbertcleat_base::Class;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

/// The metrics of a simulation run.
#[derive(Debug)]
pub struct Metrics {
    pub classes: [ClassMetrics; 2],
    /// Times to the first token in milliseconds of requests outside the surge that arrive in the
    /// middle third of the run.
    pub others_ttft_ms: Histogram<u64>,
    /// Load stalls in milliseconds of the surges in the front workload, by second since the start
    /// of the surge.
    pub front_stall_ms: Vec<Histogram<u64>>,
    /// The number of engine steps.
    pub steps: u64,
    /// The sum of the batch sizes of all steps.
    pub batched_calls: u64,
    /// The number of steps during which attempts waited at the agent.
    pub busy_steps: u64,
    /// The sum of the batch sizes of those steps.
    pub busy_batched_calls: u64,
    /// The maximum number of calls in a step.
    pub batch_limit: usize,
    /// The adapter loads started.
    pub loads: u64,
    /// Adapters evicted without having served a call.
    pub loads_wasted: u64,
    /// Loads of an adapter that another engine had loaded or was loading.
    pub loads_doubled: u64,
    /// Requests that an entry rejected.
    pub refused: u64,
    /// The attempts that the entries sent.
    pub calls: u64,
    /// The maximum number of attempts of a request.
    pub calls_max: u32,
    pub requests: u64,
    /// Requests not answered at the end of the run.
    pub unanswered: u64,
    /// Violations of engine invariants: calls for adapters that were not loaded, unfinished calls
    /// of evicted adapters, and loads without a free slot.
    pub wrong: u64,
}

/// The latency metrics of one priority class.
#[derive(Debug)]
pub struct ClassMetrics {
    /// Load stalls in milliseconds.
    pub stall: Histogram<u64>,
    pub stall_sum_ms: u64,
    /// Times to the first token in milliseconds.
    pub ttft: Histogram<u64>,
}

impl Metrics {
    pub fn new(batch_limit: usize) -> Self {
        Self {
            classes: [ClassMetrics::new(), ClassMetrics::new()],
            others_ttft_ms: histogram(),
            front_stall_ms: Vec::new(),
            steps: 0,
            batched_calls: 0,
            busy_steps: 0,
            busy_batched_calls: 0,
            batch_limit,
            loads: 0,
            loads_wasted: 0,
            loads_doubled: 0,
            refused: 0,
            calls: 0,
            calls_max: 0,
            requests: 0,
            unanswered: 0,
            wrong: 0,
        }
    }

    /// Returns the metrics of a priority class.
    pub fn class(&mut self, class: Class) -> &mut ClassMetrics {
        &mut self.classes[class as usize]
    }

    /// Returns the total load stall of all classes.
    pub fn stall_sum_ms(&self) -> u64 {
        self.classes.iter().map(|class| class.stall_sum_ms).sum()
    }

    /// Returns the heading of the report table.
    pub fn heading() -> String {
        format!(
            "{:<11}{:<16}{:<11}{:>13}{:>9}{:>9}{:>9}{:>6}{:>8}{:>8}{:>8}{:>8}{:>8}{:>10}{:>10}{:>8}{:>8}{:>6}",
            "deployment",
            "workload",
            "policy",
            "stall_sum_ms",
            "mean",
            "p50",
            "p99",
            "hit%",
            "loads",
            "wasted",
            "doubled",
            "eff%",
            "busy%",
            "key_p99",
            "rou_p99",
            "others95",
            "refused",
            "open"
        )
    }

    /// Returns the columns of the report table that follow the policy.
    pub fn row(&self) -> String {
        let mut stall_ms = histogram();
        for class in &self.classes {
            let _ = stall_ms.add(&class.stall);
        }
        format!(
            "{:>13}{:>9.0}{:>9}{:>9}{:>6.1}{:>8}{:>8}{:>8}{:>8.1}{:>8.1}{:>10}{:>10}{:>8}{:>8}{:>6}",
            self.stall_sum_ms(),
            stall_ms.mean(),
            stall_ms.value_at_quantile(0.5),
            stall_ms.value_at_quantile(0.99),
            stall_ms.quantile_below(0) * 100.0,
            self.loads,
            self.loads_wasted,
            self.loads_doubled,
            batch_efficiency_percent(self.batched_calls, self.steps, self.batch_limit),
            batch_efficiency_percent(self.busy_batched_calls, self.busy_steps, self.batch_limit),
            self.classes[0].ttft.value_at_quantile(0.99),
            self.classes[1].ttft.value_at_quantile(0.99),
            self.others_ttft_ms.value_at_quantile(0.95),
            self.refused,
            self.unanswered + self.wrong,
        )
    }

    /// Returns all metrics as a JSON object.
    pub fn to_json(&self) -> Value {
        let classes: Vec<_> = Class::ALL
            .iter()
            .map(|class| {
                let metrics = &self.classes[*class as usize];
                json!({
                    "class": class,
                    "requests": metrics.stall.len(),
                    "stall_sum_ms": metrics.stall_sum_ms,
                    "stall_mean_ms": metrics.stall.mean(),
                    "stall_p50_ms": metrics.stall.value_at_quantile(0.5),
                    "stall_p95_ms": metrics.stall.value_at_quantile(0.95),
                    "stall_p99_ms": metrics.stall.value_at_quantile(0.99),
                    "ttft_p50_ms": metrics.ttft.value_at_quantile(0.5),
                    "ttft_p95_ms": metrics.ttft.value_at_quantile(0.95),
                    "ttft_p99_ms": metrics.ttft.value_at_quantile(0.99),
                })
            })
            .collect();
        let front_stall_p50_ms: Vec<_> =
            self.front_stall_ms.iter().map(|second| second.value_at_quantile(0.5)).collect();
        json!({
            "stall_sum_ms": self.stall_sum_ms(),
            "classes": classes,
            "others_ttft_p95_ms": self.others_ttft_ms.value_at_quantile(0.95),
            "front_stall_p50_ms_by_second": front_stall_p50_ms,
            "batch_efficiency_percent": batch_efficiency_percent(self.batched_calls, self.steps, self.batch_limit),
            "busy_batch_efficiency_percent": batch_efficiency_percent(self.busy_batched_calls, self.busy_steps, self.batch_limit),
            "loads": self.loads,
            "loads_wasted": self.loads_wasted,
            "loads_doubled": self.loads_doubled,
            "refused": self.refused,
            "calls_per_request": self.calls as f64 / self.requests.max(1) as f64,
            "calls_max": self.calls_max,
            "unanswered": self.unanswered,
            "wrong": self.wrong,
        })
    }
}

impl ClassMetrics {
    fn new() -> Self {
        Self { stall: histogram(), stall_sum_ms: 0, ttft: histogram() }
    }
}

/// Creates a histogram with 3 significant digits that grows as needed.
pub fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("3 significant digits are allowed");
    histogram.auto(true);
    histogram
}

/// Records a time in milliseconds in a histogram that grows as needed.
pub fn record(histogram: &mut Histogram<u64>, value_ms: u64) {
    // Only a histogram of fixed size can reject a value.
    let _ = histogram.record(value_ms);
}

/// Returns the mean batch size as a percentage of the batch limit.
fn batch_efficiency_percent(batched_calls: u64, steps: u64, batch_limit: usize) -> f64 {
    batched_calls as f64 * 100.0 / (steps.max(1) * batch_limit as u64) as f64
}
