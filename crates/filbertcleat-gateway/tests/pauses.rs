//! Backend servers that ask for a pause when they turn a request away.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;
use self::support::world::listed;

const PAUSE_3_S: &str = "x-pause-ms: 3000\r\n";
const PAUSE_5_S: &str = "x-pause-ms: 5000\r\n";
const RESPONSE: Script = Script::Respond { status: 200, body: "freed", after: Duration::ZERO };
const FAILURE: Script = Script::Respond { status: 503, body: "no", after: Duration::ZERO };
const EVENTS: Script = Script::Events { count: 3, pause: Duration::from_millis(20) };
const IDEMPOTENT: RetryPolicy = RetryPolicy::Idempotent;
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };

/// Sends a request each 100 ms for the given time.
async fn send_for(world: &World, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let reply = world.caller().await.call(&Call::new("q7", "/cancel/1")).await;
        reply.expect("a response");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Sends requests at the same time, all of which are to be refused.
async fn send_at_once(world: &World, requests: usize) {
    let mut callers = Vec::new();
    for _ in 0..requests {
        let mut caller = world.caller().await;
        callers.push(spawn_local(async move {
            caller.call(&Call::new("q7", "/cancel/1")).await.expect("a response")
        }));
    }
    for caller in callers {
        assert_eq!(caller.await.expect("no panic").status, 503);
    }
}

#[rstest]
#[case::not_run(Script::NotRun)]
#[case::failure(FAILURE)]
fn pause_kept(#[case] script: Script) {
    World::run(async {
        let paused = Backend::start("d1", RESPONSE).await;
        let other = Backend::start("d2", RESPONSE).await;
        let world = World::start(vec![route("cancel", IDEMPOTENT, 2)], &[&paused, &other]).await;
        paused.script_next(script.with_headers(PAUSE_3_S));

        send_for(&world, Duration::from_millis(2_700)).await;
        assert_eq!(paused.arrivals(), 1);
        assert_eq!(world.metric("filbertcleat_servers{are=\"paused\"}").await, Some(1));
        assert_eq!(world.metric("filbertcleat_pauses{by=\"answer\"}").await, Some(1));

        tokio::time::sleep(Duration::from_millis(500)).await;
        send_for(&world, Duration::from_millis(500)).await;

        assert!(paused.arrivals() >= 3, "it is open again and is not taken for broken");
        assert_eq!(world.metric("filbertcleat_servers{are=\"paused\"}").await, Some(0));
    });
}

/// Several requests are on their way when the first is turned away.
#[test]
fn pause_kept_by_retries() {
    World::run(async {
        let turning_away = Script::NotRun.with_headers(PAUSE_5_S);
        let one = Backend::start("d1", turning_away.clone()).await;
        let two = Backend::start("d2", turning_away).await;
        let world = World::start(vec![route("cancel", IDEMPOTENT, 3)], &[&one, &two]).await;
        send_at_once(&world, 12).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let arrivals = (one.arrivals(), two.arrivals());

        send_for(&world, Duration::from_secs(4)).await;

        assert_eq!((one.arrivals(), two.arrivals()), arrivals);
    });
}

#[rstest]
#[case::plain("d", "/cancel/1", IDEMPOTENT)]
#[case::engine("w", "/cancel/1", RESUMABLE)]
fn all_paused(#[case] prefix: &str, #[case] path: &'static str, #[case] policy: RetryPolicy) {
    World::run(async {
        let (first, second) = (format!("{prefix}1"), format!("{prefix}2"));
        let one = Backend::start(&first, Script::NotRun.with_headers(PAUSE_5_S)).await;
        let two = Backend::start(&second, Script::NotRun.with_headers(PAUSE_3_S)).await;
        let world = World::start(vec![route("cancel", policy, 2)], &[&one, &two]).await;
        world.caller().await.call(&Call::new("q0", path)).await.expect("a response");
        assert_eq!((one.arrivals(), two.arrivals()), (1, 1));
        tokio::time::sleep(Duration::from_secs(1)).await;

        let mut waits_ms = Vec::new();
        for id in ["q1", "q2", "q3", "q4", "q5", "q6", "q7", "q8"] {
            let sent_at = Instant::now();
            let reply = world.caller().await.call(&Call::new(id, path)).await.expect("a response");
            assert!(sent_at.elapsed() < Duration::from_millis(50), "it is refused at once");
            assert_eq!(reply.status, 503);
            let wait_s: f64 =
                reply.header("retry-after").expect("it says when").parse().expect("s");
            waits_ms.push((wait_s * 1_000.0) as u64);
        }

        assert_eq!((one.arrivals(), two.arrivals()), (1, 1));
        assert!(waits_ms.iter().all(|ms| (1_500..=4_000).contains(ms)), "{waits_ms:?}");
        waits_ms.sort_unstable();
        waits_ms.dedup();
        assert!(waits_ms.len() >= 6, "callers return at different times: {waits_ms:?}");
    });
}

/// A request that waits for a busy engine is refused when the last open engine asks for a pause.
#[test]
fn queued_request_refused() {
    World::run(async {
        let turning_away = Script::NotRun.with_headers(PAUSE_5_S);
        let writer = Backend::start("w1", turning_away).await;
        let world = World::start(vec![route("cancel", RESUMABLE, 1)], &[&writer]).await;
        let sent_at = Instant::now();
        send_at_once(&world, 20).await;

        assert!(sent_at.elapsed() < Duration::from_millis(200));
        assert!(writer.arrivals() <= 8, "the engine runs eight requests at once");
    });
}

#[test]
fn resume_keeps_pause() {
    World::run(async {
        let broken = Backend::start("w1", EVENTS).await;
        let paused = Backend::start("w2", Script::NotRun.with_headers(PAUSE_5_S)).await;
        let world = World::start(vec![route("cancel", RESUMABLE, 3)], &[&paused]).await;
        world.caller().await.call(&Call::new("q0", "/cancel/1")).await.expect("a response");
        let row = ListingChange::Upserted(listed(&broken));
        world.catalogue.write(CatalogueEvent::Listing(row));
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        broken.script_next(Script::EventsThenCut { count: 2 });

        let reply = world.caller().await.call(&Call::new("q7", "/cancel/1")).await;

        assert!(reply.expect("a response").is_complete, "the stream is resumed where it began");
        assert_eq!((broken.arrivals(), paused.arrivals()), (2, 1));
    });
}

#[test]
fn rows_keep_pause() {
    World::run(async {
        let paused = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("cancel", IDEMPOTENT, 2)], &[&paused]).await;
        paused.script_next(Script::NotRun.with_headers(PAUSE_5_S));
        send_for(&world, Duration::from_millis(100)).await;

        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Removed(listed(&paused).id)));
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&paused))));
        tokio::time::sleep(Duration::from_secs(2)).await;
        send_for(&world, Duration::from_secs(2)).await;

        assert_eq!(paused.arrivals(), 1);
    });
}

