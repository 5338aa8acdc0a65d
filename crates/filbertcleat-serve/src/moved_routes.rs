//! Remembers which routes have led to other services.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use crate::Route;
use crate::StreamOrigins;
use crate::Target;

/// The host of a route, in lower case, and its path prefix.
type Place = (String, String);

/// The routes whose targets changed of late.
///
/// A stream that nobody knows may have begun at a service to which its route led before.
#[derive(Clone, Debug, Default)]
pub struct MovedRoutes {
    moved_at: BTreeMap<Place, MonoTime>,
}

impl MovedRoutes {
    /// How long a change is remembered: as long as the origins of streams.
    pub const REMEMBERED_MS: u64 = StreamOrigins::LIFETIME_MS;

    /// Records that the routes `after` have replaced the routes `before`.
    pub fn on_replaced(&mut self, now: MonoTime, before: &[Route], after: &[Route]) {
        self.moved_at.retain(|_, at| now.ms_since(*at) <= Self::REMEMBERED_MS);
        let (before, after) = (targets(before), targets(after));
        for place in before.keys().chain(after.keys()) {
            if before.get(place) != after.get(place) {
                self.moved_at.insert(place.clone(), now);
            }
        }
    }

    /// Returns whether requests for a path, which take this route now, may have gone elsewhere
    /// within the time that is remembered.
    pub fn has_moved(&self, now: MonoTime, route: &Route, path: &str) -> bool {
        self.moved_at.iter().any(|((host, prefix), at)| {
            now.ms_since(*at) <= Self::REMEMBERED_MS
                && route.host.eq_ignore_ascii_case(host)
                && path.starts_with(prefix)
                // A shorter prefix did not match while this route was there.
                && prefix.len() >= route.path_prefix.len()
        })
    }
}

fn targets(routes: &[Route]) -> BTreeMap<Place, &[Target]> {
    let place = |route: &Route| (route.host.to_ascii_lowercase(), route.path_prefix.clone());
    routes.iter().map(|route| (place(route), &route.targets[..])).collect()
}
