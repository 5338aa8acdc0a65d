//! Reads a body to its end before it is forwarded, also if nobody waits for it.

use std::pin::pin;
use std::rc::Rc;

use bytes::BytesMut;
use filbertcleat_serve::AttemptOutcome;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::attempt::AttemptFailure;
use super::backend_body::BackendBody;
use super::backend_body::RESPONSE_MAX_BYTES;
use super::backend_connection::BackendConnection;
use super::body::CallerBody;
use super::body_framing::BodyFraming;
use super::caller_memory::BodyBytes;
use super::counted_attempt::CountedAttempt;
use super::exchange::READ_ON;
use super::liveness::Liveness;
use super::liveness::check_liveness;
use super::sent_request::SentRequest;
use super::state::Entry;
use crate::Dialect;

/// The body of a response on its connection.
pub(super) struct WholeBody {
    pub body: BackendBody,
    pub framing: BodyFraming,
    pub sent: SentRequest,
    pub connection: BackendConnection,
    pub held: BodyBytes,
    /// The outcome of the attempt if the body is whole.
    pub outcome: AttemptOutcome,
}

/// A body that was read to its end, and its connection.
type ReadBody = (CallerBody, BackendConnection);

impl WholeBody {
    /// Reads the body to its end, at most until `deadline`.
    ///
    /// If the returned future is dropped, the body is read for a while longer: the server may end
    /// under the request.
    pub async fn read<D: Dialect>(
        self,
        attempt: &Rc<CountedAttempt<D>>,
        deadline: Instant,
    ) -> Result<ReadBody, AttemptFailure> {
        let (sender, receiver) = oneshot::channel();
        spawn_local(self.read_for(Rc::clone(attempt), deadline, sender));
        receiver.await.unwrap_or(Err(AttemptFailure::unknown(
            AttemptOutcome::Broken,
            "reading the response failed",
        )))
    }

    async fn read_for<D: Dialect>(
        self,
        attempt: Rc<CountedAttempt<D>>,
        deadline: Instant,
        mut receiver: oneshot::Sender<Result<ReadBody, AttemptFailure>>,
    ) {
        let outcome = self.outcome;
        let read = {
            let mut reading = pin!(self.read_to_end(Rc::clone(&attempt.entry), deadline));
            tokio::select! {
                biased;
                read = &mut reading => Ok(read),
                () = receiver.closed() => tokio::time::timeout(READ_ON, reading).await,
            }
        };
        let Ok(read) = read else {
            attempt.on_abandoned();
            return;
        };
        match receiver.send(read) {
            Ok(()) => {}
            Err(Ok(_unclaimed)) => {
                if outcome == AttemptOutcome::Answered {
                    attempt.on_sound();
                }
                attempt.end(outcome);
            }
            Err(Err(failure)) => attempt.end(failure.outcome),
        }
    }

    /// Reads into one buffer: many small chunks, each kept with the bytes that it was read with,
    /// would take many times the memory. The time in which the body waits for memory does not count
    /// towards the deadline, since the backend server does not cause it.
    async fn read_to_end<D: Dialect>(
        self,
        entry: Rc<Entry<D>>,
        mut deadline: Instant,
    ) -> Result<ReadBody, AttemptFailure> {
        let Self { body, framing, sent, connection, mut held, .. } = self;
        let mut body = Limited::new(body, RESPONSE_MAX_BYTES);
        let mut bytes = BytesMut::new();
        loop {
            let Ok(frame) = tokio::time::timeout_at(deadline, body.frame()).await else {
                return Err(AttemptFailure::unknown(
                    AttemptOutcome::Silent,
                    "the response did not end before the deadline",
                ));
            };
            let Some(frame) = frame else { break };
            let Ok(frame) = frame else {
                return Err(AttemptFailure::unknown(
                    AttemptOutcome::Broken,
                    "the response body broke off",
                ));
            };
            if let Ok(data) = frame.into_data() {
                let waits_since = Instant::now();
                held.hold(data.len()).await;
                deadline += waits_since.elapsed();
                bytes.extend_from_slice(&data);
            }
        }
        match framing {
            BodyFraming::Length | BodyFraming::Chunks => {}
            BodyFraming::Connection => check_end(entry, sent, deadline).await?,
        }
        let body = Full::new(bytes.freeze());
        Ok((CallerBody::Complete { body, held: Some(held.finish()) }, connection))
    }
}

/// Checks that the server has outlived the connection whose end is that of the body.
async fn check_end<D: Dialect>(
    entry: Rc<Entry<D>>,
    sent: SentRequest,
    deadline: Instant,
) -> Result<(), AttemptFailure> {
    let liveness = check_liveness(entry, sent, deadline).await;
    let Some(reason) = liveness.broken_reason() else { return Ok(()) };
    let is_late = match liveness {
        Liveness::Stopped => true,
        Liveness::Unknown => deadline <= Instant::now(),
        Liveness::Alive | Liveness::Ended | Liveness::Replaced => false,
    };
    let outcome = if is_late { AttemptOutcome::Silent } else { AttemptOutcome::Broken };
    Err(AttemptFailure::unknown(outcome, reason))
}
