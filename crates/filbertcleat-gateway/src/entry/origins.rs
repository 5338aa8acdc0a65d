//! Finds and spreads the services and software versions that began streams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::KeptOrigins;
use filbertcleat_serve::KeptRoutes;
use filbertcleat_serve::OriginVerdict;
use filbertcleat_serve::RequestHash;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::StreamOrigin;
use filbertcleat_serve::StreamOrigins;
use filbertcleat_serve::origin_holders;
use tokio::time::Instant;

use super::agent_replies::AgentReplies;
use super::holders::peer_addresses;
use super::kept_origins::observe_versions;
use super::kept_origins::want_read;
use super::open_query::OpenQuery;
use super::origin_question::OriginQuestion;
use super::refusal::RETRY_AFTER_UNAVAILABLE;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;
use crate::peer_socket::PeerUpdate;

/// How long a request waits for the agents alone: two questions, since a datagram may be lost.
const REPLY_WAIT: Duration = Duration::from_millis(120);
/// How long a request waits for late agents at most if nothing else tells the origin.
const LATE_REPLY_WAIT_MAX: Duration = Duration::from_millis(500);
/// How long a request waits for the rows of the catalogue at most: a list takes some 10 ms, and a
/// refused caller soon comes again.
const READ_WAIT_MAX: Duration = Duration::from_millis(500);
/// How long a request waits for the list of backend servers, or for the configuration, at most: the
/// call that is open has to end before the next begins. Callers wait two seconds or more.
const LIST_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// The origins that the entry knows, and its open questions for others.
#[derive(Debug)]
pub(super) struct OriginState {
    known: StreamOrigins,
    pub queries: HashMap<RequestHash, OpenQuery>,
    pub kept: KeptOrigins,
    pub routes: KeptRoutes,
}

impl OriginState {
    /// Creates the state of an entry that knows no origin.
    pub fn new(node: NodeName, routes: KeptRoutes) -> Self {
        let (known, queries) = (StreamOrigins::default(), HashMap::new());
        Self { known, queries, kept: KeptOrigins::new(node), routes }
    }
}

/// How the origin of a stream was found.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Lookup {
    /// The entry has recorded it.
    Known(StreamOrigin),
    /// An agent that was asked knows it.
    Asked(StreamOrigin),
    /// A row of the catalogue names it.
    Kept(ServiceName, SoftwareVersion),
    /// Only this version served in the last minute.
    Single(SoftwareVersion),
    Unknown,
}

impl Lookup {
    /// Returns the service that began the stream, if that is known.
    fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Known(origin) | Self::Asked(origin) => origin.service.as_ref(),
            Self::Kept(service, _) => Some(service),
            Self::Single(_) | Self::Unknown => None,
        }
    }

    /// Returns the software version at which the stream may go on.
    fn software_version(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Known(origin) | Self::Asked(origin) => Some(&origin.software_version),
            Self::Kept(_, version) | Self::Single(version) => Some(version),
            Self::Unknown => None,
        }
    }

    /// Returns how the origin was found, for logs and metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Known(_) => "known",
            Self::Asked(_) => "asked",
            Self::Kept(..) => "kept",
            Self::Single(_) => "single",
            Self::Unknown => "unknown",
        }
    }
}

/// Records the origin of a stream and tells it to the agents that hold it.
pub(super) fn record_origin<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
    software_version: &SoftwareVersion,
) {
    let now = entry.now();
    let id = request.metadata.resumed_request.as_ref().unwrap_or(&request.id);
    let origin = StreamOrigin {
        request: RequestHash::of(id),
        service: Some(request.service.clone()),
        software_version: software_version.clone(),
    };
    let state = &mut *entry.state.borrow_mut();
    for holder in holders(&state.fleet, origin.request, entry.settings.peer_port) {
        entry.peers.send(holder, &PeerUpdate::Origin(origin.clone()));
    }
    state.origins.kept.on_begun(now, &request.service, &origin);
    state.origins.known.record(now, origin);
    entry.origins_changed.notify_one();
}

