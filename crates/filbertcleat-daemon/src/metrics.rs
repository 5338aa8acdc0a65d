//! Metrics over `StatsD`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::Counted;
use cadence::Gauged;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use filbertcleat_config::MetricsSettings;

/// Sends metrics to `StatsD`, and keeps the counters for the status of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    counters: BTreeMap<String, u64>,
}

impl Metrics {
    pub fn new(settings: &MetricsSettings) -> Self {
        let client = match settings.statsd.and_then(udp_sink) {
            Some(sink) => StatsdClient::from_sink(&settings.prefix, sink),
            None => StatsdClient::from_sink(&settings.prefix, NopMetricSink),
        };
        Self { client, counters: BTreeMap::new() }
    }

    /// Adds to a counter.
    pub fn count(&mut self, name: &str, value: u64) {
        match self.counters.get_mut(name) {
            Some(total) => *total += value,
            None => {
                self.counters.insert(name.to_owned(), value);
            }
        }
        // A metric that can't be sent must not fail the work that it counts.
        let _ = self.client.count(name, i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// Adds a sample to a distribution.
    pub fn sample(&mut self, name: &str, value: u64) {
        let _ = self.client.histogram(name, value);
    }

    /// Sets a gauge.
    pub fn gauge(&mut self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Returns the totals of all counters by name.
    pub fn counters(&self) -> &BTreeMap<String, u64> {
        &self.counters
    }
}

fn udp_sink(address: SocketAddr) -> Option<impl MetricSink + Send + Sync + 'static> {
    let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local).ok()?;
    socket.set_nonblocking(true).ok()?;
    UdpMetricSink::from(address, socket).ok()
}
