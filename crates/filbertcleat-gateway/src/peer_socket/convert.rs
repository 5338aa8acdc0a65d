//! Converts updates between entries and agents to protobuf messages and back.

mod allowances;

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::AllowanceMessage;
use filbertcleat_serve::AllowanceMove;
use filbertcleat_serve::AllowanceReturn;
use filbertcleat_serve::CrashId;
use filbertcleat_serve::CrashMark;
use filbertcleat_serve::CrashSuspect;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::Fact;
use filbertcleat_serve::LeavingMark;
use filbertcleat_serve::LoadedAdapter;
use filbertcleat_serve::ModelDemand;
use filbertcleat_serve::ModelSpec;
use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::PrefillObservations;
use filbertcleat_serve::PromptPart;
use filbertcleat_serve::PromptTurn;
use filbertcleat_serve::PromptTurnRequest;
use filbertcleat_serve::RequestContent;
use filbertcleat_serve::RequestHash;
use filbertcleat_serve::RequestLimit;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceObservations;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::StreamOrigin;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::crash_mark;
use filbertcleat_wire::v1::datagram;
use filbertcleat_wire::v1::fact;

use self::allowances::allowance_grant;
use self::allowances::allowance_request;
use self::allowances::allowance_to_update;
use self::allowances::bucket_from_message;

/// An update of an entry or an agent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PeerUpdate {
    /// An update of an entry.
    Entry(EntryUpdate),
    /// An update of an agent.
    Agent(AgentUpdate),
    /// The origin of a stream that an agent is asked to remember.
    Origin(StreamOrigin),
    /// The question for the origin of the stream that a request began.
    OriginQuery(RequestHash),
    /// The response to an `OriginQuery`; `None` if the agent does not know the stream.
    OriginReply(RequestHash, Option<StreamOrigin>),
    /// Facts that all processes have to know: all that the sender has, or some.
    Facts { facts: Vec<Fact>, is_complete: bool },
    /// What an entry has observed of the engines, or an agent's response with what all others have.
    Observations { entry: u64, services: Vec<ServiceObservations> },
    /// An entry's question when it may send a prompt.
    PromptTurn { turn: u64, request: PromptTurnRequest },
    /// The response to a `PromptTurn`.
    PromptTurnReply { turn: u64, reply: PromptTurn },
    /// A message about the allowance of a workspace.
    Allowance(AllowanceMessage),
}

/// The error for a datagram without a known update, as a newer version may send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownUpdate;

impl From<&PeerUpdate> for v1::Datagram {
    fn from(update: &PeerUpdate) -> Self {
        let update = match update {
            PeerUpdate::Entry(entry) => datagram::Update::Entry(entry_to_message(entry)),
            PeerUpdate::Agent(agent) => datagram::Update::Agent(agent_to_message(agent)),
            PeerUpdate::Origin(origin) => datagram::Update::Origin(v1::StreamOrigin {
                request: origin.request.get(),
                software_version: origin.software_version.to_string(),
                service: origin.service.as_ref().map(ToString::to_string),
            }),
            PeerUpdate::OriginQuery(request) => {
                datagram::Update::OriginQuery(v1::OriginQuery { request: request.get() })
            }
            PeerUpdate::OriginReply(request, origin) => {
                datagram::Update::OriginReply(v1::OriginReply {
                    request: request.get(),
                    software_version: origin
                        .as_ref()
                        .map(|origin| origin.software_version.to_string()),
                    service: origin
                        .as_ref()
                        .and_then(|origin| origin.service.as_ref())
                        .map(ToString::to_string),
                })
            }
            PeerUpdate::Facts { facts, is_complete } => datagram::Update::Facts(v1::Facts {
                facts: facts.iter().map(fact_to_message).collect(),
                complete: *is_complete,
            }),
            PeerUpdate::Observations { entry, services } => {
                datagram::Update::Observations(v1::Observations {
                    entry: *entry,
                    services: services.iter().map(observations_to_message).collect(),
                })
            }
            PeerUpdate::PromptTurn { turn, request } => {
                datagram::Update::PromptTurn(v1::PromptTurnRequest {
                    turn: *turn,
                    prefill_ms: request.prefill_ms,
                    budget_ms: request.budget_ms,
                    adapter: request.adapter,
                    delay_max_ms: request.delay_max_ms,
                })
            }
            PeerUpdate::PromptTurnReply { turn, reply } => {
                datagram::Update::PromptTurnReply(v1::PromptTurnReply {
                    turn: *turn,
                    delay_ms: reply.delay_ms,
                    hot: reply.is_adapter_hot,
                    full: reply.is_full,
                })
            }
            PeerUpdate::Allowance(message) => allowance_to_update(message),
        };
        Self { update: Some(update) }
    }
}

