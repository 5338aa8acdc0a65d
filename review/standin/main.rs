//! Stand-ins for the platform's store, its links, backend servers and consumers, and the scripts of
//! the cases that start the daemon beside them. It needs the standard library alone.

mod cases;
mod consumer;
mod daemon;
mod engine;
mod http;
mod link;
mod record;
mod server;
mod store;

use std::process::ExitCode;

/// The exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, daemon, record] = &arguments[..] else {
        eprintln!("Usage: standin CASE DAEMON RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(name, daemon, record, with_trouble) {
        Ok(true) => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{name}: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("{name}: could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
