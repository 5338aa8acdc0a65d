//! When entries may send prompts to an engine.

mod support;

use filbertcleat_base::mix_hashes;
use filbertcleat_serve::PromptTurnRequest;
use filbertcleat_serve::PromptTurns;
use rstest::rstest;

use self::support::at;

/// The window over which prompts are paced.
const WINDOW_MS: u64 = 300;
const BUDGET_MS: f64 = 180.0;
/// Half of a latency objective of one second.
const DELAY_MAX_MS: u64 = 500;

fn prompt(prefill_ms: f64, adapter: u64) -> PromptTurnRequest {
    let adapter = Some(adapter);
    PromptTurnRequest { prefill_ms, budget_ms: BUDGET_MS, delay_max_ms: DELAY_MAX_MS, adapter }
}

#[test]
fn idle_engine_at_once() {
    let mut turns = PromptTurns::default();

    assert_eq!(turns.assign(at(1_000), prompt(90.0, 1)).delay_ms, 0);
    assert_eq!(turns.assign(at(1_001), prompt(90.0, 2)).delay_ms, 0);
}

/// Guards against a prompt that no window has room for waiting forever.
#[test]
fn long_prompt_sent_alone() {
    let mut turns = PromptTurns::default();

    assert_eq!(turns.assign(at(1_000), prompt(400.0, 1)).delay_ms, 0);
    assert_eq!(turns.assign(at(1_010), prompt(10.0, 2)).delay_ms, WINDOW_MS - 10);
}

/// Guards against gaps in running streams from prompts that several entries send at the same moment:
/// 50 entries send to one engine what it can read on average.
#[rstest]
fn windows_keep_budget(#[values(1, 2, 3, 4)] seed: u64) {
    let mut turns = PromptTurns::default();
    let mut sent: Vec<(u64, f64)> = Vec::new();
    let mut now_ms = 1_000;
    for draw in 0..400 {
        now_ms += mix_hashes(seed, draw) % 400;
        let prefill_ms = 20.0 + (mix_hashes(seed, draw + 10_000) % 130) as f64;
        let turn = turns.assign(at(now_ms), prompt(prefill_ms, draw));
        if turn.delay_ms < DELAY_MAX_MS {
            sent.push((now_ms + turn.delay_ms, prefill_ms));
        }
    }
    assert!(sent.len() > 300, "{} prompts were sent in time", sent.len());
    for (start, _) in &sent {
        let window = sent.iter().filter(|(at_ms, _)| (*start..start + WINDOW_MS).contains(at_ms));
        let sum_ms: f64 = window.map(|(_, prefill_ms)| prefill_ms).sum();
        assert!(sum_ms <= BUDGET_MS, "{sum_ms} ms of prompts are sent in a window");
    }
}

/// Guards against the delays of an overloaded engine growing without bound.
#[test]
fn delay_is_bounded() {
    let mut turns = PromptTurns::default();
    let delays = (0..1_000).map(|draw| turns.assign(at(1_000), prompt(100.0, draw)).delay_ms);

    assert_eq!(delays.max(), Some(DELAY_MAX_MS));
}

/// Guards against a gap from prompts that were all sent at the end of the longest delay, as after the
/// load of the adapter that they waited for.
#[test]
fn full_engine_refuses() {
    let mut turns = PromptTurns::default();
    let mut assign = |now_ms| turns.assign(at(now_ms), prompt(100.0, 1));
    let given: Vec<_> = (0..10).map(|_| assign(1_000)).filter(|turn| !turn.is_full).collect();

    let delays: Vec<_> = given.iter().map(|turn| turn.delay_ms).collect();
    assert_eq!(delays, [0, WINDOW_MS], "one prompt a window");
    assert!(!assign(1_200).is_full, "refused prompts leave their room to later ones");
}

/// Guards against an engine that is filled by one adapter while most of the fleet is idle, and
/// against copies of adapters that are asked for once.
#[test]
fn hot_adapter_told() {
    let mut turns = PromptTurns::default();
    let mut is_hot = |now_ms, prefill_ms, adapter| {
        turns.assign(at(now_ms), prompt(prefill_ms, adapter)).is_adapter_hot
    };

    assert!(!is_hot(1_000, 200.0, 1), "a single prompt makes no adapter hot");
    assert!(!is_hot(1_300, 60.0, 2));
    assert!(!is_hot(1_400, 60.0, 2));
    assert!(is_hot(1_700, 120.0, 2), "240 ms of 600 in a second");
    assert!(!is_hot(3_000, 60.0, 2), "the load has passed");
}
