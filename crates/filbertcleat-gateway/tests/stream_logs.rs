//! Log lines and metrics that show what of a stream came from which backend server.

mod support;

use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Framing;
use self::support::Script;
use self::support::ScriptedStream;
use self::support::StreamStep;
use self::support::World;
use self::support::log_lines::keep_lines;
use self::support::log_lines::lines;
use self::support::route;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };

fn stream(steps: &[StreamStep]) -> Script {
    let steps = steps.to_vec();
    Script::Stream(ScriptedStream {
        total: 5,
        version: "v1",
        framing: Framing::Chunked,
        pad_bytes: 0,
        steps,
    })
}

#[test]
fn moved_parts_logged() {
    keep_lines();
    World::run(async {
        let one = Backend::start("w1", stream(&[])).await;
        one.script_next(stream(&[StreamStep::Events(3), StreamStep::Reset]));
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(reply.expect("a response head").is_complete);
        let counts = "skips=0 repeated=0 unnumbered=0";
        assert_eq!(
            lines("stream-part"),
            [
                format!("id=a server=w1 software=v1 first=1 last=3 forwarded=3 {counts}"),
                format!("id=a server=w1 software=v1 first=4 last=5 forwarded=2 {counts}"),
            ]
        );
    });
}

#[test]
fn skips_and_repeats_logged() {
    keep_lines();
    World::run(async {
        let steps = [
            StreamStep::Events(2),
            StreamStep::Skip(1),
            StreamStep::Events(1),
            StreamStep::Rewind,
            StreamStep::Events(2),
            StreamStep::Skip(2),
        ];
        let one = Backend::start("w1", stream(&steps)).await;
        let world = World::start(vec![route("write", RESUMABLE, 1)], &[&one]).await;

        world.caller().await.call(&Call::new("a", "/write/1")).await.expect("a response head");

        assert_eq!(lines("stream-skip"), ["id=a server=w1 after=2 next=4"]);
        assert_eq!(
            lines("stream-part"),
            [
                "id=a server=w1 software=v1 first=1 last=5 forwarded=4 skips=1 repeated=2 unnumbered=0"
            ]
        );
        let count = async |order: &str| {
            world.metric(&format!("filbertcleat_irregular_events{{order=\"{order}\"}}")).await
        };
        assert_eq!((count("skipping").await, count("repeated").await), (Some(1), Some(2)));
    });
}
