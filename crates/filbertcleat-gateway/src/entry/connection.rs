//! Connections from callers and their time limits.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CallerLimits;
use http::HeaderValue;
use http::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::caller_socket::CallerSocket;
use super::close_reason::CloseReason;
pub(super) use super::connection_activity::ActiveRequest;
use super::connection_activity::ConnectionActivity;
use super::handler::handle_request;
use super::response_body::OpenResponse;
use super::response_body::ResponseBody;
use super::state::Entry;
use crate::Dialect;

/// The delay after a connection could not be accepted, for example for lack of file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a connection is checked against its time limits.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest read buffer that hyper accepts.
const BUFFER_MIN_BYTES: usize = 8_192;

/// Accepts connections from callers for as long as the process runs.
pub(super) async fn serve_callers<D: Dialect>(entry: Rc<Entry<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                spawn_local(serve_connection(Rc::clone(&entry), stream, from));
            }
            Err(error) => {
                log::warn!("event=accept-failed listener=callers reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(entry: Rc<Entry<D>>, stream: TcpStream, from: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller-gone reason=\"{error}\"");
        return;
    }
    let limits = caller_limits(&entry);
    let activity = Rc::new(ConnectionActivity::new(entry.clock()));
    let service = service_fn(|request| {
        let entry = Rc::clone(&entry);
        let active = ActiveRequest::begin(&activity);
        let open = OpenResponse::begin(&activity);
        async move {
            let mut response = handle_request(&entry, request, active).await;
            if entry.shutdown.is_triggered() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| ResponseBody::new(body, open)))
        }
    });
    let socket = CallerSocket::new(stream, &activity);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_max_bytes.max(BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    let mut is_closing = false;

    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!("event=caller-connection-ended reason=\"{error}\"");
                }
                return;
            }
            () = tokio::time::sleep(CHECK_INTERVAL) => {
                let now = entry.now();
                if activity.is_head_overdue(now, limits) {
                    log_close(from, CloseReason::HeadOverdue, &activity, now);
                    return;
                }
                let reason = if activity.is_idle(now, limits) {
                    Some(CloseReason::Idle)
                } else {
                    entry.is_out_of_rotation().then_some(CloseReason::Leaving)
                };
                if let (Some(reason), false) = (reason, is_closing) {
                    is_closing = true;
                    log_close(from, reason, &activity, now);
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn caller_limits<D: Dialect>(entry: &Entry<D>) -> CallerLimits {
    entry.state.borrow().deployment.as_ref().map(|known| known.limits).unwrap_or_default()
}

fn log_close(from: SocketAddr, reason: CloseReason, activity: &ConnectionActivity, now: MonoTime) {
    log::info!(
        "event=connection-closed from={from} reason={} requests={} open_ms={} idle_ms={}",
        reason.as_str(),
        activity.requests(),
        activity.open_ms(now),
        activity.idle_ms(now),
    );
}
