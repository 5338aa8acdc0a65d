//! Relates the ends of backend servers to requests, and turns requests away that crash servers.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_base::stable_hash;
use filbertcleat_serve::CrashEvidence;
use filbertcleat_serve::CrashId;
use filbertcleat_serve::CrashMark;
use filbertcleat_serve::CrashSuspect;
use filbertcleat_serve::CrashVerdict;
use filbertcleat_serve::Fact;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::return_delay_ms;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::facts::FactSource;
use super::facts::change_facts;
use super::facts::tell_holders;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;

/// How long a server that broke off a response is given to accept a connection: several round trips
/// between regions.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// The suspects in requests that servers broke off which may have ended, and how long each request
/// had run, in milliseconds.
pub(super) type UnverifiedCrashes = HashMap<CrashId, Vec<(CrashSuspect, u64)>>;

/// Handles a response that broke off before it had properly begun. Its request may have ended the
/// server, which then refuses connections.
pub(super) fn on_broken_early<D: Dialect>(
    entry: &Rc<Entry<D>>,
    server: &ServerId,
    suspects: &[CrashSuspect],
    run_ms: u64,
) {
    let state = &mut *entry.state.borrow_mut();
    let Some(listed) = state.fleet.server(server).map(|server| &server.listed) else { return };
    let crash = listed.crash_id();
    let unverified = state.unverified_crashes.entry(crash).or_default();
    let is_first = unverified.is_empty();
    unverified.extend(suspects.iter().map(|suspect| (*suspect, run_ms)));
    if is_first {
        let (entry, server, address) = (Rc::clone(entry), server.clone(), listed.address);
        let broken_at = entry.now();
        spawn_local(async move {
            let has_ended = refuses_connections(address).await;
            on_verified(&entry, crash, &server, broken_at, has_ended);
        });
    }
}

/// Handles a request that nobody awaits any more, while its server may go on running it.
pub(super) fn on_abandoned<D: Dialect>(
    entry: &Entry<D>,
    server: &ServerId,
    suspects: &[CrashSuspect],
    run_ms: u64,
) {
    let now = entry.now();
    let state = &mut *entry.state.borrow_mut();
    if let Some(server) = state.fleet.server(server) {
        state.abandoned_runs.record(now, server.listed.crash_id(), suspects, run_ms);
    }
}

/// Handles a refused connection: the server has ended.
pub(super) fn on_connection_refused<D: Dialect>(entry: &Entry<D>, server: &ServerId) {
    let crash = entry.state.borrow().fleet.server(server).map(|server| server.listed.crash_id());
    if let Some(crash) = crash {
        record_end(entry, crash, server, entry.now(), Vec::new());
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(VERIFY_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

fn on_verified<D: Dialect>(
    entry: &Entry<D>,
    crash: CrashId,
    server: &ServerId,
    broken_at: MonoTime,
    has_ended: bool,
) {
    let runs = entry.state.borrow_mut().unverified_crashes.remove(&crash).unwrap_or_default();
    if has_ended {
        record_end(entry, crash, server, broken_at, runs);
    }
}

/// Marks the suspects of the requests that a server ran when it ended, also of abandoned ones.
fn record_end<D: Dialect>(
    entry: &Entry<D>,
    crash: CrashId,
    server: &ServerId,
    seen_at: MonoTime,
    mut runs: Vec<(CrashSuspect, u64)>,
) {
    let now = entry.now();
    runs.extend(entry.state.borrow_mut().abandoned_runs.take(now, crash));
    if runs.is_empty() {
        return;
    }
    let marks = change_crashes(entry, |evidence| {
        evidence.on_server_ended(now, crash, now.ms_since(seen_at), runs)
    });
    log::info!("event=server-ended server={server} marked={}", marks.len());
    entry.metrics.count(Metric::ServerEnds, &[]);
    tell_holders(entry, marks);
}

/// Records that a server has answered a request with these suspects.
pub(super) fn on_request_answered<D: Dialect>(entry: &Entry<D>, suspects: &[CrashSuspect]) {
    let now = entry.now();
    let cleared = change_crashes(entry, |evidence| evidence.on_answered(now, suspects));
    tell_holders(entry, cleared);
}

/// Returns whether the request may be sent now, and tells the others if it is a trial.
pub(super) fn admit_request<D: Dialect>(entry: &Entry<D>, request: &CallerRequest) -> bool {
    let now = entry.now();
    let suspects = &request.demand.crash_suspects;
    let verdict = entry.state.borrow().fleet.facts().crashes().verdict(now, suspects);
    match verdict {
        CrashVerdict::Allowed => true,
        CrashVerdict::TurnedAway { .. } => false,
        CrashVerdict::Trial => {
            log::info!("event=crash-trial id={}", request.id);
            let seed = entry.incarnation;
            let marks = change_crashes(entry, |evidence| evidence.on_trial(now, suspects, seed));
            tell_holders(entry, marks);
            true
        }
    }
}

/// Returns the refusal of a request under which backend servers have ended.
pub(super) fn crash_refusal<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
) -> Option<Refusal> {
    let now = entry.now();
    let state = entry.state.borrow();
    let evidence = state.fleet.facts().crashes();
    match evidence.verdict(now, &request.demand.crash_suspects) {
        CrashVerdict::Allowed | CrashVerdict::Trial => None,
        CrashVerdict::TurnedAway { wait_ms } => {
            let delay_ms = return_delay_ms(now, now.plus_ms(wait_ms), stable_hash(&request.id));
            let reason = "backend servers ended under such requests";
            Some(Refusal::NotRun(reason, Duration::from_millis(delay_ms)))
        }
    }
}

fn change_crashes<D: Dialect>(
    entry: &Entry<D>,
    change: impl FnOnce(&mut CrashEvidence) -> Vec<CrashMark>,
) -> Vec<Fact> {
    change_facts(entry, FactSource::Seen, |fleet| fleet.change_crashes(change))
}
