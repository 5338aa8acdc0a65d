//! Decides which load and unload orders an agent sends to its engine.

mod entry_updates;
mod load_concurrency;
mod model_selector;
mod order;
mod pending_unloads;
mod recent_prompts;
mod report;
mod unanswered_loads;

use std::collections::BTreeMap;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;

use self::entry_updates::EntryUpdates;
use self::load_concurrency::LoadConcurrency;
use self::model_selector::ModelChange;
use self::model_selector::ModelSelector;
use self::model_selector::SelectionInput;
pub use self::order::Order;
pub use self::order::OrderKind;
use self::pending_unloads::PendingUnloads;
use self::recent_prompts::RecentPrompts;
pub use self::report::EngineReport;
use self::unanswered_loads::UnansweredLoads;
use crate::AdapterDemand;
use crate::AdapterKey;
use crate::AdapterStage;
use crate::EngineSpec;
use crate::EntryUpdate;
use crate::LoadedAdapter;
use crate::ServerId;

/// Decides the load and unload orders of one engine from its reports and the updates of entries.
///
/// Only this agent sends orders to the engine, so its view of the engine can differ from the real
/// state only by its own orders. An order that got no answer may still be executed, at most once
/// and only while the engine's order count equals the count that the order expects. The scheduler
/// retries such an order with the same expected count, so that the engine executes at most one of
/// the copies.
#[derive(Debug, Default)]
pub struct AdapterScheduler {
    entries: EntryUpdates,
    engine_spec: Option<EngineSpec>,
    /// The engine's last report, updated with the orders that the engine has accepted since.
    report: Option<EngineReport>,
    /// The order count of the engine's last report, without the updates to `report`.
    reported_order_count: u64,
    /// Whether the engine has stopped answering. Its last report must not be forwarded then.
    is_engine_lost: bool,
    last_used_at: BTreeMap<AdapterKey, MonoTime>,
    /// When adapters that matter no more were last discarded from `last_used_at`.
    forgotten_at: MonoTime,
    /// The adapters announced as unloading, with the time of the announcement.
    unloading_since: BTreeMap<AdapterKey, MonoTime>,
    /// The engine incarnation that the catalogue lists on this agent's VM.
    listed_server: Option<ServerId>,
    /// The incarnation of the last order that the engine rejected as misdirected.
    rejected_server: Option<ServerId>,
    pending_unloads: PendingUnloads,
    unanswered_loads: UnansweredLoads,
    load_concurrency: LoadConcurrency,
    model_selector: ModelSelector,
    /// The order that was sent last, until the engine answers it.
    unanswered_order: Option<Order>,
    backoff_until: MonoTime,
    prompts: RecentPrompts,
}

impl AdapterScheduler {
    /// Adapter slots kept free, so that a load need not wait for an unload. Each additional spare
    /// slot would cost a loaded adapter.
    const SPARE_SLOTS: usize = 1;
    /// The time for which the last use of an adapter is remembered that is not on the engine: several
    /// times as long as its demand counts. Callers may name any number of adapters.
    const USE_REMEMBERED_MS: u64 = 10_000;
    /// The interval at which older uses are discarded.
    const FORGET_INTERVAL_MS: u64 = 1_000;
    /// The backoff after the engine refused an order, in which a newer report arrives.
    const REFUSAL_BACKOFF_MS: u64 = 60;

    /// Creates the scheduler of one agent. The seed of its random choices must differ between
    /// agents.
    pub fn new(seed: u64) -> Self {
        Self { model_selector: ModelSelector::new(seed), ..Self::default() }
    }

