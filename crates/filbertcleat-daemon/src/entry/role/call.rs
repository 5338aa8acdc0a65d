//! Resolution of requests, and the targets that agents call for them.

use filbertcleat_config::ServiceKind;
use filbertcleat_policy::OutboundAttempt;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::attempt_request;

use super::PendingRequest;
use super::RequestPayload;
use super::ResolvedTarget;
use crate::node::Node;

/// Returns the service and adapter of a request, or the reason why there is none.
pub(super) fn resolve(node: &Node, pending: &PendingRequest) -> Result<ResolvedTarget, String> {
    let configuration = node.config.current();
    let config_version = configuration.version;
    let arrived_at = node.now();
    match &pending.payload {
        RequestPayload::Completion { model, .. } => {
            let resolved = configuration.resolve(model, &pending.request);
            let (adapter, service) = resolved.map_err(|error| error.to_string())?;
            let service = service.clone();
            Ok(ResolvedTarget { service, adapter: Some(adapter), config_version, arrived_at })
        }
        RequestPayload::Service { service, .. } => {
            match configuration.services.get_key_value(service.as_str()) {
                Some((name, entry)) if entry.kind == ServiceKind::Plain => Ok(ResolvedTarget {
                    service: name.clone(),
                    adapter: None,
                    config_version,
                    arrived_at,
                }),
                Some(_) => Err(format!(
                    "service {service:?} has model engines: name an adapter as the model"
                )),
                None => Err(format!("service {service:?} does not exist")),
            }
        }
    }
}

/// Returns whether a request may be sent again after an attempt of unknown outcome.
pub(super) fn is_idempotent(
    node: &Node,
    pending: &PendingRequest,
    resolved: &ResolvedTarget,
) -> bool {
    let allowed_by_service = match &pending.payload {
        RequestPayload::Completion { .. } => true,
        RequestPayload::Service { method, path, .. } => {
            let entry = node.config.current().services.get(&resolved.service);
            entry.is_some_and(|entry| entry.is_retryable(method, path))
        }
    };
    allowed_by_service && !pending.non_idempotent
}

/// Returns the call that an agent is to make for an attempt.
pub(super) fn target(
    pending: &PendingRequest,
    resolved: &ResolvedTarget,
    outbound: &OutboundAttempt,
) -> attempt_request::Target {
    match &pending.payload {
        RequestPayload::Completion { chat, body, .. } => {
            let adapter = resolved.adapter.as_ref();
            attempt_request::Target::Completion(v1::CompletionCall {
                adapter: adapter.map(|adapter| adapter.name.to_string()).unwrap_or_default(),
                version: adapter.map_or(0, |adapter| adapter.version.value()),
                chat: *chat,
                body: body.to_vec(),
                resume_offset: outbound.resume_offset,
                resume_of: outbound.resume_of.as_ref().map(ToString::to_string).unwrap_or_default(),
            })
        }
        RequestPayload::Service { service, method, path, content_type, body } => {
            attempt_request::Target::Service(v1::ServiceCall {
                service: service.clone(),
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
                body: body.to_vec(),
            })
        }
    }
}
