//! Checks a deployment configuration before it comes into force.

mod difference;
mod finding;
mod place;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::ServiceName;

pub use self::difference::Difference;
pub use self::difference::DifferenceKind;
pub use self::difference::deployment_differences;
pub use self::finding::Finding;
pub use self::finding::Severity;
pub use self::place::Place;
use crate::Allowance;
use crate::AllowanceUnit;
use crate::Deployment;
use crate::EngineSpec;
use crate::Route;
use crate::Workspaces;

/// Returns what is wrong with a configuration, and, if the one in force is given, whether it can
/// replace that one. Findings are in the order of the configuration's items.
pub fn check_deployment(deployment: &Deployment, in_force: Option<&Deployment>) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(in_force) = in_force
        && deployment.version <= in_force.version
    {
        let problem = format!("version {} is not above {}", deployment.version, in_force.version);
        findings.push(Finding::error(
            Place::Version,
            problem,
            "entries ignore it: use a version above the one in force",
        ));
    }
    for problem in &deployment.problems {
        findings.push(Finding::error(
            problem.place.clone(),
            problem.reason.clone(),
            "entries ignore this item: correct it",
        ));
    }
    check_hidden_routes(&deployment.routes, &mut findings);
    for route in &deployment.routes {
        check_route(route, deployment, &mut findings);
    }
    let targets: BTreeSet<&ServiceName> = deployment
        .routes
        .iter()
        .flat_map(|route| &route.targets)
        .map(|target| &target.service)
        .collect();
    for (name, service) in &deployment.services {
        let place = || Place::Service(name.clone());
        if !targets.contains(name) {
            findings.push(Finding::warning(
                place(),
                "no route leads to the service",
                "add a route or remove the service",
            ));
        }
        if let Some(engine) = &service.engine {
            check_engine(&place(), engine, &mut findings);
        }
    }
    if let Some(workspaces) = &deployment.workspaces {
        check_workspaces(workspaces, largest_request(deployment), &mut findings);
    }
    findings
}

/// Finds routes that an equal one hides. Of equal routes the last one is chosen.
fn check_hidden_routes(routes: &[Route], findings: &mut Vec<Finding>) {
    let mut names = BTreeSet::new();
    let mut last: BTreeMap<(String, &str), &Route> = BTreeMap::new();
    for route in routes {
        if !names.insert(&route.name) {
            findings.push(Finding::warning(
                Place::Route(route.name.clone()),
                "another route has the same name",
                "give each route a name of its own, which logs and metrics state",
            ));
        }
        let matched = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(hidden) = last.insert(matched, route) {
            let problem = format!(
                "route {} has the same host {:?} and prefix {:?}",
                route.name, route.host, route.path_prefix
            );
            findings.push(Finding::error(
                Place::Route(hidden.name.clone()),
                problem,
                "the route never matches: remove one of them or change its prefix",
            ));
        }
    }
}

fn check_route(route: &Route, deployment: &Deployment, findings: &mut Vec<Finding>) {
    let place = || Place::Route(route.name.clone());
    if !route.path_prefix.starts_with('/') {
        let problem = format!("the prefix {:?} does not begin with a slash", route.path_prefix);
        let hint = "paths begin with a slash: add it to the prefix";
        findings.push(Finding::error(place(), problem, hint));
    }
    if !route.path_prefix.ends_with('/') {
        let problem = format!("the prefix {:?} does not end with a slash", route.path_prefix);
        let hint = "it also matches longer names, such as /ab for /a: end it with a slash";
        findings.push(Finding::warning(place(), problem, hint));
    }
    if route.host.is_empty() || route.host.contains([':', '/']) {
        let problem = format!("the host {:?} is no host name", route.host);
        let hint = "the route never matches: write the name without scheme and port";
        findings.push(Finding::error(place(), problem, hint));
    }
    for target in &route.targets {
        if !deployment.services.contains_key(&target.service) {
            let problem = format!("service {} does not exist", target.service);
            let hint = "its requests are refused: add the service or remove the target";
            findings.push(Finding::error(place(), problem, hint));
        }
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        let (problem, hint) = if route.targets.is_empty() {
            ("the route has no target", "its requests get 404: name a service")
        } else {
            ("all weights are 0", "its requests get 404: give a target a weight")
        };
        findings.push(Finding::error(place(), problem, hint));
    }
    if route.attempts_max == 0 {
        let hint = "no request would be sent: allow 1 at least";
        findings.push(Finding::error(place(), "no attempt is allowed", hint));
    }
    if route.timeout_ms < route.latency_objective_ms {
        let problem = format!(
            "the timeout of {} ms is below the latency objective of {} ms",
            route.timeout_ms, route.latency_objective_ms
        );
        let hint = "requests are given up before they are late: raise the timeout";
        findings.push(Finding::warning(place(), problem, hint));
    }
}

