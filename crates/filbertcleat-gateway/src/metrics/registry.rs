//! The values of the metrics.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

/// The values of the metrics, by name and tags.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    histograms: BTreeMap<String, Histogram<u32>>,
    dropped: u64,
}

impl MetricsRegistry {
    /// The most series, to bound the memory as routes come and go. Values of further series are
    /// only counted as dropped.
    const SERIES_MAX: usize = 400;
    /// The largest recorded sample, in ms: longer than any timeout. Larger samples are clamped to
    /// it.
    const SAMPLE_MAX: u64 = 120_000;
    /// The significant digits of histograms. One distinguishes 30 ms from 40 ms at 2 kB per
    /// histogram.
    const SIGNIFICANT_DIGITS: u8 = 1;
    const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

    /// Records one value in the statsd format `name:value|type|#tag:value,…`.
    ///
    /// Malformed values and values beyond the limit of series are counted as dropped.
    pub fn record(&mut self, metric: &str) {
        let mut parts = metric.split('|');
        let Some((name, value)) = parts.next().and_then(|part| part.rsplit_once(':')) else {
            self.dropped += 1;
            return;
        };
        let kind = parts.next().unwrap_or_default();
        let tags = parts.next().and_then(|part| part.strip_prefix('#'));
        let Ok(value) = value.parse::<u64>() else {
            self.dropped += 1;
            return;
        };
        let series = series_name(name, tags);
        let is_new = !self.counters.contains_key(&series)
            && !self.gauges.contains_key(&series)
            && !self.histograms.contains_key(&series);
        let number = self.counters.len() + self.gauges.len() + self.histograms.len();
        if is_new && number >= Self::SERIES_MAX {
            self.dropped += 1;
            return;
        }
        match kind {
            "c" => *self.counters.entry(series).or_default() += value,
            "g" => {
                self.gauges.insert(series, value);
            }
            "h" => self.sample(series, value),
            _ => self.dropped += 1,
        }
    }

    /// Removes all series of a gauge, given by its name in the statsd format.
    pub fn clear_gauge(&mut self, name: &str) {
        let name = series_name(name, None);
        self.gauges.retain(|series, _| series.split('{').next() != Some(name.as_str()));
    }

    /// Returns all values as text, one per line, sorted by name within each type.
    pub fn render_text(&self) -> String {
        let mut text = String::new();
        for (series, value) in self.counters.iter().chain(&self.gauges) {
            push_line(&mut text, series, *value);
        }
        for (name, histogram) in &self.histograms {
            for quantile in Self::QUANTILES {
                let series = format!("{name}{{quantile=\"{quantile}\"}}");
                push_line(&mut text, &series, histogram.value_at_quantile(quantile));
            }
            push_line(&mut text, &format!("{name}_max"), histogram.max());
            push_line(&mut text, &format!("{name}_count"), histogram.len());
        }
        push_line(&mut text, "filbertcleat_metrics_left_out", self.dropped);
        text
    }

    fn sample(&mut self, series: String, value: u64) {
        let histogram = match self.histograms.entry(series) {
            std::collections::btree_map::Entry::Occupied(occupied) => occupied.into_mut(),
            std::collections::btree_map::Entry::Vacant(vacant) => {
                let Ok(empty) =
                    Histogram::new_with_bounds(1, Self::SAMPLE_MAX, Self::SIGNIFICANT_DIGITS)
                else {
                    self.dropped += 1;
                    return;
                };
                vacant.insert(empty)
            }
        };
        histogram.saturating_record(value);
    }
}

/// Formats a name and its tags as a series name.
fn series_name(name: &str, tags: Option<&str>) -> String {
    let name = name.replace('.', "_");
    let Some(tags) = tags else { return name };
    let tags = tags.split(',').filter_map(|tag| tag.split_once(':'));
    let tags: Vec<_> = tags.map(|(tag, value)| format!("{tag}=\"{value}\"")).collect();
    format!("{name}{{{}}}", tags.join(","))
}

fn push_line(text: &mut String, series: &str, value: u64) {
    // Writing to a string is infallible.
    let _ = writeln!(text, "{series} {value}");
}
