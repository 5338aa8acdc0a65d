//! How prompts of other entries enter the expected time to the first event.

mod support;

use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::Fleet;

use self::support::agent::entry_update;
use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::fleet;
use self::support::id;

fn entry_total(entry: u64, sequence: u64, sent_prompt_tokens: u64) -> EntryUpdate {
    EntryUpdate { entry, sent_prompt_tokens, ..entry_update(sequence, &[], &[]) }
}

fn agent_total(sequence: u64, others_total_tokens: u64) -> AgentUpdate {
    AgentUpdate { others_total_tokens, ..agent_update("a", sequence, &["x"]) }
}

/// Returns the expected time to the first event beyond that of an idle engine.
fn backlog_ms(fleet: &Fleet, now: u64) -> f64 {
    let server = fleet.server(&id("a")).expect("listed");
    let demand = demand("x", 500);
    server.estimated_first_event_ms(at(now), &demand) - server.idle_first_event_ms(&demand)
}

#[test]
fn totals_exclude_recipient() {
    let mut agent = AdapterScheduler::new(1);
    for (entry, sequence, total) in [(1, 1, 100), (2, 1, 7_000), (1, 2, 400), (2, 2, 7_050)] {
        agent.apply_entry_update(at(sequence), entry_total(entry, sequence, total));
    }

    // The first total of an entry does not show when its prompts were sent.
    assert_eq!(agent.others_total_tokens(1), 50);
    assert_eq!(agent.others_total_tokens(2), 300);
    assert_eq!(agent.others_total_tokens(3), 350);
}

#[test]
fn prompts_counted_once() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.apply_update(at(10), agent_total(3, 1_000));
    let once = backlog_ms(&fleet, 10);
    assert!(once > 0.0);
    // The agent repeats its totals in every update; only new prompts make the engine busier.
    for sequence in 4..30 {
        fleet.apply_update(at(10), agent_total(sequence, 1_000));
    }

    assert!((backlog_ms(&fleet, 10) - once).abs() < 1e-6);
    assert!(backlog_ms(&fleet, 10 + once as u64 + 1) < 1e-6, "the engine has read the prompts");
}

#[test]
fn new_agent_starts_over() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.apply_update(at(0), agent_total(2, 0));

    fleet.apply_update(at(10), AgentUpdate { agent: 2, ..agent_total(1, 900_000) });

    assert!(backlog_ms(&fleet, 10) < 1e-6, "the total of another incarnation");
}
