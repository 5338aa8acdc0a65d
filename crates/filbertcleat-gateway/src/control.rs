//! The interface between an agent and its engine.

use filbertcleat_base::Fault;
use filbertcleat_platform::CallError;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;

use crate::EngineAnswer;

/// The engine that an agent controls, on the same VM.
pub trait EngineControl: 'static {
    /// Requests a report of the loaded models and adapters and of the running requests.
    fn report(&self) -> impl Future<Output = EngineAnswer<Result<EngineReport, Fault>>>;

    /// Sends an order to load or unload a model or an adapter.
    fn order(
        &self,
        order: &Order,
    ) -> impl Future<Output = EngineAnswer<Result<OrderResponse, CallError>>>;
}

/// The response of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// The engine is executing the order.
    Accepted,
    /// The engine was already in the ordered state, or executed the order at once.
    Done,
    /// The order is addressed to another incarnation of the engine.
    Misdirected,
    /// The engine does not execute the order.
    Refused {
        /// The HTTP status of the response.
        status: u16,
    },
}
