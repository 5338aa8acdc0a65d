//! A TCP stream that is reset when it is closed.

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

/// A TCP stream that is reset when it is closed, and that reads a limited number of bytes.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl Socket {
    /// Wraps a stream so that it is reset when it is closed, and that reads fail once `allowance`
    /// is used up.
    ///
    /// Without the reset, an abandoned request could still be delivered after a network partition
    /// heals.
    pub fn reset_on_close(stream: TcpStream, allowance: ReadAllowance) -> io::Result<Self> {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self { stream, allowance })
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::Error::other("the peer sends more than a response")));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.use_up(buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for Socket {
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

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A graceful shutdown would wait for undelivered bytes.
        Poll::Ready(Ok(()))
    }
}
