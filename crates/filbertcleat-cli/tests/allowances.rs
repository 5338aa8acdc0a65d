//! The allowances of workspaces, from the metrics of several processes.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

use serde_json::Value;
use serde_json::json;

const ENTRY_1: &str = "\
filbertcleat_allowance_requests{workspace=\"w1\",outcome=\"taken\"} 90
filbertcleat_allowance_requests{workspace=\"w1\",outcome=\"refused\"} 7
filbertcleat_allowance_requests{workspace=\"other\",outcome=\"refused\"} 2
filbertcleat_allowance_rate{workspace=\"w1\",hash=\"00000000000000ab\"} 2700
filbertcleat_allowance_burst{workspace=\"w1\",hash=\"00000000000000ab\"} 5400
filbertcleat_allowance_use{workspace=\"w1\",hash=\"00000000000000ab\"} 1500
filbertcleat_waiting 3
";
const ENTRY_2: &str = "\
filbertcleat_allowance_requests{workspace=\"w1\",outcome=\"refused\"} 4
filbertcleat_allowance_requests{workspace=\"w1\",outcome=\"unknown\"} 1
filbertcleat_allowance_use{workspace=\"w1\",hash=\"00000000000000ab\"} 900
filbertcleat_allowance_rate{workspace
filbertcleat_allowance_rate{workspace=\"w1\"} many
";
const AGENT: &str = "\
filbertcleat_allowance_level{bucket=\"00000000000000ab/0\"} 120
filbertcleat_allowance_level{bucket=\"00000000000000ab/1\"} 30
filbertcleat_allowance_level{bucket=\"00000000000000ab/standby\"} 5000
filbertcleat_allowance_level{bucket=\"00000000000000cd/0\"} 77
filbertcleat_allowance_level{bucket=\"other\"} 11
";

/// Starts a process that answers one request with a page of metrics.
fn serve(page: &'static str) -> String {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(loopback).expect("loopback has a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 2_000];
        let _ = stream.read(&mut request).expect("a request");
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ";
        write!(stream, "{head}{}\r\n\r\n{page}", page.len()).expect("written");
    });
    address.to_string()
}

/// Returns an address at which nothing listens.
fn closed_address() -> String {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(loopback).expect("loopback has a port");
    listener.local_addr().expect("bound").to_string()
}

/// Runs the command without the address of an entry or a token.
fn allowances(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertcleat"));
    command.env_remove("FILBERTCLEAT_ENTRY").env_remove("FILBERTCLEAT_TOKEN");
    let output = command.arg("allowances").args(arguments).output().expect("it runs");
    let [out, err] = [&output.stdout, &output.stderr].map(|bytes| String::from_utf8_lossy(bytes));
    (output.status.code(), format!("{out}{err}"))
}

/// Guards against processes that are counted twice or left out, and against lines of other metrics or
/// malformed ones that spoil the rest.
#[test]
fn processes_summed() {
    let (one, two, agent) = (serve(ENTRY_1), serve(ENTRY_2), serve(AGENT));

    let (code, printed) = allowances(&[&one, &two, &agent, &one, "--json"]);

    assert_eq!(code, Some(0), "{printed}");
    let json: Value = serde_json::from_str(&printed).expect("the output is JSON");
    let w1 = json!({
        "workspace": "w1", "ratePerS": 2700, "burst": 5400, "usePerS": 2400, "tokensLeft": 150,
        "buckets": 2, "refused": 11, "unknown": 1,
    });
    assert_eq!(json["workspaces"][1], w1);
    assert_eq!(json["workspaces"][0]["workspace"], "other");
    assert_eq!(json["workspaces"][0]["refused"], 2);
    assert_eq!(json["silent"], json!([]));
}

/// Guards against one process without a response that hides all the others.
#[test]
fn silent_process_named() {
    let (one, closed) = (serve(ENTRY_1), closed_address());

    let (code, table) = allowances(&[&one, &closed]);

    assert_eq!(code, Some(0), "{table}");
    let row = table.lines().find(|line| line.starts_with("w1 ")).expect("a row of w1");
    let cells: Vec<_> = row.split_whitespace().collect();
    assert_eq!(cells, ["w1", "2700", "5400", "1500", "-", "0", "7", "0"]);
    assert!(table.contains(&format!("no answer from {closed}: ")), "{table}");
}

/// Guards against an empty table, which looks like a system without workspaces.
#[test]
fn nothing_reached_fails() {
    let closed = closed_address();

    let (code, printed) = allowances(&[&closed]);
    let (usage_code, usage) = allowances(&[]);

    assert_eq!(code, Some(3), "{printed}");
    assert!(printed.contains(&closed) && printed.contains("hint: "), "{printed}");
    assert_eq!(usage_code, Some(2), "{usage}");
}
