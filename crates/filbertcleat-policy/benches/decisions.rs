//! Measures the cost of a routing decision from the current size of a deployment to the design size.

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_config::RoutingPolicy;
use filbertcleat_policy::ReplicaReport;
use filbertcleat_policy::RouteQuery;
use filbertcleat_policy::Router;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn adapter(number: usize) -> AdapterRef {
    format!("adapter-{number:05}@1").parse().expect("a good reference")
}

fn router(replicas: usize, adapters: usize) -> Router {
    let mut router = Router::new(RoutingPolicy::Affinity);
    for number in 0..replicas {
        router.apply_report(ReplicaReport {
            node: format!("agent-{number}").into(),
            service: "service".into(),
            loaded_adapters: (0..4).map(|slot| adapter((number * 4 + slot) % adapters)).collect(),
            pending_adapters: vec![adapter((number * 7) % adapters)],
            pending_key_account_adapters: 0,
            queued_in_share: (number % 5) as u32,
            queued_over_share: 0,
            queued_key_account: 0,
            running_in_share: (number % 4) as u32,
            batch_limit: 4,
            slot_limit: 4,
            spare_rates_per_1000s: vec![3, 10],
            mean_call_ms: 8000,
            mean_load_ms: 600,
        });
    }
    router
}

fn route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for (replicas, adapters) in [(18, 3000), (100, 10_000), (600, 41_000)] {
        let mut router = router(replicas, adapters);
        let names: Vec<_> = (0..adapters).map(adapter).collect();
        let mut rng = SmallRng::seed_from_u64(1);
        let service = "service".into();
        let id = BenchmarkId::new("replicas", replicas);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                let query = RouteQuery {
                    service: &service,
                    adapter: Some(&names[rng.random_range(0..adapters)]),
                    class: Class::Routine,
                    excluded: &[],
                };
                router.choose(MonoTime::from_ms(5), &query, &mut rng)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, route);
criterion_main!(benches);
