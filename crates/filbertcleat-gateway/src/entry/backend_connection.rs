//! A connection to a backend server.

use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::ops::RangeInclusive;
use std::rc::Weak;

use filbertcleat_serve::RequestHash;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::exchange_error::ExchangeError;
use super::read_allowance::ReadAllowance;
use super::request_body::RequestBody;

/// The statuses of final responses (RFC 9110, section 15). The HTTP library accepts others too.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A connection to a backend server, with the bytes that the server may still send on it.
pub(super) struct BackendConnection {
    sender: SendRequest<RequestBody>,
    allowance: ReadAllowance,
    /// The stream, until the connection has ended.
    stream: Weak<TcpStream>,
    /// The requests that were sent last, oldest first, with the questions for the server's identity.
    recent: VecDeque<RequestHash>,
    /// The start of the server that has answered on the connection, in Unix ms.
    started_unix_ms: Option<u64>,
}

impl BackendConnection {
    /// The most requests that are remembered. They are those of some seconds, in which a caller
    /// sends a refused request again.
    const RECENT_MAX: usize = 32;

    /// Creates the connection of a sender, whose socket counts what it reads in `allowance`.
    pub fn new(
        sender: SendRequest<RequestBody>,
        allowance: ReadAllowance,
        stream: Weak<TcpStream>,
    ) -> Self {
        Self { sender, allowance, stream, recent: VecDeque::new(), started_unix_ms: None }
    }

    /// Sends a request and waits for the head of the response, which has a valid final status.
    pub async fn try_send(
        &mut self,
        id: RequestHash,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        if self.recent.len() >= Self::RECENT_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(id);
        self.allowance.grant_head();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_returned) => ExchangeError::Unsent,
            None => ExchangeError::Broken,
        })?;
        if !FINAL_STATUSES.contains(&response.status().as_u16()) {
            return Err(ExchangeError::Broken);
        }
        Ok(response)
    }

    /// Returns the bytes that the backend server may still send.
    pub fn allowance(&self) -> &ReadAllowance {
        &self.allowance
    }

    /// Returns the start of the server that has answered on the connection, in Unix ms, if it was
    /// asked.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Records the start of the server that has answered on the connection.
    pub fn confirm_start(&mut self, started_unix_ms: u64) {
        self.started_unix_ms = Some(started_unix_ms);
    }

    /// Returns whether the connection can take another request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection was closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether a request was sent on this connection before. A late copy of the response to
    /// it can't be told from the response to the same request when it is sent again.
    pub fn has_carried(&self, id: RequestHash) -> bool {
        self.recent.contains(&id)
    }

    /// Returns whether one request was sent on this connection so far, so that any answer answers it.
    pub fn is_first_request(&self) -> bool {
        self.recent.len() == 1
    }

    /// Returns whether the backend server has neither sent anything nor closed the connection.
    ///
    /// It asks the kernel, since the runtime learns of bytes only after the tasks that are due.
    pub fn is_quiet(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}
