//! Attempts received from entries.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::RequestId;
use filbertcleat_policy::AttemptRequest;
use filbertcleat_policy::Target;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::attempt_request;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// An attempt received from an entry.
#[derive(Debug)]
pub(super) struct ReceivedAttempt {
    pub request: Box<v1::AttemptRequest>,
    /// The event stream back to the entry.
    pub events: mpsc::UnboundedSender<v1::AttemptEvent>,
    /// Cancels the call of the backend server; `None` before the call and after a cancellation.
    pub cancel: Option<oneshot::Sender<()>>,
}

impl ReceivedAttempt {
    pub fn request_id(&self) -> RequestId {
        RequestId::new(&self.request.request)
    }

    /// Parses the request, which arrived at `now`; returns `None` if it is malformed.
    pub fn parse(&self, now: MonoTime) -> Option<AttemptRequest> {
        let request = &self.request;
        let (target, is_resume) = match request.target.as_ref()? {
            attempt_request::Target::Completion(call) => {
                let adapter: AdapterRef =
                    format!("{}@{}", call.adapter, call.version).parse().ok()?;
                (Target::Adapter(adapter), !call.resume_of.is_empty())
            }
            attempt_request::Target::Service(_) => (Target::Plain, false),
        };
        let class: Class = request.class.parse().ok()?;
        let left_ms = request.deadline_left_ms;
        Some(AttemptRequest {
            attempt: AttemptId::new(&request.attempt),
            service: request.service_name.as_str().into(),
            target,
            class,
            deadline: (left_ms > 0).then(|| now.plus_ms(left_ms)),
            config_version: ConfigVersion::new(request.config_version),
            arrived_at: now,
            demand_per_1000s: request.demand,
            is_resume,
        })
    }
}
