//! Reads a caller's request and finds its route.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::ServiceName;
use filbertcleat_base::stable_hash_bytes;
use filbertcleat_base::stable_hash_pieces;
use filbertcleat_serve::BodySource;
use filbertcleat_serve::CrashSuspect;
use filbertcleat_serve::NoRoom;
use filbertcleat_serve::PromptPrefix;
use filbertcleat_serve::RequestContent;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::Route;
use filbertcleat_serve::Workspace;
use filbertcleat_serve::Workspaces;
use filbertcleat_serve::entry_priority;
use http::HeaderValue;
use http::Request;
use http::header;
use http::request::Parts;
use http::uri::PathAndQuery;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use super::body_rooms::BodyRoom;
use super::connection::ActiveRequest;
use super::refusal::EXITING;
use super::refusal::RETRY_AFTER_FULL;
use super::refusal::RETRY_AFTER_OTHER_ENTRY;
use super::refusal::RETRY_AFTER_UNAVAILABLE;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::request_body::RequestBody;
use super::state::Entry;
use crate::ApiKey;
use crate::AttemptCaller;
use crate::Dialect;
use crate::RequestMetadata;

/// The deadline of a request that carries none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// How long a refusal waits for the rest of the body: some network round trips, so that a body that
/// follows its head keeps its connection.
const REFUSED_BODY_WAIT: Duration = Duration::from_millis(250);

/// The receive buffer of a connection is widened for the rest of a body once this much has arrived,
/// and is tried again after as much if there was no memory for that.
const WIDEN_BYTES: u64 = 64 * 1024;
/// The refusal of a request whose body finds no memory.
const NO_MEMORY: Refusal = Refusal::NotRun("no memory is left for the body", RETRY_AFTER_FULL);
/// The refusal of a request whose body had to give up its memory.
const BODY_BEHIND: Refusal =
    Refusal::NotRun("the body arrived too slowly while memory was short", RETRY_AFTER_FULL);

/// The most tokens of a prompt or a response, if the engines' memory is not known: more than any
/// model reads. With the memory known, a request of more does not fit into any engine, and counts as
/// one that does not.
const TOKENS_MAX: u64 = 4 * 1024 * 1024;
/// The most parts of a prompt that are looked at: several times what prompts share.
const PROMPT_PARTS_MAX: usize = 16;

/// A request that the entry refused before forwarding it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedRequest {
    /// Why the request was refused.
    pub refusal: Refusal,
    /// Whether the request has been read to its end, so that its connection can be kept.
    pub is_read: bool,
}

/// Reads the body of a request and finds its route and service.
///
/// Returns a refusal if the entry is shutting down or the request can't be routed or read.
pub(super) async fn read_request<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: Request<Incoming>,
    metadata: RequestMetadata,
    active: &ActiveRequest,
) -> Result<CallerRequest, RefusedRequest> {
    let arrived_at = entry.now();
    let (head, body) = request.into_parts();
    let routed = match route_request(entry, &head, &metadata) {
        Ok(routed) => routed,
        Err(refusal) => {
            let is_read = discard_body(entry, &head, body).await;
            return Err(RefusedRequest { refusal, is_read });
        }
    };
    let RoutedRequest { id, route, service, uses_engine, tokens_max, identity } = routed;
    let Identity { caller, workspace } = identity;
    let wait_ms = metadata.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
    let deadline = arrived_at.plus_ms(wait_ms);
    let source = BodySource {
        workspace: workspace.as_ref().map(|workspace| workspace.name.clone()),
        largest_bytes: entry.caller_limits().body_max_bytes as u64,
        wait_ms,
    };
    let body = match read_body(entry, body, source, active).await {
        Ok(body) => body,
        Err(refusal) => return Err(RefusedRequest { refusal, is_read: false }),
    };
    let content = request_content(&head, &body, workspace.as_deref());
    let parts = metadata.prompt_parts.iter().copied().take(PROMPT_PARTS_MAX);
    let parts = parts.map(CrashSuspect::Part);
    let demand = RequestDemand {
        route: route.name.as_str().into(),
        service: service.clone(),
        model: metadata.model.clone(),
        adapter: metadata.adapter.clone(),
        min_version: 0,
        software_version: None,
        last_choices: Vec::new(),
        crash_suspects: [CrashSuspect::Content(content)].into_iter().chain(parts).collect(),
        prefixes: prompt_prefixes(&metadata),
        prompt_tokens: metadata.prompt_tokens.min(tokens_max),
        output_tokens_max: metadata.max_tokens.min(tokens_max),
        latency_objective_ms: route.latency_objective_ms,
        gap_objective_ms: route.gap_objective_ms,
        priority: entry_priority(workspace.as_deref(), route.priority),
        workspace: workspace.as_ref().map(|workspace| workspace.name.clone()),
    };
    Ok(CallerRequest {
        id,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        metadata,
        route,
        service,
        caller,
        workspace,
        charge: None,
        uses_engine,
        demand,
        has_origin: false,
        arrived_at,
        deadline,
        queued_ms: 0,
        first_byte_ms: None,
        longest_gap_ms: 0,
        attempts: 0,
        may_have_run: false,
        avoided: Vec::new(),
    })
}

