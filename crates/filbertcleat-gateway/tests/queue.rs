//! Callers that disconnect while their requests are queued.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::World;
use self::support::route;

const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };

#[test]
fn disconnects_release_counts() {
    World::run(async {
        let script = Script::Events { count: 2, pause: Duration::from_millis(5) };
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;
        let mut rng = SmallRng::seed_from_u64(5);
        // The engine takes one prompt of 3,000 tokens per 300 ms. So all requests are queued, and
        // some callers disconnect at the moment their request is dispatched.
        for _ in 0..40 {
            let mut callers = Vec::new();
            for _ in 0..5 {
                let mut caller = world.caller().await;
                let call = Call { extra: "x-prompt: 3000\r\n", ..Call::new("a", "/write/1") };
                caller.send(&call).await.expect("the entry reads the request");
                callers.push(caller);
            }
            while let Some(caller) = callers.pop() {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..80))).await;
                drop::<Caller>(caller);
            }
        }
        tokio::time::sleep(Duration::from_secs(4)).await;

        // A request that was still counted as in flight would make the engine appear stalled by
        // now.
        let reply = world.caller().await.call(&Call::new("b", "/write/1")).await;
        assert_eq!(reply.expect("a response").status, 200);
        assert_eq!(world.metric("filbertcleat_servers{are=\"usable\"}").await, Some(1));
        assert_eq!(world.metric("filbertcleat_open").await, Some(0));
    });
}
