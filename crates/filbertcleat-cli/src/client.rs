//! HTTP calls to an entry's interface for operators.

use std::time::Duration;

use filbertcleat_base::Step;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpRequest;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::ClientError;
use crate::options::Invocation;

/// The timeout of a call; a patch waits up to 10 s for the table service.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Gets a value of type `T` from the entry.
pub async fn get<T: DeserializeOwned>(
    invocation: &Invocation,
    path: &str,
) -> Result<T, ClientError> {
    let body = send(invocation, Method::GET, path, &Value::Null).await?;
    serde_json::from_value(body)
        .map_err(|error| ClientError::unreachable(format!("response can't be read: {error}")))
}

/// Sends a request to the entry and returns the JSON body of its response.
pub async fn send(
    invocation: &Invocation,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Value, ClientError> {
    let url = format!("http://{}{path}", invocation.entry.trim_start_matches("http://"));
    let mut call = HttpRequest::new(Step::Patch, method, url)
        .with_header("authorization", &format!("Bearer {}", invocation.token))
        .with_header("x-operator", invocation.operator.as_str());
    if !body.is_null() {
        call = call.with_json(body);
    }

    let response =
        HttpClient::new(CALL_TIMEOUT).send(call).await.map_err(ClientError::unreachable)?;
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if response.status.is_success() {
        return Ok(value);
    }
    let message = value["error"]["message"].as_str().unwrap_or("no reason given");
    let reason = format!("{message} (status {})", response.status.as_u16());
    if response.status == StatusCode::BAD_GATEWAY {
        return Err(ClientError::Unknown { reason });
    }
    Err(ClientError::Refused { reason })
}
