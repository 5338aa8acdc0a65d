//! The readiness endpoint for the load balancer.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::state::Entry;
use crate::Dialect;

/// Serves readiness checks for as long as the process runs: 200 if ready, else 503.
pub(super) async fn serve_readiness<D: Dialect>(entry: Rc<Entry<D>>, listener: Rc<TcpListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _from)) => stream,
            Err(error) => {
                log::warn!("event=accept-failed listener=readiness reason=\"{error}\"");
                tokio::time::sleep(super::connection::ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let entry = Rc::clone(&entry);
        spawn_local(async move {
            let service = service_fn(|_request| {
                let is_ready = entry.is_ready();
                async move { Ok::<_, Infallible>(readiness_response(is_ready)) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("event=readiness-connection-ended reason=\"{error}\"");
            }
        });
    }
}

fn readiness_response(is_ready: bool) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
