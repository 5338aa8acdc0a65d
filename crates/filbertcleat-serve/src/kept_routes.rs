//! Decides what the catalogue keeps of the targets of routes, and what that tells an entry that has
//! just started.
//!
//! A stream that nobody knows may have begun at a service to which its route led before. An entry
//! sees such moves while it runs. The row tells the entries that start after a loss of power which
//! targets were in force before; a difference to those in force now is a move that nobody may have
//! seen.

mod row;
mod step;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

pub use self::row::KeptRoute;
pub use self::row::RouteRow;
pub use self::step::RouteWriteStep;
use crate::MovedRoutes;
use crate::Route;
use crate::Target;
use crate::moved_routes::RoutePlace;

/// The routes whose targets changed of late, by what this entry has seen and what the catalogue
/// keeps of it.
#[derive(Clone, Debug)]
pub struct KeptRoutes {
    moved: MovedRoutes,
    /// The targets in force of resumable routes.
    in_force: BTreeMap<RoutePlace, u64>,
    /// Since when the entry has followed the configuration.
    configured_at: Option<MonoTime>,
    /// Whether no entry has run before those that start now, unless the catalogue has a row.
    is_first_start: bool,
    /// What the row tells; `None` before it was read.
    told: Option<ToldRoutes>,
    /// Whether the configuration has been compared with what was in force before the start.
    is_compared: bool,
    write_at: Option<MonoTime>,
    written_at: Option<MonoTime>,
    /// Differs between entries and, while it runs, between an entry's writes.
    draw: u64,
    failures: u32,
}

/// What the row tells.
#[derive(Clone, Debug, Default)]
struct ToldRoutes {
    version: u64,
    routes: BTreeMap<RoutePlace, ToldRoute>,
}

/// What the row tells of a place.
#[derive(Clone, Copy, Debug)]
struct ToldRoute {
    targets: Option<u64>,
    moved_until: Option<MonoTime>,
}

impl KeptRoutes {
    /// The time from a change to a write, in which agents tell a new process how many entries run.
    pub const WRITE_DELAY_MS: u64 = 1_000;
    /// The time over which the writes of several entries are spread, so that most find the row
    /// changed.
    pub const WRITE_SPREAD_MS: u64 = 1_000;
    /// The number of entries that write after a change, as each of them may fail.
    const WRITERS: u64 = 8;
    /// How much earlier a change may lie by the row than by this entry: entries apply a
    /// configuration within some seconds of each other.
    const TOLERANCE_MS: u64 = 5_000;
    /// The largest row, in bytes: with Base64, a third more, it stays within 65,536 bytes.
    pub const ROW_BYTES_MAX: usize = 49_152;
    /// The bytes that a route takes in a row besides its host and path prefix.
    const ROUTE_BYTES: usize = 96;
    /// The most bytes that a character of a name takes in a row.
    const NAME_FACTOR: usize = 6;
    /// The pause after a failed write, which grows by as much with each further failure.
    const RETRY_PAUSE_MS: u64 = 250;
    /// The longest pause after a failed write.
    const RETRY_PAUSE_MAX_MS: u64 = 2_000;

    /// Creates the state of a process that knows no configuration. The seed must differ between
    /// entries.
    pub fn new(is_first_start: bool, seed: u64) -> Self {
        Self {
            moved: MovedRoutes::default(),
            in_force: BTreeMap::new(),
            configured_at: None,
            is_first_start,
            told: None,
            is_compared: false,
            write_at: None,
            written_at: None,
            draw: seed,
            failures: 0,
        }
    }

    /// Records that the routes `after` are in force now; `before` are those that were until now, if
    /// this entry knows any.
    pub fn on_configured(&mut self, now: MonoTime, before: Option<&[Route]>, after: &[Route]) {
        if let Some(before) = before {
            self.moved.on_replaced(now, before, after);
        }
        let resumable = after.iter().filter(|route| route.retry_policy.is_resumable());
        self.in_force =
            resumable.map(|route| (MovedRoutes::place(route), hash(&route.targets))).collect();
        self.configured_at.get_or_insert(now);
        self.compare(now);
        self.plan_write(now);
    }

    /// Applies the row as it was read.
    pub fn on_read(&mut self, now: MonoTime, row: &RouteRow) {
        let told = ToldRoutes::new(now, row);
        for (place, route) in &told.routes {
            if let Some(until) = route.moved_until {
                self.moved.mark(place.clone(), until);
            }
        }
        self.told = Some(told);
        self.compare(now);
        self.plan_write(now);
    }

    /// Returns whether requests for a path, which take this route now, may have gone elsewhere of
    /// late.
    pub fn has_moved(&self, now: MonoTime, route: &Route, path: &str) -> bool {
        let is_known = self.is_compared || self.has_followed(now);
        !is_known || self.moved.has_moved(now, route, path)
    }

    /// Returns what has to be done about the row next. Of `entries` entries few write after a
    /// change. The result of a write has to be told by `on_written`, `on_conflict` or
    /// `on_write_failed`.
    pub fn write_step(&mut self, now: MonoTime, entries: u32) -> RouteWriteStep {
        let (Some(at), Some(told)) = (self.write_at.filter(|_| self.is_compared), &self.told)
        else {
            return RouteWriteStep::Wait { until: None };
        };
        if now < at {
            return RouteWriteStep::Wait { until: Some(at) };
        }
        // An entry that wrote may have been behind the others, and has to correct that.
        let has_written = self
            .written_at
            .is_some_and(|written_at| now.ms_since(written_at) <= MovedRoutes::REMEMBERED_MS);
        let is_writer = has_written || self.draw % u64::from(entries.max(1)) < Self::WRITERS;
        let is_due = is_writer && self.is_outdated(now, told);
        let row = is_due
            .then(|| RouteRow { version: told.version, routes: Some(self.row_content(now, told)) });
        self.write_at = None;
        row.map_or(RouteWriteStep::Wait { until: None }, RouteWriteStep::Write)
    }

