//! The engine's adapter slots.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_config::EvictionPolicy;

use super::LoadedAdapter;
use super::queue::LoadCandidate;
use super::queue::Place;
use super::queue::Queue;
use super::slot::Slot;
use super::slot::SlotState;
use crate::Popularity;
use crate::Target;

/// All slots of one engine.
///
/// The rule that an adapter in service is never evicted is kept here: only a slot without calls
/// is ever given to a load.
#[derive(Debug)]
pub(super) struct Slots {
    list: Vec<Slot>,
}

impl Slots {
    /// The most loads that are asked for at a time.
    pub const MAX_WANTS: usize = 8;

    pub fn new(count: usize) -> Self {
        Self { list: vec![Slot::empty(); count] }
    }

    pub fn resident(&self) -> impl Iterator<Item = &AdapterRef> {
        self.list.iter().filter_map(Slot::adapter)
    }

    pub fn holds(&self, adapter: &AdapterRef) -> bool {
        self.resident().any(|held| held == adapter)
    }

    pub fn holds_or_loads(&self, adapter: &AdapterRef) -> bool {
        self.holds(adapter) || self.list.iter().any(|slot| slot.loading() == Some(adapter))
    }

    pub fn serving(&self) -> Vec<(AdapterRef, usize)> {
        self.list
            .iter()
            .filter_map(|slot| match &slot.state {
                SlotState::Resident { adapter, running, .. } => Some((adapter.clone(), *running)),
                SlotState::Empty | SlotState::Loading { .. } | SlotState::Unsure => None,
            })
            .collect()
    }

    /// Returns the first waiting request of a class that could be called now.
    ///
    /// With `in_share` the requests of adapters that ask for more than their share are left out.
    pub fn first_startable(&self, queue: &Queue, class: Class, in_share: bool) -> Option<Place> {
        let first = |target: &Target| {
            if in_share { queue.first_in_share(target, class) } else { queue.first(target, class) }
        };
        let plain = first(&Target::Plain).cloned();
        self.list
            .iter()
            .filter_map(|slot| {
                let place = first(&Target::Adapter(slot.adapter()?.clone()))?;
                let held_back = slot.closing.as_ref().is_some_and(|limit| place > limit);
                (!held_back).then(|| place.clone())
            })
            .chain(plain)
            .min()
    }

    /// Returns the number of waiting requests within their share that could be called now.
    pub fn startable(&self, queue: &Queue) -> usize {
        self.list
            .iter()
            .filter(|slot| slot.closing.is_none())
            .filter_map(Slot::adapter)
            .map(|adapter| queue.len_in_share(&Target::Adapter(adapter.clone())))
            .sum()
    }

    /// Counts a call, and returns how long its request waited for the load.
    pub fn enter(&mut self, wanted: &AdapterRef, now: MonoTime, arrived: MonoTime) -> u64 {
        for slot in &mut self.list {
            if let SlotState::Resident { adapter, running, loaded, used, served } = &mut slot.state
                && adapter == wanted
            {
                *served = true;
                *running += 1;
                *used = now;
                return loaded.ms_since(arrived);
            }
        }
        0
    }

    /// Counts the end of a call.
    pub fn leave(&mut self, wanted: &AdapterRef, now: MonoTime) {
        for slot in &mut self.list {
            if let SlotState::Resident { adapter, running, used, .. } = &mut slot.state
                && adapter == wanted
            {
                *running = running.saturating_sub(1);
                *used = now;
            }
        }
    }

    /// Marks a load as done, and returns since when it was waited for.
    pub fn loaded(&mut self, adapter: &AdapterRef, now: MonoTime) -> Option<MonoTime> {
        let slot = self.list.iter_mut().find(|slot| slot.loading() == Some(adapter))?;
        let SlotState::Loading { since, .. } = slot.state else {
            return None;
        };
        *slot = Slot::resident(adapter.clone(), now);
        Some(since)
    }

    /// Marks a load as failed.
    pub fn load_failed(&mut self, adapter: &AdapterRef, certain: bool) {
        if let Some(slot) = self.list.iter_mut().find(|slot| slot.loading() == Some(adapter)) {
            slot.state = if certain { SlotState::Empty } else { SlotState::Unsure };
        }
    }

    /// Marks an adapter's slot as unsure, unless it serves calls.
    pub fn doubt(&mut self, adapter: &AdapterRef) {
        for slot in &mut self.list {
            if matches!(&slot.state, SlotState::Resident { adapter: held, running: 0, .. } if held == adapter)
            {
                slot.state = SlotState::Unsure;
            }
        }
    }

