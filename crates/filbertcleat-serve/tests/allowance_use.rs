//! How much of an allowance is usable, at what cost.

mod support;

use filbertcleat_serve::AllowanceRefusal;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use self::support::allowance_site::AllowanceSite;
use self::support::allowance_site::READY_MS;
use self::support::allowance_site::allowance;

/// The time that requests come for.
const RUN_MS: u64 = 8_000;
/// The tokens and the requests per second of the design size.
const DESIGN_TOKENS_PER_S: f64 = 540_000.0;
const DESIGN_REQUESTS_PER_S: f64 = 2_500.0;
/// The target for the share of an allowance that is usable.
const USABLE_SHARE: f64 = 0.95;
/// The target for the traffic of a node.
const NODE_BYTES_PER_S: usize = 2_000;

/// Where the requests of a workspace arrive.
#[derive(Clone, Copy, Debug)]
enum Pattern {
    OneEntry,
    Moving,
    Spread,
}

impl Pattern {
    fn entry(self, rng: &mut SmallRng, workspace: u64, ms: u64, entries: usize) -> usize {
        match self {
            Self::OneEntry => workspace as usize % entries,
            Self::Moving => (workspace + ms / 1_000 * 7) as usize % entries,
            Self::Spread => rng.random_range(0..entries),
        }
    }
}

/// Plays the load of the design size, in which each workspace asks for `excess` times its allowance.
/// Returns the site and the allowance of all workspaces per second.
fn play(pattern: Pattern, entries: usize, workspaces: u64, excess: f64) -> AllowanceSite {
    let mut site = AllowanceSite::new(1, entries, entries.max(24));
    let mut rng = SmallRng::seed_from_u64(2);
    let rate = DESIGN_TOKENS_PER_S / workspaces as f64;
    for workspace in 0..workspaces {
        site.set_allowance(workspace, allowance(rate, rate), 1);
    }
    let mean_cost = DESIGN_TOKENS_PER_S / DESIGN_REQUESTS_PER_S;
    let count = DESIGN_REQUESTS_PER_S * excess * RUN_MS as f64 / 1_000.0;
    for number in 0..count as u64 {
        let ms = (number as f64 / count * RUN_MS as f64) as u64;
        let workspace = number % workspaces;
        let cost = (mean_cost * rng.random_range(0.5..1.5)) as u64;
        let entry = pattern.entry(&mut rng, workspace, ms, entries);
        site.arrive(READY_MS + ms, entry, workspace, cost);
    }
    site.run_until(READY_MS + RUN_MS + 1_000);
    site
}

/// Guards against tokens that lie unused at entries or get lost.
#[rstest]
fn allowance_usable(
    #[values(Pattern::OneEntry, Pattern::Moving, Pattern::Spread)] pattern: Pattern,
    #[values(3, 24, 410)] entries: usize,
    #[values(16, 2_000)] workspaces: u64,
) {
    let site = play(pattern, entries, workspaces, 1.5);

    let granted = site.granted_since(READY_MS) as f64;
    let usable = DESIGN_TOKENS_PER_S * RUN_MS as f64 / 1_000.0;
    println!("{pattern:?} {entries} {workspaces}: {:.3}", granted / usable);
    assert!(granted >= usable * USABLE_SHARE, "{granted} of {usable}");
}

/// Returns the most bytes that an entry and an agent send per second while each workspace asks for
/// nine tenths of its allowance.
fn traffic(pattern: Pattern, entries: usize, workspaces: u64) -> usize {
    let site = play(pattern, entries, workspaces, 0.9);
    let seconds = RUN_MS as usize / 1_000;
    let entry = site.sent_bytes_by_entry.iter().max().expect("there are entries") / seconds;
    let agent = site.sent_bytes_by_agent.iter().max().expect("there are agents") / seconds;
    let sum: usize = site.sent_bytes_by_entry.iter().chain(&site.sent_bytes_by_agent).sum();
    let mean = sum / seconds / (site.sent_bytes_by_entry.len() + site.sent_bytes_by_agent.len());
    println!("{pattern:?} {entries} {workspaces}: entry {entry} agent {agent} mean {mean} bytes/s");
    entry.max(agent)
}

