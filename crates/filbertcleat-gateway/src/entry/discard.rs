//! Discards what follows on a connection that has been closed towards its caller.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

/// How long the rest of a refused request is read: a caller that sends without reading its response
/// has finished by then, or gets a reset.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// The size of the pieces in which bytes are discarded.
const PIECE_BYTES: usize = 16 * 1024;

/// Reads and drops the rest of a refused request, until the caller closes the connection or
/// `max_bytes` have arrived.
///
/// If the connection were closed with unread bytes, it would be reset, and the refusal might be
/// lost.
pub(super) async fn discard_request(stream: &TcpStream, max_bytes: usize) {
    let discarded = tokio::time::timeout(DISCARD_TIMEOUT, discard(stream, max_bytes)).await;
    match discarded {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("event=caller-gone reason=\"{error}\""),
        Err(_elapsed) => log::debug!("event=caller-gone reason=\"the request did not end\""),
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
