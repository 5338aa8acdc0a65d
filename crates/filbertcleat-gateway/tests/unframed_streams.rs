//! Streams whose end is marked by nothing but the end of their connection.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Identity;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::caller::Reply;
use self::support::route;

const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const FIVE_EVENTS: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };
const DOWN: Duration = Duration::from_secs(5);

fn events(count: u64) -> &'static str {
    (1..=count).map(event).collect::<String>().leak()
}

fn three_then_end() -> Script {
    Script::UnframedThenEnd { body: events(3), after: Duration::from_millis(50), down: DOWN }
}

/// Starts an entry with a server, and returns the reply to a stream's request with the time that
/// it took.
async fn call(writer: &Backend) -> (World, Reply, Duration) {
    let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[writer]).await;
    let started = Instant::now();
    let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;
    (world, reply.expect("a response head"), started.elapsed())
}

/// A process that ends closes its connections in order, also between two events.
#[test]
fn ended_server_cuts() {
    World::run(async {
        let script = three_then_end();
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert!(!reply.is_complete);
        assert_eq!(reply.body, events(3));
        assert_eq!(writer.crashes.get(), 1);
    });
}

#[test]
fn ended_server_resumed() {
    World::run(async {
        let (one, two) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", FIVE_EVENTS).await);
        two.script_next(three_then_end());
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one, &two]).await;

        let (mut first, mut second) = (world.caller().await, world.caller().await);
        first.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        second.send(&Call::new("b", "/write/1")).await.expect("the entry reads the request");

        for caller in [&mut first, &mut second] {
            let reply = caller.read_reply().await.expect("a response");
            assert_eq!(reply.body, events(5));
            assert!(reply.is_complete);
        }
        assert_eq!(two.crashes.get(), 1);
    });
}

/// Guards also against a server that has started again under its id and passes for the start that sent the
/// stream, as an answer names the server alone or nobody, though the report tells the start.
#[rstest]
#[case::other(Identity::Other)]
#[case::restarted(Identity::Restarted)]
#[case::silent(Identity::Silent)]
#[case::closed(Identity::Closed)]
#[case::bad_request(Identity::BadRequest)]
#[case::only_health(Identity::OnlyHealth)]
#[case::restarted_health(Identity::RestartedHealth)]
#[case::nameless_refusal(Identity::Full)]
fn unproven_end_cuts(#[case] identity: Identity) {
    World::run(async {
        let writer = Backend::start("w1", Script::Unframed { body: events(3) }).await;
        writer.identify_as(identity);
        let (_, reply, took) = call(&writer).await;

        assert!(!reply.is_complete);
        assert!(took < Duration::from_secs(4), "{took:?}");
        assert!(writer.asked_at.borrow().len() <= 4, "{:?}", writer.asked_at);
    });
}

#[rstest]
#[case::own(Identity::Own, 100, 1)]
#[case::full(Identity::FullHealth, 500, 3)]
#[case::late(Identity::Late(Duration::from_millis(1_200)), 1_300, 1)]
#[case::only_start(Identity::OnlyStart, 100, 1)]
#[case::nameless_report(Identity::NamelessReport, 200, 2)]
#[case::closed_first(Identity::ClosedFirst(3), 1_500, 4)]
#[case::nameless_then_closed(Identity::NamelessThenClosed, 1_500, 4)]
fn living_server_believed(
    #[case] identity: Identity,
    #[case] limit_ms: u64,
    #[case] questions: usize,
) {
    World::run(async {
        let writer = Backend::start("w1", Script::Unframed { body: events(3) }).await;
        writer.identify_as(identity);
        let (world, reply, took) = call(&writer).await;

        assert!(reply.is_complete);
        assert_eq!(reply.body, events(3));
        assert!(took <= Duration::from_millis(limit_ms), "{took:?}");
        assert_eq!(writer.asked_at.borrow().len(), questions);
        let ends = world.metric("filbertcleat_stream_ends{framing=\"connection\"}").await;
        assert_eq!(ends, Some(1));
    });
}

/// Guards against a stream that its server gives up at the deadline, as it was told, and that passes
/// for complete since the server lives on.
#[rstest]
#[case::not_resumable(NOT_RESUMABLE)]
#[case::resumable(RESUMABLE)]
fn end_at_deadline_cuts(#[case] policy: RetryPolicy) {
    World::run(async move {
        let script = Script::UnframedUntilDeadline { body: events(3) };
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", policy, 2)], &[&writer]).await;
        let call = Call { wait_ms: 1_000, ..Call::new("a", "/write/1") };

        let reply = world.caller().await.call(&call).await.expect("a response head");

        assert_eq!(reply.body, events(3));
        assert!(!reply.is_complete);
        let ends = world.metric("filbertcleat_end_checks{outcome=\"stopped\"}").await;
        assert_eq!(ends, Some(1));
    });
}