fn check_engine(place: &Place, engine: &EngineSpec, findings: &mut Vec<Finding>) {
    if engine.batch_limit == 0 {
        let hint = "its requests wait until they are refused: allow 1 at least";
        findings.push(Finding::error(place.clone(), "engines may run no request", hint));
    }
    let memory_mb = engine.weights_max_mb;
    for model in &engine.models {
        let (name, model_mb) = (&model.name, model.weights_mb);
        let with_adapter_mb = model_mb + model.adapter_mb;
        if model_mb > memory_mb {
            let problem = format!("model {name} needs {model_mb} of {memory_mb} MB for weights");
            let hint = "no engine can load it: raise the memory or remove the model";
            findings.push(Finding::error(place.clone(), problem, hint));
        } else if model.adapter_mb > 0.0 && with_adapter_mb > memory_mb {
            let problem = format!(
                "model {name} with one adapter needs {with_adapter_mb} of {memory_mb} MB for weights"
            );
            let hint = "no engine can load an adapter of it: raise the memory";
            findings.push(Finding::error(place.clone(), problem, hint));
        }
    }
}

/// Returns the most tokens that a request can have: those that the largest engine holds.
fn largest_request(deployment: &Deployment) -> u64 {
    let engines = deployment.services.values().filter_map(|service| service.engine.as_ref());
    engines.map(|engine| engine.memory_tokens).max().unwrap_or(0)
}

fn check_workspaces(workspaces: &Workspaces, largest: u64, findings: &mut Vec<Finding>) {
    for problem in workspaces.problems() {
        findings.push(Finding::error(
            Place::Workspace(problem.workspace.clone()),
            problem.kind.to_string(),
            "entries ignore this workspace or key: correct it",
        ));
    }
    let keys = workspaces.keys();
    for workspace in workspaces.iter() {
        let place = || Place::Workspace(workspace.name.to_string());
        if !keys.contains_key(&workspace.name) {
            let hint = "no request can name it: add a key or remove the workspace";
            findings.push(Finding::warning(place(), "the workspace has no valid API key", hint));
        }
        if let Some(allowance) = &workspace.allowance {
            check_allowance(place(), allowance, largest, findings);
        }
    }
}

fn check_allowance(place: Place, allowance: &Allowance, largest: u64, findings: &mut Vec<Finding>) {
    let (largest, unit) = match allowance.unit {
        AllowanceUnit::Requests => (1, "request"),
        AllowanceUnit::Tokens { default } => (largest.max(default), "tokens"),
    };
    let cost = largest as f64;
    if allowance.burst < cost {
        let problem = format!(
            "the burst of {} is below the largest request of {largest} {unit}",
            allowance.burst
        );
        let hint = "such a request takes more than the allowance holds: raise the burst";
        findings.push(Finding::warning(place.clone(), problem, hint));
    }
    // A rate of less than one request per second is a usual limit.
    if allowance.unit != AllowanceUnit::Requests && allowance.rate_per_s < cost {
        let problem = format!(
            "the rate of {} per second is below the largest request of {largest} {unit}",
            allowance.rate_per_s
        );
        let hint =
            "the workspace waits for more than a second after such a request: raise the rate";
        findings.push(Finding::warning(place, problem, hint));
    }
}
