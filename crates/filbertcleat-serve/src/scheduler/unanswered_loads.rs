//! Unanswered load orders that the engine may still execute.

use std::collections::BTreeSet;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;

use super::order::Order;
use super::order::OrderKind;

/// Unanswered load orders that the engine may still execute.
///
/// An engine that restarts under the same id restarts its order count too. A delayed load from
/// before the restart is then executed as soon as the count reaches its expected value again. Other
/// orders cannot be withheld to prevent that, so each such load reserves an adapter slot until it
/// is too old to be executed or the count has passed its expected value.
#[derive(Debug, Default)]
pub(crate) struct UnansweredLoads {
    /// Loads ordered since the engine's last restart.
    current: Vec<UnansweredLoad>,
    /// Loads ordered before the engine's last restart.
    before_restart: Vec<UnansweredLoad>,
}

#[derive(Clone, Debug)]
struct UnansweredLoad {
    sent_at: MonoTime,
    expected_order_count: u64,
    /// The base model, or `None` for the load of an adapter.
    model: Option<ModelName>,
}

impl UnansweredLoads {
    /// The time in which an unanswered order may still be executed: up to 12 s on the first
    /// deployments, plus a margin for network transit.
    const EXECUTION_DELAY_MAX_MS: u64 = 15_000;

    /// Records that an order was sent and not answered. Only loads are kept.
    pub fn record(&mut self, now: MonoTime, order: &Order) {
        let model = match &order.kind {
            OrderKind::LoadAdapter(..) => None,
            OrderKind::LoadModel(model) => Some(model.clone()),
            OrderKind::UnloadAdapter(_) | OrderKind::UnloadModel(_) => return,
        };
        let expected_order_count = order.expected_order_count;
        // The engine executes at most one of the orders that expect the same count.
        self.current.retain(|load| load.expected_order_count != expected_order_count);
        self.current.push(UnansweredLoad { sent_at: now, expected_order_count, model });
    }

    /// Records that the engine has restarted.
    pub fn on_engine_restart(&mut self) {
        self.before_restart.append(&mut self.current);
    }

    /// Discards loads that are too old to be executed.
    pub fn expire(&mut self, now: MonoTime) {
        for loads in [&mut self.current, &mut self.before_restart] {
            loads.retain(|load| now.ms_since(load.sent_at) <= Self::EXECUTION_DELAY_MAX_MS);
        }
    }

    /// Returns how many loads from before the restart an engine with this order count may still
    /// execute.
    pub fn reserved_slots(&self, order_count: u64) -> usize {
        let counts: BTreeSet<u64> =
            self.executable(order_count).map(|load| load.expected_order_count).collect();
        counts.len()
    }

    /// Returns a base model whose load from before the restart an engine with this order count may
    /// still execute.
    pub fn model(&self, order_count: u64) -> Option<&ModelName> {
        self.executable(order_count).find_map(|load| load.model.as_ref())
    }

    fn executable(&self, order_count: u64) -> impl Iterator<Item = &UnansweredLoad> {
        self.before_restart.iter().filter(move |load| load.expected_order_count >= order_count)
    }
}
