//! Charges requests of workspaces to their allowances.

mod charge;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AllowanceBounds;
use filbertcleat_serve::AllowanceDecision;
use filbertcleat_serve::AllowanceLedger;
use filbertcleat_serve::AllowanceMessage;
use filbertcleat_serve::AllowanceRefusal;
use filbertcleat_serve::AllowanceTicket;
use filbertcleat_serve::BucketAgents;
use tokio::sync::Notify;
use tokio::sync::oneshot;

pub(super) use self::charge::RequestCharge;
use super::holders::agent_ips;
use super::refusal::RETRY_AFTER_FULL;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::state::Entry;
use crate::Dialect;
use crate::clock::Clock;
use crate::metrics::AllowanceOutcome;
use crate::metrics::Metric;
use crate::metrics::Metrics;
use crate::metrics::WorkspaceUse;
use crate::peer_socket::PeerUpdate;

/// The interval at which agents are chosen anew, which goes over all backend servers.
const AGENTS_INTERVAL_MS: u64 = 300;

type Decided = Result<RequestCharge, AllowanceRefusal>;

/// The allowances of workspaces at an entry.
#[derive(Debug)]
pub(super) struct Allowances {
    clock: Clock,
    ledger: RefCell<AllowanceLedger>,
    /// Where the decisions on requests that wait are delivered.
    waiting: RefCell<HashMap<AllowanceTicket, oneshot::Sender<Decided>>>,
    agents_at: Cell<Option<MonoTime>>,
    /// Wakes the task that repeats requests and returns tokens.
    changed: Notify,
    /// When that task is due.
    timer: Cell<Option<MonoTime>>,
    use_by_workspace: RefCell<WorkspaceUse>,
}

impl Allowances {
    /// Creates the state of an entry that holds no tokens.
    pub fn new(clock: Clock, incarnation: u64, bounds: &AllowanceBounds) -> Self {
        Self {
            clock,
            ledger: RefCell::new(AllowanceLedger::new(incarnation as u32, bounds)),
            waiting: RefCell::default(),
            agents_at: Cell::new(None),
            changed: Notify::new(),
            timer: Cell::new(None),
            use_by_workspace: RefCell::default(),
        }
    }

    /// Sets the gauges of the workspaces with the most use, and of the others together.
    pub fn update_gauges(&self, metrics: &Metrics) {
        let now = self.clock.now();
        let mut use_by_workspace = self.use_by_workspace.borrow_mut();
        use_by_workspace.select(now);
        for metric in [
            Metric::AllowanceRequests,
            Metric::AllowanceRate,
            Metric::AllowanceBurst,
            Metric::AllowanceUse,
        ] {
            metrics.clear(metric);
        }
        let rows = use_by_workspace.rows(now);
        let counts = rows.iter().map(|row| (row.label, row.counts));
        for (label, counts) in counts.chain([("other", use_by_workspace.others())]) {
            for (outcome, count) in counts.by_name().into_iter().filter(|(_, count)| *count > 0) {
                let tags = [("workspace", label), ("outcome", outcome)];
                metrics.gauge(Metric::AllowanceRequests, &tags, count);
            }
        }
        for row in rows {
            let hash = format!("{:016x}", row.hash);
            let tags = [("workspace", row.label), ("hash", hash.as_str())];
            metrics.gauge(Metric::AllowanceRate, &tags, row.allowance.rate_per_s as u64);
            metrics.gauge(Metric::AllowanceBurst, &tags, row.allowance.burst as u64);
            metrics.gauge(Metric::AllowanceUse, &tags, row.use_per_s as u64);
        }
    }

    fn in_hand(&self, workspace: u64) -> u64 {
        self.ledger.borrow().in_hand(workspace)
    }
}

/// Removes a request that waits for tokens when its caller leaves.
struct WaitGuard<'a> {
    allowances: &'a Allowances,
    workspace: u64,
    ticket: AllowanceTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.allowances.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.allowances.ledger.borrow_mut().cancel(self.workspace, self.ticket);
        }
    }
}

/// Charges a request to the allowance of its workspace, if it has one.
///
/// Returns the refusal of a request over the allowance, or if too few agents respond to tell.
pub(super) async fn charge_request<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
) -> Result<Option<RequestCharge>, Refusal> {
    let Some(allowances) = &entry.allowances else { return Ok(None) };
    let Some(workspace) = &request.workspace else { return Ok(None) };
    let Some(allowance) = &workspace.allowance else { return Ok(None) };
    let cost = allowance.cost(request.metadata.prompt_tokens, request.metadata.max_tokens);
    let hash = AllowanceLedger::workspace_hash(workspace.name.as_str());
    choose_agents(entry, allowances);
    let version = entry.state.borrow().deployment.version();
    let now = entry.now();
    let decision = allowances.ledger.borrow_mut().take(now, hash, allowance, version, cost);
    let decided = match decision {
        AllowanceDecision::Granted(charge) => Ok(RequestCharge::new(Rc::clone(allowances), charge)),
        AllowanceDecision::Refused(refusal) => Err(refusal),
        AllowanceDecision::Pending(ticket) => {
            let (sender, receiver) = oneshot::channel();
            allowances.waiting.borrow_mut().insert(ticket, sender);
            let _guard = WaitGuard { allowances, workspace: hash, ticket };
            send_and_deliver(entry, allowances);
            receiver.await.unwrap_or(Err(AllowanceRefusal::Unreachable))
        }
    };
    send_and_deliver(entry, allowances);
    log_decision(entry, request, cost, allowances.in_hand(hash), &decided);
    match decided {
        Ok(charge) => Ok(Some(charge)),
        Err(AllowanceRefusal::Exceeded { retry_after_ms, .. }) => {
            Err(Refusal::AllowanceExceeded(Duration::from_millis(retry_after_ms)))
        }
        Err(AllowanceRefusal::Unreachable) => {
            let reason = "too few agents respond to tell the allowance";
            Err(Refusal::NotRun(reason, RETRY_AFTER_FULL))
        }
    }
}

