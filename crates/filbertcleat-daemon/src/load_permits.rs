//! Load permits over the network.

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
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;
use crate::peers::Peers;

/// Grants load permits to the agents that have an open stream to this process.
#[derive(Debug)]
pub(crate) struct LoadPermitServer {
    coordinator: LoadCoordinator,
    /// The grant streams by agent.
    streams: HashMap<NodeName, mpsc::Sender<v1::LoadGrant>>,
}

impl LoadPermitServer {
    /// The longest time that an agent may hold a load permit.
    const PERMIT_HOLD_MS: u64 = 5000;

    pub fn new(seed: u64) -> Self {
        // The upper half of a grant's id differs between processes, so that a permit of one
        // coordinator is never returned to another.
        let coordinator =
            LoadCoordinator::new(LoadPermitPolicy::default(), Self::PERMIT_HOLD_MS, seed << 32);
        Self { coordinator, streams: HashMap::new() }
    }

    pub fn set_policy(&mut self, policy: LoadPermitPolicy) {
        self.coordinator.set_policy(policy);
    }

    /// Replaces an agent's load requests, and takes back its permit `released_grant` (0: none).
    pub fn handle_requests(
        &mut self,
        now: MonoTime,
        from: NodeName,
        requests: Vec<LoadRequest>,
        released_grant: u64,
        grants: mpsc::Sender<v1::LoadGrant>,
    ) {
        self.coordinator.release(released_grant);
        self.coordinator.set_requests(now, &from, requests);
        self.streams.insert(from, grants);
        self.grant_next(now);
    }

    /// Removes an agent whose stream has ended, unless it has opened another one.
    pub fn close_stream(
        &mut self,
        now: MonoTime,
        from: &NodeName,
        grants: &mpsc::Sender<v1::LoadGrant>,
    ) {
        if self.streams.get(from).is_some_and(|stream| stream.same_channel(grants)) {
            self.streams.remove(from);
            self.coordinator.remove_agent(from);
            self.grant_next(now);
        }
    }

    /// Grants the load permit to the next agent, if it is free.
    ///
    /// Agents whose stream is closed or full are removed.
    pub fn grant_next(&mut self, now: MonoTime) {
        while let Some(grant) = self.coordinator.grant_next(now) {
            let message = v1::LoadGrant {
                grant: grant.id,
                adapter: grant.adapter.to_string(),
                hold_ms: grant.hold_ms as u32,
            };
            let sent = self.streams.get(&grant.node).map(|stream| stream.try_send(message));
            if matches!(sent, Some(Ok(()))) {
                return;
            }
            self.coordinator.remove_agent(&grant.node);
        }
    }
}

/// An agent's stream of load requests to the load coordinator.
#[derive(Debug)]
pub(crate) struct LoadPermitClient {
    pub coordinator: NodeName,
    requests: mpsc::Sender<v1::LoadRequests>,
}

impl LoadPermitClient {
    /// Opens a stream to a coordinator; grants and the stream's end go to the event loop.
    pub fn open(
        peers: &Peers,
        coordinator: NodeName,
        address: &str,
        loop_sender: &LoopSender,
    ) -> Self {
        let (requests, receiver) = mpsc::channel(16);
        let loop_sender = loop_sender.clone();
        let client = peers.node(address);
        let lost = coordinator.clone();
        tokio::spawn(async move {
            if let Ok(mut client) = client
                && let Ok(response) = client.turns(ReceiverStream::new(receiver)).await
            {
                let mut grants = response.into_inner();
                while let Ok(Some(grant)) = grants.message().await {
                    let Ok(adapter) = grant.adapter.parse::<AdapterRef>() else {
                        continue;
                    };
                    let hold_ms = u64::from(grant.hold_ms);
                    let event = AgentEvent::LoadGranted { grant_id: grant.grant, adapter, hold_ms };
                    send_to_loop(&loop_sender, LoopEvent::Agent(event));
                }
            }
            send_to_loop(
                &loop_sender,
                LoopEvent::Agent(AgentEvent::CoordinatorLost { coordinator: lost }),
            );
        });
        Self { coordinator, requests }
    }

    /// Sends the agent's load requests, and releases the permit `released_grant` (0: none).
    ///
    /// Returns `false` if the stream is closed or full.
    pub fn send(&self, from: &NodeName, requests: &[LoadRequest], released_grant: u64) -> bool {
        let requests = requests
            .iter()
            .map(|request| v1::LoadRequest {
                adapter: request.adapter.to_string(),
                class: request.class.as_str().to_owned(),
                urgency: request.urgency,
                growth_per_s: request.urgency_growth_per_s,
            })
            .collect();
        let message = v1::LoadRequests {
            from: from.to_string(),
            store: String::new(),
            wants: requests,
            done: released_grant,
        };
        self.requests.try_send(message).is_ok()
    }
}
