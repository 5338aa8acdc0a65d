//! Feeds seeded traces to the decisions in virtual time and reports the measures.

mod bound;
mod measure;
mod plot;
mod sim;
mod trace;

use std::process::ExitCode;

use filbertcleat_config::ObjectiveWeights;
use filbertcleat_config::Policy;
use getopts::Options;
use serde_json::Value;
use serde_json::json;

use crate::measure::Measures;
use crate::sim::Bench;
use crate::sim::Setup;
use crate::trace::Deployment;
use crate::trace::Load;
use crate::trace::Trace;

/// The length of a run unless another is asked for.
const RUN_S: u64 = 1800;
/// The seed of a run unless another is asked for.
const SEED: u64 = 1;

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
    let wanted = |name: &str, value: &str| matches.opt_str(name).is_none_or(|text| text == value);
    let (seconds, seed) = (number("seconds", RUN_S), number("seed", SEED));
    let mut rows = Vec::new();
    println!("{}", Measures::heading());
    for deployment in Deployment::ALL {
        if !wanted("deployment", deployment.name()) {
            continue;
        }
        for load in Load::all() {
            if !wanted("workload", &load.name()) {
                continue;
            }
            let trace = Trace::new(deployment, load, seconds, seed);
            for (name, policy) in POLICIES {
                if wanted("policy", name) {
                    rows.push(run(deployment, load, &trace, name, policy, seed));
                }
            }
            let stall_ms = bound::stall_ms(deployment, &trace);
            println!("{:<11}{:<16}{:<11}{stall_ms:>13}", deployment.name(), load.name(), "bound");
            rows.push(json!({
                "deployment": deployment.name(), "workload": load.name(), "policy": "bound",
                "stall_sum_ms": stall_ms,
            }));
        }
    }
    write(&matches, &rows)
}

/// The policies that are compared, with their names.
const POLICIES: [(&str, Policy); 3] =
    [("ours", OURS), ("rendezvous", Policy::RENDEZVOUS), ("random", Policy::RANDOM)];

/// The policies in force by default.
const OURS: Policy = Policy {
    routing: filbertcleat_config::RoutingPolicy::Affinity,
    eviction: filbertcleat_config::EvictionPolicy::LeastValuable,
    queue: filbertcleat_config::QueuePolicy::Grouped,
    load_permits: filbertcleat_config::LoadPermitPolicy::Urgency,
};

fn run(
    deployment: Deployment,
    load: Load,
    trace: &Trace,
    name: &str,
    policy: Policy,
    seed: u64,
) -> Value {
    let weights = match deployment {
        Deployment::Cassowary => ObjectiveWeights::FAVOR_LOAD_STALL,
        Deployment::Coldwater => ObjectiveWeights::FAVOR_BATCH_EFFICIENCY,
    };
    let setup = Setup { deployment, policy, weights, seed };
    let measures = Bench::new(&setup, trace).run();
    println!("{:<11}{:<16}{name:<11}{}", deployment.name(), load.name(), measures.row());
    let mut value = measures.to_json();
    value["deployment"] = json!(deployment.name());
    value["workload"] = json!(load.name());
    value["policy"] = json!(name);
    value
}

fn write(matches: &getopts::Matches, rows: &[Value]) -> ExitCode {
    let mut failed = false;
    if let Some(file) = matches.opt_str("json") {
        let text = rows.iter().map(|row| format!("{row}\n")).collect::<Vec<_>>().concat();
        failed |=
            std::fs::write(&file, text).inspect_err(|error| eprintln!("{file}: {error}")).is_err();
    }
    if let Some(file) = matches.opt_str("plot") {
        failed |=
            plot::draw(&file, rows).inspect_err(|error| eprintln!("{file}: {error}")).is_err();
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
