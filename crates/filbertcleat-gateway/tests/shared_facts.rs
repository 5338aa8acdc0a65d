//! What one entry learns from an answer binds the others.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;

use self::support::Call;
use self::support::Script;
use self::support::Site;
use self::support::World;
use self::support::route;

const EVENTS: Script = Script::Events { count: 3, pause: Duration::from_millis(20) };
const RESPONSE: Script =
    Script::Respond { status: 200, body: "freed", after: Duration::from_millis(20) };

/// A server without an agent announces its leaving to one entry.
#[test]
fn leaving_told_to_others() {
    World::run(async {
        let leaving = RESPONSE.with_headers("x-leaving: 1\r\n");
        let servers = vec![
            ("w1".to_owned(), EVENTS),
            ("d1".to_owned(), leaving),
            ("d2".to_owned(), RESPONSE),
        ];
        let site = Site::start(vec![route("q", RetryPolicy::Idempotent, 1)], servers, 2).await;
        let [_, leaving, staying] = &site.backends[..] else { panic!("three servers") };
        while leaving.arrivals() == 0 {
            site.send(0, &Call::new("a", "/q/1")).await.expect("a response");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;

        for _ in 0..10 {
            let reply = site.send(1, &Call::new("b", "/q/1")).await.expect("a response");
            assert_eq!(reply.status, 200);
        }

        assert_eq!(leaving.arrivals(), 1);
        assert!(staying.arrivals() >= 10);
    });
}
