//! API keys of callers, from the request to the backend server.

mod support;

use std::time::Duration;

use filbertcleat_base::WorkspaceName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::KeyHash;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Workspace;
use filbertcleat_serve::Workspaces;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::caller::Reply;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
/// The time in which an entry has to apply a configuration.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

/// A configuration in which the workspace `w1` holds these keys.
fn configuration(version: u64, keys: &[&str]) -> Deployment {
    let workspace = Workspace { name: WorkspaceName::new("w1"), priority: 0, allowance: None };
    let keys = keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect();
    let routes = vec![
        route("book", RetryPolicy::AtMostOnce, 1),
        Route { is_public: true, ..route("open", RetryPolicy::AtMostOnce, 1) },
    ];
    let workspaces = Some(Workspaces::new([(workspace, keys)]));
    Deployment { workspaces, ..deployment(version, routes) }
}

async fn start(backend: &Backend, keys: &[&str]) -> World {
    let world = World::start_with_catalogue(TestCatalogue::default()).await;
    world.catalogue.write(CatalogueEvent::Deployment(configuration(1, keys)));
    world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(backend))));
    tokio::time::sleep(CONFIGURATION_BOUND).await;
    world
}

async fn call(world: &World, path: &'static str, extra: &'static str) -> Reply {
    let call = Call { extra, ..Call::new("r1", path) };
    world.caller().await.call(&call).await.expect("a response")
}

/// Guards against requests that run without a valid key.
#[rstest]
#[case::valid("/book/1", "x-key: k1\r\n", 200)]
#[case::missing("/book/1", "", 401)]
#[case::unknown("/book/1", "x-key: k2\r\n", 401)]
#[case::prefix("/book/1", "x-key: k\r\n", 401)]
#[case::two("/book/1", "x-key: k1\r\nx-key: k1\r\n", 401)]
#[case::public("/open/1", "", 200)]
#[case::public_unknown("/open/1", "x-key: k2\r\n", 200)]
#[case::no_route("/gone/1", "x-key: k2\r\n", 404)]
fn key_checked(#[case] path: &'static str, #[case] extra: &'static str, #[case] status: u16) {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk, &["k1"]).await;

        let reply = call(&world, path, extra).await;

        assert_eq!(reply.status, status);
        assert_eq!(desk.seen.borrow().len(), usize::from(status == 200));
    });
}

/// Guards against keys, and workspaces that callers name themselves, reaching backend servers.
#[test]
fn server_told_workspace() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk, &["k1"]).await;

        call(&world, "/book/1", "x-key: k1\r\nx-workspace: forged\r\n").await;
        call(&world, "/open/1", "x-key: k1\r\nx-workspace: forged\r\n").await;

        let seen = desk.seen.borrow();
        assert!(seen[0].contains("x-workspace: w1"), "{}", seen[0]);
        assert!(!seen[1].contains("x-workspace"), "{}", seen[1]);
        assert!(seen.iter().all(|head| !head.contains("x-key") && !head.contains("forged")));
    });
}

#[test]
fn removed_key_refused() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk, &["k1", "k2"]).await;
        assert_eq!(call(&world, "/book/1", "x-key: k1\r\n").await.status, 200);

        world.catalogue.write(CatalogueEvent::Deployment(configuration(2, &["k2", "k3"])));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        assert_eq!(call(&world, "/book/1", "x-key: k1\r\n").await.status, 401);
        assert_eq!(call(&world, "/book/1", "x-key: k2\r\n").await.status, 200);
        assert_eq!(call(&world, "/book/1", "x-key: k3\r\n").await.status, 200);
    });
}

/// Guards against a final refusal of a key that is in force but that the entry could not read yet.
/// In the soak, an entry answered 401 for up to 4.5 s after the last response of the catalogue.
#[rstest]
#[case::bound_just_over(CONFIGURATION_BOUND + Duration::from_millis(10))]
#[case::long_outage(CONFIGURATION_BOUND * 3)]
fn new_key_during_outage(#[case] outage: Duration) {
    World::run(async move {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk, &["k1"]).await;
        world.catalogue.set_down(true);
        tokio::time::sleep(outage).await;

        let reply = call(&world, "/book/1", "x-key: k2\r\n").await;

        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some(), "{}", reply.head);
        assert_eq!(call(&world, "/book/1", "x-key: k1\r\n").await.status, 200);
    });
}

/// Guards against retries of unknown keys while the catalogue responds and nothing changes.
#[test]
fn unknown_key_in_calm() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk, &["k1"]).await;

        for _ in 0..60 {
            tokio::time::sleep(CONFIGURATION_BOUND / 20).await;
            assert_eq!(call(&world, "/book/1", "x-key: k2\r\n").await.status, 401);
        }
    });
}
