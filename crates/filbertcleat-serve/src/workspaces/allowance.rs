//! The allowance of a workspace.

/// What the requests of a workspace may cost over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The cost per second.
    pub rate_per_s: f64,
    /// The cost beyond the rate that may come at once.
    pub burst: f64,
    /// How the cost of a request is counted.
    pub unit: AllowanceUnit,
}

impl Allowance {
    /// Returns the cost of a request with these numbers of prompt tokens and of tokens to generate,
    /// which are both 0 if the request states neither.
    pub fn cost(&self, prompt_tokens: u64, output_tokens_max: u64) -> u64 {
        match self.unit {
            AllowanceUnit::Requests => 1,
            AllowanceUnit::Tokens { default } => {
                match prompt_tokens.saturating_add(output_tokens_max) {
                    0 => default,
                    tokens => tokens,
                }
            }
        }
    }
}

/// How the cost of a request is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceUnit {
    /// Each request counts one.
    Requests,
    /// A request counts its prompt tokens and the tokens that it may generate.
    Tokens {
        /// The cost of a request that states no tokens.
        default: u64,
    },
}
