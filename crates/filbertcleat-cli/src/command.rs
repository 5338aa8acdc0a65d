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
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_operate::TimelinePage;
use filbertcleat_prepared::decode_operators_row;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::check_deployment;
use filbertcleat_serve::deployment_differences;
use http::Method;
use serde_json::Value;

use crate::allowances::Allowances;
use crate::client;
use crate::error::ClientError;
use crate::options::Invocation;
use crate::output;

/// A command of the client.
#[derive(Debug)]
pub enum Command {
    /// Submit a patch.
    Patch {
        /// The YAML or JSON file with the changes.
        file: PathBuf,
        /// The version that the changes are based on; `None` for the one in force.
        base: Option<u64>,
    },
    /// Show the configuration.
    Config,
    /// Check a deployment configuration before it is sent.
    ConfigCheck {
        /// The JSON file with the configuration.
        file: PathBuf,
        /// The JSON file with the configuration in force.
        against: Option<PathBuf>,
    },
    /// Show the status of all processes.
    Status,
    /// List adapters.
    Adapters {
        /// The prefix of the adapters' names.
        prefix: String,
    },
    /// Show the allowances of workspaces.
    Allowances {
        /// The metrics addresses of entries and agents.
        addresses: Vec<String>,
    },
    /// Drain and stop a process.
    Drain {
        /// The name of the process.
        node: NodeName,
    },
    /// Show the merged events of all processes.
    Timeline {
        /// The request whose events are shown; empty for all events.
        request: String,
        /// The age up to which events are shown; `None` for all ages.
        max_age_ms: Option<u64>,
    },
    /// Validate a settings file.
    Check {
        /// The settings file.
        file: PathBuf,
    },
}

/// Validates a settings file.
pub fn check(file: &Path) -> Result<(), ClientError> {
    let settings = Settings::load(file).map_err(ClientError::usage)?;
    println!("{}: settings of {} {} are good", file.display(), settings.role, settings.name);
    Ok(())
}

/// Checks a deployment configuration before it is sent, and returns whether it has no findings.
pub fn config_check(
    invocation: &Invocation,
    file: &Path,
    against: Option<&Path>,
) -> Result<bool, ClientError> {
    let deployment = read_deployment(file)?;
    let in_force = against.map(read_deployment).transpose()?;
    let findings = check_deployment(&deployment, in_force.as_ref());
    let differences =
        in_force.map(|in_force| deployment_differences(&in_force, &deployment)).unwrap_or_default();
    output::deployment_check(&findings, &differences, invocation.json);
    Ok(findings.is_empty())
}

/// Reads a deployment configuration as it is in the store.
fn read_deployment(file: &Path) -> Result<Deployment, ClientError> {
    let unreadable = |reason: String| ClientError::usage(format!("{}: {reason}", file.display()));
    let bytes = std::fs::read(file).map_err(|error| unreadable(error.to_string()))?;
    match decode_operators_row("config", &bytes) {
        Ok(Some(CatalogueEvent::Deployment(deployment))) => Ok(deployment),
        Ok(_) => Err(unreadable("it is no configuration".to_owned())),
        Err(fault) => Err(unreadable(without_values(&fault.to_string()))),
    }
}

/// Returns a decoding error without the text that it quotes, which may be an API key.
fn without_values(error: &str) -> String {
    match (error.find('"'), error.rfind('"')) {
        (Some(first), Some(last)) if first < last => {
            format!("{}...{}", &error[..=first], &error[last..])
        }
        _ => error.to_owned(),
    }
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
        None => client::get::<Configuration>(invocation, "/operator/config").await?.version,
    };

    let id = format!("{}-{}-{}", invocation.operator, now_ms(), std::process::id());
    let patch = Patch { base, id: id.into(), operator: invocation.operator.clone(), changes };
    let body: Value = serde_json::from_slice(&patch.to_json()).map_err(ClientError::usage)?;
    println!("patch {} against version {base}", patch.id);
    let response = client::send(invocation, Method::POST, "/operator/patch", &body).await?;
    if invocation.json {
        println!("{response}");
    } else {
        println!("version {} is in force", response["version"]);
    }
    Ok(())
}

/// Shows the configuration in force.
pub async fn config(invocation: &Invocation) -> Result<(), ClientError> {
    let value: Value = client::get(invocation, "/operator/config").await?;
    if invocation.json {
        println!("{value}");
        return Ok(());
    }
    let configuration: Configuration =
        serde_json::from_value(value).map_err(ClientError::unreachable)?;
    output::configuration(&configuration);
    Ok(())
}

/// Shows the status of all processes.
pub async fn status(invocation: &Invocation) -> Result<(), ClientError> {
    let list: Vec<Value> = client::get(invocation, "/operator/status").await?;
    if invocation.json {
        println!("{}", Value::Array(list));
    } else {
        output::status(list);
    }
    Ok(())
}

/// Lists adapters.
pub async fn adapters(invocation: &Invocation, prefix: &str) -> Result<(), ClientError> {
    let configuration: Configuration = client::get(invocation, "/operator/config").await?;
    let matching =
        configuration.adapters.iter().filter(|(name, _)| name.as_str().starts_with(prefix));
    output::adapters(matching, invocation.json);
    Ok(())
}

/// Shows the allowances of workspaces over all processes whose metrics addresses are given.
pub async fn allowances(invocation: &Invocation, addresses: &[String]) -> Result<(), ClientError> {
    let allowances = Allowances::query(addresses).await?;
    output::allowances(&allowances, invocation.json);
    Ok(())
}

/// Drains and stops a process.
pub async fn drain(invocation: &Invocation, node: &NodeName) -> Result<(), ClientError> {
    let path = format!("/operator/drain/{node}");
    let response = client::send(invocation, Method::POST, &path, &Value::Null).await?;
    if invocation.json {
        println!("{response}");
    } else {
        println!("{node} is {}", response["state"].as_str().unwrap_or("requested to leave"));
    }
    Ok(())
}

/// Shows the merged events of all processes.
pub async fn timeline(
    invocation: &Invocation,
    request: &str,
    max_age_ms: Option<u64>,
) -> Result<(), ClientError> {
    let since_ms = max_age_ms.map_or(0, |age_ms| now_ms().saturating_sub(age_ms));
    let path = format!("/operator/timeline?request={request}&since_ms={since_ms}");
    let pages: Vec<TimelinePage> = client::get(invocation, &path).await?;
    output::timeline(pages, since_ms, invocation.json);
    Ok(())
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
