//! A simulated engine that can execute orders late.

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::OrderKind;

use super::id;

/// A simulated engine with four adapter slots.
#[derive(Debug)]
pub struct Engine {
    /// The report that the agent reads.
    pub report: EngineReport,
    /// The adapters that are being loaded: key, version and when the load ends.
    loading_until: Vec<(AdapterKey, u64, u64)>,
    /// The orders that the engine executes late, with the times of their execution.
    pub delayed_orders: Vec<(u64, Order)>,
    /// The adapters of running requests, with the times when the requests end.
    running: Vec<(AdapterKey, u64)>,
    /// The adapters whose unload waits for running requests.
    pending_unloads: Vec<AdapterKey>,
    /// Whether reports omit adapters whose unload is pending.
    pub hides_pending_unloads: bool,
    /// The largest number of adapter slots that were occupied at once.
    pub max_occupied_slots: usize,
    /// The load orders for adapters that were already loaded or loading.
    pub duplicate_loads: usize,
    /// The load orders for base models.
    pub model_loads: usize,
    model_loaded_at: u64,
}

impl Engine {
    pub const ADAPTER_SLOTS: usize = 4;
    const ADAPTER_LOAD_MS: u64 = 250;
    const MODEL_LOAD_MS: u64 = 4_000;

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
            loading_until: Vec::new(),
            delayed_orders: Vec::new(),
            running: Vec::new(),
            pending_unloads: Vec::new(),
            hides_pending_unloads: false,
            max_occupied_slots: 0,
            duplicate_loads: 0,
            model_loads: 0,
            model_loaded_at: 0,
        }
    }

    /// Starts a request that no entry has announced to the agent.
    pub fn run(&mut self, key: AdapterKey, until: u64) {
        self.running.push((key, until));
    }

    /// Restarts without adapters and under the same id. Delayed orders are still executed.
    pub fn restart(&mut self) {
        let started_unix_ms = self.report.started_unix_ms + 1;
        let delayed_orders = std::mem::take(&mut self.delayed_orders);
        *self = Self {
            delayed_orders,
            max_occupied_slots: self.max_occupied_slots,
            hides_pending_unloads: self.hides_pending_unloads,
            ..Self::new(&["base"])
        };
        self.report.started_unix_ms = started_unix_ms;
    }

    fn has(&self, key: &AdapterKey, version: u64) -> bool {
        let loading = self.loading_until.iter().map(|(key, version, _)| (key, version));
        let loaded = self.report.loaded_adapters.iter().map(|(key, version)| (key, version));
        loaded.chain(loading).any(|(known, at)| known == key && *at >= version)
    }

    fn unload_adapter(&mut self, key: &AdapterKey) {
        self.report.loaded_adapters.retain(|(loaded, _)| loaded != key);
    }

    /// Advances the engine to a time.
    pub fn pass(&mut self, now: u64) {
        self.running.retain(|(_, until)| *until > now);
        let running: Vec<_> = self.running.iter().map(|(key, _)| key.clone()).collect();
        let (pending, done) = std::mem::take(&mut self.pending_unloads)
            .into_iter()
            .partition(|key| running.contains(key));
        self.pending_unloads = pending;
        let done: Vec<AdapterKey> = done;
        for key in &done {
            self.unload_adapter(key);
        }
        if self.report.is_changing_model && self.model_loaded_at <= now {
            self.report.is_changing_model = false;
            self.report.loaded_models.append(&mut self.report.loading_models);
        }
        let (due, delayed) =
            std::mem::take(&mut self.delayed_orders).into_iter().partition(|(at, _)| *at <= now);
        self.delayed_orders = delayed;
        let due: Vec<(u64, Order)> = due;
        for (_, order) in due {
            self.execute(now, &order);
        }
        let loaded = self.loading_until.iter().filter(|(_, _, until)| *until <= now);
        let loaded: Vec<_> = loaded.map(|(key, version, _)| (key.clone(), *version)).collect();
        for (key, version) in loaded {
            self.loading_until.retain(|(loading, _, _)| *loading != key);
            self.report.loaded_adapters.retain(|(loaded, _)| *loaded != key);
            self.report.loaded_adapters.push((key, version));
        }
        let loading = self.loading_until.iter().map(|(key, version, _)| (key.clone(), *version));
        self.report.loading_adapters = loading.collect();
        self.report.running_requests = u32::try_from(self.running.len()).expect("few requests");
    }

    /// Executes an order if the engine's order count and id are the expected ones. Returns whether
    /// the order is complete, or `None` if it was refused.
    pub fn execute(&mut self, now: u64, order: &Order) -> Option<bool> {
        if order.expected_order_count != self.report.order_count
            || order.server != self.report.server
        {
            return None;
        }
        self.report.order_count += 1;
        let mut is_done = false;
        match &order.kind {
            OrderKind::LoadModel(model) => {
                self.model_loads += 1;
                self.report.is_changing_model = true;
                self.report.loading_models.push(model.clone());
                self.model_loaded_at = now + Self::MODEL_LOAD_MS;
            }
            OrderKind::UnloadModel(model) => {
                self.report.loaded_models.retain(|loaded| loaded != model);
                self.report.loaded_adapters.retain(|(loaded, _)| loaded.model != *model);
            }
            // Loading an adapter that is loaded or loading changes nothing.
            OrderKind::LoadAdapter(key, version) if self.has(key, *version) => {
                self.duplicate_loads += 1;
                is_done = true;
            }
            OrderKind::LoadAdapter(key, version) => {
                self.loading_until.push((key.clone(), *version, now + Self::ADAPTER_LOAD_MS));
            }
            // An unload waits for running requests on the adapter.
            OrderKind::UnloadAdapter(key)
                if self.running.iter().any(|(running, _)| running == key) =>
            {
                self.pending_unloads.push(key.clone());
                if self.hides_pending_unloads {
                    self.report.loaded_adapters.retain(|(loaded, _)| loaded != key);
                }
            }
            OrderKind::UnloadAdapter(key) => {
                self.unload_adapter(key);
                is_done = true;
            }
        }
        let new = self.loading_until.iter().filter(|(loading, _, _)| {
            !self.report.loaded_adapters.iter().any(|(loaded, _)| loaded == loading)
        });
        let hidden = if self.hides_pending_unloads { self.pending_unloads.len() } else { 0 };
        let occupied = self.report.loaded_adapters.len() + hidden + new.count();
        self.max_occupied_slots = self.max_occupied_slots.max(occupied);
        Some(is_done)
    }
}
