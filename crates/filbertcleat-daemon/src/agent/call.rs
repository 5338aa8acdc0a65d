//! Calls to the backend server.

use std::time::Duration;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Fault;
use filbertcleat_base::Fence;
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
use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;

/// A call of the backend server on its way.
#[derive(Debug)]
pub(super) struct Call {
    pub attempt: AttemptId,
    pub target: Option<Target>,
    pub priority: Priority,
    pub fence: Option<Fence>,
    pub engine: EngineClient,
    pub client: HttpClient,
    pub url: String,
    /// The engine's epoch when the call began.
    pub epoch: Option<u64>,
    pub silence: Duration,
    pub inputs: Inputs,
    pub config_version: filbertcleat_base::ConfigVersion,
}

impl Call {
    /// How long a stream that broke off may be resumed.
    const RESUME_WITHIN: Duration = Duration::from_secs(2);
    /// The pause before the engine is asked again to let go of a call.
    const CANCEL_PAUSE: Duration = Duration::from_millis(300);

    /// Makes the call, tells the loop each event, and ends once the backend server has let go.
    pub async fn run(mut self, cancelled: oneshot::Receiver<()>) {
        let kind = match self.target.take() {
            Some(Target::Completion(call)) => self.complete(&call, cancelled).await,
            Some(Target::Service(call)) => self.serve(call, cancelled).await,
            None => self.refused(RefuseReason::WrongService),
        };
        let attempt = self.attempt.clone();
        self.tell(AgentEvent::Ended { attempt, kind });
    }

    async fn complete(
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
            opened = timeout(self.silence, self.engine.complete(&completion)) => opened,
            _ = &mut cancelled => return self.let_go(self.cancelled_fault()).await,
        };
        let mut stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if !error.sent => return self.refused(RefuseReason::BackendDown),
            Ok(Err(error)) => return self.let_go(error.fault).await,
            Err(_elapsed) => return self.let_go(self.fault("no answer in time")).await,
        };

        let mut tokens = call.resume_offset;
        loop {
            let next = tokio::select! {
                next = timeout(self.silence, stream.next()) => next,
                _ = &mut cancelled => return self.let_go(self.cancelled_fault()).await,
            };
            match next {
                Ok(Ok(EngineEvent::Chunk { text, finish_reason })) => {
                    if !text.is_empty() {
                        tokens += 1;
                        let attempt = self.attempt.clone();
                        self.tell(AgentEvent::Chunk { attempt, text });
                    }
                    if let Some(finish_reason) = finish_reason {
                        return self.finish(&mut stream, finish_reason, tokens).await;
                    }
                }
                Ok(Ok(EngineEvent::Done)) => {
                    return self.let_go(self.fault("stream ended without a reason")).await;
                }
                Ok(Err(error)) => return self.broken(error).await,
                Err(_elapsed) => return self.let_go(self.fault("stream went silent")).await,
            }
        }
    }

    /// Waits for the terminator after the last chunk.
    async fn finish(
        &self,
        stream: &mut EngineStream,
        finish_reason: String,
        tokens: u64,
    ) -> AttemptEventKind {
        match timeout(self.silence, stream.next()).await {
            Ok(Ok(EngineEvent::Done)) => AttemptEventKind::Done { finish_reason, tokens },
            Ok(Ok(EngineEvent::Chunk { .. })) => {
                self.let_go(self.fault("stream goes on after its last piece")).await
            }
            Ok(Err(error)) => self.broken(error).await,
            Err(_elapsed) => self.let_go(self.fault("terminator did not come")).await,
        }
    }

    /// Ends a call whose stream broke off, after the time in which it can be resumed.
    async fn broken(&self, error: CallError) -> AttemptEventKind {
        // An engine that has restarted since knows nothing of the call.
        let listing = self.engine.adapters().await;
        let resumable = listing.is_ok_and(|listing| Some(listing.epoch) == self.epoch);
        let attempt = self.attempt.clone();
        let fault = error.fault.clone();
        self.tell(AgentEvent::Broken { attempt, fault, resumable });
        if resumable {
            tokio::time::sleep(Self::RESUME_WITHIN).await;
        }
        self.let_go(error.fault).await
    }

    /// Cancels the call at the engine until the engine says that it has, or is gone.
    async fn let_go(&self, fault: Fault) -> AttemptEventKind {
        loop {
            match self.engine.cancel(self.attempt.as_str()).await {
                Ok(()) => break,
                // The engine is not there, and neither is the call.
                Err(error) if !error.sent => break,
                Err(_) => tokio::time::sleep(Self::CANCEL_PAUSE).await,
            }
        }
        AttemptEventKind::Broken { fault, resumable: false }
    }

    async fn serve(
        &self,
        call: v1::ServiceCall,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptEventKind {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return self.refused(RefuseReason::WrongService);
        };
        let url = format!("{}{}", self.url.trim_end_matches('/'), call.path);
        let mut http = HttpRequest::new(Step::Call, method, url)
            .with_header("x-request-id", self.attempt.as_str())
            .with_timeout(self.silence)
            .with_body(call.body);
        if !call.content_type.is_empty() {
            http = http.with_header("content-type", &call.content_type);
        }

        let answer = tokio::select! {
            answer = self.client.send(http) => answer,
            _ = cancelled => {
                return AttemptEventKind::Broken { fault: self.cancelled_fault(), resumable: false };
            }
        };
        match answer {
            Ok(answer) => {
                let content_type = answer.headers.get("content-type");
                let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
                AttemptEventKind::Answer {
                    status: answer.status.as_u16(),
                    content_type: content_type.to_owned(),
                    body: answer.body.to_vec(),
                }
            }
            Err(error) if !error.sent => self.refused(RefuseReason::BackendDown),
            Err(error) => AttemptEventKind::Broken { fault: error.fault, resumable: false },
        }
    }

    fn refused(&self, reason: RefuseReason) -> AttemptEventKind {
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

    fn tell(&self, event: AgentEvent) {
        tell(&self.inputs, Input::Agent(event));
    }
}
