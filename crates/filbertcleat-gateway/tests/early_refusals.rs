//! Refusals that are sent before the body of the request has arrived.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;
use self::support::world::deployment;

/// A caller that has sent a whole request reads its refusal, also where the refusal came first.
#[rstest]
#[case::short_with_head(800, 0)]
#[case::short_later(800, 50)]
#[case::long_with_head(60_000, 0)]
#[case::long_later(60_000, 50)]
#[case::longest_with_head(2_000_000, 0)]
#[case::longest_later(2_000_000, 50)]
fn refusal_survives_late_body(#[case] body_bytes: usize, #[case] delay_ms: u64) {
    World::run(async move {
        let server =
            Backend::start("d1", Script::Respond { status: 200, body: "", after: Duration::ZERO })
                .await;
        let world = World::start(vec![route("call", RetryPolicy::AtMostOnce, 1)], &[&server]).await;
        let reply = world.caller().await.call(&Call::new("b", "/call/1")).await;
        assert_eq!(reply.expect("a response").status, 200);
        let mut caller = TcpStream::connect(world.callers).await.expect("the entry listens");
        world.catalogue.write(CatalogueEvent::Deployment(deployment(2, Vec::new())));
        tokio::time::sleep(Duration::from_secs(2)).await;

        let head = format!(
            "POST /call/1 HTTP/1.1\r\nhost: desk.example\r\nx-id: a\r\nx-wait-ms: 4000\r\n\
             content-length: {body_bytes}\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("the head is written");
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let sent = caller.write_all(&vec![b'x'; body_bytes]).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut reply = [0; 256];
        let read = caller.read(&mut reply).await;

        assert!(sent.is_ok(), "sending the body failed: {sent:?}, and reading gave {read:?}");
        let length = read.expect("a response");
        let reply = String::from_utf8_lossy(&reply[..length]);
        assert!(reply.starts_with("HTTP/1.1 404"), "{reply:?}");
    });
}
