//! What a check of a configuration finds, and how it compares two of them.

use std::rc::Rc;

use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::Allowance;
use filbertcleat_serve::AllowanceUnit;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::DifferenceKind;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::KeyHash;
use filbertcleat_serve::ModelSpec;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::ServiceSpec;
use filbertcleat_serve::Severity;
use filbertcleat_serve::Target;
use filbertcleat_serve::Workspace;
use filbertcleat_serve::Workspaces;
use filbertcleat_serve::check_deployment;
use filbertcleat_serve::deployment_differences;
use rstest::rstest;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        timeout_ms: 1_000,
        latency_objective_ms: 500,
        gap_objective_ms: 0,
        priority: 1,
        targets: vec![Target { service: ServiceName::new("writer"), weight: 1 }],
        is_public: false,
        attempts_max: 2,
    }
}

fn engine() -> EngineSpec {
    let model = ModelSpec { name: ModelName::new("base"), weights_mb: 900.0, adapter_mb: 100.0 };
    EngineSpec {
        batch_limit: 8,
        memory_tokens: 10_000,
        weights_max_mb: 1_000.0,
        adapter_slots: 4,
        models: vec![model],
    }
}

fn workspace(name: &str, keys: &[&str]) -> (Workspace, Vec<KeyHash>) {
    let allowance = Allowance {
        rate_per_s: 10_000.0,
        burst: 10_000.0,
        unit: AllowanceUnit::Tokens { default: 100 },
    };
    let workspace = Workspace { name: name.into(), priority: 1, allowance: Some(allowance) };
    (workspace, keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect())
}

/// Returns a configuration whose limits are as tight as they may be.
fn clean() -> Deployment {
    let service = ServiceSpec { connections_max: 8, health_path: None, engine: Some(engine()) };
    Deployment {
        version: 2,
        routes: vec![route("a", "/a/"), route("root", "/")],
        services: [(ServiceName::new("writer"), Rc::new(service))].into(),
        workspaces: Some(Workspaces::new([workspace("w", &["k1"]), workspace("v", &["k2"])])),
        ..Deployment::default()
    }
}

fn set_engine(deployment: &mut Deployment, change: impl FnOnce(&mut EngineSpec)) {
    let service = deployment.services.get_mut("writer").expect("the service exists");
    change(Rc::make_mut(service).engine.as_mut().expect("the service has engines"));
}

fn set_allowance(deployment: &mut Deployment, change: impl FnOnce(&mut Allowance)) {
    let (mut workspace, keys) = workspace("w", &["k1"]);
    change(workspace.allowance.as_mut().expect("the workspace has an allowance"));
    deployment.workspaces = Some(Workspaces::new([(workspace, keys)]));
}

fn set_workspaces(deployment: &mut Deployment, given: &[(&str, &[&str])]) {
    let given = given.iter().map(|(name, keys)| workspace(name, keys));
    deployment.workspaces = Some(Workspaces::new(given));
}

/// Guards against findings that operators learn to ignore.
#[test]
fn clean_has_no_findings() {
    let older = Deployment { version: 1, ..clean() };

    assert_eq!(check_deployment(&clean(), None), []);
    assert_eq!(check_deployment(&clean(), Some(&older)), []);
}

/// Guards against each fault being sent unnoticed.
#[rstest]
#[case::hidden_route(
    |d: &mut Deployment| d.routes.push(route("b", "/a/")),
    "route a", "route b has the same"
)]
#[case::host_case(|d: &mut Deployment| {
    d.routes.push(Route { host: "DESK.example".to_owned(), ..route("b", "/a/") });
}, "route a", "route b has the same")]
#[case::port(
    |d: &mut Deployment| d.routes[0].host = "desk.example:80".to_owned(),
    "route a", "no host name"
)]
#[case::no_slash_before(
    |d: &mut Deployment| d.routes[0].path_prefix = "a/".to_owned(),
    "route a", "begin"
)]
#[case::missing_service(|d: &mut Deployment| {
    d.routes[0].targets.push(Target { service: ServiceName::new("gone"), weight: 0 });
}, "route a", "service gone does not exist")]
#[case::zero_weights(
    |d: &mut Deployment| d.routes[0].targets[0].weight = 0,
    "route a", "all weights are 0"
)]
#[case::no_target(|d: &mut Deployment| d.routes[0].targets.clear(), "route a", "no target")]
#[case::no_attempts(|d: &mut Deployment| d.routes[0].attempts_max = 0, "route a", "no attempt")]
#[case::no_batch(
    |d: &mut Deployment| set_engine(d, |engine| engine.batch_limit = 0),
    "service writer", "no request"
)]
#[case::large_model(
    |d: &mut Deployment| set_engine(d, |engine| engine.weights_max_mb = 899.0),
    "service writer", "model base needs"
)]
#[case::large_adapter(
    |d: &mut Deployment| set_engine(d, |engine| engine.weights_max_mb = 999.0),
    "service writer", "with one adapter"
)]
#[case::shared_key(
    |d: &mut Deployment| set_workspaces(d, &[("w", &["k1", "k2"]), ("v", &["k2", "k3"])]),
    "workspace v", "one of its API keys"
)]
#[case::negative_rate(
    |d: &mut Deployment| set_allowance(d, |allowance| allowance.rate_per_s = -1.0),
    "workspace w", "at least 0"
)]
fn error_found(#[case] change: fn(&mut Deployment), #[case] place: &str, #[case] problem: &str) {
    assert_found(change, Severity::Error, place, problem);
}

