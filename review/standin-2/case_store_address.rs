//! CONFIG: the settings name another address of the platform's store, and the entry goes on with the
//! configuration that it read at the former one.

use std::process::Command;
use std::thread;
use std::time::Duration;

use crate::daemons::World;
use crate::daemons::APP;
use crate::daemons::SIGHUP;
use crate::http::call;
use crate::plain::row;
use crate::plain::unix_ms;
use crate::store::Store;
use crate::Verdict;

const REQUESTS: usize = 20;
/// The machines of the entries.
const ENTRIES: [u8; 2] = [3, 4];

fn config(version: u64, service: &str) -> String {
    let names = ["field-app", "field-app-b"];
    let services: Vec<String> = names
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConnections":350,"protocol":"h1","tls":false}}"#))
        .collect();
    let services = services.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"logger-read","host":"ficu95.example","prefix":"/cufi504/","routeKind":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":1,"service":"{service}","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Sends a request and returns the service that ran it.
fn ask(world: &World, entry: u8, attempt: &str) -> String {
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Deadline-Ms", "1500".to_owned()),
    ];
    let answer = call(world.front(entry), "GET", "/cufi504/2f", &headers, "", Duration::from_secs(3));
    let ran_by = match &answer {
        Ok(answer) if answer.status == 200 => {
            let seal = answer.head.header("response-seal").unwrap_or_default();
            seal.split_once('.').map_or("-", |(service, _)| service).to_owned()
        }
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    world.record.line(&format!("sent attempt={attempt} to edge-{entry}, run by {ran_by}"));
    ran_by
}

pub fn play(world: &World) -> Verdict {
    let store = Store::new();
    let former = store.open(world.store(2));
    store.put("op", "config", &config(7, "field-app"));
    let program = std::env::current_exe().expect("the path of this program");
    let mut rows = Vec::new();
    for (number, service) in [(10, "field-app"), (11, "field-app-b")] {
        let (id, address) = (format!("i-{service}"), world.address(number, APP).to_string());
        let mut command = Command::new(&program);
        command.args(["replica", &address, &id, service]);
        world.spawn(command, &id);
        rows.push((id, row(service, &address, "odessa", unix_ms(), "ready")));
    }
    // Replicas write their entries about every heartbeat.
    let beats = store.clone();
    thread::spawn(move || loop {
        for (id, row) in &rows {
            beats.put("servers", id, row);
        }
        thread::sleep(Duration::from_millis(1_200));
    });
    let names = ENTRIES.map(|number| format!("edge-{number}"));
    let entries = [0, 1].map(|index| {
        let settings = world.entry_settings(&names[index], ENTRIES[index], world.store(2));
        world.start(&names[index], &settings)
    });
    if !ENTRIES.iter().all(|number| world.wait_ready(*number)) {
        return Verdict::NotRun("an entry is not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    for number in ENTRIES {
        if ask(world, number, &format!("e000000{number}")) != "field-app" {
            return Verdict::NotRun("the first request was not run".into());
        }
    }

    if world.has_trouble {
        // The store gets another address. It serves both for a while, and never stops to serve.
        store.open(world.store(2 + 3));
        for (index, entry) in entries.iter().enumerate() {
            let settings = world.entry_settings(&names[index], ENTRIES[index], world.store(2 + 3));
            world.write_settings(entry, &settings);
        }
        world.kill(&entries[0], SIGHUP);
        world.record.line("the settings of both entries name the new address; SIGHUP sent to one");
        thread::sleep(Duration::from_secs(6));
        former.close();
        world.record.line("the store is not served at its former address any more");
    }
    thread::sleep(Duration::from_secs(5));
    store.put("op", "config", &config(9, "field-app-b"));
    world.record.line("the store has acknowledged version 9: the route leads to field-app-b");
    // The bound of the configuration, and a second more.
    thread::sleep(Duration::from_secs(4));
    let (mut stale, mut current) = (0, 0);
    for number in 0..REQUESTS {
        match ask(world, ENTRIES[number % 2], &format!("f{number:07x}")).as_str() {
            "field-app" => stale += 1,
            "field-app-b" => current += 1,
            _ => {}
        }
        thread::sleep(Duration::from_millis(50));
    }
    let is_ready = ENTRIES.iter().all(|number| world.wait_ready(*number));
    world.record.line(&format!(
        "CONFIG: {stale} of {REQUESTS} requests run by the service of version 7, {current} by that of version 9; the entries say ready: {is_ready}"
    ));
    if stale > 0 {
        Verdict::Broken
    } else if current > 0 {
        Verdict::Held
    } else {
        Verdict::NotRun("no request was run".into())
    }
}
