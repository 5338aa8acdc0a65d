//! A bounded record of how long the outputs of adapters are.

/// The mean output lengths of the adapters that were used last, in a fixed amount of memory.
///
/// The adapters are divided by hash into sets of a few slots. A new adapter takes the slot of its
/// set that has gone unused for longest, so that rarely used adapters, of which there are tens of
/// thousands, do not displace all of those in use.
#[derive(Clone, Debug)]
pub(crate) struct AdapterLengths {
    slots: Vec<Slot>,
    clock: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    hash: u64,
    mean_events: f32,
    streams: u16,
    used_at: u32,
}

impl AdapterLengths {
    /// The number of slots, which take 100 KB.
    const SLOTS: usize = 4_096;
    const SLOTS_PER_SET: usize = 4;
    /// The number of streams over which the mean is taken, so that it follows a new version.
    const STREAMS_MAX: u16 = 50;

    /// Creates an empty record.
    pub fn new() -> Self {
        Self { slots: vec![Slot::default(); Self::SLOTS], clock: 0 }
    }

    /// Records the number of events of a finished stream.
    pub fn observe(&mut self, hash: u64, events: f64) {
        self.clock = self.clock.wrapping_add(1);
        let (clock, set) = (self.clock, Self::set(hash));
        let slots = &mut self.slots[set];
        let known = slots.iter().position(|slot| slot.streams > 0 && slot.hash == hash);
        let oldest = || {
            let ages = slots.iter().enumerate();
            let free_last = |slot: &Slot| (slot.streams > 0, slot.used_at.wrapping_sub(clock));
            ages.min_by_key(|(_, slot)| free_last(slot)).map(|(index, _)| index)
        };
        let Some(index) = known.or_else(oldest) else { return };
        let slot = &mut slots[index];
        if known.is_none() {
            *slot = Slot { hash, ..Slot::default() };
        }
        slot.streams = (slot.streams + 1).min(Self::STREAMS_MAX);
        slot.mean_events += (events as f32 - slot.mean_events) / f32::from(slot.streams);
        slot.used_at = clock;
    }

    /// Returns the mean number of events of an adapter and the number of streams that it holds.
    pub fn get(&self, hash: u64) -> Option<(f64, f64)> {
        let mut slots = self.slots[Self::set(hash)].iter();
        let slot = slots.find(|slot| slot.streams > 0 && slot.hash == hash)?;
        Some((f64::from(slot.mean_events), f64::from(slot.streams)))
    }

    fn set(hash: u64) -> std::ops::Range<usize> {
        let sets = (Self::SLOTS / Self::SLOTS_PER_SET) as u64;
        let first = (hash % sets) as usize * Self::SLOTS_PER_SET;
        first..first + Self::SLOTS_PER_SET
    }
}
