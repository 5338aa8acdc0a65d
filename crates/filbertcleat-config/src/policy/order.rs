//! The policies for queues and turns.

use serde::Deserialize;
use serde::Serialize;

/// How waiting requests are ordered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueuePolicy {
    /// By class, deadline and age, with requests for one adapter together.
    #[default]
    Grouped,
    /// By arrival.
    #[serde(rename = "first-come")]
    Fifo,
}

/// How the turn at the weight store is given.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadPermitPolicy {
    /// To the load with the most urgent waiting work.
    #[default]
    Urgency,
    /// To the load asked for first.
    #[serde(rename = "first-come")]
    Fifo,
}
