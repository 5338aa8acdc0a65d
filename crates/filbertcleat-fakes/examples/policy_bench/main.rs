//! Compares routing and scheduling policies on simulated workloads.
//!
//! The decision logic of entries and agents runs in virtual time on seeded request traces.

mod bound;
mod metrics;
mod plot;
mod sim;
mod trace;

use std::process::ExitCode;

use filbertcleat_config::ObjectiveWeights;
use filbertcleat_config::Policy;
use getopts::Options;
use serde_json::Value;
use serde_json::json;

use crate::metrics::Metrics;
use crate::sim::SimSettings;
use crate::sim::Simulation;
use crate::trace::Deployment;
use crate::trace::Trace;
use crate::trace::Workload;

/// The default duration of the arrivals in a run.
const DEFAULT_DURATION_S: u64 = 1800;
/// The default seed of a run.
const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("d", "deployment", "cassowary or coldwater (default: both)", "NAME");
    options.optopt("w", "workload", "one workload (default: all)", "NAME");
    options.optopt("p", "policy", "ours, rendezvous or random (default: all)", "NAME");
    options.optopt("t", "seconds", "virtual seconds of arrivals", "N");
    options.optopt("s", "seed", "seed of the trace", "N");
    options.optopt("j", "json", "write the figures to this file", "FILE");
    options.optopt("g", "plot", "write a plot to this file", "FILE");
    options.optflag("h", "help", "show this text");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: policy_bench [options]"));
        return ExitCode::SUCCESS;
    }

    let number = |name: &str, default: u64| {
        matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let is_selected =
        |name: &str, value: &str| matches.opt_str(name).is_none_or(|text| text == value);
    let (duration_s, seed) = (number("seconds", DEFAULT_DURATION_S), number("seed", DEFAULT_SEED));
    let mut rows = Vec::new();
    println!("{}", Metrics::heading());
    for deployment in Deployment::ALL {
        if !is_selected("deployment", deployment.name()) {
            continue;
        }
        for workload in Workload::all() {
            if !is_selected("workload", &workload.name()) {
                continue;
            }
            let trace = Trace::new(deployment, workload, duration_s, seed);
            for (name, policy) in POLICIES {
                if is_selected("policy", name) {
                    rows.push(simulate(deployment, workload, &trace, name, policy, seed));
                }
            }
            let stall_ms = bound::stall_ms(deployment, &trace);
            println!(
                "{:<11}{:<16}{:<11}{stall_ms:>13}",
                deployment.name(),
                workload.name(),
                "bound"
            );
            rows.push(json!({
                "deployment": deployment.name(), "workload": workload.name(), "policy": "bound",
                "stall_sum_ms": stall_ms,
            }));
        }
    }
    write_reports(&matches, &rows)
}

/// The policies to compare, with their names for options and reports.
const POLICIES: [(&str, Policy); 3] =
    [("ours", DEFAULT_POLICY), ("rendezvous", Policy::RENDEZVOUS), ("random", Policy::RANDOM)];

/// The default policy.
const DEFAULT_POLICY: Policy = Policy {
    routing: filbertcleat_config::RoutingPolicy::Affinity,
    eviction: filbertcleat_config::EvictionPolicy::LeastValuable,
    queue: filbertcleat_config::QueuePolicy::Grouped,
    load_permits: filbertcleat_config::LoadPermitPolicy::Urgency,
};

/// Simulates a policy, prints its row and returns its metrics as a JSON object.
fn simulate(
    deployment: Deployment,
    workload: Workload,
    trace: &Trace,
    name: &str,
    policy: Policy,
    seed: u64,
) -> Value {
    let weights = match deployment {
        Deployment::Cassowary => ObjectiveWeights::FAVOR_LOAD_STALL,
        Deployment::Coldwater => ObjectiveWeights::FAVOR_BATCH_EFFICIENCY,
    };
    let settings = SimSettings { deployment, policy, weights, seed };
    let metrics = Simulation::new(&settings, trace).run();
    println!("{:<11}{:<16}{name:<11}{}", deployment.name(), workload.name(), metrics.row());
    let mut value = metrics.to_json();
    value["deployment"] = json!(deployment.name());
    value["workload"] = json!(workload.name());
    value["policy"] = json!(name);
    value
}

/// Writes the files that the options name.
fn write_reports(matches: &getopts::Matches, rows: &[Value]) -> ExitCode {
    let mut has_failed = false;
    if let Some(file) = matches.opt_str("json") {
        let text = rows.iter().map(|row| format!("{row}\n")).collect::<Vec<_>>().concat();
        has_failed |=
            std::fs::write(&file, text).inspect_err(|error| eprintln!("{file}: {error}")).is_err();
    }
    if let Some(file) = matches.opt_str("plot") {
        has_failed |=
            plot::draw(&file, rows).inspect_err(|error| eprintln!("{file}: {error}")).is_err();
    }
    if has_failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
