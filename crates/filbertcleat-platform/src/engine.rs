//! The client of a model engine.

mod completion_request;
mod event;
mod listing;
mod stream;

use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::AdapterRef;
use filbertcleat_base::Fault;
use filbertcleat_base::FencingToken;
use filbertcleat_base::ModelName;
use filbertcleat_base::Step;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::json;

pub use self::completion_request::CompletionRequest;
pub use self::event::EngineEvent;
pub use self::listing::AdapterListing;
pub use self::listing::CacheEvent;
pub use self::listing::EngineAdapter;
pub use self::listing::EngineStats;
pub use self::stream::EngineStream;
use crate::CallError;
use crate::HttpClient;
use crate::HttpRequest;
use crate::HttpResponse;
use crate::paths;

/// An HTTP client of a model engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: HttpClient,
    url: String,
}

impl EngineClient {
    /// Creates a client for the engine at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    /// Starts a completion and returns its stream of events.
    pub async fn complete(
        &self,
        completion: &CompletionRequest<'_>,
    ) -> Result<EngineStream, CallError> {
        let path = if completion.chat { paths::ENGINE_CHAT } else { paths::ENGINE_COMPLETIONS };
        let mut request = HttpRequest::new(Step::Call, Method::POST, self.url_of(path))
            .with_header("content-type", "application/json")
            .with_header(paths::CALL_ID_HEADER, completion.id)
            .with_body(completion.to_json());
        if let Some(fence) = completion.fence {
            request = request.with_header(paths::FENCE_HEADER, &fence.to_string());
        }

        let response = self.client.send_streaming(request).await?;
        if response.status() == StatusCode::OK {
            return Ok(EngineStream::new(response.into_body(), self.url.clone()));
        }
        let status = response.status();
        // An engine that responds with an error has not started the call.
        Err(CallError { sent: false, fault: self.fault(Step::Call, format!("status {status}")) })
    }

    /// Loads an adapter, within `timeout`.
    pub async fn load(
        &self,
        adapter: &AdapterRef,
        fence: Option<FencingToken>,
        timeout: Duration,
    ) -> Result<(), CallError> {
        let order = json!({ "lora_name": adapter.to_string(), "lora_version": adapter.version });
        self.send_order(Step::Load, paths::ENGINE_LOAD_ADAPTER, &order, fence, Some(timeout)).await
    }

    /// Unloads an adapter.
    pub async fn unload(
        &self,
        adapter: &AdapterRef,
        fence: Option<FencingToken>,
    ) -> Result<(), CallError> {
        let order = json!({ "lora_name": adapter.to_string() });
        self.send_order(Step::Load, paths::ENGINE_UNLOAD_ADAPTER, &order, fence, None).await
    }

    /// Sets the engine's role.
    pub async fn set_role(&self, role: &str, fence: Option<FencingToken>) -> Result<(), CallError> {
        self.send_order(Step::Load, paths::ENGINE_ROLE, &json!({ "role": role }), fence, None).await
    }

    /// Loads a base model, within `timeout`.
    pub async fn load_model(
        &self,
        model: &ModelName,
        fence: Option<FencingToken>,
        timeout: Duration,
    ) -> Result<(), CallError> {
        let order = json!({ "model": model });
        self.send_order(Step::Load, paths::ENGINE_MODEL, &order, fence, Some(timeout)).await
    }

    /// Cancels a call and returns once the engine has stopped it.
    pub async fn cancel(&self, id: &str) -> Result<(), CallError> {
        let order = json!({ "id": id });
        self.send_order(Step::Call, paths::ENGINE_CANCEL, &order, None, None).await
    }

    /// Lists the loaded adapters.
    pub async fn adapters(&self) -> Result<AdapterListing, CallError> {
        self.fetch_json(paths::ENGINE_ADAPTERS).await
    }

    /// Returns the engine's load statistics, which lag behind its state.
    pub async fn stats(&self) -> Result<EngineStats, CallError> {
        self.fetch_json(paths::ENGINE_LOAD).await
    }

    /// Returns the prefix cache events after the event with the given number; some may be missing.
    pub async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, CallError> {
        self.fetch_json(&format!("{}?after={after}", paths::ENGINE_CACHE_EVENTS)).await
    }

    async fn send_order(
        &self,
        step: Step,
        path: &str,
        order: &serde_json::Value,
        fence: Option<FencingToken>,
        timeout: Option<Duration>,
    ) -> Result<(), CallError> {
        let mut request = HttpRequest::new(step, Method::POST, self.url_of(path)).with_json(order);
        if let Some(fence) = fence {
            request = request.with_header(paths::FENCE_HEADER, &fence.to_string());
        }
        if let Some(timeout) = timeout {
            request = request.with_timeout(timeout);
        }
        let response = self.client.send(request).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(CallError { sent: false, fault: self.fault(step, error_reason(&response)) })
    }

    async fn fetch_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let response =
            self.client.send(HttpRequest::new(Step::Call, Method::GET, self.url_of(path))).await?;
        let status_error =
            || CallError { sent: false, fault: self.fault(Step::Call, error_reason(&response)) };
        if !response.status.is_success() {
            return Err(status_error());
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| CallError { sent: true, fault: self.fault(Step::Call, error) })
    }

    fn url_of(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    fn fault(&self, step: Step, reason: impl std::fmt::Display) -> Fault {
        Fault::new(step, &self.url, reason)
    }
}

/// Returns the status and the first 200 bytes of an error response.
fn error_reason(response: &HttpResponse) -> String {
    let body: &Bytes = &response.body;
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
    format!("status {}: {text}", response.status)
}
