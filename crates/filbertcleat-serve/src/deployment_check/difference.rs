//! What differs between two configurations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::rc::Rc;

use super::Place;
use crate::CallerLimits;
use crate::Deployment;
use crate::EngineSpec;
use crate::KeyHash;
use crate::Route;
use crate::ServiceSpec;
use crate::Workspace;
use crate::Workspaces;

/// An item that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// How it differs.
    pub kind: DifferenceKind,
    /// The item.
    pub place: Place,
    /// The fields that changed, with their values before and after; empty for an item that was added
    /// or removed.
    pub fields: Vec<String>,
}

/// How an item differs between two configurations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DifferenceKind {
    /// The item is new.
    Added,
    /// The item is gone.
    Removed,
    /// The item has other values.
    Changed,
}

impl DifferenceKind {
    /// Returns the text of the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        }
    }
}

/// Returns what differs from one configuration to another, by kind of item and then by name. Of API
/// keys only the numbers that were added and removed are named.
pub fn deployment_differences(before: &Deployment, after: &Deployment) -> Vec<Difference> {
    let mut differences = Vec::new();
    let mut changed = |place: Place, fields: Vec<String>| {
        if !fields.is_empty() {
            differences.push(Difference { kind: DifferenceKind::Changed, place, fields });
        }
    };
    changed(Place::Version, field("version", &before.version, &after.version));
    changed(Place::Limits, limit_fields(&before.limits, &after.limits));
    if before.workspaces.is_some() != after.workspaces.is_some() {
        let required = |deployment: &Deployment| deployment.workspaces.is_some();
        changed(Place::Workspaces, field("keys_required", &required(before), &required(after)));
    }
    let routes = |deployment: &Deployment| -> BTreeMap<Place, Route> {
        let routes = deployment.routes.iter();
        routes.map(|route| (Place::Route(route.name.clone()), route.clone())).collect()
    };
    compare(&mut differences, &routes(before), &routes(after), route_fields);
    let services = |deployment: &Deployment| -> BTreeMap<Place, Rc<ServiceSpec>> {
        let services = deployment.services.iter();
        services.map(|(name, spec)| (Place::Service(name.clone()), Rc::clone(spec))).collect()
    };
    compare(&mut differences, &services(before), &services(after), |before, after| {
        service_fields(before, after)
    });
    let (before, after) = (held_workspaces(before), held_workspaces(after));
    compare(&mut differences, &before, &after, workspace_fields);
    differences
}

/// A workspace and its API keys.
struct HeldWorkspace {
    workspace: Workspace,
    keys: BTreeSet<KeyHash>,
}

fn held_workspaces(deployment: &Deployment) -> BTreeMap<Place, HeldWorkspace> {
    let keys = deployment.workspaces.as_ref().map(Workspaces::keys).unwrap_or_default();
    let workspaces = deployment.workspaces.iter().flat_map(Workspaces::iter);
    workspaces
        .map(|workspace| {
            let keys = keys.get(&workspace.name).cloned().unwrap_or_default();
            let held = HeldWorkspace { workspace: Workspace::clone(workspace), keys };
            (Place::Workspace(workspace.name.to_string()), held)
        })
        .collect()
}

/// Adds the differences between the items of one kind.
fn compare<T>(
    differences: &mut Vec<Difference>,
    before: &BTreeMap<Place, T>,
    after: &BTreeMap<Place, T>,
    fields: impl Fn(&T, &T) -> Vec<String>,
) {
    let places: BTreeSet<&Place> = before.keys().chain(after.keys()).collect();
    for place in places {
        let (kind, fields) = match (before.get(place), after.get(place)) {
            (Some(before), Some(after)) => (DifferenceKind::Changed, fields(before, after)),
            (Some(_), None) => (DifferenceKind::Removed, Vec::new()),
            (None, _) => (DifferenceKind::Added, Vec::new()),
        };
        if kind != DifferenceKind::Changed || !fields.is_empty() {
            differences.push(Difference { kind, place: place.clone(), fields });
        }
    }
}

