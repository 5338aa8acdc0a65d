//! The most that the requests of a workspace may cost within a window, whatever fails.

mod support;

use filbertcleat_serve::AllowanceRefusal;
use filbertcleat_serve::BucketSpec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use self::support::allowance_site::AllowanceSite;
use self::support::allowance_site::BOUNDS;
use self::support::allowance_site::READY_MS;
use self::support::allowance_site::allowance;

const WORKSPACE: u64 = 5;
const ENTRIES: usize = 24;
const AGENTS: usize = 24;
/// Two windows and a half.
const RUN_MS: u64 = 20_000;
/// How the demand jumps, in multiples of the rate.
const JUMP: f64 = 6.6 / 1.8;
/// The time in which all entries learn of a change of the catalogue.
const CATALOGUE_MS: u64 = 2_000;

/// Returns the most that may run within a window.
fn upper_bound(rate: f64, burst: f64) -> u64 {
    (BOUNDS.allowed(rate, burst) + BOUNDS.margin(rate, burst)) as u64
}

/// Creates a site in which a workspace asks for `excess` times its rate at all entries.
fn demanding_site(seed: u64, rate: f64, excess: f64) -> AllowanceSite {
    let mut site = AllowanceSite::new(seed, ENTRIES, AGENTS);
    let mut rng = SmallRng::seed_from_u64(seed);
    site.set_allowance(WORKSPACE, allowance(rate, rate), 1);
    let mut us = 0.0;
    while us < RUN_MS as f64 * 1_000.0 {
        let cost = rng.random_range(200..=4_400_u64);
        us += cost as f64 / (rate * excess) * 1e6;
        let entry = rng.random_range(0..ENTRIES);
        site.arrive(READY_MS + (us / 1_000.0) as u64, entry, WORKSPACE, cost);
    }
    site
}

/// Returns all agents but one.
fn without(agent: usize) -> Vec<usize> {
    (0..AGENTS).filter(|other| *other != agent).collect()
}

/// Something that fails or changes while requests come.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    HolderKilled,
    HolderFrozen,
    HolderRestarts,
    AllHoldersRestart,
    HolderCutFromHalf,
    AllCutFromHalf,
    EntriesFrozen,
    EntriesRestart,
    HolderRemoved,
    HolderAdded,
    HalfOutdated,
    HolderLeaving,
    Lossy,
    Slow,
    NotRun,
}

/// Lets the fault happen during a run.
fn run(site: &mut AllowanceSite, fault: Fault) {
    let holder = site.holders(WORKSPACE, 1)[0];
    let mut rng = SmallRng::seed_from_u64(11);
    if let Fault::HolderAdded | Fault::HalfOutdated = fault {
        (0..ENTRIES).for_each(|entry| site.set_list(entry, without(holder), 2));
    }
    if let Fault::Lossy = fault {
        (site.loss, site.duplicates) = (0.2, 0.2);
    }
    if let Fault::Slow = fault {
        (site.delay_us, site.duplicates) = ((500, 120_000), 0.1);
    }
    // The first request of which it is not known whether it runs.
    let mut next = 0;
    for ms in (0..RUN_MS).step_by(100) {
        site.run_until(READY_MS + ms);
        match (fault, ms) {
            (Fault::HolderKilled, 3_000) => site.kill_agent(holder),
            (Fault::HolderKilled, _) if (5_000..5_000 + ENTRIES as u64 * 100).contains(&ms) => {
                site.set_list((ms - 5_000) as usize / 100, without(holder), 2);
            }
            (Fault::HolderFrozen, 3_000 | 9_000) => site.freeze_agent(holder),
            (Fault::HolderFrozen, 5_000 | 13_000) => site.thaw_agent(holder),
            (Fault::HolderRestarts, _) if ms % 1_500 == 0 => site.restart_agent(holder),
            (Fault::AllHoldersRestart, 4_000 | 7_000) => {
                (0..AGENTS).for_each(|agent| site.restart_agent(agent));
            }
            (Fault::HolderCutFromHalf, 2_000) => {
                site.cuts = (0..ENTRIES / 2).map(|entry| (entry, holder)).collect();
            }
            (Fault::AllCutFromHalf, 2_000) => {
                let cuts =
                    (0..ENTRIES / 2).flat_map(|entry| (0..AGENTS).map(move |to| (entry, to)));
                site.cuts = cuts.collect();
            }
            (Fault::HolderCutFromHalf | Fault::AllCutFromHalf, 12_000) => site.cuts.clear(),
            (Fault::EntriesFrozen, _) if ms % 2_000 == 0 => {
                (0..ENTRIES / 2).for_each(|entry| site.freeze_entry(entry));
            }
            (Fault::EntriesFrozen, _) if ms % 2_000 == 1_500 => {
                (0..ENTRIES / 2).for_each(|entry| site.thaw_entry(entry));
            }
            (Fault::EntriesRestart, _) => site.restart_entry(rng.random_range(0..ENTRIES)),
            // Each entry learns of the change at another time within that of the catalogue.
            (Fault::HolderRemoved, _) if (4_000..4_000 + CATALOGUE_MS).contains(&ms) => {
                for entry in (0..ENTRIES).filter(|entry| entry % 20 == (ms as usize / 100) % 20) {
                    site.set_list(entry, without(holder), 2);
                }
            }
            (Fault::HolderAdded, _) if (4_000..4_000 + CATALOGUE_MS).contains(&ms) => {
                for entry in (0..ENTRIES).filter(|entry| entry % 20 == (ms as usize / 100) % 20) {
                    site.set_list(entry, (0..AGENTS).collect(), 3);
                }
            }
            // Half of the entries never learn of it.
            (Fault::HalfOutdated, 4_000) => {
                (0..ENTRIES / 2).for_each(|entry| site.set_list(entry, (0..AGENTS).collect(), 3));
            }
            (Fault::HolderLeaving, 4_000) => site.set_agent_leaving(holder),
            (Fault::NotRun, _) => {
                // A third of the requests of the last two seconds turn out not to run.
                while site.decided.get(next).is_some_and(|one| one.at_ms + 2_000 <= READY_MS + ms) {
                    if rng.random_bool(0.33) {
                        site.give_back(next);
                    }
                    next += 1;
                }
            }
            _ => {}
        }
    }
    site.run_until(READY_MS + RUN_MS + 2_000);
}

