//! The HTTP endpoint for metrics.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use tokio::net::TcpListener;

use super::Metrics;
use crate::side_listener::serve_side_listener;

/// Answers every request with all metrics, after `refresh` has updated the gauges.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    metrics: Metrics,
    refresh: impl Fn(&Metrics) + Clone + 'static,
) {
    let served = metrics.clone();
    let respond = move || {
        refresh(&served);
        text_response(served.render_text())
    };
    serve_side_listener("metrics", &listener, &metrics, respond).await;
}

fn text_response(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
