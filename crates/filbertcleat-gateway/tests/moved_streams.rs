//! Streams that move away from a silent backend server.

mod support;

use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use tokio::task::spawn_local;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;
use self::support::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const FIVE_EVENTS: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };
const SILENT_AFTER_THREE: Script =
    Script::EventsWithSilence { count: 5, after: 3, silence: Duration::from_secs(60) };
const LATE_FAILURE: Script =
    Script::Respond { status: 500, body: "no", after: Duration::from_millis(400) };

/// The silent server ends while another is asked to go on with its stream, and that one fails.
#[test]
fn third_server_goes_on() {
    World::run(async {
        let silent = Backend::start("w1", SILENT_AFTER_THREE).await;
        let failing = Backend::start("w2", LATE_FAILURE).await;
        let sound = Backend::start("w3", FIVE_EVENTS).await;
        let world = World::start(vec![route("write", RESUMABLE, 4)], &[&silent]).await;
        for backend in [&failing, &sound] {
            let domain = FailureDomain::new("there");
            let distant = ListedServer { domain, ..listed(backend) };
            world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(distant)));
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut caller = world.caller().await;
        let reply = spawn_local(async move { caller.call(&Call::new("a", "/write/1")).await });
        while failing.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }

        silent.crash(Duration::from_secs(60));

        let reply = reply.await.expect("no panic").expect("a response head");
        assert_eq!(reply.body, (1..=5).map(event).collect::<String>());
        assert!(reply.is_complete);
        assert_eq!((failing.arrivals(), sound.arrivals()), (1, 1));
    });
}
