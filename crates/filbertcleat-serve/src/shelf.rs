//! Which adapters the agent beside an engine orders.

mod order;
mod prompts;
mod report;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;

pub use self::order::Order;
pub use self::order::OrderKind;
use self::prompts::Prompts;
pub use self::report::EngineReport;
use crate::AdapterKey;
use crate::AdapterStage;
use crate::EngineShape;
use crate::EntryNews;
use crate::HeldAdapter;
use crate::Want;

/// The places for adapters on one engine, and who wants what there.
///
/// The agent is the only one that orders, so a belief about the engine can only be behind by the
/// agent's own orders. An order without an answer may still be carried out, once, as long as the
/// engine's count of orders is the one that it expects: it is repeated with the same count, so that
/// at most one of the repeats is carried out.
#[derive(Debug, Default)]
pub struct Shelf {
    entries: BTreeMap<u64, Heard>,
    shape: Option<EngineShape>,
    report: Option<EngineReport>,
    used_at: BTreeMap<AdapterKey, MonoTime>,
    going: BTreeMap<AdapterKey, MonoTime>,
    /// Adapters whose drop waits for runs.
    dropping: BTreeMap<AdapterKey, WaitingDrop>,
    sent: Option<Order>,
    refused_until: MonoTime,
    prompts: Prompts,
}

/// A drop that waits for runs.
#[derive(Clone, Copy, Debug)]
struct WaitingDrop {
    since: MonoTime,
    /// Whether a report has named the adapter since, so that one that does not shows the end.
    was_named: bool,
}

#[derive(Debug)]
struct Heard {
    at: MonoTime,
    news: EntryNews,
}

impl Shelf {
    /// An entry that is silent for longer has ended or is cut off: six of its messages.
    const ENTRY_LIVE_MS: u64 = 3_000;
    /// What an entry wants lapses sooner, as its requests wait a second or two at most.
    const WANT_LIVE_MS: u64 = 1_200;
    /// The time for which a drop that waits keeps its place: the longest time budget of a stream on
    /// the first deployments.
    const DROPPING_MS: u64 = 30_000;
    /// Adapters on their way to one engine at a time, as engines allow.
    const COMING_MAX: usize = 4;
    /// Places kept free, so that a load needs not wait for another adapter to go. More would cost
    /// the adapters that they could hold.
    const SPARE_PLACES: usize = 1;
    /// The pause after the engine refused an order, so that its report can catch up.
    const REFUSED_MS: u64 = 60;

    /// Takes in what an entry says.
    pub fn hear(&mut self, now: MonoTime, news: EntryNews) {
        let known = self.entries.get(&news.entry).map_or(0, |heard| heard.news.sequence);
        if news.sequence <= known {
            return;
        }
        self.prompts.hear(now, news.entry, news.sent_tokens);
        for (key, _) in &news.uses {
            self.used_at.insert(key.clone(), now);
            if !self.dropping.contains_key(key) {
                self.going.remove(key);
            }
        }
        for want in &news.wants {
            self.used_at.insert(want.key.clone(), now);
        }
        if let Some(shape) = &news.shape {
            self.shape = Some(shape.clone());
        }
        self.entries.insert(news.entry, Heard { at: now, news });
    }

    /// Takes in the engine's report.
    pub fn report(&mut self, report: EngineReport) {
        let is_restarted = self.report.as_ref().is_some_and(|known| {
            known.server != report.server
                || known.born_ms != report.born_ms
                || known.sequence > report.sequence
        });
        if is_restarted {
            self.sent = None;
            self.going.clear();
            self.dropping.clear();
            self.used_at.clear();
        }
        if let Some(order) = &self.sent
            && report.sequence > order.expected
        {
            self.sent = None;
        }
        let is_held = |key: &AdapterKey| report.held.iter().any(|(held, _)| held == key);
        self.going.retain(|key, _| is_held(key));
        self.dropping.retain(|key, drop| {
            let is_over = drop.was_named && !is_held(key);
            drop.was_named |= is_held(key);
            !is_over
        });
        self.report = Some(report);
    }

    /// Forgets the engine's report, as the engine does not answer.
    pub fn lose(&mut self) {
        self.report = None;
    }

    /// Returns the entries heard lately.
    pub fn entries(&self, now: MonoTime) -> usize {
        self.entries.values().filter(|heard| heard.is_live(now, Self::ENTRY_LIVE_MS)).count()
    }

