//! A bounded set of tag values.

use std::collections::HashMap;

/// A bounded set of tag values, so that the number of workspaces does not set the memory and the
/// length of a page of metrics.
#[derive(Debug, Default)]
pub(crate) struct LabelSet {
    labels: HashMap<String, String>,
}

impl LabelSet {
    /// The most values; 32 are readable as a table, and leave most series to other metrics.
    const COUNT_MAX: usize = 32;
    /// The value that stands for all others.
    const OTHER: &str = "other";

    /// Returns the tag value for a name: one of its own for the first names that come.
    pub fn label(&mut self, name: &str) -> &str {
        if !self.labels.contains_key(name) {
            if self.labels.len() >= Self::COUNT_MAX {
                return Self::OTHER;
            }
            // Other characters separate the parts of a metric.
            let is_plain = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
            let label = name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect();
            self.labels.insert(name.to_owned(), label);
        }
        self.labels.get(name).map_or(Self::OTHER, String::as_str)
    }
}
