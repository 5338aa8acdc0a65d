//! The cases that are scripts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::consumer;
use crate::consumer::Answer;
use crate::daemon::Agent;
use crate::daemon::Entry;
use crate::engine::ADAPTER_SLOTS;
use crate::engine::Engine;
use crate::engine::MODEL;
use crate::link::Link;
use crate::record::Record;
use crate::server::Run;
use crate::server::Server;
use crate::store::Store;

const HOST: &str = "desk.example";
/// The bounds of the settings.
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const DRAIN_MS: u64 = 2_000;

/// Runs a case and returns whether the rule held.
pub fn run(name: &str, daemon: &str, record: &str, with_trouble: bool) -> std::io::Result<bool> {
    match name {
        "config-after-silence" => config_after_silence(daemon, record, with_trouble),
        "late-load" => late_load(daemon, record, with_trouble),
        "leaving-after-silence" => leaving_after_silence(daemon, record, with_trouble),
        _ => Err(std::io::Error::other(format!("there is no case {name}"))),
    }
}

/// Returns a configuration whose route leads to a service.
fn config(version: u64, service: &str, timeout_ms: u64, kind: &str) -> String {
    let attempts = if kind == "idempotent" { 2 } else { 1 };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-stock\",\"host\":\"{HOST}\",\
         \"prefix\":\"/stock/\",\"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":300,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts}}}],\
         \"services\":[{{\"name\":\"desk-one\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"desk-two\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

fn sleep_until(record: &Record, at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(record.now_ms())));
}

/// A small deployment: the store behind a link, four servers of two services, and an entry.
struct Deployment {
    record: Arc<Record>,
    store: Arc<Store>,
    link: Link,
    runs: Arc<Mutex<Vec<Run>>>,
    servers: Vec<Arc<Server>>,
    entry: Entry,
    answers: Arc<Mutex<Vec<Answer>>>,
    is_over: Arc<AtomicBool>,
    consumers: Vec<JoinHandle<()>>,
}

