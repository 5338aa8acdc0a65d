//! Calls to the backend server.

use std::time::Duration;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Fault;
use filbertcleat_base::FencingToken;
use filbertcleat_base::Step;
use filbertcleat_platform::CallError;
use filbertcleat_platform::CompletionRequest;
use filbertcleat_platform::EngineClient;
use filbertcleat_platform::EngineEvent;
use filbertcleat_platform::EngineStream;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpRequest;
use filbertcleat_policy::AttemptEventKind;
use filbertcleat_policy::Priority;
use filbertcleat_policy::RefuseReason;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::attempt_request::Target;
use http::Method;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::AgentEvent;
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;

/// One call of the backend server on behalf of an attempt.
#[derive(Debug)]
pub(super) struct BackendCall {
    pub attempt: AttemptId,
    /// The completion or service call to make; `run` takes it.
    pub target: Option<Target>,
    pub priority: Priority,
    pub fence: Option<FencingToken>,
    pub engine: EngineClient,
    pub client: HttpClient,
    pub url: String,
    /// The engine's epoch at the start of the call, if known.
    pub engine_epoch: Option<u64>,
    /// The longest time without an event from the backend server.
    pub idle_timeout: Duration,
    pub loop_sender: LoopSender,
    pub config_version: filbertcleat_base::ConfigVersion,
}

impl BackendCall {
    /// How long the engine keeps a call after its stream broke, for an entry to resume it.
    const RESUME_WINDOW: Duration = Duration::from_secs(2);
    /// The delay before a failed cancellation is sent to the engine again.
    const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(300);

    /// Makes the call and sends its events to the event loop.
    ///
    /// A completion ends only when the engine has finished or cancelled it, or can't be reached.
    pub async fn run(mut self, cancelled: oneshot::Receiver<()>) {
        let kind = match self.target.take() {
            Some(Target::Completion(call)) => self.call_completion(&call, cancelled).await,
            Some(Target::Service(call)) => self.call_service(call, cancelled).await,
            None => self.refusal(RefuseReason::WrongService),
        };
        let attempt = self.attempt.clone();
        self.send_event(AgentEvent::CallEnded { attempt, kind });
    }

    async fn call_completion(
        &self,
        call: &v1::CompletionCall,
        mut cancelled: oneshot::Receiver<()>,
    ) -> AttemptEventKind {
        let adapter = AdapterRef::new(
            call.adapter.as_str().into(),
            filbertcleat_base::AdapterVersion::new(call.version),
        );
        let resume_of = (!call.resume_of.is_empty()).then_some(call.resume_of.as_str());
        let completion = CompletionRequest {
            id: self.attempt.as_str(),
            adapter: &adapter,
            chat: call.chat,
            body: &call.body,
            priority: self.priority.number(),
            fence: self.fence,
            resume_of,
            resume_offset: call.resume_offset,
        };
        let opened = tokio::select! {
            opened = timeout(self.idle_timeout, self.engine.complete(&completion)) => opened,
            _ = &mut cancelled => return self.cancel_at_engine(self.cancelled_fault()).await,
        };
        let mut stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if !error.sent => return self.refusal(RefuseReason::BackendDown),
            Ok(Err(error)) => return self.cancel_at_engine(error.fault).await,
            Err(_elapsed) => {
                return self
                    .cancel_at_engine(self.fault("backend server did not answer in time"))
                    .await;
            }
        };

