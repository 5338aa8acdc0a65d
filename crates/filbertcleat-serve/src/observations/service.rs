//! What one or several entries have observed of the engines of a service.

use filbertcleat_base::ServiceName;

use crate::PrefillObservations;

/// What one or several entries have observed of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceObservations {
    /// The service.
    pub service: ServiceName,
    /// The times to the first event.
    pub prefill: PrefillObservations,
}