/// Guards against traffic that a small VM can't afford.
#[rstest]
#[case::one_entry_24_16(Pattern::OneEntry, 24, 16)]
#[case::one_entry_410_16(Pattern::OneEntry, 410, 16)]
#[case::one_entry_410_2000(Pattern::OneEntry, 410, 2_000)]
#[case::moving_24_16(Pattern::Moving, 24, 16)]
#[case::moving_410_16(Pattern::Moving, 410, 16)]
#[case::moving_410_2000(Pattern::Moving, 410, 2_000)]
#[case::spread_410_2000(Pattern::Spread, 410, 2_000)]
fn traffic_bounded(#[case] pattern: Pattern, #[case] entries: usize, #[case] workspaces: u64) {
    let sent = traffic(pattern, entries, workspaces);

    assert!(sent <= NODE_BYTES_PER_S, "{sent} bytes/s");
}

/// The same where entries get more requests than one datagram each leaves room for.
#[rstest]
#[case::one_entry_3_16(Pattern::OneEntry, 3, 16)]
#[case::one_entry_3_2000(Pattern::OneEntry, 3, 2_000)]
#[case::one_entry_24_2000(Pattern::OneEntry, 24, 2_000)]
#[case::moving_3_16(Pattern::Moving, 3, 16)]
#[case::moving_3_2000(Pattern::Moving, 3, 2_000)]
#[case::moving_24_2000(Pattern::Moving, 24, 2_000)]
#[case::spread_3_16(Pattern::Spread, 3, 16)]
#[case::spread_3_2000(Pattern::Spread, 3, 2_000)]
#[case::spread_24_16(Pattern::Spread, 24, 16)]
#[case::spread_24_2000(Pattern::Spread, 24, 2_000)]
#[case::spread_410_16(Pattern::Spread, 410, 16)]
#[ignore = "KNOWN-RED 17"]
fn traffic_bounded_at_busy_entries(
    #[case] pattern: Pattern,
    #[case] entries: usize,
    #[case] workspaces: u64,
) {
    let sent = traffic(pattern, entries, workspaces);

    assert!(sent <= NODE_BYTES_PER_S, "{sent} bytes/s");
}

/// Guards against requests that are refused though their workspace stays within its allowance.
///
/// The requests come in clumps, each as large as a bucket of the allowance's rate and burst permits.
#[rstest]
#[case::small(2_700.0, 200..=2_700)]
#[case::large(248_590.0, 200..=4_400)]
fn nothing_refused_within_allowance(
    #[case] rate: f64,
    #[case] costs: std::ops::RangeInclusive<u64>,
    #[values(21, 43)] entries: usize,
    #[values(1, 2, 3)] seed: u64,
    #[values(0.0, 0.01)] loss: f64,
) {
    let mut site = AllowanceSite::new(seed, entries, 24);
    site.loss = loss;
    let mut rng = SmallRng::seed_from_u64(seed);
    site.set_allowance(5, allowance(rate, rate), 1);
    let (mut level, mut ms) = (rate, 0);
    while ms < 20_000 {
        // A clump of requests as large as the reference bucket permits.
        let mut cost = rng.random_range(costs.clone());
        while cost as f64 <= level {
            level -= cost as f64;
            site.arrive(READY_MS + ms, rng.random_range(0..entries), 5, cost);
            cost = rng.random_range(costs.clone());
        }
        let pause_ms = rng.random_range(1..1_500);
        ms += pause_ms;
        level = (level + pause_ms as f64 * rate / 1_000.0).min(rate);
    }

    site.run_until(READY_MS + 22_000);

    let refused: Vec<_> = site.decided.iter().filter(|one| one.refusal.is_some()).collect();
    assert!(refused.is_empty(), "{} of {}: {:?}", refused.len(), site.decided.len(), refused[0]);
    let slowest = site.decided.iter().map(|one| one.at_ms - one.arrived_ms).max();
    println!("{} requests, the slowest decision took {slowest:?} ms", site.decided.len());
    assert!(slowest <= Some(150), "{slowest:?}");
}

/// Guards against refusals of a workspace that uses its burst in each window: it sends a tenth more
/// than the rate, which stays within rate x window + burst.
#[rstest]
fn burst_usable_in_each_window(
    #[values(30_000.0, 248_590.0)] rate: f64,
    #[values(21, 43)] entries: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut site = AllowanceSite::new(seed, entries, 24);
    let mut rng = SmallRng::seed_from_u64(seed);
    site.set_allowance(5, allowance(rate, rate), 1);
    let mut sent = 0.0;
    for ms in 0..40_000 {
        while sent < f64::from(ms) * rate * 1.1 / 1_000.0 {
            let cost = rng.random_range(200..=3_000);
            sent += cost as f64;
            site.arrive(READY_MS + ms as u64, rng.random_range(0..entries), 5, cost);
        }
    }

    site.run_until(READY_MS + 42_000);

    let refused = site.decided.iter().filter(|one| one.refusal.is_some()).count();
    assert_eq!(refused, 0, "of {} requests", site.decided.len());
}

