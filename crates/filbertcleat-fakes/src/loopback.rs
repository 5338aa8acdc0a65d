//! A whole system on loopback.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertcleat_config::Settings;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::EngineSpec;
use crate::FakeEngine;
use crate::FakePlain;
use crate::FakePlatform;
use crate::LOOPBACK_TOKEN;
use crate::Observed;
use crate::Process;
use crate::TestCaller;
use crate::WeightModel;
use crate::agent_settings;
use crate::entry_settings;
use crate::write_token;

/// Why a system on loopback can't be started or does not become ready.
pub type LoopbackError = Box<dyn std::error::Error + Send + Sync>;

/// How large a system on loopback is.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackSize {
    /// The entries.
    pub entries: usize,
    /// The engines, each with an agent.
    pub engines: usize,
    /// Whether there is a plain service, with an agent.
    pub plain: bool,
    /// The adapters, named `school-0` and so on.
    pub adapters: usize,
    /// What each engine can do.
    pub spec: EngineSpec,
    /// The loads a second of the weight store.
    pub loads_per_s: f64,
}

impl Default for LoopbackSize {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            plain: true,
            adapters: 6,
            spec: EngineSpec::quick(),
            loads_per_s: 20.0,
        }
    }
}

/// A whole system on loopback, with stand-ins for the platform.
#[derive(Debug)]
pub struct Loopback {
    /// The platform's services.
    pub platform: FakePlatform,
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// The plain service.
    pub plain: Option<FakePlain>,
    /// What the stand-ins saw.
    pub observed: Observed,
    /// The entries.
    pub entries: Vec<Process>,
    /// The agents, of the engines first.
    pub agents: Vec<Process>,
    token: String,
    size: LoopbackSize,
}

impl Loopback {
    /// The time within which a system becomes ready.
    const READY_WITHIN: Duration = Duration::from_secs(20);

    /// Starts a system, configures its adapters, and waits until all processes serve.
    pub async fn start(size: LoopbackSize) -> Result<Self, LoopbackError> {
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        let observed = Observed::default();
        let platform = FakePlatform::start(any).await?;
        let mut system = Self {
            platform,
            engines: Vec::new(),
            plain: None,
            observed,
            entries: Vec::new(),
            agents: Vec::new(),
            token: write_token()?,
            size,
        };
        for number in 0..size.engines {
            let name = format!("engine-{number}");
            let weights = WeightModel::new(size.loads_per_s);
            let observed = system.observed.clone();
            system.engines.push(FakeEngine::start(any, &name, size.spec, weights, observed).await?);
        }
        if size.plain {
            system.plain = Some(FakePlain::start(any, system.observed.clone()).await?);
        }
        for number in 0..size.entries {
            let settings = system.entry_settings(number);
            system.entries.push(Process::start(settings).await?);
        }
        for number in 0..size.engines + usize::from(size.plain) {
            let settings = system.agent_settings(number);
            system.agents.push(Process::start(settings).await?);
        }
        system.configure().await?;
        system.wait_until_live(size.entries + system.agents.len(), 1).await?;
        Ok(system)
    }

    /// Returns a caller of an entry.
    pub fn caller(&self, entry: usize) -> TestCaller {
        let address = self.entries[entry].callers;
        TestCaller::new(address.expect("an entry listens for callers"))
    }

    /// Returns an operator at an entry.
    pub fn operator(&self, entry: usize) -> TestCaller {
        let address = self.entries[entry].operators;
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
        let backend = match (self.engines.get(number), &self.plain) {
            (Some(engine), _) => format!(
                "url: {}\nservice: brief-writer\nkind: engine\nmodel: base\nslots: {}\nbatch: {}\nchecks_fence: {}\nload_timeout_ms: 1500\nsilence_ms: 3000",
                engine.url(),
                self.size.spec.slots,
                self.size.spec.batch,
                self.size.spec.checks_fence
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
        self.entries[number] = Process::start(settings).await?;
        Ok(())
    }

    /// Kills an agent and starts another in its place.
    pub async fn replace_agent(&mut self, number: usize) -> Result<(), LoopbackError> {
        self.agents[number].kill();
        let settings = self.agent_settings(number);
        self.agents[number] = Process::start(settings).await?;
        Ok(())
    }

    /// Returns the status of all processes, as the first entry sees them.
    pub async fn status(&self) -> Result<Vec<Value>, LoopbackError> {
        let answer = self.operator(0).send(Method::GET, "/operator/status", &Value::Null).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Submits a patch by the first entry, and tries again while it can't take any.
    pub async fn patch(&self, base: u64, changes: &Value) -> Result<(), LoopbackError> {
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
        self.patch(0, &json!(changes)).await
    }

    fn seeds(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.peers.to_string()).collect()
    }
}
