//! Builders for what the decisions are given.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod beside;
pub mod engine;

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
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::ServerId;

/// Returns a time in milliseconds.
pub fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

/// Returns an adapter of the only model.
pub fn key(adapter: &str) -> AdapterKey {
    AdapterKey { model: ModelName::new("base"), adapter: AdapterName::new(adapter) }
}

/// Returns the id of a server.
pub fn id(name: &str) -> ServerId {
    ServerId::new(name)
}

/// Returns the place where the entry is.
pub fn home() -> FailureDomain {
    FailureDomain::new("here")
}

/// Returns the entry of a server at an address of its own.
pub fn listed(name: &str) -> ListedServer {
    let port = 1_000 + name.bytes().fold(0_u16, |sum, byte| sum * 7 % 5_000 + u16::from(byte));
    ListedServer {
        id: id(name),
        service: ServiceName::new("writer"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        domain: home(),
        concurrency_limit: 8,
        is_draining: false,
        models: vec![ListedModel { name: ModelName::new("base"), adapters: Vec::new() }],
        started_unix_ms: 1,
    }
}

/// Returns the news of an agent whose engine holds adapters at version 1.
pub fn news(name: &str, sequence: u64, held: &[&str]) -> AgentUpdate {
    let held = held.iter().map(|adapter| LoadedAdapter {
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
        adapters: held.collect(),
        running_requests: 0,
        waiting_requests: 0,
        memory_used_tokens: 0,
        memory_tokens: 100_000,
        others_prompt_tokens: 0,
        live_entries: 2,
    }
}

/// Returns a fleet of servers that hold adapters, with fresh news at a time.
pub fn fleet(now: MonoTime, servers: &[(&str, &[&str])]) -> Fleet {
    let mut fleet = Fleet::default();
    for (name, held) in servers {
        fleet.apply_listing(now, ListingChange::Upserted(listed(name)));
        fleet.apply_update(now, news(name, 1, held));
    }
    fleet
}

/// Returns a request for an adapter with a prompt.
pub fn demand(adapter: &str, prompt_tokens: u64) -> RequestDemand {
    RequestDemand {
        service: ServiceName::new("writer"),
        model: Some(ModelName::new("base")),
        adapter: Some(key(adapter)),
        min_version: 0,
        prompt_tokens,
        answer_tokens_max: 100,
        gap_objective_ms: 300,
        priority: 1,
    }
}

/// Returns the shape of an engine with four places for adapters.
pub fn shape() -> EngineSpec {
    let model = ModelSpec { name: ModelName::new("base"), weights_mb: 1_000.0, adapter_mb: 10.0 };
    EngineSpec {
        batch_limit: 8,
        memory_tokens: 100_000,
        weights_max_mb: 1_100.0,
        adapter_slots: 4,
        models: vec![model],
    }
}
