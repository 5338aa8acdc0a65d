//! An agent whose engine is slow to respond to orders.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::ModelName;
use filbertcleat_gateway::EngineAnswer;
use filbertcleat_gateway::EngineControl;
use filbertcleat_gateway::OrderResponse;
use filbertcleat_gateway::ServerNotice;
use filbertcleat_platform::CallError;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::ServerId;

use self::support::DemandingEntry;
use self::support::World;

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
    async fn report(&self) -> EngineAnswer<Result<EngineReport, Fault>> {
        self.reports.set(self.reports.get() + 1);
        let report = EngineReport {
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
        };
        EngineAnswer { result: Ok(report), notice: ServerNotice::default() }
    }

    async fn order(&self, _: &Order) -> EngineAnswer<Result<OrderResponse, CallError>> {
        self.orders.set(self.orders.get() + 1);
        tokio::time::sleep(Self::ORDER_DURATION).await;
        self.completed.set(self.completed.get() + 1);
        EngineAnswer { result: Ok(OrderResponse::Accepted), notice: ServerNotice::default() }
    }
}

#[test]
fn updates_continue() {
    World::run(async {
        let engine = SlowEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..4 {
            entry.demand("a");
            tokio::time::sleep(Duration::from_millis(300)).await;
        }

        assert_eq!(engine.orders.get(), 1, "the order is in progress");
        assert_eq!(engine.completed.get(), 0);
        assert!(entry.received().len() >= 2, "the agent keeps sending updates");
    });
}

#[test]
fn calls_are_serialized() {
    World::run(async {
        let engine = SlowEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
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
