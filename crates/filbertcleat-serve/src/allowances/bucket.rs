//! One bucket of tokens at an agent.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::IpAddr;

use filbertcleat_base::MonoTime;

use super::AllowanceMove;
use super::AllowanceRequest;
use super::AllowanceReturn;
use super::BucketSpec;
use super::grant_window::GrantWindow;
use super::ledger::HOLD_MS;

/// One bucket of tokens at an agent.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    spec: BucketSpec,
    config_version: u64,
    window_ms: u64,
    level: f64,
    filled_at: MonoTime,
    /// Before this time the process before this one may have granted tokens of the same window, so
    /// that the level is not overdrawn.
    overdraws_from: MonoTime,
    /// Before this time another process may have granted tokens of the same window.
    full_rate_from: MonoTime,
    window: GrantWindow,
    /// The cost of refused requests whose callers were told to come back.
    promised: f64,
    used_at: MonoTime,
    grants: HashMap<u32, VecDeque<RecentGrant>>,
    /// The newest list of backend servers by which an entry has asked here.
    list_version: u64,
    /// The newer list by which another agent holds the bucket, and that agent.
    moved: Option<(u64, IpAddr)>,
}

/// A grant that an entry may ask for again or return.
#[derive(Clone, Copy, Debug)]
struct RecentGrant {
    sequence: u32,
    at: MonoTime,
    granted: u64,
    returned: u64,
}

/// What a bucket answers to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketAnswer {
    pub granted: u64,
    pub wait_ms: u64,
    pub retry_after_ms: u64,
}

impl BucketAnswer {
    /// The answer of an agent that does not hold the bucket.
    pub const ELSEWHERE: Self = Self { granted: 0, wait_ms: 1, retry_after_ms: 1 };
}

impl Bucket {
    /// The most recent grants that are remembered for an entry. It asks again for the last ones, and
    /// returns tokens of those before a queue's wait.
    const GRANTS_MAX: usize = 256;
    /// The share of what would be left that is granted for requests that are only expected, so that
    /// the last tokens go to requests that wait.
    const EXPECTED_SHARE: f64 = 0.125;
    /// The time by which refused callers come later than their tokens: several round trips, as the
    /// times of two callers differ by those of their requests.
    const RETURN_MARGIN_MS: u64 = 10;
    /// The longest time that a refused caller is told to wait.
    const RETRY_AFTER_MAX_MS: f64 = 30_000.0;

    /// Creates a bucket with a level.
    pub fn new(
        now: MonoTime,
        spec: BucketSpec,
        config_version: u64,
        window_ms: u64,
        level: f64,
    ) -> Self {
        Self {
            spec,
            config_version,
            window_ms,
            level: level.min(spec.depth),
            filled_at: now,
            overdraws_from: MonoTime::from_ms(window_ms),
            full_rate_from: now.plus_ms(window_ms),
            window: GrantWindow::default(),
            promised: 0.0,
            used_at: now,
            grants: HashMap::new(),
            list_version: 0,
            moved: None,
        }
    }

    /// Adopts a newer configuration; an older one is ignored.
    pub fn configure(&mut self, now: MonoTime, config_version: u64, spec: BucketSpec) {
        if config_version <= self.config_version {
            return;
        }
        self.fill(now);
        if spec.window_max < self.spec.window_max {
            // What was granted within a higher limit must not keep the lower one from being used.
            self.window.scale(spec.window_max / self.spec.window_max);
        }
        self.config_version = config_version;
        self.spec = spec;
        self.level = self.level.min(spec.depth);
    }

    /// Records that another agent holds the bucket, unless an entry with a newer list has asked here.
    pub fn on_moved(&mut self, notice: &AllowanceMove) {
        if notice.list_version > self.list_version {
            self.moved = Some((notice.list_version, notice.holder));
        }
    }

    /// Returns the agent that holds the bucket according to a newer list than that of a request.
    pub fn moved_to(&mut self, request: &AllowanceRequest) -> Option<IpAddr> {
        let (moved_version, holder) = self.moved.unzip();
        if moved_version.is_some_and(|moved_version| request.list_version < moved_version) {
            return holder;
        }
        self.moved = None;
        self.list_version = request.list_version.max(self.list_version);
        None
    }

    /// Answers a request. A request that is repeated gets the same grant.
    pub fn answer(&mut self, now: MonoTime, request: &AllowanceRequest) -> BucketAnswer {
        self.fill(now);
        self.used_at = now;
        let recent = self.grants.get(&request.entry);
        let known =
            recent.and_then(|grants| grants.iter().find(|one| one.sequence == request.sequence));
        if let Some(known) = known {
            let granted = known.granted;
            return self.answer_with(now, granted, granted < request.needed);
        }
        let granted = self.grantable(now, request);
        if granted > 0 {
            self.level -= granted as f64;
            // From now on the level accounts for the caller, who may have come back.
            self.promised = (self.promised - granted as f64).max(0.0);
            self.window.add(now, granted as f64);
            let grant = RecentGrant { sequence: request.sequence, at: now, granted, returned: 0 };
            let grants = self.grants.entry(request.entry).or_default();
            if grants.len() == Self::GRANTS_MAX {
                grants.pop_front();
            }
            grants.push_back(grant);
        }
        let answer = self.answer_with(now, granted, granted < request.needed);
        if request.is_last {
            self.promised += request.needed.saturating_sub(granted) as f64;
        }
        answer
    }