    /// Applies an update from an entry, unless a later one of the same entry is known.
    pub fn apply_entry_update(&mut self, now: MonoTime, update: EntryUpdate) {
        if !self.entries.is_new(&update) {
            return;
        }
        self.prompts.record_total(now, update.entry, update.sent_prompt_tokens);
        for (key, _) in &update.adapters_in_use {
            self.last_used_at.insert(key.clone(), now);
            if !self.pending_unloads.contains(key) {
                self.unloading_since.remove(key);
            }
        }
        for demand in &update.adapter_demand {
            self.last_used_at.insert(demand.key.clone(), now);
        }
        let is_listed = !update.server.as_str().is_empty();
        if is_listed && self.rejected_server.as_ref() != Some(&update.server) {
            self.listed_server = Some(update.server.clone());
        }
        if let Some(engine_spec) = &update.engine_spec {
            self.engine_spec = Some(engine_spec.clone());
        }
        self.entries.insert(now, update);
        self.forget_unused(now);
    }

    /// Discards the uses of adapters that are neither on the engine nor in demand, once per interval.
    fn forget_unused(&mut self, now: MonoTime) {
        if now.ms_since(self.forgotten_at) < Self::FORGET_INTERVAL_MS {
            return;
        }
        self.forgotten_at = now;
        let report = self.report.as_ref();
        let is_on_engine = |key: &AdapterKey| {
            report.is_some_and(|report| {
                let mut known = report.loaded_adapters.iter().chain(&report.loading_adapters);
                known.any(|(known, _)| known == key)
            })
        };
        self.last_used_at
            .retain(|key, at| now.ms_since(*at) <= Self::USE_REMEMBERED_MS || is_on_engine(key));
    }

    /// Applies a report of the engine. Returns whether it is the first report of an engine
    /// incarnation.
    pub fn apply_report(&mut self, now: MonoTime, report: EngineReport) -> bool {
        self.is_engine_lost = false;
        let previous = self.report.take();
        let previous = previous.filter(|previous| self.is_same_incarnation(previous, &report));
        match &previous {
            Some(previous) => self.reconcile(now, previous, &report),
            None => self.reset(now, &report),
        }
        self.reported_order_count = report.order_count;
        self.load_concurrency.apply_report(now, &report);
        self.report = Some(report);
        previous.is_none()
    }

    /// Discards the state of the previous engine incarnation.
    fn reset(&mut self, now: MonoTime, report: &EngineReport) {
        if let Some(order) = self.unanswered_order.take() {
            self.unanswered_loads.record(now, &order);
        }
        self.unanswered_loads.on_engine_restart();
        self.load_concurrency.on_engine_restart();
        self.model_selector.reset();
        // The catalogue may still list the previous incarnation.
        self.listed_server = None;
        self.unloading_since.clear();
        self.last_used_at.clear();
        self.pending_unloads.reset(now, report);
    }

    fn is_same_incarnation(&self, previous: &EngineReport, report: &EngineReport) -> bool {
        previous.server == report.server
            && previous.started_unix_ms == report.started_unix_ms
            && self.reported_order_count <= report.order_count
    }

    /// Compares a report with the state expected from earlier reports of the same incarnation.
    fn reconcile(&mut self, now: MonoTime, previous: &EngineReport, report: &EngineReport) {
        let is_loaded =
            |key: &AdapterKey| report.loaded_adapters.iter().any(|(loaded, _)| loaded == key);
        if let Some(order) =
            self.unanswered_order.take_if(|order| report.order_count > order.expected_order_count)
        {
            self.unanswered_loads.record(now, &order);
            if let OrderKind::UnloadAdapter(key) = &order.kind
                && is_loaded(key)
            {
                // The engine may have accepted the unload and wait for running requests to end.
                self.pending_unloads.insert(now, key);
            }
        }
        self.unloading_since.retain(|key, _| is_loaded(key));
        self.pending_unloads.apply_report(now, previous, report);
    }

    /// Records that the engine does not answer.
    pub fn on_engine_lost(&mut self) {
        self.is_engine_lost = true;
    }

    /// Returns the number of entries from which an update has arrived recently.
    pub fn live_entries(&self, now: MonoTime) -> usize {
        self.entries.live(now)
    }

    /// Returns the prompt tokens that all entries except `entry` have sent within the prefill
    /// pacing window.
    pub fn others_prompt_tokens(&self, now: MonoTime, entry: u64) -> u64 {
        self.prompts.others_tokens(now, entry)
    }

