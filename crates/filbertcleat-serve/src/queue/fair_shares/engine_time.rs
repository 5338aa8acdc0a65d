//! Estimates the engine time that a request takes.

/// The engine time that tokens take at the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineTime {
    /// The learned prefill time per prompt token.
    pub ms_per_prompt_token: f64,
    /// The number of requests that an engine decodes at once.
    pub batch_limit: u32,
}

impl EngineTime {
    /// The time of a decoding step, for which a request occupies one of the places of a batch per
    /// token. Known engines take 5 to 10 ms. It is not learned, because prefill dominates.
    const STEP_MS: f64 = 10.0;

    /// Estimates the engine time of a request. It is at least 1 ms, so that requests without token
    /// counts are shared too.
    pub fn of(self, prompt_tokens: u64, output_tokens_max: u64) -> f64 {
        let prefill_ms = prompt_tokens as f64 * self.ms_per_prompt_token;
        let step_share_ms = Self::STEP_MS / f64::from(self.batch_limit.max(1));
        (prefill_ms + output_tokens_max as f64 * step_share_ms).max(1.0)
    }
}
