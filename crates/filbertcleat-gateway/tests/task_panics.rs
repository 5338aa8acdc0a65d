//! Panics in single tasks of a process.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::ModelName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::EngineAnswer;
use filbertcleat_gateway::EngineControl;
use filbertcleat_gateway::OrderResponse;
use filbertcleat_gateway::ServerNotice;
use filbertcleat_gateway::Topic;
use filbertcleat_platform::CallError;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::Order;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::DemandingEntry;
use self::support::Script;
use self::support::World;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };

/// Guards against an entry that goes on without a task, and never learns of a change again, after a
/// panic in that task.
#[rstest]
fn catalogue_watch_goes_on(#[values(Topic::Operators, Topic::Servers)] topic: Topic) {
    World::run(async move {
        let desk = Backend::start("d1", RESPONSE).await;
        let kind = RetryPolicy::AtMostOnce;
        let world = World::start(vec![route("old", kind, 1)], &[]).await;
        world.catalogue.panic_next(topic);
        tokio::time::sleep(Duration::from_secs(5)).await;

        let routes = vec![route("new", kind, 1)];
        world.catalogue.write(CatalogueEvent::Deployment(deployment(2, routes)));
        let listing = filbertcleat_serve::ListingChange::Upserted(listed(&desk));
        world.catalogue.write(CatalogueEvent::Listing(listing));
        tokio::time::sleep(Duration::from_secs(3)).await;
        let reply = world.caller().await.call(&Call::new("a", "/new/1")).await;

        assert_eq!(reply.expect("a response").status, 200);
        let task = if topic == Topic::Operators { "operators-watch" } else { "servers-watch" };
        let series = format!("filbertcleat_task_panics{{task=\"{task}\"}}");
        assert_eq!(world.metric(&series).await, Some(1));
    });
}

/// Guards against a panic in one request that ends or stops the entry for other callers.
#[test]
fn other_callers_served() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut other = world.caller().await;
        assert!(other.call(&Call::new("a", "/book/1")).await.is_some());

        let call = Call { extra: "x-panic: 1\r\n", ..Call::new("b", "/book/1") };
        let mut caller = world.caller().await;
        assert_eq!(caller.call(&call).await, None, "the connection is closed");

        for caller in [&mut other, &mut world.caller().await] {
            let reply = caller.call(&Call::new("c", "/book/1")).await.expect("a response");
            assert_eq!(reply.status, 200);
        }
        let series = "filbertcleat_task_panics{task=\"connection\"}";
        assert_eq!(world.metric(series).await, Some(1));
        drop((caller, other));

        world.shutdown.trigger();
        let ended = tokio::time::timeout(Duration::from_secs(4), world.entry).await;
        assert!(ended.is_ok(), "the request that panicked still counts as open");
    });
}

/// An engine whose first report and first order panic.
#[derive(Clone, Debug, Default)]
struct PanickingEngine {
    reports: Rc<Cell<u32>>,
    orders: Rc<Cell<u32>>,
}

impl EngineControl for PanickingEngine {
    async fn report(&self) -> EngineAnswer<Result<EngineReport, Fault>> {
        self.reports.set(self.reports.get() + 1);
        assert!(self.reports.get() > 1, "a report that panics");
        let report = EngineReport {
            server: ServerId::new("w1"),
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
        self.orders.set(self.orders.get() + 1);
        assert!(self.orders.get() > 1, "an order that panics");
        EngineAnswer { result: Ok(OrderResponse::Done), notice: ServerNotice::default() }
    }
}

/// Guards against an agent that ends, or gives no more orders, after a call to its engine panicked.
#[test]
fn agent_goes_on() {
    World::run(async {
        let engine = PanickingEngine::default();
        let mut entry = DemandingEntry::start(engine.clone()).await;
        for _ in 0..10 {
            entry.demand("a");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }

        assert!(!entry.received().is_empty(), "the agent sends no updates");
        assert!(engine.orders.get() > 1, "the order was not given again");
    });
}
