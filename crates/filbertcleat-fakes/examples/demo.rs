//! Runs two entries and three agents on loopback and shows what happened.

use std::process::ExitCode;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::Reply;
use filbertcleat_fakes::TestCaller;
use filbertcleat_fakes::answer_text;
use filbertcleat_operate::TimelinePage;
use filbertcleat_operate::merge_pages;
use http::Method;
use serde_json::Value;
use serde_json::json;

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

async fn run() -> Result<usize, LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let processes = system.entries.len() + system.agents.len();
    println!("{processes} processes serve version 1 of the configuration");

    let mut wrong = serve(&system).await?;
    wrong += serve_marked(&system).await?;
    let changes = json!([
        { "op": "add-version", "adapter": "school-0", "version": 2 },
        { "op": "serve", "adapter": "school-0", "version": 2 },
    ]);
    system.apply_patch(1, &changes).await?;
    system.wait_until_live(processes, 2).await?;
    wrong += serve_changed(&system).await?;

    show(&system.operator(0)).await?;
    for process in system.agents.iter_mut().chain(&mut system.entries) {
        process.shut_down();
    }
    let (loads, runs) =
        (system.recorder.load_count(), system.recorder.run_counts().values().sum::<usize>());
    println!("loads={loads} runs={runs}");
    Ok(wrong + system.recorder.evictions_while_serving())
}

/// Sends requests for several adapters to both entries at once, streamed and not.
async fn serve(system: &LoopbackSystem) -> Result<usize, LoopbackError> {
    let mut tasks = Vec::new();
    for number in 0..60 {
        let caller = system.caller(number % 2);
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
        wrong += usize::from(!is_right(&adapter, &prompt, 24, &reply?)?);
    }
    println!("answered 60 requests by 6 adapters, {wrong} of them wrong");
    Ok(wrong)
}

/// Sends a request that must not run twice, twice, and calls the plain service.
async fn serve_marked(system: &LoopbackSystem) -> Result<usize, LoopbackError> {
    let marked = |entry: usize| {
        let caller = system.caller(entry).with_header("x-non-idempotent", "true");
        caller.with_header("idempotency-key", "slot-17")
    };
    let prompt = "confirm slot 17";
    let first = marked(0).complete("school-3", prompt, 12).await?;
    let mut second = marked(1).complete("school-3", prompt, 12).await?;
    while second.status == 409 {
        // The first answer is being kept.
        second = marked(1).complete("school-3", prompt, 12).await?;
    }
    let runs = system.recorder.run_counts().get(prompt).copied().unwrap_or(0);
    let mut wrong = usize::from(!is_right("school-3@1", prompt, 12, &first)?);
    wrong += usize::from(second.text != first.text || runs != 1);
    println!(
        "confirmed slot 17 in {runs} run; the repeat got the same answer: {}",
        second.text == first.text
    );

    let order = json!({ "pallets": 1 });
    let answer = system.caller(1).send(Method::POST, "/services/ledger/orders", &order).await?;
    let body: Value = serde_json::from_slice(&answer.body)?;
    wrong += usize::from(body["path"] != "/orders");
    println!("plain service answered {}", answer.status);
    Ok(wrong)
}

async fn serve_changed(system: &LoopbackSystem) -> Result<usize, LoopbackError> {
    let prompt = "after the patch";
    let changed = system.caller(1).complete("school-0", prompt, 12).await?;
    let pinned = system.caller(0).complete("school-0@1", prompt, 12).await?;
    let mut wrong = usize::from(!is_right("school-0@2", prompt, 12, &changed)?);
    wrong += usize::from(!is_right("school-0@1", prompt, 12, &pinned)?);
    println!("school-0 answers by version 2, and school-0@1 still by version 1");
    Ok(wrong)
}

fn is_right(
    adapter: &str,
    prompt: &str,
    max_tokens: u64,
    reply: &Reply,
) -> Result<bool, LoopbackError> {
    let right =
        reply.is_complete && reply.text == answer_text(&adapter.parse()?, prompt, max_tokens);
    if !right {
        println!("wrong answer: adapter={adapter} prompt={prompt:?} reply={reply:?}");
    }
    Ok(right)
}

async fn show(operator: &TestCaller) -> Result<(), LoopbackError> {
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
