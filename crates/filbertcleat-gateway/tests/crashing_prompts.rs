//! Prompts with a part that crashes every server that begins to answer it.

mod support;

use std::cell::Cell;
use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Call;
use self::support::Script;
use self::support::Site;
use self::support::World;
use self::support::caller::Reply;
use self::support::idle_agent::start_agent;
use self::support::route;

const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
/// The part that crashes servers.
const CRASHING: &str = "bad";
/// The first part, which all prompts of the route share.
const FIRST: &str = "a1";
/// The time for which a server is down after a crash.
const DOWN: Duration = Duration::from_secs(4);
/// The time between two requests with the crashing part.
const INTERVAL: Duration = Duration::from_millis(400);
/// The time within which all processes that are connected have to know of the crashes.
const CONTACT: Duration = Duration::from_secs(3);
/// The requests with the part that may reach servers after that.
const LATE_ARRIVALS_MAX: usize = 3;

/// Nine servers that the part crashes, and some entries.
struct CrashSite {
    site: Site,
    requests: Cell<usize>,
}

impl CrashSite {
    async fn start(policy: RetryPolicy, attempts_max: u32, entries: u8) -> Self {
        let script = Script::CrashOnPart {
            part: CRASHING,
            down: DOWN,
            otherwise: Box::new(Script::Events { count: 3, pause: Duration::from_millis(20) }),
        };
        let servers = (0..9).map(|number| (format!("w{number}"), script.clone())).collect();
        let routes = vec![route("write", policy, attempts_max)];
        Self { site: Site::start(routes, servers, entries).await, requests: Cell::default() }
    }

    fn crashes(&self) -> usize {
        self.site.backends.iter().map(|backend| backend.crashes.get()).sum()
    }

    /// Returns how many requests with the crashing part have reached servers.
    fn arrivals(&self) -> usize {
        self.site.backends.iter().map(|backend| backend.arrivals_with(CRASHING)).sum()
    }

    /// Sends a request with these shared parts and a target of its own to an entry.
    async fn send(&self, entry: usize, parts: &str) -> Option<Reply> {
        self.requests.set(self.requests.get() + 1);
        let target = format!("/write/{}", self.requests.get()).leak();
        let extra = format!("x-parts: {parts}\r\n").leak();
        self.site.send(entry, &Call { extra, ..Call::new("a", target) }).await
    }

