//! News as messages and back.

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::AgentNews;
use filbertcleat_serve::EngineShape;
use filbertcleat_serve::EntryNews;
use filbertcleat_serve::HeldAdapter;
use filbertcleat_serve::ModelDemand;
use filbertcleat_serve::ModelShape;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::Want;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram;

/// News of either side.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PeerUpdate {
    /// An entry's.
    Entry(EntryNews),
    /// An agent's.
    Agent(AgentNews),
}

/// A datagram of another version, which names nothing known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownUpdate;

impl From<&PeerUpdate> for v1::Datagram {
    fn from(news: &PeerUpdate) -> Self {
        let news = match news {
            PeerUpdate::Entry(entry) => datagram::News::Entry(entry_out(entry)),
            PeerUpdate::Agent(agent) => datagram::News::Agent(agent_out(agent)),
        };
        Self { news: Some(news) }
    }
}

impl TryFrom<v1::Datagram> for PeerUpdate {
    type Error = UnknownUpdate;

    fn try_from(datagram: v1::Datagram) -> Result<Self, UnknownUpdate> {
        match datagram.news.ok_or(UnknownUpdate)? {
            datagram::News::Entry(entry) => Ok(Self::Entry(entry_in(entry))),
            datagram::News::Agent(agent) => Ok(Self::Agent(agent_in(agent))),
        }
    }
}

fn entry_out(news: &EntryNews) -> v1::EntryNews {
    let wants = news.wants.iter().map(|want| v1::Want {
        model: want.key.model.to_string(),
        adapter: want.key.adapter.to_string(),
        version: want.version,
        priority: u32::from(want.priority),
        waiting: want.waiting,
    });
    let uses = news.uses.iter().map(|(key, count)| v1::Use {
        model: key.model.to_string(),
        adapter: key.adapter.to_string(),
        count: *count,
    });
    let demand = news.demand.iter().map(|demand| v1::ModelDemand {
        model: demand.model.to_string(),
        work: demand.work,
        engines: demand.engines,
    });
    v1::EntryNews {
        entry: news.entry,
        sequence: news.sequence,
        server: news.server.to_string(),
        wants: wants.collect(),
        uses: uses.collect(),
        shape: news.shape.as_ref().map(shape_out),
        demand: demand.collect(),
        sent_tokens: news.sent_tokens,
    }
}

fn entry_in(news: v1::EntryNews) -> EntryNews {
    let wants = news.wants.into_iter().map(|want| Want {
        key: key(&want.model, &want.adapter),
        version: want.version,
        priority: u8::try_from(want.priority).unwrap_or(u8::MAX),
        waiting: want.waiting,
    });
    let uses = news.uses.into_iter().map(|item| (key(&item.model, &item.adapter), item.count));
    let demand = news.demand.into_iter().map(|demand| ModelDemand {
        model: ModelName::new(&demand.model),
        work: demand.work,
        engines: demand.engines,
    });
    EntryNews {
        entry: news.entry,
        sequence: news.sequence,
        server: ServerId::new(&news.server),
        wants: wants.collect(),
        uses: uses.collect(),
        shape: news.shape.map(shape_in),
        demand: demand.collect(),
        sent_tokens: news.sent_tokens,
    }
}

fn agent_out(news: &AgentNews) -> v1::AgentNews {
    let held = news.held.iter().map(|held| v1::HeldAdapter {
        model: held.key.model.to_string(),
        adapter: held.key.adapter.to_string(),
        version: held.version,
        stage: i32::from(stage_out(held.stage)),
    });
    v1::AgentNews {
        agent: news.agent,
        server: news.server.to_string(),
        sequence: news.sequence,
        models: news.models.iter().map(ToString::to_string).collect(),
        loading: news.loading.iter().map(ToString::to_string).collect(),
        held: held.collect(),
        running: news.running,
        waiting: news.waiting,
        memory_used_tokens: news.memory_used_tokens,
        memory_tokens: news.memory_tokens,
        others_tokens: news.others_tokens,
        entries: news.entries,
    }
}

fn agent_in(news: v1::AgentNews) -> AgentNews {
    let held = news.held.into_iter().map(|held| HeldAdapter {
        key: key(&held.model, &held.adapter),
        version: held.version,
        stage: stage_in(held.stage()),
    });
    AgentNews {
        agent: news.agent,
        server: ServerId::new(&news.server),
        sequence: news.sequence,
        models: news.models.iter().map(|model| ModelName::new(model)).collect(),
        loading: news.loading.iter().map(|model| ModelName::new(model)).collect(),
        held: held.collect(),
        running: news.running,
        waiting: news.waiting,
        memory_used_tokens: news.memory_used_tokens,
        memory_tokens: news.memory_tokens,
        others_tokens: news.others_tokens,
        entries: news.entries,
    }
}

fn stage_out(stage: AdapterStage) -> v1::AdapterStage {
    match stage {
        AdapterStage::Held => v1::AdapterStage::Held,
        AdapterStage::Coming => v1::AdapterStage::Coming,
        AdapterStage::Going => v1::AdapterStage::Going,
    }
}

fn stage_in(stage: v1::AdapterStage) -> AdapterStage {
    match stage {
        v1::AdapterStage::Held => AdapterStage::Held,
        v1::AdapterStage::Coming => AdapterStage::Coming,
        v1::AdapterStage::Going => AdapterStage::Going,
    }
}

fn shape_out(shape: &EngineShape) -> v1::EngineShape {
    let models = shape.models.iter().map(|model| v1::ModelShape {
        name: model.name.to_string(),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    });
    v1::EngineShape {
        slots: shape.slots,
        memory_tokens: shape.memory_tokens,
        weights_max_mb: shape.weights_max_mb,
        adapter_places: u32::try_from(shape.adapter_places).unwrap_or(u32::MAX),
        models: models.collect(),
    }
}

fn shape_in(shape: v1::EngineShape) -> EngineShape {
    let models = shape.models.into_iter().map(|model| ModelShape {
        name: ModelName::new(&model.name),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    });
    EngineShape {
        slots: shape.slots,
        memory_tokens: shape.memory_tokens,
        weights_max_mb: shape.weights_max_mb,
        adapter_places: shape.adapter_places as usize,
        models: models.collect(),
    }
}

fn key(model: &str, adapter: &str) -> AdapterKey {
    AdapterKey { model: ModelName::new(model), adapter: AdapterName::new(adapter) }
}
