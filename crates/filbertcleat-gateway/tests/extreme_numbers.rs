//! Numbers in headers and configurations that no sound caller, server or operator sends.

mod support;

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::ModelName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::CallerLimits;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::ModelSpec;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Target;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Identity;
use self::support::Script;
use self::support::World;
use self::support::panic_count::count_panics;
use self::support::panic_count::panics;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: true };
/// The longest pause that a server is granted, and some time.
const LONGEST_PAUSE: Duration = Duration::from_secs(310);
const YES: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
const EVENTS: Script = Script::Events { count: 3, pause: Duration::from_millis(10) };

fn routes() -> Vec<Route> {
    vec![route("book", RetryPolicy::Idempotent, 2), route("write", STREAM, 2)]
}

/// Checks that plain requests and streams are served, and that nothing has panicked.
async fn assert_sound(world: &World) {
    for path in ["/book/1", "/write/1"] {
        let reply = world.caller().await.call(&Call::new("z", path)).await.expect("a response");
        assert_eq!(reply.status, 200, "{path}: {reply:?}");
        assert!(reply.is_complete);
    }
    assert_eq!(panics(), 0);
}

/// Guards against headers of a caller that end or disturb an entry.
#[rstest]
#[case::most_tokens("x-prompt: 18446744073709551615\r\n")]
#[case::many_tokens("x-prompt: 9223372036854775807\r\nx-parts: 1,2,ffffffffffffffff\r\n")]
#[case::longest_wait("x-wait-ms: 18446744073709551615\r\n")]
#[case::no_wait("x-wait-ms: 0\r\n")]
#[case::last_event("x-after: 18446744073709551615\r\nx-resumes: other\r\n")]
#[case::non_ascii("x-model: b\u{e4}se\r\nx-note: \u{1F600}\r\n")]
#[case::empty("x-model: \r\nx-key: \r\n")]
#[case::no_length("content-length: 0\r\nx-prompt: -1\r\n")]
fn caller_headers(#[case] extra: &'static str) {
    count_panics();
    World::run(async move {
        let servers = [Backend::start("d1", YES).await, Backend::start("w1", EVENTS).await];
        let world = World::start(routes(), &servers.each_ref()).await;
        let mut callers = Vec::new();
        for path in ["/book/1", "/write/1", "/write/2", "/write/3"] {
            let mut caller = world.caller().await;
            let call = Call { extra, wait_ms: 1_500, ..Call::new("a", path) };
            caller.send(&call).await.expect("the entry reads the request");
            callers.push(caller);
        }
        for caller in &mut callers {
            caller.read_reply().await.expect("a response");
        }
        // What such prompts have filled is free again after their time.
        tokio::time::sleep(Duration::from_secs(30)).await;

        assert_sound(&world).await;
    });
}

/// Guards against headers of a backend server that end or disturb an entry.
#[rstest]
#[case::keep_alive("keep-alive: timeout=18446744073709551615\r\n")]
#[case::keep_alive_garbage("keep-alive: timeout=, max=\u{e4}\r\n")]
#[case::pause("x-pause-ms: 18446744073709551615\r\n")]
#[case::limit_huge("x-limit: 1e308\r\n")]
#[case::limit_tiny("x-limit: 1e-308\r\n")]
#[case::limit_zero("x-limit: 0\r\n")]
#[case::limit_nan("x-limit: NaN\r\n")]
#[case::limit_infinite("x-limit: inf\r\n")]
#[case::retry_after("retry-after: -1e400\r\n")]
#[case::non_ascii("x-note: \u{1F600}\r\nx-limit: \u{e4}\r\n")]
fn server_headers(#[case] lines: &'static str) {
    count_panics();
    World::run(async move {
        let servers = [Backend::start("d1", YES).await, Backend::start("w1", EVENTS).await];
        let world = World::start(routes(), &servers.each_ref()).await;
        servers[0].script_next(YES.with_headers(lines));
        servers[0].script_next(Script::NotRun.with_headers(lines));
        servers[1].script_next(EVENTS.with_headers(lines));
        for path in ["/book/1", "/book/2", "/write/1"] {
            world.caller().await.call(&Call::new("a", path)).await.expect("a response");
        }
        // New starts of the servers have no limit, and the longest pause has passed.
        for server in &servers {
            server.drop_scripts();
            server.identify_as(Identity::Restarted);
            let again = ListedServer { started_unix_ms: 2, ..listed(server) };
            world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(again)));
        }
        tokio::time::sleep(LONGEST_PAUSE).await;

        assert_sound(&world).await;
    });
}

/// Guards against a configuration whose numbers end an entry, or are in the way of the next one.
#[rstest]
#[case::largest(u64::MAX, usize::MAX, f64::MAX)]
#[case::infinite(u64::MAX / 2, usize::MAX / 2, f64::INFINITY)]
#[case::none(0, 0, 0.0)]
#[case::not_a_number(1, 1, f64::NAN)]
#[case::negative(1, 1, -1.0)]
fn configuration(#[case] number: u64, #[case] size: usize, #[case] real: f64) {
    count_panics();
    World::run(async move {
        let servers = [Backend::start("d1", YES).await, Backend::start("w1", EVENTS).await];
        let world = World::start(routes(), &servers.each_ref()).await;
        let mut extreme = deployment(2, routes());
        for route in &mut extreme.routes {
            let target = Target { weight: number, ..route.targets[0].clone() };
            *route = Route {
                timeout_ms: number,
                latency_objective_ms: number,
                gap_objective_ms: number,
                attempts_max: number as u32,
                targets: vec![target.clone(), target],
                ..route.clone()
            };
        }
        for service in extreme.services.values_mut() {
            let service = Rc::make_mut(service);
            service.connections_max = size;
            service.engine = service.engine.take().map(|_| EngineSpec {
                batch_limit: number as u32,
                memory_tokens: number,
                weights_max_mb: real,
                adapter_slots: size,
                models: vec![ModelSpec {
                    name: ModelName::new("base"),
                    weights_mb: real,
                    adapter_mb: real,
                }],
            });
        }
        extreme.limits = CallerLimits {
            header_max_bytes: size,
            body_max_bytes: size,
            header_timeout_ms: number,
            idle_timeout_ms: number,
        };
        world.catalogue.write(CatalogueEvent::Deployment(extreme));
        tokio::time::sleep(Duration::from_secs(3)).await;
        for path in ["/book/1", "/write/1"] {
            let call =
                Call { extra: "x-model: base\r\nx-prompt: 5000\r\n", ..Call::new("a", path) };
            // A request may be refused, and its head may exceed the limits.
            let mut caller = world.caller().await;
            let reply = tokio::time::timeout(Duration::from_secs(20), caller.call(&call)).await;
            assert!(reply.is_ok(), "{path}: no response");
        }

        let sound: Deployment = deployment(3, routes());
        world.catalogue.write(CatalogueEvent::Deployment(sound));
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_sound(&world).await;
    });
}
