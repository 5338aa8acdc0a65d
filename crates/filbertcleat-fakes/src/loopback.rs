//! A whole system on loopback.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertcleat_config::Settings;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::DaemonThread;
use crate::EngineSpec;
use crate::FakeEngine;
use crate::FakePlainService;
use crate::FakePlatform;
use crate::LOOPBACK_TOKEN;
use crate::Recorder;
use crate::TestCaller;
use crate::WeightStoreModel;
use crate::agent_settings;
use crate::entry_settings;
use crate::write_token;

/// Why a system on loopback can't be started or does not become ready.
pub type LoopbackError = Box<dyn std::error::Error + Send + Sync>;

/// How large a system on loopback is.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackConfig {
    /// The entries.
    pub entries: usize,
    /// The engines, each with an agent.
    pub engines: usize,
    /// Whether there is a plain service, with an agent.
    pub has_plain_service: bool,
    /// The adapters, named `school-0` and so on.
    pub adapters: usize,
    /// What each engine can do.
    pub engine_spec: EngineSpec,
    /// The loads a second of the weight store.
    pub loads_per_s: f64,
}

impl Default for LoopbackConfig {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            has_plain_service: true,
            adapters: 6,
            engine_spec: EngineSpec::fast(),
            loads_per_s: 20.0,
        }
    }
}

/// A whole system on loopback, with stand-ins for the platform.
#[derive(Debug)]
pub struct LoopbackSystem {
    /// The platform's services.
    pub platform: FakePlatform,
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// The plain service.
    pub plain_service: Option<FakePlainService>,
    /// What the stand-ins saw.
    pub recorder: Recorder,
    /// The entries.
    pub entries: Vec<DaemonThread>,
    /// The agents, of the engines first.
    pub agents: Vec<DaemonThread>,
    token: String,
    size: LoopbackConfig,
}

impl LoopbackSystem {
    /// The time within which a system becomes ready.
    const READY_WITHIN: Duration = Duration::from_secs(20);

    /// Starts a system, configures its adapters, and waits until all processes serve.
    pub async fn start(size: LoopbackConfig) -> Result<Self, LoopbackError> {
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        let recorder = Recorder::default();
        let platform = FakePlatform::start(any).await?;
        let mut system = Self {
            platform,
            engines: Vec::new(),
            plain_service: None,
            recorder,
            entries: Vec::new(),
            agents: Vec::new(),
            token: write_token()?,
            size,
        };
        for number in 0..size.engines {
            let name = format!("engine-{number}");
            let weights = WeightStoreModel::new(size.loads_per_s);
            let recorder = system.recorder.clone();
            system
                .engines
                .push(FakeEngine::start(any, &name, size.engine_spec, weights, recorder).await?);
        }
        if size.has_plain_service {
            system.plain_service =
                Some(FakePlainService::start(any, system.recorder.clone()).await?);
        }
        for number in 0..size.entries {
            let settings = system.entry_settings(number);
            system.entries.push(DaemonThread::start(settings).await?);
        }
        for number in 0..size.engines + usize::from(size.has_plain_service) {
            let settings = system.agent_settings(number);
            system.agents.push(DaemonThread::start(settings).await?);
        }
        system.configure().await?;
        system.wait_until_live(size.entries + system.agents.len(), 1).await?;
        Ok(system)
    }

    /// Returns a caller of an entry.
    pub fn caller(&self, entry: usize) -> TestCaller {
        let address = self.entries[entry].caller_address;
        TestCaller::new(address.expect("an entry listens for callers"))
    }

    /// Returns an operator at an entry.
    pub fn operator(&self, entry: usize) -> TestCaller {
        let address = self.entries[entry].operator_address;
        TestCaller::new(address.expect("an entry listens for operators"))
            .with_header("authorization", &format!("Bearer {LOOPBACK_TOKEN}"))
            .with_header("x-operator", "tester")
    }