    /// Records that the row was written, and its new version.
    pub fn on_written(&mut self, now: MonoTime, row: &RouteRow, version: u64) {
        self.failures = 0;
        self.written_at = Some(now);
        let told = ToldRoutes::new(now, row);
        self.told = Some(ToldRoutes { version, ..told });
    }

    /// Applies the row that another entry wrote first.
    pub fn on_conflict(&mut self, now: MonoTime, current: &RouteRow) {
        self.on_read(now, current);
        self.on_write_failed(now);
    }

    /// Records that a write failed. It may have taken effect, or still take it.
    pub fn on_write_failed(&mut self, now: MonoTime) {
        self.failures += 1;
        let pause_ms = Self::RETRY_PAUSE_MS * u64::from(self.failures);
        self.write_at = Some(now.plus_ms(pause_ms.min(Self::RETRY_PAUSE_MAX_MS)));
    }

    /// Returns whether the entry has seen all changes of late itself.
    fn has_followed(&self, now: MonoTime) -> bool {
        let since = self.configured_at;
        since.is_some_and(|since| now.ms_since(since) > MovedRoutes::REMEMBERED_MS)
    }

    /// Compares the first configuration with what the row tells of the one before.
    fn compare(&mut self, now: MonoTime) {
        let Some(told) = self.told.as_ref().filter(|_| self.configured_at.is_some()) else {
            return;
        };
        if self.is_compared {
            return;
        }
        self.is_compared = true;
        if self.has_followed(now) || (self.is_first_start && told.version == 0) {
            return;
        }
        let until = now.plus_ms(MovedRoutes::REMEMBERED_MS);
        let places: BTreeSet<_> = self.in_force.keys().chain(told.routes.keys()).collect();
        for place in places {
            if self.in_force.get(place).copied() != told.targets(place) {
                self.moved.mark(place.clone(), until);
            }
        }
    }

    fn plan_write(&mut self, now: MonoTime) {
        self.draw = mix_hashes(self.draw, now.as_us());
        let delay_ms = Self::WRITE_DELAY_MS + (self.draw >> 32) % Self::WRITE_SPREAD_MS;
        self.write_at.get_or_insert(now.plus_ms(delay_ms));
    }

    /// Returns whether the row lacks a change that this entry knows.
    fn is_outdated(&self, now: MonoTime, told: &ToldRoutes) -> bool {
        self.places(told).into_iter().any(|place| {
            let until = self.moved.until(now, place);
            let told_until = told.routes.get(place).and_then(|route| route.moved_until);
            let told_until = told_until.map(|until| until.plus_ms(Self::TOLERANCE_MS));
            self.in_force.get(place).copied() != told.targets(place) || told_until < until
        })
    }

    /// Returns the content of the row within its bounds. A route that is left out counts as moved
    /// for entries that start.
    fn row_content(&self, now: MonoTime, told: &ToldRoutes) -> Vec<KeptRoute> {
        let mut bytes = Self::ROUTE_BYTES;
        let mut routes = Vec::new();
        for place in self.places(told) {
            let (targets, until) = (self.in_force.get(place), self.moved.until(now, place));
            if targets.is_none() && until.is_none() {
                continue;
            }
            let (host, path_prefix) = place.clone();
            bytes += Self::ROUTE_BYTES + (host.len() + path_prefix.len()) * Self::NAME_FACTOR;
            if bytes > Self::ROW_BYTES_MAX {
                break;
            }
            let moved_age_ms =
                until.map(|until| MovedRoutes::REMEMBERED_MS.saturating_sub(until.ms_since(now)));
            routes.push(KeptRoute { host, path_prefix, targets: targets.copied(), moved_age_ms });
        }
        routes
    }

    /// Returns the places of the resumable routes that are in force or in the row.
    fn places<'a>(&'a self, told: &'a ToldRoutes) -> BTreeSet<&'a RoutePlace> {
        self.in_force.keys().chain(told.routes.keys()).collect()
    }
}

impl ToldRoutes {
    fn new(now: MonoTime, row: &RouteRow) -> Self {
        let routes = row.routes.iter().flatten().map(|route| {
            let left_ms =
                route.moved_age_ms.and_then(|age| MovedRoutes::REMEMBERED_MS.checked_sub(age));
            let moved_until = left_ms.map(|left_ms| now.plus_ms(left_ms));
            let place = (route.host.clone(), route.path_prefix.clone());
            (place, ToldRoute { targets: route.targets, moved_until })
        });
        Self { version: row.version, routes: routes.collect() }
    }

    fn targets(&self, place: &RoutePlace) -> Option<u64> {
        self.routes.get(place)?.targets
    }
}

/// Returns a hash of targets that is equal in every process.
fn hash(targets: &[Target]) -> u64 {
    targets.iter().fold(0, |hash, target| {
        mix_hashes(mix_hashes(hash, stable_hash(target.service.as_str())), target.weight)
    })
}
