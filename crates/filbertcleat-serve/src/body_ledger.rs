//! Bounds the memory that the bodies of requests take.

mod body_id;
mod body_source;
mod no_room;
mod open_body;

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;
use filbertcleat_base::WorkspaceName;

pub use self::body_id::BodyId;
pub use self::body_source::BodySource;
pub use self::no_room::NoRoom;
use self::open_body::OpenBody;
use self::open_body::Stage;

/// The bodies of requests that a process holds, and the memory that they may take together.
///
/// No body ever waits for memory: two that are partly read would wait for each other. A body that
/// needs more gets it, at the cost of bodies that have fallen behind if need be, or is refused.
/// Large bodies leave a part to the small ones, and a workspace leaves a part to the others.
#[derive(Clone, Debug)]
pub struct BodyLedger {
    max_bytes: Option<u64>,
    bodies: BTreeMap<BodyId, OpenBody>,
    held_bytes: u64,
    large_bytes: u64,
    next_id: u64,
}

impl BodyLedger {
    /// What a request takes beside its body: its head, and its connection to a backend server.
    pub const REQUEST_BYTES: u64 = 24 * 1024;
    /// Bodies up to this size use the part that large ones leave.
    const SMALL_MAX_BYTES: u64 = 64 * 1024;
    /// The part of the memory that large bodies leave to small ones.
    const SMALL_PARTS: u64 = 4;
    /// The part of the memory that a workspace may take.
    const WORKSPACE_PARTS: u64 = 2;
    /// How far a body has to be behind its pace to give up its memory to another: many times the
    /// round trips after which a caller sends on.
    const BEHIND_MS: u64 = 500;

    /// Creates a ledger of bodies that may take `max_bytes` together, if that is limited.
    pub fn new(max_bytes: Option<u64>) -> Self {
        Self { max_bytes, bodies: BTreeMap::new(), held_bytes: 0, large_bytes: 0, next_id: 0 }
    }

    /// Returns the memory that the bodies take, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of requests whose bodies are in the ledger.
    pub fn requests(&self) -> usize {
        self.bodies.len()
    }

    /// Returns the time up to which a body keeps its pace, if it is being read.
    pub fn paced_until(&self, id: BodyId) -> Option<MonoTime> {
        let body = self.bodies.get(&id).filter(|body| body.stage == Stage::Arriving);
        body.map(|body| body.paced_until)
    }

    /// Adds an empty body, and returns the bodies that have to give up their memory.
    pub fn open(
        &mut self,
        now: MonoTime,
        source: BodySource,
    ) -> Result<(BodyId, Vec<BodyId>), NoRoom> {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        self.bodies.insert(id, OpenBody::new(now, source));
        let evicted = self.make_room(now, id, 0);
        if evicted.is_err() {
            self.release(id);
        }
        evicted.map(|evicted| (id, evicted))
    }

    /// Lets a body take more memory, and returns the bodies that have to give up theirs.
    pub fn grow(&mut self, now: MonoTime, id: BodyId, bytes: u64) -> Result<Vec<BodyId>, NoRoom> {
        let evicted = self.make_room(now, id, bytes)?;
        let held_bytes = self.bodies.get(&id).map_or(0, |body| body.held_bytes);
        self.set_held(id, held_bytes.saturating_add(bytes));
        Ok(evicted)
    }

    /// Takes back memory that a body does not need any more.
    pub fn shrink(&mut self, id: BodyId, bytes: u64) {
        let held_bytes = self.bodies.get(&id).map_or(0, |body| body.held_bytes);
        self.set_held(id, held_bytes.saturating_sub(bytes));
    }

