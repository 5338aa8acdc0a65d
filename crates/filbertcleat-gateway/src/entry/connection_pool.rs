//! Pooled connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::RequestHash;
use http::HeaderMap;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::backend_connection::BackendConnection;
use super::read_allowance::ReadAllowance;
use super::socket::Socket;
use crate::clock::Clock;

/// Timeout for connecting: many times the round-trip time between two regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The TCP user timeout: a connection is closed if written bytes stay unacknowledged, or the peer's
/// receive window stays full, for this time. Nothing else reveals a network path that silently
/// drops packets. A sound backend server may pause for a second or two, which must not end what it
/// is working on.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// The idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// How long an idle connection is kept if the backend server sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE_MS: u64 = 2_000;
/// An idle connection is discarded this long before the backend server would close it.
const KEEP_ALIVE_MARGIN_MS: u64 = 700;
/// The most idle connections kept per backend server: the number of requests that one processes
/// at once.
const IDLE_MAX: usize = 64;

/// A pool of idle connections to backend servers.
///
/// The connection that has been idle longest is reused first, so that each stays idle as long as
/// possible. A duplicate response that arrives late then hits an idle connection and closes it,
/// instead of being read as the response to the next request.
pub(super) struct ConnectionPool {
    clock: Clock,
    /// The most idle connections to all backend servers, if they are limited.
    idle_max: Option<usize>,
    idle: RefCell<HashMap<SocketAddr, VecDeque<Idle>>>,
}

struct Idle {
    connection: BackendConnection,
    expires_at: MonoTime,
}

impl ConnectionPool {
    /// Creates an empty pool, which keeps at most `idle_max` connections, if they are limited.
    pub fn new(clock: Clock, idle_max: Option<usize>) -> Self {
        Self { clock, idle_max, idle: RefCell::new(HashMap::new()) }
    }

    /// Returns an idle connection for a request, or connects if there is none.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        request: RequestHash,
    ) -> io::Result<BackendConnection> {
        if let Some(connection) = self.take_idle(address, request) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Opens a new connection, which is reset when it is closed.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<BackendConnection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))?;

        let allowance = ReadAllowance::for_head();
        let stream = Rc::new(stream);
        let weak_stream = Rc::downgrade(&stream);
        let socket = Socket::reset_on_close(stream, allowance.clone())?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection-ended peer={address} reason=\"{error}\"");
            }
        });
        Ok(BackendConnection::new(sender, allowance, weak_stream))
    }

    /// Keeps a connection for reuse, unless the response headers `head` forbid it.
    ///
    /// A connection whose response has not been read to its end is not ready, and is not reused.
    pub fn keep(&self, address: SocketAddr, connection: BackendConnection, head: &HeaderMap) {
        let Some(keep_ms) = keep_ms(head) else { return };
        let expires_at = self.clock.now().plus_ms(keep_ms);
        let mut idle = self.idle.borrow_mut();
        let is_full = |idle_max| idle.values().map(VecDeque::len).sum::<usize>() >= idle_max;
        if self.idle_max.is_some_and(is_full) {
            return;
        }
        let queue = idle.entry(address).or_default();
        if queue.len() < IDLE_MAX {
            queue.push_back(Idle { connection, expires_at });
        }
    }

    /// Closes the idle connections to addresses that no backend server has any more.
    pub fn retain_addresses(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|address, _| is_listed(*address));
    }

    /// Returns the number of addresses to which connections are kept.
    pub fn addresses(&self) -> usize {
        self.idle.borrow().len()
    }

    fn take_idle(&self, address: SocketAddr, request: RequestHash) -> Option<BackendConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(&address)?;
        queue.retain(|idle| !idle.connection.is_closed() && idle.expires_at > now);
        loop {
            let is_fit = |Idle { connection, .. }: &Idle| {
                connection.is_ready() && !connection.has_carried(request)
            };
            let position = queue.iter().position(is_fit)?;
            let connection = queue.remove(position)?.connection;
            if connection.is_quiet() {
                return Some(connection);
            }
            log::info!("event=connection-discarded peer={address} reason=\"not quiet while idle\"");
        }
    }
}

/// Returns how long an idle connection may be kept after a response, or `None` if it may not.
fn keep_ms(head: &HeaderMap) -> Option<u64> {
    let text = |name| head.get(name).and_then(|value| value.to_str().ok());
    let is_closing =
        text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if is_closing {
        return None;
    }
    let timeout_s = text("keep-alive").and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    match timeout_s {
        Some(seconds) => {
            seconds.saturating_mul(1_000).checked_sub(KEEP_ALIVE_MARGIN_MS).filter(|ms| *ms > 0)
        }
        None => Some(DEFAULT_KEEP_ALIVE_MS),
    }
}
