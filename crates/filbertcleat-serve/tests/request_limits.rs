//! Limits on the requests of all entries that backend servers name.

mod support;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::LimitSource;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::Placement;
use filbertcleat_serve::QueueWait;
use filbertcleat_serve::RequestLimit;
use filbertcleat_serve::place_engine;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::id;
use self::support::listed;
use self::support::local_domain;

/// The window in which the requests of all entries are counted.
const WINDOW_MS: u64 = 4_000;
/// The time for which entries send.
const END_MS: u64 = 120_000;

fn named(per_s: f64) -> NamedLimit {
    NamedLimit::Named(RequestLimit::per_second(per_s).expect("a limit"))
}

/// Returns an entry that knows one server and the number of entries.
fn entry(seed: u64, entries: u32) -> Fleet {
    let mut fleet = Fleet::with_seed(seed);
    fleet.apply_listing(at(0), ListingChange::Upserted(listed("a")));
    tell_entries(&mut fleet, 0, entries);
    fleet
}

/// Applies an agent's update that tells how many entries are live.
fn tell_entries(fleet: &mut Fleet, now_ms: u64, live_entries: u32) {
    let update = AgentUpdate { live_entries, ..agent_update("a", now_ms + 1, &["x"]) };
    fleet.apply_update(at(now_ms), update);
}

fn permits(fleet: &Fleet, now: MonoTime) -> bool {
    fleet.server(&id("a")).expect("listed").has_permit(now)
}

/// Returns the most requests that arrived within any window.
fn most_in_window(times_ms: &[u64]) -> usize {
    let counts = times_ms.iter().enumerate().map(|(first, from_ms)| {
        times_ms[first..].iter().take_while(|at_ms| **at_ms < from_ms + WINDOW_MS).count()
    });
    counts.max().unwrap_or(0)
}

/// Load pattern: some or many entries always have requests for the server, or only at times.
#[rstest]
fn entries_keep_limit(
    #[values(1, 4, 28, 68, 410)] entries: u32,
    #[values(0.3, 1.0, 1.6, 5.0, 20.0)] limit_per_s: f64,
    #[values(1.0, 0.02)] demand_share: f64,
) {
    let mut random = SmallRng::seed_from_u64(7);
    let mut fleets: Vec<Fleet> = (0..entries).map(|_| entry(random.random(), entries)).collect();
    let mut sent_ms = Vec::new();
    for fleet in &mut fleets {
        fleet.on_limit(at(0), &id("a"), LimitSource::Answer, named(limit_per_s));
    }
    for now in (0..END_MS).step_by(20) {
        for fleet in &mut fleets {
            if now % 1_000 == 0 {
                tell_entries(fleet, now, entries);
            }
            if random.random_bool(demand_share) && permits(fleet, at(now)) {
                fleet.on_sent(at(now), &id("a"), &demand("x", 100));
                sent_ms.push(now);
                // The answer names the limit again.
                let limit = named(limit_per_s);
                fleet.on_limit(at(now), &id("a"), LimitSource::Answer, limit);
            }
        }
    }

    let most = most_in_window(&sent_ms);
    assert!(most as f64 <= 1.5 * limit_per_s * 4.0 + 5.0, "{most} requests in 4 s");
    let used = sent_ms.len() as f64 / (limit_per_s * END_MS as f64 / 1_000.0);
    assert!(demand_share < 1.0 || used > 0.6, "{used:.2} of the limit was used");
}

#[test]
fn lower_limit_holds_at_once() {
    let mut fleet = entry(7, 4);
    fleet.on_limit(at(0), &id("a"), LimitSource::Answer, named(400.0));
    let mut sent = 0;
    for now in 0..10_000 {
        if now == 1_000 {
            fleet.on_limit(at(now), &id("a"), LimitSource::Answer, named(1.0));
        }
        if now >= 1_000 && permits(&fleet, at(now)) {
            fleet.on_sent(at(now), &id("a"), &demand("x", 100));
            sent += 1;
        }
    }

    // One permit every five seconds: the limit of one a second, shared by four entries.
    assert!((1..=3).contains(&sent), "{sent} requests in 9 s");
}

