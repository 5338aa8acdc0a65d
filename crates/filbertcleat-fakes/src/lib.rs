//! Small stand-ins for the engines and the platform, and what measures the decisions.
//!
//! Each stand-in is a plain model with a thin HTTP server around it, so that the bench drives the
//! same timing in virtual time that the daemons meet on loopback.

mod answer;
mod client;
mod engine_model;
mod engine_server;
mod engine_spec;
mod faults;
mod http;
mod loopback;
mod observed;
mod plain_server;
mod platform_server;
mod process;
mod settings;
mod sse_reader;
mod weight_model;

pub use answer::answer_text;
pub use answer::answer_tokens;
pub use client::Reply;
pub use client::TestCaller;
pub use engine_model::EngineModel;
pub use engine_model::ModelCall;
pub use engine_model::Produced;
pub use engine_server::FakeEngine;
pub use engine_spec::EngineSpec;
pub use faults::Faults;
pub use http::serve_http;
pub use loopback::Loopback;
pub use loopback::LoopbackError;
pub use loopback::LoopbackSize;
pub use observed::Observed;
pub use observed::Seen;
pub use plain_server::FakePlain;
pub use platform_server::FakePlatform;
pub use process::Process;
pub use settings::LOOPBACK_TOKEN;
pub use settings::agent_settings;
pub use settings::entry_settings;
pub use settings::write_token;
pub use weight_model::WeightModel;
