//! Measures what an entry and an agent add to calling an engine directly, in one run.

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

type Failure = Box<dyn Error + Send + Sync>;

/// The tokens asked for in each answer; at least half of them come.
const TOKENS: u64 = 60;
/// The answers in a row on each stream.
const ROUNDS: usize = 24;

fn main() -> Result<(), Failure> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run())
}

async fn run() -> Result<(), Failure> {
    let spec = EngineSpec {
        batch_limit: 64,
        step_overhead: Duration::from_millis(5),
        step_time_per_call: Duration::ZERO,
        // A direct call has no fencing number.
        checks_fence: false,
        ..EngineSpec::fast()
    };
    let size = LoopbackConfig {
        entries: 1,
        engines: 1,
        has_plain_service: false,
        adapters: 1,
        engine_spec: spec,
        loads_per_s: 20.0,
    };
    let system = LoopbackSystem::start(size).await?;
    system.caller(0).complete("school-0", "warm up", 4).await?;
    let engine: SocketAddr = system.engines[0].url().trim_start_matches("http://").parse()?;
    let entry = system.entries[0].caller_address.ok_or("no callers' address")?;

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
        let before = (system.entries[0].cpu_time(), system.agents[0].cpu_time());
        let through = measure(entry, "school-0@1", streams, "through").await?;
        let after = (system.entries[0].cpu_time(), system.agents[0].cpu_time());
        print_row(streams, &direct, &through);
        let entry_us = after.0.saturating_sub(before.0).as_micros() as f64;
        let agent_us = after.1.saturating_sub(before.1).as_micros() as f64;
        let (requests, tokens) = (through.first.len() as f64, through.pieces as f64);
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

/// Times in microseconds.
struct Times {
    first: Histogram<u64>,
    gap: Histogram<u64>,
    pieces: u64,
}

impl Times {
    fn new() -> Result<Self, Failure> {
        let mut first = Histogram::new(3)?;
        let mut gap = Histogram::new(3)?;
        first.auto(true);
        gap.auto(true);
        Ok(Self { first, gap, pieces: 0 })
    }

    fn add(&mut self, other: &Self) -> Result<(), Failure> {
        self.first.add(&other.first)?;
        self.gap.add(&other.gap)?;
        self.pieces += other.pieces;
        Ok(())
    }
}

async fn measure(
    address: SocketAddr,
    model: &str,
    streams: usize,
    name: &str,
) -> Result<Times, Failure> {
    let client = HttpClient::new(Duration::from_secs(60));
    let mut tasks = Vec::new();
    for stream in 0..streams {
        let (client, model) = (client.clone(), model.to_owned());
        let name = format!("{name}-{streams}-{stream}");
        tasks.push(tokio::spawn(async move { one_stream(&client, address, &model, &name).await }));
    }
    let mut all = Times::new()?;
    for task in tasks {
        all.add(&task.await??)?;
    }
    Ok(all)
}

async fn one_stream(
    client: &HttpClient,
    address: SocketAddr,
    model: &str,
    name: &str,
) -> Result<Times, Failure> {
    let mut times = Times::new()?;
    for round in 0..ROUNDS {
        let body = json!({
            "model": model, "prompt": format!("{name} {round}"), "max_tokens": TOKENS, "stream": true,
        });
        let call =
            HttpRequest::new(Step::Call, Method::POST, format!("http://{address}/v1/completions"))
                .with_header("x-call-id", &format!("{name}-{round}"))
                .with_json(&body);
        let began = Instant::now();
        let mut last = None;
        let mut stream = client.send_streaming(call).await?.into_body();
        let mut parser = SseParser::default();
        while let Some(frame) = stream.frame().await {
            let Ok(bytes) = frame?.into_data() else {
                continue;
            };
            let pieces = parser.push(&bytes).ok_or("event is too large")?;
            let now = Instant::now();
            for _ in pieces.iter().filter(|piece| piece.contains("school-0")) {
                let micros = |since: Instant| now.duration_since(since).as_micros() as u64;
                match last {
                    None => times.first.record(micros(began))?,
                    Some(last) => times.gap.record(micros(last))?,
                }
                last = Some(now);
                times.pieces += 1;
            }
        }
    }
    if times.pieces == 0 {
        return Err(format!("no answer came from {address}").into());
    }
    Ok(times)
}

fn print_row(streams: usize, direct: &Times, through: &Times) {
    let at = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    };
    let columns = [
        at(&through.first, 0.5),
        at(&through.first, 0.99),
        at(&through.gap, 0.5),
        at(&through.gap, 0.99),
    ];
    let bases = [
        at(&direct.first, 0.5),
        at(&direct.first, 0.99),
        at(&direct.gap, 0.5),
        at(&direct.gap, 0.99),
    ];
    let added: Vec<_> =
        columns.iter().zip(bases).map(|(through, direct)| through - direct).collect();
    println!(
        "{streams:>8}{:>12.2}{:>12.2}{:>12.2}{:>12.2}{:>14.2}{:>14.2}{:>16.2}{:>16.2}  ms",
        columns[0], columns[1], columns[2], columns[3], added[0], added[1], added[2], added[3]
    );
}
