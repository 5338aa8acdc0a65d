//! A complete system on loopback.

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
use crate::write_token_file;

/// An error while starting a system on loopback or communicating with it.
pub type LoopbackError = Box<dyn std::error::Error + Send + Sync>;

/// The size of a system on loopback, with the capacity of its engines and its weight store.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackConfig {
    /// The number of entries.
    pub entries: usize,
    /// The number of engines, each with an agent.
    pub engines: usize,
    /// Whether there is a plain service with an agent.
    pub has_plain_service: bool,
    /// The number of adapters, which are named `school-0`, `school-1` and so on.
    pub adapters: usize,
    /// The capacity and timing of each engine.
    pub engine_spec: EngineSpec,
    /// The adapter loads per second that each engine gets from its weight store.
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

/// Entries and agents on loopback, with test doubles for the platform and the backend servers.
#[derive(Debug)]
pub struct LoopbackSystem {
    /// The platform services.
    pub platform: FakePlatform,
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// The plain service, if configured.
    pub plain_service: Option<FakePlainService>,
    /// The observations of the test doubles.
    pub recorder: Recorder,
    /// The entries.
    pub entries: Vec<DaemonThread>,
    /// The agents of the engines, followed by the agent of the plain service.
    pub agents: Vec<DaemonThread>,
    token_file: String,
    config: LoopbackConfig,
}

impl LoopbackSystem {
    /// The time limit for becoming ready and for submitting a patch.
    const READY_TIMEOUT: Duration = Duration::from_secs(20);

    /// Starts a system, adds its adapters, and waits until all daemons serve them.
    pub async fn start(config: LoopbackConfig) -> Result<Self, LoopbackError> {
        let any_port: SocketAddr = "127.0.0.1:0".parse()?;
        let recorder = Recorder::default();
        let platform = FakePlatform::start(any_port).await?;
        let mut system = Self {
            platform,
            engines: Vec::new(),
            plain_service: None,
            recorder,
            entries: Vec::new(),
            agents: Vec::new(),
            token_file: write_token_file()?,
            config,
        };
        for number in 0..config.engines {
            let name = format!("engine-{number}");
            let weight_store = WeightStoreModel::new(config.loads_per_s);
            let recorder = system.recorder.clone();
            system.engines.push(
                FakeEngine::start(any_port, &name, config.engine_spec, weight_store, recorder)
                    .await?,
            );
        }
        if config.has_plain_service {
            system.plain_service =
                Some(FakePlainService::start(any_port, system.recorder.clone()).await?);
        }
        for number in 0..config.entries {
            let settings = system.entry_settings(number);
            system.entries.push(DaemonThread::start(settings).await?);
        }
        for number in 0..config.engines + usize::from(config.has_plain_service) {
            let settings = system.agent_settings(number);
            system.agents.push(DaemonThread::start(settings).await?);
        }
        system.configure().await?;
        system.wait_until_live(config.entries + system.agents.len(), 1).await?;
        Ok(system)
    }

    /// Returns a client of the caller interface of an entry.
    pub fn caller(&self, entry: usize) -> TestCaller {
        let address = self.entries[entry].caller_address;
        TestCaller::new(address.expect("an entry listens for callers"))
    }

    /// Returns a client of the operator interface of an entry.
    pub fn operator(&self, entry: usize) -> TestCaller {
        let address = self.entries[entry].operator_address;
        TestCaller::new(address.expect("an entry listens for operators"))
            .with_header("authorization", &format!("Bearer {LOOPBACK_TOKEN}"))
            .with_header("x-operator", "tester")
    }

    /// Returns the settings of an entry.
    pub fn entry_settings(&self, number: usize) -> Settings {
        let name = format!("entry-{number}");
        entry_settings(&name, &self.platform.url(), &self.token_file, &self.seeds())
    }

    /// Returns the settings of an agent.
    ///
    /// The agents of the engines come first, followed by the agent of the plain service. Panics if
    /// there is no backend server with this number.
    pub fn agent_settings(&self, number: usize) -> Settings {
        let backend = match (self.engines.get(number), &self.plain_service) {
            (Some(engine), _) => format!(
                "url: {}\nservice: brief-writer\nkind: engine\nmodel: base\nslots: {}\nbatch: {}\nchecks_fence: {}\nload_timeout_ms: 1500\nsilence_ms: 3000",
                engine.url(),
                self.config.engine_spec.adapter_slots,
                self.config.engine_spec.batch_limit,
                self.config.engine_spec.checks_fence
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
        agent_settings(&name, &self.platform.url(), &self.token_file, &self.seeds(), &backend)
    }

    /// Kills an entry and starts a new one with the same name.
    pub async fn replace_entry(&mut self, number: usize) -> Result<(), LoopbackError> {
        self.entries[number].kill();
        let settings = self.entry_settings(number);
        self.entries[number] = DaemonThread::start(settings).await?;
        Ok(())
    }

    /// Kills an agent and starts a new one with the same name.
    pub async fn replace_agent(&mut self, number: usize) -> Result<(), LoopbackError> {
        self.agents[number].kill();
        let settings = self.agent_settings(number);
        self.agents[number] = DaemonThread::start(settings).await?;
        Ok(())
    }

    /// Returns the status of all daemons, as reported by the first entry.
    pub async fn status(&self) -> Result<Vec<Value>, LoopbackError> {
        let response = self.operator(0).send(Method::GET, "/operator/status", &Value::Null).await?;
        Ok(serde_json::from_slice(&response.body)?)
    }

    /// Submits a patch based on version `base` to the first entry, and retries while it fails.
    ///
    /// Returns the last error if the patch still fails after 20 s.
    pub async fn apply_patch(&self, base: u64, changes: &Value) -> Result<(), LoopbackError> {
        let id = format!("patch-on-{base}");
        let patch = json!({ "base": base, "id": id, "operator": "tester", "changes": changes });
        let started_at = Instant::now();
        loop {
            let response = self.operator(0).send(Method::POST, "/operator/patch", &patch).await?;
            if response.status.is_success() {
                return Ok(());
            }
            if started_at.elapsed() > Self::READY_TIMEOUT {
                return Err(String::from_utf8_lossy(&response.body).into_owned().into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until `daemons` daemons are live with at least a configuration version.
    ///
    /// Returns an error after 20 s.
    pub async fn wait_until_live(&self, daemons: usize, version: u64) -> Result<(), LoopbackError> {
        let started_at = Instant::now();
        loop {
            let statuses = self.status().await?;
            let is_ready = |status: &&Value| {
                status["config_version"].as_u64() >= Some(version) && status["state"] == "live"
            };
            if statuses.iter().filter(is_ready).count() >= daemons {
                return Ok(());
            }
            if started_at.elapsed() > Self::READY_TIMEOUT {
                return Err(format!("system did not become ready in time: {statuses:?}").into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Submits the first patch, which adds the model, the services and the adapters.
    async fn configure(&self) -> Result<(), LoopbackError> {
        let engine = json!({ "kind": "engine", "model": "base" });
        let plain = json!({ "kind": "plain", "non_repeatable": ["/orders"] });
        let mut changes = vec![
            json!({ "op": "add-model", "model": "base" }),
            json!({ "op": "set-service", "service": "brief-writer", "entry": engine }),
            json!({ "op": "set-service", "service": "ledger", "entry": plain }),
        ];
        for number in 0..self.config.adapters {
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

    /// Returns the peer addresses of the entries.
    fn seeds(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.peer_address.to_string()).collect()
    }
}