impl TryFrom<v1::Datagram> for PeerUpdate {
    type Error = UnknownUpdate;

    fn try_from(datagram: v1::Datagram) -> Result<Self, UnknownUpdate> {
        match datagram.update.ok_or(UnknownUpdate)? {
            datagram::Update::Entry(entry) => Ok(Self::Entry(entry_from_message(entry))),
            datagram::Update::Agent(agent) => Ok(Self::Agent(agent_from_message(agent))),
            datagram::Update::Origin(origin) => Ok(Self::Origin(StreamOrigin {
                request: RequestHash::new(origin.request),
                service: origin.service.as_deref().map(ServiceName::new),
                software_version: SoftwareVersion::new(&origin.software_version),
            })),
            datagram::Update::OriginQuery(query) => {
                Ok(Self::OriginQuery(RequestHash::new(query.request)))
            }
            datagram::Update::OriginReply(reply) => {
                let request = RequestHash::new(reply.request);
                let origin = reply.software_version.as_deref().map(|version| StreamOrigin {
                    request,
                    service: reply.service.as_deref().map(ServiceName::new),
                    software_version: SoftwareVersion::new(version),
                });
                Ok(Self::OriginReply(request, origin))
            }
            datagram::Update::Facts(message) => Ok(Self::Facts {
                facts: message.facts.into_iter().filter_map(fact_from_message).collect(),
                is_complete: message.complete,
            }),
            datagram::Update::Observations(message) => Ok(Self::Observations {
                entry: message.entry,
                services: message.services.iter().map(observations_from_message).collect(),
            }),
            datagram::Update::PromptTurn(message) => {
                let v1::PromptTurnRequest { turn, prefill_ms, budget_ms, adapter, delay_max_ms } =
                    message;
                let request = PromptTurnRequest { prefill_ms, budget_ms, delay_max_ms, adapter };
                Ok(Self::PromptTurn { turn, request: request.checked().ok_or(UnknownUpdate)? })
            }
            datagram::Update::PromptTurnReply(reply) => {
                let v1::PromptTurnReply { turn, delay_ms, hot, full } = reply;
                let reply = PromptTurn { delay_ms, is_full: full, is_adapter_hot: hot };
                Ok(Self::PromptTurnReply { turn, reply })
            }
            datagram::Update::AllowanceRequest(message) => {
                Ok(Self::Allowance(AllowanceMessage::Request(allowance_request(&message)?)))
            }
            datagram::Update::AllowanceGrant(message) => {
                Ok(Self::Allowance(AllowanceMessage::Grant(allowance_grant(&message)?)))
            }
            datagram::Update::AllowanceReturn(message) => {
                Ok(Self::Allowance(AllowanceMessage::Return(AllowanceReturn {
                    workspace: message.workspace,
                    bucket: bucket_from_message(message.bucket)?,
                    entry: message.entry,
                    agent: message.agent,
                    sequence: message.sequence,
                    returned: message.returned,
                })))
            }
            datagram::Update::AllowanceMove(message) => {
                Ok(Self::Allowance(AllowanceMessage::Move(AllowanceMove {
                    workspace: message.workspace,
                    bucket: bucket_from_message(message.bucket)?,
                    list_version: message.list_version,
                    holder: message.holder.parse().map_err(|_not_an_address| UnknownUpdate)?,
                })))
            }
        }
    }
}

fn observations_to_message(observations: &ServiceObservations) -> v1::ServiceObservations {
    let PrefillObservations { weight, tokens, ms, tokens_squared, tokens_ms, distance_ms } =
        observations.prefill;
    v1::ServiceObservations {
        service: observations.service.to_string(),
        weight,
        tokens,
        ms,
        tokens_squared,
        tokens_ms,
        distance_ms,
    }
}