    /// Takes tokens back.
    pub fn take_back(&mut self, now: MonoTime, given: &AllowanceReturn) {
        self.fill(now);
        let grants = self.grants.get_mut(&given.entry);
        let grant =
            grants.and_then(|grants| grants.iter_mut().find(|one| one.sequence == given.sequence));
        let Some(grant) = grant else { return };
        let returned = given.returned.min(grant.granted);
        let amount = returned.saturating_sub(grant.returned) as f64;
        grant.returned = grant.returned.max(returned);
        self.window.subtract(grant.at, amount);
        self.level = (self.level + amount).min(self.spec.depth);
    }

    /// Returns the level, which is negative while a request larger than it is made up for.
    pub fn level(&self, now: MonoTime) -> f64 {
        let filled = now.since(self.filled_at).as_secs_f64() * self.rate_per_s(now);
        (self.level + filled).min(self.spec.depth)
    }

    /// Returns the tokens granted in the window before the last grant.
    pub fn recently_granted(&self) -> f64 {
        self.window.total()
    }

    /// Returns the tokens that come in per second.
    fn rate_per_s(&self, now: MonoTime) -> f64 {
        if now < self.full_rate_from { self.spec.start_rate_per_s } else { self.spec.rate_per_s }
    }

    /// Forgets old grants. Returns whether nothing is left that a new bucket would not have.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let window_ms = self.window_ms;
        self.grants.retain(|_, grants| {
            while grants.front().is_some_and(|grant| now.ms_since(grant.at) > window_ms) {
                grants.pop_front();
            }
            !grants.is_empty()
        });
        let is_idle = now.ms_since(self.used_at) > 2 * self.window_ms;
        is_idle && self.level(now) >= self.spec.depth
    }

    /// Returns the time span whose grants may be spent within one window.
    fn span_ms(&self) -> u64 {
        self.window_ms + HOLD_MS
    }

    fn fill(&mut self, now: MonoTime) {
        let filled = now.since(self.filled_at).as_secs_f64() * self.rate_per_s(now);
        // Tokens beyond the deficit that nobody takes were promised to callers who have not come.
        let unused = (filled - (-self.level).max(0.0)).max(0.0);
        self.promised = (self.promised - unused).max(0.0);
        self.level = (self.level + filled).min(self.spec.depth);
        self.filled_at = self.filled_at.max(now);
    }

    fn window_room(&mut self, now: MonoTime) -> f64 {
        let span_ms = self.span_ms();
        self.spec.window_max - self.window.sum(now, span_ms)
    }

    fn grantable(&mut self, now: MonoTime, request: &AllowanceRequest) -> u64 {
        let needed = request.needed as f64;
        let may_overdraw = now >= self.overdraws_from;
        let required = if may_overdraw { 0.0 } else { request.first_cost as f64 };
        if self.level <= 0.0 || self.level < required {
            return 0;
        }
        let first = if may_overdraw { request.first_cost as f64 } else { 0.0 };
        let room = self.window_room(now);
        if request.needed > 0 && room < request.first_cost as f64 {
            return 0;
        }
        let for_waiting = needed.min(self.level.max(first)).min(room);
        let left = (self.level - for_waiting).min(room - for_waiting).max(0.0);
        let for_expected = (request.expected as f64).min(left * Self::EXPECTED_SHARE);
        (for_waiting + for_expected) as u64
    }

    fn answer_with(&mut self, now: MonoTime, granted: u64, is_short: bool) -> BucketAnswer {
        if !is_short {
            return BucketAnswer { granted, wait_ms: 0, retry_after_ms: 0 };
        }
        let room = self.window_room(now);
        let window_wait_ms = if room < self.spec.depth * Self::EXPECTED_SHARE {
            self.window.wait_ms(now, self.span_ms(), self.spec.depth * Self::EXPECTED_SHARE - room)
        } else {
            0
        };
        let per_ms = (self.rate_per_s(now) / 1_000.0).max(f64::MIN_POSITIVE);
        let deficit = (-self.level).max(0.0);
        let wait_ms = (deficit / per_ms).ceil().min(Self::RETRY_AFTER_MAX_MS) as u64 + 1;
        let retry_ms = ((deficit + self.promised) / per_ms).ceil();
        let retry_after_ms = retry_ms.min(Self::RETRY_AFTER_MAX_MS) as u64 + Self::RETURN_MARGIN_MS;
        BucketAnswer {
            granted,
            wait_ms: wait_ms.max(window_wait_ms),
            retry_after_ms: retry_after_ms.max(window_wait_ms),
        }
    }
}
