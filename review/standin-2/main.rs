//! The stand-ins of the scripts of this review: a store, backend servers, callers and links, all on
//! loopback.
//!
//! `standin CASE RECORD FOLDER DAEMON` plays a case. `standin replica ...` is one backend server of a
//! plain service as a process of its own, so that its end is that of a real process.

mod case_cut_answer;
mod daemons;
mod http;
mod json;
mod link;
mod plain;
mod record;
mod store;

use std::process::exit;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).map(String::as_str) == Some("replica") {
        plain::serve_process(&args[2..]);
        return;
    }
    if args.len() < 5 {
        eprintln!("usage: standin CASE RECORD FOLDER DAEMON");
        exit(2);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = daemons::World::new(&args[2], &args[3], &args[4], has_trouble);
    let verdict = match args[1].as_str() {
        "cut-answer" => case_cut_answer::play(&world),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    world.end_all();
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    world.record.line(&text);
    exit(code);
}
