//! A model replica: reports, orders with an expected sequence, loads of adapters, and streams.

use std::collections::BTreeMap;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Request;
use crate::json::Json;
use crate::plain::unix_ms;
use crate::record::Record;

/// The figures of the site pbwl-router-grown.
pub const ADAPTER_SLOTS: usize = 16;
pub const MODEL: &str = "daka510000";
const MODEL_LOAD: Duration = Duration::from_millis(1_100);
const ADAPTER_LOAD: Duration = Duration::from_millis(288);
const LOADS_AT_ONCE: usize = 4;
/// An event of three tokens; the site's engines have noise that makes a step 2.5 times as long.
const EVENT_PAUSE: Duration = Duration::from_millis(60);

#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    id: String,
    record: Record,
    state: Mutex<State>,
    streams: Mutex<Vec<TcpStream>>,
}

#[derive(Default)]
struct State {
    is_up: bool,
    /// Increases with each start.
    start: u64,
    born: u128,
    sequence: u64,
    has_model: bool,
    model_until: Option<Instant>,
    /// The adapters with the time at which they are loaded, and the number of their runs.
    adapters: BTreeMap<String, Adapter>,
    /// The sequence that the load expects which gets no answer, and how much later it is carried out.
    delayed: Option<(u64, Duration)>,
    delayed_orders: u64,
    /// The orders that went beyond the slots.
    excess: Vec<String>,
}

struct Adapter {
    loaded_at: Instant,
    runs: usize,
    is_leaving: bool,
}

