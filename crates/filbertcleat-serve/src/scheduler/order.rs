//! Load and unload orders to an engine.

use filbertcleat_base::ModelName;

use crate::AdapterKey;
use crate::ServerId;

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The operation that the engine performs.
    pub kind: OrderKind,
    /// The order count that the engine must have for it to accept this order.
    pub expected_order_count: u64,
    /// The engine incarnation that the order is addressed to.
    pub server: ServerId,
}

/// The operation of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads a base model.
    LoadModel(ModelName),
    /// Unloads a base model with its adapters.
    UnloadModel(ModelName),
    /// Loads an adapter at a version or replaces an older version; version 0 means the newest.
    LoadAdapter(AdapterKey, u64),
    /// Unloads an adapter.
    UnloadAdapter(AdapterKey),
}
