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
    close(stream, discard(stream, max_bytes), RESPONSE_READ_TIMEOUT).await;
}

/// Closes an idle stream.
///
/// A request that crosses the close is left unread, so that its caller gets a reset and knows that
/// it has not run.
pub(super) async fn close_idle(stream: &TcpStream) {
    let closed = async { stream.peek(&mut [0]).await.map(|_crossed| ()) };
    close(stream, closed, IDLE_CLOSE_TIMEOUT).await;
}

/// Returns whether bytes have arrived that the entry has not read.
///
/// It asks the kernel, since after a busy or suspended time the readiness that the runtime knows of
/// is older than its timers.
pub(super) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut byte), Ok(length) if length > 0)
}

/// Ends the entry's side of a stream and waits until the caller has closed its own.
async fn close(
    stream: &TcpStream,
    caller_closed: impl Future<Output = io::Result<()>>,
    limit: Duration,
) {
    if let Err(error) = SockRef::from(stream).shutdown(Shutdown::Write) {
        log::debug!("event=caller-gone reason=\"{error}\"");
        return;
    }
    match tokio::time::timeout(limit, caller_closed).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("event=caller-gone reason=\"{error}\""),
        Err(_elapsed) => log::debug!("event=caller-gone reason=\"its side was not closed\""),
    }
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
