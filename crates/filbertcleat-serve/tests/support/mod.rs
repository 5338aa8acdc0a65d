//! Builders for the inputs of the decisions.

#![allow(dead_code, reason = "each test file uses only some of the builders")]

pub mod agent;
pub mod allowance_site;
pub mod engine;
pub mod large_fleet;
pub mod overload_replay;
pub mod plain_load;
pub mod prefill_engine;
pub mod share_replay;

use filbertcleat_base::AdapterName;
use filbertcleat_base::FailureDomain;
use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListedModel;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::LoadedAdapter;
use filbertcleat_serve::ModelSpec;
use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::SoftwareVersion;

/// Returns the time `ms` milliseconds after the start of a test.
pub fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

/// Returns the key of an adapter of the model `base`.
pub fn key(adapter: &str) -> AdapterKey {
    AdapterKey { model: ModelName::new("base"), adapter: AdapterName::new(adapter) }
}

/// Returns the id of a server.
pub fn id(name: &str) -> ServerId {
    ServerId::new(name)
}

/// Returns the failure domain of the entry.
pub fn local_domain() -> FailureDomain {
    FailureDomain::new("here")
}

/// Returns the catalogue record of a server, with a port that depends on the name.
pub fn listed(name: &str) -> ListedServer {
    let port = 1_000 + name.bytes().fold(0_u16, |sum, byte| sum * 7 % 5_000 + u16::from(byte));
    ListedServer {
        id: id(name),
        service: ServiceName::new("writer"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        domain: local_domain(),
        concurrency_limit: 8,
        software_version: SoftwareVersion::new("v1"),
        is_draining: false,
        models: vec![ListedModel { name: ModelName::new("base"), adapters: Vec::new() }],
        started_unix_ms: 1,
    }
}

/// Returns the update of an agent whose engine has loaded adapters at version 1.
pub fn agent_update(name: &str, sequence: u64, loaded: &[&str]) -> AgentUpdate {
    let adapters = loaded.iter().map(|adapter| LoadedAdapter {
        key: key(adapter),
        version: 1,
        stage: AdapterStage::Loaded,
    });
    AgentUpdate {
        agent: 1,
        server: id(name),
        sequence,
        loading_models: Vec::new(),
        available_models: vec![ModelName::new("base")],
        adapters: adapters.collect(),
        running_requests: 0,
        waiting_requests: 0,
        memory_used_tokens: 0,
        memory_tokens: 100_000,
        others_prompt_tokens: 0,
        others_total_tokens: 0,
        is_leaving: false,
        limit: NamedLimit::Absent,
        live_entries: 2,
    }
}

/// Returns a fleet of servers with loaded adapters and fresh updates.
pub fn fleet(now: MonoTime, servers: &[(&str, &[&str])]) -> Fleet {
    let mut fleet = Fleet::default();
    for (name, loaded) in servers {
        fleet.apply_listing(now, ListingChange::Upserted(listed(name)));
        fleet.apply_update(now, agent_update(name, 1, loaded));
    }
    fleet
}

/// Returns a request for an adapter with a prompt of the given length.
pub fn demand(adapter: &str, prompt_tokens: u64) -> RequestDemand {
    RequestDemand {
        route: "writer".into(),
        service: ServiceName::new("writer"),
        model: Some(ModelName::new("base")),
        adapter: Some(key(adapter)),
        min_version: 0,
        software_version: None,
        last_choices: Vec::new(),
        crash_suspects: Vec::new().into(),
        prefixes: Vec::new().into(),
        prompt_tokens,
        output_tokens_max: 100,
        latency_objective_ms: 1_000,
        gap_objective_ms: 300,
        priority: 1,
        workspace: None,
    }
}

/// Returns the capacity of an engine with four adapter slots.
pub fn engine_spec() -> EngineSpec {
    let model = ModelSpec { name: ModelName::new("base"), weights_mb: 1_000.0, adapter_mb: 10.0 };
    EngineSpec {
        batch_limit: 8,
        memory_tokens: 100_000,
        weights_max_mb: 1_100.0,
        adapter_slots: 4,
        models: vec![model],
    }
}
