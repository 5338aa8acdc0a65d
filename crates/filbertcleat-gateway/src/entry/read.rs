//! Reading a caller's request.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::RequestDemand;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

use super::caller::CallerRequest;
use super::refusal::BACK_LATER;
use super::refusal::BACK_SOON;
use super::refusal::Refusal;
use super::state::Entry;
use crate::Dialect;
use crate::RequestMetadata;

/// The time of a caller that names none.
const DEADLINE_UNTOLD_MS: u64 = 30_000;
/// When to come back to another entry: at once, but for the way.
const BACK_ELSEWHERE: Duration = Duration::from_millis(20);

/// Reads a request and finds its route.
pub(super) async fn read<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: Request<Incoming>,
    facts: RequestMetadata,
) -> Result<CallerRequest, Refusal> {
    let arrived = entry.now();
    let (head, body) = request.into_parts();
    if entry.is_out() {
        // A request that begins now might not end before the process has to.
        return Err(Refusal::NotRun("the entry is leaving", BACK_ELSEWHERE));
    }
    let deployment = entry.state.borrow().deployment.clone();
    let deployment = deployment.ok_or(Refusal::NotRun("no configuration yet", BACK_LATER))?;

    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route = deployment.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    let id = facts.id.clone().ok_or(Refusal::Bad("the request has no id"))?;
    let service = route.choose_service(&id).ok_or(Refusal::NoRoute)?.clone();
    let is_engine =
        deployment.services.get(&service).is_some_and(|service| service.engine.is_some());
    let wait_ms = facts.deadline_ms.unwrap_or(DEADLINE_UNTOLD_MS).min(route.timeout_ms);
    let deadline = arrived.plus_ms(wait_ms);

    let limited = Limited::new(body, deployment.limits.body_max_bytes);
    let body = tokio::time::timeout(Duration::from_millis(wait_ms), limited.collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Refusal::TooLarge),
        Ok(Err(_broken)) => return Err(Refusal::Bad("the body broke off")),
        Err(_elapsed) => return Err(Refusal::NotRun("the body did not arrive", BACK_SOON)),
    };
    let demand = RequestDemand {
        service: service.clone(),
        model: facts.model.clone(),
        adapter: facts.adapter.clone(),
        min_version: 0,
        prompt_tokens: facts.prompt_tokens,
        answer_tokens_max: facts.max_tokens,
        gap_objective_ms: route.gap_objective_ms,
        priority: route.priority,
    };
    Ok(CallerRequest {
        id,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        facts,
        route: route.clone(),
        service,
        is_engine,
        demand,
        arrived,
        deadline,
        queued_ms: 0,
        first_ms: None,
        gap_ms: 0,
        sends: 0,
        avoided: Vec::new(),
    })
}
