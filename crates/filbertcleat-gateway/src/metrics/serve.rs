//! The HTTP endpoint for metrics.

use std::convert::Infallible;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::Metrics;

/// Answers every request with all metrics, after `refresh` has updated the gauges.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    metrics: Metrics,
    refresh: impl Fn(&Metrics) + Clone + 'static,
) {
    // A failure to accept ends the metrics endpoint, but not the process.
    while let Ok((stream, _from)) = listener.accept().await {
        let (metrics, refresh) = (metrics.clone(), refresh.clone());
        spawn_local(async move {
            let service = service_fn(|_request| {
                refresh(&metrics);
                let response = text_response(metrics.render_text());
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("event=metrics-connection-ended reason=\"{error}\"");
            }
        });
    }
    log::warn!("event=metrics-ended");
}

fn text_response(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