    /// Returns the settings of an entry.
    pub fn entry_settings(&self, number: usize) -> Settings {
        let name = format!("entry-{number}");
        entry_settings(&name, &self.platform.url(), &self.token, &self.seeds())
    }

    /// Returns the settings of an agent; the one after the engines' is the plain service's.
    pub fn agent_settings(&self, number: usize) -> Settings {
        let backend = match (self.engines.get(number), &self.plain_service) {
            (Some(engine), _) => format!(
                "url: {}\nservice: brief-writer\nkind: engine\nmodel: base\nslots: {}\nbatch: {}\nchecks_fence: {}\nload_timeout_ms: 1500\nsilence_ms: 3000",
                engine.url(),
                self.size.engine_spec.adapter_slots,
                self.size.engine_spec.batch_limit,
                self.size.engine_spec.checks_fence
            ),
            (None, Some(plain)) => {
                format!(
                    "url: {}\nservice: ledger\nkind: plain\nbatch: 8\nsilence_ms: 3000",
                    plain.url()
                )
            }
            (None, None) => panic!("no backend server for agent {number}"),
        };
        let name = format!("agent-{number}");
        agent_settings(&name, &self.platform.url(), &self.token, &self.seeds(), &backend)
    }

    /// Kills an entry and starts another in its place.
    pub async fn replace_entry(&mut self, number: usize) -> Result<(), LoopbackError> {
        self.entries[number].kill();
        let settings = self.entry_settings(number);
        self.entries[number] = DaemonThread::start(settings).await?;
        Ok(())
    }

    /// Kills an agent and starts another in its place.
    pub async fn replace_agent(&mut self, number: usize) -> Result<(), LoopbackError> {
        self.agents[number].kill();
        let settings = self.agent_settings(number);
        self.agents[number] = DaemonThread::start(settings).await?;
        Ok(())
    }

    /// Returns the status of all processes, as the first entry sees them.
    pub async fn status(&self) -> Result<Vec<Value>, LoopbackError> {
        let answer = self.operator(0).send(Method::GET, "/operator/status", &Value::Null).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Submits a patch by the first entry, and tries again while it can't take any.
    pub async fn apply_patch(&self, base: u64, changes: &Value) -> Result<(), LoopbackError> {
        let id = format!("patch-on-{base}");
        let patch = json!({ "base": base, "id": id, "operator": "tester", "changes": changes });
        let began = Instant::now();
        loop {
            let answer = self.operator(0).send(Method::POST, "/operator/patch", &patch).await?;
            if answer.status.is_success() {
                return Ok(());
            }
            if began.elapsed() > Self::READY_WITHIN {
                return Err(String::from_utf8_lossy(&answer.body).into_owned().into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until so many processes serve at a configuration version.
    pub async fn wait_until_live(
        &self,
        processes: usize,
        version: u64,
    ) -> Result<(), LoopbackError> {
        let began = Instant::now();
        loop {
            let list = self.status().await?;
            let ready = |status: &&Value| {
                status["config_version"].as_u64() >= Some(version) && status["state"] == "live"
            };
            if list.iter().filter(ready).count() >= processes {
                return Ok(());
            }
            if began.elapsed() > Self::READY_WITHIN {
                return Err(format!("system does not become ready: {list:?}").into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn configure(&self) -> Result<(), LoopbackError> {
        let engine = json!({ "kind": "engine", "model": "base" });
        let plain = json!({ "kind": "plain", "non_repeatable": ["/orders"] });
        let mut changes = vec![
            json!({ "op": "add-model", "model": "base" }),
            json!({ "op": "set-service", "service": "brief-writer", "entry": engine }),
            json!({ "op": "set-service", "service": "ledger", "entry": plain }),
        ];
        for number in 0..self.size.adapters {
            changes.push(json!({
                "op": "add-adapter",
                "adapter": format!("school-{number}"),
                "model": "base",
                "service": "brief-writer",
                "version": 1,
            }));
        }
        self.apply_patch(0, &json!(changes)).await
    }

    fn seeds(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.peer_address.to_string()).collect()
    }
}
