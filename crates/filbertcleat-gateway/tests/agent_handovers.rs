//! Agents of one engine that are active at the same time, and engines whose reports fail for a while.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::ModelName;
use filbertcleat_base::Step;
use filbertcleat_gateway::EngineAnswer;
use filbertcleat_gateway::EngineControl;
use filbertcleat_gateway::OrderResponse;
use filbertcleat_gateway::ServerNotice;
use filbertcleat_platform::CallError;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::OrderKind;
use filbertcleat_serve::ServerId;
use tokio::time::Instant;

use self::support::DemandingEntry;
use self::support::World;

/// An engine that loads an adapter some time after it got the order, if its order count still is
/// the expected one then.
#[derive(Clone, Debug, Default)]
struct LateEngine {
    orders: Rc<Cell<u32>>,
    loaded: Rc<RefCell<Vec<AdapterKey>>>,
    /// The time from an order to its execution and answer.
    delay: Rc<Cell<Duration>>,
    /// Until when reports fail.
    unreachable_until: Rc<Cell<Option<Instant>>>,
}

impl EngineControl for LateEngine {
    async fn report(&self) -> EngineAnswer<Result<EngineReport, Fault>> {
        if self.unreachable_until.get().is_some_and(|until| Instant::now() < until) {
            let result = Err(Fault::new(Step::Call, "w1", "no answer"));
            return EngineAnswer { result, notice: ServerNotice::default() };
        }
        let loaded = self.loaded.borrow();
        let report = EngineReport {
            server: ServerId::new("w1"),
            started_unix_ms: 1,
            order_count: loaded.len() as u64,
            is_changing_model: false,
            loaded_models: vec![ModelName::new("base")],
            loading_models: Vec::new(),
            loaded_adapters: loaded.iter().map(|key| (key.clone(), 1)).collect(),
            loading_adapters: Vec::new(),
            running_requests: 0,
            waiting_requests: 0,
            memory_used_tokens: 0,
            memory_tokens: 100_000,
        };
        EngineAnswer { result: Ok(report), notice: ServerNotice::default() }
    }

    async fn order(&self, order: &Order) -> EngineAnswer<Result<OrderResponse, CallError>> {
        self.orders.set(self.orders.get() + 1);
        tokio::time::sleep(self.delay.get()).await;
        let mut loaded = self.loaded.borrow_mut();
        let is_expected = order.expected_order_count == loaded.len() as u64;
        let response = match &order.kind {
            OrderKind::LoadAdapter(key, _) if is_expected => {
                loaded.push(key.clone());
                OrderResponse::Accepted
            }
            _ => OrderResponse::Refused { status: 409 },
        };
        EngineAnswer { result: Ok(response), notice: ServerNotice::default() }
    }
}

/// Guards against an order that is carried out twice, because a new agent gives it while that of its
/// predecessor, which is still active, has no answer yet.
#[test]
fn order_carried_out_once() {
    World::run(async {
        let engine = LateEngine::default();
        engine.delay.set(Duration::from_secs(2));
        let mut before = DemandingEntry::start(engine.clone()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        before.demand("a");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(engine.orders.get(), 1, "the first agent's order is on its way");

        let mut after = DemandingEntry::start(engine.clone()).await;
        for _ in 0..30 {
            before.demand("a");
            after.demand("a");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }

        assert!(engine.orders.get() >= 2, "the second agent gave no order");
        let loads = engine.loaded.borrow().iter().filter(|key| key.adapter.as_str() == "a").count();
        assert_eq!(loads, 1);
    });
}

/// Guards against loads that are ordered again after an engine did not report for a while.
#[test]
fn nothing_loaded_again() {
    World::run(async {
        let engine = LateEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..5 {
            entry.demand("a");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        assert_eq!(engine.orders.get(), 1);

        engine.unreachable_until.set(Some(Instant::now() + Duration::from_secs(4)));
        for _ in 0..40 {
            entry.demand("a");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }

        assert_eq!(engine.orders.get(), 1, "the adapter was ordered again");
        assert!(!entry.received().is_empty(), "the agent sends no updates");
    });
}
