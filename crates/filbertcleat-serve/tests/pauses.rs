//! Servers that ask for a pause.

mod support;

use std::collections::BTreeMap;

use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::Placement;
use filbertcleat_serve::QueueWait;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::RequestedPause;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::WaitCause;
use filbertcleat_serve::place_engine;
use filbertcleat_serve::place_plain;
use filbertcleat_serve::plain_pause_end;
use filbertcleat_serve::return_delay_ms;
use rstest::rstest;

use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::fleet;
use self::support::id;
use self::support::listed;
use self::support::local_domain;

/// Makes a server ask for a pause.
fn pause(fleet: &mut Fleet, now: u64, name: &str, asked_ms: u64) {
    fleet.on_pause_requested(at(now), &id(name), RequestedPause::Lasting { asked_ms });
}

fn place(fleet: &Fleet, now: u64, adapter: &str, avoided: &[ServerId]) -> Placement {
    let demand = demand(adapter, 500);
    let wait = QueueWait { load_ms: 300, ..QueueWait::default() };
    place_engine(at(now), fleet, &engine_spec(), &demand, &local_domain(), avoided, wait)
}

#[rstest]
#[case::short(RequestedPause::Lasting { asked_ms: 350 }, 350)]
#[case::none(RequestedPause::Lasting { asked_ms: 0 }, 0)]
#[case::huge(RequestedPause::Lasting { asked_ms: u64::MAX }, 300_000)]
#[case::unreadable(RequestedPause::Unreadable, 1_000)]
fn pause_bounded(#[case] requested: RequestedPause, #[case] pause_ms: u64) {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);

    assert_eq!(fleet.on_pause_requested(at(0), &id("a"), requested), pause_ms);

    let server = fleet.server(&id("a")).expect("listed");
    assert!(pause_ms == 0 || !server.is_usable(at(pause_ms - 1)));
    assert!(server.is_usable(at(pause_ms)));
}

#[test]
fn longest_pause_counts() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    pause(&mut fleet, 0, "a", 2_000);

    pause(&mut fleet, 100, "a", 500);

    assert!(!fleet.server(&id("a")).expect("listed").is_usable(at(1_999)));
}

/// The pause is not a property of the catalogue record.
#[test]
fn pause_survives_rows() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    pause(&mut fleet, 0, "a", 2_000);

    fleet.apply_listing(at(10), ListingChange::Removed(id("a")));
    fleet.apply_listing(at(20), ListingChange::Upserted(listed("a")));

    assert!(!fleet.server(&id("a")).expect("listed").is_usable(at(1_999)));
}

#[test]
fn not_taken_for_broken() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let ms_per_token = fleet.server(&id("a")).expect("listed").ms_per_token();
    for now in 0..50 {
        fleet.on_sent(at(now), &id("a"), &demand("x", 500));
        pause(&mut fleet, now, "a", 100);
        fleet.on_ended(at(now), &id("a"), &demand("x", 500), AttemptOutcome::Paused);
    }

    let server = fleet.server(&id("a")).expect("listed");
    assert_eq!((server.failure_rate(), server.ms_per_token()), (0.0, ms_per_token));
    assert!(server.is_usable(at(150)));
}

/// The adapters of a server that opens soon are not loaded elsewhere, where they would displace
/// others.
#[rstest]
#[case::soon(300, Placement::AwaitCapacity(Some(id("a"))))]
#[case::late(301, Placement::AwaitLoad(id("b")))]
fn holder_awaited(#[case] pause_ms: u64, #[case] placement: Placement) {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &[])]);

    pause(&mut fleet, 0, "a", pause_ms);

    assert_eq!(place(&fleet, 0, "x", &[]), placement);
}

#[test]
fn first_opening_told() {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &["x"]), ("c", &["x"])]);
    pause(&mut fleet, 0, "a", 4_000);
    pause(&mut fleet, 0, "b", 3_000);

    assert_eq!(place(&fleet, 0, "x", &[]), Placement::Send(id("c")));
    // The request has already failed at the only server that is open.
    assert_eq!(place(&fleet, 0, "x", &[id("c")]), Placement::Paused(at(3_000)));
    assert_eq!(plain_pause_end(at(0), &fleet, &demand("x", 0), &[]), None);
    pause(&mut fleet, 0, "c", 5_000);
    assert_eq!(place(&fleet, 0, "x", &[]), Placement::Paused(at(3_000)));
    assert_eq!(plain_pause_end(at(0), &fleet, &demand("x", 0), &[]), Some(at(3_000)));
    assert_eq!(place_plain(at(0), &fleet, &demand("x", 0), &local_domain(), &[]), None);
    assert_eq!(place(&fleet, 3_000, "x", &[]), Placement::Send(id("b")));
}

