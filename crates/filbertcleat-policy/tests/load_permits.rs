//! The order in which loads get the permit of a weight store.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_config::LoadPermitPolicy;
use filbertcleat_policy::LoadCoordinator;
use filbertcleat_policy::LoadRequest;

const HOLD_MS: u64 = 1_000;

fn adapter(name: &str) -> AdapterRef {
    format!("{name}@1").parse().expect("a valid adapter")
}

fn request(name: &str, class: Class) -> LoadRequest {
    LoadRequest { adapter: adapter(name), class, urgency: 1.0, urgency_growth_per_s: 0.0 }
}

/// Grants `count` permits one after the other and returns the adapters.
fn granted(coordinator: &mut LoadCoordinator, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..count {
        let Some(grant) = coordinator.grant_next(MonoTime::ZERO) else { break };
        coordinator.release(grant.id);
        names.push(grant.adapter.to_string());
    }
    names
}

/// Routine loads go ahead only of key-account loads that went ahead of them.
#[test]
fn idle_calls_change_nothing() {
    let mut coordinator = LoadCoordinator::new(LoadPermitPolicy::Urgency, HOLD_MS, 0);
    assert!(granted(&mut coordinator, 1).is_empty());
    let node = NodeName::new("agent-1");
    for _ in 0..5 {
        assert!(coordinator.grant_next(MonoTime::ZERO).is_none());
    }
    let requests = vec![request("key", Class::KeyAccount), request("routine", Class::Routine)];
    coordinator.set_requests(MonoTime::ZERO, &node, requests);

    assert_eq!(granted(&mut coordinator, 2), ["key@1", "routine@1"]);
}

/// Key-account loads without routine ones beside them count for nothing.
#[test]
fn lone_loads_change_nothing() {
    let mut coordinator = LoadCoordinator::new(LoadPermitPolicy::Urgency, HOLD_MS, 0);
    let node = NodeName::new("agent-1");
    let lone = (0..4).map(|number| request(&format!("lone-{number}"), Class::KeyAccount));
    coordinator.set_requests(MonoTime::ZERO, &node, lone.collect());
    assert_eq!(granted(&mut coordinator, 4).len(), 4);
    let requests = vec![request("key", Class::KeyAccount), request("routine", Class::Routine)];
    coordinator.set_requests(MonoTime::ZERO, &node, requests);

    assert_eq!(granted(&mut coordinator, 2), ["key@1", "routine@1"]);
}

/// A routine load that is pending gets each fourth permit.
#[test]
fn routine_load_gets_turn() {
    let mut coordinator = LoadCoordinator::new(LoadPermitPolicy::Urgency, HOLD_MS, 0);
    let node = NodeName::new("agent-1");
    let key_account = (0..5).map(|number| request(&format!("key-{number}"), Class::KeyAccount));
    let requests = key_account.chain([request("routine", Class::Routine)]).collect();
    coordinator.set_requests(MonoTime::ZERO, &node, requests);

    let position = granted(&mut coordinator, 6).iter().position(|name| name == "routine@1");
    assert_eq!(position, Some(3));
}
