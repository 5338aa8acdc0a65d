//! Output of the client.

use filbertcleat_base::AdapterName;
use filbertcleat_config::AdapterConfig;
use filbertcleat_config::Configuration;
use filbertcleat_config::ServiceKind;
use filbertcleat_operate::ProcessStatus;
use filbertcleat_operate::TimelinePage;
use filbertcleat_operate::merge_pages;
use filbertcleat_serve::Difference;
use filbertcleat_serve::Finding;
use filbertcleat_serve::Place;
use filbertcleat_serve::Severity;
use serde_json::Value;
use serde_json::json;

use crate::allowances::Allowances;
use crate::allowances::OTHERS;

/// Prints the configuration, with only the number of its adapters.
pub fn configuration(configuration: &Configuration) {
    let limits = &configuration.limits;
    let weights = &configuration.weights;
    println!("version   {}", configuration.version);
    println!(
        "weights   load_stall={} batch_efficiency={}",
        weights.load_stall, weights.batch_efficiency
    );
    println!(
        "limits    waiting_max={} routine_share_percent={} adapter_share_percent={} attempts_max={} \
         retry_share_percent={} hold_ms={} claim_wait_ms={}",
        limits.waiting_max,
        limits.routine_share_percent,
        limits.adapter_share_percent,
        limits.attempts_max,
        limits.retry_share_percent,
        limits.hold_ms,
        limits.claim_wait_ms,
    );
    for (name, config) in &configuration.services {
        let kind = match &config.kind {
            ServiceKind::Engine(model) => format!("engine model={model}"),
            ServiceKind::Plain => "plain".to_owned(),
        };
        println!("service   {name} {kind} non_repeatable={}", config.non_retryable.join(","));
    }
    println!("adapters  {}", configuration.adapters.len());
}

/// Prints a table of all processes, and the adapter slots of each backend server.
pub fn status(list: Vec<Value>) {
    println!(
        "{:<20}{:<8}{:<14}{:<10}{:>8}{:>7}{:>9}{:>8}{:>9}  LEASE",
        "PROCESS", "ROLE", "PLACE", "STATE", "VERSION", "PEERS", "REQUESTS", "QUEUED", "RUNNING"
    );
    for value in list {
        let Ok(status) = serde_json::from_value::<ProcessStatus>(value.clone()) else {
            let node = value["node"].as_str().unwrap_or("?");
            println!("{node:<20}{:<8}{:<14}{:<10}", "?", "?", "no answer");
            continue;
        };
        let (queued, running, lease) = match &status.replica {
            Some(replica) => (
                replica.queued.to_string(),
                format!("{}/{}", replica.running, replica.batch_limit),
                replica.lease.clone(),
            ),
            None => ("-".to_owned(), "-".to_owned(), "-".to_owned()),
        };
        println!(
            "{:<20}{:<8}{:<14}{:<10}{:>8}{:>7}{:>9}{queued:>8}{running:>9}  {lease}",
            status.node.as_str(),
            status.role.as_str(),
            status.failure_domain.as_str(),
            status.state,
            status.config_version.value(),
            status.peers_live,
            status.requests,
        );
        if let Some(replica) = &status.replica
            && !replica.slots.is_empty()
        {
            println!(
                "{:<20}slots {}/{}: {}",
                "",
                replica.slots.len(),
                replica.slot_limit,
                replica.slots.join(" ")
            );
        }
    }
}

/// Prints a table of adapters with their versions, the serving version and the canary.
pub fn adapters<'a>(
    list: impl Iterator<Item = (&'a AdapterName, &'a AdapterConfig)>,
    as_json: bool,
) {
    if as_json {
        let list: Vec<_> =
            list.map(|(name, config)| json!({ "adapter": name, "entry": config })).collect();
        println!("{}", Value::Array(list));
        return;
    }
    println!("{:<32}{:<20}{:>8}  VERSIONS", "ADAPTER", "SERVICE", "SERVING");
    for (name, config) in list {
        let versions: Vec<_> = config.versions.iter().map(ToString::to_string).collect();
        let canary = config.canary.as_ref().map_or_else(String::new, |canary| {
            format!("  canary {} {}%", canary.version, canary.share_percent)
        });
        println!(
            "{:<32}{:<20}{:>8}  {}{canary}",
            name.as_str(),
            config.service.as_str(),
            config.serving.value(),
            versions.join(",")
        );
    }
}

