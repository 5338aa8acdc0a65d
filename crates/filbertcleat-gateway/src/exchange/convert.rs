//! News as messages and back.

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::LoadedAdapter;
use filbertcleat_serve::ModelDemand;
use filbertcleat_serve::ModelSpec;
use filbertcleat_serve::ServerId;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram;

/// News of either side.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum News {
    /// An entry's.
    Entry(EntryUpdate),
    /// An agent's.
    Agent(AgentUpdate),
}

/// A datagram of another version, which names nothing known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownNews;

impl From<&News> for v1::Datagram {
    fn from(news: &News) -> Self {
        let news = match news {
            News::Entry(entry) => datagram::Update::Entry(entry_out(entry)),
            News::Agent(agent) => datagram::Update::Agent(agent_out(agent)),
        };
        Self { update: Some(news) }
    }
}

impl TryFrom<v1::Datagram> for News {
    type Error = UnknownNews;

    fn try_from(datagram: v1::Datagram) -> Result<Self, UnknownNews> {
        match datagram.update.ok_or(UnknownNews)? {
            datagram::Update::Entry(entry) => Ok(Self::Entry(entry_in(entry))),
            datagram::Update::Agent(agent) => Ok(Self::Agent(agent_in(agent))),
        }
    }
}

fn entry_out(news: &EntryUpdate) -> v1::EntryUpdate {
    let wants = news.adapter_demand.iter().map(|want| v1::AdapterDemand {
        model: want.key.model.to_string(),
        adapter: want.key.adapter.to_string(),
        version: want.min_version,
        priority: u32::from(want.priority),
        waiting: want.waiting_requests,
    });
    let uses = news.adapters_in_use.iter().map(|(key, count)| v1::AdapterUse {
        model: key.model.to_string(),
        adapter: key.adapter.to_string(),
        count: *count,
    });
    let demand = news.model_demand.iter().map(|demand| v1::ModelDemand {
        model: demand.model.to_string(),
        work: demand.recent_requests,
        engines: demand.engines,
    });
    v1::EntryUpdate {
        entry: news.entry,
        sequence: news.sequence,
        server: news.server.to_string(),
        wants: wants.collect(),
        uses: uses.collect(),
        shape: news.engine_spec.as_ref().map(shape_out),
        demand: demand.collect(),
        sent_tokens: news.sent_prompt_tokens,
    }
}

fn entry_in(news: v1::EntryUpdate) -> EntryUpdate {
    let wants = news.wants.into_iter().map(|want| AdapterDemand {
        key: key(&want.model, &want.adapter),
        min_version: want.version,
        priority: u8::try_from(want.priority).unwrap_or(u8::MAX),
        waiting_requests: want.waiting,
    });
    let uses = news.uses.into_iter().map(|item| (key(&item.model, &item.adapter), item.count));
    let demand = news.demand.into_iter().map(|demand| ModelDemand {
        model: ModelName::new(&demand.model),
        recent_requests: demand.work,
        engines: demand.engines,
    });
    EntryUpdate {
        entry: news.entry,
        sequence: news.sequence,
        server: ServerId::new(&news.server),
        adapter_demand: wants.collect(),
        adapters_in_use: uses.collect(),
        engine_spec: news.shape.map(shape_in),
        model_demand: demand.collect(),
        sent_prompt_tokens: news.sent_tokens,
    }
}

fn agent_out(news: &AgentUpdate) -> v1::AgentUpdate {
    let held = news.adapters.iter().map(|held| v1::LoadedAdapter {
        model: held.key.model.to_string(),
        adapter: held.key.adapter.to_string(),
        version: held.version,
        stage: i32::from(stage_out(held.stage)),
    });
    v1::AgentUpdate {
        agent: news.agent,
        server: news.server.to_string(),
        sequence: news.sequence,
        models: news.available_models.iter().map(ToString::to_string).collect(),
        loading: news.loading_models.iter().map(ToString::to_string).collect(),
        held: held.collect(),
        running: news.running_requests,
        waiting: news.waiting_requests,
        memory_used_tokens: news.memory_used_tokens,
        memory_tokens: news.memory_tokens,
        others_tokens: news.others_prompt_tokens,
        entries: news.live_entries,
    }
}

fn agent_in(news: v1::AgentUpdate) -> AgentUpdate {
    let held = news.held.into_iter().map(|held| LoadedAdapter {
        key: key(&held.model, &held.adapter),
        version: held.version,
        stage: stage_in(held.stage()),
    });
    AgentUpdate {
        agent: news.agent,
        server: ServerId::new(&news.server),
        sequence: news.sequence,
        available_models: news.models.iter().map(|model| ModelName::new(model)).collect(),
        loading_models: news.loading.iter().map(|model| ModelName::new(model)).collect(),
        adapters: held.collect(),
        running_requests: news.running,
        waiting_requests: news.waiting,
        memory_used_tokens: news.memory_used_tokens,
        memory_tokens: news.memory_tokens,
        others_prompt_tokens: news.others_tokens,
        live_entries: news.entries,
    }
}

fn stage_out(stage: AdapterStage) -> v1::AdapterStage {
    match stage {
        AdapterStage::Loaded => v1::AdapterStage::Held,
        AdapterStage::Loading => v1::AdapterStage::Coming,
        AdapterStage::Unloading => v1::AdapterStage::Going,
    }
}

fn stage_in(stage: v1::AdapterStage) -> AdapterStage {
    match stage {
        v1::AdapterStage::Held => AdapterStage::Loaded,
        v1::AdapterStage::Coming => AdapterStage::Loading,
        v1::AdapterStage::Going => AdapterStage::Unloading,
    }
}

fn shape_out(shape: &EngineSpec) -> v1::EngineShape {
    let models = shape.models.iter().map(|model| v1::ModelShape {
        name: model.name.to_string(),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    });
    v1::EngineShape {
        slots: shape.batch_limit,
        memory_tokens: shape.memory_tokens,
        weights_max_mb: shape.weights_max_mb,
        adapter_places: u32::try_from(shape.adapter_slots).unwrap_or(u32::MAX),
        models: models.collect(),
    }
}

fn shape_in(shape: v1::EngineShape) -> EngineSpec {
    let models = shape.models.into_iter().map(|model| ModelSpec {
        name: ModelName::new(&model.name),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    });
    EngineSpec {
        batch_limit: shape.slots,
        memory_tokens: shape.memory_tokens,
        weights_max_mb: shape.weights_max_mb,
        adapter_slots: shape.adapter_places as usize,
        models: models.collect(),
    }
}

fn key(model: &str, adapter: &str) -> AdapterKey {
    AdapterKey { model: ModelName::new(model), adapter: AdapterName::new(adapter) }
}
