//! Connections of callers.

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

use super::handle::handle;
use super::socket::Socket;
use super::state::Entry;
use crate::Dialect;
use crate::clock::Clock;

/// The pause after a connection could not be accepted, as when descriptors have run out.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often a connection is looked at for its time limits.
const LOOK: Duration = Duration::from_secs(1);
/// The least buffer that the HTTP library allows.
const BUFFER_MIN_BYTES: usize = 8_192;
/// Idle connections are kept longer than callers reuse them, so that no request crosses a close.
const IDLE_FACTOR: f64 = 1.1;

/// Accepts callers for as long as the process runs.
pub(super) async fn serve_callers<D: Dialect>(entry: Rc<Entry<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _from)) => {
                spawn_local(serve(Rc::clone(&entry), stream));
            }
            Err(error) => {
                log::warn!("event=accept-failed listener=callers reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<D: Dialect>(entry: Rc<Entry<D>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller-gone reason=\"{error}\"");
        return;
    }
    let limits = limits(&entry);
    let activity = Rc::new(Activity::new(entry.clock()));
    let service = service_fn(|request| {
        let entry = Rc::clone(&entry);
        let activity = Rc::clone(&activity);
        activity.begins();
        async move {
            let busy = Busy { activity };
            let mut response = handle(&entry, request, busy).await;
            if entry.stop.is_triggered() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let read = Rc::clone(&activity);
    let watched = Socket::watched(stream, move || read.has_read());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_max_bytes.max(BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(watched), service);
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
            () = tokio::time::sleep(LOOK) => {
                let now = entry.now();
                if activity.is_head_slow(now, limits) {
                    return;
                }
                if !is_closing && (activity.is_idle(now, limits) || entry.is_out()) {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn limits<D: Dialect>(entry: &Entry<D>) -> CallerLimits {
    entry.state.borrow().deployment.as_ref().map(|known| known.limits).unwrap_or_default()
}

/// What a connection does.
#[derive(Debug)]
struct Activity {
    clock: Clock,
    open: Cell<u32>,
    idle_since: Cell<MonoTime>,
    head_since: Cell<Option<MonoTime>>,
}

impl Activity {
    fn new(clock: Clock) -> Self {
        let now = clock.now();
        Self { clock, open: Cell::new(0), idle_since: Cell::new(now), head_since: Cell::new(None) }
    }

    fn begins(&self) {
        self.open.set(self.open.get() + 1);
        self.head_since.set(None);
    }

    fn ends(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        self.idle_since.set(self.clock.now());
    }

    fn has_read(&self) {
        if self.open.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }

    fn is_idle(&self, now: MonoTime, limits: CallerLimits) -> bool {
        let idle_ms = (limits.idle_timeout_ms as f64 * IDLE_FACTOR) as u64;
        self.open.get() == 0
            && self.head_since.get().is_none()
            && now.ms_since(self.idle_since.get()) > idle_ms
    }

    fn is_head_slow(&self, now: MonoTime, limits: CallerLimits) -> bool {
        self.open.get() == 0
            && self
                .head_since
                .get()
                .is_some_and(|since| now.ms_since(since) > limits.header_timeout_ms)
    }
}

/// A request that a connection is busy with, until its answer is written.
#[derive(Debug)]
pub(super) struct Busy {
    activity: Rc<Activity>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.activity.ends();
    }
}
