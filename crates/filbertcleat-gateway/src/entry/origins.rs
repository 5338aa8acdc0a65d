//! Finds and spreads the software versions that began streams.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::Fleet;
use filbertcleat_serve::RequestHash;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::StreamOrigin;
use filbertcleat_serve::StreamOrigins;
use filbertcleat_serve::origin_holders;
use tokio::sync::oneshot;

use super::holders::peer_addresses;
use super::refusal::RETRY_AFTER_UNAVAILABLE;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;
use crate::peer_socket::PeerUpdate;

/// How long the agents are given to respond before they are asked again: several round trips
/// between failure domains, on busy VMs.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// How often the agents are asked, since a datagram may be lost.
const QUERIES_MAX: u32 = 2;

/// The origins that the entry knows, and its open questions for others.
#[derive(Debug, Default)]
pub(super) struct OriginState {
    known: StreamOrigins,
    queries: HashMap<RequestHash, OpenQuery>,
}

/// A question that not all agents have answered.
#[derive(Debug, Default)]
struct OpenQuery {
    /// The agents that have not replied. A late reply to an earlier question counts like one to a
    /// later question.
    awaited: BTreeSet<SocketAddr>,
    waiting: Vec<oneshot::Sender<Option<SoftwareVersion>>>,
}

/// How the origin of a stream was found.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Lookup {
    Known(SoftwareVersion),
    Asked(SoftwareVersion),
    Unknown,
}

/// Records the origin of a stream and tells it to the agents that hold it.
pub(super) fn record_origin<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
    software_version: &SoftwareVersion,
) {
    let now = entry.now();
    let id = request.metadata.resumed_request.as_ref().unwrap_or(&request.id);
    let origin =
        StreamOrigin { request: RequestHash::of(id), software_version: software_version.clone() };
    let state = &mut *entry.state.borrow_mut();
    for holder in holders(&state.fleet, origin.request, entry.settings.peer_port) {
        entry.peers.send(holder, &PeerUpdate::Origin(origin.clone()));
    }
    state.origins.known.record(now, origin);
}

/// Limits a request that takes up a stream to the software version that began the stream.
///
/// Returns a refusal if the version is unknown, unless all servers run the same one, because the
/// parts that two versions write do not fit together.
pub(super) async fn restrict_software<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<(), Refusal> {
    let is_resumable = request.route.retry_policy == RetryPolicy::Stream { resumable: true };
    if !is_resumable || request.metadata.last_event_id.is_none() {
        return Ok(());
    }
    let lookup = match &request.metadata.resumed_request {
        Some(id) => find_origin(entry, RequestHash::of(id)).await,
        None => Lookup::Unknown,
    };
    let (outcome, version) = match lookup {
        Lookup::Known(version) => ("known", Some(version)),
        Lookup::Asked(version) => ("asked", Some(version)),
        Lookup::Unknown => ("unknown", None),
    };
    log::info!(
        "event=stream-origin id={} resumes={} outcome={outcome} software={}",
        request.id,
        request.metadata.resumed_request.as_deref().unwrap_or("-"),
        version.as_ref().map_or("-", SoftwareVersion::as_str),
    );
    entry.metrics.count(Metric::OriginLookups, &[("outcome", outcome)]);
    // Without a known server the versions that will serve are unknown too.
    let is_ambiguous = version.is_none()
        && entry.state.borrow().fleet.software_versions(&request.service).len() != 1;
    if is_ambiguous {
        let reason = "the software version that began the stream is unknown";
        return Err(Refusal::NotRun(reason, RETRY_AFTER_UNAVAILABLE));
    }
    request.demand.software_version = version;
    Ok(())
}

/// Applies an agent's response to a question.
pub(super) fn on_origin_reply<D: Dialect>(
    entry: &Entry<D>,
    from: SocketAddr,
    request: RequestHash,
    version: Option<SoftwareVersion>,
) {
    let now = entry.now();
    let origins = &mut entry.state.borrow_mut().origins;
    let Some(query) = origins.queries.get_mut(&request) else { return };
    query.awaited.remove(&from);
    if version.is_none() && !query.awaited.is_empty() {
        return;
    }
    for waiting in origins.queries.remove(&request).into_iter().flat_map(|query| query.waiting) {
        // This fails only if the caller has disconnected.
        let _ = waiting.send(version.clone());
    }
    if let Some(software_version) = version {
        origins.known.record(now, StreamOrigin { request, software_version });
    }
}

async fn find_origin<D: Dialect>(entry: &Rc<Entry<D>>, request: RequestHash) -> Lookup {
    if let Some(version) = entry.state.borrow().origins.known.software_version(request) {
        return Lookup::Known(version.clone());
    }
    for _ in 0..QUERIES_MAX {
        let Some(reply) = ask(entry, request) else { return Lookup::Unknown };
        match tokio::time::timeout(REPLY_TIMEOUT, reply).await {
            Ok(Ok(Some(version))) => return Lookup::Asked(version),
            // Every agent has replied that it does not know the stream.
            Ok(Ok(None)) => return Lookup::Unknown,
            // Some replies are missing.
            Ok(Err(_)) | Err(_) => {}
        }
    }
    entry.state.borrow_mut().origins.queries.remove(&request);
    Lookup::Unknown
}

/// Asks the agents that hold an origin and have not replied, or returns `None` if no agent holds
/// one.
fn ask<D: Dialect>(
    entry: &Entry<D>,
    request: RequestHash,
) -> Option<oneshot::Receiver<Option<SoftwareVersion>>> {
    let state = &mut *entry.state.borrow_mut();
    let holders = holders(&state.fleet, request, entry.settings.peer_port);
    if holders.is_empty() {
        return None;
    }
    let (sender, receiver) = oneshot::channel();
    let query = state.origins.queries.entry(request).or_default();
    if query.waiting.is_empty() {
        query.awaited.extend(holders);
    }
    query.waiting.push(sender);
    for holder in &query.awaited {
        entry.peers.send(*holder, &PeerUpdate::OriginQuery(request));
    }
    Some(receiver)
}

/// Returns the addresses of the agents that hold the origin of a request's stream.
fn holders(fleet: &Fleet, request: RequestHash, port: u16) -> Vec<SocketAddr> {
    peer_addresses(fleet, port, |agents| origin_holders(request, agents))
}
