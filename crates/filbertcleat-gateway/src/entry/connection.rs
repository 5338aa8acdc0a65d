//! Connections from callers and their time limits.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;

use super::DRAIN_CHECK_INTERVAL;
use super::caller_socket::CallerSocket;
use super::close_reason::CloseReason;
pub(super) use super::connection_activity::ActiveRequest;
use super::connection_activity::ConnectionActivity;
use super::handler::handle_request;
use super::receive_buffer::limit_receive_buffers;
use super::response_body::OpenResponse;
use super::response_body::ResponseBody;
use super::state::Entry;
use super::stream_close::close_after_response;
use super::stream_close::close_idle;
use super::stream_close::has_unread_bytes;
use crate::Dialect;
use crate::listen::ACCEPT_RETRY_DELAY;
use crate::metrics::Metric;
use crate::panics::contain;

/// How often a connection is checked against its time limits.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection to a leaving entry has to be idle before it is closed: some network round
/// trips, so that the first request on a new connection, or one sent on reading a response that did
/// not yet announce the close, is answered.
const LEAVING_IDLE_MS: u64 = 200;
/// The size that is asked for the kernel's buffer of a response; Linux doubles it. The kernel tells
/// of room only once a third of the buffer is free, so that with the default size, which grows to
/// megabytes, a caller that reads 100 kB a second would seem to have stopped for longer than a
/// stalled one is kept.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Accepts connections from callers for as long as the process runs.
pub(super) async fn serve_callers<D: Dialect>(entry: Rc<Entry<D>>, listener: Rc<TcpListener>) {
    limit_receive_buffers(&listener);
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let held = entry.caller_memory.held();
                let activity = Rc::new(ConnectionActivity::new(entry.clock(), held));
                let limits = entry.caller_limits();
                let opened = entry.connections.open(entry.now(), limits, &activity);
                let Some(open) = opened else {
                    log_close(&entry, from, CloseReason::Refused, &activity);
                    continue;
                };
                let has_replaced = open.has_replaced();
                let entry = Rc::clone(&entry);
                spawn_local(async move {
                    let metrics = entry.metrics.clone();
                    let serving = serve_connection(entry, stream, from, activity);
                    contain("connection", &metrics, serving).await;
                    drop(open);
                });
                if has_replaced {
                    // The other connection is closed before the next one is accepted.
                    yield_now().await;
                }
            }
            Err(error) => {
                log::warn!("event=accept-failed listener=callers reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(
    entry: Rc<Entry<D>>,
    stream: TcpStream,
    from: SocketAddr,
    activity: Rc<ConnectionActivity>,
) {
    if let Err(error) = set_options(&stream) {
        log::debug!("event=caller-gone reason=\"{error}\"");
        return;
    }
    let stream = Rc::new(stream);
    let mut unread = Bytes::new();
    let has_responded = loop {
        let service = service_fn(|request| {
            let entry = Rc::clone(&entry);
            let active = ActiveRequest::begin(&activity, &stream);
            let open = OpenResponse::begin(&activity, request.version());
            let activity = Rc::clone(&activity);
            let stream = Rc::clone(&stream);
            async move {
                let mut response = handle_request(&entry, request, active).await;
                if entry.shutdown.is_triggered() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                if response.headers().contains_key(CONNECTION) {
                    activity.end_after_response();
                }
                let response = response.map(|body| ResponseBody::new(body, open));
                if response.body().is_end_unmarked() {
                    // The kernel closes the connections of a process that ends.
                    reset_on_close(&stream);
                    activity.end_unmarked();
                }
                Ok::<_, Infallible>(response)
            }
        });
        let head_max_bytes = entry.connections.head_max_bytes(entry.caller_limits());
        let socket = CallerSocket::new(&stream, &activity, unread);
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(head_max_bytes)
            .serve_connection(TokioIo::new(socket), service);
        let mut check = pin!(tokio::time::sleep(check_interval(&entry)));
        let mut replaced = pin!(activity.replaced());
        let progress = poll_fn(|context| {
            if replaced.as_mut().poll(context).is_ready() {
                return Poll::Ready(Progress::Replaced);
            }
            if let Poll::Ready(ended) = Pin::new(&mut connection).poll(context) {
                return Poll::Ready(Progress::Ended(ended));
            }
            let is_outdated =
                entry.connections.head_max_bytes(entry.caller_limits()) != head_max_bytes;
            if is_outdated && activity.is_quiet() {
                return Poll::Ready(Progress::Outdated);
            }
            while check.as_mut().poll(context).is_ready() {
                check.as_mut().reset(Instant::now() + check_interval(&entry));
                let Some(reason) = due_close(&entry, &activity) else { continue };
                let is_stalled = reason == CloseReason::ReaderStalled;
                if is_stalled || !has_unread_bytes(&stream) {
                    log_close(&entry, from, reason, &activity);
                    let due = if is_stalled { Progress::Stalled } else { Progress::Due };
                    return Poll::Ready(due);
                }
            }
            Poll::Pending
        });
        match progress.await {
            Progress::Ended(ended) => {
                if let Err(error) = ended {
                    log::debug!("event=caller-connection-ended reason=\"{error}\"");
                }
                if activity.is_reset_due() {
                    reset_on_close(&stream);
                    return;
                }
                break true;
            }
            Progress::Due => break false,
            Progress::Stalled => {
                // The kernel must not keep the rest of the response for the caller.
                reset_on_close(&stream);
                return;
            }
            Progress::Replaced => {
                log_close(&entry, from, CloseReason::Replaced, &activity);
                return;
            }
            Progress::Outdated => unread = connection.into_parts().read_buf,
        }
    };
    activity.begin_ending();
    let ending = async {
        if has_responded {
            close_after_response(&stream, entry.caller_limits().body_max_bytes).await;
        } else {
            close_idle(&stream).await;
        }
    };
    tokio::select! {
        biased;
        () = activity.replaced() => log_close(&entry, from, CloseReason::Replaced, &activity),
        () = ending => {}
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}

/// Lets the kernel reset the connection when the stream is dropped.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("event=caller-gone reason=\"{error}\"");
    }
}

