//! One adapter slot of the engine.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

use super::queue::Place;

/// One adapter slot.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub state: SlotState,
    /// Calls that a former owner made and that the engine still serves.
    pub foreign: usize,
    /// Requests behind this place are not started, so that the slot becomes free.
    pub closing: Option<Place>,
}

impl Slot {
    pub fn empty() -> Self {
        Self { state: SlotState::Empty, foreign: 0, closing: None }
    }

    pub fn resident(adapter: AdapterRef, now: MonoTime) -> Self {
        let state =
            SlotState::Resident { adapter, running: 0, loaded: now, used: now, served: false };
        Self { state, foreign: 0, closing: None }
    }

    /// Returns the adapter that can be called.
    pub fn adapter(&self) -> Option<&AdapterRef> {
        match &self.state {
            SlotState::Resident { adapter, .. } => Some(adapter),
            SlotState::Empty | SlotState::Loading { .. } | SlotState::Unsure => None,
        }
    }

    /// Returns the adapter that is being loaded.
    pub fn loading(&self) -> Option<&AdapterRef> {
        match &self.state {
            SlotState::Loading { adapter, .. } => Some(adapter),
            SlotState::Empty | SlotState::Resident { .. } | SlotState::Unsure => None,
        }
    }
}

/// What a slot holds.
#[derive(Clone, Debug)]
pub(super) enum SlotState {
    /// Nothing.
    Empty,
    /// An adapter that is being loaded for requests waiting since `since`.
    Loading { adapter: AdapterRef, since: MonoTime },
    /// An adapter that can be called, and whether it has been since its load.
    Resident { adapter: AdapterRef, running: usize, loaded: MonoTime, used: MonoTime, served: bool },
    /// Whatever a load of unknown outcome left, until the engine's slots are listed.
    Unsure,
}