/// Prints a table of workspaces with an allowance, and the processes that did not respond.
pub fn allowances(allowances: &Allowances, as_json: bool) {
    if as_json {
        println!("{}", allowances_json(allowances));
        return;
    }
    println!(
        "{:<32}{:>12}{:>12}{:>12}{:>12}{:>9}{:>10}{:>10}",
        "WORKSPACE", "RATE/S", "BURST", "USE/S", "LEFT", "BUCKETS", "REFUSED", "UNKNOWN"
    );
    for (name, workspace) in &allowances.workspaces {
        let (rate, burst, used) = if name == OTHERS {
            ("-".to_owned(), "-".to_owned(), "-".to_owned())
        } else {
            (
                workspace.rate_per_s.to_string(),
                workspace.burst.to_string(),
                workspace.use_per_s.to_string(),
            )
        };
        let left = workspace.tokens_left.map_or_else(|| "-".to_owned(), |left| left.to_string());
        println!(
            "{name:<31} {rate:>12}{burst:>12}{used:>12}{left:>12}{:>9}{:>10}{:>10}",
            workspace.buckets, workspace.refused, workspace.unknown
        );
    }
    for (address, reason) in &allowances.silent {
        println!("no answer from {address}: {reason}");
    }
}

fn allowances_json(allowances: &Allowances) -> Value {
    let workspaces: Vec<_> = allowances
        .workspaces
        .iter()
        .map(|(name, workspace)| {
            json!({
                "workspace": name,
                "ratePerS": workspace.rate_per_s,
                "burst": workspace.burst,
                "usePerS": workspace.use_per_s,
                "tokensLeft": workspace.tokens_left,
                "buckets": workspace.buckets,
                "refused": workspace.refused,
                "unknown": workspace.unknown,
            })
        })
        .collect();
    let silent = allowances.silent.iter();
    let silent: Vec<_> =
        silent.map(|(address, reason)| json!({ "address": address, "reason": reason })).collect();
    json!({ "workspaces": workspaces, "silent": silent })
}

/// Prints a table of what is wrong with a deployment configuration and of what differs from the one
/// in force.
pub fn deployment_check(findings: &[Finding], differences: &[Difference], as_json: bool) {
    if as_json {
        let findings: Vec<_> = findings.iter().map(finding_json).collect();
        let differences: Vec<_> = differences.iter().map(difference_json).collect();
        println!("{}", json!({ "findings": findings, "differences": differences }));
        return;
    }
    if !findings.is_empty() {
        println!("{:<9}{:<32}PROBLEM", "SEVERITY", "PLACE");
    }
    for finding in findings {
        let (severity, place) = (finding.severity.as_str(), place_text(&finding.place));
        println!("{severity:<9}{place:<31} {}", finding.problem);
        println!("{:<41}hint: {}", "", finding.hint);
    }
    if !differences.is_empty() {
        println!("{:<9}{:<32}FIELDS", "CHANGE", "PLACE");
    }
    for difference in differences {
        let (kind, place) = (difference.kind.as_str(), place_text(&difference.place));
        println!("{kind:<9}{place:<31} {}", difference.fields.join(", "));
    }
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
    println!(
        "{errors} errors, {} warnings, {} differences",
        findings.len() - errors,
        differences.len()
    );
}

fn place_text(place: &Place) -> String {
    format!("{} {}", place.kind(), place.name()).trim_end().to_owned()
}

fn finding_json(finding: &Finding) -> Value {
    json!({
        "severity": finding.severity.as_str(),
        "kind": finding.place.kind(),
        "name": finding.place.name(),
        "problem": finding.problem,
        "hint": finding.hint,
    })
}

fn difference_json(difference: &Difference) -> Value {
    json!({
        "change": difference.kind.as_str(),
        "kind": difference.place.kind(),
        "name": difference.place.name(),
        "fields": difference.fields,
    })
}

/// Prints the merged events, after a note for each process that has dropped some of them.
pub fn timeline(pages: Vec<TimelinePage>, since_ms: u64, as_json: bool) {
    if as_json {
        println!("{}", json!(pages));
        return;
    }
    for page in &pages {
        let first_kept =
            page.oldest.filter(|oldest| page.dropped > 0 && oldest.wall_ms >= since_ms);
        if let Some(oldest) = first_kept {
            println!("{oldest} --- {} dropped {} older events ---", page.node, page.dropped);
        }
    }
    for event in merge_pages(pages) {
        println!("{} {event}", event.stamp);
    }
}
