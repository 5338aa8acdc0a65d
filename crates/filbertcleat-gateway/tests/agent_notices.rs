//! An agent whose engine announces something about itself in its answers.

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
use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::Order;
use filbertcleat_serve::OrderKind;
use filbertcleat_serve::RequestedPause;
use filbertcleat_serve::ServerId;
use filbertcleat_wire::v1;

use self::support::DemandingEntry;
use self::support::World;

const LEAVING: ServerNotice =
    ServerNotice { is_leaving: true, pause: None, limit: NamedLimit::Absent };

/// An engine whose answers carry notices.
#[derive(Clone, Debug, Default)]
struct NoticeEngine {
    report_notice: Rc<Cell<ServerNotice>>,
    order_notice: Rc<Cell<ServerNotice>>,
    /// Whether reports are refused instead of answered.
    refuses_reports: Rc<Cell<bool>>,
    reports: Rc<Cell<u32>>,
    orders: Rc<RefCell<Vec<Order>>>,
}

impl EngineControl for NoticeEngine {
    async fn report(&self) -> EngineAnswer<Result<EngineReport, Fault>> {
        self.reports.set(self.reports.get() + 1);
        let notice = self.report_notice.get();
        if self.refuses_reports.get() {
            return EngineAnswer { result: Err(Fault::new(Step::Call, "engine", "503")), notice };
        }
        let loaded_adapters = self.orders.borrow().iter().filter_map(loaded_adapter).collect();
        let report = EngineReport {
            server: ServerId::new(""),
            started_unix_ms: 0,
            order_count: self.orders.borrow().len() as u64,
            is_changing_model: false,
            loaded_models: vec![ModelName::new("base")],
            loading_models: Vec::new(),
            loaded_adapters,
            loading_adapters: Vec::new(),
            running_requests: 0,
            waiting_requests: 0,
            memory_used_tokens: 0,
            memory_tokens: 100_000,
        };
        EngineAnswer { result: Ok(report), notice }
    }

    async fn order(&self, order: &Order) -> EngineAnswer<Result<OrderResponse, CallError>> {
        self.orders.borrow_mut().push(order.clone());
        EngineAnswer { result: Ok(OrderResponse::Accepted), notice: self.order_notice.get() }
    }
}

/// Returns the adapter that an order loads.
fn loaded_adapter(order: &Order) -> Option<(AdapterKey, u64)> {
    match &order.kind {
        OrderKind::LoadAdapter(key, version) => Some((key.clone(), *version)),
        _ => None,
    }
}

/// Demands an adapter for the given time, and returns the updates of the agent.
async fn demand(entry: &mut DemandingEntry, adapter: &str, time_ms: u64) -> Vec<v1::AgentUpdate> {
    let mut updates = Vec::new();
    for _ in 0..time_ms / 100 {
        entry.demand(adapter);
        tokio::time::sleep(Duration::from_millis(100)).await;
        updates.extend(entry.received());
    }
    updates
}

#[test]
fn leaving_passed_on() {
    World::run(async {
        let engine = NoticeEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
        let updates = demand(&mut entry, "a", 1_000).await;
        assert!(!updates.last().expect("an update").leaving);
        assert_eq!(engine.orders.borrow().len(), 1);

        engine.report_notice.set(LEAVING);
        let updates = demand(&mut entry, "b", 1_000).await;

        assert!(updates.last().expect("an update").leaving);
        assert_eq!(engine.orders.borrow().len(), 1, "no order for a leaving engine");

        // The next start of the engine, which its reports do not name.
        engine.report_notice.set(ServerNotice::default());
        let updates = demand(&mut entry, "b", 1_000).await;
        assert!(!updates.last().expect("an update").leaving);
        assert_eq!(engine.orders.borrow().len(), 2);
    });
}

#[test]
fn leaving_in_order_answer() {
    World::run(async {
        let engine = NoticeEngine::default();
        engine.order_notice.set(LEAVING);
        let mut entry = DemandingEntry::start(engine.clone()).await;

        let updates = demand(&mut entry, "a", 1_000).await;

        assert!(updates.iter().any(|update| update.leaving));
    });
}

/// A refused report says nothing of the engine's state, but its announcement holds.
#[test]
fn leaving_in_refused_report() {
    World::run(async {
        let engine = NoticeEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
        demand(&mut entry, "a", 1_000).await;
        engine.report_notice.set(LEAVING);
        engine.refuses_reports.set(true);
        demand(&mut entry, "b", 500).await;
        engine.report_notice.set(ServerNotice::default());
        demand(&mut entry, "b", 500).await;

        assert_eq!(engine.orders.borrow().len(), 1, "no order for a leaving engine");
    });
}

/// The engine asks its agent for a pause of three seconds.
fn pause_3_s() -> ServerNotice {
    let pause = Some(RequestedPause::Lasting { asked_ms: 3_000 });
    ServerNotice { pause, ..ServerNotice::default() }
}

#[test]
fn pause_in_report_kept() {
    World::run(async {
        let engine = NoticeEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
        demand(&mut entry, "a", 1_000).await;
        engine.report_notice.set(pause_3_s());
        engine.refuses_reports.set(true);
        demand(&mut entry, "a", 300).await;
        engine.report_notice.set(ServerNotice::default());
        engine.refuses_reports.set(false);
        let reports = engine.reports.get();

        let updates = demand(&mut entry, "b", 2_500).await;

        assert_eq!(engine.reports.get(), reports);
        assert_eq!(engine.orders.borrow().len(), 1, "the order waits");
        assert!(updates.is_empty(), "the agent has nothing current to tell");
        let updates = demand(&mut entry, "b", 1_000).await;
        assert!(engine.reports.get() > reports);
        assert_eq!(engine.orders.borrow().len(), 2);
        assert!(!updates.is_empty());
    });
}

#[test]
fn pause_in_order_answer_kept() {
    World::run(async {
        let engine = NoticeEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
        demand(&mut entry, "a", 1_000).await;
        engine.order_notice.set(pause_3_s());
        demand(&mut entry, "b", 300).await;
        let calls = (engine.reports.get(), engine.orders.borrow().len());

        demand(&mut entry, "c", 2_500).await;

        assert_eq!((engine.reports.get(), engine.orders.borrow().len()), calls);
    });
}
