//! Resumed streams whose servers send other events than the next ones.

mod support;

use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Framing;
use self::support::Script;
use self::support::ScriptedStream;
use self::support::StreamStep;
use self::support::World;
use self::support::caller::Reply;
use self::support::route;
use self::support::site::LISTING_DELAY;
use self::support::world::listed;

const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const TOTAL: u64 = 5;

fn stream(steps: &[StreamStep]) -> Script {
    Script::Stream(ScriptedStream {
        total: TOTAL,
        version: "v1",
        framing: Framing::Chunked,
        pad_bytes: 0,
        steps: steps.to_vec(),
    })
}

/// Returns the numbers in the data of the events.
fn numbers(reply: &Reply) -> Vec<u64> {
    let data = reply.body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(|data| data.split(' ').next().and_then(|word| word.parse().ok()).expect("a number"))
        .collect()
}

/// Starts an entry with a server and a distant one, which is the second choice.
async fn start(attempts_max: u32, near: &Backend, far: &Backend) -> World {
    start_route(route("write", RESUMABLE, attempts_max), near, far).await
}

async fn start_route(route: Route, near: &Backend, far: &Backend) -> World {
    let world = World::start(vec![route], &[near]).await;
    let far = ListedServer { domain: FailureDomain::new("there"), ..listed(far) };
    world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(far)));
    tokio::time::sleep(LISTING_DELAY).await;
    world
}

async fn call(world: &World) -> Reply {
    let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;
    reply.expect("a response head")
}

/// A server that goes on after a later event than it was asked to leaves a gap, and where an event
/// without an id belongs can't be told.
#[rstest]
#[case::later(&[StreamStep::Skip(1)])]
#[case::from_the_start(&[StreamStep::Rewind])]
#[case::unnumbered(&[StreamStep::Rewind, StreamStep::Unnumbered])]
fn wrong_start_not_joined(#[case] wrong: &'static [StreamStep]) {
    World::run(async move {
        let one = Backend::start("w1", stream(&[])).await;
        one.script_next(stream(&[StreamStep::Events(2), StreamStep::Reset]));
        one.script_next(stream(wrong));
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one]).await;

        let reply = call(&world).await;

        assert_eq!((numbers(&reply), reply.is_complete), (vec![1, 2], false));
    });
}

/// A sound server takes the stream up after one that goes on wrongly.
#[test]
fn wrong_start_elsewhere() {
    World::run(async {
        let one = Backend::start("w1", stream(&[])).await;
        let two = Backend::start("w2", stream(&[])).await;
        let world = start(3, &one, &two).await;
        one.script_next(stream(&[StreamStep::Events(2), StreamStep::Reset]));
        two.script_next(stream(&[StreamStep::Skip(1)]));

        let reply = call(&world).await;

        assert_eq!((numbers(&reply), reply.is_complete), ((1..=TOTAL).collect(), true));
    });
}

/// A silent server is not given up for one that goes on wrongly.
#[test]
fn wrong_move_refused() {
    World::run(async {
        let silence = StreamStep::Wait(Duration::from_millis(1_800));
        let silent = Backend::start("w1", stream(&[StreamStep::Events(2), silence])).await;
        let wrong = Backend::start("w2", stream(&[StreamStep::Skip(1)])).await;
        let world = start(2, &silent, &wrong).await;

        let reply = call(&world).await;

        assert_eq!((numbers(&reply), reply.is_complete), ((1..=TOTAL).collect(), true));
        assert_eq!((silent.arrivals(), wrong.arrivals()), (1, 1));
    });
}

/// Nothing tells a new server after which event without an id it has to go on.
#[rstest]
#[case::from_the_start(&[StreamStep::Unnumbered, StreamStep::Unnumbered])]
#[case::after_numbered(&[StreamStep::Events(1), StreamStep::Unnumbered])]
fn unnumbered_not_repeated(
    #[case] events: &[StreamStep],
    #[values(StreamStep::Reset, StreamStep::Wait(Duration::from_secs(60)))] end: StreamStep,
) {
    let steps = [events, &[end]].concat();
    World::run(async move {
        let one = Backend::start("w1", stream(&steps)).await;
        let two = Backend::start("w2", stream(&[])).await;
        let world = start(3, &one, &two).await;

        let reply = call(&world).await;

        assert_eq!((numbers(&reply), reply.is_complete), (vec![1, 2], false));
    });
}

/// The position of a stream is known again after an event with an id.
#[test]
fn numbered_after_unnumbered() {
    World::run(async {
        let one = Backend::start("w1", stream(&[])).await;
        let steps = [StreamStep::Unnumbered, StreamStep::Events(1), StreamStep::Reset];
        one.script_next(stream(&steps));
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one]).await;

        let reply = call(&world).await;

        assert_eq!((numbers(&reply), reply.is_complete), ((1..=TOTAL).collect(), true));
    });
}

/// A stream that can't be resumed is forwarded as it is, also if its request names an event.
#[test]
fn unresumable_events_kept() {
    World::run(async {
        let one = Backend::start("w1", stream(&[StreamStep::Rewind])).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&one]).await;
        let call = Call { extra: "x-after: 3\r\n", ..Call::new("a", "/write/1") };

        let reply = world.caller().await.call(&call).await.expect("a response");

        assert_eq!((numbers(&reply), reply.is_complete), ((1..=TOTAL).collect(), true));
    });
}

/// Guards against the loss of an event without data that comes while a stream moves.
#[test]
fn dataless_event_kept() {
    World::run(async {
        let steps = [
            StreamStep::Events(2),
            StreamStep::Wait(Duration::from_millis(1_600)),
            StreamStep::IdOnly,
            StreamStep::Wait(Duration::from_millis(100)),
        ];
        let silent = Backend::start("w1", stream(&steps)).await;
        let other = Backend::start("w2", Script::Silent).await;
        let world = start(2, &silent, &other).await;

        let reply = call(&world).await;

        let ids: Vec<_> = reply.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!((ids.join(" ").as_str(), reply.is_complete), ("1 2 3 4 5", true));
        assert_eq!(other.arrivals(), 1);
    });
}

/// A caller that comes back gets no pieces of a run that did not go on after its last event.
#[test]
fn wrong_take_up_not_joined() {
    World::run(async {
        let one = Backend::start("w1", stream(&[])).await;
        let two = Backend::start("w2", stream(&[])).await;
        one.script_next(stream(&[StreamStep::Rewind]));
        let world = start(2, &one, &two).await;
        let call = Call { extra: "x-after: 3\r\nx-resumes: a\r\n", ..Call::new("b", "/write/1") };

        let reply = world.caller().await.call(&call).await.expect("a response head");

        assert_eq!((numbers(&reply), reply.is_complete), (vec![4, 5], true));
        assert_eq!((one.arrivals(), two.arrivals()), (1, 1));
    });
}

/// A server that goes on wrongly is asked once for a stream that stalls several times.
#[test]
fn wrong_server_asked_once() {
    World::run(async {
        let silence = StreamStep::Wait(Duration::from_millis(4_800));
        let silent = Backend::start("w1", stream(&[StreamStep::Events(2), silence])).await;
        let wrong = Backend::start("w2", stream(&[StreamStep::Skip(1)])).await;
        let mut slow = route("write", RESUMABLE, 5);
        slow.latency_objective_ms = 2_500;
        let world = start_route(slow, &silent, &wrong).await;
        let request = Call { wait_ms: 9_000, ..Call::new("a", "/write/1") };

        let reply = world.caller().await.call(&request).await.expect("a response head");

        assert!(reply.is_complete);
        assert_eq!(wrong.arrivals(), 1);
    });
}