/// Returns the beginnings of the prompt that other requests may share.
fn prompt_prefixes(metadata: &RequestMetadata) -> Rc<[PromptPrefix]> {
    let parts = metadata.prompt_parts.iter().copied().zip(metadata.part_tokens.iter().copied());
    let prefixes = PromptPrefix::all(
        metadata.model.as_ref(),
        metadata.adapter.as_ref(),
        parts.take(PROMPT_PARTS_MAX),
    );
    prefixes.filter(|prefix| prefix.tokens <= metadata.prompt_tokens).collect()
}

/// Returns the content of a request. Of its headers only those count that name the caller, since
/// others differ between the times at which a request comes. The API key does not count, as a
/// workspace may use several.
fn request_content(
    head: &Parts,
    body: &RequestBody,
    workspace: Option<&Workspace>,
) -> RequestContent {
    let header = |name| head.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
    let target = head.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let mut field_hashes = vec![
        stable_hash_bytes(head.method.as_str().as_bytes()),
        stable_hash_bytes(header(header::HOST)),
        stable_hash_bytes(header(header::AUTHORIZATION)),
        stable_hash_bytes(target.as_bytes()),
        stable_hash_pieces(body.pieces()),
    ];
    let workspace = workspace.map(|workspace| workspace.name.as_str().as_bytes());
    field_hashes.extend(workspace.map(stable_hash_bytes));
    RequestContent::of(&field_hashes)
}

/// A request whose head has been matched to a route.
struct RoutedRequest {
    id: String,
    route: Route,
    service: ServiceName,
    uses_engine: bool,
    /// The most tokens that a prompt or its response may have.
    tokens_max: u64,
    identity: Identity,
}

/// Who sent a request.
struct Identity {
    caller: AttemptCaller,
    workspace: Option<Rc<Workspace>>,
}

fn route_request<D: Dialect>(
    entry: &Entry<D>,
    head: &Parts,
    metadata: &RequestMetadata,
) -> Result<RoutedRequest, Refusal> {
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
    let identity = identify(entry, deployment.workspaces.as_ref(), route, metadata.api_key)?;
    let id = metadata.id.clone().ok_or(Refusal::BadRequest("the request has no id"))?;
    // A stream goes on at the service that began it.
    let is_resumable = route.retry_policy.is_resumable();
    let resumed = metadata.resumed_request.as_ref();
    let begun_by = resumed.filter(|_| is_resumable && metadata.last_event_id.is_some());
    let service = route.choose_service(begun_by.unwrap_or(&id)).ok_or(Refusal::NoRoute)?.clone();
    let engine = deployment.services.get(&service).and_then(|service| service.engine.as_ref());
    let memory_tokens = engine.map(|engine| engine.memory_tokens).filter(|tokens| *tokens > 0);
    Ok(RoutedRequest {
        id,
        route: route.clone(),
        service,
        uses_engine: engine.is_some(),
        tokens_max: memory_tokens.map_or(TOKENS_MAX, |tokens| tokens.saturating_add(1)),
        identity,
    })
}

