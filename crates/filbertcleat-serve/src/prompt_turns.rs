//! Decides when entries may send prompts to an engine.

mod request;
mod turn;

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

pub use self::request::PromptTurnRequest;
pub use self::turn::PromptTurn;
use crate::fleet::PrefillPacer;

/// The prompts that an agent has let entries send to its engine.
///
/// An engine delays all its running streams by the prompts that it reads at once. Each entry paces
/// its own prompts, but in a large fleet the entries learn of each other's prompts only later than a
/// prompt takes to read, so that several of them choose the same engine at the same moment. The
/// agent beside the engine is the one process that sees all of them.
///
/// Load pattern: 50 entries send prompts to 50 engines, a third of what the engines can read. Each
/// engine gets few prompts a second, but often several of them within the objective of a gap.
#[derive(Clone, Debug, Default)]
pub struct PromptTurns {
    turns: VecDeque<Assigned>,
}

/// A prompt that was or will be sent.
#[derive(Clone, Copy, Debug)]
struct Assigned {
    at: MonoTime,
    prefill_ms: f64,
    adapter: Option<u64>,
}

impl PromptTurns {
    /// The time over which the load by an adapter is measured: several prompts of a hot one.
    const LOAD_WINDOW_MS: u64 = 1_000;
    /// The part of the allowed prefill time from which an adapter is hot. Another copy is loaded
    /// before its requests alone fill the engine, which also serves other adapters.
    const HOT_SHARE: f64 = 0.35;

    /// Decides when an entry should send a prompt.
    ///
    /// Prompts are sent in the order in which entries ask. Within a pacing window they fill at most
    /// the requested budget, unless a single prompt exceeds it. A prompt for which there is no room
    /// within its longest delay gets no turn. If it were sent at the end of the delay, it would meet
    /// all others that wait for the same moment, as those do that waited for the load of an adapter.
    pub fn assign(&mut self, now: MonoTime, request: PromptTurnRequest) -> PromptTurn {
        while self.turns.front().is_some_and(|turn| now.ms_since(turn.at) >= Self::LOAD_WINDOW_MS) {
            self.turns.pop_front();
        }
        let latest = now.plus_ms(request.delay_max_ms);
        let last = self.turns.back().map_or(now, |turn| turn.at);
        let mut start = last.clamp(now, latest);
        let mut leaving = self.turns.iter().map(|turn| turn.at.plus_ms(PrefillPacer::WINDOW_MS));
        while start < latest && !self.has_room(start, &request) {
            // The window has more room when the next prompt leaves it.
            let next = leaving.find(|left_at| *left_at > start);
            start = next.unwrap_or(latest).min(latest);
        }
        let is_full = !self.has_room(start, &request);
        let is_adapter_hot = self.is_hot(&request);
        if !is_full {
            let PromptTurnRequest { prefill_ms, adapter, .. } = request;
            self.turns.push_back(Assigned { at: start, prefill_ms, adapter });
        }
        PromptTurn { delay_ms: start.ms_since(now), is_full, is_adapter_hot }
    }

    fn has_room(&self, at: MonoTime, request: &PromptTurnRequest) -> bool {
        let is_in_window = |turn: &&Assigned| turn.at.plus_ms(PrefillPacer::WINDOW_MS) > at;
        let sent_ms: f64 = self.turns.iter().filter(is_in_window).map(|turn| turn.prefill_ms).sum();
        sent_ms <= 0.0 || sent_ms + request.prefill_ms <= request.budget_ms
    }

    /// Returns whether several prompts for the request's adapter fill more of the engine than one
    /// copy should.
    fn is_hot(&self, request: &PromptTurnRequest) -> bool {
        let same = || self.turns.iter().filter(|turn| turn.adapter == request.adapter);
        let sent_ms: f64 = same().map(|turn| turn.prefill_ms).sum::<f64>() + request.prefill_ms;
        let windows = Self::LOAD_WINDOW_MS as f64 / PrefillPacer::WINDOW_MS as f64;
        request.adapter.is_some()
            && same().count() > 0
            && sent_ms > request.budget_ms * windows * Self::HOT_SHARE
    }
}
