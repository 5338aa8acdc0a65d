//! Bounds the number of tokens that an event of a stream holds.

/// An upper bound on the number of tokens in an event.
///
/// No stream holds more tokens than its request allows, so that each finished stream bounds the
/// tokens of an event, and one that reached the largest number shows it. Only the last event may be
/// shorter. The lowest bound of the latest streams counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenRate {
    previous: f64,
    current: f64,
    streams: u32,
}

impl Default for TokenRate {
    fn default() -> Self {
        Self { previous: f64::INFINITY, current: f64::INFINITY, streams: 0 }
    }
}

impl TokenRate {
    /// The streams after which a bound is renewed, so that it can rise with a new software version.
    const WINDOW_STREAMS: u32 = 1_000;

    /// Records the number of events of a finished stream.
    pub fn observe(&mut self, tokens_max: u64, events: u32) {
        if tokens_max == 0 || events < 2 {
            return;
        }
        self.current = self.current.min(tokens_max as f64 / f64::from(events - 1));
        self.streams += 1;
        if self.streams >= Self::WINDOW_STREAMS {
            *self = Self { previous: self.current, current: f64::INFINITY, streams: 0 };
        }
    }

    /// Returns the bound, if any stream shows one.
    pub fn get(self) -> Option<f64> {
        let bound = self.previous.min(self.current);
        bound.is_finite().then_some(bound)
    }
}