fn observations_from_message(message: &v1::ServiceObservations) -> ServiceObservations {
    ServiceObservations {
        service: ServiceName::new(&message.service),
        prefill: PrefillObservations {
            weight: message.weight,
            tokens: message.tokens,
            ms: message.ms,
            tokens_squared: message.tokens_squared,
            tokens_ms: message.tokens_ms,
            distance_ms: message.distance_ms,
        },
    }
}

fn fact_to_message(fact: &Fact) -> v1::Fact {
    let fact = match fact {
        Fact::Crash(mark) => fact::Fact::Crash(v1::CrashMark {
            suspect: Some(match mark.suspect {
                CrashSuspect::Part(part) => crash_mark::Suspect::Part(part.get()),
                CrashSuspect::Content(content) => crash_mark::Suspect::Content(content.get()),
            }),
            crash: mark.crash.get(),
            age_ms: mark.age_ms,
            run_ms: mark.run_ms,
            cleared: mark.is_cleared,
            was_sound: mark.was_sound,
        }),
        Fact::Leaving(mark) => fact::Fact::Leaving(v1::LeavingMark {
            server: mark.server.to_string(),
            started_unix_ms: mark.started_unix_ms,
            age_ms: mark.age_ms,
        }),
    };
    v1::Fact { fact: Some(fact) }
}

/// Returns the fact of a message, or `None` for a kind that a newer version may send.
fn fact_from_message(message: v1::Fact) -> Option<Fact> {
    Some(match message.fact? {
        fact::Fact::Crash(mark) => Fact::Crash(CrashMark {
            suspect: match mark.suspect? {
                crash_mark::Suspect::Part(part) => CrashSuspect::Part(PromptPart::new(part)),
                crash_mark::Suspect::Content(content) => {
                    CrashSuspect::Content(RequestContent::new(content))
                }
            },
            crash: CrashId::new(mark.crash),
            age_ms: mark.age_ms,
            run_ms: mark.run_ms,
            is_cleared: mark.cleared,
            was_sound: mark.was_sound,
        }),
        fact::Fact::Leaving(mark) => Fact::Leaving(LeavingMark {
            server: ServerId::new(&mark.server),
            started_unix_ms: mark.started_unix_ms,
            age_ms: mark.age_ms,
        }),
    })
}

fn entry_to_message(update: &EntryUpdate) -> v1::EntryUpdate {
    let adapter_demand = update.adapter_demand.iter().map(|demand| v1::AdapterDemand {
        model: demand.key.model.to_string(),
        adapter: demand.key.adapter.to_string(),
        version: demand.min_version,
        priority: u32::from(demand.priority),
        waiting: demand.waiting_requests,
    });
    let adapters_in_use = update.adapters_in_use.iter().map(|(key, count)| v1::AdapterUse {
        model: key.model.to_string(),
        adapter: key.adapter.to_string(),
        count: *count,
    });
    let model_demand = update.model_demand.iter().map(|demand| v1::ModelDemand {
        model: demand.model.to_string(),
        work: demand.recent_requests,
        engines: demand.engines,
    });
    v1::EntryUpdate {
        entry: update.entry,
        sequence: update.sequence,
        server: update.server.to_string(),
        wants: adapter_demand.collect(),
        uses: adapters_in_use.collect(),
        shape: update.engine_spec.as_ref().map(engine_spec_to_message),
        demand: model_demand.collect(),
        sent_tokens: update.sent_prompt_tokens,
        facts_digest: update.facts_digest,
    }
}

fn entry_from_message(message: v1::EntryUpdate) -> EntryUpdate {
    let adapter_demand = message.wants.into_iter().map(|demand| AdapterDemand {
        key: adapter_key(&demand.model, &demand.adapter),
        min_version: demand.version,
        priority: u8::try_from(demand.priority).unwrap_or(u8::MAX),
        waiting_requests: demand.waiting,
    });
    let adapters_in_use =
        message.uses.into_iter().map(|item| (adapter_key(&item.model, &item.adapter), item.count));
    let model_demand = message.demand.into_iter().map(|demand| ModelDemand {
        model: ModelName::new(&demand.model),
        recent_requests: demand.work,
        engines: demand.engines,
    });
    EntryUpdate {
        entry: message.entry,
        sequence: message.sequence,
        server: ServerId::new(&message.server),
        adapter_demand: adapter_demand.collect(),
        adapters_in_use: adapters_in_use.collect(),
        engine_spec: message.shape.map(engine_spec_from_message),
        model_demand: model_demand.collect(),
        sent_prompt_tokens: message.sent_tokens,
        facts_digest: message.facts_digest,
    }
}

