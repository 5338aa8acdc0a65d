//! Continues streams at other backend servers when their own is silent or broke off.

use std::pin::pin;
use std::rc::Rc;

use filbertcleat_serve::AttemptOutcome;

use super::attempt::AttemptFailure;
use super::attempt::send_attempt;
use super::handler::check_retry;
use super::in_flight::InFlightAttempt;
use super::placement::place_request;
use super::stream_relay::MISPLACED;
use super::stream_relay::STALL_TIMEOUT_MS;
use super::stream_relay::StreamRelay;
use super::stream_source::StreamSource;
use crate::Dialect;

impl<D: Dialect> StreamRelay<D> {
    /// Moves the stream away from a silent backend server.
    ///
    /// Silence alone does not end a stream, because a sound backend server may pause and go on. The
    /// silent one is given up only when another one has sent an event. Returns the source that
    /// continues the stream, or `None` if neither does.
    pub(super) async fn move_stalled(
        &mut self,
        mut source: StreamSource<D>,
    ) -> Option<StreamSource<D>> {
        self.log_event("stream-stalled", source.server(), "no event within the stall timeout");
        if self.request.remaining_ms(self.entry.now()) < STALL_TIMEOUT_MS {
            // Another backend server would have to read the prompt again, and could not finish.
            return Some(source);
        }
        let Some(attempt) = self.place_elsewhere(&mut source).await else { return Some(source) };
        if !self.entry.take_retry(&self.request.service) {
            self.log_not_resumed("the retry budget is used up");
            return Some(source);
        }
        self.request.attempts += 1;
        let (server, counted) = (attempt.server().clone(), Rc::clone(attempt.counted()));
        let (mut silent, mut broken) = (Some(source), None);
        let opened = {
            let mut opening = pin!(self.open_with_event(attempt));
            let deadline = self.request.deadline;
            let deadline = self.given_up_at().map_or(deadline, |at| at.min(deadline));
            let deadline = self.entry.clock().instant(deadline);
            loop {
                tokio::select! {
                    biased;
                    () = self.sender.closed() => return silent,
                    () = tokio::time::sleep_until(deadline) => return silent,
                    source = wait_ready(&mut silent) => {
                        if !source.is_broken() {
                            self.log_not_resumed("the silent backend server goes on");
                            // Two servers must not go on with one stream.
                            counted.cancel();
                            return Some(source);
                        }
                        self.log_event("stream-broken", source.server(), "while the stream moves");
                        broken = Some(source.server().clone());
                        source.abandon(AttemptOutcome::Broken);
                    }
                    opened = &mut opening => break opened,
                }
            }
        };
        self.request.demand.last_choices.extend(broken);
        match opened {
            Ok(moved) => {
                if let Some(silent) = silent {
                    self.leave(silent, AttemptOutcome::Silent);
                }
                self.log_resumed(&moved);
                Some(moved)
            }
            Err(failure) => {
                self.request.attempts -= u32::from(!failure.has_arrived);
                self.log_event("resume-failed", &server, failure.reason);
                if silent.is_some() {
                    // A server that answers wrongly does so again.
                    if failure.outcome == AttemptOutcome::Failed {
                        self.request.avoided.push(server);
                    }
                    return silent;
                }
                self.request.avoided.push(server);
                self.resume_after(failure).await
            }
        }
    }

    /// Places the stream at a backend server other than that of `source`. Returns `None` if none
    /// has capacity in time, or if the source goes on first.
    async fn place_elsewhere(
        &mut self,
        source: &mut StreamSource<D>,
    ) -> Option<InFlightAttempt<D>> {
        let avoided_before = self.request.avoided.len();
        self.request.avoided.push(source.server().clone());
        let placed = tokio::select! {
            biased;
            () = self.sender.closed() => None,
            () = source.ready() => None,
            placed = place_request(&self.entry, &mut self.request) => Some(placed),
        };
        self.request.avoided.truncate(avoided_before);
        match placed? {
            Ok(attempt) => Some(attempt),
            Err(refusal) => {
                self.log_not_resumed(refusal.reason());
                None
            }
        }
    }

