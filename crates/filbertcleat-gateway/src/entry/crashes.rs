//! Relates the ends of backend servers to prompts, and turns prompts away that crash servers.

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
use filbertcleat_serve::Fact;
use filbertcleat_serve::PromptPart;
use filbertcleat_serve::PromptVerdict;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::return_delay_ms;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

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

/// The parts of prompts on which servers broke off that may have ended.
pub(super) type UnverifiedCrashes = HashMap<CrashId, Vec<PromptPart>>;

/// Handles a response that broke off before it had properly begun. Its prompt may have ended the
/// server, which then refuses connections.
pub(super) fn on_broken_early<D: Dialect>(
    entry: &Rc<Entry<D>>,
    server: &ServerId,
    parts: &[PromptPart],
) {
    let state = &mut *entry.state.borrow_mut();
    let Some(listed) = state.fleet.server(server).map(|server| &server.listed) else { return };
    let crash = CrashId::of(server, listed.started_unix_ms);
    let unverified = state.unverified_crashes.entry(crash).or_default();
    let is_first = unverified.is_empty();
    unverified.extend(parts);
    if is_first {
        let (entry, server, address) = (Rc::clone(entry), server.clone(), listed.address);
        let broken_at = entry.now();
        spawn_local(async move {
            let has_ended = refuses_connections(address).await;
            on_verified(&entry, crash, &server, broken_at, has_ended);
        });
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
    let now = entry.now();
    let parts = entry.state.borrow_mut().unverified_crashes.remove(&crash).unwrap_or_default();
    if !has_ended {
        return;
    }
    let marks = change_crashes(entry, |evidence| {
        evidence.on_server_ended(now, crash, now.ms_since(broken_at), parts)
    });
    log::info!("event=server-ended server={server} marked_parts={}", marks.len());
    entry.metrics.count(Metric::ServerEnds, &[]);
    tell_holders(entry, marks);
}

/// Records that a server has answered a prompt with these parts.
pub(super) fn on_prompt_answered<D: Dialect>(entry: &Entry<D>, parts: &[PromptPart]) {
    let now = entry.now();
    let cleared = change_crashes(entry, |evidence| evidence.on_answered(now, parts));
    tell_holders(entry, cleared);
}

/// Returns whether the request may be sent now, and tells the others if it is a trial.
pub(super) fn admit_prompt<D: Dialect>(entry: &Entry<D>, request: &CallerRequest) -> bool {
    let now = entry.now();
    let parts = &request.demand.prompt_parts;
    let verdict = entry.state.borrow().fleet.facts().crashes().verdict(now, parts);
    match verdict {
        PromptVerdict::Allowed => true,
        PromptVerdict::TurnedAway { .. } => false,
        PromptVerdict::Trial => {
            log::info!("event=prompt-trial id={}", request.id);
            let seed = entry.incarnation;
            let marks = change_crashes(entry, |evidence| evidence.on_trial(now, parts, seed));
            tell_holders(entry, marks);
            true
        }
    }
}

/// Returns the refusal of a request whose prompt has crashed backend servers.
pub(super) fn prompt_refusal<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
) -> Option<Refusal> {
    let now = entry.now();
    let state = entry.state.borrow();
    let evidence = state.fleet.facts().crashes();
    match evidence.verdict(now, &request.demand.prompt_parts) {
        PromptVerdict::Allowed | PromptVerdict::Trial => None,
        PromptVerdict::TurnedAway { wait_ms } => {
            let delay_ms = return_delay_ms(now, now.plus_ms(wait_ms), stable_hash(&request.id));
            let reason = "backend servers ended under a part of the prompt";
            Some(Refusal::NotRun(reason, Duration::from_millis(delay_ms)))
        }
    }
}

fn change_crashes<D: Dialect>(
    entry: &Entry<D>,
    change: impl FnOnce(&mut CrashEvidence) -> Vec<CrashMark>,
) -> Vec<Fact> {
    change_facts(entry, |fleet| fleet.change_crashes(change))
}
