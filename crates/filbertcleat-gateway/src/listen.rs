//! Binds listening sockets.

use std::net::SocketAddr;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use tokio::net::TcpListener;

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
