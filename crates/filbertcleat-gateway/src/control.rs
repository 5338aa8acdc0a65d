//! An engine's reports and orders.

use filbertcleat_base::Fault;
use filbertcleat_platform::CallError;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;

/// The engine beside an agent.
pub trait EngineControl: 'static {
    /// Asks the engine what it holds and does.
    fn report(&self) -> impl Future<Output = Result<EngineReport, Fault>>;

    /// Gives an order.
    fn order(&self, order: &Order) -> impl Future<Output = Result<OrderResponse, CallError>>;
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already, or was done at once.
    Done,
    /// It is not the incarnation that the order is for.
    Misdirected,
    /// It does not carry the order out.
    Refused {
        /// The status of its answer.
        status: u16,
    },
}
