//! A TCP stream that is reset when it is closed.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_util::ready;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::read_allowance::ReadAllowance;

/// A TCP stream that is reset when it is closed, and that reads a limited number of bytes.
#[derive(Debug)]
pub(super) struct Socket {
    stream: Rc<TcpStream>,
    allowance: ReadAllowance,
}

impl Socket {
    /// Wraps a stream so that it is reset when it is closed, and that reads fail once `allowance`
    /// is used up.
    ///
    /// Without the reset, an abandoned request could still be delivered after a network partition
    /// heals.
    pub fn reset_on_close(stream: Rc<TcpStream>, allowance: ReadAllowance) -> io::Result<Self> {
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self { stream, allowance })
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::Error::other("the peer sends more than a response")));
        }
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Ok(length) => {
                    self.allowance.use_up(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
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
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A graceful shutdown would wait for undelivered bytes.
        Poll::Ready(Ok(()))
    }
}