/// Guards against requests beyond the bound, and checks that the failure leaves something to use.
#[rstest]
fn window_bounded(
    #[values(
        Fault::None,
        Fault::HolderKilled,
        Fault::HolderFrozen,
        Fault::HolderRestarts,
        Fault::AllHoldersRestart,
        Fault::HolderCutFromHalf,
        Fault::AllCutFromHalf,
        Fault::EntriesFrozen,
        Fault::EntriesRestart,
        Fault::HolderRemoved,
        Fault::HolderAdded,
        Fault::HalfOutdated,
        Fault::HolderLeaving,
        Fault::Lossy,
        Fault::Slow,
        Fault::NotRun
    )]
    fault: Fault,
    #[values(2_700.0, 30_000.0, 248_590.0)] rate: f64,
    #[values(JUMP, 20.0)] excess: f64,
) {
    let mut site = demanding_site(1, rate, excess);

    run(&mut site, fault);

    let worst = site.worst_window(WORKSPACE, 0, u64::MAX);
    let bound = upper_bound(rate, rate);
    let granted = site.granted_since(READY_MS);
    let share = granted as f64 / (rate * RUN_MS as f64 / 1_000.0);
    println!(
        "{fault:?} {rate} x{excess:.1}: worst {:.3}, used {share:.2}",
        worst as f64 / bound as f64
    );
    assert!(worst <= bound, "{worst} of {bound}");
    assert!(granted > 0);
}

/// Guards against a lower limit that is not binding one window after all entries have applied it,
/// and a higher one that is not usable.
#[rstest]
fn changed_rate_binding(
    #[values((248_590.0, 30_000.0), (30_000.0, 2_700.0), (2_700.0, 248_590.0))] rates: (f64, f64),
    #[values(1, 2, 3)] seed: u64,
) {
    let (before, after) = rates;
    let mut site = demanding_site(seed, before.max(after), JUMP);
    site.set_allowance(WORKSPACE, allowance(before, before), 1);
    site.run_until(READY_MS + 6_000);
    site.set_allowance(WORKSPACE, allowance(after, after), 2);
    site.run_until(READY_MS + RUN_MS);

    let changed_ms = READY_MS + 6_000;
    let worst_of_both = site.worst_window(WORKSPACE, 0, u64::MAX);
    let worst_after = site.worst_window(WORKSPACE, changed_ms + BOUNDS.window_ms, u64::MAX);

    assert!(worst_of_both <= upper_bound(before.max(after), before.max(after)));
    assert!(worst_after <= upper_bound(after, after), "{worst_after}");
    let usable = after * (RUN_MS - 6_000) as f64 / 1_000.0;
    assert!(site.granted_since(changed_ms) as f64 >= 0.95 * usable);
}

