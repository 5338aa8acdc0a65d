//! Parsing of callers' requests.

use filbertcleat_base::Class;
use salvo::Request;
use serde::Deserialize;

/// The fields of a completion's body that the entry reads itself.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionFields {
    pub model: String,
    #[serde(default)]
    pub stream: bool,
}

/// The options of a request that a caller sets in headers.
#[derive(Debug)]
pub(super) struct RequestHeaders {
    pub class: Class,
    pub non_idempotent: bool,
    pub idempotency_key: Option<String>,
    pub deadline_ms: Option<u64>,
    /// Whether the caller prefers to fetch the answer later.
    pub respond_async: bool,
}

impl RequestHeaders {
    /// The longest valid idempotency key.
    const IDEMPOTENCY_KEY_MAX_BYTES: usize = 128;

    /// Parses the headers; the error message names the invalid header.
    pub fn parse(request: &Request) -> Result<Self, String> {
        let class = match header(request, "x-class")? {
            Some(text) => text.parse::<Class>().map_err(|error| format!("x-class: {error}"))?,
            None => Class::default(),
        };
        let non_idempotent = match header(request, "x-non-idempotent")? {
            None | Some("false") => false,
            Some("true") => true,
            Some(text) => return Err(format!("x-non-idempotent: {text:?} is not true or false")),
        };
        let deadline_ms = match header(request, "x-deadline-ms")? {
            Some(text) => {
                let error = |_| format!("x-deadline-ms: {text:?} is not a number of milliseconds");
                Some(text.parse::<u64>().map_err(error)?)
            }
            None => None,
        };
        let idempotency_key =
            header(request, "idempotency-key")?.map(parse_idempotency_key).transpose()?;
        let respond_async = header(request, "prefer")?
            .is_some_and(|prefer| prefer.split(',').any(|part| part.trim() == "respond-async"));
        Ok(Self { class, non_idempotent, idempotency_key, deadline_ms, respond_async })
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, String> {
    match request.headers().get(name) {
        None => Ok(None),
        Some(value) => value
            .to_str()
            .map(Some)
            .map_err(|error| format!("{name}: value is not visible ASCII: {error}")),
    }
}

fn parse_idempotency_key(key: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if key.is_empty()
        || key.len() > RequestHeaders::IDEMPOTENCY_KEY_MAX_BYTES
        || !key.chars().all(is_allowed)
    {
        return Err("idempotency-key: use 1 to 128 letters, digits or any of - _ . :".to_owned());
    }
    Ok(key.to_owned())
}