    /// Records that bytes of a body have arrived.
    pub fn on_received(&mut self, now: MonoTime, id: BodyId, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.on_received(now, bytes);
        }
    }

    /// Records that a body is whole, so that it keeps its memory.
    pub fn on_whole(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.stage = Stage::Whole;
        }
    }

    /// Removes a body that is held no more.
    pub fn release(&mut self, id: BodyId) {
        self.set_held(id, 0);
        self.bodies.remove(&id);
    }

    /// Takes memory from bodies that have fallen behind until a body may take more.
    fn make_room(&mut self, now: MonoTime, id: BodyId, bytes: u64) -> Result<Vec<BodyId>, NoRoom> {
        let Some(body) = self.bodies.get(&id) else { return Err(NoRoom) };
        let Some(max_bytes) = self.max_bytes else { return Ok(Vec::new()) };
        if body.stage == Stage::Evicted {
            return Err(NoRoom);
        }
        let grown_bytes = body.held_bytes.saturating_add(bytes);
        let small_part_bytes = max_bytes / Self::SMALL_PARTS;
        // A process has to hold at least one body.
        let large_max_bytes = (max_bytes - small_part_bytes).max(body.source.largest_bytes);
        if let Some(workspace) = &body.source.workspace {
            let workspace_max_bytes =
                (max_bytes / Self::WORKSPACE_PARTS).max(body.source.largest_bytes);
            if self.workspace_bytes(workspace).saturating_add(bytes) > workspace_max_bytes {
                return Err(NoRoom);
            }
        }
        let large_bytes = if Self::is_large(body.held_bytes) {
            self.large_bytes.saturating_add(bytes)
        } else if Self::is_large(grown_bytes) {
            self.large_bytes.saturating_add(grown_bytes)
        } else {
            0
        };
        let request_bytes = self.bodies.len() as u64 * Self::REQUEST_BYTES;
        let total_bytes = request_bytes.saturating_add(self.held_bytes).saturating_add(bytes);
        let excess = Excess {
            bytes: total_bytes.saturating_sub(large_max_bytes.saturating_add(small_part_bytes)),
            large_bytes: large_bytes.saturating_sub(large_max_bytes),
        };
        let victims = self.victims(now, id, excess).ok_or(NoRoom)?;
        for victim in &victims {
            self.set_held(*victim, 0);
            if let Some(body) = self.bodies.get_mut(victim) {
                body.stage = Stage::Evicted;
            }
        }
        Ok(victims)
    }

    /// Returns the bodies that have fallen behind most, until their memory makes up for `excess`.
    fn victims(&self, now: MonoTime, id: BodyId, mut excess: Excess) -> Option<Vec<BodyId>> {
        let mut victims = Vec::new();
        if excess.is_none() {
            return Some(victims);
        }
        let own_behind_ms = self.bodies.get(&id).map_or(0, |body| body.behind_ms(now));
        let is_victim = |body: &OpenBody| {
            let behind_ms = body.behind_ms(now);
            body.stage == Stage::Arriving
                && behind_ms >= Self::BEHIND_MS
                && behind_ms > own_behind_ms
        };
        let others = self.bodies.iter().filter(|(other, body)| **other != id && is_victim(body));
        let mut others: Vec<_> = others.collect();
        others.sort_by_key(|(_, body)| std::cmp::Reverse(body.behind_ms(now)));
        for (other, body) in others {
            let is_large = Self::is_large(body.held_bytes);
            if excess.large_bytes > 0 && !is_large {
                continue;
            }
            excess.bytes = excess.bytes.saturating_sub(body.held_bytes);
            if is_large {
                excess.large_bytes = excess.large_bytes.saturating_sub(body.held_bytes);
            }
            victims.push(*other);
            if excess.is_none() {
                return Some(victims);
            }
        }
        None
    }

    fn workspace_bytes(&self, workspace: &WorkspaceName) -> u64 {
        let own =
            self.bodies.values().filter(|body| body.source.workspace.as_ref() == Some(workspace));
        own.map(|body| body.held_bytes.saturating_add(Self::REQUEST_BYTES)).sum()
    }

    fn set_held(&mut self, id: BodyId, bytes: u64) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        let before = std::mem::replace(&mut body.held_bytes, bytes);
        let large = |bytes| if Self::is_large(bytes) { bytes } else { 0 };
        self.held_bytes = self.held_bytes.saturating_sub(before).saturating_add(bytes);
        self.large_bytes =
            self.large_bytes.saturating_sub(large(before)).saturating_add(large(bytes));
    }

    fn is_large(bytes: u64) -> bool {
        bytes > Self::SMALL_MAX_BYTES
    }
}

/// What bodies would take beyond what they may.
#[derive(Clone, Copy, Debug)]
struct Excess {
    /// All bodies together.
    bytes: u64,
    /// The large ones together.
    large_bytes: u64,
}

impl Excess {
    fn is_none(self) -> bool {
        self.bytes == 0 && self.large_bytes == 0
    }
}
