//! The client of the object store.

use filbertcleat_base::Step;
use http::Method;
use http::StatusCode;

use crate::CallError;
use crate::HttpClient;
use crate::HttpRequest;
use crate::paths;

/// An object store with whole-object reads and writes.
pub trait ObjectStore {
    /// Reads an object; returns `None` if it doesn't exist.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, CallError>> + Send;

    /// Writes an object, replacing an existing one.
    fn write(
        &self,
        key: &str,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<(), CallError>> + Send;
}

/// An HTTP client of the object store.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    client: HttpClient,
    url: String,
}

impl HttpObjectStore {
    /// Creates a client for the object store at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    fn url_of(&self, key: &str) -> String {
        format!("{}{}{key}", self.url, paths::OBJECT)
    }

    fn unexpected_status(&self, status: StatusCode) -> CallError {
        let reason = format!("unexpected status {status}");
        CallError {
            sent: true,
            fault: filbertcleat_base::Fault::new(Step::Store, &self.url, reason),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    async fn read(&self, key: &str) -> Result<Option<Vec<u8>>, CallError> {
        let request = HttpRequest::read(Step::Store, self.url_of(key), self.client.timeout());
        let response = self.client.send(request).await?;
        match response.status {
            StatusCode::OK => Ok(Some(response.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.unexpected_status(status)),
        }
    }

    async fn write(&self, key: &str, value: Vec<u8>) -> Result<(), CallError> {
        let request = HttpRequest::new(Step::Store, Method::PUT, self.url_of(key));
        let response = self.client.send(request.with_body(value)).await?;
        if response.status.is_success() {
            Ok(())
        } else {
            Err(self.unexpected_status(response.status))
        }
    }
}
