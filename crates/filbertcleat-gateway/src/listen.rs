//! Listening sockets and the kernel's buffers of their connections.

use std::net::SocketAddr;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use socket2::SockRef;
use tokio::net::TcpListener;

/// The delay after a connection could not be accepted, for example for lack of file descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds a listener to an address.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address).await.map_err(|error| Fault::new(Step::Connect, address, error))
}

/// Binds a listener if an address is given.
pub(crate) async fn bind_if(address: Option<SocketAddr>) -> Result<Option<TcpListener>, Fault> {
    match address {
        Some(address) => bind(address).await.map(Some),
        None => Ok(None),
    }
}

/// Asks the kernel for a receive buffer of a size in bytes, which it doubles. Connections inherit that
/// of their listener.
pub(crate) fn set_receive_buffer(socket: &SockRef<'_>, bytes: usize) {
    if let Err(error) = socket.set_recv_buffer_size(bytes) {
        log::debug!("event=receive-buffer-unset reason=\"{error}\"");
    }
}
