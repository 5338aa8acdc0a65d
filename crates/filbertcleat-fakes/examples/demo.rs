//! Runs two entries and three agents on loopback and shows what happened.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use filbertcleat_daemon::Daemon;
use filbertcleat_daemon::TimelinePage;
use filbertcleat_daemon::merge_pages;
use filbertcleat_fakes::EngineSpec;
use filbertcleat_fakes::FakeEngine;
use filbertcleat_fakes::FakePlain;
use filbertcleat_fakes::FakePlatform;
use filbertcleat_fakes::LOOPBACK_TOKEN;
use filbertcleat_fakes::Observed;
use filbertcleat_fakes::Reply;
use filbertcleat_fakes::TestCaller;
use filbertcleat_fakes::WeightModel;
use filbertcleat_fakes::agent_settings;
use filbertcleat_fakes::answer_text;
use filbertcleat_fakes::entry_settings;
use filbertcleat_fakes::write_token;
use http::Method;
use serde_json::Value;
use serde_json::json;

type Failure = Box<dyn std::error::Error>;

/// The number of events shown.
const EVENTS_SHOWN: usize = 60;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run()),
        Err(error) => Err(error.into()),
    };
    match outcome {
        Ok(0) => {
            println!("every answer was whole and right");
            ExitCode::SUCCESS
        }
        Ok(wrong) => {
            println!("{wrong} answers were wrong");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<usize, Failure> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let token = write_token()?;
    let observed = Observed::default();
    let platform = FakePlatform::start(any).await?;
    let store = WeightModel::new(20.0);
    let north =
        FakeEngine::start(any, "engine-north", EngineSpec::quick(), store, observed.clone())
            .await?;
    let south =
        FakeEngine::start(any, "engine-south", EngineSpec::quick(), store, observed.clone())
            .await?;
    let ledger = FakePlain::start(any, observed.clone()).await?;

    let url = platform.url();
    let first = Daemon::start(entry_settings("entry-1", &url, &token, &[])).await?;
    let seeds = [first.peer_address().to_string()];
    let second = Daemon::start(entry_settings("entry-2", &url, &token, &seeds)).await?;
    let operators = first.operator_address().ok_or("entry has no operators' address")?;
    let entries = [first.caller_address(), second.caller_address()];
    let entries = entries.map(|address| address.unwrap_or(operators));
    let backends = [
        ("agent-1", engine_backend(&north.url())),
        ("agent-2", engine_backend(&south.url())),
        ("agent-3", format!("url: {}\nservice: ledger\nkind: plain\nbatch: 8", ledger.url())),
    ];
    let mut daemons = vec![first, second];
    for (name, backend) in backends {
        daemons.push(Daemon::start(agent_settings(name, &url, &token, &seeds, &backend)).await?);
    }
    let stops: Vec<_> = daemons.iter().map(Daemon::stopper).collect();
    let running: Vec<_> = daemons.into_iter().map(|daemon| tokio::spawn(daemon.run())).collect();

    let operator = TestCaller::new(operators)
        .with_header("authorization", &format!("Bearer {LOOPBACK_TOKEN}"))
        .with_header("x-operator", "demo");
    configure(&operator).await?;
    wait_for_version(&operator, 1, running.len()).await?;

    let callers = entries.map(TestCaller::new);
    let mut wrong = serve(&callers).await?;
    wrong += serve_marked(&callers).await?;
    change_version(&operator).await?;
    wait_for_version(&operator, 2, running.len()).await?;
    wrong += serve_changed(&callers).await?;

    show(&operator).await?;
    for stop in stops {
        stop();
    }
    for daemon in running {
        daemon.await?;
    }
    println!("loads={} runs={}", observed.loads(), observed.runs().values().sum::<usize>());
    Ok(wrong + observed.evicted_serving())
}

fn engine_backend(url: &str) -> String {
    format!(
        "url: {url}\nservice: brief-writer\nkind: engine\nmodel: base\nslots: 4\nbatch: 4\nchecks_fence: true"
    )
}

async fn configure(operator: &TestCaller) -> Result<(), Failure> {
    let mut changes = vec![
        json!({ "op": "add-model", "model": "base" }),
        json!({ "op": "set-service", "service": "brief-writer", "entry": { "kind": "engine", "model": "base" } }),
        json!({ "op": "set-service", "service": "ledger", "entry": { "kind": "plain", "non_repeatable": ["/orders"] } }),
    ];
    for number in 0..6 {
        changes.push(json!({
            "op": "add-adapter",
            "adapter": format!("school-{number}"),
            "model": "base",
            "service": "brief-writer",
            "version": 1,
        }));
    }
    let patch = json!({ "base": 0, "id": "demo-1", "operator": "demo", "changes": changes });
    submit(operator, &patch).await
}

async fn change_version(operator: &TestCaller) -> Result<(), Failure> {
    let changes = json!([
        { "op": "add-version", "adapter": "school-0", "version": 2 },
        { "op": "serve", "adapter": "school-0", "version": 2 },
    ]);
    let patch = json!({ "base": 1, "id": "demo-2", "operator": "demo", "changes": changes });
    submit(operator, &patch).await
}

/// Submits a patch, and tries again while the processes are starting.
async fn submit(operator: &TestCaller, patch: &Value) -> Result<(), Failure> {
    let mut last = String::new();
    for _ in 0..50 {
        let answer = operator.send(Method::POST, "/operator/patch", patch).await?;
        last = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status.is_success() {
            println!("patch {} is in: {last}", patch["id"]);
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(format!("patch was refused: {last}").into())
}

async fn wait_for_version(
    operator: &TestCaller,
    version: u64,
    processes: usize,
) -> Result<(), Failure> {
    for _ in 0..100 {
        let answer = operator.send(Method::GET, "/operator/status", &Value::Null).await?;
        let list: Vec<Value> = serde_json::from_slice(&answer.body)?;
        let ready =
            |status: &&Value| status["config_version"] == version && status["state"] == "live";
        if list.iter().filter(ready).count() == processes {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(format!("version {version} did not reach all processes").into())
}

/// Sends requests for several adapters to both entries at once, streamed and not.
async fn serve(callers: &[TestCaller; 2]) -> Result<usize, Failure> {
    let mut tasks = Vec::new();
    for number in 0..60 {
        let caller = callers[number % 2].clone();
        tasks.push(tokio::spawn(async move {
            let adapter = format!("school-{}", number % 6);
            let prompt = format!("roster {number}");
            let reply = if number % 3 == 0 {
                caller.complete(&adapter, &prompt, 24).await
            } else {
                caller.stream(&adapter, &prompt, 24).await
            };
            (format!("{adapter}@1"), prompt, reply)
        }));
    }
    let mut wrong = 0;
    for task in tasks {
        let (adapter, prompt, reply) = task.await?;
        wrong += usize::from(!is_right(&adapter, &prompt, &reply?)?);
    }
    println!("answered 60 requests by 6 adapters, {wrong} of them wrong");
    Ok(wrong)
}

/// Sends a request that must not run twice, twice, and calls the plain service.
async fn serve_marked(callers: &[TestCaller; 2]) -> Result<usize, Failure> {
    let marked = |caller: &TestCaller| {
        caller
            .clone()
            .with_header("x-non-idempotent", "true")
            .with_header("idempotency-key", "slot-17")
    };
    let first = marked(&callers[0]).complete("school-3", "confirm slot 17", 12).await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let second = marked(&callers[1]).complete("school-3", "confirm slot 17", 12).await?;
    let mut wrong = usize::from(!is_right("school-3@1", "confirm slot 17", &first)?);
    wrong += usize::from(second.text != first.text);
    println!(
        "confirmed slot 17 once; the repeat got the same answer: {}",
        second.text == first.text
    );

    let order = json!({ "pallets": 1 });
    let answer = callers[1].send(Method::POST, "/services/ledger/orders", &order).await?;
    let body: Value = serde_json::from_slice(&answer.body)?;
    wrong += usize::from(body["path"] != "/orders");
    println!("plain service answered {}", answer.status);
    Ok(wrong)
}

async fn serve_changed(callers: &[TestCaller; 2]) -> Result<usize, Failure> {
    let changed = callers[1].complete("school-0", "after the patch", 12).await?;
    let pinned = callers[0].complete("school-0@1", "after the patch", 12).await?;
    let mut wrong = usize::from(!is_right("school-0@2", "after the patch", &changed)?);
    wrong += usize::from(!is_right("school-0@1", "after the patch", &pinned)?);
    println!("school-0 answers by version 2, and school-0@1 still by version 1");
    Ok(wrong)
}

fn is_right(adapter: &str, prompt: &str, reply: &Reply) -> Result<bool, Failure> {
    let max_tokens = if prompt.starts_with("roster") { 24 } else { 12 };
    let right = reply.whole && reply.text == answer_text(&adapter.parse()?, prompt, max_tokens);
    if !right {
        println!("wrong answer: adapter={adapter} prompt={prompt:?} reply={reply:?}");
    }
    Ok(right)
}

async fn show(operator: &TestCaller) -> Result<(), Failure> {
    let answer = operator.send(Method::GET, "/operator/timeline", &Value::Null).await?;
    let pages: Vec<TimelinePage> = serde_json::from_slice(&answer.body)?;
    let processes = pages.len();
    let events = merge_pages(pages);
    println!(
        "time line of {processes} processes, {} events, the last {EVENTS_SHOWN}:",
        events.len()
    );
    for event in events.iter().skip(events.len().saturating_sub(EVENTS_SHOWN)) {
        println!("  {} {event}", event.stamp);
    }
    Ok(())
}
