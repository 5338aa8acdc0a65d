//! Requests that wait for a load at an engine whose agent is silent.

mod support;

use filbertcleat_serve::RequestQueue;
use rstest::rstest;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::fleet;
use self::support::id;
use self::support::local_domain;

/// An engine that has loaded the adapter after a silence serves the requests that wait for it.
#[rstest]
#[case::within_freshness(1_500)]
#[case::beyond_freshness(1_800)]
fn silent_agent_requests(#[case] silence_ms: u64) {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let mut queue = RequestQueue::new(7);
    let engine_spec = engine_spec();
    queue.push(at(0), demand("x", 100), Vec::new());
    let mut sent = Vec::new();
    for now in 0..=silence_ms + 100 {
        if now == silence_ms {
            fleet.apply_update(at(now), agent_update("a", 2, &["x"]));
        }
        sent.extend(queue.dispatch(at(now), &mut fleet, &local_domain(), |_| Some(&engine_spec)));
    }

    let servers: Vec<_> = sent.iter().map(|sent| sent.server.clone()).collect();
    assert_eq!(servers, [id("a")]);
}
