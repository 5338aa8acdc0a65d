//! The HTTP interface for operators.

use std::sync::Arc;

use filbertcleat_base::NodeName;
use filbertcleat_base::OperatorName;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use filbertcleat_wire::v1;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Service;
use salvo::handler;
use salvo::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::EntryEvent;
use super::event::ProcessInfo;
use super::server;
use super::server::Limits;
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;
use crate::peers::Peers;
use crate::token::Token;

/// The largest patch.
const PATCH_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The time that each process has to answer an operator's request.
const PEER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// The state that the handlers of the operators' interface share.
#[derive(Clone, Debug)]
struct OperatorContext {
    loop_sender: LoopSender,
    peers: Peers,
    token: Arc<Token>,
}

/// Serves operators until the task is dropped.
pub(crate) async fn serve_operators(
    listener: TcpListener,
    loop_sender: LoopSender,
    peers: Peers,
    token: Token,
) {
    let context = OperatorContext { loop_sender, peers, token: Arc::new(token) };
    let router = Router::new()
        .hoop(salvo::affix_state::inject(context))
        .hoop(check_token)
        .push(Router::with_path("operator/patch").post(post_patch))
        .push(Router::with_path("operator/config").get(show_config))
        .push(Router::with_path("operator/status").get(show_status))
        .push(Router::with_path("operator/timeline").get(show_timeline))
        .push(Router::with_path("operator/drain/{node}").post(post_drain));
    let limits = Limits {
        connections_max: 64,
        header_max_bytes: 16 * 1024,
        read_timeout: std::time::Duration::from_secs(10),
    };
    server::serve(listener, Service::new(router), limits).await;
}

/// Rejects requests that do not present the operators' token.
#[handler]
async fn check_token(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
    flow: &mut FlowCtrl,
) {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let is_authorized = context(depot).is_some_and(|context| context.token.matches(header));
    if !is_authorized {
        let message = "operator token is missing or wrong";
        write(response, StatusCode::UNAUTHORIZED, &json!({ "error": { "message": message } }));
        flow.skip_rest();
    }
}

#[handler]
async fn post_patch(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let body = match request.payload_with_max_size(PATCH_MAX_BYTES).await {
        Ok(body) => body.clone(),
        Err(error) => {
            let error = PatchError::invalid(".", error);
            return write_patch_error(response, &error);
        }
    };
    let parsed = Patch::parse(&body).and_then(|patch| {
        if patch.operator == operator(request) {
            Ok(patch)
        } else {
            Err(PatchError::invalid("operator", "differs from the x-operator header"))
        }
    });
    let patch = match parsed {
        Ok(patch) => patch,
        Err(error) => return write_patch_error(response, &error),
    };

    let (reply, received_reply) = oneshot::channel();
    send_to_loop(&context.loop_sender, LoopEvent::Entry(EntryEvent::SubmitPatch { patch, reply }));
    match received_reply.await {
        Ok(Ok(version)) => write(response, StatusCode::OK, &json!({ "version": version })),
        Ok(Err(error)) => write_patch_error(response, &error),
        Err(_closed) => {
            let error = PatchError::Unavailable { reason: "entry is stopping".to_owned() };
            write_patch_error(response, &error);
        }
    }
}

#[handler]
async fn show_config(depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let (reply, received_reply) = oneshot::channel();
    send_to_loop(&context.loop_sender, LoopEvent::Entry(EntryEvent::Configuration { reply }));
    if let Ok(configuration) = received_reply.await {
        response.render(salvo::writing::Json(&*configuration));
    }
}

#[handler]
async fn show_status(depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let mut list = Vec::new();
    let queries = context.processes().await.into_iter().map(|process| {
        let peers = context.peers.clone();
        tokio::spawn(async move { (query_status(&peers, &process).await, process) })
    });
    for task in queries.collect::<Vec<_>>() {
        if let Ok((status, process)) = task.await {
            let unanswered =
                json!({ "node": process.name, "state": process.state, "answer": "none" });
            list.push(status.unwrap_or(unanswered));
        }
    }
    write(response, StatusCode::OK, &Value::Array(list));
}

