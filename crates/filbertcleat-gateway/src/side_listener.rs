//! Listeners for callers of the platform, who need few connections.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::task::yield_now;

use crate::listen::ACCEPT_RETRY_DELAY;
use crate::listen::set_receive_buffer;
use crate::metrics::Metric;
use crate::metrics::Metrics;

/// The most connections of a listener: several for each of a few callers that check or collect.
const SIDE_CONNECTIONS_MAX: usize = 16;
/// The time in which the head of a request has to arrive: several times the interval of checks.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest head, and the most that is read ahead.
const HEAD_MAX_BYTES: usize = 8 * 1024;
/// The size that is asked for the kernel's buffer of a request, whose body is not read.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// Serves a listener for as long as the process runs: every request gets the response that
/// `respond` returns.
///
/// A new connection beyond the most of them closes the oldest, so that a caller who opens many
/// keeps nobody out.
pub(crate) async fn serve_side_listener(
    name: &'static str,
    listener: &TcpListener,
    metrics: &Metrics,
    respond: impl Fn() -> Response<Full<Bytes>> + Clone + 'static,
) {
    set_receive_buffer(&SockRef::from(listener), RECEIVE_BUFFER_BYTES);
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _from)) => stream,
            Err(error) => {
                log::warn!("event=accept-failed listener={name} reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= SIDE_CONNECTIONS_MAX
            && let Some(oldest) = open.pop_front()
        {
            log::info!("event=side-connection-closed listener={name} reason=\"too many are open\"");
            metrics.count(Metric::SideCloses, &[("listener", name)]);
            oldest.abort();
            // The task drops its connection before the next one is accepted.
            yield_now().await;
        }
        let serving = spawn_local(serve_side_connection(name, stream, respond.clone()));
        open.push_back(serving.abort_handle());
    }
}

async fn serve_side_connection(
    name: &'static str,
    stream: TcpStream,
    respond: impl Fn() -> Response<Full<Bytes>>,
) {
    let service = service_fn(|_request| {
        let response = respond();
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("event=side-connection-ended listener={name} reason=\"{error}\"");
    }
}