/// Guards against tokens out of nothing when no agent is left.
#[test]
fn nothing_without_agents() {
    let mut site = demanding_site(1, 30_000.0, 2.0);
    site.run_until(READY_MS + 2_000);
    (0..AGENTS).for_each(|agent| site.kill_agent(agent));
    site.run_until(READY_MS + 2_400);
    let decided_before = site.decided.len();

    site.run_until(READY_MS + 8_000);

    let after = &site.decided[decided_before..];
    assert!(after.len() > 100);
    assert!(after.iter().all(|one| one.refusal == Some(AllowanceRefusal::Unreachable)));
    let slowest = after.iter().map(|one| one.at_ms - one.arrived_ms).max();
    assert!(slowest <= Some(150), "{slowest:?}");
}

/// Guards against a large workspace that loses more than the bucket of a killed agent, and against
/// refusals with 429 that its demand does not justify.
#[test]
fn killed_agent_costs_its_bucket() {
    let rate = 248_590.0;
    let mut site = demanding_site(1, rate, 0.75);
    site.run_until(READY_MS + 3_000);
    site.kill_agent(site.holders(WORKSPACE, 1)[0]);
    site.run_until(READY_MS + RUN_MS);

    let refused = site.decided.iter().filter(|one| one.refusal.is_some()).count();
    assert_eq!(refused, 0, "of {}", site.decided.len());
}

/// A fault of the property test, at an agent or an entry.
#[derive(Clone, Copy, Debug)]
enum Step {
    FreezeAgent(usize),
    ThawAgent(usize),
    RestartAgent(usize),
    FreezeEntry(usize),
    ThawEntry(usize),
    RestartEntry(usize),
    Cut(usize, usize),
    HealAll,
    GiveBack(usize),
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    // Agents are numbered by the buckets of the workspace that they hold, the standby's before the
    // others.
    let step = prop_oneof![
        (0..8_usize).prop_map(Step::FreezeAgent),
        (0..8_usize).prop_map(Step::ThawAgent),
        (0..8_usize).prop_map(Step::RestartAgent),
        (0..ENTRIES).prop_map(Step::FreezeEntry),
        (0..ENTRIES).prop_map(Step::ThawEntry),
        (0..ENTRIES).prop_map(Step::RestartEntry),
        (0..ENTRIES, 0..8_usize).prop_map(|(entry, agent)| Step::Cut(entry, agent)),
        Just(Step::HealAll),
        (1..40_usize).prop_map(Step::GiveBack),
    ];
    prop::collection::vec((1..600_u64, step), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(36),
        ..ProptestConfig::default()
    })]

    /// Guards against sequences of faults that add up to more than the bound.
    #[test]
    fn window_bounded_by_any_faults(
        seed in 0..1_000_u64,
        rate in prop_oneof![Just(2_700.0), Just(30_000.0), Just(248_590.0)],
        loss in 0.0..0.2_f64,
        duplicates in 0.0..0.2_f64,
        delay_ms in 1..100_u64,
        steps in steps(),
    ) {
        let mut site = demanding_site(seed, rate, JUMP);
        (site.loss, site.duplicates) = (loss, duplicates);
        site.delay_us = (500, delay_ms * 1_000);
        let mut holders = site.holders(WORKSPACE, BucketSpec::count(rate));
        let others = (0..AGENTS).filter(|agent| !holders.contains(agent));
        let others: Vec<usize> = others.take(8 - holders.len()).collect();
        holders.extend(others);
        let mut ms = READY_MS;
        for (pause_ms, step) in steps {
            ms += pause_ms;
            site.run_until(ms);
            match step {
                Step::FreezeAgent(agent) => site.freeze_agent(holders[agent]),
                Step::ThawAgent(agent) => site.thaw_agent(holders[agent]),
                Step::RestartAgent(agent) => site.restart_agent(holders[agent]),
                Step::FreezeEntry(entry) => site.freeze_entry(entry),
                Step::ThawEntry(entry) => site.thaw_entry(entry),
                Step::RestartEntry(entry) => site.restart_entry(entry),
                Step::Cut(entry, agent) => {
                    site.cuts.insert((entry, holders[agent]));
                }
                Step::HealAll => site.cuts.clear(),
                Step::GiveBack(count) => {
                    let first = site.decided.len().saturating_sub(count);
                    (first..site.decided.len()).for_each(|decided| site.give_back(decided));
                }
            }
        }
        site.run_until(READY_MS + RUN_MS);

        let worst = site.worst_window(WORKSPACE, 0, u64::MAX);
        prop_assert!(worst <= upper_bound(rate, rate), "{} of {}", worst, upper_bound(rate, rate));
    }
}
