//! Why an exchange brought no answer.

/// Why an exchange brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ExchangeError {
    /// The connection was closed before the request was transmitted.
    Unsent,
    /// The connection broke before an answer arrived, or what arrived is no answer.
    Broken,
    /// No answer arrived in time.
    Silent,
}
