//! The client of the platform's VM list.

mod vm;

use filbertcleat_base::Step;
use http::StatusCode;

pub use self::vm::Vm;
pub use self::vm::VmState;
use crate::HttpClient;
use crate::HttpRequest;
use crate::paths;

/// An HTTP client of the VM list, which lags behind the actual VMs.
#[derive(Clone, Debug)]
pub struct VmListClient {
    client: HttpClient,
    url: String,
}

impl VmListClient {
    /// Creates a client for the VM list at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    /// Returns the listed VMs, or `None` if the request fails.
    pub async fn list(&self) -> Option<Vec<Vm>> {
        let url = format!("{}{}", self.url, paths::VMS);
        let request = HttpRequest::read(Step::Store, url, self.client.timeout());
        let response = self.client.send(request).await.ok()?;
        if response.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&response.body).ok()
    }
}
