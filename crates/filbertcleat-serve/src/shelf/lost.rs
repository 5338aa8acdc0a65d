//! Loads without an answer that an engine may still carry out.

use std::collections::BTreeSet;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;

use super::order::Order;
use super::order::OrderKind;

/// Loads without an answer that an engine may still carry out.
///
/// An engine that starts again under the same id counts its orders anew, so a load from before the
/// start is carried out once the count that it expects comes round again. No other order can be
/// held back for it, so each such load keeps a place until it is too old or its count has passed.
#[derive(Debug, Default)]
pub(crate) struct LostLoads {
    /// Loads ordered since the engine's last start.
    current: Vec<LostLoad>,
    /// Loads ordered before it.
    earlier: Vec<LostLoad>,
}

#[derive(Clone, Debug)]
struct LostLoad {
    at: MonoTime,
    expected: u64,
    /// The base model, unless it is the load of an adapter.
    model: Option<ModelName>,
}

impl LostLoads {
    /// An order without an answer may be carried out some seconds later: 12 s at most on the first
    /// deployments, and a margin for the time on the way.
    const LATE_MS: u64 = 15_000;

    /// Notes that an order was given and not answered.
    pub fn lose(&mut self, now: MonoTime, order: &Order) {
        let model = match &order.kind {
            OrderKind::LoadAdapter(..) => None,
            OrderKind::LoadModel(model) => Some(model.clone()),
            OrderKind::UnloadAdapter(_) | OrderKind::UnloadModel(_) => return,
        };
        // Of several with one count at most one is carried out.
        self.current.retain(|load| load.expected != order.expected_order_count);
        self.current.push(LostLoad { at: now, expected: order.expected_order_count, model });
    }

    /// Notes that the engine has started again.
    pub fn restart(&mut self) {
        self.earlier.append(&mut self.current);
    }

    /// Forgets loads that are too old to be carried out.
    pub fn retain(&mut self, now: MonoTime) {
        for loads in [&mut self.current, &mut self.earlier] {
            loads.retain(|load| now.ms_since(load.at) <= Self::LATE_MS);
        }
    }

    /// Returns how many loads from before the start may still come, at a count of accepted orders.
    pub fn to_come(&self, sequence: u64) -> usize {
        let counts: BTreeSet<u64> = self.pending(sequence).map(|load| load.expected).collect();
        counts.len()
    }

    /// Returns a base model whose load from before the start may still come.
    pub fn model(&self, sequence: u64) -> Option<&ModelName> {
        self.pending(sequence).find_map(|load| load.model.as_ref())
    }

    fn pending(&self, sequence: u64) -> impl Iterator<Item = &LostLoad> {
        self.earlier.iter().filter(move |load| load.expected >= sequence)
    }
}
