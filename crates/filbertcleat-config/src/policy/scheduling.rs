//! Policies for request queues and load permits.

use serde::Deserialize;
use serde::Serialize;

/// How queued requests are ordered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueuePolicy {
    /// By class, deadline and age, with the requests for one adapter grouped together.
    #[default]
    Grouped,
    /// By time of arrival.
    #[serde(rename = "first-come")]
    Fifo,
}

/// How load permits for a weight store are granted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadPermitPolicy {
    /// To the load with the most urgent waiting requests.
    #[default]
    Urgency,
    /// To the load that was requested first.
    #[serde(rename = "first-come")]
    Fifo,
}
