//! A test double of a plain service, served over HTTP.

use std::net::SocketAddr;

use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::Observation;
use crate::Recorder;
use crate::serve_http;

/// A plain service that responds with the path and the body of each request.
#[derive(Debug)]
pub struct FakePlainService {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl FakePlainService {
    /// Starts the service on `address`; with port 0, the system picks a free port.
    pub async fn start(address: SocketAddr, recorder: Recorder) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .hoop(salvo::affix_state::inject(recorder))
            .push(Router::with_path("{**path}").goal(echo));
        Ok(Self { address, task: serve_http(listener, router) })
    }

    /// Returns the base URL of the service, `http://address:port`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for FakePlainService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[handler]
async fn echo(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let path = request.uri().path().to_owned();
    let body = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
    let body = String::from_utf8_lossy(&body).into_owned();
    if let Ok(recorder) = depot.get_typed::<Recorder>() {
        recorder.record(Observation::PlainRequest { path: path.clone(), body: body.clone() });
    }
    response.render(salvo::writing::Json(json!({ "path": path, "body": body })));
}
