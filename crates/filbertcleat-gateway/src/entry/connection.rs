//! Connections from callers and their time limits.

use std::cell::Cell;
use std::convert::Infallible;
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

use super::handler::handle_request;
use super::socket::Socket;
use super::state::Entry;
use crate::Dialect;
use crate::clock::Clock;

/// The delay after a connection could not be accepted, for example for lack of file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a connection is checked against its time limits.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest read buffer that hyper accepts.
const BUFFER_MIN_BYTES: usize = 8_192;
/// Idle connections stay open for this multiple of the configured idle time. Callers stop reusing
/// them earlier, so that no request is sent while the entry closes its connection.
const IDLE_TIMEOUT_FACTOR: f64 = 1.1;

/// Accepts connections from callers for as long as the process runs.
pub(super) async fn serve_callers<D: Dialect>(entry: Rc<Entry<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _from)) => {
                spawn_local(serve_connection(Rc::clone(&entry), stream));
            }
            Err(error) => {
                log::warn!("event=accept-failed listener=callers reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(entry: Rc<Entry<D>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller-gone reason=\"{error}\"");
        return;
    }
    let limits = caller_limits(&entry);
    let activity = Rc::new(Activity::new(entry.clock()));
    let service = service_fn(|request| {
        let entry = Rc::clone(&entry);
        let activity = Rc::clone(&activity);
        activity.begin_request();
        async move {
            let active = ActiveRequest { activity };
            let mut response = handle_request(&entry, request, active).await;
            if entry.shutdown.is_triggered() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let reader_activity = Rc::clone(&activity);
    let socket = Socket::with_read_callback(stream, move || reader_activity.on_read());
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
                    return;
                }
                if !is_closing && (activity.is_idle(now, limits) || entry.is_out_of_rotation()) {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn caller_limits<D: Dialect>(entry: &Entry<D>) -> CallerLimits {
    entry.state.borrow().deployment.get().map(|known| known.limits).unwrap_or_default()
}

/// The activity of a connection, which its time limits are checked against.
#[derive(Debug)]
struct Activity {
    clock: Clock,
    open_requests: Cell<u32>,
    idle_since: Cell<MonoTime>,
    /// When the first bytes of the next request arrived, while its head is incomplete.
    head_since: Cell<Option<MonoTime>>,
}

impl Activity {
    fn new(clock: Clock) -> Self {
        let now = clock.now();
        Self {
            clock,
            open_requests: Cell::new(0),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
        }
    }

    fn begin_request(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.head_since.set(None);
    }

    fn end_request(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
        self.idle_since.set(self.clock.now());
    }

    fn on_read(&self) {
        if self.open_requests.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }

    fn is_idle(&self, now: MonoTime, limits: CallerLimits) -> bool {
        let idle_ms = (limits.idle_timeout_ms as f64 * IDLE_TIMEOUT_FACTOR) as u64;
        self.open_requests.get() == 0
            && self.head_since.get().is_none()
            && now.ms_since(self.idle_since.get()) > idle_ms
    }

    fn is_head_overdue(&self, now: MonoTime, limits: CallerLimits) -> bool {
        self.open_requests.get() == 0
            && self
                .head_since
                .get()
                .is_some_and(|since| now.ms_since(since) > limits.header_timeout_ms)
    }
}

/// Marks its connection as active until the response has been written.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    activity: Rc<Activity>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.activity.end_request();
    }
}
