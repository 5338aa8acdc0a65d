//! Responses of the catalogue.

use filbertcleat_base::Fault;

use super::data::CatalogueData;

/// The response of the catalogue to a list or watch call.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogueResponse {
    /// The epoch of the catalogue that the response names, also if the call failed; `None` if it
    /// names none or did not arrive.
    pub epoch: Option<u64>,
    /// The data, or why there is none.
    pub result: Result<CatalogueData, Fault>,
}
