//! The memory of which software version began a stream.

mod support;

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;

use filbertcleat_base::ServiceName;
use filbertcleat_serve::RequestHash;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::StreamOrigin;
use filbertcleat_serve::StreamOrigins;
use filbertcleat_serve::origin_holders;

use self::support::at;

fn origin(request: u64, version: &str) -> StreamOrigin {
    StreamOrigin {
        request: RequestHash::new(request),
        service: Some(ServiceName::new("writer")),
        software_version: SoftwareVersion::new(version),
    }
}

fn agents(count: u8) -> Vec<IpAddr> {
    (1..=count).map(|last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))).collect()
}

#[test]
fn first_record_holds() {
    let mut origins = StreamOrigins::default();
    origins.record(at(0), origin(1, "v1"));
    origins.record(at(1), origin(1, "v2"));

    assert_eq!(origins.of(RequestHash::new(1)), Some(&origin(1, "v1")));
    assert_eq!(origins.of(RequestHash::new(2)), None);
}

#[test]
fn old_origins_expire() {
    let mut origins = StreamOrigins::default();
    origins.record(at(0), origin(1, "v1"));
    origins.record(at(StreamOrigins::LIFETIME_MS + 1), origin(2, "v1"));

    assert_eq!(origins.of(RequestHash::new(1)), None);
    assert!(origins.of(RequestHash::new(2)).is_some());
}

/// A stream that runs for longer than the lifetime is recorded again; another origin does not profit.
#[test]
fn renewed_origin_lasts() {
    let mut origins = StreamOrigins::default();
    for ms in (0..=90_000).step_by(15_000) {
        origins.record(at(ms), origin(1, "v1"));
        origins.record(at(ms + 1), origin(1, "v2"));
        origins.record(at(ms + 1), origin(2, "v1"));
    }
    let end = 90_000 + StreamOrigins::LIFETIME_MS;

    origins.record(at(end), origin(3, "v1"));
    assert_eq!(origins.of(RequestHash::new(1)), Some(&origin(1, "v1")));

    origins.record(at(end + 1), origin(4, "v1"));
    assert_eq!(origins.of(RequestHash::new(1)), None);
}

#[test]
fn memory_is_bounded() {
    let mut origins = StreamOrigins::default();
    let count = StreamOrigins::COUNT_MAX as u64;
    (0..=count).for_each(|request| origins.record(at(0), origin(request, "v1")));

    assert_eq!(origins.of(RequestHash::new(0)), None);
    assert!(origins.of(RequestHash::new(1)).is_some());
    assert!(origins.of(RequestHash::new(count)).is_some());
}

/// Entries whose lists of VMs differ by one still ask an agent that was told.
#[test]
fn holders_survive_changes() {
    for request in (0..200).map(RequestHash::new) {
        let told = origin_holders(request, agents(20));
        let asked = origin_holders(request, agents(19));

        assert_eq!(told.len(), 3);
        assert!(asked.iter().filter(|agent| told.contains(agent)).count() >= 2, "{request:?}");
    }
}

#[test]
fn holders_are_spread() {
    let mut origins_held: HashMap<IpAddr, u32> = HashMap::new();
    for request in (0..2_000).map(RequestHash::new) {
        for agent in origin_holders(request, agents(20)) {
            *origins_held.entry(agent).or_default() += 1;
        }
    }

    // Each of 20 agents holds 300 of 6,000 on average.
    assert_eq!(origins_held.len(), 20);
    assert!(origins_held.values().all(|count| (150..=600).contains(count)), "{origins_held:?}");
}

/// A VM with several backend servers has one agent.
#[test]
fn repeated_agent_counts_once() {
    let twice = agents(2).into_iter().chain(agents(2));

    assert_eq!(origin_holders(RequestHash::new(7), twice).len(), 2);
}