impl Engine {
    pub fn new(address: SocketAddr, id: &str, record: &Record) -> Self {
        let shared = Shared {
            address,
            id: id.to_owned(),
            record: record.clone(),
            state: Mutex::default(),
            streams: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Starts, with or without the model. A start knows nothing of the one before.
    pub fn start(&self, has_model: bool) {
        let start = {
            let mut state = self.shared.state.lock().unwrap();
            let (excess, delayed_orders) = (std::mem::take(&mut state.excess), state.delayed_orders);
            let start = state.start + 1;
            let born = unix_ms();
            *state = State { is_up: true, start, born, has_model, excess, delayed_orders, ..State::default() };
            start
        };
        let listener = TcpListener::bind(self.shared.address).expect("the engine's address is free");
        listener.set_nonblocking(true).expect("a socket that does not block");
        self.shared.record.line(&format!("replica {} starts, start {start}", self.shared.id));
        let engine = self.clone();
        thread::spawn(move || {
            while engine.is_current(start) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(stream) = stream.try_clone() {
                    engine.shared.streams.lock().unwrap().push(stream);
                }
                let engine = engine.clone();
                thread::spawn(move || engine.serve(Connection::new(stream), start));
            }
        });
    }

    /// Ends at once.
    pub fn crash(&self, reason: &str) {
        self.shared.state.lock().unwrap().is_up = false;
        for stream in self.shared.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.record.line(&format!("replica {} crashes: {reason}", self.shared.id));
    }

    pub fn row(&self, service: &str) -> String {
        let state = self.shared.state.lock().unwrap();
        let (address, born, sequence) = (self.shared.address, state.born, state.sequence);
        let models = state.models();
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"odessa","version":"v1","slots":96,"state":"ready","coldRemainingMs":0,"stage":"mixed","models":{models},"sequence":{sequence},"born":{born}}}"#
        )
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn is_up(&self) -> bool {
        self.shared.state.lock().unwrap().is_up
    }

    pub fn sequence(&self) -> u64 {
        self.shared.state.lock().unwrap().sequence
    }

    pub fn held(&self) -> usize {
        self.shared.state.lock().unwrap().adapters.len()
    }

    pub fn delayed_orders(&self) -> u64 {
        self.shared.state.lock().unwrap().delayed_orders
    }

    pub fn excess(&self) -> Vec<String> {
        self.shared.state.lock().unwrap().excess.clone()
    }

    /// Leaves the first load that expects a sequence unanswered, and carries it out after a delay.
    pub fn delay_load(&self, expected: u64, delay: Duration) {
        self.shared.state.lock().unwrap().delayed = Some((expected, delay));
    }

    fn is_current(&self, start: u64) -> bool {
        let state = self.shared.state.lock().unwrap();
        state.is_up && state.start == start
    }

    fn serve(&self, mut connection: Connection, start: u64) {
        while let Ok(Some(request)) = connection.read_request() {
            if !self.is_current(start) {
                return;
            }
            let expected = request.head.header("expect-replica");
            let is_other = expected.is_some_and(|expected| expected != self.shared.id);
            let headers = [("Replica-Id", self.shared.id.as_str())];
            let sent = if is_other {
                connection.respond("421 Misdirected Request", &headers, "")
            } else {
                match request.path() {
                    "/api/report" => {
                        let body = self.report();
                        connection.respond("200 OK", &[("Content-Type", "application/json")], &body)
                    }
                    "/healthz" => connection.respond("200 OK", &headers, ""),
                    "/api/order" => match self.order(&request) {
                        Some(status) => connection.respond(status, &[], ""),
                        None => Ok(()),
                    },
                    _ => self.run(&mut connection, &request, start),
                }
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let mut state = self.shared.state.lock().unwrap();
        state.settle();
        let coming = state.adapters.iter().filter(|(_, adapter)| !adapter.is_loaded());
        let coming: Vec<String> = coming.map(|(name, _)| format!(r#""{MODEL}/{name}@1""#)).collect();
        let runs: usize = state.adapters.values().map(|adapter| adapter.runs).sum();
        format!(
            r#"{{"stage":"mixed","models":{},"busy":{},"sequence":{},"waiting":0,"running":{runs},"kvUsed":{},"kvTotal":133445,"handles":0,"coming":[{}],"born":{}}}"#,
            state.models(),
            state.model_until.is_some(),
            state.sequence,
            runs * 1_000,
            coming.join(","),
            state.born
        )
    }

    /// Carries out an order, or leaves it unanswered and carries it out later.
    fn order(&self, request: &Request) -> Option<&'static str> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&text)?;
        let delay = {
            let mut state = self.shared.state.lock().unwrap();
            let is_load = order.get("op").text() == "model_load";
            let expected = order.get("expected").number();
            let taken = state.delayed.take_if(|(known, _)| is_load && Some(*known) == expected);
            taken.map(|(_, delay)| delay)
        };
        let Some(delay) = delay else {
            let status = self.carry_out(&order);
            self.shared.record.line(&format!("{} order {text} answered {status}", self.shared.id));
            return Some(status);
        };
        self.shared.state.lock().unwrap().delayed_orders += 1;
        self.shared.record.line(&format!("{} order {text} gets no answer, and comes {delay:?} later", self.shared.id));
        let (engine, expected) = (self.clone(), request.head.header("expect-replica").map(str::to_owned));
        thread::spawn(move || {
            thread::sleep(delay);
            let is_other = expected.is_some_and(|expected| expected != engine.shared.id);
            let status = if is_other { "421" } else { engine.carry_out(&order) };
            engine.shared.record.line(&format!("{} late order {text} comes to: {status}", engine.shared.id));
        });
        None
    }

    fn carry_out(&self, order: &Json) -> &'static str {
        let mut state = self.shared.state.lock().unwrap();
        if !state.is_up {
            return "no replica";
        }
        state.settle();
        if state.model_until.is_some() {
            return "409 Conflict";
        }
        if order.get("expected").number().is_some_and(|expected| expected != state.sequence) {
            return "409 Conflict";
        }
        let adapter = order.get("adapter").text().to_owned();
        let is_load = order.get("op").text() == "model_load";
        if adapter.is_empty() {
            if is_load == state.has_model {
                return "200 OK";
            }
            state.sequence += 1;
            state.has_model = false;
            state.model_until = is_load.then(|| Instant::now() + MODEL_LOAD);
            return "202 Accepted";
        }
        if is_load {
            if state.adapters.contains_key(&adapter) {
                return "200 OK";
            }
            state.sequence += 1;
            let (loading, now) = (state.adapters.values().filter(|known| !known.is_loaded()).count(), Instant::now());
            let rounds = (loading / LOADS_AT_ONCE + 1) as u32;
            let loaded_at = now + ADAPTER_LOAD * rounds;
            state.adapters.insert(adapter.clone(), Adapter { loaded_at, runs: 0, is_leaving: false });
            if state.adapters.len() > ADAPTER_SLOTS {
                let held = state.adapters.len();
                state.excess.push(format!("{held} adapters for {ADAPTER_SLOTS} places, with {adapter}"));
                drop(state);
                self.crash("it was ordered to load more than adapterSlots hold");
                return "202 Accepted";
            }
            return "202 Accepted";
        }
        let Some(known) = state.adapters.get_mut(&adapter) else { return "200 OK" };
        known.is_leaving = true;
        let is_idle = known.runs == 0;
        state.sequence += 1;
        if is_idle {
            state.adapters.remove(&adapter);
            return "200 OK";
        }
        "202 Accepted"
    }

    /// Runs a streaming request.
    fn run(&self, connection: &mut Connection, request: &Request, start: u64) -> std::io::Result<()> {
        let header = |name| request.head.header(name).unwrap_or_default().to_owned();
        let (attempt, model, counts) = (header("attempt-id"), header("model"), header("token-count"));
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned()).unwrap_or_default();
        {
            let mut state = self.shared.state.lock().unwrap();
            state.settle();
            let known = state.adapters.get_mut(&adapter);
            match known.filter(|known| known.is_loaded() && !known.is_leaving) {
                Some(known) => known.runs += 1,
                None => return connection.respond("421 Misdirected Request", &[("Attempt-Id", &attempt)], ""),
            }
        }
        self.shared.record.line(&format!("{} runs attempt={attempt} model={model}", self.shared.id));
        let tokens = counts.split_once(',').and_then(|(_, most)| most.trim().parse::<u64>().ok());
        let events = (tokens.unwrap_or(171) / 3).max(1);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
             Response-Seal: trace-llm.{attempt}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut sent = connection.write(head.as_bytes());
        for event in 1..=events {
            thread::sleep(EVENT_PAUSE);
            if sent.is_err() || !self.is_current(start) {
                break;
            }
            let text = format!("id: {event}\ndata: piece {event} of {attempt}\n\n");
            sent = connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        }
        if sent.is_ok() && self.is_current(start) {
            sent = connection.write(b"0\r\n\r\n");
        }
        let mut state = self.shared.state.lock().unwrap();
        if state.start == start {
            if let Some(known) = state.adapters.get_mut(&adapter) {
                known.runs -= 1;
            }
            state.settle();
        }
        sent
    }
}

impl Adapter {
    fn is_loaded(&self) -> bool {
        self.loaded_at <= Instant::now()
    }
}

impl State {
    /// Ends what is due: the load of the model, and unloads that have waited for runs.
    fn settle(&mut self) {
        if self.model_until.is_some_and(|until| until <= Instant::now()) {
            self.model_until = None;
            self.has_model = true;
        }
        self.adapters.retain(|_, adapter| !(adapter.is_leaving && adapter.runs == 0));
    }

    fn models(&self) -> String {
        if !self.has_model {
            return "[]".to_owned();
        }
        let loaded = self.adapters.iter().filter(|(_, adapter)| adapter.is_loaded());
        let loaded: Vec<String> = loaded.map(|(name, _)| format!(r#""{name}@1""#)).collect();
        format!(r#"[{{"name":"{MODEL}","version":1,"adapters":[{}]}}]"#, loaded.join(","))
    }
}
