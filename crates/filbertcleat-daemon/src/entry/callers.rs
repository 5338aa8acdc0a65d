//! The HTTP interface for callers.

mod answer;
mod context;
mod request_handle;

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
pub(crate) use self::context::CallerContext;
pub(super) use self::request_handle::RequestHandle;
use super::async_requests;
use super::body;
use super::body::CompletionApi;
use super::body_reader::BodyFault;
use super::pending_request::RequestPayload;
use super::request_headers::CompletionFields;
use super::request_headers::RequestHeaders;
use super::server;
use super::server::Limits;

/// Serves callers until the task is dropped.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    settings: CallerSettings,
    context: CallerContext,
) {
    let router = Router::new()
        .hoop(salvo::affix_state::inject(context))
        .push(Router::with_path("v1/completions").post(post_completion))
        .push(Router::with_path("v1/chat/completions").post(post_chat))
        .push(Router::with_path("v1/models").get(list_models))
        .push(Router::with_path("v1/work/{id}").get(show_async_request))
        .push(Router::with_path("services/{name}/{**path}").goal(call_service))
        .push(Router::with_path("ready").get(show_ready));
    server::serve(listener, Service::new(router), Limits::new(&settings)).await;
}

#[handler]
async fn post_completion(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    handle_completion(CompletionApi::Text, request, depot, response).await;
}

#[handler]
async fn post_chat(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    handle_completion(CompletionApi::Chat, request, depot, response).await;
}

/// Parses a completion, and either accepts it for an asynchronous answer or waits for its answer.
async fn handle_completion(
    api: CompletionApi,
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Some(context) = context(depot) else {
        return;
    };
    let headers = match RequestHeaders::parse(request) {
        Ok(headers) => headers,
        Err(message) => return refuse(response, StatusCode::BAD_REQUEST, &message),
    };
    let body = match read_body(request, &context).await {
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

    let chat = api == CompletionApi::Chat;
    if headers.respond_async {
        return async_requests::accept(&context, headers, fields.model, chat, &body, response)
            .await;
    }
    let payload = RequestPayload::Completion { model: fields.model, chat, body };
    let handle = RequestHandle::submit(&context, payload, headers);
    send_answer(handle, Some(api), fields.stream, response).await;
}

#[handler]
async fn call_service(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let headers = match RequestHeaders::parse(request) {
        Ok(headers) => headers,
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
    let body = match read_body(request, &context).await {
        Ok(body) => body,
        Err(failure) => return refuse(response, failure.status, &failure.message),
    };

    let payload = RequestPayload::Service { service, method, path, content_type, body };
    send_answer(RequestHandle::submit(&context, payload, headers), None, false, response).await;
}

#[handler]
async fn list_models(depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let Some(configuration) = context.configuration().await else {
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
async fn show_async_request(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = context(depot) else {
        return;
    };
    let id = request.param::<String>("id").unwrap_or_default();
    async_requests::fetch(&context, &id, response).await;
}

/// Reports to the platform's balancer whether this entry accepts callers.
#[handler]
async fn show_ready(depot: &mut Depot, response: &mut Response) {
    let is_ready = context(depot).is_some_and(|context| context.is_ready());
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    write_json(response, status, &json!({ "ready": is_ready }));
}

/// The response to a request whose body can't be read.
struct BodyError {
    status: StatusCode,
    message: String,
}

async fn read_body(request: &mut Request, context: &CallerContext) -> Result<Bytes, BodyError> {
    let fault = match context.body_reader.read(request.take_body()).await {
        Ok(body) => return Ok(body),
        Err(fault) => fault,
    };
    let (status, message) = match fault {
        BodyFault::TooLarge(limit_bytes) => {
            (StatusCode::PAYLOAD_TOO_LARGE, format!("body is larger than {limit_bytes} bytes"))
        }
        BodyFault::Broken(error) => {
            (StatusCode::BAD_REQUEST, format!("body can't be read: {error}"))
        }
        BodyFault::Late(read_timeout) => {
            let timeout_ms = read_timeout.as_millis();
            (StatusCode::REQUEST_TIMEOUT, format!("body was not received within {timeout_ms} ms"))
        }
        BodyFault::NoRoom => {
            (StatusCode::SERVICE_UNAVAILABLE, "no memory is left for the body".to_owned())
        }
    };
    log::info!("event=body-refused status={} reason=\"{message}\"", status.as_u16());
    Err(BodyError { status, message })
}

fn context(depot: &Depot) -> Option<CallerContext> {
    depot.get_typed::<CallerContext>().ok().cloned()
}

fn refuse(response: &mut Response, status: StatusCode, message: &str) {
    write_json(response, status, &body::error(message, "parse"));
}

pub(super) fn write_json(response: &mut Response, status: StatusCode, value: &serde_json::Value) {
    response.status_code(status);
    response.render(salvo::writing::Json(value));
}
