//! The buckets of tokens that an agent holds.

use std::collections::HashMap;

use filbertcleat_base::MonoTime;

use super::AllowanceBounds;
use super::AllowanceGrant;
use super::AllowanceMove;
use super::AllowanceRequest;
use super::AllowanceReturn;
use super::BucketId;
use super::BucketSpec;
use super::bucket::Bucket;
use super::bucket::BucketAnswer;

/// The buckets of tokens that an agent holds for the entries. The time begins at its start.
#[derive(Clone, Debug)]
pub struct AllowanceBuckets {
    /// The id of this incarnation of the agent.
    agent: u32,
    bounds: AllowanceBounds,
    buckets: HashMap<(u64, BucketId), Bucket>,
    expired_at: MonoTime,
    is_leaving: bool,
}

/// The level of one bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLevel {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// The bucket.
    pub bucket: BucketId,
    /// The tokens in the bucket, negative while a request larger than the level is made up for.
    pub tokens: f64,
    /// The tokens that it granted in the window before its last grant.
    pub granted: f64,
}

impl AllowanceBuckets {
    /// The interval at which unused buckets are removed.
    const EXPIRY_INTERVAL_MS: u64 = 1_000;

    /// Creates the buckets of an agent that has just started.
    pub fn new(agent: u32, bounds: AllowanceBounds) -> Self {
        let buckets = HashMap::new();
        Self { agent, bounds, buckets, expired_at: MonoTime::ZERO, is_leaving: false }
    }

    /// Records whether the engine beside the agent is leaving, so that others grant instead.
    pub fn set_leaving(&mut self, is_leaving: bool) {
        self.is_leaving = is_leaving;
    }

    /// Answers a request of an entry.
    pub fn on_request(&mut self, now: MonoTime, request: &AllowanceRequest) -> AllowanceGrant {
        self.expire(now);
        let is_leaving = self.is_leaving;
        let bucket = self.bucket(now, request);
        let moved_to = bucket.moved_to(request);
        let answer = if is_leaving || moved_to.is_some() {
            BucketAnswer::ELSEWHERE
        } else {
            bucket.answer(now, request)
        };
        AllowanceGrant {
            workspace: request.workspace,
            bucket: request.bucket,
            sequence: request.sequence,
            agent: self.agent,
            granted: answer.granted,
            wait_ms: answer.wait_ms,
            retry_after_ms: answer.retry_after_ms,
            is_leaving,
            moved_to,
        }
    }

    /// Takes back tokens that an entry has not spent.
    pub fn on_return(&mut self, now: MonoTime, given: &AllowanceReturn) {
        if given.agent != self.agent {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(&(given.workspace, given.bucket)) {
            bucket.take_back(now, given);
        }
    }

    /// Applies the notice that another agent holds a bucket.
    pub fn on_moved(&mut self, notice: &AllowanceMove) {
        if let Some(bucket) = self.buckets.get_mut(&(notice.workspace, notice.bucket)) {
            bucket.on_moved(notice);
        }
    }

    /// Returns the level of each bucket.
    pub fn levels(&self, now: MonoTime) -> impl Iterator<Item = BucketLevel> {
        self.buckets.iter().map(move |((workspace, bucket), state)| BucketLevel {
            workspace: *workspace,
            bucket: *bucket,
            tokens: state.level(now),
            granted: state.recently_granted(),
        })
    }

    fn bucket(&mut self, now: MonoTime, request: &AllowanceRequest) -> &mut Bucket {
        let AllowanceRequest { rate_per_s, burst, config_version, .. } = *request;
        let spec = BucketSpec::new(&self.bounds, rate_per_s, burst, request.bucket);
        let window_ms = self.bounds.window_ms;
        let bucket = self.buckets.entry((request.workspace, request.bucket)).or_insert_with(|| {
            let level = start_level(now, window_ms, &spec, request.known_ms);
            Bucket::new(now, spec, config_version, window_ms, level)
        });
        bucket.configure(now, config_version, spec);
        bucket
    }

    fn expire(&mut self, now: MonoTime) {
        if now.ms_since(self.expired_at) >= Self::EXPIRY_INTERVAL_MS {
            self.expired_at = now;
            self.buckets.retain(|_, bucket| !bucket.expire(now));
        }
    }
}

/// Returns the level of a new bucket: what has come in since the process started, as the one before
/// may have granted all, and since entries have known it as the holder.
fn start_level(now: MonoTime, window_ms: u64, spec: &BucketSpec, known_ms: u64) -> f64 {
    let filled_in = |ms: u64| spec.start_rate_per_s * ms as f64 / 1_000.0;
    if now.as_ms() < window_ms {
        return filled_in(now.as_ms().min(known_ms));
    }
    spec.start_level.max(filled_in(known_ms))
}
