//! Streams to callers of HTTP/1.0, whose end only the connection shows.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;

const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
const WHOLE: Script = Script::Events { count: 3, pause: Duration::from_millis(20) };

/// Guards against a stream that was cut and ends like a whole one.
#[rstest]
#[case::whole(WHOLE, true)]
#[case::cut(Script::EventsThenCut { count: 3 }, false)]
fn cut_is_reset(#[case] script: Script, #[case] is_whole: bool) {
    World::run(async move {
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;
        let mut caller = world.caller().await;
        let text = Call::new("a", "/write/1").text().replace("HTTP/1.1", "HTTP/1.0");
        caller.send_bytes(text.as_bytes()).await.expect("the entry reads the request");

        let received = caller.read_to_end().await;

        assert_eq!(received.is_ok(), is_whole, "{received:?}");
        if let Ok(received) = received {
            let events: String = (1..=3).map(event).collect();
            assert!(received.ends_with(events.as_bytes()), "{received:?}");
        }
    });
}
