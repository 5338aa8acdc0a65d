//! Which adapters the agent beside an engine orders.

mod drops;
mod entries;
mod lost;
mod models;
mod order;
mod prompts;
mod report;

use std::collections::BTreeMap;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;

use self::drops::Drops;
use self::entries::Entries;
use self::lost::LostLoads;
use self::models::ModelChange;
use self::models::Models;
use self::models::View;
pub use self::order::Order;
pub use self::order::OrderKind;
use self::prompts::Prompts;
pub use self::report::EngineReport;
use crate::AdapterDemand;
use crate::AdapterKey;
use crate::AdapterStage;
use crate::EngineSpec;
use crate::EntryUpdate;
use crate::LoadedAdapter;
use crate::ServerId;

/// The places for adapters on one engine, and who wants what there.
///
/// The agent is the only one that orders, so a belief about the engine can only be behind by the
/// agent's own orders. An order without an answer may still be carried out, once, as long as the
/// engine's count of orders is the one that it expects: it is repeated with the same count, so that
/// at most one of the repeats is carried out.
#[derive(Debug, Default)]
pub struct AdapterScheduler {
    entries: Entries,
    shape: Option<EngineSpec>,
    /// The engine's last report, with the orders that it has accepted since.
    report: Option<EngineReport>,
    /// The count of orders in the engine's last report itself.
    reported_sequence: u64,
    /// Whether the engine does not answer, so that its last report may not be passed on.
    is_lost: bool,
    used_at: BTreeMap<AdapterKey, MonoTime>,
    going: BTreeMap<AdapterKey, MonoTime>,
    /// The incarnation that the list names beside this agent.
    named: Option<ServerId>,
    /// The incarnation that the engine last said it is not.
    denied: Option<ServerId>,
    drops: Drops,
    lost: LostLoads,
    models: Models,
    sent: Option<Order>,
    refused_until: MonoTime,
    prompts: Prompts,
}

impl AdapterScheduler {
    /// Adapters on their way to one engine at a time, as engines allow.
    const COMING_MAX: usize = 4;
    /// Places kept free, so that a load needs not wait for another adapter to go. More would cost
    /// the adapters that they could hold.
    const SPARE_PLACES: usize = 1;
    /// The pause after the engine refused an order, so that its report can catch up.
    const REFUSED_MS: u64 = 60;

    /// Creates the shelf of one agent, whose random choices come from a seed that differs between
    /// agents.
    pub fn new(seed: u64) -> Self {
        Self { models: Models::new(seed), ..Self::default() }
    }

    /// Takes in what an entry says.
    pub fn apply_entry_update(&mut self, now: MonoTime, news: EntryUpdate) {
        if !self.entries.is_new(&news) {
            return;
        }
        self.prompts.hear(now, news.entry, news.sent_prompt_tokens);
        for (key, _) in &news.adapters_in_use {
            self.used_at.insert(key.clone(), now);
            if !self.drops.contains(key) {
                self.going.remove(key);
            }
        }
        for want in &news.adapter_demand {
            self.used_at.insert(want.key.clone(), now);
        }
        if !news.server.as_str().is_empty() && self.denied.as_ref() != Some(&news.server) {
            self.named = Some(news.server.clone());
        }
        if let Some(shape) = &news.engine_spec {
            self.shape = Some(shape.clone());
        }
        self.entries.hear(now, news);
    }

    /// Takes in the engine's report and returns whether it is the first of a start of the engine.
    pub fn apply_report(&mut self, now: MonoTime, report: EngineReport) -> bool {
        self.is_lost = false;
        let believed = self.report.take();
        let followed = believed.filter(|believed| self.is_same_start(believed, &report));
        match &followed {
            Some(believed) => self.follow(now, believed, &report),
            None => self.begin(now, &report),
        }
        self.reported_sequence = report.order_count;
        self.report = Some(report);
        followed.is_none()
    }

