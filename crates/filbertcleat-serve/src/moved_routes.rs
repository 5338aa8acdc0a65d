//! Remembers which routes have led to other services.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use crate::Route;
use crate::StreamOrigins;
use crate::Target;

/// The host of a route, in lower case, and its path prefix.
pub(crate) type RoutePlace = (String, String);

/// The routes whose targets changed of late.
///
/// A stream that nobody knows may have begun at a service to which its route led before.
#[derive(Clone, Debug, Default)]
pub struct MovedRoutes {
    /// Until when a change is remembered.
    moved_until: BTreeMap<RoutePlace, MonoTime>,
}

impl MovedRoutes {
    /// How long a change is remembered: as long as the origins of streams.
    pub const REMEMBERED_MS: u64 = StreamOrigins::LIFETIME_MS;

    /// Records that the routes `after` have replaced the routes `before`.
    pub fn on_replaced(&mut self, now: MonoTime, before: &[Route], after: &[Route]) {
        self.moved_until.retain(|_, until| now <= *until);
        let (before, after) = (targets(before), targets(after));
        for place in before.keys().chain(after.keys()) {
            if before.get(place) != after.get(place) {
                self.mark(place.clone(), now.plus_ms(Self::REMEMBERED_MS));
            }
        }
    }

    /// Records that the targets of a route changed, which is remembered until a time.
    pub(crate) fn mark(&mut self, place: RoutePlace, until: MonoTime) {
        let known = self.moved_until.entry(place).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns until when the change of a route is remembered, if it is.
    pub(crate) fn until(&self, now: MonoTime, place: &RoutePlace) -> Option<MonoTime> {
        self.moved_until.get(place).copied().filter(|until| now <= *until)
    }

    /// Returns the host and the path prefix of a route.
    pub(crate) fn place(route: &Route) -> RoutePlace {
        (route.host.to_ascii_lowercase(), route.path_prefix.clone())
    }

    /// Returns whether requests for a path, which take this route now, may have gone elsewhere
    /// within the time that is remembered.
    pub fn has_moved(&self, now: MonoTime, route: &Route, path: &str) -> bool {
        self.moved_until.iter().any(|((host, prefix), until)| {
            now <= *until
                && route.host.eq_ignore_ascii_case(host)
                && path.starts_with(prefix)
                // A shorter prefix did not match while this route was there.
                && prefix.len() >= route.path_prefix.len()
        })
    }
}

fn targets(routes: &[Route]) -> BTreeMap<RoutePlace, &[Target]> {
    routes.iter().map(|route| (MovedRoutes::place(route), &route.targets[..])).collect()
}
