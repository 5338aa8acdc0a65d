//! Streams that backend servers break off while they go on serving.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
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

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const TOTAL: u64 = 5;
/// Longer than the backoff after the first failure of a server.
const PAST_BACKOFF: Duration = Duration::from_millis(400);
const FAILS: Script = Script::Respond { status: 500, body: "no", after: Duration::ZERO };
/// Longer than the stall timeout by less than `PAST_BACKOFF`.
const PAST_STALL: Duration = Duration::from_millis(1_600);

fn stream(steps: &[StreamStep]) -> Script {
    framed_stream(Framing::Chunked, steps)
}

fn framed_stream(framing: Framing, steps: &[StreamStep]) -> Script {
    Script::Stream(ScriptedStream {
        total: TOTAL,
        version: "v1",
        framing,
        pad_bytes: 0,
        steps: steps.to_vec(),
    })
}

/// Starts an entry with servers, of which the first has failed before, so that it is chosen last.
async fn start(failed_before: &Backend, others: &[&Backend]) -> World {
    let world = World::start(vec![route("write", RESUMABLE, 4)], &[failed_before]).await;
    for _ in 0..3 {
        failed_before.script_next(FAILS);
        call(&world).await;
    }
    for backend in others {
        let change = ListingChange::Upserted(listed(backend));
        world.catalogue.write(CatalogueEvent::Listing(change));
    }
    tokio::time::sleep(LISTING_DELAY).await;
    world
}

async fn call(world: &World) -> Reply {
    let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;
    reply.expect("a response head")
}

fn assert_whole(reply: &Reply) {
    assert!(reply.is_complete);
    let ids = reply.body.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    assert_eq!(ids, (1..=TOTAL).collect::<Vec<_>>());
}

/// Guards against a return to the server that broke a stream off while one that has not is free.
#[test]
fn untried_server_first() {
    World::run(async {
        let breaks = [StreamStep::Events(1), StreamStep::Wait(PAST_BACKOFF), StreamStep::Reset];
        let one = Backend::start("w1", stream(&breaks)).await;
        let two = Backend::start("w2", stream(&breaks)).await;
        let three = Backend::start("w3", stream(&[])).await;
        let world = start(&three, &[&one, &two]).await;

        let reply = call(&world).await;

        assert_whole(&reply);
        assert_eq!((one.arrivals(), two.arrivals(), three.arrivals()), (1, 1, 4));
    });
}

/// The silent server breaks the stream off while another one is asked for the rest, and that one
/// fails.
#[test]
fn silent_breaker_last() {
    World::run(async {
        let silent_breaks =
            [StreamStep::Events(2), StreamStep::Wait(PAST_STALL), StreamStep::Reset];
        let fails = Script::Respond { status: 500, body: "no", after: PAST_BACKOFF * 2 };
        let silent = Backend::start("w1", stream(&silent_breaks)).await;
        let failing = Backend::start("w2", fails).await;
        let sound = Backend::start("w3", stream(&[])).await;
        let world = start(&sound, &[&silent, &failing]).await;

        let reply = call(&world).await;

        assert_whole(&reply);
        assert_eq!((silent.arrivals(), failing.arrivals(), sound.arrivals()), (1, 1, 4));
    });
}

/// Guards against the loss of a stream that only the server which broke it off can finish.
#[test]
fn lone_server_again() {
    World::run(async {
        let one = Backend::start("w1", stream(&[])).await;
        let world = World::start(vec![route("write", RESUMABLE, 4)], &[&one]).await;
        one.script_next(stream(&[StreamStep::Events(2), StreamStep::Reset]));

        let reply = call(&world).await;

        assert_whole(&reply);
        assert_eq!(one.arrivals(), 2);
    });
}

/// A stream that broke off between its last event and its end is complete once a server shows that
/// nothing is left.
#[rstest]
#[case::chunked(Framing::Chunked)]
#[case::with_length(Framing::Length)]
fn empty_rest_completes(#[case] framing: Framing) {
    World::run(async move {
        let one = Backend::start("w1", framed_stream(framing, &[])).await;
        let world = World::start(vec![route("write", RESUMABLE, 4)], &[&one]).await;
        one.script_next(stream(&[StreamStep::Events(TOTAL), StreamStep::Reset]));

        let reply = call(&world).await;

        assert_whole(&reply);
        assert_eq!(one.arrivals(), 2);
    });
}
