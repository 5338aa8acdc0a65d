//! Many connections to the addresses for readiness checks and metrics.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use self::support::Backend;
use self::support::Script;
use self::support::World;
use self::support::route;

/// The connections that a listener keeps.
const KEPT: u64 = 16;
const OPENED: u64 = 20;

/// Guards against callers who open many connections and keep the load balancer out.
#[test]
fn oldest_connections_closed() {
    World::run(async {
        let script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
        let desk = Backend::start("d1", script).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut opened = Vec::new();
        for _ in 0..OPENED {
            opened.push(TcpStream::connect(world.readiness).await.expect("the entry listens"));
        }

        let mut last = opened.pop().expect("connections were opened");
        last.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .await
            .expect("sent");
        let mut response = String::new();
        last.read_to_string(&mut response).await.expect("the check is answered");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        for oldest in &mut opened[..(OPENED - KEPT) as usize] {
            assert_eq!(oldest.read(&mut [0]).await.expect("it ends in order"), 0);
        }
        let closes = world.metric("filbertcleat_side_closes{listener=\"readiness\"}").await;
        assert_eq!(closes, Some(OPENED - KEPT));
    });
}