    /// Forgets what was believed of the engine's start before.
    fn begin(&mut self, now: MonoTime, report: &EngineReport) {
        if let Some(order) = self.sent.take() {
            self.lost.lose(now, &order);
        }
        self.lost.restart();
        self.models.begin();
        // The list may still name the incarnation of before.
        self.named = None;
        self.going.clear();
        self.used_at.clear();
        self.drops.begin(now, report);
    }

    fn is_same_start(&self, believed: &EngineReport, report: &EngineReport) -> bool {
        believed.server == report.server
            && believed.started_unix_ms == report.started_unix_ms
            && self.reported_sequence <= report.order_count
    }

    /// Compares a report with what was believed of the same start of the engine.
    fn follow(&mut self, now: MonoTime, believed: &EngineReport, report: &EngineReport) {
        let is_held = |key: &AdapterKey| report.loaded_adapters.iter().any(|(held, _)| held == key);
        if let Some(order) =
            self.sent.take_if(|order| report.order_count > order.expected_order_count)
        {
            self.lost.lose(now, &order);
            if let OrderKind::UnloadAdapter(key) = &order.kind
                && is_held(key)
            {
                // The drop may have been accepted without an answer, and wait for runs.
                self.drops.wait(now, key);
            }
        }
        self.going.retain(|key, _| is_held(key));
        self.drops.report(now, believed, report);
    }

    /// Notes that the engine does not answer.
    pub fn on_engine_lost(&mut self) {
        self.is_lost = true;
    }

    /// Returns the entries heard lately.
    pub fn live_entries(&self, now: MonoTime) -> usize {
        self.entries.live(now)
    }

    /// Returns the prompts that other entries have sent within the window, in tokens.
    pub fn others_prompt_tokens(&self, now: MonoTime, entry: u64) -> u64 {
        self.prompts.others(now, entry)
    }

    /// Returns the engine's last report, unless the engine has ceased to answer.
    pub fn engine_report(&self) -> Option<&EngineReport> {
        self.report.as_ref().filter(|_| !self.is_lost)
    }

    /// Returns the base models that requests may be sent for.
    pub fn available_models(&self) -> Vec<ModelName> {
        let held = self.engine_report().into_iter().flat_map(|report| &report.loaded_models);
        held.filter(|model| !self.models.is_going(model)).cloned().collect()
    }

    /// Returns the adapters held and coming, and which of them are going.
    pub fn adapters(&self) -> Vec<LoadedAdapter> {
        let Some(report) = self.engine_report() else { return Vec::new() };
        let held = report.loaded_adapters.iter().filter(|(key, _)| !self.is_being_replaced(key));
        let held = held.map(|(key, version)| {
            let is_going = self.going.contains_key(key);
            let stage = if is_going { AdapterStage::Unloading } else { AdapterStage::Loaded };
            LoadedAdapter { key: key.clone(), version: *version, stage }
        });
        let coming = report.loading_adapters.iter().map(|(key, version)| LoadedAdapter {
            key: key.clone(),
            version: *version,
            stage: AdapterStage::Loading,
        });
        held.chain(coming).collect()
    }

    /// Returns whether orders are under way or waited for, so that the report should be read often.
    pub fn needs_frequent_reports(&self, now: MonoTime) -> bool {
        let is_coming =
            self.engine_report().is_some_and(|report| !report.loading_adapters.is_empty());
        self.sent.is_some()
            || is_coming
            || !self.going.is_empty()
            || !self.entries.wants(now).is_empty()
    }

    /// Returns the next order to give, if any.
    ///
    /// An adapter is dropped only after entries had `announced_ms` to hear that it is going.
    pub fn next_order(&mut self, now: MonoTime, announced_ms: u64) -> Option<Order> {
        self.entries.retain(now);
        self.prompts.retain(|entry| self.entries.contains(entry));
        if now < self.refused_until || self.is_lost {
            return None;
        }
        // An order without an answer is given again: at most one of the two is carried out.
        if let Some(order) = self.sent.clone() {
            self.lost.lose(now, &order);
            return Some(order);
        }

        let report = self.engine_report()?.clone();
        let kind = self.choose(now, &report, announced_ms)?;
        let server = self.server(&report);
        let order = Order { kind, expected_order_count: report.order_count, server };
        self.sent = Some(order.clone());
        Some(order)
    }

