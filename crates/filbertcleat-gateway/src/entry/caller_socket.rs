//! The TCP stream of a caller's connection.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use futures_util::ready;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::connection_activity::ConnectionActivity;

/// The TCP stream of a caller's connection, which records when bytes arrive and are written.
#[derive(Debug)]
pub(super) struct CallerSocket {
    stream: Rc<TcpStream>,
    activity: Rc<ConnectionActivity>,
    /// Bytes that were read from the stream before, and are to be read again.
    unread: Bytes,
}

impl CallerSocket {
    /// Wraps the stream of a connection, of which `unread` has been taken already.
    pub fn new(stream: &Rc<TcpStream>, activity: &Rc<ConnectionActivity>, unread: Bytes) -> Self {
        Self { stream: Rc::clone(stream), activity: Rc::clone(activity), unread }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unread.has_remaining() {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(length));
            self.activity.on_read();
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {
                    self.activity.on_read();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(ready) = self.stream.poll_write_ready(context) else {
                self.activity.on_write_blocked();
                return Poll::Pending;
            };
            ready?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(length) => {
                    self.activity.on_written(length);
                    return Poll::Ready(Ok(length));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Hyper flushes the stream when it has taken all buffered bytes.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Until now the kernel would have reset the connection.
        let is_whole = self.activity.on_flush();
        Poll::Ready(if is_whole { SockRef::from(&*self.stream).set_linger(None) } else { Ok(()) })
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.activity.is_reset_due() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
