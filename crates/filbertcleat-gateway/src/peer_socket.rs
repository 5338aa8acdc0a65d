//! UDP updates between entries and agents.
//!
//! Each update contains the full state of its sender, so a lost one only delays the state until the
//! next.

mod convert;

use std::io;
use std::net::SocketAddr;

use filbertcleat_wire::v1;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;

pub(crate) use self::convert::PeerUpdate;

/// Returns a random id that distinguishes this incarnation of a process from all others.
pub(crate) fn incarnation_id() -> u64 {
    SmallRng::from_os_rng().random()
}

/// The UDP socket for updates between entries and agents.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// The largest UDP payload over IPv4.
    const DATAGRAM_MAX_BYTES: usize = 65_507;

    /// Binds the socket to an address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends an update without waiting; errors are only logged, as the next update replaces this
    /// one.
    pub fn send(&self, to: SocketAddr, update: &PeerUpdate) {
        let datagram = v1::Datagram::from(update).encode_to_vec();
        if let Err(error) = self.socket.try_send_to(&datagram, to) {
            log::debug!("event=news-unsent peer={to} reason=\"{error}\"");
        }
    }

    /// Waits for the next update; logs and skips datagrams that can't be decoded.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> (PeerUpdate, SocketAddr) {
        loop {
            buffer.clear();
            buffer.reserve(Self::DATAGRAM_MAX_BYTES);
            match self.socket.recv_buf_from(buffer).await {
                Ok((_length, from)) => {
                    let decoded = v1::Datagram::decode(buffer.as_slice()).ok();
                    if let Some(update) =
                        decoded.and_then(|datagram| PeerUpdate::try_from(datagram).ok())
                    {
                        return (update, from);
                    }
                    log::warn!("event=news-unreadable peer={from} bytes={}", buffer.len());
                }
                // The error may be an ICMP report that a peer's port is closed; the socket stays
                // usable.
                Err(error) => log::debug!("event=news-unreceived reason=\"{error}\""),
            }
        }
    }
}