fn check_interval<D: Dialect>(entry: &Entry<D>) -> Duration {
    if entry.shutdown.is_triggered() { DRAIN_CHECK_INTERVAL } else { CHECK_INTERVAL }
}

/// What has become of a connection.
enum Progress {
    /// The connection has ended.
    Ended(hyper::Result<()>),
    /// The entry closes the connection.
    Due,
    /// The entry resets the connection, as the caller has stopped reading.
    Stalled,
    /// The connection makes room for another one.
    Replaced,
    /// The connection is quiet, and its buffer has the size of an older configuration.
    Outdated,
}

/// Returns why the entry has to close a connection, if it has to.
fn due_close<D: Dialect>(entry: &Entry<D>, activity: &ConnectionActivity) -> Option<CloseReason> {
    let now = entry.now();
    let idle_since = activity.idle_since();
    let idle_ms = now.ms_since(idle_since);
    if activity.is_head_overdue(now, entry.caller_limits().header_timeout_ms) {
        Some(CloseReason::HeadOverdue)
    } else if activity.check_reader_stall(now) {
        Some(CloseReason::ReaderStalled)
    } else if !activity.is_quiet() {
        None
    } else if idle_ms > entry.idle_close_ms(idle_since) {
        Some(CloseReason::Idle)
    } else {
        let is_leaving = entry.is_out_of_rotation() && idle_ms > LEAVING_IDLE_MS;
        is_leaving.then_some(CloseReason::Leaving)
    }
}

fn log_close<D: Dialect>(
    entry: &Entry<D>,
    from: SocketAddr,
    reason: CloseReason,
    activity: &ConnectionActivity,
) {
    let now = entry.now();
    entry.metrics.count(Metric::ConnectionCloses, &[("reason", reason.as_str())]);
    log::info!(
        "event=connection-closed from={from} reason={} requests={} open_ms={} idle_ms={} \
         unread_bytes={}",
        reason.as_str(),
        activity.requests(),
        activity.open_ms(now),
        now.ms_since(activity.idle_since()),
        activity.buffered_bytes(),
    );
}
