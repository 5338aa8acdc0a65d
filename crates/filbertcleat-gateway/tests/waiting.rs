//! Callers that leave while their requests wait.

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
fn leaving_frees_what_was_counted() {
    World::run(async {
        let usual = Script::Events { count: 2, pause: Duration::from_millis(5) };
        let writer = Backend::start("w1", usual).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;
        let mut rng = SmallRng::seed_from_u64(5);
        // Prompts of 3,000 tokens go one in 300 ms, so that all wait and some leave as theirs goes.
        for _ in 0..40 {
            let mut callers = Vec::new();
            for _ in 0..5 {
                let mut caller = world.caller().await;
                let call = Call { extra: "x-prompt: 3000\r\n", ..Call::new("a", "/write/1") };
                caller.send(&call).await.expect("the entry reads");
                callers.push(caller);
            }
            while let Some(caller) = callers.pop() {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..80))).await;
                drop::<Caller>(caller);
            }
        }
        tokio::time::sleep(Duration::from_secs(4)).await;

        // A request that stayed counted would make the engine look silent by now.
        let reply = world.caller().await.call(&Call::new("b", "/write/1")).await;
        assert_eq!(reply.expect("an answer").status, 200);
        assert_eq!(world.metric("filbertcleat_servers{are=\"usable\"}").await, Some(1));
        assert_eq!(world.metric("filbertcleat_open").await, Some(0));
    });
}