/// Guards against limits that contradict each other being sent unnoticed.
#[rstest]
#[case::no_slash_after(
    |d: &mut Deployment| d.routes[0].path_prefix = "/a".to_owned(),
    "route a", "end with"
)]
#[case::short_timeout(
    |d: &mut Deployment| d.routes[0].timeout_ms = 499,
    "route a", "timeout of 499 ms"
)]
#[case::same_name(|d: &mut Deployment| d.routes.push(route("a", "/b/")), "route a", "same name")]
#[case::unused_service(|d: &mut Deployment| {
    d.services.insert(ServiceName::new("spare"), Rc::default());
}, "service spare", "no route leads")]
#[case::small_burst(
    |d: &mut Deployment| set_allowance(d, |allowance| allowance.burst = 9_999.0),
    "workspace w", "burst of 9999 is"
)]
#[case::small_rate(
    |d: &mut Deployment| set_allowance(d, |allowance| allowance.rate_per_s = 9_999.0),
    "workspace w", "rate of 9999"
)]
#[case::no_burst(|d: &mut Deployment| set_allowance(d, |allowance| {
    (allowance.unit, allowance.rate_per_s, allowance.burst) = (AllowanceUnit::Requests, 0.5, 0.0);
}), "workspace w", "largest request of 1 request")]
#[case::no_key(
    |d: &mut Deployment| set_workspaces(d, &[("w", &[])]),
    "workspace w", "no valid API key"
)]
fn warning_found(#[case] change: fn(&mut Deployment), #[case] place: &str, #[case] problem: &str) {
    assert_found(change, Severity::Warning, place, problem);
}

/// Checks that the change causes one finding and no other.
fn assert_found(change: fn(&mut Deployment), severity: Severity, place: &str, problem: &str) {
    let mut deployment = clean();
    change(&mut deployment);

    let findings = check_deployment(&deployment, None);

    let [found] = findings.as_slice() else { panic!("{findings:?}") };
    let found_at = format!("{} {}", found.place.kind(), found.place.name());
    assert_eq!((found.severity, found_at.as_str()), (severity, place));
    assert!(found.problem.contains(problem), "{found:?}");
}

/// Guards against the check naming the wrong one of two equal routes.
#[test]
fn last_equal_route_matches() {
    let mut deployment = clean();
    deployment.routes.push(route("b", "/a/"));

    let matched = deployment.route("desk.example", "/a/x").expect("a route matches");

    assert_eq!(matched.name, "b");
}

#[rstest]
#[case::equal(2, 1)]
#[case::lower(3, 1)]
#[case::higher(1, 0)]
fn version_must_increase(#[case] in_force: u64, #[case] findings: usize) {
    let in_force = Deployment { version: in_force, ..clean() };

    let found = check_deployment(&clean(), Some(&in_force));

    assert_eq!(found.len(), findings, "{found:?}");
    assert!(found.iter().all(|finding| finding.severity == Severity::Error));
}

/// Guards against a change of the path at which servers are asked whether they run being left out.
#[test]
fn health_path_named() {
    let mut after = clean();
    let service = after.services.get_mut("writer").expect("the service exists");
    Rc::make_mut(service).health_path = Some("/healthz".to_owned());

    let found = deployment_differences(&clean(), &after);

    let [difference] = found.as_slice() else { panic!("{found:?}") };
    assert!(difference.fields.concat().contains("health_path"), "{difference:?}");
}

/// Guards against a change being sent that its author did not intend.
#[test]
fn differences_named() {
    let mut after = Deployment { version: 3, ..clean() };
    after.routes[0].timeout_ms = 2_000;
    after.routes[1] = route("new", "/new/");
    after.services.insert(ServiceName::new("spare"), Rc::default());
    after.limits.body_max_bytes = 9;
    set_engine(&mut after, |engine| engine.batch_limit = 9);
    set_workspaces(&mut after, &[("w", &["k1", "k3", "k4"]), ("u", &["k2"])]);

    let found: Vec<_> = deployment_differences(&clean(), &after)
        .into_iter()
        .map(|difference| {
            let place = format!("{} {}", difference.place.kind(), difference.place.name());
            (difference.kind, place, difference.fields.join(", "))
        })
        .collect();

    let expected = [
        (DifferenceKind::Changed, "version ", "version 2 -> 3"),
        (DifferenceKind::Changed, "limits ", "body_max_bytes 4194304 -> 9"),
        (DifferenceKind::Changed, "route a", "timeout_ms 1000 -> 2000"),
        (DifferenceKind::Added, "route new", ""),
        (DifferenceKind::Removed, "route root", ""),
        (DifferenceKind::Added, "service spare", ""),
        (DifferenceKind::Changed, "service writer", "batch_limit 8 -> 9"),
        (DifferenceKind::Added, "workspace u", ""),
        (DifferenceKind::Removed, "workspace v", ""),
        (DifferenceKind::Changed, "workspace w", "keys 2 added, 0 removed"),
    ];
    let expected =
        expected.map(|(kind, place, fields)| (kind, place.to_owned(), fields.to_owned()));
    assert_eq!(found, expected);
}

#[test]
fn equal_has_no_differences() {
    assert_eq!(deployment_differences(&clean(), &clean()), []);
}

/// Guards against the move to API keys, or away from them, being sent unnoticed.
#[test]
fn first_workspaces_named() {
    let before = Deployment { workspaces: None, ..clean() };

    let found = deployment_differences(&before, &clean());

    assert_eq!(found.len(), 3);
    assert_eq!(found[0].fields, ["keys_required false -> true"]);
}
