//! The HTTP/1.1 server that the test doubles run on.

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use salvo::Router;
use salvo::Service;
use salvo::conn::ConnCtrl;
use salvo::http::uri::Scheme;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Serves `router` on `listener` until the returned task is aborted, which closes all connections.
pub fn serve_http(listener: TcpListener, router: Router) -> JoinHandle<()> {
    tokio::spawn(async move {
        let service = Service::new(router);
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, remote)) = listener.accept().await {
            let Ok(local) = stream.local_addr() else {
                continue;
            };
            // Without TCP_NODELAY, Nagle's algorithm would hold back small chunks of a stream.
            let _ = stream.set_nodelay(true);
            let (local, remote) = (local.into(), remote.into());
            let handler =
                service.hyper_handler(local, remote, Scheme::HTTP, None, ConnCtrl::new(), None);
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
            connections.spawn(async move {
                // Clients may disconnect at any time, so connection errors are ignored.
                let _ = connection.await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}
