//! What a caller asks for, in the terms of the configuration and of agents.

use filbertcleat_config::ServiceKind;
use filbertcleat_policy::OutboundAttempt;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::attempt_request;

use super::Caller;
use super::Resolved;
use super::Work;
use crate::node::Node;

/// Returns the service and adapter that a caller asks for, or why there is none.
pub(super) fn resolve(node: &Node, caller: &Caller) -> Result<Resolved, String> {
    let configuration = node.config.current();
    let config_version = configuration.version;
    let arrived = node.now();
    match &caller.work {
        Work::Completion { model, .. } => {
            let resolved = configuration.resolve(model, &caller.request);
            let (adapter, service) = resolved.map_err(|error| error.to_string())?;
            let service = service.clone();
            Ok(Resolved { service, adapter: Some(adapter), config_version, arrived })
        }
        Work::Service { service, .. } => {
            match configuration.services.get_key_value(service.as_str()) {
                Some((name, entry)) if entry.kind == ServiceKind::Plain => {
                    Ok(Resolved { service: name.clone(), adapter: None, config_version, arrived })
                }
                Some(_) => Err(format!(
                    "service {service:?} has model engines: name an adapter as the model"
                )),
                None => Err(format!("service {service:?} does not exist")),
            }
        }
    }
}

/// Returns whether a request may be repeated.
pub(super) fn is_idempotent(node: &Node, caller: &Caller, resolved: &Resolved) -> bool {
    let by_service = match &caller.work {
        Work::Completion { .. } => true,
        Work::Service { method, path, .. } => {
            let entry = node.config.current().services.get(&resolved.service);
            entry.is_some_and(|entry| entry.is_retryable(method, path))
        }
    };
    by_service && !caller.non_idempotent
}

/// Returns what an agent is asked to call.
pub(super) fn target(
    caller: &Caller,
    resolved: &Resolved,
    sending: &OutboundAttempt,
) -> attempt_request::Target {
    match &caller.work {
        Work::Completion { chat, body, .. } => {
            let adapter = resolved.adapter.as_ref();
            attempt_request::Target::Completion(v1::CompletionCall {
                adapter: adapter.map(|adapter| adapter.name.to_string()).unwrap_or_default(),
                version: adapter.map_or(0, |adapter| adapter.version.value()),
                chat: *chat,
                body: body.to_vec(),
                resume_offset: sending.resume_offset,
                resume_of: sending.resume_of.as_ref().map(ToString::to_string).unwrap_or_default(),
            })
        }
        Work::Service { service, method, path, content_type, body } => {
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
