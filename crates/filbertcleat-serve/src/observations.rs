//! What entries tell each other of the engines' speed.

mod pool;
mod service;

pub use self::pool::ObservationPool;
pub use self::service::ServiceObservations;
