//! The operators' interface.

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
use super::event::Process;
use super::server;
use super::server::Limits;
use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;
use crate::peers::Peers;
use crate::token::Token;

/// The largest patch.
const PATCH_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The time that one process has to answer an operator's question.
const ASK_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// What the operators' interface needs.
#[derive(Clone, Debug)]
struct Desk {
    inputs: Inputs,
    peers: Peers,
    token: Arc<Token>,
}

/// Serves operators until the task is dropped.
pub(crate) async fn serve_operators(
    listener: TcpListener,
    inputs: Inputs,
    peers: Peers,
    token: Token,
) {
    let desk = Desk { inputs, peers, token: Arc::new(token) };
    let router = Router::new()
        .hoop(salvo::affix_state::inject(desk))
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

#[handler]
async fn check_token(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
    flow: &mut FlowCtrl,
) {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let fits = desk(depot).is_some_and(|desk| desk.token.matches(header));
    if !fits {
        let message = "operator token is missing or wrong";
        write(response, StatusCode::UNAUTHORIZED, &json!({ "error": { "message": message } }));
        flow.skip_rest();
    }
}

#[handler]
async fn post_patch(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(desk) = desk(depot) else {
        return;
    };
    let body = match request.payload_with_max_size(PATCH_MAX_BYTES).await {
        Ok(body) => body.clone(),
        Err(error) => {
            let refusal = PatchError::invalid(".", error);
            return write_refusal(response, &refusal);
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
        Err(refusal) => return write_refusal(response, &refusal),
    };

    let (reply, answer) = oneshot::channel();
    tell(&desk.inputs, Input::Entry(EntryEvent::Patch { patch, reply }));
    match answer.await {
        Ok(Ok(version)) => write(response, StatusCode::OK, &json!({ "version": version })),
        Ok(Err(refusal)) => write_refusal(response, &refusal),
        Err(_closed) => {
            let refusal = PatchError::Unavailable { reason: "entry is stopping".to_owned() };
            write_refusal(response, &refusal);
        }
    }
}

#[handler]
async fn show_config(depot: &mut Depot, response: &mut Response) {
    let Some(desk) = desk(depot) else {
        return;
    };
    let (reply, answer) = oneshot::channel();
    tell(&desk.inputs, Input::Entry(EntryEvent::Configuration { reply }));
    if let Ok(configuration) = answer.await {
        response.render(salvo::writing::Json(&*configuration));
    }
}

#[handler]
async fn show_status(depot: &mut Depot, response: &mut Response) {
    let Some(desk) = desk(depot) else {
        return;
    };
    let mut list = Vec::new();
    let asked = desk.processes().await.into_iter().map(|process| {
        let peers = desk.peers.clone();
        tokio::spawn(async move { (ask_status(&peers, &process).await, process) })
    });
    for task in asked.collect::<Vec<_>>() {
        if let Ok((answer, process)) = task.await {
            let silent = json!({ "node": process.name, "state": process.state, "answer": "none" });
            list.push(answer.unwrap_or(silent));
        }
    }
    write(response, StatusCode::OK, &Value::Array(list));
}

#[handler]
async fn show_timeline(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(desk) = desk(depot) else {
        return;
    };
    let wanted = request.query::<String>("request").unwrap_or_default();
    let since_ms = request.query::<u64>("since_ms").unwrap_or(0);
    let query = v1::TimelineRequest { request: wanted, since_ms };
    let asked = desk.processes().await.into_iter().map(|process| {
        let (peers, query) = (desk.peers.clone(), query.clone());
        tokio::spawn(async move { ask_timeline(&peers, &process, query).await })
    });
    let mut pages = Vec::new();
    for task in asked.collect::<Vec<_>>() {
        if let Ok(Some(page)) = task.await {
            pages.push(page);
        }
    }
    write(response, StatusCode::OK, &Value::Array(pages));
}

#[handler]
async fn post_drain(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(desk) = desk(depot) else {
        return;
    };
    let node: NodeName = request.param::<String>("node").unwrap_or_default().into();
    let (reply, answer) = oneshot::channel();
    let event = EntryEvent::Drain { node: node.clone(), operator: operator(request), reply };
    tell(&desk.inputs, Input::Entry(event));
    let Ok(Some(address)) = answer.await else {
        let message = format!("process {:?} does not exist", node.as_str());
        return write(response, StatusCode::NOT_FOUND, &json!({ "error": { "message": message } }));
    };

    let message = v1::DrainRequest { operator: operator(request).to_string() };
    let drained = match desk.peers.node(&address) {
        Ok(mut client) => tokio::time::timeout(ASK_TIMEOUT, client.drain(message)).await.ok(),
        Err(_) => None,
    };
    if let Some(Ok(answer)) = drained {
        let state = answer.into_inner().state;
        return write(response, StatusCode::OK, &json!({ "node": node, "state": state }));
    }
    let message = format!("process {:?} gave no answer", node.as_str());
    write(response, StatusCode::BAD_GATEWAY, &json!({ "error": { "message": message } }));
}

impl Desk {
    async fn processes(&self) -> Vec<Process> {
        let (reply, answer) = oneshot::channel();
        tell(&self.inputs, Input::Entry(EntryEvent::Processes { reply }));
        answer.await.unwrap_or_default()
    }
}

async fn ask_status(peers: &Peers, process: &Process) -> Option<Value> {
    let mut client = peers.node(&process.address).ok()?;
    let answer = tokio::time::timeout(ASK_TIMEOUT, client.status(v1::StatusRequest {})).await;
    serde_json::from_slice(&answer.ok()?.ok()?.into_inner().json).ok()
}

async fn ask_timeline(
    peers: &Peers,
    process: &Process,
    query: v1::TimelineRequest,
) -> Option<Value> {
    let mut client = peers.node(&process.address).ok()?;
    let answer = tokio::time::timeout(ASK_TIMEOUT, client.timeline(query)).await;
    serde_json::from_slice(&answer.ok()?.ok()?.into_inner().json).ok()
}

fn operator(request: &Request) -> OperatorName {
    let header = request.headers().get("x-operator").and_then(|value| value.to_str().ok());
    OperatorName::new(header.unwrap_or("unnamed"))
}

fn desk(depot: &Depot) -> Option<Desk> {
    depot.get_typed::<Desk>().ok().cloned()
}

fn write_refusal(response: &mut Response, refusal: &PatchError) {
    let status = match refusal {
        PatchError::Stale { .. } => StatusCode::CONFLICT,
        PatchError::Invalid { .. } => StatusCode::BAD_REQUEST,
        PatchError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        PatchError::UnknownOutcome { .. } => StatusCode::BAD_GATEWAY,
    };
    write(
        response,
        status,
        &json!({ "error": { "message": refusal.to_string(), "refusal": refusal } }),
    );
}

fn write(response: &mut Response, status: StatusCode, value: &Value) {
    response.status_code(status);
    response.render(salvo::writing::Json(value));
}