    /// Returns the prompt tokens that all entries except `entry` have sent since the agent's start.
    pub fn others_total_tokens(&self, entry: u64) -> u64 {
        self.prompts.others_total_tokens(entry)
    }

    /// Returns the engine's last report, or `None` if the engine has stopped answering.
    pub fn engine_report(&self) -> Option<&EngineReport> {
        self.report.as_ref().filter(|_| !self.is_engine_lost)
    }

    /// Returns the loaded base models that accept new requests.
    pub fn available_models(&self) -> Vec<ModelName> {
        let loaded = self.engine_report().into_iter().flat_map(|report| &report.loaded_models);
        loaded.filter(|model| !self.model_selector.is_unloading(model)).cloned().collect()
    }

    /// Returns the loaded and loading adapters of the engine with their stages.
    pub fn adapters(&self) -> Vec<LoadedAdapter> {
        let Some(report) = self.engine_report() else { return Vec::new() };
        let loaded = report.loaded_adapters.iter().filter(|(key, _)| !self.is_being_replaced(key));
        let loaded = loaded.map(|(key, version)| {
            let is_unloading = self.unloading_since.contains_key(key);
            let stage = if is_unloading { AdapterStage::Unloading } else { AdapterStage::Loaded };
            LoadedAdapter { key: key.clone(), version: *version, stage }
        });
        let loading = report.loading_adapters.iter().map(|(key, version)| LoadedAdapter {
            key: key.clone(),
            version: *version,
            stage: AdapterStage::Loading,
        });
        loaded.chain(loading).collect()
    }

    /// Returns whether the engine should be polled at the shorter interval because orders are in
    /// progress or needed.
    pub fn needs_frequent_reports(&self, now: MonoTime) -> bool {
        let is_loading =
            self.engine_report().is_some_and(|report| !report.loading_adapters.is_empty());
        self.unanswered_order.is_some()
            || is_loading
            || !self.unloading_since.is_empty()
            || !self.entries.adapter_demand(now).is_empty()
    }

    /// Returns the next order to send, if any.
    ///
    /// An adapter is unloaded only `announcement_delay_ms` after it was announced as unloading, so
    /// that all entries have learned of it.
    pub fn next_order(&mut self, now: MonoTime, announcement_delay_ms: u64) -> Option<Order> {
        self.entries.retain(now);
        self.prompts.retain(|entry| self.entries.contains(entry));
        if now < self.backoff_until || self.is_engine_lost {
            return None;
        }
        // Retries an unanswered order. The engine executes at most one of the copies.
        if let Some(order) = self.unanswered_order.clone() {
            self.unanswered_loads.record(now, &order);
            return Some(order);
        }

        let report = self.engine_report()?.clone();
        let kind = self.choose_order(now, &report, announcement_delay_ms)?;
        let server = self.target_server(&report);
        let order = Order { kind, expected_order_count: report.order_count, server };
        self.unanswered_order = Some(order.clone());
        Some(order)
    }

    /// Records that the engine accepted an order; `is_done` if the order is already complete.
    ///
    /// An accepted unload that is not complete waits for running requests. Its adapter slot stays
    /// reserved until reports no longer contain the adapter, or, if no report has contained it
    /// since, until the longest request must have ended.
    pub fn on_accepted(&mut self, now: MonoTime, order: &Order, is_done: bool) {
        if self.unanswered_order.as_ref() == Some(order) {
            self.unanswered_order = None;
        }
        let Some(report) = &mut self.report else { return };
        if report.order_count != order.expected_order_count {
            return;
        }
        // Counts the order at once, so that the next order need not wait for the next report.
        report.order_count = report.order_count.saturating_add(1);
        match &order.kind {
            OrderKind::LoadModel(model) => {
                report.is_changing_model = true;
                report.loading_models.push(model.clone());
                self.model_selector.on_change_accepted(now);
            }
            OrderKind::UnloadModel(_) => {
                report.is_changing_model = true;
                self.model_selector.on_change_accepted(now);
            }
            OrderKind::LoadAdapter(key, version) => {
                report.loading_adapters.push((key.clone(), *version));
                self.load_concurrency.on_started(now, key);
            }
            OrderKind::UnloadAdapter(key) if is_done => {
                report.loaded_adapters.retain(|(loaded, _)| loaded != key);
                self.unloading_since.remove(key);
            }
            OrderKind::UnloadAdapter(key) => self.pending_unloads.insert(now, key),
        }
    }

