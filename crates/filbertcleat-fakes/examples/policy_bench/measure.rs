//! The measures of a run.

use filbertcleat_base::Class;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

/// The measures of a run.
#[derive(Debug)]
pub struct Measures {
    pub classes: [ClassMeasures; 2],
    /// Time to the first token of requests outside a storm or front, while it lasts.
    pub others_ttft: Histogram<u64>,
    /// Stall of a weather front's requests by seconds since it began.
    pub front_stall: Vec<Histogram<u64>>,
    pub steps: u64,
    pub step_places: u64,
    /// Steps and places while requests waited for the engines.
    pub busy_steps: u64,
    pub busy_places: u64,
    pub batch: usize,
    pub loads: u64,
    pub loads_wasted: u64,
    /// Loads of an adapter that another engine held or was loading.
    pub loads_doubled: u64,
    pub refused: u64,
    pub calls: u64,
    pub calls_max: u32,
    pub requests: u64,
    pub unanswered: u64,
    pub wrong: u64,
}

/// The measures of one class.
#[derive(Debug)]
pub struct ClassMeasures {
    pub stall: Histogram<u64>,
    pub stall_sum_ms: u64,
    pub ttft: Histogram<u64>,
}

impl Measures {
    pub fn new(batch: usize) -> Self {
        Self {
            classes: [ClassMeasures::new(), ClassMeasures::new()],
            others_ttft: histogram(),
            front_stall: Vec::new(),
            steps: 0,
            step_places: 0,
            busy_steps: 0,
            busy_places: 0,
            batch,
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

    pub fn class(&mut self, class: Class) -> &mut ClassMeasures {
        &mut self.classes[class as usize]
    }

    pub fn stall_sum_ms(&self) -> u64 {
        self.classes.iter().map(|class| class.stall_sum_ms).sum()
    }

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

    pub fn row(&self) -> String {
        let mut stall = histogram();
        for class in &self.classes {
            let _ = stall.add(&class.stall);
        }
        format!(
            "{:>13}{:>9.0}{:>9}{:>9}{:>6.1}{:>8}{:>8}{:>8}{:>8.1}{:>8.1}{:>10}{:>10}{:>8}{:>8}{:>6}",
            self.stall_sum_ms(),
            stall.mean(),
            stall.value_at_quantile(0.5),
            stall.value_at_quantile(0.99),
            stall.quantile_below(0) * 100.0,
            self.loads,
            self.loads_wasted,
            self.loads_doubled,
            percent(self.step_places, self.steps, self.batch),
            percent(self.busy_places, self.busy_steps, self.batch),
            self.classes[0].ttft.value_at_quantile(0.99),
            self.classes[1].ttft.value_at_quantile(0.99),
            self.others_ttft.value_at_quantile(0.95),
            self.refused,
            self.unanswered + self.wrong,
        )
    }

    pub fn to_json(&self) -> Value {
        let classes: Vec<_> = Class::ALL
            .iter()
            .map(|class| {
                let measures = &self.classes[*class as usize];
                json!({
                    "class": class,
                    "requests": measures.stall.len(),
                    "stall_sum_ms": measures.stall_sum_ms,
                    "stall_mean_ms": measures.stall.mean(),
                    "stall_p50_ms": measures.stall.value_at_quantile(0.5),
                    "stall_p95_ms": measures.stall.value_at_quantile(0.95),
                    "stall_p99_ms": measures.stall.value_at_quantile(0.99),
                    "ttft_p50_ms": measures.ttft.value_at_quantile(0.5),
                    "ttft_p95_ms": measures.ttft.value_at_quantile(0.95),
                    "ttft_p99_ms": measures.ttft.value_at_quantile(0.99),
                })
            })
            .collect();
        let front: Vec<_> =
            self.front_stall.iter().map(|second| second.value_at_quantile(0.5)).collect();
        json!({
            "stall_sum_ms": self.stall_sum_ms(),
            "classes": classes,
            "others_ttft_p95_ms": self.others_ttft.value_at_quantile(0.95),
            "front_stall_p50_ms_by_second": front,
            "batch_efficiency_percent": percent(self.step_places, self.steps, self.batch),
            "busy_batch_efficiency_percent": percent(self.busy_places, self.busy_steps, self.batch),
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

impl ClassMeasures {
    fn new() -> Self {
        Self { stall: histogram(), stall_sum_ms: 0, ttft: histogram() }
    }
}

pub fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("3 significant digits are allowed");
    histogram.auto(true);
    histogram
}

/// Records a time; the histogram grows as needed.
pub fn record(histogram: &mut Histogram<u64>, value_ms: u64) {
    // Only a histogram of fixed size can refuse a value.
    let _ = histogram.record(value_ms);
}

fn percent(places: u64, steps: u64, batch: usize) -> f64 {
    places as f64 * 100.0 / (steps.max(1) * batch as u64) as f64
}
