//! When queued requests are dispatched, and in which order.

mod support;

use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::Ticket;
use filbertcleat_serve::WaitCause;
use rstest::rstest;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::fleet;
use self::support::id;
use self::support::local_domain;

fn dispatch(queue: &mut RequestQueue, fleet: &mut Fleet, now: u64) -> Vec<(Ticket, ServerId)> {
    let engine_spec: EngineSpec = engine_spec();
    let sent = queue.dispatch(at(now), fleet, &local_domain(), |_| Some(&engine_spec));
    sent.into_iter().map(|sent| (sent.ticket, sent.server)).collect()
}

/// Dispatches in each millisecond of a period and returns the requests that were sent.
fn dispatch_during(
    queue: &mut RequestQueue,
    fleet: &mut Fleet,
    from: u64,
    to: u64,
) -> Vec<(Ticket, ServerId)> {
    (from..=to).flat_map(|now| dispatch(queue, fleet, now)).collect()
}

#[test]
fn urgent_goes_first() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = RequestQueue::new(7);
    let routine = queue.push(at(0), demand("x", 3_000), Vec::new());
    let urgent = queue.push(at(1), RequestDemand { priority: 0, ..demand("x", 3_000) }, Vec::new());

    assert_eq!(dispatch(&mut queue, &mut fleet, 1), [(urgent, id("a"))]);
    assert_eq!(dispatch(&mut queue, &mut fleet, 2), []);
    assert_eq!(dispatch_during(&mut queue, &mut fleet, 302, 320), [(routine, id("a"))]);
    assert!(queue.is_empty());
}

#[test]
fn adapter_demand_is_summed() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let mut queue = RequestQueue::new(7);
    queue.push(at(0), demand("x", 100), Vec::new());
    queue.push(at(0), RequestDemand { min_version: 3, ..demand("x", 100) }, Vec::new());
    queue.push(at(0), demand("y", 100), Vec::new());

    dispatch(&mut queue, &mut fleet, 0);

    let demands = queue.adapter_demand(&id("a"));
    assert_eq!(demands.len(), 2);
    assert_eq!((demands[0].waiting_requests, demands[0].min_version), (2, 3));
    assert_eq!((demands[1].waiting_requests, demands[1].min_version), (1, 0));
}

#[test]
fn sent_after_load() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let mut queue = RequestQueue::new(7);
    let ticket = queue.push(at(0), demand("x", 100), Vec::new());
    assert_eq!(dispatch(&mut queue, &mut fleet, 0), []);

    fleet.apply_update(at(250), agent_update("a", 2, &["x"]));

    assert_eq!(dispatch_during(&mut queue, &mut fleet, 250, 265), [(ticket, id("a"))]);
    assert_eq!(queue.remove(at(265), ticket), None);
}

#[test]
fn stuck_load_is_abandoned() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    let mut queue = RequestQueue::new(7);
    queue.push(at(0), demand("x", 100), Vec::new());
    dispatch(&mut queue, &mut fleet, 0);
    let (first, second) =
        if queue.adapter_demand(&id("a")).is_empty() { ("b", "a") } else { ("a", "b") };

    for (sequence, now) in [(2, 1_500), (3, 2_501)] {
        fleet.apply_update(at(now), agent_update("a", sequence, &[]));
        fleet.apply_update(at(now), agent_update("b", sequence, &[]));
        dispatch(&mut queue, &mut fleet, now);
    }

    assert!(queue.adapter_demand(&id(first)).is_empty());
    assert_eq!(queue.adapter_demand(&id(second)).len(), 1);
}

#[test]
fn remove_returns_cause() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = RequestQueue::new(7);
    fleet.on_sent(at(0), &id("a"), &demand("x", 5_000));
    let paced = queue.push(at(0), demand("x", 5_000), Vec::new());
    let unloaded = queue.push(at(0), demand("y", 100), Vec::new());

    dispatch(&mut queue, &mut fleet, 1);

    assert_eq!(queue.remove(at(1), paced), Some((WaitCause::Capacity, None)));
    assert_eq!(queue.remove(at(1), unloaded), Some((WaitCause::AdapterLoad, Some(id("a")))));
}

#[test]
fn long_prompt_is_not_starved() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = RequestQueue::new(7);
    let mut now = 0;
    queue.push(at(now), demand("x", 2_000), Vec::new());
    dispatch(&mut queue, &mut fleet, now);
    let long = queue.push(at(1), demand("x", 4_000), Vec::new());

    // Short prompts that would fit keep arriving behind the long one.
    let mut is_sent = false;
    while now < 400 {
        now += 20;
        queue.push(at(now), demand("x", 500), Vec::new());
        let sent = dispatch_during(&mut queue, &mut fleet, now, now + 19);
        is_sent |= sent.iter().any(|(ticket, _)| *ticket == long);
    }

    assert!(is_sent);
}