impl Deployment {
    /// Starts a deployment and four consumers, whose requests go to the service `desk-one`.
    fn start(daemon: &str, path: &str, kind: &str, work_ms: u64) -> std::io::Result<Self> {
        let record = Arc::new(Record::create(path)?);
        let (store, store_address) = Store::start("127.0.0.1")?;
        let (link, link_address) = Link::start("127.0.0.1", store_address)?;
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let mut servers = Vec::new();
        for (id, service) in [
            ("i-one-1", "desk-one"),
            ("i-one-2", "desk-one"),
            ("i-two-1", "desk-two"),
            ("i-two-2", "desk-two"),
        ] {
            servers.push(Server::start("127.0.0.1", id, service, work_ms, &store, &runs, &record)?);
        }
        store.write("op", "config", Some(&config(3, "desk-one", 1_500, kind)));
        let entry = Entry::start(daemon, link_address)?;
        for _ in 0..100 {
            if consumer::is_ready(entry.ready) {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        if !consumer::is_ready(entry.ready) {
            return Err(std::io::Error::other("the entry is not ready after 10 s"));
        }
        record.line("the entry is ready");
        let (answers, is_over) = (Arc::default(), Arc::default());
        let mut deployment = Self {
            record,
            store,
            link,
            runs,
            servers,
            entry,
            answers,
            is_over,
            consumers: Vec::new(),
        };
        deployment.consumers = (0..4).map(|number| deployment.start_consumer(number)).collect();
        std::thread::sleep(Duration::from_millis(4_000));
        Ok(deployment)
    }

    fn start_consumer(&self, number: usize) -> JoinHandle<()> {
        let (record, answers) = (Arc::clone(&self.record), Arc::clone(&self.answers));
        let (is_over, front) = (Arc::clone(&self.is_over), self.entry.front);
        std::thread::spawn(move || {
            for count in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("c{number}-{count}");
                let answer = consumer::ask(&record, front, HOST, "/stock/2f", &id);
                answers.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(answer);
                std::thread::sleep(Duration::from_millis(60));
            }
        })
    }

    /// Makes the open channels to the store silent. Returns when the entry is in touch again.
    fn silence(&self) -> u64 {
        let opened = self.link.silence_open_channels();
        let text = format!("the open channels to the store go silent ({opened} so far)");
        self.record.line(&text) + CONTACT_MS
    }

    /// Ends the consumers, and returns all runs and answers.
    fn finish(&mut self, log: &[&str]) -> (Vec<Run>, Vec<Answer>) {
        self.is_over.store(true, Ordering::SeqCst);
        for consumer in self.consumers.drain(..) {
            let _ = consumer.join();
        }
        for text in log {
            for line in self.entry.log_lines(text) {
                self.record.line(&format!("log of the entry: {line}"));
            }
        }
        let runs = self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
        let answers = self.answers.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
        (runs, answers)
    }

    /// Writes the result. Fails unless most requests were served.
    fn conclude(
        &self,
        answers: &[Answer],
        bound_ms: u64,
        broken: &[String],
    ) -> std::io::Result<bool> {
        for text in broken {
            self.record.line(&format!("BROKEN {text}"));
        }
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        self.record.line(&format!(
            "{} requests, {served} answered 200; the bound is {bound_ms} ms; broken {} times",
            answers.len(),
            broken.len()
        ));
        if served * 2 < answers.len() || answers.is_empty() {
            return Err(std::io::Error::other("the requests were not served"));
        }
        Ok(broken.is_empty())
    }
}

/// The open channels to the store go silent for good while new ones work, and then a route moves to
/// another service.
fn config_after_silence(daemon: &str, path: &str, with_trouble: bool) -> std::io::Result<bool> {
    let mut deployment = Deployment::start(daemon, path, "idempotent", 20)?;
    let (record, store) = (Arc::clone(&deployment.record), Arc::clone(&deployment.store));
    // The operator changes a time-out and, 0.6 s later, moves the route.
    store.write("op", "config", Some(&config(5, "desk-one", 1_400, "idempotent")));
    let first_ms = record.line("the store acknowledges version 5: another time-out");
    sleep_until(&record, first_ms + 100);
    let touch_ms = if with_trouble { deployment.silence() } else { 0 };
    sleep_until(&record, first_ms + 600);
    store.write("op", "config", Some(&config(7, "desk-two", 1_400, "idempotent")));
    let ack_ms = record.line("the store acknowledges version 7: the route moves to desk-two");
    sleep_until(&record, ack_ms + 7_000);

    let (runs, answers) = deployment.finish(&["topic=operators", "event=configuration "]);
    let bound_ms = (ack_ms + CONFIG_APPLY_MS).max(touch_ms);
    let mut broken = Vec::new();
    for Run { id, server, service, reached_ms } in &runs {
        let Some(answer) = answers.iter().find(|answer| answer.id == *id) else { continue };
        if service == "desk-one" && answer.sent_ms > bound_ms {
            let late_ms = answer.sent_ms - ack_ms;
            broken.push(format!(
                "CONFIG: {id} was sent {late_ms} ms after the ack, and {server} ran it at {reached_ms} ms"
            ));
        }
    }
    if !runs.iter().any(|run| run.service == "desk-two") {
        return Err(std::io::Error::other("the route never moved"));
    }
    deployment.conclude(&answers, bound_ms, &broken)
}

/// The open channels to the store go silent for good while new ones work, and then a server leaves
/// that never reports `draining`.
fn leaving_after_silence(daemon: &str, path: &str, with_trouble: bool) -> std::io::Result<bool> {
    let mut deployment = Deployment::start(daemon, path, "non_idempotent", 300)?;
    let (record, store) = (Arc::clone(&deployment.record), Arc::clone(&deployment.store));
    // The entry asks for changes about once a second; the channels go silent between two calls.
    store.await_server_answer();
    let start_ms = record.now_ms();
    let touch_ms = if with_trouble { deployment.silence() } else { 0 };
    sleep_until(&record, start_ms + 1_000);
    let leaving = Arc::clone(&deployment.servers[1]);
    leaving.leave(&store);
    let ack_ms = record.line(&format!("the store acknowledges that {} is gone", leaving.id));
    // It goes on for the time of draining and a little longer, and then exits.
    sleep_until(&record, ack_ms + DRAIN_MS + 1_500);
    leaving.end();
    record.line(&format!("{} has ended", leaving.id));
    sleep_until(&record, ack_ms + 6_000);

    let (runs, answers) = deployment.finish(&["topic=servers"]);
    let bound_ms = (ack_ms + DRAIN_MS).max(touch_ms);
    let mut broken = Vec::new();
    for Run { id, server, reached_ms, .. } in &runs {
        let sent_ms = answers.iter().find(|answer| answer.id == *id).map(|answer| answer.sent_ms);
        if *server == leaving.id && *reached_ms > bound_ms && sent_ms > Some(touch_ms) {
            let late_ms = reached_ms - ack_ms;
            broken.push(format!(
                "DRAIN: {id} reached {server} {late_ms} ms after the store had said that it is gone"
            ));
        }
    }
    for Answer { id, sent_ms, status } in answers.iter().filter(|answer| answer.status != 200) {
        record.line(&format!("NOT SERVED: {id}, sent at {sent_ms} ms, was answered {status}"));
    }
    deployment.conclude(&answers, bound_ms, &broken)
}

/// Returns a configuration with an engine of twenty places for adapters.
fn engine_config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-draft\",\"host\":\"{HOST}\",\"prefix\":\"/draft/\",\
         \"routeKind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":1000,\"priority\":1,\
         \"service\":\"writer\",\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"writer\",\"healthPath\":\"/healthz\",\"maxConnections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":130000,\
         \"models\":[{{\"name\":\"{MODEL}\",\"weightsMb\":72700.0,\"loadTimeS\":6.0,\"adapters\":3000,\
         \"adapterSizeMb\":66.0,\"warmS\":1.2,\"diskS\":2.4}}],\"weightsMb\":75500.0,\
         \"adapterSlots\":{ADAPTER_SLOTS},\"loadsPerS\":2.1}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Which adapters consumers ask for, by their numbers.
type Wanted = Arc<Mutex<Vec<usize>>>;

fn want(wanted: &Wanted, adapters: impl IntoIterator<Item = usize>) {
    *wanted.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) =
        adapters.into_iter().collect();
}

