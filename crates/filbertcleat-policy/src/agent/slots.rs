//! The adapter slots of one engine.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_config::EvictionPolicy;

use super::LoadedAdapter;
use super::queue::LoadCandidate;
use super::queue::Queue;
use super::queue::QueuePosition;
use super::slot::Slot;
use super::slot::SlotState;
use crate::Popularity;
use crate::Target;

/// All adapter slots of one engine.
///
/// The table upholds the rule that an adapter in use is never evicted: a load is given only a slot
/// without running calls.
#[derive(Debug)]
pub(super) struct Slots {
    slots: Vec<Slot>,
}

impl Slots {
    /// The maximum number of loads that an agent requests at the same time.
    pub const LOAD_REQUESTS_MAX: usize = 8;

    /// Creates `count` empty slots.
    pub fn new(count: usize) -> Self {
        Self { slots: vec![Slot::empty(); count] }
    }

    /// Returns the loaded adapters.
    pub fn loaded_adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.slots.iter().filter_map(Slot::loaded_adapter)
    }

    /// Returns whether an adapter is loaded.
    pub fn is_loaded(&self, adapter: &AdapterRef) -> bool {
        self.loaded_adapters().any(|loaded| loaded == adapter)
    }

    /// Returns whether an adapter is loaded or being loaded.
    pub fn is_loaded_or_loading(&self, adapter: &AdapterRef) -> bool {
        self.is_loaded(adapter)
            || self.slots.iter().any(|slot| slot.loading_adapter() == Some(adapter))
    }

    /// Returns each loaded adapter with its number of running calls.
    pub fn calls_by_adapter(&self) -> Vec<(AdapterRef, usize)> {
        self.slots
            .iter()
            .filter_map(|slot| match &slot.state {
                SlotState::Loaded { adapter, running_calls, .. } => {
                    Some((adapter.clone(), *running_calls))
                }
                SlotState::Empty | SlotState::Loading { .. } | SlotState::Unknown => None,
            })
            .collect()
    }

    /// Returns the position of the first queued request of a class whose adapter is loaded.
    ///
    /// With `in_share`, requests beyond their adapter's fair share are skipped. A reserved slot
    /// starts no requests behind the one that it is reserved for.
    pub fn first_startable(
        &self,
        queue: &Queue,
        class: Class,
        in_share: bool,
    ) -> Option<QueuePosition> {
        let first = |target: &Target| {
            if in_share {
                queue.first_position_in_share(target, class)
            } else {
                queue.first_position(target, class)
            }
        };
        let plain = first(&Target::Plain).cloned();
        self.slots
            .iter()
            .filter_map(|slot| {
                let position = first(&Target::Adapter(slot.loaded_adapter()?.clone()))?;
                let is_reserved = slot.reserved_for.as_ref().is_some_and(|limit| position > limit);
                (!is_reserved).then(|| position.clone())
            })
            .chain(plain)
            .min()
    }

    /// Returns the number of queued requests within their adapter's share whose adapter is loaded.
    pub fn startable_count(&self, queue: &Queue) -> usize {
        self.slots
            .iter()
            .filter(|slot| slot.reserved_for.is_none())
            .filter_map(Slot::loaded_adapter)
            .map(|adapter| queue.len_in_share(&Target::Adapter(adapter.clone())))
            .sum()
    }

    /// Counts a call and returns its load stall: the time in milliseconds from the arrival of its
    /// request to the end of the adapter's load, or zero if the adapter was loaded earlier.
    pub fn begin_call(
        &mut self,
        called_adapter: &AdapterRef,
        now: MonoTime,
        arrived_at: MonoTime,
    ) -> u64 {
        for slot in &mut self.slots {
            if let SlotState::Loaded { adapter, running_calls, loaded_at, used_at, has_served } =
                &mut slot.state
                && adapter == called_adapter
            {
                *has_served = true;
                *running_calls += 1;
                *used_at = now;
                return loaded_at.ms_since(arrived_at);
            }
        }
        0
    }

    /// Counts the end of a call.
    pub fn end_call(&mut self, called_adapter: &AdapterRef, now: MonoTime) {
        for slot in &mut self.slots {
            if let SlotState::Loaded { adapter, running_calls, used_at, .. } = &mut slot.state
                && adapter == called_adapter
            {
                *running_calls = running_calls.saturating_sub(1);
                *used_at = now;
            }
        }
    }

    /// Marks an adapter as loaded, and returns when the oldest request for the load arrived.
    pub fn finish_load(&mut self, adapter: &AdapterRef, now: MonoTime) -> Option<MonoTime> {
        let slot = self.slots.iter_mut().find(|slot| slot.loading_adapter() == Some(adapter))?;
        let SlotState::Loading { waiting_since, .. } = slot.state else {
            return None;
        };
        *slot = Slot::loaded(adapter.clone(), now);
        Some(waiting_since)
    }

    /// Marks a load as failed; unless the adapter is known to be absent, the slot's content is
    /// unknown.
    pub fn fail_load(&mut self, adapter: &AdapterRef, known_absent: bool) {
        if let Some(slot) =
            self.slots.iter_mut().find(|slot| slot.loading_adapter() == Some(adapter))
        {
            slot.state = if known_absent { SlotState::Empty } else { SlotState::Unknown };
        }
    }

    /// Marks the content of an adapter's slot as unknown, unless the slot has running calls.
    pub fn mark_unknown(&mut self, adapter: &AdapterRef) {
        for slot in &mut self.slots {
            if matches!(&slot.state, SlotState::Loaded { adapter: loaded, running_calls: 0, .. } if loaded == adapter)
            {
                slot.state = SlotState::Unknown;
            }
        }
    }

    /// Assigns a slot to a load, and returns the adapter to evict.
    pub fn start_load(
        &mut self,
        index: usize,
        adapter: AdapterRef,
        waiting_since: MonoTime,
    ) -> Option<AdapterRef> {
        let slot = &mut self.slots[index];
        let evict = slot.loaded_adapter().cloned();
        *slot = Slot {
            state: SlotState::Loading { adapter, waiting_since },
            foreign_calls: 0,
            reserved_for: None,
        };
        evict
    }

    /// Updates the slots to match the engine's listing.
    pub fn reconcile(&mut self, listing: &[LoadedAdapter], restarted: bool, now: MonoTime) {
        let is_listed =
            |adapter: &AdapterRef| listing.iter().any(|listed| listed.adapter == *adapter);
        for slot in &mut self.slots {
            let is_gone = match &slot.state {
                SlotState::Loaded { adapter, .. } => restarted || !is_listed(adapter),
                SlotState::Loading { .. } => restarted,
                SlotState::Unknown => true,
                SlotState::Empty => false,
            };
            if is_gone {
                *slot = Slot::empty();
            }
        }

        for listed in listing {
            if !self.is_loaded_or_loading(&listed.adapter) {
                let empty =
                    self.slots.iter_mut().find(|slot| matches!(slot.state, SlotState::Empty));
                if let Some(slot) = empty {
                    *slot = Slot::loaded(listed.adapter.clone(), now);
                }
            }
            for slot in &mut self.slots {
                if let SlotState::Loaded { adapter, running_calls, .. } = &slot.state
                    && *adapter == listed.adapter
                {
                    slot.foreign_calls = listed.running_calls.saturating_sub(*running_calls);
                }
            }
        }
    }

    /// Returns whether the engine still runs calls of a former owner.
    pub fn has_foreign_calls(&self) -> bool {
        self.slots.iter().any(|slot| slot.foreign_calls > 0)
    }

    /// Returns the indices of the slots that a load could use now.
    pub fn spare_slots(&self, queue: &Queue) -> Vec<usize> {
        let is_spare = |slot: &Slot| match &slot.state {
            SlotState::Empty => true,
            SlotState::Loaded { .. } if slot.foreign_calls > 0 => false,
            SlotState::Loaded { adapter, running_calls: 0, .. } => {
                slot.reserved_for.is_some()
                    || !queue.has_requests_for(&Target::Adapter(adapter.clone()))
            }
            SlotState::Loaded { .. } | SlotState::Loading { .. } | SlotState::Unknown => false,
        };
        (0..self.slots.len()).filter(|index| is_spare(&self.slots[*index])).collect()
    }

    /// Returns the request rate per second of the adapter in a slot; an empty slot has a rate of
    /// zero.
    pub fn rate_per_s(&self, index: usize, now: MonoTime, popularity: &Popularity) -> f64 {
        self.slots[index]
            .loaded_adapter()
            .map_or(0.0, |adapter| popularity.rate_per_s(now, adapter))
    }

    /// Returns the spare slot whose adapter is the best one to evict under the policy.
    pub fn choose_slot(
        &self,
        queue: &Queue,
        policy: EvictionPolicy,
        now: MonoTime,
        popularity: &Popularity,
    ) -> Option<usize> {
        let spare = self.spare_slots(queue);
        match policy {
            EvictionPolicy::LeastValuable => spare.into_iter().min_by(|left, right| {
                let rate_per_s = |index: usize| self.rate_per_s(index, now, popularity);
                rate_per_s(*left).total_cmp(&rate_per_s(*right))
            }),
            EvictionPolicy::LeastRecentlyUsed => {
                spare.into_iter().min_by_key(|index| self.last_used(*index))
            }
        }
    }

    /// Reserves a slot for the first load candidate in queue order when no slot is spare.
    ///
    /// The slot then starts no requests behind that candidate, so that its calls end and it becomes
    /// spare.
    pub fn reserve_slot(
        &mut self,
        candidates: &[LoadCandidate],
        queue: &Queue,
        policy: EvictionPolicy,
        now: MonoTime,
        popularity: &Popularity,
    ) {
        let Some(first) = candidates.iter().map(|candidate| &candidate.position).min().cloned()
        else {
            self.slots.iter_mut().for_each(|slot| slot.reserved_for = None);
            return;
        };
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.reserved_for.is_some()) {
            slot.reserved_for = Some(first);
            return;
        }
        if !self.spare_slots(queue).is_empty() {
            return;
        }

        // Evicting an adapter that has served no call since its load would waste that load.
        let busy = (0..self.slots.len()).filter(|index| {
            matches!(self.slots[*index].state, SlotState::Loaded { has_served: true, .. })
        });
        let index = match (first.class, policy) {
            // The slot in which no call has started or ended for the longest time is likely to
            // become idle first.
            (Class::KeyAccount, _) | (_, EvictionPolicy::LeastRecentlyUsed) => {
                busy.min_by_key(|index| self.last_used(*index))
            }
            (Class::Routine, EvictionPolicy::LeastValuable) => busy.min_by(|left, right| {
                let rate_per_s = |index: usize| self.rate_per_s(index, now, popularity);
                rate_per_s(*left).total_cmp(&rate_per_s(*right))
            }),
        };
        if let Some(index) = index {
            self.slots[index].reserved_for = Some(first);
        }
    }

    /// Returns when a slot last started or ended a call; a slot without a loaded adapter counts as
    /// unused.
    fn last_used(&self, index: usize) -> MonoTime {
        match &self.slots[index].state {
            SlotState::Loaded { used_at, .. } => *used_at,
            SlotState::Empty | SlotState::Loading { .. } | SlotState::Unknown => MonoTime::ZERO,
        }
    }
}
