//! An HTTP/1 server with limits on headers and connections.

use std::sync::Arc;

use filbertcleat_config::CallerSettings;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use salvo::Service;
use salvo::conn::ConnCtrl;
use salvo::http::uri::Scheme;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub connections_max: usize,
    pub header_max_bytes: usize,
    pub read_timeout: std::time::Duration,
}

impl Limits {
    pub fn new(settings: &CallerSettings) -> Self {
        Self {
            connections_max: settings.connections_max,
            header_max_bytes: settings.header_max_bytes,
            read_timeout: settings.read_timeout_ms,
        }
    }
}

/// The smallest read buffer that hyper accepts.
const BUFFER_MIN_BYTES: usize = 8192;

/// Serves connections until the task is dropped.
///
/// Connections over the limit wait in the kernel's accept queue.
pub(super) async fn serve(listener: TcpListener, service: Service, limits: Limits) {
    let slots = Arc::new(Semaphore::new(limits.connections_max));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(limits.header_max_bytes.max(BUFFER_MIN_BYTES));

    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let (stream, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept-failed reason=\"{error}\"");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        // Without Nagle's algorithm, the small chunks of an answer are sent at once.
        let _ = stream.set_nodelay(true);
        let Ok(local) = stream.local_addr() else {
            continue;
        };
        let handler = service.hyper_handler(
            local.into(),
            remote.into(),
            Scheme::HTTP,
            None,
            ConnCtrl::new(),
            None,
        );
        let connection = builder.serve_connection(TokioIo::new(stream), handler);
        tokio::spawn(async move {
            // A broken connection drops its `RequestHandle`, which cancels the request.
            let _ = connection.await;
            drop(slot);
        });
    }
}
