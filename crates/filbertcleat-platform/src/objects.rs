//! The object store.

use filbertcleat_base::Step;
use http::Method;
use http::StatusCode;

use crate::CallError;
use crate::HttpClient;
use crate::HttpRequest;
use crate::paths;

/// An object store whose writes replace the whole object.
pub trait ObjectStore {
    /// Reads an object; `None` means that there is none.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, CallError>> + Send;

    /// Writes an object.
    fn write(
        &self,
        key: &str,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<(), CallError>> + Send;
}

/// The object store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    client: HttpClient,
    url: String,
}

impl HttpObjectStore {
    /// Creates a client of the object store at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    fn call(&self, method: Method, key: &str) -> HttpRequest {
        HttpRequest::new(Step::Store, method, format!("{}{}{key}", self.url, paths::OBJECT))
    }

    fn unexpected(&self, status: StatusCode) -> CallError {
        let reason = format!("unexpected status {status}");
        CallError {
            sent: true,
            fault: filbertcleat_base::Fault::new(Step::Store, &self.url, reason),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    async fn read(&self, key: &str) -> Result<Option<Vec<u8>>, CallError> {
        let answer = self.client.send(self.call(Method::GET, key)).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.unexpected(status)),
        }
    }

    async fn write(&self, key: &str, value: Vec<u8>) -> Result<(), CallError> {
        let answer = self.client.send(self.call(Method::PUT, key).with_body(value)).await?;
        if answer.status.is_success() { Ok(()) } else { Err(self.unexpected(answer.status)) }
    }
}
