//! Reads the bodies of callers' requests within the memory that they may take together.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use filbertcleat_base::MonoTime;
use filbertcleat_serve::BodyId;
use filbertcleat_serve::BodyLedger;
use filbertcleat_serve::BodySource;
use filbertcleat_serve::NoRoom;
use http_body_util::BodyExt;
use salvo::http::Body;
use salvo::http::ReqBody;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why a body was not read.
#[derive(Debug)]
pub(crate) enum BodyFault {
    /// It is larger than the given number of bytes.
    TooLarge(usize),
    /// It broke off.
    Broken(String),
    /// It did not arrive within the given time.
    Late(Duration),
    /// There is no memory for it, or it arrived too slowly while memory was short.
    NoRoom,
}

/// Reads the bodies of callers' requests within the memory that they may take together.
#[derive(Clone, Debug)]
pub(crate) struct BodyReader {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started_at: Instant,
    body_max_bytes: usize,
    read_timeout: Duration,
    bodies: Mutex<Bodies>,
}

#[derive(Debug)]
struct Bodies {
    ledger: BodyLedger,
    /// Wakes the tasks that read bodies when these have to give up their memory.
    arriving: BTreeMap<BodyId, Arc<Notify>>,
}

impl BodyReader {
    /// The smallest buffer of a body.
    const BUFFER_MIN_BYTES: usize = 4 * 1024;

    /// Creates a reader of bodies of up to `body_max_bytes`, which may take `bodies_max_bytes`
    /// together and have to arrive within `read_timeout`.
    pub fn new(body_max_bytes: usize, bodies_max_bytes: u64, read_timeout: Duration) -> Self {
        let ledger = BodyLedger::new(Some(bodies_max_bytes));
        let bodies = Mutex::new(Bodies { ledger, arriving: BTreeMap::new() });
        let started_at = Instant::now();
        Self { shared: Arc::new(Shared { started_at, body_max_bytes, read_timeout, bodies }) }
    }

    /// Reads a body to its end. It counts until the last copy is dropped.
    pub async fn read(&self, body: ReqBody) -> Result<Bytes, BodyFault> {
        let Shared { body_max_bytes, read_timeout, .. } = *self.shared;
        if body.size_hint().lower() > body_max_bytes as u64 {
            return Err(BodyFault::TooLarge(body_max_bytes));
        }
        let mut room = self.open().map_err(|NoRoom| BodyFault::NoRoom)?;
        let evicted = Arc::clone(&room.evicted);
        tokio::select! {
            biased;
            read = tokio::time::timeout(read_timeout, self.collect(body, &mut room)) => {
                read.unwrap_or(Err(BodyFault::Late(read_timeout)))?;
            }
            () = evicted.notified() => return Err(BodyFault::NoRoom),
        }
        self.bodies().ledger.on_whole(room.id);
        Ok(Bytes::from_owner(room))
    }

    async fn collect(&self, mut body: ReqBody, room: &mut BodyRoom) -> Result<(), BodyFault> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyFault::Broken(error.to_string()))?;
            let Some(data) = frame.data_ref() else { continue };
            let body_max_bytes = self.shared.body_max_bytes;
            if room.buffer.len() + data.len() > body_max_bytes {
                return Err(BodyFault::TooLarge(body_max_bytes));
            }
            self.bodies().ledger.on_received(self.now(), room.id, data.len() as u64);
            self.reserve(room, data.len()).map_err(|NoRoom| BodyFault::NoRoom)?;
            room.buffer.extend_from_slice(data);
        }
        Ok(())
    }

    fn open(&self) -> Result<BodyRoom, NoRoom> {
        let source = BodySource {
            workspace: None,
            largest_bytes: self.shared.body_max_bytes as u64,
            wait_ms: self.shared.read_timeout.as_millis() as u64,
        };
        let mut bodies = self.bodies();
        let (id, evicted) = bodies.ledger.open(self.now(), source)?;
        bodies.evict(&evicted);
        let evicted = Arc::new(Notify::new());
        bodies.arriving.insert(id, Arc::clone(&evicted));
        Ok(BodyRoom { id, buffer: BytesMut::new(), evicted, reader: self.clone() })
    }

    /// Makes room in the buffer of a body. While the buffer moves, both count.
    fn reserve(&self, room: &mut BodyRoom, bytes: usize) -> Result<(), NoRoom> {
        let capacity = room.buffer.capacity();
        let needed = room.buffer.len() + bytes;
        if needed <= capacity {
            return Ok(());
        }
        let grown = needed.max(2 * capacity).max(Self::BUFFER_MIN_BYTES);
        let grown = grown.min(self.shared.body_max_bytes.max(needed));
        let mut bodies = self.bodies();
        let evicted = bodies.ledger.grow(self.now(), room.id, grown as u64)?;
        bodies.evict(&evicted);
        let mut buffer = BytesMut::with_capacity(grown);
        buffer.extend_from_slice(&room.buffer);
        room.buffer = buffer;
        bodies.ledger.shrink(room.id, capacity as u64);
        Ok(())
    }

    fn now(&self) -> MonoTime {
        let elapsed = self.shared.started_at.elapsed();
        MonoTime::from_us(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    fn bodies(&self) -> MutexGuard<'_, Bodies> {
        self.shared.bodies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bodies {
    fn evict(&mut self, evicted: &[BodyId]) {
        for id in evicted {
            if let Some(arriving) = self.arriving.remove(id) {
                arriving.notify_one();
            }
        }
    }
}

/// A body with its memory, which is released when this guard is dropped.
#[derive(Debug)]
struct BodyRoom {
    id: BodyId,
    buffer: BytesMut,
    evicted: Arc<Notify>,
    reader: BodyReader,
}

impl AsRef<[u8]> for BodyRoom {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let mut bodies = self.reader.bodies();
        bodies.arriving.remove(&self.id);
        bodies.ledger.release(self.id);
    }
}