    /// Gives a slot to a load, and returns the adapter to take out.
    pub fn start_load(
        &mut self,
        index: usize,
        adapter: AdapterRef,
        since: MonoTime,
    ) -> Option<AdapterRef> {
        let slot = &mut self.list[index];
        let evict = slot.adapter().cloned();
        *slot = Slot { state: SlotState::Loading { adapter, since }, foreign: 0, closing: None };
        evict
    }

    /// Brings the slots in line with the engine's own list.
    pub fn reconcile(&mut self, listed: &[LoadedAdapter], restarted: bool, now: MonoTime) {
        let is_listed = |adapter: &AdapterRef| listed.iter().any(|held| held.adapter == *adapter);
        for slot in &mut self.list {
            let lost = match &slot.state {
                SlotState::Resident { adapter, .. } => restarted || !is_listed(adapter),
                SlotState::Loading { .. } => restarted,
                SlotState::Unsure => true,
                SlotState::Empty => false,
            };
            if lost {
                *slot = Slot::empty();
            }
        }

        for held in listed {
            if !self.holds_or_loads(&held.adapter) {
                let empty =
                    self.list.iter_mut().find(|slot| matches!(slot.state, SlotState::Empty));
                if let Some(slot) = empty {
                    *slot = Slot::resident(held.adapter.clone(), now);
                }
            }
            for slot in &mut self.list {
                if let SlotState::Resident { adapter, running, .. } = &slot.state
                    && *adapter == held.adapter
                {
                    slot.foreign = held.running_calls.saturating_sub(*running);
                }
            }
        }
    }

    /// Returns whether a former owner's calls are still served.
    pub fn has_foreign(&self) -> bool {
        self.list.iter().any(|slot| slot.foreign > 0)
    }

    /// Returns the slots that a load could take at once.
    pub fn spare(&self, queue: &Queue) -> Vec<usize> {
        let is_spare = |slot: &Slot| match &slot.state {
            SlotState::Empty => true,
            SlotState::Resident { .. } if slot.foreign > 0 => false,
            SlotState::Resident { adapter, running: 0, .. } => {
                slot.closing.is_some() || !queue.wants(&Target::Adapter(adapter.clone()))
            }
            SlotState::Resident { .. } | SlotState::Loading { .. } | SlotState::Unsure => false,
        };
        (0..self.list.len()).filter(|index| is_spare(&self.list[*index])).collect()
    }

    /// Returns how much a slot's adapter is worth, in requests a second.
    pub fn value(&self, index: usize, now: MonoTime, popularity: &Popularity) -> f64 {
        self.list[index].adapter().map_or(0.0, |adapter| popularity.rate_per_s(now, adapter))
    }

    /// Chooses the spare slot that a load takes.
    pub fn victim(
        &self,
        queue: &Queue,
        policy: EvictionPolicy,
        now: MonoTime,
        popularity: &Popularity,
    ) -> Option<usize> {
        let spare = self.spare(queue);
        match policy {
            EvictionPolicy::LeastValuable => spare.into_iter().min_by(|left, right| {
                let value = |index: usize| self.value(index, now, popularity);
                value(*left).total_cmp(&value(*right))
            }),
            EvictionPolicy::LeastRecentlyUsed => {
                spare.into_iter().min_by_key(|index| self.used(*index))
            }
        }
    }

    /// Starts to free a slot when the first load in need has none to go to.
    pub fn close_for(
        &mut self,
        candidates: &[LoadCandidate],
        queue: &Queue,
        policy: EvictionPolicy,
        now: MonoTime,
        popularity: &Popularity,
    ) {
        let Some(first) = candidates.iter().map(|group| &group.place).min().cloned() else {
            self.list.iter_mut().for_each(|slot| slot.closing = None);
            return;
        };
        if let Some(slot) = self.list.iter_mut().find(|slot| slot.closing.is_some()) {
            slot.closing = Some(first);
            return;
        }
        if !self.spare(queue).is_empty() {
            return;
        }

        // A slot that has not served since its load would be a load wasted.
        let busy = (0..self.list.len()).filter(|index| {
            matches!(self.list[*index].state, SlotState::Resident { served: true, .. })
        });
        let index = match (first.class, policy) {
            // The slot whose last call began first is likely to be free first.
            (Class::KeyAccount, _) | (_, EvictionPolicy::LeastRecentlyUsed) => {
                busy.min_by_key(|index| self.used(*index))
            }
            (Class::Routine, EvictionPolicy::LeastValuable) => busy.min_by(|left, right| {
                let value = |index: usize| self.value(index, now, popularity);
                value(*left).total_cmp(&value(*right))
            }),
        };
        if let Some(index) = index {
            self.list[index].closing = Some(first);
        }
    }

    fn used(&self, index: usize) -> MonoTime {
        match &self.list[index].state {
            SlotState::Resident { used, .. } => *used,
            SlotState::Empty | SlotState::Loading { .. } | SlotState::Unsure => MonoTime::ZERO,
        }
    }
}
