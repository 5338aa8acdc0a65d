//! Parses and validates settings.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde_json::Value;

use crate::BackendKind;
use crate::BackendSettings;
use crate::Problem;
use crate::Role;
use crate::Settings;

/// Parses settings from YAML; the error lists all problems that can be found in one pass.
pub fn parse(yaml: &str) -> Result<Settings, Vec<Problem>> {
    let document: Value = serde_saphyr::from_str(yaml).map_err(|error| {
        vec![Problem::new(".", error.to_string(), "write YAML, as in the examples directory")]
    })?;

    let mut unknown = Vec::new();
    let mut record =
        |path: serde_ignored::Path<'_>| unknown.push(path.to_string().replace(".?", ""));
    let source = serde_ignored::Deserializer::new(&document, &mut record);
    let parsed: Result<Settings, _> = serde_path_to_error::deserialize(source);

    let settings = match parsed {
        Ok(settings) => settings,
        Err(error) => {
            let path = error.path().to_string();
            let hint = hint_for(&path);
            return Err(vec![Problem::new(path, error.inner().to_string(), hint)]);
        }
    };

    let known = known_keys(&settings);
    let mut problems: Vec<_> = unknown.into_iter().map(|path| unknown_key(path, &known)).collect();
    check_role(&settings, &mut problems);
    check_addresses(&settings, &mut problems);
    check_times(&settings, &mut problems);

    if problems.is_empty() { Ok(settings) } else { Err(problems) }
}

fn hint_for(path: &str) -> &'static str {
    if path.ends_with("_ms") {
        "specify an integer number of milliseconds, such as 500"
    } else if path.ends_with("_bytes") {
        "specify an integer number of bytes, such as 1048576"
    } else if path.ends_with("listen") || path.ends_with("advertise") || path.contains("seeds") {
        "specify an IP address and a port, such as 10.0.0.5:7400"
    } else if path.ends_with("token") {
        "specify the source of the token as file: PATH or env: NAME"
    } else {
        "see the examples directory"
    }
}

fn unknown_key(path: String, known: &BTreeSet<String>) -> Problem {
    let key = path.rsplit('.').next().unwrap_or(&path).to_owned();
    let nearest =
        known.iter().map(|name| (strsim::damerau_levenshtein(name, &key), name)).min().filter(
            |(distance, name)| {
                *distance <= 3 || name.starts_with(&key) || key.starts_with(without_unit(name))
            },
        );
    let hint = match nearest {
        Some((_, name)) => format!("did you mean {name}?"),
        None => "remove the key, or see the examples directory".to_owned(),
    };
    Problem::new(path, format!("unknown key {key:?}"), hint)
}

/// Returns a key without its unit suffix.
fn without_unit(name: &str) -> &str {
    name.trim_end_matches("_ms").trim_end_matches("_bytes")
}

/// Returns the names of all keys in the settings, including those in nested sections.
fn known_keys(settings: &Settings) -> BTreeSet<String> {
    fn collect(value: &Value, keys: &mut BTreeSet<String>) {
        match value {
            Value::Object(map) => {
                for (key, value) in map {
                    keys.insert(key.clone());
                    collect(value, keys);
                }
            }
            Value::Array(list) => list.iter().for_each(|value| collect(value, keys)),
            Value::Bool(_) | Value::Null | Value::Number(_) | Value::String(_) => {}
        }
    }

    let mut keys = BTreeSet::new();
    if let Ok(value) = serde_json::to_value(settings) {
        collect(&value, &mut keys);
    }
    keys
}

fn check_role(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut check_section = |present: bool, required: bool, key: &str| {
        let role = settings.role;
        if required && !present {
            let hint = format!("add a {key} section, as in the examples directory");
            problems.push(Problem::new(key, format!("role {role} requires this section"), hint));
        }
        if !required && present {
            let hint = format!("remove the {key} section or change the role");
            problems.push(Problem::new(
                key,
                format!("role {role} does not use this section"),
                hint,
            ));
        }
    };

    let is_entry = settings.role == Role::Entry;
    check_section(settings.callers.is_some(), is_entry, "callers");
    check_section(settings.operators.is_some(), is_entry, "operators");
    check_section(settings.backend.is_some(), !is_entry, "backend");

    if let Some(backend) = &settings.backend {
        check_backend(backend, problems);
    }
    let level = settings.log.level.as_str();
    if !["error", "warn", "info", "debug", "trace"].contains(&level) {
        let hint = "use error, warn, info, debug or trace";
        problems.push(Problem::new("log.level", format!("level {level:?} does not exist"), hint));
    }
}

