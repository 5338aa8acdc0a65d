//! Streams that last longer than an origin is remembered after their beginning.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Call;
use self::support::Framing;
use self::support::PowerSite;
use self::support::Script;
use self::support::ScriptedStream;
use self::support::StreamStep;
use self::support::World;
use self::support::power_site::begin;
use self::support::route;
use self::support::site::LISTING_DELAY;

/// The number of events that are sent before the stream breaks off, one a second: more than a minute.
const EVENTS: u64 = 75;
const TOTAL: u64 = 80;
const REST: Script = Script::Events { count: TOTAL, pause: Duration::ZERO };

/// Starts two backend servers, of which the first sends a long stream that breaks off.
async fn start() -> PowerSite {
    let mut slow = route("write", RetryPolicy::Stream { resumable: true }, 1);
    slow.timeout_ms = 200_000;
    let site = PowerSite::start_with_routes(2, vec![slow]).await;
    let second = [StreamStep::Events(1), StreamStep::Wait(Duration::from_secs(1))];
    let mut steps = second.repeat(EVENTS as usize);
    steps.push(StreamStep::Reset);
    let framing = Framing::Chunked;
    let script = ScriptedStream { total: TOTAL, version: "v1", framing, pad_bytes: 0, steps };
    site.backends[0].set_default(Script::Stream(script));
    site.list(0, "v1");
    site
}

/// Reads the long stream `a` at an entry until it breaks off, from its beginning or taken up with
/// another id. `meanwhile` runs when it has begun.
async fn read_long(world: &World, id: &'static str, meanwhile: impl AsyncFnOnce()) {
    let mut caller = world.caller().await;
    let extra = if id == "a" { "" } else { "x-after: 3\r\nx-resumes: a\r\n" };
    let call = Call { wait_ms: 150_000, extra, ..Call::new(id, "/write/1") };
    caller.send(&call).await.expect("sent");
    tokio::time::sleep(LISTING_DELAY).await;
    meanwhile().await;
    let reply = caller.read_reply().await.expect("a response");
    assert_eq!((reply.body.matches("id: ").count() as u64, reply.is_complete), (EVENTS, false));
}

/// Takes up the long stream and returns the status of the response.
async fn take_up(world: &World) -> u16 {
    let extra = format!("x-after: {EVENTS}\r\nx-resumes: a\r\n").leak();
    let call = Call { wait_ms: 50_000, extra, ..Call::new("last", "/write/1") };
    world.caller().await.call(&call).await.expect("a response").status
}

/// Begins another stream, so that all agents forget what has expired.
async fn forget_expired(world: &World) {
    let reply = world.caller().await.call(&Call::new("other", "/write/1")).await;
    assert!(reply.expect("a response").is_complete);
}

/// The servers of the version that began the stream leave the list soon, and the one that sends it
/// goes on.
#[rstest]
#[case::agents(true)]
#[case::rows_only(false)]
fn long_stream_keeps_version(#[case] has_agents: bool) {
    World::run(async move {
        let site = start().await;
        site.run_vms(0..2, has_agents, async |worlds| {
            read_long(&worlds[0], "a", async || {
                site.list(1, "v2");
                site.unlist(0);
            })
            .await;
            site.backends[1].set_default(REST);

            assert_eq!(take_up(&worlds[1]).await, 503);
        })
        .await;
        assert_eq!(site.backends[1].arrivals(), 0, "a joined stream");
    });
}

/// Two versions serve until the end, so that the stream may go on only if its origin is known.
#[rstest]
#[case::agents(true)]
#[case::rows_only(false)]
fn long_stream_goes_on(#[case] has_agents: bool) {
    World::run(async move {
        let site = start().await;
        site.run_vms(0..2, has_agents, async |worlds| {
            read_long(&worlds[0], "a", async || site.list(1, "v2")).await;
            site.backends.iter().for_each(|backend| backend.set_default(REST));
            forget_expired(&worlds[0]).await;

            assert_eq!(take_up(&worlds[1]).await, 200);
        })
        .await;
        assert_eq!(site.taken_up(), (1, 0));
    });
}

/// The entry at which a stream was taken up runs it for longer than the first one remembers it.
#[rstest]
#[case::agents(true)]
#[case::rows_only(false)]
fn taken_up_stream_goes_on(#[case] has_agents: bool) {
    World::run(async move {
        let site = start().await;
        site.run_vms(0..3, has_agents, async |worlds| {
            site.backends[0].script_next(Script::EventsThenCut { count: 3 });
            begin(&worlds[0], "a").await;
            site.list(1, "v2");
            tokio::time::sleep(LISTING_DELAY).await;
            read_long(&worlds[1], "b", async || {}).await;
            site.backends.iter().for_each(|backend| backend.set_default(REST));
            forget_expired(&worlds[0]).await;

            assert_eq!(take_up(&worlds[2]).await, 200);
        })
        .await;
        assert_eq!(site.taken_up(), (2, 0));
    });
}
