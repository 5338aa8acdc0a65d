//! Parts of the time line.

use filbertcleat_base::NodeName;
use filbertcleat_base::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use crate::Event;

/// A part of one process's events.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimelinePage {
    /// The process.
    pub node: NodeName,
    /// The number of events that it no longer has.
    pub dropped: u64,
    /// The stamp of the oldest event that it has.
    pub oldest: Option<Timestamp>,
    /// The events asked for.
    pub events: Vec<Event>,
}

/// Merges the events of all processes in the order of their stamps.
pub fn merge_pages(pages: Vec<TimelinePage>) -> Vec<Event> {
    let mut events: Vec<_> = pages.into_iter().flat_map(|page| page.events).collect();
    events.sort_by(|left, right| {
        left.stamp.cmp(&right.stamp).then_with(|| left.node.cmp(&right.node))
    });
    events
}
