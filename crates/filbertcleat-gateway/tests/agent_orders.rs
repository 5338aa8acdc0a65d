//! An agent whose engine is slow to respond to orders.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::ModelName;
use filbertcleat_base::NodeName;
use filbertcleat_gateway::AgentListeners;
use filbertcleat_gateway::EngineControl;
use filbertcleat_gateway::OrderResponse;
use filbertcleat_gateway::ShutdownSignal;
use filbertcleat_gateway::run_agent;
use filbertcleat_platform::CallError;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::ServerId;
use filbertcleat_wire::v1;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// An engine that reports at once and takes seconds to respond to an order.
#[derive(Clone, Debug, Default)]
struct SlowEngine {
    reports: Rc<Cell<u32>>,
    orders: Rc<Cell<u32>>,
    completed: Rc<Cell<u32>>,
}

impl SlowEngine {
    const ORDER_DURATION: Duration = Duration::from_secs(2);
}

impl EngineControl for SlowEngine {
    async fn report(&self) -> Result<EngineReport, Fault> {
        self.reports.set(self.reports.get() + 1);
        Ok(EngineReport {
            server: ServerId::new("w1"),
            started_unix_ms: 1,
            order_count: u64::from(self.completed.get()),
            is_changing_model: false,
            loaded_models: vec![ModelName::new("base")],
            loading_models: Vec::new(),
            loaded_adapters: Vec::new(),
            loading_adapters: Vec::new(),
            running_requests: 0,
            waiting_requests: 0,
            memory_used_tokens: 0,
            memory_tokens: 100_000,
        })
    }

    async fn order(&self, _: &Order) -> Result<OrderResponse, CallError> {
        self.orders.set(self.orders.get() + 1);
        tokio::time::sleep(Self::ORDER_DURATION).await;
        self.completed.set(self.completed.get() + 1);
        Ok(OrderResponse::Accepted)
    }
}

/// An entry that demands adapters.
struct Entry {
    socket: UdpSocket,
    agent: SocketAddr,
    sequence: u64,
}

impl Entry {
    /// Sends an update that demands an adapter.
    fn demand(&mut self, adapter: &str) {
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

    /// Returns the number of datagrams received since the last call.
    fn received(&self) -> usize {
        let mut buffer = [0; 2_000];
        std::iter::from_fn(|| self.socket.try_recv(&mut buffer).ok()).count()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), test);
}

async fn start(engine: &SlowEngine) -> Entry {
    let address = SocketAddr::from((LOOPBACK, 0));
    let listeners = AgentListeners::bind(address, None).await.expect("ports are free");
    let socket = UdpSocket::bind(address).await.expect("ports are free");
    socket.writable().await.expect("bound");
    let agent = listeners.peer_address;
    let engine = engine.clone();
    spawn_local(async move {
        run_agent(&NodeName::new("agent-1"), listeners, engine, ShutdownSignal::default()).await;
    });
    Entry { socket, agent, sequence: 0 }
}

#[test]
fn updates_continue() {
    run(async {
        let engine = SlowEngine::default();
        let mut entry = start(&engine).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..4 {
            entry.demand("a");
            tokio::time::sleep(Duration::from_millis(300)).await;
        }

        assert_eq!(engine.orders.get(), 1, "the order is in progress");
        assert_eq!(engine.completed.get(), 0);
        assert!(entry.received() >= 2, "the agent keeps sending updates");
    });
}

#[test]
fn calls_are_serialized() {
    run(async {
        let engine = SlowEngine::default();
        let mut entry = start(&engine).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        entry.demand("a");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let reports = engine.reports.get();
        entry.demand("b");
        tokio::time::sleep(Duration::from_secs(1)).await;

        assert_eq!(engine.orders.get(), 1, "the second order waits for the first");
        assert_eq!(engine.reports.get(), reports, "a report could miss the effect of the order");

        entry.demand("b");
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(engine.orders.get(), 2);
    });
}