    /// Ends the stream at a backend server that has left it off.
    pub(super) fn leave(&mut self, source: StreamSource<D>, outcome: AttemptOutcome) {
        self.request.demand.last_choices.push(source.server().clone());
        source.abandon(outcome);
    }

    /// Resumes a broken stream, unless the caller disconnects first.
    pub(super) async fn resume_for_caller(&mut self) -> Option<StreamSource<D>> {
        let failure = AttemptFailure::unknown(AttemptOutcome::Broken, "the stream broke off");
        self.resume_after(failure).await
    }

    /// Resumes a stream after a failed attempt, unless the caller disconnects first.
    async fn resume_after(&mut self, failure: AttemptFailure) -> Option<StreamSource<D>> {
        let sender = self.sender.clone();
        tokio::select! {
            biased;
            () = sender.closed() => {
                self.log_not_resumed("the caller disconnected");
                None
            }
            resumed = self.resume(failure) => resumed,
        }
    }

    /// Resumes a stream with a new attempt, after the last event that was forwarded.
    ///
    /// Returns `None` if the attempts or the retry budget are used up, or if no backend server is
    /// available.
    async fn resume(&mut self, mut failure: AttemptFailure) -> Option<StreamSource<D>> {
        loop {
            if let Err(refusal) = check_retry(&self.entry, &self.request, failure) {
                self.log_not_resumed(refusal.reason());
                return None;
            }
            let attempt = match place_request(&self.entry, &mut self.request).await {
                Ok(attempt) => attempt,
                Err(refusal) => {
                    self.log_not_resumed(refusal.reason());
                    return None;
                }
            };
            let server = attempt.server().clone();
            self.request.attempts += 1;
            failure = match self.open(attempt).await {
                Ok(source) => {
                    // The new server has its own time for its first event.
                    self.progress_at = self.entry.now();
                    self.log_resumed(&source);
                    return Some(source);
                }
                Err(failure) => failure,
            };
            self.request.attempts -= u32::from(!failure.has_arrived);
            self.log_event("resume-failed", &server, failure.reason);
            self.request.avoided.push(server);
        }
    }

    /// Sends the rest of the stream's request to a backend server and waits for the head.
    async fn open(&self, attempt: InFlightAttempt<D>) -> Result<StreamSource<D>, AttemptFailure> {
        let sent = send_attempt(&self.entry, &self.request, &attempt, self.position.last()).await;
        let failure = match sent {
            Ok(response) if response.head.status.is_success() => {
                let is_rest = self.position.last().is_some();
                return Ok(StreamSource::new(Box::new(response), attempt, is_rest));
            }
            Ok(failed) => AttemptFailure::unknown(
                failed.failure_outcome(),
                "the backend server returned a failure status",
            ),
            Err(failure) => failure,
        };
        attempt.end(failure.outcome);
        Err(failure)
    }

    /// Opens the stream at a backend server and waits until the first item has arrived.
    async fn open_with_event(
        &self,
        attempt: InFlightAttempt<D>,
    ) -> Result<StreamSource<D>, AttemptFailure> {
        let mut source = self.open(attempt).await?;
        source.ready().await;
        if source.is_broken() {
            source.abandon(AttemptOutcome::Broken);
            return Err(AttemptFailure::unknown(
                AttemptOutcome::Broken,
                "the stream broke off before its first event",
            ));
        }
        if source.received_event().is_some_and(|event| !self.position.is_continued_by(event)) {
            source.abandon(AttemptOutcome::Failed);
            return Err(AttemptFailure::unknown(AttemptOutcome::Failed, MISPLACED));
        }
        Ok(source)
    }

    fn log_resumed(&mut self, source: &StreamSource<D>) {
        self.begin_part(source);
        log::info!(
            "event=stream-resumed id={} server={} software={} after={}",
            self.request.id,
            source.server(),
            source.software_version(),
            self.position.last().unwrap_or(0)
        );
    }
}

/// Waits until an item of a source has arrived and takes the source; waits for ever without one.
async fn wait_ready<D: Dialect>(source: &mut Option<StreamSource<D>>) -> StreamSource<D> {
    if let Some(waiting) = source {
        waiting.ready().await;
    }
    match source.take() {
        Some(ready) => ready,
        None => std::future::pending().await,
    }
}
