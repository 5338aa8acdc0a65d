//! The readiness endpoint for the load balancer.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use tokio::net::TcpListener;

use super::state::Entry;
use crate::Dialect;
use crate::side_listener::serve_side_listener;

/// Serves readiness checks for as long as the process runs: 200 if ready, else 503.
pub(super) async fn serve_readiness<D: Dialect>(entry: Rc<Entry<D>>, listener: Rc<TcpListener>) {
    let metrics = entry.metrics.clone();
    let respond = move || readiness_response(entry.is_ready());
    serve_side_listener("readiness", &listener, &metrics, respond).await;
}

fn readiness_response(is_ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
