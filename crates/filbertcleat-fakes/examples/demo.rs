//! Runs two entries and three agents on loopback, checks their answers, and prints the timeline.

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

/// The number of timeline events to print.
const PRINTED_EVENTS: usize = 60;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run()),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(0) => {
            println!("every answer was complete and correct");
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

/// Runs the demo and returns the number of wrong results.
async fn run() -> Result<usize, LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let daemon_count = system.entries.len() + system.agents.len();
    println!("{daemon_count} daemons serve version 1 of the configuration");

    let mut wrong = check_concurrent_requests(&system).await?;
    wrong += check_non_idempotent(&system).await?;
    let changes = json!([
        { "op": "add-version", "adapter": "school-0", "version": 2 },
        { "op": "serve", "adapter": "school-0", "version": 2 },
    ]);
    system.apply_patch(1, &changes).await?;
    system.wait_until_live(daemon_count, 2).await?;
    wrong += check_versions(&system).await?;

    print_timeline(&system.operator(0)).await?;
    for daemon in system.agents.iter_mut().chain(&mut system.entries) {
        daemon.shut_down();
    }
    let (loads, runs) =
        (system.recorder.load_count(), system.recorder.run_counts().values().sum::<usize>());
    println!("loads={loads} runs={runs}");
    Ok(wrong + system.recorder.evictions_while_serving())
}

/// Sends concurrent requests for several adapters to both entries, some streamed.
///
/// Returns the number of wrong answers.
async fn check_concurrent_requests(system: &LoopbackSystem) -> Result<usize, LoopbackError> {
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
        wrong += usize::from(!is_correct(&adapter, &prompt, 24, &reply?)?);
    }
    println!("answered 60 requests for 6 adapters, {wrong} of them wrong");
    Ok(wrong)
}

/// Sends a non-idempotent request to both entries, and a request to the plain service.
///
/// Returns the number of wrong results; the second entry must return the stored answer of the first
/// request without running it again.
async fn check_non_idempotent(system: &LoopbackSystem) -> Result<usize, LoopbackError> {
    let caller = |entry: usize| {
        let caller = system.caller(entry).with_header("x-non-idempotent", "true");
        caller.with_header("idempotency-key", "slot-17")
    };
    let prompt = "confirm slot 17";
    let first = caller(0).complete("school-3", prompt, 12).await?;
    let mut second = caller(1).complete("school-3", prompt, 12).await?;
    while second.status == 409 {
        // The answer to the first request is not stored yet.
        second = caller(1).complete("school-3", prompt, 12).await?;
    }
    let runs = system.recorder.run_counts().get(prompt).copied().unwrap_or(0);
    let mut wrong = usize::from(!is_correct("school-3@1", prompt, 12, &first)?);
    wrong += usize::from(second.text != first.text || runs != 1);
    println!(
        "confirmed slot 17 in {runs} run; the duplicate got the same answer: {}",
        second.text == first.text
    );

    let order = json!({ "pallets": 1 });
    let response = system.caller(1).send(Method::POST, "/services/ledger/orders", &order).await?;
    let body: Value = serde_json::from_slice(&response.body)?;
    wrong += usize::from(body["path"] != "/orders");
    println!("plain service responded with {}", response.status);
    Ok(wrong)
}

/// Checks that a request without a version gets the new one, and a pinned request the old one.
///
/// Returns the number of wrong answers.
async fn check_versions(system: &LoopbackSystem) -> Result<usize, LoopbackError> {
    let prompt = "after the patch";
    let latest = system.caller(1).complete("school-0", prompt, 12).await?;
    let pinned = system.caller(0).complete("school-0@1", prompt, 12).await?;
    let mut wrong = usize::from(!is_correct("school-0@2", prompt, 12, &latest)?);
    wrong += usize::from(!is_correct("school-0@1", prompt, 12, &pinned)?);
    println!("school-0 is served by version 2, and school-0@1 still by version 1");
    Ok(wrong)
}

/// Returns whether a reply is the complete answer of an adapter version, and prints a wrong reply.
fn is_correct(
    adapter: &str,
    prompt: &str,
    max_tokens: u64,
    reply: &Reply,
) -> Result<bool, LoopbackError> {
    let is_correct =
        reply.is_complete && reply.text == answer_text(&adapter.parse()?, prompt, max_tokens);
    if !is_correct {
        println!("wrong answer: adapter={adapter} prompt={prompt:?} reply={reply:?}");
    }
    Ok(is_correct)
}

/// Prints the last events of the timeline of all daemons.
async fn print_timeline(operator: &TestCaller) -> Result<(), LoopbackError> {
    let response = operator.send(Method::GET, "/operator/timeline", &Value::Null).await?;
    let pages: Vec<TimelinePage> = serde_json::from_slice(&response.body)?;
    let daemon_count = pages.len();
    let events = merge_pages(pages);
    println!(
        "timeline of {daemon_count} daemons, {} events, the last {PRINTED_EVENTS}:",
        events.len()
    );
    for event in events.iter().skip(events.len().saturating_sub(PRINTED_EVENTS)) {
        println!("  {} {event}", event.stamp);
    }
    Ok(())
}