/// Other answers with the header ask for nothing.
#[rstest]
#[case::success(200)]
#[case::not_found(404)]
#[case::too_many(429)]
fn other_status_no_pause(#[case] status: u16) {
    World::run(async {
        let script = Script::Respond { status, body: "x", after: Duration::ZERO };
        let server = Backend::start("d1", script.with_headers(PAUSE_5_S)).await;
        let world = World::start(vec![route("cancel", IDEMPOTENT, 1)], &[&server]).await;

        send_for(&world, Duration::from_millis(500)).await;

        assert_eq!(server.arrivals(), 5);
    });
}

/// The request that is turned away itself is told when the server opens, also without a retry left.
#[rstest]
#[case::idempotent(IDEMPOTENT, 1)]
#[case::at_most_once(RetryPolicy::AtMostOnce, 1)]
#[case::with_retries(IDEMPOTENT, 3)]
fn first_refusal_tells(#[case] policy: RetryPolicy, #[case] attempts_max: u32) {
    World::run(async {
        let server = Backend::start("d1", Script::NotRun.with_headers(PAUSE_3_S)).await;
        let world = World::start(vec![route("cancel", policy, attempts_max)], &[&server]).await;

        let reply = world.caller().await.call(&Call::new("q7", "/cancel/1")).await;

        let reply = reply.expect("a response");
        let wait_s = reply.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        assert_eq!((reply.status, server.arrivals()), (503, 1));
        assert!(wait_s.is_some_and(|wait_s| (2.9..=4.0).contains(&wait_s)), "{wait_s:?}");
        let drawn = "filbertcleat_repeats{outcome=\"allowed\"}";
        assert_eq!(world.metric(drawn).await, None, "no retry was drawn");
    });
}

