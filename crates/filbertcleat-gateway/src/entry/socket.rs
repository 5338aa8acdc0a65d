//! A TCP stream that reports its reads or is reset when it is closed.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::read_allowance::ReadAllowance;

/// A TCP stream that calls back on reads, or that is reset when it is closed.
pub(super) struct Socket<R> {
    stream: TcpStream,
    on_read: R,
    close_mode: CloseMode,
    allowance: Option<ReadAllowance>,
}

/// How a stream is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseMode {
    /// Written bytes are delivered before the connection is closed.
    Graceful,
    /// The connection is reset, and undelivered bytes are discarded.
    Reset,
}

impl<R: Fn() + Unpin> Socket<R> {
    /// Wraps a stream so that `on_read` is called whenever bytes have arrived.
    pub fn with_read_callback(stream: TcpStream, on_read: R) -> Self {
        Self { stream, on_read, close_mode: CloseMode::Graceful, allowance: None }
    }
}

impl Socket<fn()> {
    /// Wraps a stream so that it is reset when it is closed, and that reads fail once `allowance`
    /// is used up.
    ///
    /// Without the reset, an abandoned request could still be delivered after a network partition
    /// heals.
    pub fn reset_on_close(stream: TcpStream, allowance: ReadAllowance) -> io::Result<Self> {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self {
            stream,
            on_read: || {},
            close_mode: CloseMode::Reset,
            allowance: Some(allowance),
        })
    }
}

impl<R: Fn() + Unpin> AsyncRead for Socket<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.as_ref().is_some_and(ReadAllowance::is_used_up) {
            return Poll::Ready(Err(io::Error::other("the peer sends more than a response")));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            (self.on_read)();
            if let Some(allowance) = &self.allowance {
                allowance.use_up(buffer.filled().len() - before);
            }
        }
        read
    }
}

impl<R: Fn() + Unpin> AsyncWrite for Socket<R> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.close_mode {
            CloseMode::Graceful => Pin::new(&mut self.stream).poll_shutdown(context),
            // A graceful shutdown would wait for undelivered bytes.
            CloseMode::Reset => Poll::Ready(Ok(())),
        }
    }
}
