//! Servers that one request crashes.

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;

use super::Call;
use super::Script;
use super::Site;
use super::TestCatalogue;
use super::caller::Reply;
use super::route;

pub const IDEMPOTENT: RetryPolicy = RetryPolicy::Idempotent;
pub const ONCE: RetryPolicy = RetryPolicy::AtMostOnce;
pub const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };
/// The target of the request that crashes servers without engines.
pub const CRASHING: &str = "/cancel/bad";
/// The time for which a server is down after a crash.
pub const DOWN: Duration = Duration::from_secs(3);
/// The time between two arrivals of the request.
pub const INTERVAL: Duration = Duration::from_millis(400);
/// The time within which all processes that are connected have to know of the crashes.
pub const CONTACT: Duration = Duration::from_secs(3);
/// The arrivals of the request at servers that are allowed after that.
pub const LATE_ARRIVALS_MAX: usize = 3;
pub const RESPONSE: Script =
    Script::Respond { status: 200, body: "freed", after: Duration::from_millis(40) };

/// Nine servers that a request crashes, and some entries.
pub struct CrashSite {
    pub site: Site,
    pub target: &'static str,
    requests: usize,
}

impl CrashSite {
    /// Starts servers without engines, or with engines if the route streams, and two engines more.
    pub async fn start(policy: RetryPolicy, attempts_max: u32, entries: u8) -> Self {
        Self::start_with_engines(policy, attempts_max, entries, 2).await
    }

    pub async fn start_with_engines(
        policy: RetryPolicy,
        attempts_max: u32,
        entries: u8,
        engines: u8,
    ) -> Self {
        let catalogue = TestCatalogue::default();
        Self::start_with_catalogue(catalogue, policy, attempts_max, entries, engines).await
    }

    /// Starts servers, with `engines` engines more, and entries with a catalogue.
    pub async fn start_with_catalogue(
        catalogue: TestCatalogue,
        policy: RetryPolicy,
        attempts_max: u32,
        entries: u8,
        engines: u8,
    ) -> Self {
        let is_stream = matches!(policy, RetryPolicy::Stream { .. });
        let (prefix, target, otherwise) = if is_stream {
            let events = Script::Events { count: 3, pause: Duration::from_millis(20) };
            ("w", "/write/bad", events)
        } else {
            ("d", CRASHING, RESPONSE)
        };
        let after = Duration::from_millis(50);
        let script =
            Script::CrashOnTarget { target, after, down: DOWN, otherwise: Box::new(otherwise) };
        let mut servers: Vec<_> =
            (0..9).map(|number| (format!("{prefix}{number}"), script.clone())).collect();
        // The agents beside engines pass on what entries learn.
        servers.extend((0..engines).map(|number| (format!("w1{number}"), Script::Silent)));
        let name = if is_stream { "write" } else { "cancel" };
        let routes = vec![route(name, policy, attempts_max)];
        let site = Site::start_with_catalogue(catalogue, routes, servers, entries).await;
        Self { site, target, requests: 0 }
    }

    pub fn crashes(&self) -> usize {
        self.site.backends.iter().map(|backend| backend.crashes.get()).sum()
    }

    pub fn arrivals(&self) -> usize {
        self.site.backends.iter().map(|backend| backend.arrivals_at(self.target)).sum()
    }

    /// Sends the request under a new id.
    pub async fn send_crashing(&mut self, entry: usize) -> Option<Reply> {
        self.send(entry, self.target).await
    }

    /// Sends a request with a target, under a new id.
    pub async fn send(&mut self, entry: usize, target: &'static str) -> Option<Reply> {
        self.requests += 1;
        let id = format!("q{}", self.requests).leak();
        self.site.send(entry, &Call::new(id, target)).await
    }

    /// Sends the request until three servers have ended or ten times.
    pub async fn crash_three(&mut self, entry: usize) {
        for _ in 0..10 {
            if self.crashes() >= 3 {
                return;
            }
            self.send_crashing(entry).await;
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// Sends the request again and again to an entry, and asserts that few reach servers.
    pub async fn expect_turned_away(&mut self, entry: usize) {
        let before = self.arrivals();
        for _ in 0..20 {
            self.send_crashing(entry).await;
            tokio::time::sleep(INTERVAL).await;
        }
        let arrived = self.arrivals() - before;
        assert!(arrived <= LATE_ARRIVALS_MAX, "{arrived} requests reached servers");
    }
}
