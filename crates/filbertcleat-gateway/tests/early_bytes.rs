//! Responses that are still being written when the next request begins to arrive.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::World;
use self::support::route;

/// The timeout for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// A response that exceeds the socket buffers between an entry and a slow caller.
const LARGE_BYTES: usize = 12 * 1024 * 1024;

#[test]
fn early_bytes_spare_response() {
    World::run(async {
        let body: &'static str = "x".repeat(LARGE_BYTES).leak();
        let script = Script::Respond { status: 200, body, after: Duration::ZERO };
        let desk = Backend::start("d1", script).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut caller = Caller::connect_slow(world.callers).await.expect("the entry listens");
        caller.send(&Call::new("a", "/book/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(200)).await;

        caller.send_bytes(b"GET /book/2").await.expect("the entry reads the start of the next");
        tokio::time::sleep(2 * HEADER_TIMEOUT).await;
        let reply = caller.read_reply().await.expect("a response");

        assert!(reply.is_complete, "the response broke off");
        assert_eq!(reply.body.len(), LARGE_BYTES);
    });
}