#[handler]
async fn show_timeline(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let request_id = request.query::<String>("request").unwrap_or_default();
    let since_ms = request.query::<u64>("since_ms").unwrap_or(0);
    let query = v1::TimelineRequest { request: request_id, since_ms };
    let queries = context.processes().await.into_iter().map(|process| {
        let (peers, query) = (context.peers.clone(), query.clone());
        tokio::spawn(async move { query_timeline(&peers, &process, query).await })
    });
    let mut pages = Vec::new();
    for task in queries.collect::<Vec<_>>() {
        if let Ok(Some(page)) = task.await {
            pages.push(page);
        }
    }
    write(response, StatusCode::OK, &Value::Array(pages));
}

#[handler]
async fn post_drain(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let node: NodeName = request.param::<String>("node").unwrap_or_default().into();
    let (reply, received_reply) = oneshot::channel();
    let event = EntryEvent::Drain { node: node.clone(), operator: operator(request), reply };
    send_to_loop(&context.loop_sender, LoopEvent::Entry(event));
    let Ok(Some(address)) = received_reply.await else {
        let message = format!("process {:?} does not exist", node.as_str());
        return write(response, StatusCode::NOT_FOUND, &json!({ "error": { "message": message } }));
    };

    let message = v1::DrainRequest { operator: operator(request).to_string() };
    let drained = match context.peers.node(&address) {
        Ok(mut client) => tokio::time::timeout(PEER_TIMEOUT, client.drain(message)).await.ok(),
        Err(_) => None,
    };
    if let Some(Ok(drain_reply)) = drained {
        let state = drain_reply.into_inner().state;
        return write(response, StatusCode::OK, &json!({ "node": node, "state": state }));
    }
    let message = format!("process {:?} did not answer in time", node.as_str());
    write(response, StatusCode::BAD_GATEWAY, &json!({ "error": { "message": message } }));
}

impl OperatorContext {
    /// Returns the processes that are not known to be gone.
    async fn processes(&self) -> Vec<ProcessInfo> {
        let (reply, received_reply) = oneshot::channel();
        send_to_loop(&self.loop_sender, LoopEvent::Entry(EntryEvent::ListProcesses { reply }));
        received_reply.await.unwrap_or_default()
    }
}

/// Requests a process's status; returns `None` if it does not answer in time.
async fn query_status(peers: &Peers, process: &ProcessInfo) -> Option<Value> {
    let mut client = peers.node(&process.address).ok()?;
    let response = tokio::time::timeout(PEER_TIMEOUT, client.status(v1::StatusRequest {})).await;
    serde_json::from_slice(&response.ok()?.ok()?.into_inner().json).ok()
}

/// Requests a process's events; returns `None` if it does not answer in time.
async fn query_timeline(
    peers: &Peers,
    process: &ProcessInfo,
    query: v1::TimelineRequest,
) -> Option<Value> {
    let mut client = peers.node(&process.address).ok()?;
    let response = tokio::time::timeout(PEER_TIMEOUT, client.timeline(query)).await;
    serde_json::from_slice(&response.ok()?.ok()?.into_inner().json).ok()
}

/// Returns the operator that the `x-operator` header names.
fn operator(request: &Request) -> OperatorName {
    let header = request.headers().get("x-operator").and_then(|value| value.to_str().ok());
    OperatorName::new(header.unwrap_or("unnamed"))
}

fn context(depot: &Depot) -> Option<OperatorContext> {
    depot.get_typed::<OperatorContext>().ok().cloned()
}

fn write_patch_error(response: &mut Response, error: &PatchError) {
    let status = match error {
        PatchError::Stale { .. } => StatusCode::CONFLICT,
        PatchError::Invalid { .. } => StatusCode::BAD_REQUEST,
        PatchError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        PatchError::UnknownOutcome { .. } => StatusCode::BAD_GATEWAY,
    };
    write(
        response,
        status,
        &json!({ "error": { "message": error.to_string(), "refusal": error } }),
    );
}

fn write(response: &mut Response, status: StatusCode, value: &Value) {
    response.status_code(status);
    response.render(salvo::writing::Json(value));
}
