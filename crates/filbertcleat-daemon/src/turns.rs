//! Load turns over the network.

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_config::LoadPermitPolicy;
use filbertcleat_policy::LoadCoordinator;
use filbertcleat_policy::LoadRequest;
use filbertcleat_wire::v1;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::agent::AgentEvent;
use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;
use crate::peers::Peers;

/// The keeper of this process with the streams of the agents that ask it.
#[derive(Debug)]
pub(crate) struct TurnDesk {
    keeper: LoadCoordinator,
    streams: HashMap<NodeName, mpsc::Sender<v1::LoadGrant>>,
}

impl TurnDesk {
    /// The longest time that one load may hold the turn.
    const HOLD_MS: u64 = 5000;

    pub fn new(seed: u64) -> Self {
        // Grants of different processes are kept apart by their upper half.
        let keeper = LoadCoordinator::new(LoadPermitPolicy::default(), Self::HOLD_MS, seed << 32);
        Self { keeper, streams: HashMap::new() }
    }

    pub fn set_policy(&mut self, policy: LoadPermitPolicy) {
        self.keeper.set_policy(policy);
    }

    /// Takes in what an agent wants, and the turn that it gives back.
    pub fn ask(
        &mut self,
        now: MonoTime,
        from: NodeName,
        wants: Vec<LoadRequest>,
        done: u64,
        grants: mpsc::Sender<v1::LoadGrant>,
    ) {
        self.keeper.release(done);
        self.keeper.set_requests(now, &from, wants);
        self.streams.insert(from, grants);
        self.tick(now);
    }

    /// Forgets an agent whose stream has ended, unless it has opened another.
    pub fn close(&mut self, now: MonoTime, from: &NodeName, grants: &mpsc::Sender<v1::LoadGrant>) {
        if self.streams.get(from).is_some_and(|stream| stream.same_channel(grants)) {
            self.streams.remove(from);
            self.keeper.remove_agent(from);
            self.tick(now);
        }
    }

    /// Gives the turn to the next agent.
    pub fn tick(&mut self, now: MonoTime) {
        while let Some(grant) = self.keeper.grant_next(now) {
            let message = v1::LoadGrant {
                grant: grant.id,
                adapter: grant.adapter.to_string(),
                hold_ms: grant.hold_ms as u32,
            };
            let sent = self.streams.get(&grant.node).map(|stream| stream.try_send(message));
            if matches!(sent, Some(Ok(()))) {
                return;
            }
            self.keeper.remove_agent(&grant.node);
        }
    }
}

/// An agent's stream to the keeper.
#[derive(Debug)]
pub(crate) struct TurnStream {
    pub keeper: NodeName,
    wants: mpsc::Sender<v1::LoadRequests>,
}

impl TurnStream {
    /// Opens a stream to a keeper; its end is told to the loop.
    pub fn open(peers: &Peers, keeper: NodeName, address: &str, inputs: &Inputs) -> Self {
        let (wants, receiver) = mpsc::channel(16);
        let inputs = inputs.clone();
        let client = peers.node(address);
        let lost = keeper.clone();
        tokio::spawn(async move {
            if let Ok(mut client) = client
                && let Ok(answer) = client.turns(ReceiverStream::new(receiver)).await
            {
                let mut grants = answer.into_inner();
                while let Ok(Some(grant)) = grants.message().await {
                    let Ok(adapter) = grant.adapter.parse::<AdapterRef>() else {
                        continue;
                    };
                    let hold_ms = u64::from(grant.hold_ms);
                    let event = AgentEvent::Granted { grant: grant.grant, adapter, hold_ms };
                    tell(&inputs, Input::Agent(event));
                }
            }
            tell(&inputs, Input::Agent(AgentEvent::KeeperLost { keeper: lost }));
        });
        Self { keeper, wants }
    }

    /// Sends what the agent wants; `false` means that the stream is of no more use.
    pub fn send(&self, from: &NodeName, wants: &[LoadRequest], done: u64) -> bool {
        let wants = wants
            .iter()
            .map(|want| v1::LoadRequest {
                adapter: want.adapter.to_string(),
                class: want.class.as_str().to_owned(),
                urgency: want.urgency,
                growth_per_s: want.urgency_growth_per_s,
            })
            .collect();
        let message =
            v1::LoadRequests { from: from.to_string(), store: String::new(), wants, done };
        self.wants.try_send(message).is_ok()
    }
}
