//! An order to an engine.

use filbertcleat_base::ModelName;

use crate::AdapterKey;
use crate::ServerId;

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// What to do.
    pub kind: OrderKind,
    /// The number of orders that the engine must have accepted before this one.
    pub expected_order_count: u64,
    /// The incarnation that the order is for.
    pub server: ServerId,
}

/// What an order asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a base model.
    LoadModel(ModelName),
    /// Drop a base model with its adapters.
    UnloadModel(ModelName),
    /// Load an adapter at a version or replace an older one; version 0 means the newest.
    LoadAdapter(AdapterKey, u64),
    /// Drop an adapter.
    UnloadAdapter(AdapterKey),
}
