//! Retries of requests and the retry budget.

mod support;

use std::time::Duration;

use filbertcleat_gateway::RetryBudgetSettings;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;

const RESPONSE: Script =
    Script::Respond { status: 200, body: "freed", after: Duration::from_millis(60) };

#[rstest]
#[case::closed(Script::Close)]
#[case::foreign_id(Script::ForeignId)]
#[case::unsealed(Script::Unsealed)]
#[case::not_run(Script::NotRun)]
#[case::failed(Script::Respond { status: 500, body: "no", after: Duration::ZERO })]
fn retried_elsewhere(#[case] script: Script) {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", RESPONSE).await, Backend::start("d2", RESPONSE).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;
        one.script_next(script);

        let mut caller = world.caller().await;
        for id in ["a", "b", "c"] {
            let reply = caller.call(&Call::new(id, "/cancel/1")).await.expect("a response");
            assert_eq!((reply.status, reply.body.as_str()), (200, "freed"));
        }
        assert_eq!(one.arrivals() + two.arrivals(), 4);
    });
}

#[test]
fn last_failure_returned() {
    World::run(async {
        let failing = Script::Respond { status: 500, body: "no", after: Duration::ZERO };
        let (one, two) =
            (Backend::start("d1", failing.clone()).await, Backend::start("d2", failing).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;

        let reply = world.caller().await.call(&Call::new("a", "/cancel/1")).await;

        let reply = reply.expect("a response");
        assert_eq!((reply.status, reply.body.as_str()), (500, "no"));
        assert!(reply.header("x-seal").is_some());
        assert_eq!(one.arrivals() + two.arrivals(), 2);
    });
}

/// A 503 states that the request was not run, so it must not follow an attempt that may have run
/// it.
#[rstest]
#[case::second_not_run(RetryPolicy::Idempotent, &[Script::Close, Script::NotRun], 2)]
#[case::no_second(RetryPolicy::Idempotent, &[Script::Close], 2)]
#[case::stream_without_server(RetryPolicy::Stream { resumable: true }, &[Script::Close], 2)]
fn refusal_is_truthful(
    #[case] rule: RetryPolicy,
    #[case] scripts: &[Script],
    #[case] attempts_max: u32,
) {
    World::run(async {
        let prefix = if matches!(rule, RetryPolicy::Stream { .. }) { "w" } else { "d" };
        let mut backends = Vec::new();
        for (number, script) in (0..).zip(scripts) {
            backends.push(Backend::start(&format!("{prefix}{number}"), script.clone()).await);
        }
        let all: Vec<_> = backends.iter().collect();
        let world = World::start(vec![route("cancel", rule, attempts_max)], &all).await;

        for id in ["a", "b", "c", "d"] {
            let reply = world.caller().await.call(&Call::new(id, "/cancel/1")).await;
            let reply = reply.expect("a response");
            let has_run = backends.iter().zip(scripts).any(|(backend, script)| {
                let seen = backend.seen.borrow();
                matches!(script, Script::Close)
                    && seen.iter().any(|head| head.contains(&format!("x-id: {id}\r\n")))
            });
            assert!(!has_run || reply.status == 502, "{id} had run and got {}", reply.status);
        }
    });
}

#[test]
fn retries_have_budget() {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", Script::Close).await, Backend::start("d2", Script::Close).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;

        let mut caller = world.caller().await;
        for _ in 0..100 {
            caller.call(&Call::new("same", "/cancel/1")).await.expect("a response");
        }

        // The budget is 0.2 x 100 requests + 160 / 16: sixteen entries are assumed until an agent
        // reports their number.
        let retries = one.arrivals() + two.arrivals() - 100;
        assert!((1..=30).contains(&retries), "{retries} retries");
    });
}

#[test]
fn budget_may_change() {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", Script::Close).await, Backend::start("d2", Script::Close).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;
        world.retry_budget.send_replace(RetryBudgetSettings {
            ratio: 0.0,
            slack: 0.0,
            window_ms: 10_000,
        });

        let mut caller = world.caller().await;
        for _ in 0..20 {
            caller.call(&Call::new("same", "/cancel/1")).await.expect("a response");
        }

        assert_eq!(one.arrivals() + two.arrivals(), 20);
    });
}
