//! The expected length of an output.

/// The expected length of an output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutputEstimate {
    /// The mean number of tokens.
    pub expected_tokens: f64,
    /// The number of tokens that one of a hundred outputs exceeds.
    pub high_tokens: f64,
    /// The mean, as a multiple of that of all requests of the route.
    pub relative: f64,
}
