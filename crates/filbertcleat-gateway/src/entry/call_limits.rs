//! How long calls to the catalogue wait, how much they read, and how far apart they are.
//!
//! Open connections may go silent while new ones work. A process is in touch again `contact_ms`
//! after that, and must know by then what the catalogue has acknowledged since. So a call without
//! data begins, is given up, and has been made again on a new connection within `contact_ms`, of which
//! the last sixth is for the new call. Data that arrive show that the connection is alive: how long a
//! response takes depends on its size and on the link.
//!
//! Changes name each version of a row, and a list only the newest. A process that has missed some
//! reads the list once the changes would be larger.

use std::time::Duration;

use crate::CatalogueDelays;
use crate::Topic;
use crate::WatchLimits;

/// The longest wait of a call of the servers' topic. The list of backend servers changes with every
/// heartbeat, so that calls wait briefly and are spaced by a pause.
const SERVERS_WAIT_MAX: Duration = Duration::from_millis(500);
/// How long a call waits for changes that is made for its response: because a request waits for it,
/// or because the call before has failed.
const PROMPT_WAIT: Duration = Duration::from_millis(10);
/// After this time without any data, a call has failed that is made for its response: many times the
/// usual response time, so that calls to a slow catalogue still succeed.
const PROMPT_SILENCE: Duration = Duration::from_secs(1);
/// Changes that exceed the list by no more than this are read: another call would save little.
const CHANGES_SLACK_BYTES: usize = 64 * 1024;

/// Returns the limits of a call that waits for changes of a topic, whose list has a size.
pub(super) fn watch_limits(
    topic: Topic,
    delays: CatalogueDelays,
    has_workspaces: bool,
    list_bytes: usize,
) -> WatchLimits {
    let sixth = Duration::from_millis(delays.contact_ms / 6);
    let wait = match topic {
        // An entry that has had no response for the time until a configuration is in force may lack
        // API keys; the last quarter of that time is for a slow response.
        Topic::Operators if has_workspaces => {
            (sixth * 4).min(Duration::from_millis(delays.configuration_ms * 3 / 4))
        }
        Topic::Operators | Topic::Facts | Topic::Origins => sixth * 4,
        Topic::Servers => SERVERS_WAIT_MAX.min(sixth),
    };
    let size_max_bytes = changes_max_bytes(topic, list_bytes);
    WatchLimits { wait, silence: wait + sixth, size_max_bytes }
}

/// Returns the limits of a call that is made for its response.
pub(super) fn prompt_limits(topic: Topic, list_bytes: usize) -> WatchLimits {
    let size_max_bytes = changes_max_bytes(topic, list_bytes);
    WatchLimits { wait: PROMPT_WAIT, silence: PROMPT_SILENCE, size_max_bytes }
}

/// Returns the largest changes of a topic that are read in place of its list.
fn changes_max_bytes(topic: Topic, list_bytes: usize) -> Option<usize> {
    match topic {
        Topic::Operators | Topic::Facts | Topic::Origins => Some(list_bytes + CHANGES_SLACK_BYTES),
        // Heartbeats make the usual changes larger than the list, which does not show removals.
        Topic::Servers => None,
    }
}

/// Returns the pause between two calls of the servers' topic: half of the time in which a draining
/// server has to be known, or in which a silent connection has to be found. The rest is for a call
/// that is slow or has to be repeated.
pub(super) fn servers_pause(delays: CatalogueDelays) -> Duration {
    Duration::from_millis(delays.draining_ms.min(delays.contact_ms) / 2)
}
