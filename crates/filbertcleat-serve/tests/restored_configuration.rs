//! Which configuration is in force after the catalogue was restored from a copy.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CurrentDeployment;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::DeploymentChange;
use filbertcleat_serve::KeyHash;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Workspace;
use filbertcleat_serve::Workspaces;

const CONTACT_MS: u64 = 3_000;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

/// Returns a configuration with one route.
fn configuration(version: u64, name: &str) -> Deployment {
    let route = Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/".to_owned(),
        retry_policy: RetryPolicy::AtMostOnce,
        timeout_ms: 1_000,
        latency_objective_ms: 100,
        gap_objective_ms: 0,
        priority: 1,
        targets: Vec::new(),
        is_public: false,
        attempts_max: 1,
    };
    Deployment { version, routes: vec![route], ..Deployment::default() }
}

/// Returns the state after some configurations, all read from the catalogue in order.
fn after(configurations: &[(u64, &str)]) -> CurrentDeployment {
    let mut current = CurrentDeployment::default();
    for (version, name) in configurations {
        assert_eq!(offer(&mut current, *version, name), DeploymentChange::Applied);
    }
    current
}

fn offer(current: &mut CurrentDeployment, version: u64, name: &str) -> DeploymentChange {
    current.offer(configuration(version, name))
}

/// Restores a copy, and lists it.
fn restore(current: &mut CurrentDeployment, now: u64, copy: (u64, &str)) {
    current.on_catalogue_restored(at(now), CONTACT_MS);
    assert_eq!(offer(current, copy.0, copy.1), DeploymentChange::Ignored);
    current.on_topic_listed();
}

fn in_force(current: &CurrentDeployment) -> (u64, &str) {
    let deployment = current.get().expect("a configuration is in force");
    (deployment.version, deployment.routes[0].name.as_str())
}

#[test]
fn versions_increase() {
    let mut current = after(&[(3, "a"), (7, "b")]);

    assert_eq!(offer(&mut current, 5, "c"), DeploymentChange::Ignored);
    assert_eq!(offer(&mut current, 7, "c"), DeploymentChange::Ignored);
    assert_eq!(in_force(&current), (7, "b"));
}

#[test]
fn listed_again() {
    let mut current = after(&[(3, "a"), (7, "b")]);
    restore(&mut current, 1_000, (3, "a"));
    assert_eq!(offer(&mut current, 5, "c"), DeploymentChange::Undecided);

    assert_eq!(offer(&mut current, 5, "c"), DeploymentChange::Undecided);

    assert!(current.on_current_read(at(4_000)));
    assert_eq!(in_force(&current), (5, "c"));
}

#[test]
fn copy_ignored() {
    let mut current = after(&[(3, "a"), (7, "b")]);

    restore(&mut current, 1_000, (3, "a"));
    current.on_current_read(at(60_000));

    assert_eq!(in_force(&current), (7, "b"));
}

#[test]
fn unread_copy_ignored() {
    let mut current = after(&[(7, "b")]);

    restore(&mut current, 1_000, (3, "a"));
    current.on_current_read(at(60_000));
    assert_eq!(offer(&mut current, 3, "a"), DeploymentChange::Ignored, "listed once more");

    assert_eq!(in_force(&current), (7, "b"));
}

#[test]
fn reissued_version_applied() {
    let mut current = after(&[(3, "a"), (7, "b")]);
    restore(&mut current, 1_000, (3, "a"));

    assert_eq!(offer(&mut current, 7, "c"), DeploymentChange::Applied);

    assert_eq!(in_force(&current), (7, "c"));
}

#[test]
fn earlier_reissued_version_applied() {
    let mut current = after(&[(3, "a"), (5, "b"), (7, "c")]);
    restore(&mut current, 1_000, (3, "a"));

    assert_eq!(offer(&mut current, 5, "d"), DeploymentChange::Applied);
    assert_eq!(offer(&mut current, 4, "e"), DeploymentChange::Ignored, "versions increase again");
    assert_eq!(offer(&mut current, 6, "f"), DeploymentChange::Applied);

    assert_eq!(in_force(&current), (6, "f"));
}

#[test]
fn written_again() {
    let mut current = after(&[(3, "a"), (7, "c")]);
    restore(&mut current, 1_000, (3, "a"));

    assert_eq!(offer(&mut current, 5, "b"), DeploymentChange::Undecided, "it was skipped");
    assert_eq!(offer(&mut current, 7, "c"), DeploymentChange::Ignored);
    current.on_current_read(at(60_000));
    assert_eq!(offer(&mut current, 5, "x"), DeploymentChange::Ignored, "versions increase again");

    assert_eq!(in_force(&current), (7, "c"));
}

#[test]
fn lower_version_decided() {
    let mut current = after(&[(3, "a"), (7, "b")]);
    restore(&mut current, 1_000, (3, "a"));
    assert_eq!(offer(&mut current, 5, "c"), DeploymentChange::Undecided);

    assert!(!current.on_current_read(at(3_999)));
    assert_eq!(in_force(&current), (7, "b"), "the operators may write again");
    assert!(current.on_current_read(at(4_000)));

    assert_eq!(in_force(&current), (5, "c"));
}

#[test]
fn second_restore_waits() {
    let mut current = after(&[(3, "a"), (7, "b")]);
    restore(&mut current, 1_000, (3, "a"));
    assert_eq!(offer(&mut current, 5, "c"), DeploymentChange::Undecided);

    restore(&mut current, 3_500, (3, "a"));
    current.on_current_read(at(6_000));

    assert_eq!(in_force(&current), (7, "b"), "the second copy does not have it");
}

#[test]
fn higher_version_applied() {
    let mut current = after(&[(7, "b")]);
    current.on_catalogue_restored(at(1_000), CONTACT_MS);

    assert_eq!(offer(&mut current, 8, "c"), DeploymentChange::Applied);
}

/// Guards against a copy's configuration not being recognized because its API keys are in another
/// order in memory, so that a configuration from before the one in force comes into force again.
#[test]
fn copy_with_keys_is_recognized() {
    let with_keys = |version| {
        let workspace = Workspace { name: "w".into(), priority: 0, allowance: None };
        let keys = (0..20_u8).map(|key| KeyHash::of(&[key])).collect();
        let workspaces = Some(Workspaces::new([(workspace, keys)]));
        Deployment { workspaces, ..configuration(version, "a") }
    };
    let mut current = CurrentDeployment::default();
    current.offer(with_keys(1));
    current.offer(with_keys(2));
    current.on_catalogue_restored(at(0), CONTACT_MS);

    assert_eq!(current.offer(with_keys(1)), DeploymentChange::Ignored);
    assert_eq!(in_force(&current).0, 2);
}
