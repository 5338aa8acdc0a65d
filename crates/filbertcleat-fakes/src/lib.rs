//! Test doubles of the engines, plain services and platform services, and a loopback system of
//! real entries and agents that use them.
//!
//! The timing of engines and of the weight store is modeled without I/O in [`EngineModel`] and
//! [`WeightStoreModel`]. The HTTP servers and the policy bench, which runs in virtual time, share
//! these models, so that both see the same timing.

mod answer;
mod client;
mod daemon_thread;
mod engine_model;
mod engine_server;
mod engine_spec;
mod faults;
mod http;
mod loopback;
mod plain_service;
mod platform_server;
mod recorder;
mod settings;
mod sse_reader;
mod weight_store_model;

pub use answer::answer_text;
pub use answer::answer_token_count;
pub use client::Reply;
pub use client::TestCaller;
pub use daemon_thread::DaemonThread;
pub use engine_model::EngineCall;
pub use engine_model::EngineModel;
pub use engine_model::ProducedToken;
pub use engine_server::FakeEngine;
pub use engine_spec::EngineSpec;
pub use faults::Faults;
pub use http::serve_http;
pub use loopback::LoopbackConfig;
pub use loopback::LoopbackError;
pub use loopback::LoopbackSystem;
pub use plain_service::FakePlainService;
pub use platform_server::FakePlatform;
pub use recorder::Observation;
pub use recorder::Recorder;
pub use settings::LOOPBACK_TOKEN;
pub use settings::agent_settings;
pub use settings::entry_settings;
pub use settings::write_token_file;
pub use weight_store_model::WeightStoreModel;
