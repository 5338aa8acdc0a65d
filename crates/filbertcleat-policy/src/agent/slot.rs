//! The state of one adapter slot.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

use super::queue::QueuePosition;

/// One adapter slot of the engine.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// What the slot holds.
    pub state: SlotState,
    /// Running calls that a former owner of the engine started.
    pub foreign_calls: usize,
    /// The position of the request whose adapter is to be loaded here. Requests behind it are not
    /// started in this slot, so that the slot becomes idle.
    pub reserved_for: Option<QueuePosition>,
}

impl Slot {
    /// Creates an empty slot.
    pub fn empty() -> Self {
        Self { state: SlotState::Empty, foreign_calls: 0, reserved_for: None }
    }

    /// Creates a slot with a loaded adapter that has served no call yet.
    pub fn loaded(adapter: AdapterRef, now: MonoTime) -> Self {
        let state = SlotState::Loaded {
            adapter,
            running_calls: 0,
            loaded_at: now,
            used_at: now,
            has_served: false,
        };
        Self { state, foreign_calls: 0, reserved_for: None }
    }

    /// Returns the adapter, if it is loaded and can serve calls.
    pub fn loaded_adapter(&self) -> Option<&AdapterRef> {
        match &self.state {
            SlotState::Loaded { adapter, .. } => Some(adapter),
            SlotState::Empty | SlotState::Loading { .. } | SlotState::Unknown => None,
        }
    }

    /// Returns the adapter that is being loaded.
    pub fn loading_adapter(&self) -> Option<&AdapterRef> {
        match &self.state {
            SlotState::Loading { adapter, .. } => Some(adapter),
            SlotState::Empty | SlotState::Loaded { .. } | SlotState::Unknown => None,
        }
    }
}

/// The content of a slot.
#[derive(Clone, Debug)]
pub(super) enum SlotState {
    /// No adapter.
    Empty,
    /// An adapter that is being loaded; its oldest request has waited since `waiting_since`.
    Loading { adapter: AdapterRef, waiting_since: MonoTime },
    /// An adapter that can serve calls; `has_served` is true if it has done so since its load.
    Loaded {
        adapter: AdapterRef,
        running_calls: usize,
        loaded_at: MonoTime,
        used_at: MonoTime,
        has_served: bool,
    },
    /// Unknown content after a load with an unclear outcome, until the engine lists its adapters.
    Unknown,
}
