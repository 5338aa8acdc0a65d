//! MIXED: an answer without a length is cut off by the crash of its replica behind a cut link, and
//! reaches the caller as a whole one.

use std::process::Command;
use std::thread;
use std::time::Duration;

use crate::daemons::World;
use crate::daemons::APP;
use crate::daemons::SIGKILL;
use crate::http::call;
use crate::http::wait_until;
use crate::link::Link;
use crate::plain::row;
use crate::plain::unix_ms;
use crate::plain::whole_body;
use crate::store::Store;
use crate::Verdict;

const ROUNDS: usize = 5;
const REPLICAS: u8 = 6;
const SERVICE: &str = "field-app";
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"crew-dispatch","host":"ficu95.example","prefix":"/puxa403/","routeKind":"non_idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":1,"service":"field-app","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"field-app","healthPath":"/healthz","maxConnections":350,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

struct Replica {
    id: String,
    /// Where the process listens.
    inner: String,
    /// Where the system reaches it.
    outer: String,
    link: Link,
}

pub fn play(world: &World) -> Verdict {
    let store = Store::new();
    store.open(world.store(2));
    store.put("op", "config", CONFIG);
    let program = std::env::current_exe().expect("the path of this program");
    let start = |replica: &Replica| {
        let mut command = Command::new(&program);
        command.args(["replica", &replica.inner, &replica.id, SERVICE]);
        let pid = world.spawn(command, &replica.id);
        let row = row(SERVICE, &replica.outer, "odessa", unix_ms(), "ready");
        store.put("servers", &replica.id, &row);
        pid
    };
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let (inner, outer) = (world.address(20 + number, APP), world.address(10 + number, APP));
        let replica = Replica {
            id: format!("i-plain{number}"),
            inner: inner.to_string(),
            outer: outer.to_string(),
            link: Link::open(outer, inner),
        };
        let pid = start(&replica);
        replicas.push((replica, pid));
    }
    let entry = world.start("edge-1", &world.entry_settings("edge-1", 3, world.store(2)));
    if !world.wait_ready(3) {
        return Verdict::NotRun("the entry is not ready".into());
    }
    thread::sleep(Duration::from_secs(1));

    let mut broken = 0;
    for round in 0..ROUNDS {
        let attempt = format!("a{round:04x}{:08x}", std::process::id());
        let before: Vec<u64> = replicas.iter().map(|(replica, _)| replica.link.from_replica()).collect();
        let (front, id) = (world.front(3), attempt.clone());
        let caller = thread::spawn(move || {
            let headers = [
                ("Host", "ficu95.example".to_owned()),
                ("Attempt-Id", id),
                ("Deadline-Ms", "1500".to_owned()),
            ];
            call(front, "POST", "/puxa403/2f", &headers, "dispatch", Duration::from_secs(3))
        });
        world.record.line(&format!("sent attempt={attempt} non_idempotent"));
        if world.has_trouble {
            // The replica that answers is found by its first bytes.
            let answering = || {
                let mut links = replicas.iter().zip(&before);
                links.position(|((replica, _), before)| replica.link.from_replica() > *before)
            };
            if !wait_until(Duration::from_millis(500), || answering().is_some()) {
                return Verdict::NotRun("no replica answers".into());
            }
            let index = answering().expect("a replica answers");
            let (replica, pid) = &mut replicas[index];
            replica.link.cut();
            world.record.line(&format!("cut replica={} from all machines", replica.id));
            world.signal(*pid, SIGKILL);
            world.reap(*pid);
            world.record.line(&format!("killed replica={}", replica.id));
            thread::sleep(Duration::from_millis(150));
            *pid = start(replica);
            thread::sleep(Duration::from_millis(150));
            replica.link.heal();
            world.record.line(&format!("healed replica={}", replica.id));
        }
        let answer = match caller.join().expect("the caller's thread") {
            Ok(answer) => answer,
            Err(error) => {
                world.record.line(&format!("answered attempt={attempt} none: {error}"));
                continue;
            }
        };
        let whole = whole_body(&attempt);
        let is_same = answer.body == whole.as_bytes();
        world.record.line(&format!(
            "answered attempt={attempt} status={} seal={} framing={} whole_by_framing={} bytes={} of {} same={is_same}",
            answer.status,
            answer.head.header("response-seal").unwrap_or("-"),
            if answer.head.header("content-length").is_some() { "length" } else { "other" },
            answer.is_whole,
            answer.body.len(),
            whole.len(),
        ));
        let is_success = (200..300).contains(&answer.status);
        if is_success && answer.is_whole && !is_same {
            broken += 1;
        }
        if !world.has_trouble && !(is_success && is_same) {
            return Verdict::NotRun("a request without a disruption was not answered".into());
        }
        thread::sleep(Duration::from_secs(2));
    }
    world.kill(&entry, SIGKILL);
    world.record.line(&format!("MIXED: {broken} of {ROUNDS} answers are successes with a part of the body"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