fn wait_until(limit_ms: u64, mut is_met: impl FnMut() -> bool) -> bool {
    for _ in 0..limit_ms / 5 {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}

/// An order to load an adapter gets no answer and is carried out late. Meanwhile the replica crashes
/// and starts again under the same id, and the agent is killed and started again.
fn late_load(daemon: &str, path: &str, with_trouble: bool) -> std::io::Result<bool> {
    let failed = |text: &str| std::io::Error::other(text.to_owned());
    let record = Arc::new(Record::create(path)?);
    let (store, store_address) = Store::start("127.0.0.1")?;
    store.write("op", "config", Some(&engine_config()));
    let entry = Entry::start(daemon, store_address)?;
    let ip = Agent::free_address(entry.peer_port)?;
    let engine = Engine::start(&ip, &store, &record)?;
    let mut agent = Agent::start(daemon, &ip, entry.peer_port, engine.address, store_address)?;
    if !wait_until(10_000, || consumer::is_ready(entry.ready)) {
        return Err(failed("the entry is not ready after 10 s"));
    }
    record.line("the entry is ready");

    // Two consumers an adapter, so that each is in use all the time.
    let (wanted, is_over): (Wanted, Arc<AtomicBool>) = (Arc::default(), Arc::default());
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let consumers: Vec<_> = (0..2 * (ADAPTER_SLOTS + 1))
        .map(|number| {
            let (record, front) = (Arc::clone(&record), entry.front);
            let (wanted, is_over) = (Arc::clone(&wanted), Arc::clone(&is_over));
            let answers = Arc::clone(&answers);
            std::thread::spawn(move || {
                let adapter = number / 2 + 1;
                std::thread::sleep(Duration::from_millis(200 * (number as u64 % 2)));
                for count in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let is_wanted = wanted
                        .lock()
                        .unwrap_or_else(|poisoned| poisoned.into_inner())
                        .contains(&adapter);
                    if is_wanted {
                        let id = format!("s{number}-{count}");
                        let answer = consumer::ask_stream(
                            &record,
                            front,
                            HOST,
                            &format!("{MODEL}/a{adapter}"),
                            &id,
                        );
                        answers.lock().unwrap_or_else(|it| it.into_inner()).push(answer);
                    } else {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
            })
        })
        .collect();

    want(&wanted, 1..=ADAPTER_SLOTS);
    if !wait_until(30_000, || engine.adapters() >= ADAPTER_SLOTS - 1) {
        return Err(failed("the adapters were not loaded"));
    }
    std::thread::sleep(Duration::from_millis(1_500));
    // The last adapter falls silent and another one is asked for.
    if with_trouble {
        engine.leave_unanswered("a21");
    }
    want(&wanted, (1..ADAPTER_SLOTS).chain([ADAPTER_SLOTS + 1]));
    if with_trouble {
        if !wait_until(20_000, || engine.has_late_load()) {
            return Err(failed("the other adapter was never ordered"));
        }
        std::thread::sleep(Duration::from_millis(50));
        engine.crash();
        want(&wanted, 1..=ADAPTER_SLOTS);
        record.line("the agent is killed");
        agent.kill_and_restart()?;
        record.line("the agent starts again");
        std::thread::sleep(Duration::from_millis(500));
        engine.restart(&store);
    }
    std::thread::sleep(Duration::from_millis(13_000));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let broken = engine.broken();
    let answers = answers.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    for text in &broken {
        record.line(&format!("BROKEN {text}"));
    }
    record.line(&format!(
        "{} requests, {served} answered 200; broken {} times",
        answers.len(),
        broken.len()
    ));
    if served == 0 {
        return Err(failed("the requests were not served"));
    }
    Ok(broken.is_empty())
}
