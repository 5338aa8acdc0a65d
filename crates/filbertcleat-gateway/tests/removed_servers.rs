//! Servers that have left the catalogue.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;

/// Guards against queues of the pool that stay for each address which a server ever had.
#[test]
fn pool_forgets_address() {
    World::run(async {
        let response = Script::Respond { status: 200, body: "ok", after: Duration::ZERO };
        let backend = Backend::start("d1", response).await;
        let routes = vec![route("q", RetryPolicy::Idempotent, 1)];
        let world = World::start(routes, &[&backend]).await;
        let reply = world.caller().await.call(&Call::new("a", "/q/1")).await;
        assert_eq!(reply.expect("a response").status, 200);
        assert_eq!(world.metric("filbertcleat_pooled_servers").await, Some(1));

        let removed = ListingChange::Removed(ServerId::new("d1"));
        world.catalogue.write(CatalogueEvent::Listing(removed));
        tokio::time::sleep(Duration::from_secs(5)).await;

        assert_eq!(world.metric("filbertcleat_pooled_servers").await, Some(0));
    });
}