/// Returns the text of a field that changed, or nothing.
fn field<T: Debug + PartialEq>(name: &str, before: &T, after: &T) -> Vec<String> {
    if before == after {
        return Vec::new();
    }
    vec![format!("{name} {before:?} -> {after:?}")]
}

fn limit_fields(before: &CallerLimits, after: &CallerLimits) -> Vec<String> {
    [
        field("header_max_bytes", &before.header_max_bytes, &after.header_max_bytes),
        field("body_max_bytes", &before.body_max_bytes, &after.body_max_bytes),
        field("header_timeout_ms", &before.header_timeout_ms, &after.header_timeout_ms),
        field("idle_timeout_ms", &before.idle_timeout_ms, &after.idle_timeout_ms),
    ]
    .concat()
}

fn route_fields(before: &Route, after: &Route) -> Vec<String> {
    let targets = |route: &Route| -> Vec<String> {
        let targets = route.targets.iter();
        targets.map(|target| format!("{}:{}", target.service, target.weight)).collect()
    };
    [
        field("host", &before.host, &after.host),
        field("path_prefix", &before.path_prefix, &after.path_prefix),
        field("retry_policy", &before.retry_policy, &after.retry_policy),
        field("timeout_ms", &before.timeout_ms, &after.timeout_ms),
        field("latency_objective_ms", &before.latency_objective_ms, &after.latency_objective_ms),
        field("gap_objective_ms", &before.gap_objective_ms, &after.gap_objective_ms),
        field("priority", &before.priority, &after.priority),
        field("targets", &targets(before), &targets(after)),
        field("is_public", &before.is_public, &after.is_public),
        field("attempts_max", &before.attempts_max, &after.attempts_max),
    ]
    .concat()
}

fn service_fields(before: &ServiceSpec, after: &ServiceSpec) -> Vec<String> {
    let mut fields = field("connections_max", &before.connections_max, &after.connections_max);
    fields.extend(field("health_path", &before.health_path, &after.health_path));
    match (&before.engine, &after.engine) {
        (Some(before), Some(after)) => fields.extend(engine_fields(before, after)),
        (before, after) => fields.extend(field("engine", &before.is_some(), &after.is_some())),
    }
    fields
}

fn engine_fields(before: &EngineSpec, after: &EngineSpec) -> Vec<String> {
    let models = |engine: &EngineSpec| -> Vec<String> {
        let models = engine.models.iter();
        models
            .map(|model| format!("{}:{}+{} MB", model.name, model.weights_mb, model.adapter_mb))
            .collect()
    };
    [
        field("batch_limit", &before.batch_limit, &after.batch_limit),
        field("memory_tokens", &before.memory_tokens, &after.memory_tokens),
        field("weights_max_mb", &before.weights_max_mb, &after.weights_max_mb),
        field("adapter_slots", &before.adapter_slots, &after.adapter_slots),
        field("models", &models(before), &models(after)),
    ]
    .concat()
}

fn workspace_fields(before: &HeldWorkspace, after: &HeldWorkspace) -> Vec<String> {
    let rate = |held: &HeldWorkspace| held.workspace.allowance.map(|limit| limit.rate_per_s);
    let burst = |held: &HeldWorkspace| held.workspace.allowance.map(|limit| limit.burst);
    let unit = |held: &HeldWorkspace| held.workspace.allowance.map(|limit| limit.unit);
    let mut fields = [
        field("priority", &before.workspace.priority, &after.workspace.priority),
        field("rate_per_s", &rate(before), &rate(after)),
        field("burst", &burst(before), &burst(after)),
        field("unit", &unit(before), &unit(after)),
    ]
    .concat();
    let added = after.keys.difference(&before.keys).count();
    let removed = before.keys.difference(&after.keys).count();
    if added + removed > 0 {
        fields.push(format!("keys {added} added, {removed} removed"));
    }
    fields
}
