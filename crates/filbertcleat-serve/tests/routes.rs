//! Routing by host, path prefix and weight.

use filbertcleat_base::ServiceName;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Target;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str, weights: &[(&str, u64)]) -> Route {
    let targets = weights
        .iter()
        .map(|(service, weight)| Target { service: ServiceName::new(service), weight: *weight });
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::AtMostOnce,
        timeout_ms: 1_000,
        latency_objective_ms: 300,
        gap_objective_ms: 0,
        priority: 0,
        targets: targets.collect(),
        is_public: false,
        attempts_max: 1,
    }
}

fn deployment() -> Deployment {
    let routes = vec![
        route("short", "a.example", "/x/", &[("one", 1)]),
        route("long", "a.example", "/x/y/", &[("two", 1)]),
        route("other", "b.example", "/x/", &[("three", 1)]),
    ];
    Deployment { version: 1, routes, ..Deployment::default() }
}

#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("a.example", "/x/y/1", Some("long"))]
#[case("A.Example:8080", "/x/y/", Some("long"))]
#[case("b.example", "/x/y/1", Some("other"))]
#[case("c.example", "/x/1", None)]
#[case("a.example", "/x", None)]
#[case("a.example", "/z/x/1", None)]
fn longest_prefix(#[case] host: &str, #[case] path: &str, #[case] found: Option<&str>) {
    let deployment = deployment();

    let route = deployment.route(host, path).map(|route| route.name.as_str());

    assert_eq!(route, found);
}

#[test]
fn weights_split_requests() {
    let route = route("split", "a.example", "/", &[("most", 90), ("none", 0), ("few", 10)]);

    let chosen =
        (0..10_000).filter_map(|number| route.choose_service(&format!("request-{number}")));
    let (mut most, mut few) = (0, 0);
    for service in chosen {
        match service.as_str() {
            "most" => most += 1,
            "few" => few += 1,
            other => panic!("a service of weight 0 was chosen: {other}"),
        }
    }

    // Within four standard deviations of a share of a tenth of 10,000.
    assert!((880..=1_120).contains(&few), "{few} of 10000 went to the service with weight 10");
    assert_eq!(most + few, 10_000);
}

#[test]
fn same_request_same_service() {
    let route = route("split", "a.example", "/", &[("one", 1), ("two", 1)]);

    assert_eq!(route.choose_service("request"), route.choose_service("request"));
}

#[test]
fn no_weight_no_service() {
    assert_eq!(route("empty", "a.example", "/", &[]).choose_service("request"), None);
    assert_eq!(route("zero", "a.example", "/", &[("one", 0)]).choose_service("request"), None);
}

#[rstest]
#[case::one(&[("one", 3)], Some("one"))]
#[case::others_without_weight(&[("none", 0), ("one", 1)], Some("one"))]
#[case::one_named_twice(&[("one", 1), ("one", 2)], Some("one"))]
#[case::shared(&[("one", 1), ("other", 1)], None)]
#[case::no_weight(&[("none", 0)], None)]
fn only_service_found(#[case] weights: &[(&str, u64)], #[case] expected: Option<&str>) {
    let route = route("split", "a.example", "/", weights);

    assert_eq!(route.only_service().map(ServiceName::as_str), expected);
}