/// Limits a request that takes up a stream to the service and software version that began the
/// stream.
///
/// Returns a refusal if the version is unknown, unless only one has served in the last minute,
/// because the parts that two versions write do not fit together. The same holds for a service that
/// is unknown after the route has led elsewhere, or as several share the route and the caller names
/// no request, and for one to which the route does not lead any more.
pub(super) async fn restrict_software<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<(), Refusal> {
    if !request.route.retry_policy.is_resumable() || request.metadata.last_event_id.is_none() {
        return Ok(());
    }
    let resumed = request.metadata.resumed_request.as_deref().map(RequestHash::of);
    let (lookup, agents) = match resumed {
        Some(resumed) => find_origin(entry, request, resumed).await,
        None if request.route.only_service().is_some() => {
            (find_kept_origin(entry, request, None).await, AgentReplies::default())
        }
        // Which service of the route began the stream depends on the id that is not named.
        None => (Lookup::Unknown, AgentReplies::default()),
    };
    let is_service_unknown = match &lookup {
        Lookup::Single(_) => !is_service_only(entry, request).await,
        // An older build tells the version alone.
        lookup => lookup.service().is_none() && may_have_moved(entry, request),
    };
    let lookup = if is_service_unknown { Lookup::Unknown } else { lookup };
    let (service, version) = (lookup.service(), lookup.software_version());
    let has_moved = service.is_some_and(|service| !request.route.leads_to(service));
    let outcome = if has_moved { "moved" } else { lookup.as_str() };
    let (list_age_ms, versions) = {
        let (now, kept) = (entry.now(), &entry.state.borrow().origins.kept);
        (kept.list_age_ms(now), kept.version_count(now, &request.service))
    };
    log::info!(
        "event=stream-origin id={} resumes={} outcome={outcome} service={} software={} agents={} replied={} \
         list_age_ms={} versions={versions}",
        request.id,
        request.metadata.resumed_request.as_deref().unwrap_or("-"),
        service.map_or("-", ServiceName::as_str),
        version.map_or("-", SoftwareVersion::as_str),
        agents.asked,
        agents.replied,
        list_age_ms.map_or("-".to_owned(), |age_ms| age_ms.to_string()),
    );
    entry.metrics.count(Metric::OriginLookups, &[("outcome", outcome)]);
    request.has_origin = !matches!(lookup, Lookup::Single(_) | Lookup::Unknown);
    request.demand.software_version = version.cloned();
    if has_moved {
        let reason = "the route has moved from the service that began the stream";
        return Err(Refusal::NotRun(reason, RETRY_AFTER_UNAVAILABLE));
    }
    if let Some(service) = service {
        keep_service(entry, request, service);
    }
    if version.is_none() {
        let reason = "the software version that began the stream is unknown";
        return Err(Refusal::NotRun(reason, RETRY_AFTER_UNAVAILABLE));
    }
    Ok(())
}

/// Returns whether the stream that a request takes up can have begun at no other service of late.
///
/// Another entry may have begun it by a configuration that this entry has not read, so that one is
/// needed that was read after the caller came.
async fn is_service_only<D: Dialect>(entry: &Entry<D>, request: &CallerRequest) -> bool {
    let mut read_at = entry.configuration_read_at.subscribe();
    let wait_max = Duration::from_millis(request.remaining_ms(entry.now()) / 2);
    let until = Instant::now() + wait_max.min(LIST_WAIT_MAX);
    loop {
        if may_have_moved(entry, request) {
            return false;
        }
        if *read_at.borrow_and_update() >= request.arrived_at {
            return true;
        }
        entry.configuration_wanted.notify_one();
        if !matches!(tokio::time::timeout_at(until, read_at.changed()).await, Ok(Ok(()))) {
            return false;
        }
    }
}

/// Returns whether the stream that a request takes up may have begun at another service of late, by the
/// configurations that this entry has read.
fn may_have_moved<D: Dialect>(entry: &Entry<D>, request: &CallerRequest) -> bool {
    let routes = &entry.state.borrow().origins.routes;
    routes.has_moved(entry.now(), &request.route, request.uri.path())
}

/// Sends a request to a service of its route, since other weights may have drawn another one.
fn keep_service<D: Dialect>(entry: &Entry<D>, request: &mut CallerRequest, service: &ServiceName) {
    let state = entry.state.borrow();
    let spec = state.deployment.get().and_then(|deployment| deployment.services.get(service));
    request.uses_engine = spec.is_some_and(|spec| spec.engine.is_some());
    request.service = service.clone();
    request.demand.service = service.clone();
}