    /// Records that the engine refused an order.
    pub fn on_refused(&mut self, now: MonoTime, order: &Order) {
        if self.unanswered_order.as_ref() == Some(order) {
            self.unanswered_order = None;
        }
        if let OrderKind::UnloadAdapter(key) = &order.kind {
            self.unloading_since.remove(key);
        }
        self.backoff_until = now.plus_ms(Self::REFUSAL_BACKOFF_MS);
    }

    /// Records that the engine is not the incarnation that an order is addressed to.
    pub fn on_misdirected(&mut self, now: MonoTime, order: &Order) {
        self.on_refused(now, order);
        self.rejected_server = Some(order.server.clone());
        self.listed_server = self.listed_server.take().filter(|listed| *listed != order.server);
    }

    /// Returns the incarnation to address an order to: the one that the engine reports, or else the
    /// listed one. The address prevents the next incarnation from executing a delayed order.
    fn target_server(&self, report: &EngineReport) -> ServerId {
        let listed = self.listed_server.as_ref().filter(|_| report.server.as_str().is_empty());
        listed.unwrap_or(&report.server).clone()
    }

    fn choose_order(
        &mut self,
        now: MonoTime,
        report: &EngineReport,
        announcement_delay_ms: u64,
    ) -> Option<OrderKind> {
        if report.is_changing_model {
            return None;
        }
        let engine_spec = self.engine_spec.clone()?;
        let demand = self.entries.adapter_demand(now);
        let slots = adapter_slots(&engine_spec, report);
        let reported = report.loaded_adapters.len() + report.loading_adapters.len();
        self.pending_unloads.expire(now, slots.saturating_sub(reported));
        self.unanswered_loads.expire(now);
        let unreported = self.pending_unloads.unreported_slots(report)
            + self.unanswered_loads.reserved_slots(report.order_count);
        let occupied = reported + unreported;
        if let Some(change) =
            self.choose_model_order(now, &engine_spec, report, occupied, announcement_delay_ms)
        {
            return Some(change);
        }
        if occupied < slots && report.loading_adapters.len() < self.load_concurrency.limit() {
            let next = demand.iter().find(|demand| self.is_loadable(now, report, demand));
            if let Some(demand) = next {
                return Some(OrderKind::LoadAdapter(demand.key.clone(), demand.min_version));
            }
        }
        let unload = self.announced_unload(now, announcement_delay_ms);
        if unload.is_none() {
            self.announce_unload(now, report, &demand, occupied, slots);
        }
        unload
    }

    /// Returns the unload order of an unused adapter whose announcement has reached all entries.
    fn announced_unload(&self, now: MonoTime, announcement_delay_ms: u64) -> Option<OrderKind> {
        let in_use = self.entries.adapters_in_use(now);
        let mut due = self.unloading_since.iter().filter(|(key, since)| {
            now.ms_since(**since) >= announcement_delay_ms
                && !in_use.contains(key)
                && !self.pending_unloads.contains(key)
        });
        due.next().map(|(key, _)| OrderKind::UnloadAdapter(key.clone()))
    }