/// A failed server that might recover is not in a pause, and is worth waiting for.
#[test]
fn failed_server_awaited() {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &["x"])]);
    pause(&mut fleet, 0, "a", 4_000);
    fleet.on_sent(at(0), &id("b"), &demand("x", 500));
    fleet.on_ended(at(0), &id("b"), &demand("x", 500), AttemptOutcome::Unreachable);

    assert_eq!(place(&fleet, 0, "x", &[]), Placement::AwaitCapacity(None));
}

#[test]
fn queued_requests_told() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = RequestQueue::new(1);
    let spec = engine_spec();
    let tickets: Vec<_> =
        (0..20).map(|_| queue.push(at(0), demand("x", 500), Vec::new())).collect();
    queue.dispatch(at(0), &mut fleet, &local_domain(), |_| Some(&spec));
    assert_eq!(queue.paused_requests().count(), 0);
    let waiting = queue.len();

    pause(&mut fleet, 5, "a", 4_000);
    queue.dispatch(at(5), &mut fleet, &local_domain(), |_| Some(&spec));

    assert_eq!(queue.paused_requests().count(), waiting);
    assert_eq!(queue.wait_cause(tickets[19]), Some(WaitCause::Paused));
    queue.dispatch(at(4_005), &mut fleet, &local_domain(), |_| Some(&spec));
    assert_eq!(queue.paused_requests().count(), 0, "it is open again");
}

#[test]
fn returns_are_spread() {
    let delays_ms = |remaining_ms: u64| -> Vec<u64> {
        (0..1_000).map(|seed| return_delay_ms(at(100), at(100 + remaining_ms), seed)).collect()
    };
    for (remaining_ms, spread_ms) in [(0, 200), (1_000, 500), (60_000, 1_000)] {
        let delays_ms = delays_ms(remaining_ms);
        assert_eq!(delays_ms.iter().min(), Some(&remaining_ms));
        assert_eq!(delays_ms.iter().max(), Some(&(remaining_ms + spread_ms - 1)));
    }
}

/// Engines get no more requests than their batch holds while another one is in a pause.
#[test]
fn engines_not_overloaded() {
    let holders: [(&str, &[&str]); 3] = [("a", &["x"]), ("b", &["x"]), ("c", &["x"])];
    let mut fleet = fleet(at(0), &holders);
    let mut queue = RequestQueue::new(1);
    let spec = engine_spec();
    pause(&mut fleet, 0, "a", 1_000);
    for now in (0..1_000).step_by(5) {
        queue.push(at(now), demand("x", 50), Vec::new());
        queue.dispatch(at(now), &mut fleet, &local_domain(), |_| Some(&spec));
        for server in fleet.servers() {
            assert!(server.open_requests <= spec.batch_limit, "{} at {now} ms", server.listed.id);
        }
        assert_eq!(fleet.server(&id("a")).expect("listed").open_requests, 0);
    }
    assert!(queue.len() > 100, "the rest waits at the entry");
}

/// Load pattern: four servers at 87% of their capacity, of which one asks for a pause. A server
/// slows down when it has more requests than it processes at once, and asks for a pause itself when
/// it has half as many again.
#[test]
fn pause_does_not_spread() {
    const SERVICE_TIME_MS: u64 = 100;
    const ARRIVALS_PER_S: u64 = 280;
    const OVERLOADED: u32 = 12;
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[]), ("c", &[]), ("d", &[])]);
    let request = demand("x", 0);
    let mut ends: BTreeMap<u64, Vec<ServerId>> = BTreeMap::new();
    let (mut arrived, mut completed, mut pauses) = (0, 0, Vec::new());
    for now in 0..6_000 {
        if now == 1_000 {
            pause(&mut fleet, now, "a", 3_000);
        }
        for server in ends.remove(&now).unwrap_or_default() {
            fleet.on_response_started(at(now), &server, &request, SERVICE_TIME_MS, 0.0);
            fleet.on_ended(at(now), &server, &request, AttemptOutcome::Answered);
            completed += 1;
        }
        while arrived < now * ARRIVALS_PER_S / 1_000 {
            arrived += 1;
            let placed = place_plain(at(now), &fleet, &request, &local_domain(), &[]);
            let Some(server) = placed else { continue };
            fleet.on_sent(at(now), &server, &request);
            let open = u64::from(fleet.server(&server).expect("listed").open_requests);
            if open > u64::from(OVERLOADED) {
                pauses.push((now, server.clone()));
                fleet.on_ended(at(now), &server, &request, AttemptOutcome::Paused);
                pause(&mut fleet, now, server.as_str(), 1_000);
                continue;
            }
            let service_time_ms = SERVICE_TIME_MS * open.max(8) / 8;
            ends.entry(now + service_time_ms).or_default().push(server);
        }
    }

    assert!(pauses.is_empty(), "the pause spread: {pauses:?}");
    assert!(completed * 100 >= arrived * 90, "{completed} of {arrived} served");
}