/// Guards against a demand far over the allowance that gets less than the allowance.
#[rstest]
#[case::small(2_700.0)]
#[case::large(248_590.0)]
fn allowance_usable_in_jump(#[case] rate: f64, #[values(21, 43)] entries: usize) {
    let mut site = AllowanceSite::new(7, entries, 24);
    let mut rng = SmallRng::seed_from_u64(7);
    site.set_allowance(5, allowance(rate, rate), 1);
    // The rate is 1.8 times the usual demand, which jumps to 6.6 times the usual.
    let demand = rate / 1.8 * 6.6;
    let mut us = 0.0;
    while us < RUN_MS as f64 * 1_000.0 {
        let cost = rng.random_range(200..=4_400_u64);
        us += cost as f64 / demand * 1e6;
        site.arrive(READY_MS + (us / 1_000.0) as u64, rng.random_range(0..entries), 5, cost);
    }

    site.run_until(READY_MS + RUN_MS);

    let granted = site.granted_since(READY_MS) as f64;
    let usable = rate * RUN_MS as f64 / 1_000.0;
    let unreachable =
        site.decided.iter().filter(|one| one.refusal == Some(AllowanceRefusal::Unreachable));
    println!("{:.3} usable, {} decided", granted / usable, site.decided.len());
    assert_eq!(unreachable.count(), 0);
    assert!(granted >= usable * USABLE_SHARE, "{granted} of {usable}");
}

/// Guards against a share that stays where the requests were: the first second after all requests
/// have moved to another entry.
#[test]
fn share_moves_within_a_second() {
    let mut site = AllowanceSite::new(3, 24, 24);
    let rate = 30_000.0;
    site.set_allowance(5, allowance(rate, rate), 1);
    let (requests_per_s, cost) = (60, 1_000);
    for number in 0..requests_per_s * 6 {
        let ms = number * 1_000 / requests_per_s;
        site.arrive(READY_MS + ms, if ms < 4_000 { 0 } else { 13 }, 5, cost);
    }

    site.run_until(READY_MS + 7_000);

    let moved = site.decided.iter().filter(|one| one.refusal.is_none() && one.entry == 13);
    let first_second = moved.filter(|one| one.at_ms < READY_MS + 5_000);
    let granted: u64 = first_second.map(|one| one.cost).sum();
    assert!(granted as f64 >= rate * USABLE_SHARE, "{granted}");
}

/// Guards against a `Retry-After` that is not true: callers who come back at the time that they were
/// told are refused again, as others were told the same time.
#[test]
fn refused_callers_served_on_return() {
    callers_return(7, 2_700.0, 30);
}

/// The same while others come for the first time, who may take the tokens of those who come back. A
/// single seed may pass by chance, as about one caller in 200 is refused again.
#[rstest]
#[ignore = "KNOWN-RED 18"]
fn refused_callers_served_beside_new_ones(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    callers_return(seed, 248_590.0, 600);
}

/// Lets requests of 1,000 tokens come within 200 ms, and all refused ones come back when they were
/// told.
fn callers_return(seed: u64, rate: f64, requests: u64) {
    let mut site = AllowanceSite::new(seed, 24, 24);
    let mut rng = SmallRng::seed_from_u64(seed);
    site.set_allowance(5, allowance(rate, rate), 1);
    for number in 0..requests {
        let ms = number * 200 / requests;
        site.arrive(READY_MS + ms, rng.random_range(0..24), 5, 1_000);
    }
    let (mut next, mut refused, mut again) = (0, 0, 0);
    for ms in READY_MS..READY_MS + 40_000 {
        site.run_until(ms);
        while next < site.decided.len() {
            let one = site.decided[next];
            let is_return = one.arrived_ms > READY_MS + 200;
            match one.refusal {
                None => {}
                Some(AllowanceRefusal::Exceeded { .. }) if is_return => again += 1,
                Some(AllowanceRefusal::Exceeded { retry_after_ms, .. }) => {
                    refused += 1;
                    site.arrive(one.at_ms + retry_after_ms, rng.random_range(0..24), 5, 1_000);
                }
                Some(AllowanceRefusal::Unreachable) => panic!("all agents respond"),
            }
            next += 1;
        }
    }

    println!("{again} of {refused} refused again");
    assert!(refused > 10, "{refused}");
    assert_eq!(again, 0, "of {refused}");
}