/// A limit that comes and goes with every other answer grants no permits beyond its own.
#[test]
fn flapping_limit_holds() {
    let mut fleet = entry(7, 4);
    let mut sent = 0;
    for now in 0..20_000 {
        if now % 100 == 0 {
            fleet.on_limit(at(now), &id("a"), LimitSource::Answer, named(1.0));
        }
        if permits(&fleet, at(now)) {
            fleet.on_sent(at(now), &id("a"), &demand("x", 100));
            sent += 1;
        }
        if now % 100 == 99 {
            fleet.on_limit(at(now), &id("a"), LimitSource::Answer, NamedLimit::Absent);
        }
    }

    assert!((3..=5).contains(&sent), "{sent} requests in 20 s");
}

/// The lower one of two limits holds; an answer without a limit drops only its own.
#[test]
fn sources_kept_apart() {
    let mut fleet = entry(7, 1);
    let limit = |fleet: &Fleet| fleet.server(&id("a")).expect("listed").limit();
    let per_second = RequestLimit::per_second;

    assert!(fleet.on_limit(at(1), &id("a"), LimitSource::Agent, named(3.0)));
    assert!(fleet.on_limit(at(2), &id("a"), LimitSource::Answer, named(2.0)));
    assert_eq!(limit(&fleet), per_second(2.0));
    for silent in [NamedLimit::Unreadable, NamedLimit::Untold] {
        assert!(!fleet.on_limit(at(3), &id("a"), LimitSource::Answer, silent));
    }
    assert!(fleet.on_limit(at(4), &id("a"), LimitSource::Answer, NamedLimit::Absent));
    assert_eq!(limit(&fleet), per_second(3.0));
    assert!(fleet.on_limit(at(5), &id("a"), LimitSource::Agent, NamedLimit::Absent));
    assert_eq!(limit(&fleet), None);
    assert!(permits(&fleet, at(5)));
}

/// A limit of none would hide that it has changed.
#[test]
fn zero_limit_probed() {
    let mut fleet = entry(7, 1);
    fleet.on_limit(at(0), &id("a"), LimitSource::Answer, named(0.0));

    let open = (0..60_000).step_by(100).filter(|now| {
        let is_open = permits(&fleet, at(*now));
        if is_open {
            fleet.on_sent(at(*now), &id("a"), &demand("x", 100));
        }
        is_open
    });

    assert!((2..=4).contains(&open.count()));
}

#[rstest]
#[case::same_start(1, true)]
#[case::new_start(2, false)]
fn limit_belongs_to_start(#[case] started_unix_ms: u64, #[case] is_limited: bool) {
    let mut fleet = entry(7, 4);
    let mut record = listed("a");
    record.started_unix_ms = 1;
    fleet.apply_listing(at(0), ListingChange::Upserted(record.clone()));
    fleet.on_limit(at(1), &id("a"), LimitSource::Answer, named(1.0));
    fleet.apply_listing(at(100), ListingChange::Removed(id("a")));
    record.started_unix_ms = started_unix_ms;

    fleet.apply_listing(at(2_000), ListingChange::Upserted(record));

    assert_eq!(fleet.server(&id("a")).expect("listed").is_limited(), is_limited);
}

/// Load pattern: the only engine with an adapter names a limit, and others have room.
#[test]
fn limited_holder_relieved() {
    let mut fleet = entry(7, 4);
    fleet.apply_listing(at(0), ListingChange::Upserted(listed("b")));
    fleet.apply_update(at(0), agent_update("b", 1, &[]));
    fleet.on_limit(at(1), &id("a"), LimitSource::Answer, named(1.0));
    let request = demand("x", 100);
    let wait =
        QueueWait { adapter_tokens: 100, adapter_tokens_per_ms: 0.1, ..QueueWait::default() };

    let placed =
        place_engine(at(1_000), &fleet, &engine_spec(), &request, &local_domain(), &[], wait);

    assert_eq!(placed, Placement::AwaitLoad(id("b")));
}