fn check_backend(backend: &BackendSettings, problems: &mut Vec<Problem>) {
    match backend.kind {
        BackendKind::Engine => {
            if backend.adapter_slots == 0 {
                let hint = "specify the number of adapters that the engine can hold at a time";
                problems.push(Problem::new(
                    "backend.slots",
                    "an engine requires at least 1 slot",
                    hint,
                ));
            }
            if backend.model.is_none() {
                let hint = "specify the base model of the engine";
                problems.push(Problem::new("backend.model", "an engine requires a model", hint));
            }
        }
        BackendKind::Plain => {
            if backend.adapter_slots > 0 {
                let hint = "remove slots, or set kind to engine";
                problems.push(Problem::new("backend.slots", "a plain service has no slots", hint));
            }
        }
    }
    if backend.batch_limit == 0 {
        let hint = "specify the number of calls that the server runs at a time";
        problems.push(Problem::new("backend.batch", "must be at least 1", hint));
    }
}

fn check_addresses(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut listeners = vec![("peers.listen", settings.peers.listen)];
    if let Some(callers) = &settings.callers {
        listeners.push(("callers.listen", callers.listen));
    }
    if let Some(operators) = &settings.operators {
        listeners.push(("operators.listen", operators.listen));
    }
    for (index, (path, address)) in listeners.iter().enumerate() {
        let conflict = listeners[..index].iter().find(|(_, other)| collides(*other, *address));
        if let Some((other, _)) = conflict {
            let hint = "give each listener its own port";
            let message = format!("address {address} is already used by {other}");
            problems.push(Problem::new(*path, message, hint));
        }
    }

    let advertised = settings.peers.advertise.unwrap_or(settings.peers.listen);
    if advertised.ip().is_unspecified() {
        let hint = "set peers.advertise to this VM's IP address and port";
        let message = format!("peers can't connect to {advertised}");
        problems.push(Problem::new("peers.advertise", message, hint));
    }

    let mut urls = vec![
        ("platform.table", &settings.platform.table),
        ("platform.objects", &settings.platform.objects),
    ];
    if let Some(vms) = &settings.platform.vms {
        urls.push(("platform.vms", vms));
    }
    if let Some(backend) = &settings.backend {
        urls.push(("backend.url", &backend.url));
    }
    for (path, url) in urls {
        let address = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
        let is_valid = address.is_some_and(|address| address.parse::<SocketAddr>().is_ok());
        if !is_valid {
            let hint = "specify http://, an IP address and a port, such as http://10.0.0.9:8000";
            problems.push(Problem::new(path, format!("{url:?} is not a service URL"), hint));
        }
    }
}

/// Returns whether two listeners can't be bound together; port 0 selects any free port.
fn collides(left: SocketAddr, right: SocketAddr) -> bool {
    let overlap =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && overlap
}

fn check_times(settings: &Settings, problems: &mut Vec<Problem>) {
    let peers = &settings.peers;
    if peers.gossip_interval_ms.is_zero() {
        let hint = "use 500";
        problems.push(Problem::new("peers.exchange_ms", "must be at least 1", hint));
    }
    if peers.suspicion_timeout_ms < peers.gossip_interval_ms * 3 {
        let hint = "set peers.gone_ms to at least 3 times peers.exchange_ms";
        let message = "shorter than 3 exchanges, so that a single lost message removes a peer";
        problems.push(Problem::new("peers.gone_ms", message, hint));
    }
    if settings.platform.timeout_ms.is_zero() {
        problems.push(Problem::new("platform.timeout_ms", "must be at least 1", "use 2000"));
    }
    if settings.platform.poll_ms.is_zero() {
        problems.push(Problem::new("platform.poll_ms", "must be at least 1", "use 2000"));
    }
    if settings.async_requests.lease_ms < settings.platform.timeout_ms * 3 {
        let hint = "set nightly.lease_ms to at least 3 times platform.timeout_ms";
        let message =
            "shorter than 3 calls to the table service, so that the lease can't be renewed";
        problems.push(Problem::new("nightly.lease_ms", message, hint));
    }
}
