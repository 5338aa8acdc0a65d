//! The memory of routes that have led to other services.

mod support;

use filbertcleat_base::ServiceName;
use filbertcleat_serve::MovedRoutes;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Target;
use rstest::rstest;

use self::support::at;

fn route(path_prefix: &str, targets: &[(&str, u64)]) -> Route {
    let target = |(service, weight): &(&str, u64)| Target {
        service: ServiceName::new(service),
        weight: *weight,
    };
    Route {
        name: path_prefix.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        retry_policy: RetryPolicy::Stream { resumable: true },
        timeout_ms: 10_000,
        latency_objective_ms: 500,
        gap_objective_ms: 300,
        priority: 1,
        targets: targets.iter().map(target).collect(),
        is_public: false,
        attempts_max: 2,
    }
}

/// Returns whether requests for `/a/b/1` may have gone elsewhere, by the routes before.
#[rstest]
#[case::same(vec![route("/a/b/", &[("x", 1)]), route("/a/", &[("z", 1)])], false)]
#[case::other_service(vec![route("/a/b/", &[("y", 1)]), route("/a/", &[("z", 1)])], true)]
#[case::other_weight(vec![route("/a/b/", &[("x", 2)]), route("/a/", &[("z", 1)])], true)]
#[case::new_route(vec![route("/a/", &[("z", 1)])], true)]
#[case::dropped_route(
    vec![route("/a/b/1", &[("y", 1)]), route("/a/b/", &[("x", 1)]), route("/a/", &[("z", 1)])],
    true
)]
#[case::shorter_prefix(vec![route("/a/b/", &[("x", 1)]), route("/a/", &[("y", 1)])], false)]
#[case::other_path(
    vec![route("/a/b/", &[("x", 1)]), route("/a/", &[("z", 1)]), route("/a/b/2", &[("y", 1)])],
    false
)]
fn moves_found(#[case] before: Vec<Route>, #[case] has_moved: bool) {
    let after = [route("/a/b/", &[("x", 1)]), route("/a/", &[("z", 1)])];
    let mut moved = MovedRoutes::default();

    moved.on_replaced(at(1_000), &before, &after);

    assert_eq!(moved.has_moved(at(1_000), &after[0], "/a/b/1"), has_moved);
}

#[test]
fn moves_expire() {
    let (before, after) = ([route("/a/", &[("x", 1)])], [route("/a/", &[("y", 1)])]);
    let mut moved = MovedRoutes::default();
    moved.on_replaced(at(1_000), &before, &after);
    moved.on_replaced(at(2_000), &after, &after);

    assert!(moved.has_moved(at(61_000), &after[0], "/a/1"));
    assert!(!moved.has_moved(at(61_001), &after[0], "/a/1"));
}
