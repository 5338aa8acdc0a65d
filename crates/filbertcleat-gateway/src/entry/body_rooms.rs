//! The memory of the bodies of requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::BodyId;
use filbertcleat_serve::BodyLedger;
use filbertcleat_serve::BodySource;
use filbertcleat_serve::NoRoom;
use tokio::sync::Notify;

use super::request_body::BodyBuffer;
use crate::clock::Clock;

/// The memory of the bodies of requests, from the first byte until the last copy is dropped.
#[derive(Clone, Debug)]
pub(super) struct BodyRooms {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    ledger: RefCell<BodyLedger>,
    /// The bodies that are being read.
    arriving: RefCell<HashMap<BodyId, Rc<ArrivingBody>>>,
}

/// What is shared with the task that reads a body, so that its memory can be taken back.
#[derive(Debug, Default)]
struct ArrivingBody {
    buffer: RefCell<BodyBuffer>,
    evicted: Notify,
}

impl BodyRooms {
    /// Creates the memory for bodies that may take `max_bytes` together, if that is limited.
    pub fn new(clock: Clock, max_bytes: Option<u64>) -> Self {
        let ledger = RefCell::new(BodyLedger::new(max_bytes));
        Self { shared: Rc::new(Shared { clock, ledger, arriving: RefCell::default() }) }
    }

    /// Returns the memory that the bodies take, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.shared.ledger.borrow().held_bytes()
    }

    /// Returns the time up to which a body keeps its pace, if it is being read.
    pub fn paced_until(&self, id: BodyId) -> Option<MonoTime> {
        self.shared.ledger.borrow().paced_until(id)
    }

    /// Begins an empty body.
    pub fn open(&self, source: BodySource) -> Result<BodyRoom, NoRoom> {
        let opened = self.shared.ledger.borrow_mut().open(self.shared.clock.now(), source);
        let (id, evicted) = opened?;
        let body = Rc::new(ArrivingBody::default());
        self.shared.arriving.borrow_mut().insert(id, Rc::clone(&body));
        self.evict(&evicted);
        Ok(BodyRoom { id, untold_bytes: Cell::new(0), body, rooms: self.clone() })
    }

    /// Drops what has been read of bodies, and wakes the tasks that read them.
    fn evict(&self, evicted: &[BodyId]) {
        for id in evicted {
            if let Some(body) = self.shared.arriving.borrow_mut().remove(id) {
                body.buffer.take();
                body.evicted.notify_one();
            }
        }
    }
}

/// The memory of one body, which is released when this guard is dropped.
#[derive(Debug)]
pub(super) struct BodyRoom {
    id: BodyId,
    /// What has arrived since the ledger was last told.
    untold_bytes: Cell<u64>,
    body: Rc<ArrivingBody>,
    rooms: BodyRooms,
}

impl BodyRoom {
    /// The ledger is told of bytes in such amounts, since a body may come in chunks of one byte.
    const TELL_BYTES: u64 = 1_024;

    /// Returns the number of the body.
    pub fn id(&self) -> BodyId {
        self.id
    }

    /// Waits until the body has to give up its memory.
    pub async fn evicted(&self) {
        self.body.evicted.notified().await;
    }

    /// Returns the number of bytes that have been read.
    pub fn length_bytes(&self) -> u64 {
        self.body.buffer.borrow().length_bytes()
    }

    /// Adds bytes that have arrived, after which `rest_bytes` follow, if that is known.
    pub fn push(&self, data: &[u8], rest_bytes: Option<u64>) -> Result<(), NoRoom> {
        let untold_bytes = self.untold_bytes.get() + data.len() as u64;
        let is_told = untold_bytes >= Self::TELL_BYTES;
        if is_told {
            let Shared { clock, ledger, .. } = &*self.rooms.shared;
            ledger.borrow_mut().on_received(clock.now(), self.id, untold_bytes);
        }
        self.untold_bytes.set(if is_told { 0 } else { untold_bytes });
        let mut buffer = self.body.buffer.borrow_mut();
        buffer.push(data, rest_bytes, |bytes| self.take(bytes as u64))
    }

    /// Takes memory for the body.
    pub fn take(&self, bytes: u64) -> Result<(), NoRoom> {
        let Shared { clock, ledger, .. } = &*self.rooms.shared;
        let evicted = ledger.borrow_mut().grow(clock.now(), self.id, bytes)?;
        self.rooms.evict(&evicted);
        Ok(())
    }

    /// Returns memory that the body does not need any more.
    pub fn give_back(&self, bytes: u64) {
        self.rooms.shared.ledger.borrow_mut().shrink(self.id, bytes);
    }

    /// Ends the body, and returns what has been read.
    pub fn finish(&self) -> BodyBuffer {
        self.rooms.shared.ledger.borrow_mut().on_whole(self.id);
        self.rooms.shared.arriving.borrow_mut().remove(&self.id);
        self.body.buffer.take()
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.rooms.shared.arriving.borrow_mut().remove(&self.id);
        self.rooms.shared.ledger.borrow_mut().release(self.id);
    }
}
