//! Counters, gauges and histograms, served as text.

mod metric;
mod registry;
mod serve;
mod workspace_use;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cadence::Counted;
use cadence::Gauged;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::StatsdClient;

pub use self::metric::METRICS;
pub use self::metric::Metric;
pub use self::registry::MetricsRegistry;
pub(crate) use self::serve::serve_metrics;
pub use self::workspace_use::AllowanceOutcome;
pub use self::workspace_use::OutcomeCounts;
pub use self::workspace_use::WorkspaceRow;
pub use self::workspace_use::WorkspaceUse;

/// The metrics of a process.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    client: Arc<StatsdClient>,
    registry: Arc<Mutex<MetricsRegistry>>,
}

impl Metrics {
    /// Creates an empty set of metrics.
    pub fn new() -> Self {
        let registry = Arc::new(Mutex::new(MetricsRegistry::default()));
        let sink = RegistrySink { registry: Arc::clone(&registry) };
        Self { client: Arc::new(StatsdClient::from_sink("filbertcleat", sink)), registry }
    }

    /// Increments a counter.
    pub fn count(&self, metric: Metric, tags: &[(&str, &str)]) {
        let mut builder = self.client.count_with_tags(metric.name(), 1);
        for (name, value) in tags {
            builder = builder.with_tag(name, value);
        }
        builder.send();
    }

    /// Records a sample in a histogram.
    pub fn sample(&self, metric: Metric, value: u64) {
        self.client.histogram_with_tags(metric.name(), value).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, tags: &[(&str, &str)], value: u64) {
        let mut builder = self.client.gauge_with_tags(metric.name(), value);
        for (name, value) in tags {
            builder = builder.with_tag(name, value);
        }
        builder.send();
    }

    /// Removes all series of a gauge, before those that still exist are set again.
    pub fn clear(&self, metric: Metric) {
        let name = format!("filbertcleat.{}", metric.name());
        self.registry.lock().unwrap_or_else(PoisonError::into_inner).clear_gauge(&name);
    }

    /// Returns all metrics in the text exposition format.
    pub fn render_text(&self) -> String {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner).render_text()
    }
}

/// Records metrics in the registry of the process instead of sending them to a statsd server.
#[derive(Debug)]
struct RegistrySink {
    registry: Arc<Mutex<MetricsRegistry>>,
}

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner).record(metric);
        Ok(metric.len())
    }
}
