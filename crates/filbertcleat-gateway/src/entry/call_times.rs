//! How long calls to the catalogue wait, and how far apart they are.
//!
//! Open connections may go silent while new ones work. A process is in touch again `contact_ms`
//! after that, and must know by then what the catalogue has acknowledged since. So a call without
//! data begins, is given up, and has been made again on a new connection within `contact_ms`, of which
//! the last sixth is for the new call. Data that arrive show that the connection is alive: how long a
//! response takes depends on its size and on the link.

use std::time::Duration;

use crate::CatalogueDelays;
use crate::Topic;
use crate::WatchTimes;

/// The longest wait of a call of the servers' topic. The list of backend servers changes with every
/// heartbeat, so that calls wait briefly and are spaced by a pause.
const SERVERS_WAIT_MAX: Duration = Duration::from_millis(500);
/// How long a call waits for changes that is made for its response: because a request waits for it,
/// or because the call before has failed.
const PROMPT_WAIT: Duration = Duration::from_millis(10);
/// After this time without any data, a call has failed that is made for its response: many times the
/// usual response time, so that calls to a slow catalogue still succeed.
const PROMPT_SILENCE: Duration = Duration::from_secs(1);

/// Returns the times of a call that waits for changes of a topic.
pub(super) fn watch_times(
    topic: Topic,
    delays: CatalogueDelays,
    has_workspaces: bool,
) -> WatchTimes {
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
    WatchTimes { wait, silence: wait + sixth }
}

/// Returns the times of a call that is made for its response.
pub(super) fn prompt_times() -> WatchTimes {
    WatchTimes { wait: PROMPT_WAIT, silence: PROMPT_SILENCE }
}

/// Returns the pause between two calls of the servers' topic: half of the time in which a draining
/// server has to be known, or in which a silent connection has to be found. The rest is for a call
/// that is slow or has to be repeated.
pub(super) fn servers_pause(delays: CatalogueDelays) -> Duration {
    Duration::from_millis(delays.draining_ms.min(delays.contact_ms) / 2)
}
