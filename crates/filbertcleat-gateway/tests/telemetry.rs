//! The rate limit of logs, and metrics.

mod support;

use std::fs;
use std::path::Path;
use std::time::Duration;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;
use filbertcleat_gateway::LogDecision;
use filbertcleat_gateway::LogRateLimiter;
use filbertcleat_gateway::METRICS;
use filbertcleat_gateway::MetricsRegistry;
use filbertcleat_serve::RetryPolicy;

#[test]
fn log_surge_thinned() {
    let mut limiter = LogRateLimiter::default();
    let limit = LogRateLimiter::LINES_PER_S;

    for _ in 0..limit {
        assert_eq!(limiter.evaluate(5, "event=a n=1"), LogDecision::Write);
    }
    for _ in 0..10 {
        assert_eq!(limiter.evaluate(999, "event=a n=1"), LogDecision::Drop);
    }
    assert_eq!(
        limiter.evaluate(999, "event=b n=1"),
        LogDecision::Write,
        "other kinds are not limited"
    );
    assert_eq!(
        limiter.evaluate(1_000, "event=a n=2"),
        LogDecision::WriteAfterDropped { dropped: 10 }
    );
    assert_eq!(limiter.evaluate(1_001, "event=a n=3"), LogDecision::Write);
}

#[test]
fn event_kinds_bounded() {
    let mut limiter = LogRateLimiter::default();

    let written = (0..1_000)
        .filter(|n| limiter.evaluate(0, &format!("event=kind-{n} x=1")) == LogDecision::Write);

    assert_eq!(written.count(), 100);
}

#[test]
fn values_recorded() {
    let mut registry = MetricsRegistry::default();
    for line in [
        "f.requests:1|c|#route:r1,outcome:answered",
        "f.requests:2|c|#route:r1,outcome:answered",
        "f.waiting:7|g",
        "f.waiting:3|g",
        "f.gap_ms:10|h",
        "f.gap_ms:500|h",
        "nonsense",
        "f.odd:x|c",
        "f.odd:1|?",
    ] {
        registry.record(line);
    }

    let text = registry.render_text();

    for line in [
        "f_requests{route=\"r1\",outcome=\"answered\"} 3",
        "f_waiting 3",
        "f_gap_ms_count 2",
        "filbertcleat_metrics_left_out 3",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is not in\n{text}");
    }
}

#[test]
fn series_bounded() {
    let mut registry = MetricsRegistry::default();
    (0..10_000).for_each(|n| registry.record(&format!("f.requests:1|c|#route:r{n}")));

    let text = registry.render_text();

    assert_eq!(text.lines().count(), 401);
    assert!(text.contains("filbertcleat_metrics_left_out 9600"));
}

#[test]
fn every_metric_documented() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("the page exists");
    let table = page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`'));
    let described: Vec<_> = table.map(|(name, _)| name.to_owned()).collect();

    for metric in METRICS {
        let rows = described.iter().filter(|name| *name == metric.name()).count();
        assert_eq!(rows, 1, "{} has {rows} rows in docs/OPERATIONS.md", metric.name());
    }
}

#[test]
fn requests_counted() {
    World::run(async {
        let script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
        let desk = Backend::start("d1", script).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut caller = world.caller().await;
        for (id, path) in [("a", "/book/1"), ("b", "/book/1"), ("c", "/lost/1")] {
            caller.call(&Call::new(id, path)).await.expect("a response");
        }

        let text = world.metrics().await;

        for line in [
            "filbertcleat_requests{route=\"book\",kind=\"once\",outcome=\"answered\"} 2",
            "filbertcleat_refusals{reason=\"no route\"} 1",
            "filbertcleat_sends{ending=\"answered\"} 2",
            "filbertcleat_configuration_version 1",
            "filbertcleat_servers{are=\"usable\"} 1",
        ] {
            assert!(text.lines().any(|found| found == line), "{line} is not in\n{text}");
        }
    });
}