    /// Returns the prompts that other entries have sent within the window, in tokens.
    pub fn others_tokens(&self, now: MonoTime, entry: u64) -> u64 {
        self.prompts.others(now, entry)
    }

    /// Returns the engine's last report.
    pub fn engine(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// Returns the adapters held and coming, and which of them are going.
    pub fn held(&self) -> Vec<HeldAdapter> {
        let Some(report) = &self.report else { return Vec::new() };
        let held = report.held.iter().filter(|(key, _)| !self.is_being_replaced(key));
        let held = held.map(|(key, version)| {
            let is_going = self.going.contains_key(key);
            let stage = if is_going { AdapterStage::Going } else { AdapterStage::Held };
            HeldAdapter { key: key.clone(), version: *version, stage }
        });
        let coming = report.coming.iter().map(|(key, version)| HeldAdapter {
            key: key.clone(),
            version: *version,
            stage: AdapterStage::Coming,
        });
        held.chain(coming).collect()
    }

    /// Returns whether orders are under way or waited for, so that the report should be read often.
    pub fn is_busy(&self, now: MonoTime) -> bool {
        let is_coming = self.report.as_ref().is_some_and(|report| !report.coming.is_empty());
        self.sent.is_some() || is_coming || !self.going.is_empty() || !self.wants(now).is_empty()
    }

    /// Returns the next order to give, if any.
    ///
    /// An adapter is dropped only after entries had `announced_ms` to hear that it is going.
    pub fn next_order(&mut self, now: MonoTime, announced_ms: u64) -> Option<Order> {
        self.entries.retain(|_, heard| heard.is_live(now, Self::ENTRY_LIVE_MS));
        self.prompts.retain(|entry| self.entries.contains_key(&entry));
        if now < self.refused_until {
            return None;
        }
        // An order without an answer is given again: at most one of the two is carried out.
        if let Some(order) = &self.sent {
            return Some(order.clone());
        }

        let report = self.report.clone()?;
        let kind = self.choose(now, &report, announced_ms)?;
        let order = Order { kind, expected: report.sequence, server: report.server };
        self.sent = Some(order.clone());
        Some(order)
    }

    /// Notes that the engine accepted an order.
    ///
    /// A drop that is accepted but not done waits for runs. It keeps its place until reports cease to
    /// name the adapter, or for as long as runs may last if none has named it since.
    pub fn accepted(&mut self, now: MonoTime, order: &Order, is_done: bool) {
        if self.sent.as_ref() == Some(order) {
            self.sent = None;
        }
        let Some(report) = &mut self.report else { return };
        if report.sequence != order.expected {
            return;
        }
        // The next order need not wait for the next report.
        report.sequence += 1;
        match &order.kind {
            OrderKind::LoadModel(_) => report.is_busy = true,
            OrderKind::Load(key, version) => report.coming.push((key.clone(), *version)),
            OrderKind::Drop(key) if is_done => {
                report.held.retain(|(held, _)| held != key);
                self.going.remove(key);
            }
            OrderKind::Drop(key) => {
                self.dropping.insert(key.clone(), WaitingDrop { since: now, was_named: false });
            }
        }
    }

    /// Notes that the engine refused an order or that it held already.
    pub fn refused(&mut self, now: MonoTime, order: &Order) {
        if self.sent.as_ref() == Some(order) {
            self.sent = None;
        }
        if let OrderKind::Drop(key) = &order.kind {
            self.going.remove(key);
        }
        self.refused_until = now.plus_ms(Self::REFUSED_MS);
    }

    fn choose(
        &mut self,
        now: MonoTime,
        report: &EngineReport,
        announced_ms: u64,
    ) -> Option<OrderKind> {
        if report.is_busy {
            return None;
        }
        let shape = self.shape.clone()?;
        if report.models.is_empty() {
            return self.missing_model(now, &shape).map(OrderKind::LoadModel);
        }

        let wants = self.wants(now);
        self.dropping.retain(|_, drop| now.ms_since(drop.since) <= Self::DROPPING_MS);
        let is_held = |key: &AdapterKey| report.held.iter().any(|(held, _)| held == key);
        let hidden = self.dropping.keys().filter(|key| !is_held(key)).count();
        let taken = report.held.len() + report.coming.len() + hidden;
        let places = places(&shape, report);
        if taken < places && report.coming.len() < Self::COMING_MAX {
            let next = wants.iter().find(|want| self.is_loadable(now, report, want));
            if let Some(want) = next {
                return Some(OrderKind::Load(want.key.clone(), want.version));
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
        let uses = self.uses(now);
        let mut ripe = self.going.iter().filter(|(key, since)| {
            now.ms_since(**since) >= announced_ms
                && !uses.contains(key)
                && !self.dropping.contains_key(*key)
        });
        ripe.next().map(|(key, _)| OrderKind::Drop(key.clone()))
    }

    /// Returns the base model to load onto an engine that holds none.
    fn missing_model(&self, now: MonoTime, shape: &EngineShape) -> Option<ModelName> {
        let mut work: BTreeMap<&ModelName, u32> = BTreeMap::new();
        for heard in self.entries.values().filter(|heard| heard.is_live(now, Self::ENTRY_LIVE_MS)) {
            for (model, count) in &heard.news.demand {
                *work.entry(model).or_default() += count;
            }
        }
        let fits = |model: &&crate::ModelShape| model.weights_mb <= shape.weights_max_mb;
        shape
            .models
            .iter()
            // Of several that are wanted alike, the one that the operators name first.
            .rev()
            .filter(fits)
            .max_by_key(|model| work.get(&model.name).copied().unwrap_or(0))
            .map(|model| model.name.clone())
    }

    /// Announces that the adapter that was idle longest is going, if places run short.
    fn mark_drop(
        &mut self,
        now: MonoTime,
        report: &EngineReport,
        wants: &[Want],
        taken: usize,
        places: usize,
    ) {
        let uses = self.uses(now);
        let missing = wants.iter().filter(|want| self.is_loadable(now, report, want)).count();
        let needed = missing.max(1) + Self::SPARE_PLACES - 1;
        let free = places.saturating_sub(taken) + self.going.len();
        if free < needed {
            let idle = report
                .held
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

    fn is_loadable(&self, now: MonoTime, report: &EngineReport, want: &Want) -> bool {
        let is_coming =
            report.coming.iter().any(|(key, version)| *key == want.key && *version >= want.version);
        let held = report.held.iter().find(|(key, _)| *key == want.key);
        match held {
            Some((_, version)) if *version >= want.version => false,
            // A replacement waits for the runs of the version before, and holds up new requests.
            Some((key, _)) => !is_coming && !self.uses(now).contains(key),
            None => !is_coming,
        }
    }

    fn is_being_replaced(&self, key: &AdapterKey) -> bool {
        let is_coming = self
            .report
            .as_ref()
            .is_some_and(|report| report.coming.iter().any(|(coming, _)| coming == key));
        is_coming
            || matches!(&self.sent, Some(Order { kind: OrderKind::Load(sent, _), .. }) if sent == key)
    }

    fn uses(&self, now: MonoTime) -> BTreeSet<&AdapterKey> {
        let live = self.entries.values().filter(|heard| heard.is_live(now, Self::ENTRY_LIVE_MS));
        live.flat_map(|heard| heard.news.uses.iter().map(|(key, _)| key)).collect()
    }

    /// Returns what all entries want together, the most urgent and most awaited first.
    fn wants(&self, now: MonoTime) -> Vec<Want> {
        let mut wants: BTreeMap<&AdapterKey, Want> = BTreeMap::new();
        let live = self.entries.values().filter(|heard| heard.is_live(now, Self::WANT_LIVE_MS));
        for want in live.flat_map(|heard| &heard.news.wants) {
            wants
                .entry(&want.key)
                .and_modify(|sum| {
                    sum.waiting += want.waiting;
                    sum.version = sum.version.max(want.version);
                    sum.priority = sum.priority.min(want.priority);
                })
                .or_insert_with(|| want.clone());
        }
        let mut wants: Vec<_> = wants.into_values().collect();
        wants.sort_by_key(|want| (want.waiting == 0, want.priority, u32::MAX - want.waiting));
        wants
    }
}

impl Heard {
    fn is_live(&self, now: MonoTime, limit_ms: u64) -> bool {
        now.ms_since(self.at) <= limit_ms
    }
}

/// Returns the places for adapters that the memory for weights leaves, within the engine's number.
fn places(shape: &EngineShape, report: &EngineReport) -> usize {
    let held: Vec<_> =
        shape.models.iter().filter(|model| report.models.contains(&model.name)).collect();
    let weights_mb: f64 = held.iter().map(|model| model.weights_mb).sum();
    let adapter_mb = held.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
    if adapter_mb <= 0.0 {
        return shape.adapter_places;
    }
    let room = ((shape.weights_max_mb - weights_mb) / adapter_mb).max(0.0);
    shape.adapter_places.min(room as usize)
}