/// Finds the workspace that holds a request's API key.
fn identify<D: Dialect>(
    entry: &Entry<D>,
    workspaces: Option<&Workspaces>,
    route: &Route,
    api_key: ApiKey,
) -> Result<Identity, Refusal> {
    let Some(workspaces) = workspaces else {
        return Ok(Identity { caller: AttemptCaller::Unchecked, workspace: None });
    };
    if route.is_public {
        return Ok(Identity { caller: AttemptCaller::Anonymous, workspace: None });
    }
    let key = match api_key {
        ApiKey::Given(key) => key,
        ApiKey::Missing => return Err(Refusal::Unauthorized("the request has no API key")),
        ApiKey::Several => return Err(Refusal::Unauthorized("the request has several API keys")),
    };
    let Some(workspace) = workspaces.by_key(key) else {
        return Err(if entry.may_lack_configuration() {
            Refusal::NotRun("the API key is not known yet", RETRY_AFTER_UNAVAILABLE)
        } else {
            Refusal::Unauthorized("the API key is unknown")
        });
    };
    Ok(Identity {
        caller: AttemptCaller::Workspace(workspace.name.clone()),
        workspace: Some(Rc::clone(workspace)),
    })
}

async fn read_body<D: Dialect>(
    entry: &Entry<D>,
    body: Incoming,
    source: BodySource,
    active: &ActiveRequest,
) -> Result<RequestBody, Refusal> {
    // A refusal before the first read also tells a caller that waits for an interim response.
    if body.size_hint().lower() > source.largest_bytes {
        return Err(Refusal::BodyTooLarge);
    }
    let wait = Duration::from_millis(source.wait_ms);
    let max_bytes = source.largest_bytes;
    let room = entry.body_rooms.open(source).map_err(|NoRoom| NO_MEMORY)?;
    active.activity().set_arriving_body(Some(room.id()));
    let read = tokio::select! {
        biased;
        read = tokio::time::timeout(wait, collect_body(&room, body, max_bytes, active)) => read,
        () = room.evicted() => Ok(Err(BODY_BEHIND)),
        () = entry.answers_due() => Ok(Err(EXITING)),
    };
    active.activity().set_arriving_body(None);
    read.unwrap_or(Err(Refusal::NotRun("the body did not arrive", RETRY_AFTER_FULL)))?;
    Ok(RequestBody::new(room))
}

async fn collect_body(
    room: &BodyRoom,
    mut body: Incoming,
    max_bytes: u64,
    active: &ActiveRequest,
) -> Result<(), Refusal> {
    let (mut wide_buffer, mut widen_from_bytes) = (None, WIDEN_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| Refusal::BadRequest("the body broke off"))?;
        let Some(data) = frame.data_ref() else { continue };
        if room.length_bytes() + data.len() as u64 > max_bytes {
            return Err(Refusal::BodyTooLarge);
        }
        room.push(data, body.size_hint().exact()).map_err(|NoRoom| NO_MEMORY)?;
        if wide_buffer.is_none() && room.length_bytes() >= widen_from_bytes {
            wide_buffer = active.receive_buffer().widen_for(room);
            widen_from_bytes += WIDEN_BYTES;
        }
    }
    Ok(())
}

/// Reads and drops the body of a refused request, and returns whether it has ended.
///
/// Otherwise its connection has to be closed, as the rest of the body precedes the next request.
async fn discard_body<D: Dialect>(entry: &Entry<D>, head: &Parts, mut body: Incoming) -> bool {
    if head.headers.contains_key(header::EXPECT) {
        // The caller sends the body only if the entry asks for it.
        return body.is_end_stream();
    }
    let mut bytes_left = entry.caller_limits().body_max_bytes;
    let discard = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            let length = frame.data_ref().map_or(0, Bytes::len);
            match bytes_left.checked_sub(length) {
                Some(left) => bytes_left = left,
                None => return false,
            }
        }
        true
    };
    tokio::time::timeout(REFUSED_BODY_WAIT, discard).await.unwrap_or(false)
}
