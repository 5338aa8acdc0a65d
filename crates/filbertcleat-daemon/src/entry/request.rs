//! Reads callers' requests.

use filbertcleat_base::Class;
use salvo::Request;
use serde::Deserialize;

/// The fields of a completion that filbertcleat itself needs.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionFields {
    pub model: String,
    #[serde(default)]
    pub stream: bool,
}

/// What a caller says in headers.
#[derive(Debug)]
pub(super) struct Marks {
    pub class: Class,
    pub non_idempotent: bool,
    pub key: Option<String>,
    pub deadline_ms: Option<u64>,
    pub respond_async: bool,
}

impl Marks {
    /// The longest idempotency key.
    const KEY_MAX_BYTES: usize = 128;

    /// Reads the headers, or says what is wrong with them.
    pub fn read(request: &Request) -> Result<Self, String> {
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
                let error = |_| format!("x-deadline-ms: {text:?} is no number of milliseconds");
                Some(text.parse::<u64>().map_err(error)?)
            }
            None => None,
        };
        let key = header(request, "idempotency-key")?.map(check_key).transpose()?;
        let respond_async = header(request, "prefer")?
            .is_some_and(|prefer| prefer.split(',').any(|part| part.trim() == "respond-async"));
        Ok(Self { class, non_idempotent, key, deadline_ms, respond_async })
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, String> {
    match request.headers().get(name) {
        None => Ok(None),
        Some(value) => {
            value.to_str().map(Some).map_err(|error| format!("{name}: not plain text: {error}"))
        }
    }
}

fn check_key(key: &str) -> Result<String, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if key.is_empty() || key.len() > Marks::KEY_MAX_BYTES || !key.chars().all(plain) {
        return Err("idempotency-key: use 1 to 128 letters, digits or any of - _ . :".to_owned());
    }
    Ok(key.to_owned())
}
