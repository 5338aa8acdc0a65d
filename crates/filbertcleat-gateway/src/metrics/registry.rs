//! The values of all metrics.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

/// The values of all metrics by their name and tags.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    histograms: BTreeMap<String, Histogram<u32>>,
    left_out: u64,
}

impl MetricsRegistry {
    /// The most series; routes come and go, and what lies beyond is counted together.
    const SERIES_MAX: usize = 400;
    /// The largest sample: longer than any time budget.
    const SAMPLE_MAX: u64 = 120_000;
    /// Histograms keep one digit, which tells 30 ms from 40 ms and keeps them to 2 kB.
    const DIGITS: u8 = 1;
    const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

    /// Takes in one metric in the notation `name:value|type|#tag:value,…`.
    pub fn record(&mut self, metric: &str) {
        let mut parts = metric.split('|');
        let Some((name, value)) = parts.next().and_then(|part| part.rsplit_once(':')) else {
            self.left_out += 1;
            return;
        };
        let kind = parts.next().unwrap_or_default();
        let tags = parts.next().and_then(|part| part.strip_prefix('#'));
        let Ok(value) = value.parse::<u64>() else {
            self.left_out += 1;
            return;
        };
        let series = series(name, tags);
        let is_new = !self.counters.contains_key(&series)
            && !self.gauges.contains_key(&series)
            && !self.histograms.contains_key(&series);
        let number = self.counters.len() + self.gauges.len() + self.histograms.len();
        if is_new && number >= Self::SERIES_MAX {
            self.left_out += 1;
            return;
        }
        match kind {
            "c" => *self.counters.entry(series).or_default() += value,
            "g" => {
                self.gauges.insert(series, value);
            }
            "h" => self.sample(series, value),
            _ => self.left_out += 1,
        }
    }

    /// Returns all values, one a line, in the order of their names.
    pub fn render_text(&self) -> String {
        let mut text = String::new();
        for (series, value) in self.counters.iter().chain(&self.gauges) {
            push(&mut text, series, *value);
        }
        for (name, histogram) in &self.histograms {
            for quantile in Self::QUANTILES {
                let series = format!("{name}{{quantile=\"{quantile}\"}}");
                push(&mut text, &series, histogram.value_at_quantile(quantile));
            }
            push(&mut text, &format!("{name}_max"), histogram.max());
            push(&mut text, &format!("{name}_count"), histogram.len());
        }
        push(&mut text, "filbertcleat_metrics_left_out", self.left_out);
        text
    }

    fn sample(&mut self, series: String, value: u64) {
        let histogram = match self.histograms.entry(series) {
            std::collections::btree_map::Entry::Occupied(known) => known.into_mut(),
            std::collections::btree_map::Entry::Vacant(place) => {
                let Ok(empty) = Histogram::new_with_bounds(1, Self::SAMPLE_MAX, Self::DIGITS)
                else {
                    self.left_out += 1;
                    return;
                };
                place.insert(empty)
            }
        };
        histogram.saturating_record(value);
    }
}

/// Writes a name with its tags as they are served.
fn series(name: &str, tags: Option<&str>) -> String {
    let name = name.replace('.', "_");
    let Some(tags) = tags else { return name };
    let tags = tags.split(',').filter_map(|tag| tag.split_once(':'));
    let tags: Vec<_> = tags.map(|(tag, value)| format!("{tag}=\"{value}\"")).collect();
    format!("{name}{{{}}}", tags.join(","))
}

fn push(text: &mut String, series: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{series} {value}");
}
