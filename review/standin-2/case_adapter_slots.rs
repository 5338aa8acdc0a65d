//! LIMIT: an order of before the restart of a machine is carried out late, and the replica has to load
//! more adapters than it has places.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::daemons::Daemon;
use crate::daemons::World;
use crate::daemons::APP;
use crate::daemons::SIGKILL;
use crate::engine::Engine;
use crate::engine::ADAPTER_SLOTS;
use crate::engine::MODEL;
use crate::http::call;
use crate::http::Answer;
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

const ENGINES: u8 = 4;
const SERVICE: &str = "trace-llm";
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"night-trace","host":"ficu95.example","prefix":"/lohu930/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":1000,"priority":0,"service":"trace-llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":300}],"services":[{"name":"trace-llm","healthPath":"/healthz","maxConnections":971,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":133445,"kvTokenBytes":131072.0,"linkMbps":280000.0,"moves":true,"backups":true,"stride":3,"maximum":12,"hostMb":57000.0,"diskMb":170000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"daka510000","weightsMb":34300.0,"loadTimeS":2.7,"adapters":10000,"adapterSizeMb":40.0,"warmS":0.78,"diskS":1.1}],"weightsMb":35800.0,"adapterSlots":16,"loadsPerS":16.0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// How much later the order is carried out that gets no answer; the pages allow 2 to 12 s.
const LATE: Duration = Duration::from_secs(11);

fn ask(
    front: SocketAddr,
    record: &Record,
    attempt: &str,
    adapter: &str,
    tokens: u64,
) -> Option<Answer> {
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Model", format!("{MODEL}/{adapter}")),
        ("Token-Count", format!("300,{tokens}")),
        ("Prompt-Prefix", format!("5c1e07a2:100,{attempt}:200")),
        ("Deadline-Ms", "15000".to_owned()),
    ];
    record.line(&format!("sent attempt={attempt} adapter={adapter} tokens={tokens}"));
    let answer = call(front, "POST", "/lohu930/2f", &headers, "trace", Duration::from_secs(20)).ok();
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    let is_whole = answer.as_ref().is_some_and(|answer| answer.is_whole);
    record.line(&format!("answered attempt={attempt} status={status} whole={is_whole}"));
    answer
}

pub fn play(world: &World) -> Verdict {
    let store = Store::new();
    let _door = store.open(world.store(2));
    store.put("op", "config", CONFIG);
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let address = world.address(10 + number, APP);
            let engine = Engine::new(address, &format!("i-engine{number}"), &world.record);
            engine.start(true);
            engine
        })
        .collect();
    // The replicas write their entries about every heartbeat.
    let (beating, beats) = (engines.clone(), store.clone());
    thread::spawn(move || loop {
        for engine in beating.iter().filter(|engine| engine.is_up()) {
            beats.put("servers", engine.id(), &engine.row(SERVICE));
        }
        thread::sleep(Duration::from_millis(1_200));
    });
    let _entry = world.start("edge-1", &world.entry_settings("edge-1", 3, world.store(2)));
    let agents: Vec<Daemon> = (0..ENGINES)
        .map(|number| {
            let name = format!("side-{number}");
            world.start(&name, &world.agent_settings(&name, 10 + number, world.store(2)))
        })
        .collect();
    if !world.wait_ready(3) {
        return Verdict::NotRun("the entry is not ready".into());
    }
    thread::sleep(Duration::from_secs(2));

    // Short streams with ever new adapters fill the places, until adapters have to go for others.
    let (engine, agent) = (&engines[0], &agents[0]);
    let full_sequence = ADAPTER_SLOTS as u64 + 1;
    if world.has_trouble {
        engine.delay_load(full_sequence, LATE);
    }
    let mut adapter = 0;
    let begun = Instant::now();
    while engine.sequence() <= full_sequence && begun.elapsed() < Duration::from_secs(40) {
        let callers: Vec<_> = (0..8)
            .map(|_| {
                adapter += 1;
                let (front, record) = (world.front(3), world.record.clone());
                thread::spawn(move || {
                    ask(front, &record, &format!("b{adapter:07x}"), &format!("a{adapter}"), 9)
                })
            })
            .collect();
        callers.into_iter().for_each(|caller| drop(caller.join()));
    }
    if world.has_trouble {
        if engine.delayed_orders() != 1 {
            return Verdict::NotRun("no order was left unanswered".into());
        }
        // The machine of a replica restarts, and its agent with it.
        world.kill(agent, SIGKILL);
        engine.crash("its machine restarts");
        world.wait_for_end(agent);
        thread::sleep(Duration::from_millis(600));
        world.start_again(agent);
        thread::sleep(Duration::from_millis(400));
        engine.start(false);
    }

    // More long streams than places, each with an adapter of its own.
    let callers: Vec<_> = (0..ADAPTER_SLOTS * usize::from(ENGINES) * 2)
        .map(|number| {
            let (front, record, engine) = (world.front(3), world.record.clone(), engine.clone());
            thread::spawn(move || {
                for retry in 0..10 {
                    let (attempt, adapter) = (format!("d{number:04x}{retry:03x}"), format!("a{}", number + 1_001));
                    let answer = ask(front, &record, &attempt, &adapter, 540);
                    if answer.is_some_and(|answer| answer.status == 200) || !engine.excess().is_empty() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let mut is_broken = false;
    for engine in &engines {
        let excess = engine.excess();
        is_broken |= !excess.is_empty();
        world.record.line(&format!(
            "{} at the end: sequence={} adapters={} beyond the places: {excess:?}",
            engine.id(),
            engine.sequence(),
            engine.held()
        ));
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
