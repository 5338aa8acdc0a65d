//! Backend servers that fall silent for a while and then go on.

mod support;

use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::RetryBudgetSettings;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;
use self::support::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
/// Longer than the stall timeout and shorter than any deadline.
const SILENCE: Duration = Duration::from_secs(2);
const SILENT_ONCE: Script = Script::EventsWithSilence { count: 5, after: 3, silence: SILENCE };

fn five_events() -> String {
    (1..=5).map(event).collect()
}

/// Why a silent stream can't move to another backend server.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// There is no other backend server.
    NoOtherServer,
    /// The route allows one attempt.
    NoAttempt,
    /// The retry budget is used up.
    NoBudget,
    /// The other backend server turns requests away.
    OtherIsFull,
}

/// A backend server that is silent for a while still completes its stream, so the caller must not
/// lose the response when the stream can't move to another server.
#[rstest]
#[case::no_other_server(Obstacle::NoOtherServer)]
#[case::no_attempt(Obstacle::NoAttempt)]
#[case::no_budget(Obstacle::NoBudget)]
#[case::other_is_full(Obstacle::OtherIsFull)]
fn silence_is_outlasted(#[case] obstacle: Obstacle) {
    World::run(async move {
        let silent = Backend::start("w1", SILENT_ONCE).await;
        let full = Backend::start("w2", Script::NotRun).await;
        let attempts_max = if matches!(obstacle, Obstacle::NoAttempt) { 1 } else { 2 };
        let routes = vec![route("write", RESUMABLE, attempts_max)];
        let backends: &[&Backend] = match obstacle {
            Obstacle::OtherIsFull => &[&silent, &full],
            Obstacle::NoOtherServer | Obstacle::NoAttempt | Obstacle::NoBudget => &[&silent],
        };
        let world = World::start(routes, backends).await;
        if matches!(obstacle, Obstacle::NoBudget) {
            let none = RetryBudgetSettings { ratio: 0.0, slack: 0.0, window_ms: 10_000 };
            world.retry_budget.send_replace(none);
        }

        let mut caller = world.caller().await;
        let reply = loop {
            let reply = caller.call(&Call::new("a", "/write/1")).await.expect("a response head");
            // The full server may be the first that is asked; then the caller asks again.
            if reply.status == 200 {
                break reply;
            }
        };

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, five_events());
    });
}

#[test]
fn stream_leaves_hung_server() {
    World::run(async {
        let hung_after_three =
            Script::EventsWithSilence { count: 5, after: 3, silence: Duration::from_secs(60) };
        let (hung, other) = (
            Backend::start("w1", hung_after_three.clone()).await,
            Backend::start("w2", hung_after_three).await,
        );
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&hung, &other]).await;

        // The second server starts after event 3 and does not fall silent any more.
        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, five_events());
        assert_eq!((hung.arrivals(), other.arrivals()), (1, 1));
    });
}

#[test]
fn recovered_server_keeps_stream() {
    World::run(async {
        let silence = Duration::from_millis(1_600);
        let silent =
            Backend::start("w1", Script::EventsWithSilence { count: 5, after: 3, silence }).await;
        let slow = Backend::start("w2", Script::Silent).await;
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&silent]).await;
        // A server in another failure domain is the second choice.
        let distant = ListedServer { domain: FailureDomain::new("there"), ..listed(&slow) };
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(distant)));
        tokio::time::sleep(Duration::from_secs(2)).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, five_events());
        assert_eq!((silent.arrivals(), slow.arrivals()), (1, 1));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(slow.cancelled.get(), 1, "the second server was not released");
    });
}
