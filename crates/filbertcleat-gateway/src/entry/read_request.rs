//! Reads a caller's request and finds its route.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::RequestDemand;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

use super::refusal::RETRY_AFTER_FULL;
use super::refusal::RETRY_AFTER_UNAVAILABLE;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::state::Entry;
use crate::Dialect;
use crate::RequestMetadata;

/// The deadline of a request that carries none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// `Retry-After` for a request that another entry can take at once: about the network latency.
const RETRY_AFTER_OTHER_ENTRY: Duration = Duration::from_millis(20);

/// Reads the body of a request and finds its route and service.
///
/// Returns a refusal if the entry is shutting down or the request can't be routed or read.
pub(super) async fn read_request<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: Request<Incoming>,
    metadata: RequestMetadata,
) -> Result<CallerRequest, Refusal> {
    let arrived_at = entry.now();
    let (head, body) = request.into_parts();
    if entry.is_out_of_rotation() {
        // A request that starts now might not finish before the process has to exit.
        return Err(Refusal::NotRun("the entry is leaving", RETRY_AFTER_OTHER_ENTRY));
    }
    let deployment = entry.state.borrow().deployment.get().cloned();
    let deployment =
        deployment.ok_or(Refusal::NotRun("no configuration yet", RETRY_AFTER_UNAVAILABLE))?;

    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route = deployment.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    let id = metadata.id.clone().ok_or(Refusal::BadRequest("the request has no id"))?;
    let service = route.choose_service(&id).ok_or(Refusal::NoRoute)?.clone();
    let uses_engine =
        deployment.services.get(&service).is_some_and(|service| service.engine.is_some());
    let wait_ms = metadata.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
    let deadline = arrived_at.plus_ms(wait_ms);

    let limited = Limited::new(body, deployment.limits.body_max_bytes);
    let body = tokio::time::timeout(Duration::from_millis(wait_ms), limited.collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Refusal::BodyTooLarge),
        Ok(Err(_broken)) => return Err(Refusal::BadRequest("the body broke off")),
        Err(_elapsed) => return Err(Refusal::NotRun("the body did not arrive", RETRY_AFTER_FULL)),
    };
    let demand = RequestDemand {
        service: service.clone(),
        model: metadata.model.clone(),
        adapter: metadata.adapter.clone(),
        min_version: 0,
        prompt_tokens: metadata.prompt_tokens,
        output_tokens_max: metadata.max_tokens,
        latency_objective_ms: route.latency_objective_ms,
        gap_objective_ms: route.gap_objective_ms,
        priority: route.priority,
    };
    Ok(CallerRequest {
        id,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        metadata,
        route: route.clone(),
        service,
        uses_engine,
        demand,
        arrived_at,
        deadline,
        queued_ms: 0,
        first_byte_ms: None,
        longest_gap_ms: 0,
        attempts: 0,
        avoided: Vec::new(),
    })
}
