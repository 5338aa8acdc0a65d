//! A plain HTTP server for stand-ins.

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use salvo::Router;
use salvo::Service;
use salvo::conn::ConnCtrl;
use salvo::http::uri::Scheme;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Serves a router until the task is aborted, which cuts its connections off.
pub fn serve_http(listener: TcpListener, router: Router) -> JoinHandle<()> {
    tokio::spawn(async move {
        let service = Service::new(router);
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, remote)) = listener.accept().await {
            let Ok(local) = stream.local_addr() else {
                continue;
            };
            // Small pieces of an answer must not wait for each other.
            let _ = stream.set_nodelay(true);
            let (local, remote) = (local.into(), remote.into());
            let handler =
                service.hyper_handler(local, remote, Scheme::HTTP, None, ConnCtrl::new(), None);
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
            connections.spawn(async move {
                // A caller that breaks off is no concern of a stand-in.
                let _ = connection.await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}