/// Decides on a stream that neither the entry nor the agents know. If the rows of the catalogue or
/// the list of backend servers have to be read for that, waits for the read a short time.
async fn find_kept_origin<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    resumed: Option<RequestHash>,
) -> Lookup {
    let (mut rows, mut lists) = (entry.origin_reads.subscribe(), entry.list_reads.subscribe());
    let wait_max = Duration::from_millis(request.remaining_ms(entry.now()) / 2);
    let lists_until = Instant::now() + wait_max.min(LIST_WAIT_MAX);
    let mut rows_until = None;
    loop {
        let read = match decide(entry, request, resumed) {
            OriginVerdict::Kept(service, version) => return Lookup::Kept(service, version),
            OriginVerdict::Single(version) => return Lookup::Single(version),
            OriginVerdict::Unknown => return Lookup::Unknown,
            OriginVerdict::Follow => {
                entry.list_wanted.notify_one();
                tokio::time::timeout_at(lists_until, lists.changed()).await
            }
            OriginVerdict::Read => {
                want_read(entry);
                let until =
                    rows_until.get_or_insert_with(|| Instant::now() + wait_max.min(READ_WAIT_MAX));
                tokio::time::timeout_at(*until, rows.changed()).await
            }
        };
        if !matches!(read, Ok(Ok(()))) {
            return Lookup::Unknown;
        }
    }
}

fn decide<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
    resumed: Option<RequestHash>,
) -> OriginVerdict {
    observe_versions(entry);
    let now = entry.now();
    let state = entry.state.borrow();
    let is_served = state.fleet.lists_service(&request.service);
    let kept = &state.origins.kept;
    let stream_max_ms = request.route.timeout_ms;
    kept.decide(now, request.arrived_at, &request.service, resumed, is_served, stream_max_ms)
}

/// Applies an agent's response to a question.
pub(super) fn on_origin_reply<D: Dialect>(
    entry: &Entry<D>,
    from: SocketAddr,
    request: RequestHash,
    origin: Option<StreamOrigin>,
) {
    let now = entry.now();
    let origins = &mut entry.state.borrow_mut().origins;
    let Some(query) = origins.queries.get_mut(&request) else { return };
    if query.awaited.remove(&from) {
        let reply = if origin.is_some() { "known" } else { "unknown" };
        entry.metrics.count(Metric::OriginReplies, &[("reply", reply)]);
    }
    if origin.is_none() && !query.awaited.is_empty() {
        return;
    }
    let replies = query.replies();
    for waiting in origins.queries.remove(&request).into_iter().flat_map(|query| query.waiting) {
        // This fails only if the caller has disconnected.
        let _ = waiting.send((origin.clone(), replies));
    }
    if let Some(origin) = origin {
        origins.known.record(now, origin);
    }
}

/// Finds the origin of a stream that a caller takes up. While replies of agents are missing, the
/// rows of the catalogue or the list of backend servers may tell it first.
async fn find_origin<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    resumed: RequestHash,
) -> (Lookup, AgentReplies) {
    if let Some(origin) = entry.state.borrow().origins.known.of(resumed) {
        return (Lookup::Known(origin.clone()), AgentReplies::default());
    }
    let question = OriginQuestion::new(entry, resumed);
    let lookup = {
        let mut answer = pin!(question.answer());
        match tokio::time::timeout(REPLY_WAIT, &mut answer).await {
            Ok(Some(origin)) => Lookup::Asked(origin),
            Ok(None) => find_kept_origin(entry, request, Some(resumed)).await,
            Err(_elapsed) => find_late_origin(entry, request, resumed, answer).await,
        }
    };
    (lookup, question.replies())
}

/// Finds an origin by what comes first, the catalogue or the late replies of agents.
async fn find_late_origin<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    resumed: RequestHash,
    mut answer: Pin<&mut impl Future<Output = Option<StreamOrigin>>>,
) -> Lookup {
    let wait_max = Duration::from_millis(request.remaining_ms(entry.now()) / 2);
    let replies_until = Instant::now() + wait_max.min(LATE_REPLY_WAIT_MAX);
    let mut kept = pin!(find_kept_origin(entry, request, Some(resumed)));
    let found = tokio::select! {
        biased;
        found = &mut answer => return match found {
            Some(origin) => Lookup::Asked(origin),
            None => kept.await,
        },
        found = &mut kept => found,
    };
    match found {
        Lookup::Unknown => match tokio::time::timeout_at(replies_until, answer).await {
            Ok(Some(origin)) => Lookup::Asked(origin),
            Ok(None) | Err(_) => Lookup::Unknown,
        },
        found => found,
    }
}

/// Returns the addresses of the agents that hold the origin of a request's stream.
pub(super) fn holders(fleet: &Fleet, request: RequestHash, port: u16) -> Vec<SocketAddr> {
    peer_addresses(fleet, port, |agents| origin_holders(request, agents))
}