/// The answer that asks for the pause comes after its caller has left, or after its deadline.
#[rstest]
#[case::caller_left("d", IDEMPOTENT, 5_000, 100)]
#[case::caller_left_engine("w", RESUMABLE, 5_000, 100)]
#[case::deadline_passed("d", IDEMPOTENT, 100, 400)]
fn unread_pause_kept(
    #[case] prefix: &str,
    #[case] policy: RetryPolicy,
    #[case] wait_ms: u64,
    #[case] leaves_after_ms: u64,
) {
    World::run(async move {
        let (first, second) = (format!("{prefix}1"), format!("{prefix}2"));
        let sound = if prefix == "w" { EVENTS } else { RESPONSE };
        let one = Backend::start(&first, sound.clone()).await;
        let two = Backend::start(&second, sound).await;
        let world = World::start(vec![route("cancel", policy, 2)], &[&one, &two]).await;
        let late = Script::Respond { status: 503, body: "no", after: Duration::from_millis(300) };
        for backend in [&one, &two] {
            backend.script_next(late.clone().with_headers(PAUSE_3_S));
        }
        let mut caller = world.caller().await;
        caller.send(&Call { wait_ms, ..Call::new("a", "/cancel/1") }).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(leaves_after_ms)).await;
        drop(caller);
        tokio::time::sleep(Duration::from_millis(700)).await;
        let paused = if one.arrivals() == 1 { &one } else { &two };
        one.drop_scripts();
        two.drop_scripts();
        assert_eq!(world.metric("filbertcleat_servers{are=\"paused\"}").await, Some(1));

        send_for(&world, Duration::from_secs(2)).await;

        assert_eq!(paused.arrivals(), 1, "requests reached the server in its pause");
    });
}

/// A silent server goes on while another one is asked to continue its stream, and the other one asks
/// for a pause just then.
#[test]
fn cancelled_pause_kept() {
    World::run(async {
        let servers = [Backend::start("w1", EVENTS).await, Backend::start("w2", EVENTS).await];
        let world =
            World::start(vec![route("cancel", RESUMABLE, 3)], &[&servers[0], &servers[1]]).await;
        let silence = Duration::from_millis(1_600);
        let late = Script::Respond { status: 503, body: "no", after: Duration::from_millis(130) };
        for server in &servers {
            server.script_next(Script::EventsWithSilence { count: 3, after: 1, silence });
        }
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/cancel/1")).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let other =
            servers.iter().find(|server| server.arrivals() == 0).expect("one has the stream");
        other.drop_scripts();
        other.script_next(late.with_headers(PAUSE_3_S));
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(other.arrivals(), 1, "the other server was asked");
        assert_eq!(world.metric("filbertcleat_servers{are=\"paused\"}").await, Some(1));

        send_for(&world, Duration::from_secs(2)).await;

        assert_eq!(other.arrivals(), 1, "requests reached the server in its pause");
    });
}

/// A server that works on for long after its caller has left is told to stop.
#[test]
fn left_request_cancelled() {
    World::run(async {
        let backend = Backend::start("d1", Script::Silent).await;
        let world = World::start(vec![route("cancel", IDEMPOTENT, 1)], &[&backend]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/cancel/1")).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(caller);

        tokio::time::sleep(Duration::from_millis(450)).await;

        assert_eq!(backend.cancelled.get(), 1);
    });
}
