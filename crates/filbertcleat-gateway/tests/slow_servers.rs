//! Requests to plain services of which one server is slow.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;

/// Guards against an entry that does not learn from the answers that it relays. Both servers have
/// the same number of open requests, so that by counts all requests go to the first, which needs
/// more than half of the objective. Of the thousand requests one in 32 goes to any server, which is
/// enough to learn of the fast one, and the last hundred go to it except for such samples.
#[test]
fn slow_server_is_left() {
    World::run(async {
        let after =
            |ms| Script::Respond { status: 200, body: "freed", after: Duration::from_millis(ms) };
        let (slow, fast) =
            (Backend::start("d1", after(400)).await, Backend::start("d2", after(40)).await);
        let plain = Route { gap_objective_ms: 0, ..route("get", RetryPolicy::Idempotent, 1) };
        let world = World::start(vec![plain], &[&slow, &fast]).await;
        let mut caller = world.caller().await;

        for _ in 0..1_000 {
            caller.call(&Call::new("a", "/get/1")).await.expect("a response");
        }
        let before = slow.arrivals();
        for _ in 0..100 {
            caller.call(&Call::new("b", "/get/1")).await.expect("a response");
        }

        let late = slow.arrivals() - before;
        assert!(late < 50, "{late} of 100 requests to the slow server, {before} before");
    });
}
