//! Sends a request on a connection and reads the head of the answer, also if nobody waits for it.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::RequestHash;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::answer::Answer;
use super::backend_connection::BackendConnection;
use super::counted_attempt::CountedAttempt;
use super::exchange_error::ExchangeError;
use super::notices::NoticeSource;
use super::notices::apply_notice;
use super::request_body::RequestBody;
use crate::Dialect;

/// How long an answer is read on that nobody waits for any more. What a server announces in its head
/// concerns later requests, as does its end under the request, but a server that works on is told
/// within half a second to stop.
pub(super) const READ_ON: Duration = Duration::from_millis(300);
/// The same for an attempt that must stop soon, as another server goes on with its stream. A server
/// that turns it away does so within a few round trips.
const READ_ON_CANCELLED: Duration = Duration::from_millis(50);

/// One request on one connection.
pub(super) struct Exchange<D: Dialect> {
    pub attempt: Rc<CountedAttempt<D>>,
    /// The id of the caller's request.
    pub request: String,
    /// The Unix time of the server's start in milliseconds.
    pub started_unix_ms: u64,
}

impl<D: Dialect> Exchange<D> {
    /// Sends a request and waits for the head of the answer, at most for `limit`.
    ///
    /// If the time passes, or the returned future is dropped, the head is read for a while longer.
    pub async fn run(
        self,
        connection: BackendConnection,
        outbound: Request<RequestBody>,
        limit: Duration,
    ) -> Result<Answer, ExchangeError> {
        let (sender, receiver) = oneshot::channel();
        spawn_local(self.read_answer(connection, outbound, sender));
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_dropped)) => Err(ExchangeError::Broken),
            Err(_elapsed) => Err(ExchangeError::Silent),
        }
    }

    async fn read_answer(
        self,
        mut connection: BackendConnection,
        outbound: Request<RequestBody>,
        mut receiver: oneshot::Sender<Result<Answer, ExchangeError>>,
    ) {
        let sent = {
            let mut sending = pin!(connection.try_send(RequestHash::of(&self.request), outbound));
            tokio::select! {
                biased;
                sent = &mut sending => Ok(sent),
                () = receiver.closed() => {
                    let is_cancelled = self.attempt.is_cancelled();
                    let read_on = if is_cancelled { READ_ON_CANCELLED } else { READ_ON };
                    tokio::time::timeout(read_on, sending).await
                }
            }
        };
        // Dropping the connection of a request without an answer tells the server to stop.
        let Ok(sent) = sent else {
            self.attempt.on_abandoned();
            return;
        };
        let result = sent.map(|response| self.apply_head(response, connection));
        if let Err(unclaimed) = receiver.send(result) {
            self.on_unclaimed(&unclaimed);
        }
    }

    /// Applies what the server announces in a head, whatever the answer is worth.
    fn apply_head(&self, response: Response<Incoming>, connection: BackendConnection) -> Answer {
        let CountedAttempt { entry, server, .. } = &*self.attempt;
        let metadata = entry.dialect.parse_response(response.headers());
        let is_foreign = metadata.id.as_ref() != Some(&self.request);
        let mut notice = metadata.notice.with_status(response.status());
        if is_foreign && notice.limit == NamedLimit::Absent {
            // What is no answer to this request may lack any header.
            notice.limit = NamedLimit::Untold;
        }
        let answering = metadata.server.as_ref().unwrap_or(server);
        // The start of another server than the one asked is not known.
        let started_unix_ms = if answering == server { self.started_unix_ms } else { 0 };
        apply_notice(entry, answering, started_unix_ms, notice, NoticeSource::Answer);
        Answer { response, metadata, requests_pause: notice.pause.is_some(), connection }
    }

    fn on_unclaimed(&self, result: &Result<Answer, ExchangeError>) {
        let ending = match result {
            Ok(answer) => answer.response.status().as_str().to_owned(),
            Err(error) => format!("{error:?}"),
        };
        let (request, server) = (&self.request, &self.attempt.server);
        log::info!("event=answer-unclaimed id={request} server={server} ending={ending}");
        if matches!(result, Err(ExchangeError::Broken)) {
            self.attempt.on_broken();
        }
    }
}
