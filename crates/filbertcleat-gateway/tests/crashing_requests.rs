//! A request that crashes every server that runs it.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Call;
use self::support::CrashSite;
use self::support::Script;
use self::support::Site;
use self::support::World;
use self::support::crash_site::CONTACT;
use self::support::crash_site::CRASHING;
use self::support::crash_site::DOWN;
use self::support::crash_site::IDEMPOTENT;
use self::support::crash_site::INTERVAL;
use self::support::crash_site::LATE_ARRIVALS_MAX;
use self::support::crash_site::ONCE;
use self::support::crash_site::RESPONSE;
use self::support::crash_site::STREAM;
use self::support::idle_agent::start_agent;
use self::support::route;
use self::support::world::listed;

#[rstest]
#[case::single_attempt(IDEMPOTENT, 1)]
#[case::retried(IDEMPOTENT, 2)]
#[case::at_most_once(ONCE, 1)]
#[case::stream(STREAM, 1)]
fn crashing_request_stopped(#[case] policy: RetryPolicy, #[case] attempts_max: u32) {
    World::run(async move {
        let mut site = CrashSite::start(policy, attempts_max, 1).await;
        site.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;

        site.expect_turned_away(0).await;
    });
}

#[test]
fn other_entry_warned() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 1, 2).await;
        site.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;

        site.expect_turned_away(1).await;
    });
}

/// Each of three entries sees one server end.
#[test]
fn crashes_counted_together() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 1, 3).await;
        for entry in 0..3 {
            site.send_crashing(entry).await;
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep(CONTACT).await;

        for entry in 0..3 {
            site.send_crashing(entry).await;
            tokio::time::sleep(INTERVAL).await;
        }

        assert!(site.arrivals() - 3 <= LATE_ARRIVALS_MAX);
        assert_eq!(site.crashes(), 3);
    });
}

/// An entry starts after the crashes, and so do the agents that were told of them.
#[test]
fn started_entry_warned() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 2, 1).await;
        site.crash_three(0).await;
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

/// Sound requests of the same caller and route come beside the one that crashes servers.
#[test]
fn sound_requests_served() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 2, 2).await;
        site.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;

        let mut served = 0;
        for number in 0..20 {
            site.send_crashing(number % 2).await;
            let reply = site.send(number % 2, "/cancel/1").await;
            served += usize::from(reply.is_some_and(|reply| reply.status == 200));
            tokio::time::sleep(INTERVAL).await;
        }
        assert!(served >= 18, "{served} of 20 sound requests were served");
    });
}

/// Load pattern: a request that many callers send waits at each server, and is answered between
/// their ends, which have another reason.
#[test]
fn popular_request_served() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 2, 1).await;
        for round in 0..3 {
            for number in 0..site.site.backends.len() {
                let mut caller = site.site.entries[0].caller().await;
                caller.send(&Call::new("p", "/cancel/1")).await.expect("the entry reads");
                tokio::time::sleep(Duration::from_millis(10)).await;
                site.site.backends[number].crash(Duration::from_secs(1));
                tokio::time::sleep(Duration::from_millis(700)).await;
                let reply = site.send(0, "/cancel/1").await.expect("a response");
                assert_eq!(reply.status, 200, "round {round}, server {number}");
            }
            tokio::time::sleep(DOWN).await;
        }
    });
}

/// A sound request is sent again when its server ends, and fails with each that ends beside it.
#[test]
fn bystander_served() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 2, 1).await;
        for _ in 0..2 {
            let mut caller = site.site.entries[0].caller().await;
            caller.send(&Call::new("b", "/cancel/1")).await.expect("the entry reads");
            site.send_crashing(0).await;
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep(CONTACT).await;

        let reply = site.send(0, "/cancel/1").await.expect("a response");

        assert_eq!(reply.status, 200);
        site.expect_turned_away(0).await;
    });
}

/// Callers leave before the servers end under their requests.
#[test]
fn crashes_seen_after_callers_left() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 1, 1).await;
        for _ in 0..3 {
            let mut caller = site.site.entries[0].caller().await;
            caller.send(&Call::new("a", CRASHING)).await.expect("the entry reads");
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(caller);
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep(CONTACT).await;
        assert_eq!((site.arrivals(), site.crashes()), (3, 3));

        site.send_crashing(0).await;

        assert_eq!(site.arrivals(), 3, "the request reached one more server");
    });
}

/// Guards against servers that end under a request, after the head of their response, for which
/// nobody holds the request responsible because its caller has left.
#[test]
fn body_broken_after_caller_left() {
    World::run(async {
        let script = Script::CrashOnPart { part: "bad", down: DOWN, otherwise: Box::new(RESPONSE) };
        let servers = (0..4).map(|number| (format!("d{number}"), script.clone())).collect();
        let site = Site::start(vec![route("cancel", ONCE, 1)], servers, 1).await;
        let crashes = || site.backends.iter().map(|server| server.crashes.get()).sum::<usize>();
        let call = Call { extra: "x-parts: bad\r\n", ..Call::new("a", CRASHING) };
        for _ in 0..3 {
            let mut caller = site.entries[0].caller().await;
            caller.send(&call).await.expect("the entry reads");
            // The head of the response arrives, and its body is awaited.
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(caller);
            tokio::time::sleep(INTERVAL).await;
        }
        assert_eq!(crashes(), 3);

        site.send(0, &call).await;
        tokio::time::sleep(INTERVAL).await;

        assert_eq!(crashes(), 3, "the request ended one more server");
    });
}

/// Callers have left, and the entry has given up their requests, when the server ends under them. The
/// next request finds that the server has ended.
#[test]
fn late_crashes_seen() {
    World::run(async {
        let after = Duration::from_millis(600);
        let otherwise = Box::new(RESPONSE);
        let script = Script::CrashOnTarget { target: CRASHING, after, down: DOWN, otherwise };
        let servers = vec![("d0".to_owned(), script), ("w1".to_owned(), Script::Silent)];
        let site = Site::start(vec![route("cancel", IDEMPOTENT, 1)], servers, 1).await;
        let server = &site.backends[0];
        for started_unix_ms in 101..=103 {
            let mut caller = site.entries[0].caller().await;
            caller.send(&Call::new("a", CRASHING)).await.expect("the entry reads");
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(caller);
            tokio::time::sleep(Duration::from_millis(700)).await;
            site.send(0, &Call::new("b", "/cancel/1")).await;
            let started = ListedServer { started_unix_ms, ..listed(server) };
            site.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(started)));
            tokio::time::sleep(DOWN).await;
        }
        assert_eq!((server.arrivals_at(CRASHING), server.crashes.get()), (3, 3));

        site.send(0, &Call::new("c", CRASHING)).await;

        assert_eq!(server.arrivals_at(CRASHING), 3, "the request reached the server once more");
    });
}

/// Without engines there are no agents that pass on what entries learn.
#[test]
fn other_entry_warned_without_agents() {
    World::run(async {
        let mut site = CrashSite::start_with_engines(IDEMPOTENT, 1, 2, 0).await;
        site.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;
        let before = site.arrivals();

        site.send_crashing(1).await;

        assert_eq!(site.arrivals(), before, "the request reached one more server");
    });
}
