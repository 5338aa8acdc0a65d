//! Pages of the timeline.

use filbertcleat_base::NodeName;
use filbertcleat_base::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use crate::Event;

/// The events of one process that match a query.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimelinePage {
    /// The name of the process.
    pub node: NodeName,
    /// The number of events that the process no longer keeps.
    pub dropped: u64,
    /// The timestamp of the oldest event that the process keeps.
    pub oldest: Option<Timestamp>,
    /// The matching events.
    pub events: Vec<Event>,
}

/// Merges the events of all processes in the order of their timestamps, and of the processes'
/// names at equal timestamps.
pub fn merge_pages(pages: Vec<TimelinePage>) -> Vec<Event> {
    let mut events: Vec<_> = pages.into_iter().flat_map(|page| page.events).collect();
    events.sort_by(|left, right| {
        left.stamp.cmp(&right.stamp).then_with(|| left.node.cmp(&right.node))
    });
    events
}
