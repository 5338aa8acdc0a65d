//! A request that may be repeated.

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

const USUAL: Script =
    Script::Answer { status: 200, body: "freed", after: Duration::from_millis(60) };

#[rstest]
#[case::closed(Script::Close)]
#[case::foreign(Script::Foreign)]
#[case::unsealed(Script::Unsealed)]
#[case::not_run(Script::NotRun)]
#[case::failed(Script::Answer { status: 500, body: "no", after: Duration::ZERO })]
fn repeated_elsewhere(#[case] script: Script) {
    World::run(async {
        let (one, two) = (Backend::start("d1", USUAL).await, Backend::start("d2", USUAL).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;
        one.next(script);

        let mut caller = world.caller().await;
        for id in ["a", "b", "c"] {
            let reply = caller.call(&Call::new(id, "/cancel/1")).await.expect("an answer");
            assert_eq!((reply.status, reply.body.as_str()), (200, "freed"));
        }
        assert_eq!(one.arrivals() + two.arrivals(), 4);
    });
}

#[test]
fn last_failure_is_told() {
    World::run(async {
        let failing = Script::Answer { status: 500, body: "no", after: Duration::ZERO };
        let (one, two) =
            (Backend::start("d1", failing.clone()).await, Backend::start("d2", failing).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;

        let reply = world.caller().await.call(&Call::new("a", "/cancel/1")).await;

        let reply = reply.expect("an answer");
        assert_eq!((reply.status, reply.body.as_str()), (500, "no"));
        assert!(reply.header("x-seal").is_some());
        assert_eq!(one.arrivals() + two.arrivals(), 2);
    });
}

/// A refusal says that the request has not run; after a send that may have run none can.
#[rstest]
#[case::second_not_run(RetryPolicy::Idempotent, &[Script::Close, Script::NotRun], 2)]
#[case::no_second(RetryPolicy::Idempotent, &[Script::Close], 2)]
#[case::stream_without_room(RetryPolicy::Stream { resumable: true }, &[Script::Close], 2)]
fn refusal_is_true(#[case] rule: RetryPolicy, #[case] scripts: &[Script], #[case] sends_max: u32) {
    World::run(async {
        let prefix = if matches!(rule, RetryPolicy::Stream { .. }) { "w" } else { "d" };
        let mut backends = Vec::new();
        for (number, script) in (0..).zip(scripts) {
            backends.push(Backend::start(&format!("{prefix}{number}"), script.clone()).await);
        }
        let all: Vec<_> = backends.iter().collect();
        let world = World::start(vec![route("cancel", rule, sends_max)], &all).await;

        for id in ["a", "b", "c", "d"] {
            let reply = world.caller().await.call(&Call::new(id, "/cancel/1")).await;
            let reply = reply.expect("an answer");
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
fn repeats_have_a_budget() {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", Script::Close).await, Backend::start("d2", Script::Close).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;

        let mut caller = world.caller().await;
        for _ in 0..100 {
            caller.call(&Call::new("same", "/cancel/1")).await.expect("an answer");
        }

        // The grant is 0.2 x 100 + 160 for sixteen entries of which this is one.
        let repeats = one.arrivals() + two.arrivals() - 100;
        assert!((1..=30).contains(&repeats), "{repeats} repeats");
    });
}

#[test]
fn grant_may_change() {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", Script::Close).await, Backend::start("d2", Script::Close).await);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;
        world.grants.send_replace(RetryBudgetSettings {
            ratio: 0.0,
            slack: 0.0,
            window_ms: 10_000,
        });

        let mut caller = world.caller().await;
        for _ in 0..20 {
            caller.call(&Call::new("same", "/cancel/1")).await.expect("an answer");
        }

        assert_eq!(one.arrivals() + two.arrivals(), 20);
    });
}
