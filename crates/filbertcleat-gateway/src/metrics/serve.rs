//! Serving metrics.

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

/// Answers each request with all metrics, after `refresh` has set those that are read off.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    metrics: Metrics,
    refresh: impl Fn(&Metrics) + Clone + 'static,
) {
    // A listener that fails for good ends the metrics, but not the process.
    while let Ok((stream, _from)) = listener.accept().await {
        let (metrics, refresh) = (metrics.clone(), refresh.clone());
        spawn_local(async move {
            let service = service_fn(|_request| {
                refresh(&metrics);
                let response = answer(metrics.text());
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

fn answer(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
