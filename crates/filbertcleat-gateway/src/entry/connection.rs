//! Connections from callers and their time limits.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::MonoTime;
use http::HeaderValue;
use http::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

use super::caller_socket::CallerSocket;
use super::close_reason::CloseReason;
pub(super) use super::connection_activity::ActiveRequest;
use super::connection_activity::ConnectionActivity;
use super::discard::discard_request;
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
    let stream = Rc::new(stream);
    let activity = Rc::new(ConnectionActivity::new(entry.clock()));
    let mut unread = Bytes::new();
    let mut is_closing = false;
    let is_request_unread = loop {
        let service = service_fn(|request| {
            let entry = Rc::clone(&entry);
            let active = ActiveRequest::begin(&activity);
            let open = OpenResponse::begin(&activity);
            let activity = Rc::clone(&activity);
            async move {
                let mut response = handle_request(&entry, request, active).await;
                if entry.shutdown.is_triggered() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                if response.headers().contains_key(CONNECTION) {
                    activity.end_after_response();
                }
                Ok::<_, Infallible>(response.map(|body| ResponseBody::new(body, open)))
            }
        });
        let header_max_bytes = entry.caller_limits().header_max_bytes;
        let socket = CallerSocket::new(&stream, &activity, unread);
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(header_max_bytes.max(BUFFER_MIN_BYTES))
            .serve_connection(TokioIo::new(socket), service);
        let mut checks = check_interval(CHECK_INTERVAL);
        let progress = poll_fn(|context| {
            if let Poll::Ready(ended) = Pin::new(&mut connection).poll(context) {
                return Poll::Ready(Progress::Ended(ended));
            }
            let is_outdated = entry.caller_limits().header_max_bytes != header_max_bytes;
            if is_outdated && activity.is_quiet() {
                return Poll::Ready(Progress::Outdated);
            }
            while checks.poll_tick(context).is_ready() {
                let now = entry.now();
                let Some(reason) = due_close(&entry, &activity, now) else { continue };
                if !is_closing {
                    is_closing = true;
                    log_close(from, reason, &activity, now);
                }
                if reason == CloseReason::HeadOverdue {
                    return Poll::Ready(Progress::Ended(Ok(())));
                }
                Pin::new(&mut connection).graceful_shutdown();
                context.waker().wake_by_ref();
            }
            Poll::Pending
        });
        match progress.await {
            Progress::Ended(Ok(())) => break activity.is_ending(),
            Progress::Ended(Err(error)) => {
                log::debug!("event=caller-connection-ended reason=\"{error}\"");
                break error.is_parse();
            }
            Progress::Outdated => unread = connection.into_parts().read_buf,
        }
    };
    if is_request_unread {
        discard_request(&stream, entry.caller_limits().body_max_bytes).await;
    }
}

/// Returns an interval whose first tick is one period away.
fn check_interval(period: Duration) -> Interval {
    let mut checks = tokio::time::interval_at(Instant::now() + period, period);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    checks
}

/// What has become of a connection.
enum Progress {
    /// The connection has ended.
    Ended(hyper::Result<()>),
    /// The connection is quiet, and its buffer has the size of an older configuration.
    Outdated,
}

/// Returns why the entry has to close a connection, if it has to.
fn due_close<D: Dialect>(
    entry: &Entry<D>,
    activity: &ConnectionActivity,
    now: MonoTime,
) -> Option<CloseReason> {
    let idle_since = activity.idle_since();
    let is_idle = now.ms_since(idle_since) > entry.idle_close_ms(idle_since);
    if activity.is_head_overdue(now, entry.caller_limits().header_timeout_ms) {
        Some(CloseReason::HeadOverdue)
    } else if activity.is_quiet() && is_idle {
        Some(CloseReason::Idle)
    } else {
        entry.is_out_of_rotation().then_some(CloseReason::Leaving)
    }
}

fn log_close(from: SocketAddr, reason: CloseReason, activity: &ConnectionActivity, now: MonoTime) {
    log::info!(
        "event=connection-closed from={from} reason={} requests={} open_ms={} idle_ms={}",
        reason.as_str(),
        activity.requests(),
        activity.open_ms(now),
        now.ms_since(activity.idle_since()),
    );
}
