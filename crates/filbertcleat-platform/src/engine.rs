//! Model engines.

mod call;
mod event;
mod listing;
mod stream;

use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::AdapterRef;
use filbertcleat_base::Fault;
use filbertcleat_base::Fence;
use filbertcleat_base::ModelName;
use filbertcleat_base::Step;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::json;

pub use self::call::CompletionRequest;
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

/// An engine over HTTP.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: HttpClient,
    url: String,
}

impl EngineClient {
    /// Creates a client of the engine at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    /// Starts a completion and returns its stream.
    pub async fn complete(&self, call: &CompletionRequest<'_>) -> Result<EngineStream, CallError> {
        let path = if call.chat { paths::ENGINE_CHAT } else { paths::ENGINE_COMPLETIONS };
        let mut http = HttpRequest::new(Step::Call, Method::POST, self.at(path))
            .with_header("content-type", "application/json")
            .with_header(paths::CALL_ID_HEADER, call.id)
            .with_body(call.to_json());
        if let Some(fence) = call.fence {
            http = http.with_header(paths::FENCE_HEADER, &fence.to_string());
        }

        let response = self.client.send_streaming(http).await?;
        if response.status() == StatusCode::OK {
            return Ok(EngineStream::new(response.into_body(), self.url.clone()));
        }
        let status = response.status();
        // An engine that answers with an error has not begun the call.
        Err(CallError { sent: false, fault: self.fault(Step::Call, format!("status {status}")) })
    }

    /// Orders a load, which may take up to `timeout`.
    pub async fn load(
        &self,
        adapter: &AdapterRef,
        fence: Option<Fence>,
        timeout: Duration,
    ) -> Result<(), CallError> {
        let order = json!({ "lora_name": adapter.to_string(), "lora_version": adapter.version });
        self.order(Step::Load, paths::ENGINE_LOAD_ADAPTER, &order, fence, Some(timeout)).await
    }

    /// Orders an adapter to be taken out.
    pub async fn unload(
        &self,
        adapter: &AdapterRef,
        fence: Option<Fence>,
    ) -> Result<(), CallError> {
        let order = json!({ "lora_name": adapter.to_string() });
        self.order(Step::Load, paths::ENGINE_UNLOAD_ADAPTER, &order, fence, None).await
    }

    /// Orders another role.
    pub async fn set_role(&self, role: &str, fence: Option<Fence>) -> Result<(), CallError> {
        self.order(Step::Load, paths::ENGINE_ROLE, &json!({ "role": role }), fence, None).await
    }

    /// Orders a base model to be loaded, which may take up to `timeout`.
    pub async fn load_model(
        &self,
        model: &ModelName,
        fence: Option<Fence>,
        timeout: Duration,
    ) -> Result<(), CallError> {
        let order = json!({ "model": model });
        self.order(Step::Load, paths::ENGINE_MODEL, &order, fence, Some(timeout)).await
    }

    /// Cancels a call, and returns once the engine has let go of it.
    pub async fn cancel(&self, id: &str) -> Result<(), CallError> {
        let order = json!({ "id": id });
        self.order(Step::Call, paths::ENGINE_CANCEL, &order, None, None).await
    }

    /// Lists the adapters that the engine holds.
    pub async fn adapters(&self) -> Result<AdapterListing, CallError> {
        self.read(paths::ENGINE_ADAPTERS).await
    }

    /// Reads the engine's lagging report of its load.
    pub async fn stats(&self) -> Result<EngineStats, CallError> {
        self.read(paths::ENGINE_LOAD).await
    }

    /// Reads the cache events after a number; some may be missing.
    pub async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, CallError> {
        self.read(&format!("{}?after={after}", paths::ENGINE_CACHE_EVENTS)).await
    }

    async fn order(
        &self,
        step: Step,
        path: &str,
        order: &serde_json::Value,
        fence: Option<Fence>,
        timeout: Option<Duration>,
    ) -> Result<(), CallError> {
        let mut call = HttpRequest::new(step, Method::POST, self.at(path)).with_json(order);
        if let Some(fence) = fence {
            call = call.with_header(paths::FENCE_HEADER, &fence.to_string());
        }
        if let Some(timeout) = timeout {
            call = call.with_timeout(timeout);
        }
        let answer = self.client.send(call).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(CallError { sent: false, fault: self.fault(step, refusal(&answer)) })
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let answer =
            self.client.send(HttpRequest::new(Step::Call, Method::GET, self.at(path))).await?;
        let refused = || CallError { sent: false, fault: self.fault(Step::Call, refusal(&answer)) };
        if !answer.status.is_success() {
            return Err(refused());
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| CallError { sent: true, fault: self.fault(Step::Call, error) })
    }

    fn at(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    fn fault(&self, step: Step, reason: impl std::fmt::Display) -> Fault {
        Fault::new(step, &self.url, reason)
    }
}

fn refusal(answer: &HttpResponse) -> String {
    let body: &Bytes = &answer.body;
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
    format!("status {}: {text}", answer.status)
}