    /// Notes that the engine accepted an order.
    ///
    /// A drop that is accepted but not done waits for runs. It keeps its place until reports cease to
    /// name the adapter, or for as long as runs may last if none has named it since.
    pub fn on_accepted(&mut self, now: MonoTime, order: &Order, is_done: bool) {
        if self.sent.as_ref() == Some(order) {
            self.sent = None;
        }
        let Some(report) = &mut self.report else { return };
        if report.order_count != order.expected_order_count {
            return;
        }
        // The next order need not wait for the next report.
        report.order_count += 1;
        match &order.kind {
            OrderKind::LoadModel(model) => {
                report.is_changing_model = true;
                report.loading_models.push(model.clone());
                self.models.change(now);
            }
            OrderKind::UnloadModel(_) => {
                report.is_changing_model = true;
                self.models.change(now);
            }
            OrderKind::LoadAdapter(key, version) => {
                report.loading_adapters.push((key.clone(), *version));
            }
            OrderKind::UnloadAdapter(key) if is_done => {
                report.loaded_adapters.retain(|(held, _)| held != key);
                self.going.remove(key);
            }
            OrderKind::UnloadAdapter(key) => self.drops.wait(now, key),
        }
    }

    /// Notes that the engine refused an order.
    pub fn on_refused(&mut self, now: MonoTime, order: &Order) {
        if self.sent.as_ref() == Some(order) {
            self.sent = None;
        }
        if let OrderKind::UnloadAdapter(key) = &order.kind {
            self.going.remove(key);
        }
        self.refused_until = now.plus_ms(Self::REFUSED_MS);
    }

    /// Notes that the engine is not the incarnation that an order is for.
    pub fn on_misdirected(&mut self, now: MonoTime, order: &Order) {
        self.on_refused(now, order);
        self.denied = Some(order.server.clone());
        self.named = self.named.take().filter(|named| *named != order.server);
    }

    /// Returns the incarnation that an order is for: the engine's own word, or else the list's. It
    /// keeps an order that is late from the next incarnation.
    fn server(&self, report: &EngineReport) -> ServerId {
        let named = self.named.as_ref().filter(|_| report.server.as_str().is_empty());
        named.unwrap_or(&report.server).clone()
    }

    fn choose(
        &mut self,
        now: MonoTime,
        report: &EngineReport,
        announced_ms: u64,
    ) -> Option<OrderKind> {
        if report.is_changing_model {
            return None;
        }
        let shape = self.shape.clone()?;
        let wants = self.entries.wants(now);
        let places = places(&shape, report);
        let named = report.loaded_adapters.len() + report.loading_adapters.len();
        self.drops.retain(now, places.saturating_sub(named));
        self.lost.retain(now);
        let hidden = self.drops.hidden(report) + self.lost.to_come(report.order_count);
        let taken = named + hidden;
        if let Some(change) = self.next_model(now, &shape, report, taken, announced_ms) {
            return Some(change);
        }
        if taken < places && report.loading_adapters.len() < Self::COMING_MAX {
            let next = wants.iter().find(|want| self.is_loadable(now, report, want));
            if let Some(want) = next {
                return Some(OrderKind::LoadAdapter(want.key.clone(), want.min_version));
            }
        }
        let ripe = self.ripe_drop(now, announced_ms);
        if ripe.is_none() {
            self.mark_drop(now, report, &wants, taken, places);
        }
        ripe
    }

    /// Returns the drop of an adapter that entries know to be going.
    fn ripe_drop(&self, now: MonoTime, announced_ms: u64) -> Option<OrderKind> {
        let uses = self.entries.uses(now);
        let mut ripe = self.going.iter().filter(|(key, since)| {
            now.ms_since(**since) >= announced_ms
                && !uses.contains(key)
                && !self.drops.contains(key)
        });
        ripe.next().map(|(key, _)| OrderKind::UnloadAdapter(key.clone()))
    }

