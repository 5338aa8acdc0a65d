//! Converts updates between entries and agents to protobuf messages and back.

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

/// An update of an entry or an agent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PeerUpdate {
    /// An update of an entry.
    Entry(EntryNews),
    /// An update of an agent.
    Agent(AgentNews),
}

/// The error for a datagram without a known update, as a newer version may send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownUpdate;

impl From<&PeerUpdate> for v1::Datagram {
    fn from(update: &PeerUpdate) -> Self {
        let update = match update {
            PeerUpdate::Entry(entry) => datagram::News::Entry(entry_to_message(entry)),
            PeerUpdate::Agent(agent) => datagram::News::Agent(agent_to_message(agent)),
        };
        Self { news: Some(update) }
    }
}

impl TryFrom<v1::Datagram> for PeerUpdate {
    type Error = UnknownUpdate;

    fn try_from(datagram: v1::Datagram) -> Result<Self, UnknownUpdate> {
        match datagram.news.ok_or(UnknownUpdate)? {
            datagram::News::Entry(entry) => Ok(Self::Entry(entry_from_message(entry))),
            datagram::News::Agent(agent) => Ok(Self::Agent(agent_from_message(agent))),
        }
    }
}

fn entry_to_message(update: &EntryNews) -> v1::EntryNews {
    let wants = update.wants.iter().map(|want| v1::Want {
        model: want.key.model.to_string(),
        adapter: want.key.adapter.to_string(),
        version: want.version,
        priority: u32::from(want.priority),
        waiting: want.waiting,
    });
    let uses = update.uses.iter().map(|(key, count)| v1::Use {
        model: key.model.to_string(),
        adapter: key.adapter.to_string(),
        count: *count,
    });
    let demand = update.demand.iter().map(|demand| v1::ModelDemand {
        model: demand.model.to_string(),
        work: demand.work,
        engines: demand.engines,
    });
    v1::EntryNews {
        entry: update.entry,
        sequence: update.sequence,
        server: update.server.to_string(),
        wants: wants.collect(),
        uses: uses.collect(),
        shape: update.shape.as_ref().map(shape_to_message),
        demand: demand.collect(),
        sent_tokens: update.sent_tokens,
    }
}

fn entry_from_message(message: v1::EntryNews) -> EntryNews {
    let wants = message.wants.into_iter().map(|want| Want {
        key: adapter_key(&want.model, &want.adapter),
        version: want.version,
        priority: u8::try_from(want.priority).unwrap_or(u8::MAX),
        waiting: want.waiting,
    });
    let uses =
        message.uses.into_iter().map(|item| (adapter_key(&item.model, &item.adapter), item.count));
    let demand = message.demand.into_iter().map(|demand| ModelDemand {
        model: ModelName::new(&demand.model),
        work: demand.work,
        engines: demand.engines,
    });
    EntryNews {
        entry: message.entry,
        sequence: message.sequence,
        server: ServerId::new(&message.server),
        wants: wants.collect(),
        uses: uses.collect(),
        shape: message.shape.map(shape_from_message),
        demand: demand.collect(),
        sent_tokens: message.sent_tokens,
    }
}

fn agent_to_message(update: &AgentNews) -> v1::AgentNews {
    let held = update.held.iter().map(|held| v1::HeldAdapter {
        model: held.key.model.to_string(),
        adapter: held.key.adapter.to_string(),
        version: held.version,
        stage: i32::from(stage_to_message(held.stage)),
    });
    v1::AgentNews {
        agent: update.agent,
        server: update.server.to_string(),
        sequence: update.sequence,
        models: update.models.iter().map(ToString::to_string).collect(),
        loading: update.loading.iter().map(ToString::to_string).collect(),
        held: held.collect(),
        running: update.running,
        waiting: update.waiting,
        memory_used_tokens: update.memory_used_tokens,
        memory_tokens: update.memory_tokens,
        others_tokens: update.others_tokens,
        entries: update.entries,
    }
}

fn agent_from_message(message: v1::AgentNews) -> AgentNews {
    let held = message.held.into_iter().map(|held| HeldAdapter {
        key: adapter_key(&held.model, &held.adapter),
        version: held.version,
        stage: stage_from_message(held.stage()),
    });
    AgentNews {
        agent: message.agent,
        server: ServerId::new(&message.server),
        sequence: message.sequence,
        models: message.models.iter().map(|model| ModelName::new(model)).collect(),
        loading: message.loading.iter().map(|model| ModelName::new(model)).collect(),
        held: held.collect(),
        running: message.running,
        waiting: message.waiting,
        memory_used_tokens: message.memory_used_tokens,
        memory_tokens: message.memory_tokens,
        others_tokens: message.others_tokens,
        entries: message.entries,
    }
}

fn stage_to_message(stage: AdapterStage) -> v1::AdapterStage {
    match stage {
        AdapterStage::Held => v1::AdapterStage::Held,
        AdapterStage::Coming => v1::AdapterStage::Coming,
        AdapterStage::Going => v1::AdapterStage::Going,
    }
}

fn stage_from_message(stage: v1::AdapterStage) -> AdapterStage {
    match stage {
        v1::AdapterStage::Held => AdapterStage::Held,
        v1::AdapterStage::Coming => AdapterStage::Coming,
        v1::AdapterStage::Going => AdapterStage::Going,
    }
}

fn shape_to_message(shape: &EngineShape) -> v1::EngineShape {
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

fn shape_from_message(shape: v1::EngineShape) -> EngineShape {
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

fn adapter_key(model: &str, adapter: &str) -> AdapterKey {
    AdapterKey { model: ModelName::new(model), adapter: AdapterName::new(adapter) }
}
