//! A plain service over HTTP.

use std::net::SocketAddr;

use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::Observed;
use crate::Seen;
use crate::serve_http;

/// A plain service that answers with what it was sent.
#[derive(Debug)]
pub struct FakePlain {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl FakePlain {
    /// Starts the service on an address; port 0 asks for any free one.
    pub async fn start(address: SocketAddr, observed: Observed) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .hoop(salvo::affix_state::inject(observed))
            .push(Router::with_path("{**path}").goal(echo));
        Ok(Self { address, task: serve_http(listener, router) })
    }

    /// Returns the service's address, as `http://address:port`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for FakePlain {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[handler]
async fn echo(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let path = request.uri().path().to_owned();
    let body = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
    let body = String::from_utf8_lossy(&body).into_owned();
    if let Ok(observed) = depot.get_typed::<Observed>() {
        observed.add(Seen::Plain { path: path.clone(), body: body.clone() });
    }
    response.render(salvo::writing::Json(json!({ "path": path, "body": body })));
}