    /// Returns the next order on a base model.
    fn next_model(
        &mut self,
        now: MonoTime,
        shape: &EngineSpec,
        report: &EngineReport,
        taken: usize,
        announced_ms: u64,
    ) -> Option<OrderKind> {
        if let Some(model) = self.lost.model(report.order_count) {
            // Another model beside it might not fit.
            return report.loaded_models.is_empty().then(|| OrderKind::LoadModel(model.clone()));
        }
        if shape.models.len() < 2 && !report.loaded_models.is_empty() {
            return None;
        }
        let demand = self.entries.demand(now);
        let is_used = self.entries.uses(now).iter().any(|key| self.models.is_going(&key.model));
        let view = View { shape, report, demand: &demand, taken, is_used };
        self.models.next(now, &view, announced_ms).map(|change| match change {
            ModelChange::Load(model) => OrderKind::LoadModel(model),
            ModelChange::Drop(model) => OrderKind::UnloadModel(model),
        })
    }

    /// Announces that the adapter that was idle longest is going, if places run short.
    fn mark_drop(
        &mut self,
        now: MonoTime,
        report: &EngineReport,
        wants: &[AdapterDemand],
        taken: usize,
        places: usize,
    ) {
        let uses = self.entries.uses(now);
        let missing = wants.iter().filter(|want| self.is_loadable(now, report, want)).count();
        let needed = missing.max(1) + Self::SPARE_PLACES - 1;
        let free = places.saturating_sub(taken) + self.going.len();
        if free < needed {
            let idle = report
                .loaded_adapters
                .iter()
                .map(|(key, _)| key)
                .filter(|key| !uses.contains(key) && !self.going.contains_key(*key))
                .filter(|key| !wants.iter().any(|want| want.key == **key))
                .min_by_key(|key| self.used_at.get(*key).copied().unwrap_or(MonoTime::ZERO))
                .cloned();
            if let Some(key) = idle {
                self.going.insert(key, now);
            }
        }
    }

    fn is_loadable(&self, now: MonoTime, report: &EngineReport, want: &AdapterDemand) -> bool {
        let model = &want.key.model;
        if !report.loaded_models.contains(model) || self.models.is_going(model) {
            return false;
        }
        let is_coming = report
            .loading_adapters
            .iter()
            .any(|(key, version)| *key == want.key && *version >= want.min_version);
        let held = report.loaded_adapters.iter().find(|(key, _)| *key == want.key);
        match held {
            Some((_, version)) if *version >= want.min_version => false,
            // A replacement waits for the runs of the version before, and holds up new requests.
            Some((key, _)) => !is_coming && !self.entries.uses(now).contains(key),
            // What an engine does with a load while a drop of the same adapter waits is not known.
            None => !is_coming && !self.drops.contains(&want.key),
        }
    }

    fn is_being_replaced(&self, key: &AdapterKey) -> bool {
        let is_coming = self
            .engine_report()
            .is_some_and(|report| report.loading_adapters.iter().any(|(coming, _)| coming == key));
        is_coming
            || matches!(&self.sent, Some(Order { kind: OrderKind::LoadAdapter(sent, _), .. }) if sent == key)
    }
}

/// Returns the places for adapters that the memory for weights leaves, within the engine's number.
fn places(shape: &EngineSpec, report: &EngineReport) -> usize {
    let held: Vec<_> =
        shape.models.iter().filter(|model| report.loaded_models.contains(&model.name)).collect();
    let weights_mb: f64 = held.iter().map(|model| model.weights_mb).sum();
    let adapter_mb = held.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
    if adapter_mb <= 0.0 {
        return shape.adapter_slots;
    }
    let room = ((shape.weights_max_mb - weights_mb) / adapter_mb).max(0.0);
    shape.adapter_slots.min(room as usize)
}
