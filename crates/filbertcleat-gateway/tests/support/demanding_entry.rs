//! An agent with the entry that sends it updates.

use std::net::SocketAddr;

use filbertcleat_base::NodeName;
use filbertcleat_gateway::AgentListeners;
use filbertcleat_gateway::EngineControl;
use filbertcleat_gateway::ShutdownSignal;
use filbertcleat_gateway::run_agent;
use filbertcleat_wire::v1;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// An entry that demands adapters of an agent.
#[derive(Debug)]
pub struct DemandingEntry {
    socket: UdpSocket,
    agent: SocketAddr,
    sequence: u64,
}

impl DemandingEntry {
    /// Starts an agent with this engine, and the entry.
    pub async fn start(engine: impl EngineControl) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listeners = AgentListeners::bind(address, None).await.expect("ports are free");
        let socket = UdpSocket::bind(address).await.expect("ports are free");
        socket.writable().await.expect("bound");
        let agent = listeners.peer_address;
        spawn_local(async move {
            let name = NodeName::new("agent-1");
            run_agent(&name, None, 60_000, listeners, engine, ShutdownSignal::default()).await;
        });
        Self { socket, agent, sequence: 0 }
    }

    /// Sends an update that demands an adapter.
    pub fn demand(&mut self, adapter: &str) {
        self.sequence += 1;
        let engine_spec = v1::EngineShape {
            slots: 8,
            memory_tokens: 100_000,
            weights_max_mb: 1_100.0,
            adapter_places: 4,
            models: vec![v1::ModelShape {
                name: "base".into(),
                weights_mb: 1_000.0,
                adapter_mb: 10.0,
            }],
        };
        let demand = v1::AdapterDemand {
            model: "base".into(),
            adapter: adapter.into(),
            version: 1,
            priority: 1,
            waiting: 1,
        };
        let update = v1::EntryUpdate {
            entry: 1,
            sequence: self.sequence,
            wants: vec![demand],
            shape: Some(engine_spec),
            ..v1::EntryUpdate::default()
        };
        let datagram = v1::Datagram { update: Some(v1::datagram::Update::Entry(update)) };
        let sent = self.socket.try_send_to(&datagram.encode_to_vec(), self.agent);
        sent.expect("loopback accepts the datagram");
    }

    /// Returns the updates that have arrived since the last call.
    pub fn received(&self) -> Vec<v1::AgentUpdate> {
        let mut buffer = [0; 2_000];
        let received = std::iter::from_fn(|| {
            let length = self.socket.try_recv(&mut buffer).ok()?;
            Some(v1::Datagram::decode(&buffer[..length]).expect("agents send valid messages"))
        });
        let updates = received.map(|datagram| match datagram.update {
            Some(v1::datagram::Update::Agent(update)) => update,
            other => panic!("an agent sent {other:?}"),
        });
        updates.collect()
    }
}