#[test]
fn jitter_prevents_bursts() {
    // Five entries wait for the same engine. The others learn of a sent prompt 3 ms later.
    const ANNOUNCEMENT_DELAY_MS: u64 = 3;
    let mut entries: Vec<_> = (0..5)
        .map(|seed| {
            let mut fleet = fleet(at(0), &[("a", &["x"])]);
            let mut update = agent_update("a", 2, &["x"]);
            (update.others_prompt_tokens, update.live_entries) = (3_000, 5);
            fleet.apply_update(at(0), update);
            let mut queue = RequestQueue::new(seed);
            for _ in 0..8 {
                queue.push(at(0), demand("x", 2_000), Vec::new());
            }
            assert_eq!(dispatch(&mut queue, &mut fleet, 0), []);
            (queue, fleet)
        })
        .collect();

    let mut sends: Vec<(u64, usize)> = Vec::new();
    for now in 1..3_000 {
        for (number, (queue, fleet)) in entries.iter_mut().enumerate() {
            let others_tokens: u64 = sends
                .iter()
                .filter(|(sent, by)| {
                    *by != number && now >= sent + ANNOUNCEMENT_DELAY_MS && now - sent < 300
                })
                .map(|_| 2_000)
                .sum();
            let mut update = agent_update("a", 3 + now, &["x"]);
            (update.others_prompt_tokens, update.live_entries) = (others_tokens, 5);
            fleet.apply_update(at(now), update);
            fleet.on_bytes_received(at(now), &id("a"), &demand("x", 2_000), 10);
            sends.extend(dispatch(queue, fleet, now).iter().map(|_| (now, number)));
        }
    }

    // There is capacity for one prompt of 2,000 tokens in 300 ms. Without jitter all five entries
    // would send one at the same moment.
    let rounds = 1 + sends.windows(2).filter(|pair| pair[1].0 - pair[0].0 > 100).count();
    assert!(sends.len() >= 9, "{} prompts in 3 s", sends.len());
    assert!(sends.len() * 2 <= rounds * 3, "{} prompts in {rounds} rounds", sends.len());
}

/// After a burst, the estimated wait must cover the prefill of the whole queue, at all entries. An
/// unknown engine is assumed to need 0.2 ms a token, of which gaps leave it 0.6 of the time.
/// Guards against a jitter that has run out while no engine was usable, after which requests of all
/// entries are sent at once.
#[test]
fn jitter_ends_without_engine() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = RequestQueue::new(7);
    queue.push(at(0), demand("x", 3_000), Vec::new());
    queue.push(at(0), demand("x", 3_000), Vec::new());
    let mut now = 1;
    while !queue.has_jittered_requests() {
        dispatch(&mut queue, &mut fleet, now);
        now += 1;
        assert!(!queue.is_empty(), "the request was sent without a jitter");
    }

    fleet.on_leaving(at(now), &id("a"), 1);
    dispatch(&mut queue, &mut fleet, now);

    assert!(!queue.has_jittered_requests());
}

#[rstest]
#[case::empty(0, 1, 1, 67)]
#[case::burst(40, 1, 1, 2_734)]
#[case::burst_at_three_entries(40, 3, 1, 8_067)]
#[case::two_engines(40, 3, 2, 4_034)]
fn wait_is_estimated(
    #[case] ahead: u32,
    #[case] entries: u32,
    #[case] engines: usize,
    #[case] expected_ms: u64,
) {
    let names = ["a", "b"];
    let loaded: Vec<(&str, &[&str])> =
        names[..engines].iter().map(|name| (*name, &["x"] as &[&str])).collect();
    let mut fleet = fleet(at(0), &loaded);
    for name in &names[..engines] {
        fleet.apply_update(
            at(1),
            AgentUpdate { live_entries: entries, ..agent_update(name, 9, &["x"]) },
        );
    }
    let mut queue = RequestQueue::new(7);
    for _ in 0..ahead {
        queue.push(at(0), demand("x", 200), Vec::new());
    }
    queue.push(at(0), RequestDemand { priority: 9, ..demand("x", 5_000) }, Vec::new());

    assert_eq!(queue.estimated_wait_ms(at(1), &fleet, &demand("x", 200)), Some(expected_ms));
}

#[test]
fn no_estimate_without_engine() {
    let queue = RequestQueue::new(7);

    assert_eq!(queue.estimated_wait_ms(at(1), &Fleet::default(), &demand("x", 200)), None);
}