    /// Returns the next load or unload order for a base model.
    fn choose_model_order(
        &mut self,
        now: MonoTime,
        engine_spec: &EngineSpec,
        report: &EngineReport,
        occupied_slots: usize,
        announcement_delay_ms: u64,
    ) -> Option<OrderKind> {
        if let Some(model) = self.unanswered_loads.model(report.order_count) {
            // A different model might not fit if the unanswered load is still executed.
            return report.loaded_models.is_empty().then(|| OrderKind::LoadModel(model.clone()));
        }
        if engine_spec.models.len() < 2 && !report.loaded_models.is_empty() {
            return None;
        }
        let demand = self.entries.model_demand(now);
        let in_use = self.entries.adapters_in_use(now);
        let is_unloading_model_in_use =
            in_use.iter().any(|key| self.model_selector.is_unloading(&key.model));
        let input = SelectionInput {
            engine_spec,
            report,
            demand: &demand,
            occupied_slots,
            is_unloading_model_in_use,
        };
        let change = self.model_selector.next_change(now, &input, announcement_delay_ms);
        change.map(|change| match change {
            ModelChange::Load(model) => OrderKind::LoadModel(model),
            ModelChange::Unload(model) => OrderKind::UnloadModel(model),
        })
    }

    /// Announces the least recently used idle adapter as unloading if slots run short.
    fn announce_unload(
        &mut self,
        now: MonoTime,
        report: &EngineReport,
        demand: &[AdapterDemand],
        occupied_slots: usize,
        slots: usize,
    ) {
        let in_use = self.entries.adapters_in_use(now);
        let missing = demand.iter().filter(|demand| self.is_loadable(now, report, demand)).count();
        let needed = missing.max(1) + Self::SPARE_SLOTS - 1;
        let free = slots.saturating_sub(occupied_slots) + self.unloading_since.len();
        if free < needed {
            let idle = report
                .loaded_adapters
                .iter()
                .map(|(key, _)| key)
                .filter(|key| !in_use.contains(key) && !self.unloading_since.contains_key(*key))
                .filter(|key| !demand.iter().any(|demand| demand.key == **key))
                .min_by_key(|key| self.last_used_at.get(*key).copied().unwrap_or(MonoTime::ZERO))
                .cloned();
            if let Some(key) = idle {
                self.unloading_since.insert(key, now);
            }
        }
    }

    fn is_loadable(&self, now: MonoTime, report: &EngineReport, demand: &AdapterDemand) -> bool {
        let model = &demand.key.model;
        if !report.loaded_models.contains(model) || self.model_selector.is_unloading(model) {
            return false;
        }
        let is_loading = report
            .loading_adapters
            .iter()
            .any(|(key, version)| *key == demand.key && *version >= demand.min_version);
        let loaded = report.loaded_adapters.iter().find(|(key, _)| *key == demand.key);
        match loaded {
            Some((_, version)) if *version >= demand.min_version => false,
            // A replacement waits for requests on the old version and blocks new requests.
            Some((key, _)) => !is_loading && !self.entries.adapters_in_use(now).contains(key),
            // The effect of a load during a pending unload of the same adapter is undefined.
            None => !is_loading && !self.pending_unloads.contains(&demand.key),
        }
    }

    fn is_being_replaced(&self, key: &AdapterKey) -> bool {
        let is_loading = self.engine_report().is_some_and(|report| {
            report.loading_adapters.iter().any(|(loading, _)| loading == key)
        });
        is_loading
            || matches!(
                &self.unanswered_order,
                Some(Order { kind: OrderKind::LoadAdapter(ordered, _), .. }) if ordered == key
            )
    }
}

/// Returns the adapter slots that fit into the weight memory beside the loaded models, up to the
/// engine's configured maximum.
fn adapter_slots(engine_spec: &EngineSpec, report: &EngineReport) -> usize {
    let loaded: Vec<_> = engine_spec
        .models
        .iter()
        .filter(|model| report.loaded_models.contains(&model.name))
        .collect();
    let weights_mb: f64 = loaded.iter().map(|model| model.weights_mb).sum();
    let adapter_mb = loaded.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
    if adapter_mb <= 0.0 {
        return engine_spec.adapter_slots;
    }
    let fitting = ((engine_spec.weights_max_mb - weights_mb) / adapter_mb).max(0.0);
    engine_spec.adapter_slots.min(fitting as usize)
}
