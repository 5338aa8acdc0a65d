//! Closes the stream of a caller's connection in order.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// How long the entry waits until the caller has read its last response and closes its side, and
/// until a caller that sends without reading has finished a refused request.
const RESPONSE_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the entry waits until the caller of an idle connection closes its side: some network
/// round trips.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the pieces in which bytes are discarded.
const PIECE_BYTES: usize = 16 * 1024;

/// Closes a stream after the last response on it.
///
/// Bytes that still arrive, at most `max_bytes`, are discarded: with unread bytes the stream would
/// be reset, and the response might be lost.
pub(super) async fn close_after_response(stream: &TcpStream, max_bytes: usize) {
    let closed = close(stream, discard(stream, max_bytes));
    log_failure(tokio::time::timeout(RESPONSE_READ_TIMEOUT, closed).await.unwrap_or(Ok(())));
}

/// Closes an idle stream.
///
/// A request that crosses the close is left unread, so that its caller gets a reset and knows that
/// it has not run.
pub(super) async fn close_idle(stream: &TcpStream) {
    let closed = close(stream, async { stream.peek(&mut [0]).await.map(|_crossed| ()) });
    log_failure(tokio::time::timeout(IDLE_CLOSE_TIMEOUT, closed).await.unwrap_or(Ok(())));
}

/// Returns whether bytes have arrived that the entry has not read.
///
/// It asks the kernel, since after a busy or suspended time the readiness that the runtime knows of
/// is older than its timers.
pub(super) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut byte), Ok(length) if length > 0)
}

async fn close(
    stream: &TcpStream,
    caller_closed: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)?;
    caller_closed.await
}

async fn discard(stream: &TcpStream, max_bytes: usize) -> io::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    let mut discarded = 0;
    while discarded < max_bytes {
        stream.readable().await?;
        match stream.try_read(&mut piece) {
            Ok(0) => return Ok(()),
            Ok(length) => discarded += length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn log_failure(closed: io::Result<()>) {
    if let Err(error) = closed {
        log::debug!("event=caller-gone reason=\"{error}\"");
    }
}
