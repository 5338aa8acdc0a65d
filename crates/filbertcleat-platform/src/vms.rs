//! The platform's list of VMs.

mod vm;

use filbertcleat_base::Step;
use http::Method;
use http::StatusCode;

pub use self::vm::Vm;
pub use self::vm::VmState;
use crate::HttpClient;
use crate::HttpRequest;
use crate::paths;

/// The VM list over HTTP; it lags behind the VMs.
#[derive(Clone, Debug)]
pub struct VmListClient {
    client: HttpClient,
    url: String,
}

impl VmListClient {
    /// Creates a client of the list at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    /// Reads the list; `None` means that the platform gave no answer.
    pub async fn list(&self) -> Option<Vec<Vm>> {
        let call =
            HttpRequest::new(Step::Store, Method::GET, format!("{}{}", self.url, paths::VMS));
        let answer = self.client.send(call).await.ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&answer.body).ok()
    }
}
