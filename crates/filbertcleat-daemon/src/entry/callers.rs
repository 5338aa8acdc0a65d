//! The callers' interface.

mod answer;
mod gate;
mod ticket;

use bytes::Bytes;
use filbertcleat_config::CallerSettings;
use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Service;
use salvo::handler;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;

use self::answer::send_answer;
pub(crate) use self::gate::CallerGate;
pub(super) use self::ticket::Ticket;
use super::body;
use super::body::Shape;
use super::caller::Work;
use super::nightly;
use super::request::CompletionFields;
use super::request::Marks;
use super::server;
use super::server::Limits;

/// Serves callers until the task is dropped.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    settings: CallerSettings,
    gate: CallerGate,
) {
    let router = Router::new()
        .hoop(salvo::affix_state::inject(gate))
        .push(Router::with_path("v1/completions").post(post_completion))
        .push(Router::with_path("v1/chat/completions").post(post_chat))
        .push(Router::with_path("v1/models").get(list_models))
        .push(Router::with_path("v1/work/{id}").get(show_work))
        .push(Router::with_path("services/{name}/{**path}").goal(call_service))
        .push(Router::with_path("ready").get(show_ready));
    server::serve(listener, Service::new(router), Limits::of(&settings)).await;
}

#[handler]
async fn post_completion(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    complete(Shape::Text, request, depot, response).await;
}

#[handler]
async fn post_chat(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    complete(Shape::Chat, request, depot, response).await;
}

async fn complete(shape: Shape, request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(gate) = gate(depot) else {
        return;
    };
    let marks = match Marks::read(request) {
        Ok(marks) => marks,
        Err(message) => return refuse(response, StatusCode::BAD_REQUEST, &message),
    };
    let body = match read_body(request, &gate).await {
        Ok(body) => body,
        Err(failure) => return refuse(response, failure.status, &failure.message),
    };
    let fields: CompletionFields = match serde_json::from_slice(&body) {
        Ok(fields) => fields,
        Err(error) => {
            return refuse(
                response,
                StatusCode::BAD_REQUEST,
                &format!("body can't be read: {error}"),
            );
        }
    };

    let chat = shape == Shape::Chat;
    if marks.respond_async {
        return nightly::accept(&gate, marks, fields.model, chat, &body, response).await;
    }
    let work = Work::Completion { model: fields.model, chat, body };
    let ticket = Ticket::submit(&gate, work, marks);
    send_answer(ticket, Some(shape), fields.stream, response).await;
}

#[handler]
async fn call_service(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(gate) = gate(depot) else {
        return;
    };
    let marks = match Marks::read(request) {
        Ok(marks) => marks,
        Err(message) => return refuse(response, StatusCode::BAD_REQUEST, &message),
    };
    let service = request.param::<String>("name").unwrap_or_default();
    let uri = request.uri();
    let prefix_bytes = "/services/".len() + service.len();
    let path_and_query = uri.path_and_query().map_or("/", |path| path.as_str());
    let path = path_and_query.get(prefix_bytes..).unwrap_or("/").to_owned();
    let method = request.method().as_str().to_owned();
    let content_type = request.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
    let body = match read_body(request, &gate).await {
        Ok(body) => body,
        Err(failure) => return refuse(response, failure.status, &failure.message),
    };

    let work = Work::Service { service, method, path, content_type, body };
    send_answer(Ticket::submit(&gate, work, marks), None, false, response).await;
}

#[handler]
async fn list_models(depot: &mut Depot, response: &mut Response) {
    let Some(gate) = gate(depot) else {
        return;
    };
    let Some(configuration) = gate.configuration().await else {
        return refuse(response, StatusCode::SERVICE_UNAVAILABLE, "entry is stopping");
    };
    let mut data = Vec::new();
    for (name, entry) in &configuration.adapters {
        for version in &entry.versions {
            let id = format!("{name}@{version}");
            data.push(json!({ "id": id, "object": "model", "owned_by": entry.service }));
        }
    }
    write_json(response, StatusCode::OK, &json!({ "object": "list", "data": data }));
}

#[handler]
async fn show_work(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(gate) = gate(depot) else {
        return;
    };
    let id = request.param::<String>("id").unwrap_or_default();
    nightly::fetch(&gate, &id, response).await;
}

/// Tells the platform's balancer whether to send callers here.
#[handler]
async fn show_ready(depot: &mut Depot, response: &mut Response) {
    let is_ready = gate(depot).is_some_and(|gate| gate.is_ready());
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    write_json(response, status, &json!({ "ready": is_ready }));
}

/// A body that can't be taken.
struct BodyFailure {
    status: StatusCode,
    message: String,
}

async fn read_body(request: &mut Request, gate: &CallerGate) -> Result<Bytes, BodyFailure> {
    let limit_bytes = gate.body_max_bytes;
    let read = tokio::time::timeout(gate.read_timeout, request.payload_with_max_size(limit_bytes));
    match read.await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => Err(BodyFailure {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            message: format!("body is larger than {limit_bytes} bytes"),
        }),
        Ok(Err(error)) => Err(BodyFailure {
            status: StatusCode::BAD_REQUEST,
            message: format!("body can't be read: {error}"),
        }),
        Err(_elapsed) => Err(BodyFailure {
            status: StatusCode::REQUEST_TIMEOUT,
            message: format!("body did not come within {} ms", gate.read_timeout.as_millis()),
        }),
    }
}

fn gate(depot: &Depot) -> Option<CallerGate> {
    depot.get_typed::<CallerGate>().ok().cloned()
}

fn refuse(response: &mut Response, status: StatusCode, message: &str) {
    write_json(response, status, &body::error(message, "parse"));
}

pub(super) fn write_json(response: &mut Response, status: StatusCode, value: &serde_json::Value) {
    response.status_code(status);
    response.render(salvo::writing::Json(value));
}