/// The server is told whole milliseconds, so that its deadline may come before that of the request.
#[test]
fn end_at_told_deadline_cuts() {
    World::run(async {
        let script = Script::UnframedUntilDeadline { body: events(3) };
        let writer = Backend::start("w1", script).await;
        writer.identify_as(Identity::Late(Duration::from_millis(10)));
        let world = World::start(vec![route("write", RESUMABLE, 1)], &[&writer]).await;
        let mut caller = world.caller().await;
        // Timers fire at whole milliseconds: the deadline of the server is one, that of the request
        // is 0.7 ms later.
        tokio::time::advance(Duration::from_micros(700)).await;
        let call = Call { wait_ms: 1_000, ..Call::new("a", "/write/1") };
        caller.send(&call).await.expect("the entry reads the request");
        while writer.asked_at.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        tokio::time::advance(Duration::from_micros(300)).await;

        let reply = caller.read_reply().await.expect("a response head");

        assert_eq!(reply.body, events(3));
        assert!(!reply.is_complete);
    });
}

/// A stream that ends before its deadline is complete also if the server answers after it.
#[test]
fn end_before_deadline_believed() {
    World::run(async {
        let whole = Box::new(Script::Unframed { body: events(3) });
        let script = Script::Delayed { after: Duration::from_millis(950), script: whole };
        let writer = Backend::start("w1", script).await;
        writer.identify_as(Identity::Late(Duration::from_millis(100)));
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;
        let call = Call { wait_ms: 1_000, ..Call::new("a", "/write/1") };

        let reply = world.caller().await.call(&call).await.expect("a response head");

        assert!(reply.is_complete);
        assert_eq!(reply.body, events(3));
    });
}

/// A caller that has all events takes up a stream of which no event is left.
#[test]
fn empty_rest_believed() {
    World::run(async {
        let writer = Backend::start("w1", Script::Unframed { body: "" }).await;
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&writer]).await;
        let extra = "x-after: 3\r\nx-resumes: a\r\n";

        let reply = world.caller().await.call(&Call { extra, ..Call::new("b", "/write/1") }).await;

        assert!(reply.expect("a response head").is_complete);
        assert_eq!(writer.arrivals(), 1);
    });
}

/// Other transfer codings than chunks leave the end of a body unmarked.
#[test]
fn unknown_coding_is_unframed() {
    World::run(async {
        let script = three_then_end();
        let script = script.with_headers("transfer-encoding: identity\r\n");
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(!reply.is_some_and(|reply| reply.is_complete));
    });
}

#[test]
fn framed_stream_not_asked() {
    World::run(async {
        let writer = Backend::start("w1", FIVE_EVENTS).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(reply.expect("a response").is_complete);
        assert_eq!(writer.asked_at.borrow().len(), 0);
    });
}

/// All streams of a server end at the same moment as its process does.
#[rstest]
#[case::ended(true)]
#[case::living(false)]
fn streams_end_at_once(#[case] ends: bool) {
    World::run(async {
        let living = Script::Unframed { body: events(3) };
        let script = if ends { three_then_end() } else { living };
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let mut callers = Vec::new();
        for id in ["a", "b", "c", "d"] {
            let mut caller = world.caller().await;
            caller.send(&Call::new(id, "/write/1")).await.expect("the entry reads the request");
            callers.push(caller);
        }

        for mut caller in callers {
            let is_complete = caller.read_reply().await.is_some_and(|reply| reply.is_complete);
            assert_eq!(is_complete, !ends);
        }
        assert_eq!(writer.crashes.get(), usize::from(ends));
    });
}

/// A move to another server is given up when the end of the first one turns out to be proper.
#[test]
fn late_proof_ends_move() {
    World::run(async {
        let (one, two) = (
            Backend::start("w1", Script::Unframed { body: events(3) }).await,
            Backend::start("w2", Script::Silent).await,
        );
        one.identify_as(Identity::LateAfterFirst(Duration::from_secs(2)));
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one, &two]).await;

        let (mut first, mut second) = (world.caller().await, world.caller().await);
        first.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        second.send(&Call::new("b", "/write/1")).await.expect("the entry reads the request");

        let reply = tokio::select! {
            reply = first.read_reply() => reply,
            reply = second.read_reply() => reply,
        };
        assert_eq!(two.arrivals(), 2, "a move and a request");
        let reply = reply.expect("a response");
        assert!(reply.is_complete);
        assert_eq!(reply.body, events(3));
    });
}
