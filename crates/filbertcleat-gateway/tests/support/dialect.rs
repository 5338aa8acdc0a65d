//! A dialect with short header names.

use filbertcleat_base::ModelName;
use filbertcleat_gateway::ApiKey;
use filbertcleat_gateway::AttemptCaller;
use filbertcleat_gateway::AttemptMetadata;
use filbertcleat_gateway::Dialect;
use filbertcleat_gateway::RequestMetadata;
use filbertcleat_gateway::ResponseMetadata;
use filbertcleat_gateway::ServerIdentity;
use filbertcleat_gateway::ServerNotice;
use filbertcleat_serve::KeyHash;
use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::PromptPart;
use filbertcleat_serve::RequestLimit;
use filbertcleat_serve::RequestedPause;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceSpec;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;

/// A dialect with short header names.
#[derive(Clone, Copy, Debug)]
pub struct TestDialect;

impl Dialect for TestDialect {
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata {
        assert!(!headers.contains_key("x-panic"), "a request that panics");
        RequestMetadata {
            id: text(headers, "x-id"),
            deadline_ms: text(headers, "x-wait-ms").and_then(|text| text.parse().ok()),
            api_key: match headers.get_all("x-key").iter().collect::<Vec<_>>()[..] {
                [] => ApiKey::Missing,
                [key] => ApiKey::Given(KeyHash::of(key.as_bytes())),
                _ => ApiKey::Several,
            },
            model: text(headers, "x-model").map(|text| ModelName::new(&text)),
            prompt_parts: text(headers, "x-parts")
                .map(|text| text.split(',').map(part).collect())
                .unwrap_or_default(),
            prompt_tokens: text(headers, "x-prompt")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            last_event_id: text(headers, "x-after").and_then(|text| text.parse().ok()),
            resumed_request: text(headers, "x-resumes"),
            ..RequestMetadata::default()
        }
    }

    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata) {
        headers.insert("x-wait-ms", HeaderValue::from(metadata.deadline_ms));
        headers
            .insert("x-server", HeaderValue::from_str(metadata.server.as_str()).expect("plain id"));
        if metadata.caller != AttemptCaller::Unchecked {
            headers.remove("x-key");
            headers.remove("x-workspace");
        }
        if let AttemptCaller::Workspace(name) = &metadata.caller {
            let name = HeaderValue::from_str(name.as_str()).expect("plain name");
            headers.insert("x-workspace", name);
        }
        if let Some(after) = metadata.resume_after {
            headers.insert("x-after", HeaderValue::from(after));
        }
    }

    fn parse_response(&self, headers: &HeaderMap) -> ResponseMetadata {
        ResponseMetadata {
            id: text(headers, "x-id"),
            is_sealed: headers.contains_key("x-seal"),
            is_not_run: headers.contains_key("x-not-run"),
            server: text(headers, "x-server").map(|text| ServerId::new(&text)),
            is_encoded: false,
            notice: ServerNotice {
                is_leaving: headers.contains_key("x-leaving"),
                limit: text(headers, "x-limit").map_or(NamedLimit::Absent, |text| {
                    let limit = text.parse().ok().and_then(RequestLimit::per_second);
                    limit.map_or(NamedLimit::Unreadable, NamedLimit::Named)
                }),
                pause: text(headers, "x-pause-ms").map(|text| match text.parse() {
                    Ok(asked_ms) => RequestedPause::Lasting { asked_ms },
                    Err(_not_a_number) => RequestedPause::Unreadable,
                }),
            },
        }
    }

    fn identity_requests(&self, server: &ServerId, service: &ServiceSpec) -> Vec<Request<()>> {
        let report = service.engine.is_some().then_some("/report");
        let paths = report.into_iter().chain(service.health_path.as_deref());
        let request = |path| Request::get(path).header("x-server", server.as_str()).body(());
        paths.filter_map(|path| request(path).ok()).collect()
    }

    fn parse_identity(&self, headers: &HeaderMap, body: &[u8]) -> ServerIdentity {
        let body = std::str::from_utf8(body).unwrap_or_default();
        let started = body.strip_prefix("started ").and_then(|text| text.parse().ok());
        ServerIdentity {
            server: text(headers, "x-server").map(|text| ServerId::new(&text)),
            started_unix_ms: started.unwrap_or(0),
        }
    }
}

fn part(text: &str) -> PromptPart {
    PromptPart::new(u64::from_str_radix(text, 16).expect("parts are hexadecimal"))
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
