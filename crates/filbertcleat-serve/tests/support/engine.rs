//! A small engine that loses answers and is late.

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::OrderKind;

use super::id;

/// An engine of four places that may lose answers and carry out orders late.
#[derive(Debug)]
pub struct Engine {
    pub report: EngineReport,
    coming_until: Vec<(AdapterKey, u64, u64)>,
    pub late: Vec<(u64, Order)>,
    running: Vec<(AdapterKey, u64)>,
    dropping: Vec<AdapterKey>,
    /// Whether reports no longer name an adapter whose drop waits.
    pub hides_dropping: bool,
    pub most_held: usize,
    pub doubled: usize,
    /// Base models that were ordered.
    pub loads: usize,
    busy_until: u64,
}

impl Engine {
    pub const PLACES: usize = 4;
    const LOAD_MS: u64 = 250;
    const LOAD_MODEL_MS: u64 = 4_000;

    pub fn new(models: &[&str]) -> Self {
        let report = EngineReport {
            server: id("e"),
            started_unix_ms: 1,
            order_count: 0,
            is_changing_model: false,
            loaded_models: models.iter().map(|model| ModelName::new(model)).collect(),
            loading_models: Vec::new(),
            loaded_adapters: Vec::new(),
            loading_adapters: Vec::new(),
            running_requests: 0,
            waiting_requests: 0,
            memory_used_tokens: 0,
            memory_tokens: 100,
        };
        Self {
            report,
            coming_until: Vec::new(),
            late: Vec::new(),
            running: Vec::new(),
            dropping: Vec::new(),
            hides_dropping: false,
            most_held: 0,
            doubled: 0,
            loads: 0,
            busy_until: 0,
        }
    }

    /// Begins a run that no entry has told the agent of.
    pub fn run(&mut self, key: AdapterKey, until: u64) {
        self.running.push((key, until));
    }

    /// Starts again, empty and under the same id; orders that are late are still to come.
    pub fn restart(&mut self) {
        let born_ms = self.report.started_unix_ms + 1;
        let (late, most_held) = (std::mem::take(&mut self.late), self.most_held);
        *self =
            Self { late, most_held, hides_dropping: self.hides_dropping, ..Self::new(&["base"]) };
        self.report.started_unix_ms = born_ms;
    }

    fn has(&self, key: &AdapterKey, version: u64) -> bool {
        let coming = self.coming_until.iter().map(|(key, version, _)| (key, version));
        let held = self.report.loaded_adapters.iter().map(|(key, version)| (key, version));
        held.chain(coming).any(|(known, at)| known == key && *at >= version)
    }

    fn drop_adapter(&mut self, key: &AdapterKey) {
        self.report.loaded_adapters.retain(|(held, _)| held != key);
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: u64) {
        self.running.retain(|(_, until)| *until > now);
        let running: Vec<_> = self.running.iter().map(|(key, _)| key.clone()).collect();
        let (wait, done) =
            std::mem::take(&mut self.dropping).into_iter().partition(|key| running.contains(key));
        self.dropping = wait;
        let done: Vec<AdapterKey> = done;
        for key in &done {
            self.drop_adapter(key);
        }
        if self.report.is_changing_model && self.busy_until <= now {
            self.report.is_changing_model = false;
            self.report.loaded_models.append(&mut self.report.loading_models);
        }
        let (due, late) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        let due: Vec<(u64, Order)> = due;
        for (_, order) in due {
            self.carry_out(now, &order);
        }
        let arrived = self.coming_until.iter().filter(|(_, _, until)| *until <= now);
        let arrived: Vec<_> = arrived.map(|(key, version, _)| (key.clone(), *version)).collect();
        for (key, version) in arrived {
            self.coming_until.retain(|(coming, _, _)| *coming != key);
            self.report.loaded_adapters.retain(|(held, _)| *held != key);
            self.report.loaded_adapters.push((key, version));
        }
        let coming = self.coming_until.iter().map(|(key, version, _)| (key.clone(), *version));
        self.report.loading_adapters = coming.collect();
        self.report.running_requests = u32::try_from(self.running.len()).expect("few runs");
    }

    /// Carries out an order if its count holds, and returns whether it did and is done with it.
    pub fn carry_out(&mut self, now: u64, order: &Order) -> Option<bool> {
        if order.expected_order_count != self.report.order_count
            || order.server != self.report.server
        {
            return None;
        }
        self.report.order_count += 1;
        let mut is_done = false;
        match &order.kind {
            OrderKind::LoadModel(model) => {
                self.loads += 1;
                self.report.is_changing_model = true;
                self.report.loading_models.push(model.clone());
                self.busy_until = now + Self::LOAD_MODEL_MS;
            }
            OrderKind::UnloadModel(model) => {
                self.report.loaded_models.retain(|held| held != model);
                self.report.loaded_adapters.retain(|(held, _)| held.model != *model);
            }
            // A load of what is held or on its way changes nothing.
            OrderKind::LoadAdapter(key, version) if self.has(key, *version) => {
                self.doubled += 1;
                is_done = true;
            }
            OrderKind::LoadAdapter(key, version) => {
                self.coming_until.push((key.clone(), *version, now + Self::LOAD_MS));
            }
            // A drop waits for the runs of its adapter.
            OrderKind::UnloadAdapter(key)
                if self.running.iter().any(|(running, _)| running == key) =>
            {
                self.dropping.push(key.clone());
                if self.hides_dropping {
                    self.report.loaded_adapters.retain(|(held, _)| held != key);
                }
            }
            OrderKind::UnloadAdapter(key) => {
                self.drop_adapter(key);
                is_done = true;
            }
        }
        let new = self.coming_until.iter().filter(|(coming, _, _)| {
            !self.report.loaded_adapters.iter().any(|(held, _)| held == coming)
        });
        let hidden = if self.hides_dropping { self.dropping.len() } else { 0 };
        self.most_held =
            self.most_held.max(self.report.loaded_adapters.len() + hidden + new.count());
        Some(is_done)
    }
}