    /// Sends requests with the crashing part, no two alike, until five servers have ended or 20 have
    /// been sent, beside sound ones.
    async fn crash_five(&self, entry: usize) {
        for number in 0..20 {
            if self.crashes() >= 5 {
                return;
            }
            self.send(entry, &format!("{FIRST},{CRASHING},{number:x}0")).await;
            self.send(entry, &format!("{FIRST},{number:x}0")).await;
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// Sends requests with the crashing part to an entry, and asserts that few reach servers.
    async fn expect_turned_away(&self, entry: usize) {
        let before = self.arrivals();
        for number in 0..20 {
            self.send(entry, &format!("{FIRST},{CRASHING},{number:x}1")).await;
            tokio::time::sleep(INTERVAL).await;
        }
        let arrived = self.arrivals() - before;
        assert!(arrived <= LATE_ARRIVALS_MAX, "{arrived} requests reached servers");
    }
}

#[rstest]
#[case::single_attempt(STREAM, 1)]
#[case::retried(STREAM, 2)]
#[case::resumed(RESUMABLE, 3)]
fn crashing_part_stopped(#[case] policy: RetryPolicy, #[case] attempts_max: u32) {
    World::run(async move {
        let site = CrashSite::start(policy, attempts_max, 1).await;
        site.crash_five(0).await;
        tokio::time::sleep(CONTACT).await;

        site.expect_turned_away(0).await;
    });
}

#[test]
fn other_entry_warned() {
    World::run(async {
        let site = CrashSite::start(STREAM, 1, 2).await;
        site.crash_five(0).await;
        tokio::time::sleep(CONTACT).await;

        site.expect_turned_away(1).await;
    });
}

/// Each entry sees fewer crashes than tell a crashing part from a coincidence.
#[test]
fn crashes_counted_together() {
    World::run(async {
        let site = CrashSite::start(STREAM, 1, 5).await;
        for entry in 0..5 {
            site.send(entry, &format!("{FIRST},{CRASHING},{entry}0")).await;
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep(CONTACT).await;

        for entry in 0..5 {
            let before = site.arrivals();
            site.send(entry, &format!("{FIRST},{CRASHING},{entry}1")).await;
            tokio::time::sleep(INTERVAL).await;
            assert_eq!(site.arrivals(), before);
        }
    });
}

/// Callers leave after the head of their stream and before its first event.
#[test]
fn crashes_seen_after_callers_left() {
    World::run(async {
        let site = CrashSite::start(STREAM, 1, 1).await;
        for number in 0..3 {
            let mut caller = site.site.entries[0].caller().await;
            let extra = format!("x-parts: {FIRST},{CRASHING},{number}0\r\n").leak();
            let call = Call { extra, ..Call::new("a", format!("/write/left/{number}").leak()) };
            caller.send(&call).await.expect("the entry reads");
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(caller);
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep(CONTACT).await;
        assert_eq!((site.arrivals(), site.crashes()), (3, 3));

        site.send(0, &format!("{FIRST},{CRASHING},90")).await;

        assert_eq!(site.arrivals(), 3, "a request with the part reached one more server");
    });
}

#[test]
fn started_entry_warned() {
    World::run(async {
        let mut site = CrashSite::start(STREAM, 1, 1).await;
        site.crash_five(0).await;
        site.site.start_entry(1).await;
        tokio::time::sleep(CONTACT).await;

        site.expect_turned_away(1).await;
    });
}

/// The agents that were told of the crashes start again before an entry starts.
#[test]
fn agents_start_again() {
    World::run(async {
        let mut site = CrashSite::start(STREAM, 1, 1).await;
        site.crash_five(0).await;
        let Site { agents, backends, port, .. } = &mut site.site;
        for (agent, backend) in agents.iter_mut().zip(backends) {
            agent.trigger();
            tokio::time::sleep(Duration::from_millis(100)).await;
            *agent = start_agent(backend, *port).await;
        }
        tokio::time::sleep(CONTACT).await;
        site.site.start_entry(1).await;
        tokio::time::sleep(CONTACT).await;

        site.expect_turned_away(1).await;
    });
}

/// Sound requests share the first part, and at times another, with those that crash servers.
#[test]
fn sound_prompts_served() {
    World::run(async {
        let site = CrashSite::start(STREAM, 1, 2).await;
        site.crash_five(0).await;
        tokio::time::sleep(CONTACT * 2).await;

        let mut served = 0;
        for number in 0..20 {
            site.send(number % 2, &format!("{FIRST},{CRASHING},{number:x}2")).await;
            let reply = site.send(number % 2, &format!("{FIRST},{number:x}0")).await;
            served += usize::from(reply.is_some_and(|reply| reply.is_complete));
            tokio::time::sleep(INTERVAL).await;
        }
        assert!(served >= 18, "{served} of 20 sound requests were served");
    });
}

/// Servers end for another reason while sound requests with a common part are sent.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::in_turn(Duration::from_millis(700))]
fn other_crashes_blame_nobody(#[case] gap: Duration) {
    World::run(async move {
        let site = CrashSite::start(STREAM, 1, 1).await;
        for _ in 0..3 {
            assert!(site.send(0, "a1,a2").await.is_some_and(|reply| reply.is_complete));
            for backend in &site.site.backends {
                let mut caller = site.site.entries[0].caller().await;
                let extra = "x-parts: a1,a2\r\n";
                let call = Call { extra, ..Call::new("a", "/write/1") };
                caller.send(&call).await.expect("the entry reads the request");
                tokio::time::sleep(Duration::from_millis(10)).await;
                backend.crash(Duration::from_secs(1));
                tokio::time::sleep(gap).await;
                if !gap.is_zero() {
                    site.send(0, "a1,a2").await;
                }
            }
            tokio::time::sleep(DOWN).await;
        }

        for _ in 0..5 {
            let reply = site.send(0, "a1,a2").await.expect("a response");
            assert!(reply.is_complete && reply.status == 200);
        }
    });
}
