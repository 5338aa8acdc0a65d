//! The commands.

use std::path::Path;
use std::path::PathBuf;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertcleat_base::NodeName;
use filbertcleat_config::Change;
use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;
use filbertcleat_config::Settings;
use filbertcleat_operate::TimelinePage;
use http::Method;
use serde_json::Value;

use crate::client;
use crate::error::ClientError;
use crate::options::Invocation;
use crate::output;

/// What the client is to do.
#[derive(Debug)]
pub enum Command {
    /// Submit a patch.
    Patch {
        /// The file with the changes.
        file: PathBuf,
        /// The version that they are meant for.
        base: Option<u64>,
    },
    /// Show the configuration.
    Config,
    /// Show all processes.
    Status,
    /// List adapters.
    Adapters {
        /// What their names begin with.
        prefix: String,
    },
    /// Start a planned stop.
    Drain {
        /// The process.
        node: NodeName,
    },
    /// Show the merged events.
    Timeline {
        /// Only those of this request, unless empty.
        request: String,
        /// Only those of this last span of time.
        since_ms: Option<u64>,
    },
    /// Validate a settings file.
    Check {
        /// The file.
        file: PathBuf,
    },
}

/// Validates a settings file.
pub fn check(file: &Path) -> Result<(), ClientError> {
    let settings = Settings::load(file).map_err(ClientError::usage)?;
    println!("{}: settings of {} {} are good", file.display(), settings.role, settings.name);
    Ok(())
}

/// Submits the changes in a file.
pub async fn patch(
    invocation: &Invocation,
    file: &Path,
    base: Option<u64>,
) -> Result<(), ClientError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| ClientError::usage(format!("{}: {error}", file.display())))?;
    let changes: Vec<Change> = serde_saphyr::from_str(&text)
        .map_err(|error| ClientError::usage(format!("{}: {error}", file.display())))?;
    let base = match base {
        Some(base) => filbertcleat_base::ConfigVersion::new(base),
        None => client::read::<Configuration>(invocation, "/operator/config").await?.version,
    };

    let id = format!("{}-{}-{}", invocation.operator, now_ms(), std::process::id());
    let patch = Patch { base, id: id.into(), operator: invocation.operator.clone(), changes };
    let body: Value = serde_json::from_slice(&patch.to_json()).map_err(ClientError::usage)?;
    println!("patch {} against version {base}", patch.id);
    let answer = client::send(invocation, Method::POST, "/operator/patch", &body).await?;
    if invocation.json {
        println!("{answer}");
    } else {
        println!("version {} is in force", answer["version"]);
    }
    Ok(())
}

/// Shows the configuration in force.
pub async fn config(invocation: &Invocation) -> Result<(), ClientError> {
    let value: Value = client::read(invocation, "/operator/config").await?;
    if invocation.json {
        println!("{value}");
        return Ok(());
    }
    let configuration: Configuration =
        serde_json::from_value(value).map_err(ClientError::unreachable)?;
    output::configuration(&configuration);
    Ok(())
}

/// Shows all processes.
pub async fn status(invocation: &Invocation) -> Result<(), ClientError> {
    let list: Vec<Value> = client::read(invocation, "/operator/status").await?;
    if invocation.json {
        println!("{}", Value::Array(list));
    } else {
        output::status(list);
    }
    Ok(())
}

/// Lists adapters.
pub async fn adapters(invocation: &Invocation, prefix: &str) -> Result<(), ClientError> {
    let configuration: Configuration = client::read(invocation, "/operator/config").await?;
    let wanted =
        configuration.adapters.iter().filter(|(name, _)| name.as_str().starts_with(prefix));
    output::adapters(wanted, invocation.json);
    Ok(())
}

/// Starts a planned stop.
pub async fn drain(invocation: &Invocation, node: &NodeName) -> Result<(), ClientError> {
    let path = format!("/operator/drain/{node}");
    let answer = client::send(invocation, Method::POST, &path, &Value::Null).await?;
    if invocation.json {
        println!("{answer}");
    } else {
        println!("{node} is {}", answer["state"].as_str().unwrap_or("told to leave"));
    }
    Ok(())
}

/// Shows the merged events.
pub async fn timeline(
    invocation: &Invocation,
    request: &str,
    since_ms: Option<u64>,
) -> Result<(), ClientError> {
    let since_ms = since_ms.map_or(0, |span_ms| now_ms().saturating_sub(span_ms));
    let path = format!("/operator/timeline?request={request}&since_ms={since_ms}");
    let pages: Vec<TimelinePage> = client::read(invocation, &path).await?;
    output::timeline(pages, since_ms, invocation.json);
    Ok(())
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
