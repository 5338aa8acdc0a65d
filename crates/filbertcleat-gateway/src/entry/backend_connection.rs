//! A connection to a backend server.

use std::io;
use std::mem::MaybeUninit;
use std::rc::Weak;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::read_allowance::ReadAllowance;

/// A connection to a backend server, with the bytes that the server may still send on it.
pub(super) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    /// The stream, until the connection has ended.
    stream: Weak<TcpStream>,
}

impl BackendConnection {
    /// Creates the connection of a sender, whose socket counts what it reads in `allowance`.
    pub fn new(
        sender: SendRequest<Full<Bytes>>,
        allowance: ReadAllowance,
        stream: Weak<TcpStream>,
    ) -> Self {
        Self { sender, allowance, stream }
    }

    /// Sends a request and waits for the head of the response; an error returns the request if it
    /// was not transmitted.
    pub async fn try_send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.grant_head();
        self.sender.try_send_request(request).await
    }

    /// Returns the bytes that the backend server may still send.
    pub fn allowance(&self) -> &ReadAllowance {
        &self.allowance
    }

    /// Returns whether the connection can take another request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection was closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
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