/// Applies an agent's response.
pub(super) fn on_allowance_message<D: Dialect>(
    entry: &Entry<D>,
    from: SocketAddr,
    message: &AllowanceMessage,
) {
    match (message, &entry.allowances) {
        (AllowanceMessage::Grant(grant), Some(allowances)) => {
            allowances.ledger.borrow_mut().on_grant(entry.now(), from.ip(), grant);
            send_and_deliver(entry, allowances);
        }
        _ => log::debug!("event=news-unexpected peer={from}"),
    }
}

/// Repeats requests without a response, and returns tokens that are not spent, for as long as the
/// process runs.
pub(super) async fn run_allowances<D: Dialect>(entry: Rc<Entry<D>>) {
    let Some(allowances) = entry.allowances.clone() else { return };
    loop {
        let timer = allowances.ledger.borrow().next_timer();
        allowances.timer.set(timer);
        match timer {
            None => allowances.changed.notified().await,
            Some(at) => {
                tokio::select! {
                    () = tokio::time::sleep_until(entry.clock().instant(at)) => {}
                    () = allowances.changed.notified() => {}
                }
            }
        }
        allowances.ledger.borrow_mut().on_timer(entry.now());
        send_and_deliver(&entry, &allowances);
    }
}

/// Sends what the ledger wants to send, delivers its decisions, and wakes the timer's task if it is
/// due earlier than before.
fn send_and_deliver<D: Dialect>(entry: &Entry<D>, allowances: &Rc<Allowances>) {
    let (messages, settled, timer) = {
        let mut ledger = allowances.ledger.borrow_mut();
        (ledger.take_messages(), ledger.take_settled(), ledger.next_timer())
    };
    for (holder, message) in messages {
        let to = SocketAddr::new(holder, entry.settings.peer_port);
        entry.peers.send(to, &PeerUpdate::Allowance(message));
    }
    for (ticket, decided) in settled {
        let decided = decided.map(|charge| RequestCharge::new(Rc::clone(allowances), charge));
        let sender = allowances.waiting.borrow_mut().remove(&ticket);
        if let Some(sender) = sender {
            // This fails only if the caller has gone; the dropped charge goes back to the ledger.
            let _ = sender.send(decided);
        }
    }
    if timer.is_some_and(|timer| allowances.timer.get().is_none_or(|armed| timer < armed)) {
        allowances.changed.notify_one();
    }
}

/// Tells the ledger the agents of the listed engines, once per interval.
fn choose_agents<D: Dialect>(entry: &Entry<D>, allowances: &Allowances) {
    let now = entry.now();
    if allowances.agents_at.get().is_some_and(|at| now.ms_since(at) < AGENTS_INTERVAL_MS) {
        return;
    }
    allowances.agents_at.set(Some(now));
    let agents = BucketAgents::new(agent_ips(&entry.state.borrow().fleet));
    allowances.ledger.borrow_mut().set_agents(now, agents, entry.listing_version());
}

fn log_decision<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
    cost: u64,
    left: u64,
    decided: &Decided,
) {
    let (Some(workspace), Some(allowances)) = (&request.workspace, &entry.allowances) else {
        return;
    };
    let (id, name) = (&request.id, &workspace.name);
    let Some(allowance) = &workspace.allowance else { return };
    let outcome = match decided {
        Ok(_) => {
            log::debug!("event=allowance-taken id={id} workspace={name} cost={cost} left={left}");
            AllowanceOutcome::Taken
        }
        Err(refusal) => {
            let (in_hand, holder, retry_after_ms) = match refusal {
                AllowanceRefusal::Exceeded { retry_after_ms, in_hand, holder } => {
                    (*in_hand, Some(*holder), *retry_after_ms)
                }
                AllowanceRefusal::Unreachable => (left, None, RETRY_AFTER_FULL.as_millis() as u64),
            };
            let holder = holder.as_ref().map_or_else(|| "-".to_owned(), IpAddr::to_string);
            log::info!(
                "event=allowance-refused id={id} workspace={name} cost={cost} in_hand={in_hand} \
                 holder={holder} retry_after_ms={retry_after_ms}"
            );
            match refusal {
                AllowanceRefusal::Exceeded { .. } => AllowanceOutcome::Refused,
                AllowanceRefusal::Unreachable => AllowanceOutcome::Unknown,
            }
        }
    };
    let mut use_by_workspace = allowances.use_by_workspace.borrow_mut();
    use_by_workspace.count(entry.now(), name.as_str(), allowance, cost, outcome);
}