fn agent_to_message(update: &AgentUpdate) -> v1::AgentUpdate {
    let adapters = update.adapters.iter().map(|adapter| v1::LoadedAdapter {
        model: adapter.key.model.to_string(),
        adapter: adapter.key.adapter.to_string(),
        version: adapter.version,
        stage: i32::from(stage_to_message(adapter.stage)),
    });
    v1::AgentUpdate {
        agent: update.agent,
        server: update.server.to_string(),
        sequence: update.sequence,
        models: update.available_models.iter().map(ToString::to_string).collect(),
        loading: update.loading_models.iter().map(ToString::to_string).collect(),
        held: adapters.collect(),
        running: update.running_requests,
        waiting: update.waiting_requests,
        memory_used_tokens: update.memory_used_tokens,
        memory_tokens: update.memory_tokens,
        others_tokens: update.others_prompt_tokens,
        others_total_tokens: update.others_total_tokens,
        entries: update.live_entries,
        leaving: update.is_leaving,
        limit_thousandths_per_s: match update.limit {
            NamedLimit::Named(limit) => Some(limit.thousandths()),
            NamedLimit::Untold | NamedLimit::Absent | NamedLimit::Unreadable => None,
        },
    }
}

fn agent_from_message(message: v1::AgentUpdate) -> AgentUpdate {
    let adapters = message.held.into_iter().map(|adapter| LoadedAdapter {
        key: adapter_key(&adapter.model, &adapter.adapter),
        version: adapter.version,
        stage: stage_from_message(adapter.stage()),
    });
    AgentUpdate {
        agent: message.agent,
        server: ServerId::new(&message.server),
        sequence: message.sequence,
        available_models: message.models.iter().map(|model| ModelName::new(model)).collect(),
        loading_models: message.loading.iter().map(|model| ModelName::new(model)).collect(),
        adapters: adapters.collect(),
        running_requests: message.running,
        waiting_requests: message.waiting,
        memory_used_tokens: message.memory_used_tokens,
        memory_tokens: message.memory_tokens,
        others_prompt_tokens: message.others_tokens,
        others_total_tokens: message.others_total_tokens,
        live_entries: message.entries,
        is_leaving: message.leaving,
        limit: message.limit_thousandths_per_s.map_or(NamedLimit::Absent, |thousandths| {
            NamedLimit::Named(RequestLimit::from_thousandths(thousandths))
        }),
    }
}

fn stage_to_message(stage: AdapterStage) -> v1::AdapterStage {
    match stage {
        AdapterStage::Loaded => v1::AdapterStage::Held,
        AdapterStage::Loading => v1::AdapterStage::Coming,
        AdapterStage::Unloading => v1::AdapterStage::Going,
    }
}

fn stage_from_message(stage: v1::AdapterStage) -> AdapterStage {
    match stage {
        v1::AdapterStage::Held => AdapterStage::Loaded,
        v1::AdapterStage::Coming => AdapterStage::Loading,
        v1::AdapterStage::Going => AdapterStage::Unloading,
    }
}

fn engine_spec_to_message(spec: &EngineSpec) -> v1::EngineShape {
    let models = spec.models.iter().map(|model| v1::ModelShape {
        name: model.name.to_string(),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    });
    v1::EngineShape {
        slots: spec.batch_limit,
        memory_tokens: spec.memory_tokens,
        weights_max_mb: spec.weights_max_mb,
        adapter_places: u32::try_from(spec.adapter_slots).unwrap_or(u32::MAX),
        models: models.collect(),
    }
}

fn engine_spec_from_message(message: v1::EngineShape) -> EngineSpec {
    let models = message.models.into_iter().map(|model| ModelSpec {
        name: ModelName::new(&model.name),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    });
    EngineSpec {
        batch_limit: message.slots,
        memory_tokens: message.memory_tokens,
        weights_max_mb: message.weights_max_mb,
        adapter_slots: message.adapter_places as usize,
        models: models.collect(),
    }
}

fn adapter_key(model: &str, adapter: &str) -> AdapterKey {
    AdapterKey { model: ModelName::new(model), adapter: AdapterName::new(adapter) }
}
