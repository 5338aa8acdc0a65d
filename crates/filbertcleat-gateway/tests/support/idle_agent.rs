//! An agent beside an engine that needs no orders.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use filbertcleat_base::Fault;
use filbertcleat_base::ModelName;
use filbertcleat_base::NodeName;
use filbertcleat_gateway::AgentListeners;
use filbertcleat_gateway::EngineAnswer;
use filbertcleat_gateway::EngineControl;
use filbertcleat_gateway::OrderResponse;
use filbertcleat_gateway::ServerNotice;
use filbertcleat_gateway::ShutdownSignal;
use filbertcleat_gateway::run_agent;
use filbertcleat_platform::CallError;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::ServerId;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use super::Backend;
use super::world::ALLOWANCE_BOUNDS;

/// Returns a port for updates between processes that is free at an address.
pub async fn free_peer_port(ip: Ipv4Addr) -> u16 {
    let probe = UdpSocket::bind((ip, 0)).await.expect("loopback has a port");
    probe.local_addr().expect("bound").port()
}

/// Starts the agent beside a backend server and returns its shutdown signal.
pub async fn start_agent(backend: &Backend, port: u16) -> ShutdownSignal {
    start_agent_with_metrics(backend, port, None).await
}

/// Starts an agent that serves metrics at an address.
pub async fn start_agent_with_metrics(
    backend: &Backend,
    port: u16,
    metrics: Option<SocketAddr>,
) -> ShutdownSignal {
    let peers = SocketAddr::new(backend.address.ip(), port);
    let listeners = AgentListeners::bind(peers, metrics).await.expect("the ports are free");
    let engine = IdleEngine { server: ServerId::new(&backend.id) };
    let shutdown = ShutdownSignal::default();
    let signal = shutdown.clone();
    spawn_local(async move {
        let bounds = Some(ALLOWANCE_BOUNDS);
        run_agent(&NodeName::new("agent"), bounds, 60_000, listeners, engine, signal).await;
    });
    shutdown
}

/// An engine without orders.
#[derive(Clone, Debug)]
struct IdleEngine {
    server: ServerId,
}

impl EngineControl for IdleEngine {
    async fn report(&self) -> EngineAnswer<Result<EngineReport, Fault>> {
        let report = EngineReport {
            server: self.server.clone(),
            started_unix_ms: 1,
            order_count: 0,
            is_changing_model: false,
            loaded_models: vec![ModelName::new("base")],
            loading_models: Vec::new(),
            loaded_adapters: Vec::new(),
            loading_adapters: Vec::new(),
            running_requests: 0,
            waiting_requests: 0,
            memory_used_tokens: 0,
            memory_tokens: 100_000,
        };
        EngineAnswer { result: Ok(report), notice: ServerNotice::default() }
    }

    async fn order(&self, _: &Order) -> EngineAnswer<Result<OrderResponse, CallError>> {
        EngineAnswer { result: Ok(OrderResponse::Done), notice: ServerNotice::default() }
    }
}
