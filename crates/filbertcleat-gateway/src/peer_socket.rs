//! Datagrams between entries and agents.
//!
//! Each message says all that its sender has to say, so a lost one costs nothing but the time
//! until the next.

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

/// Draws the number that tells one start of a process from all others.
pub(crate) fn incarnation_id() -> u64 {
    SmallRng::from_os_rng().random()
}

/// A socket for datagrams between entries and agents.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// The largest datagram, as IP allows.
    const DATAGRAM_MAX_BYTES: usize = 65_507;

    /// Binds the socket.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Returns the address that it is bound to.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends news; one that is lost is made up for by the next.
    pub fn send(&self, to: SocketAddr, news: &PeerUpdate) {
        let datagram = v1::Datagram::from(news).encode_to_vec();
        if let Err(error) = self.socket.try_send_to(&datagram, to) {
            log::debug!("event=news-unsent peer={to} reason=\"{error}\"");
        }
    }

    /// Waits for news; datagrams that can't be read are passed over.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> (PeerUpdate, SocketAddr) {
        loop {
            buffer.clear();
            buffer.reserve(Self::DATAGRAM_MAX_BYTES);
            match self.socket.recv_buf_from(buffer).await {
                Ok((_length, from)) => {
                    let decoded = v1::Datagram::decode(buffer.as_slice()).ok();
                    if let Some(news) =
                        decoded.and_then(|datagram| PeerUpdate::try_from(datagram).ok())
                    {
                        return (news, from);
                    }
                    log::warn!("event=news-unreadable peer={from} bytes={}", buffer.len());
                }
                // A peer without a listener can be reported here; the next datagram still comes.
                Err(error) => log::debug!("event=news-unreceived reason=\"{error}\""),
            }
        }
    }
}
