//! The kernel's buffer for what arrives on a caller's connection.

use std::rc::Rc;

use filbertcleat_serve::CallerShares;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::body_rooms::BodyRoom;
use crate::listen::set_receive_buffer;

/// The size that is asked for while a large body arrives: with a round trip of 100 ms, 4 MiB take
/// some 3 s.
const WIDE_BYTES: usize = 128 * 1024;
/// The kernel doubles the size that is asked for.
const WIDE_HELD_BYTES: u64 = 2 * WIDE_BYTES as u64;

/// Bounds what the kernel receives on connections while nothing is read.
pub(super) fn limit_receive_buffers(listener: &TcpListener) {
    set_receive_buffer(&SockRef::from(listener), CallerShares::RECEIVE_BUFFER_BYTES / 2);
}

/// The kernel's buffer for a connection, which is widened while a large body arrives.
#[derive(Debug)]
pub(super) struct ReceiveBuffer {
    stream: Rc<TcpStream>,
}

impl ReceiveBuffer {
    /// Creates the buffer of a connection to a listener whose receive buffers are limited.
    pub fn new(stream: &Rc<TcpStream>) -> Self {
        Self { stream: Rc::clone(stream) }
    }

    /// Widens the buffer for a large body if it has room for that, until the returned guard is
    /// dropped.
    pub fn widen_for<'a>(&'a self, room: &'a BodyRoom) -> Option<WideBuffer<'a>> {
        room.take(WIDE_HELD_BYTES).ok()?;
        set_receive_buffer(&SockRef::from(&*self.stream), WIDE_BYTES);
        Some(WideBuffer { buffer: self, room })
    }
}

/// Narrows the buffer again when it is dropped.
#[derive(Debug)]
pub(super) struct WideBuffer<'a> {
    buffer: &'a ReceiveBuffer,
    room: &'a BodyRoom,
}

impl Drop for WideBuffer<'_> {
    fn drop(&mut self) {
        set_receive_buffer(
            &SockRef::from(&*self.buffer.stream),
            CallerShares::RECEIVE_BUFFER_BYTES / 2,
        );
        self.room.give_back(WIDE_HELD_BYTES);
    }
}