        let mut tokens = call.resume_offset;
        loop {
            let next = tokio::select! {
                next = timeout(self.idle_timeout, stream.next()) => next,
                _ = &mut cancelled => return self.cancel_at_engine(self.cancelled_fault()).await,
            };
            match next {
                Ok(Ok(EngineEvent::Chunk { text, finish_reason })) => {
                    if !text.is_empty() {
                        tokens += 1;
                        let attempt = self.attempt.clone();
                        self.send_event(AgentEvent::Chunk { attempt, text });
                    }
                    if let Some(finish_reason) = finish_reason {
                        return self.read_terminator(&mut stream, finish_reason, tokens).await;
                    }
                }
                Ok(Ok(EngineEvent::Done)) => {
                    return self
                        .cancel_at_engine(self.fault("stream ended without a finish reason"))
                        .await;
                }
                Ok(Err(error)) => return self.end_broken_stream(error).await,
                Err(_elapsed) => {
                    return self
                        .cancel_at_engine(self.fault("no stream event within the idle timeout"))
                        .await;
                }
            }
        }
    }

    /// Reads the stream terminator that follows the last chunk.
    async fn read_terminator(
        &self,
        stream: &mut EngineStream,
        finish_reason: String,
        tokens: u64,
    ) -> AttemptEventKind {
        match timeout(self.idle_timeout, stream.next()).await {
            Ok(Ok(EngineEvent::Done)) => AttemptEventKind::Done { finish_reason, tokens },
            Ok(Ok(EngineEvent::Chunk { .. })) => {
                self.cancel_at_engine(self.fault("stream continues after its finish reason")).await
            }
            Ok(Err(error)) => self.end_broken_stream(error).await,
            Err(_elapsed) => {
                self.cancel_at_engine(self.fault("no stream terminator within the idle timeout"))
                    .await
            }
        }
    }

    /// Ends a call whose stream broke, after the window in which an entry can resume it.
    async fn end_broken_stream(&self, error: CallError) -> AttemptEventKind {
        // An engine that has restarted since the start of the call no longer knows the call.
        let listing = self.engine.adapters().await;
        let resumable = listing.is_ok_and(|listing| Some(listing.epoch) == self.engine_epoch);
        let attempt = self.attempt.clone();
        let fault = error.fault.clone();
        self.send_event(AgentEvent::StreamBroken { attempt, fault, resumable });
        if resumable {
            tokio::time::sleep(Self::RESUME_WINDOW).await;
        }
        self.cancel_at_engine(error.fault).await
    }

    /// Cancels the call at the engine, retrying until the engine confirms or can't be reached.
    async fn cancel_at_engine(&self, fault: Fault) -> AttemptEventKind {
        loop {
            match self.engine.cancel(self.attempt.as_str()).await {
                Ok(()) => break,
                // Nothing listens at the engine's address, so the call has ended with the engine.
                Err(error) if !error.sent => break,
                Err(_) => tokio::time::sleep(Self::CANCEL_RETRY_DELAY).await,
            }
        }
        AttemptEventKind::Broken { fault, resumable: false }
    }

    async fn call_service(
        &self,
        call: v1::ServiceCall,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptEventKind {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return self.refusal(RefuseReason::WrongService);
        };
        let url = format!("{}{}", self.url.trim_end_matches('/'), call.path);
        let mut http = HttpRequest::new(Step::Call, method, url)
            .with_header("x-request-id", self.attempt.as_str())
            .with_idle_timeout(self.idle_timeout)
            .with_body(call.body);
        if !call.content_type.is_empty() {
            http = http.with_header("content-type", &call.content_type);
        }

        let response = tokio::select! {
            response = self.client.send(http) => response,
            _ = cancelled => {
                return AttemptEventKind::Broken { fault: self.cancelled_fault(), resumable: false };
            }
        };
        match response {
            Ok(response) => {
                let content_type = response.headers.get("content-type");
                let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
                AttemptEventKind::Answer {
                    status: response.status.as_u16(),
                    content_type: content_type.to_owned(),
                    body: response.body.to_vec(),
                }
            }
            Err(error) if !error.sent => self.refusal(RefuseReason::BackendDown),
            Err(error) => AttemptEventKind::Broken { fault: error.fault, resumable: false },
        }
    }

    fn refusal(&self, reason: RefuseReason) -> AttemptEventKind {
        AttemptEventKind::Refused {
            reason,
            retry_after_ms: 1000,
            config_version: self.config_version,
        }
    }

    fn cancelled_fault(&self) -> Fault {
        self.fault("call was cancelled")
    }

    fn fault(&self, reason: &str) -> Fault {
        Fault::new(Step::Stream, &self.url, reason)
    }

    fn send_event(&self, event: AgentEvent) {
        send_to_loop(&self.loop_sender, LoopEvent::Agent(event));
    }
}
