//! Measures the latency that an entry and an agent add to a direct call of an engine, and the CPU
//! time that they use.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertcleat_base::Step;
use filbertcleat_fakes::EngineSpec;
use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpRequest;
use filbertcleat_platform::SseParser;
use hdrhistogram::Histogram;
use http::Method;
use http_body_util::BodyExt;
use serde_json::json;

type OverheadError = Box<dyn Error + Send + Sync>;

/// The `max_tokens` of each request; an answer has at least half of these tokens.
const MAX_TOKENS: u64 = 60;
/// The number of consecutive requests of each concurrent client.
const REQUESTS_PER_CLIENT: usize = 24;

fn main() -> Result<(), OverheadError> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run())
}

async fn run() -> Result<(), OverheadError> {
    let spec = EngineSpec {
        batch_limit: 64,
        step_overhead: Duration::from_millis(5),
        step_time_per_call: Duration::ZERO,
        // The direct calls carry no fencing token.
        checks_fence: false,
        ..EngineSpec::fast()
    };
    let config = LoopbackConfig {
        entries: 1,
        engines: 1,
        has_plain_service: false,
        adapters: 1,
        engine_spec: spec,
        loads_per_s: 20.0,
    };
    let system = LoopbackSystem::start(config).await?;
    system.caller(0).complete("school-0", "warm up", 4).await?;
    let engine: SocketAddr = system.engines[0].url().trim_start_matches("http://").parse()?;
    let entry = system.entries[0].caller_address.ok_or("entry has no caller address")?;

    println!(
        "{:>8}{:>12}{:>12}{:>12}{:>12}{:>14}{:>14}{:>16}{:>16}",
        "streams",
        "first_p50",
        "first_p99",
        "gap_p50",
        "gap_p99",
        "add_first_p50",
        "add_first_p99",
        "add_gap_p50",
        "add_gap_p99"
    );
    for streams in [1, 16, 64] {
        let direct = measure(engine, "school-0@1", streams, "direct").await?;
        let cpu_before = (system.entries[0].cpu_time(), system.agents[0].cpu_time());
        let served = measure(entry, "school-0@1", streams, "through").await?;
        let cpu_after = (system.entries[0].cpu_time(), system.agents[0].cpu_time());
        print_row(streams, &direct, &served);
        let entry_us = cpu_after.0.saturating_sub(cpu_before.0).as_micros() as f64;
        let agent_us = cpu_after.1.saturating_sub(cpu_before.1).as_micros() as f64;
        let (requests, tokens) = (served.first_token.len() as f64, served.token_count as f64);
        println!(
            "         cpu_us per request: entry {:.0} agent {:.0}; per token: entry {:.1} agent {:.1}",
            entry_us / requests,
            agent_us / requests,
            entry_us / tokens,
            agent_us / tokens
        );
    }
    Ok(())
}

/// The latencies of streamed answers in microseconds.
struct Latencies {
    /// The time from the start of each request to its first token.
    first_token: Histogram<u64>,
    /// The time between consecutive tokens of an answer.
    token_gap: Histogram<u64>,
    /// The number of tokens received.
    token_count: u64,
}

impl Latencies {
    fn new() -> Result<Self, OverheadError> {
        let mut first_token = Histogram::new(3)?;
        let mut token_gap = Histogram::new(3)?;
        first_token.auto(true);
        token_gap.auto(true);
        Ok(Self { first_token, token_gap, token_count: 0 })
    }

    fn add(&mut self, other: &Self) -> Result<(), OverheadError> {
        self.first_token.add(&other.first_token)?;
        self.token_gap.add(&other.token_gap)?;
        self.token_count += other.token_count;
        Ok(())
    }
}

/// Sends requests from `streams` concurrent clients to `address` and merges their latencies.
async fn measure(
    address: SocketAddr,
    model: &str,
    streams: usize,
    name: &str,
) -> Result<Latencies, OverheadError> {
    let client = HttpClient::new(Duration::from_secs(60));
    let mut tasks = Vec::new();
    for client_number in 0..streams {
        let (client, model) = (client.clone(), model.to_owned());
        let name = format!("{name}-{streams}-{client_number}");
        tasks.push(tokio::spawn(
            async move { measure_client(&client, address, &model, &name).await },
        ));
    }
    let mut all = Latencies::new()?;
    for task in tasks {
        all.add(&task.await??)?;
    }
    Ok(all)
}

/// Sends consecutive streamed requests and records their latencies.
async fn measure_client(
    client: &HttpClient,
    address: SocketAddr,
    model: &str,
    name: &str,
) -> Result<Latencies, OverheadError> {
    let mut latencies = Latencies::new()?;
    for round in 0..REQUESTS_PER_CLIENT {
        let body = json!({
            "model": model, "prompt": format!("{name} {round}"), "max_tokens": MAX_TOKENS, "stream": true,
        });
        let request =
            HttpRequest::new(Step::Call, Method::POST, format!("http://{address}/v1/completions"))
                .with_header("x-call-id", &format!("{name}-{round}"))
                .with_json(&body);
        let started_at = Instant::now();
        let mut last_token_at = None;
        let mut stream = client.send_streaming(request).await?.into_body();
        let mut parser = SseParser::default();
        while let Some(frame) = stream.frame().await {
            let Ok(bytes) = frame?.into_data() else {
                continue;
            };
            let events = parser.push(&bytes).ok_or("event is too large")?;
            let now = Instant::now();
            for _ in events.iter().filter(|event| event.contains("school-0")) {
                let micros = |since: Instant| now.duration_since(since).as_micros() as u64;
                match last_token_at {
                    None => latencies.first_token.record(micros(started_at))?,
                    Some(last_token_at) => latencies.token_gap.record(micros(last_token_at))?,
                }
                last_token_at = Some(now);
                latencies.token_count += 1;
            }
        }
    }
    if latencies.token_count == 0 {
        return Err(format!("no answer received from {address}").into());
    }
    Ok(latencies)
}

/// Prints latencies through an entry and an agent, and their difference to direct calls, in ms.
fn print_row(streams: usize, direct: &Latencies, served: &Latencies) {
    let quantile_ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    };
    let columns = [
        quantile_ms(&served.first_token, 0.5),
        quantile_ms(&served.first_token, 0.99),
        quantile_ms(&served.token_gap, 0.5),
        quantile_ms(&served.token_gap, 0.99),
    ];
    let direct_columns = [
        quantile_ms(&direct.first_token, 0.5),
        quantile_ms(&direct.first_token, 0.99),
        quantile_ms(&direct.token_gap, 0.5),
        quantile_ms(&direct.token_gap, 0.99),
    ];
    let added: Vec<_> =
        columns.iter().zip(direct_columns).map(|(served, direct)| served - direct).collect();
    println!(
        "{streams:>8}{:>12.2}{:>12.2}{:>12.2}{:>12.2}{:>14.2}{:>14.2}{:>16.2}{:>16.2}  ms",
        columns[0], columns[1], columns[2], columns[3], added[0], added[1], added[2], added[3]
    );
}
