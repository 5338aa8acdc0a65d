//! A stand-in for a model replica: orders, reports, and streams of requests.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// The model of the engine.
pub const MODEL: &str = "m1";
/// The adapters that the engine has places for.
pub const ADAPTER_SLOTS: usize = 20;
/// How long a load of the model takes from the engine's own disk.
const MODEL_LOAD: Duration = Duration::from_millis(2_400);
/// How long a load of an adapter takes, and of one that the engine had before.
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
const ADAPTER_LOAD_AGAIN: Duration = Duration::from_millis(25);
/// When an order without an answer is carried out at the earliest and the latest.
const LATE: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(12)];

/// A load without an answer, which is still to be carried out.
#[derive(Clone, Debug)]
struct LateLoad {
    adapter: String,
    expected: u64,
    arrived: Instant,
}

#[derive(Default)]
struct State {
    born: u64,
    sequence: u64,
    has_model: bool,
    model_until: Option<Instant>,
    loaded: Vec<String>,
    coming: Vec<(String, Instant)>,
    known: Vec<String>,
    running: usize,
    /// The adapter whose next load gets no answer.
    unanswered: Option<String>,
    late: Option<LateLoad>,
    broken: Vec<String>,
}

/// A stand-in for a model replica.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    state: Mutex<State>,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Engine {
    /// Starts an engine that holds its model and no adapter.
    pub fn start(ip: &str, store: &Arc<Store>, record: &Arc<Record>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State { born: unix_ms(), has_model: true, ..State::default() };
        let engine = Arc::new(Self {
            id: "i-engine-1".to_owned(),
            address: listener.local_addr()?,
            state: Mutex::new(state),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&engine);
        std::thread::spawn(move || serving.accept(Some(listener)));
        let (beating, store) = (Arc::clone(&engine), Arc::clone(store));
        beating.write_entry(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1_200));
                if !beating.is_down.load(Ordering::SeqCst) {
                    beating.write_entry(&store);
                }
            }
        });
        let ticking = Arc::clone(&engine);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        Ok(engine)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn accept(self: &Arc<Self>, mut listener: Option<TcpListener>) {
        loop {
            std::thread::sleep(Duration::from_millis(2));
            if self.is_down.load(Ordering::SeqCst) {
                listener = None;
                continue;
            }
            let Some(listening) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                continue;
            };
            let _ = listening.set_nonblocking(true);
            while let Ok((stream, _)) = listening.accept() {
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                if let Ok(kept) = stream.try_clone() {
                    self.connections.lock().unwrap_or_else(|it| it.into_inner()).push(kept);
                }
                let engine = Arc::clone(self);
                std::thread::spawn(move || engine.serve(stream));
            }
        }
    }

    /// The next load of this adapter gets no answer and is carried out late.
    pub fn leave_unanswered(&self, adapter: &str) {
        self.lock().unanswered = Some(adapter.to_owned());
    }

    /// Returns whether an order waits to be carried out late.
    pub fn has_late_load(&self) -> bool {
        self.lock().late.is_some()
    }

    /// Returns the number of adapters that are loaded or on their way.
    pub fn adapters(&self) -> usize {
        let state = self.lock();
        state.loaded.len() + state.coming.len()
    }

    /// Returns the orders that asked for more than the places hold.
    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    /// Ends the engine. Started again it has the same id, holds nothing, and its counts start anew.
    pub fn crash(&self) {
        self.record.line("the engine crashes");
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap_or_else(|it| it.into_inner()).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let mut state = self.lock();
        let (known, late) = (std::mem::take(&mut state.known), state.late.take());
        *state = State { known, late, ..State::default() };
    }

    /// Starts the engine again.
    pub fn restart(&self, store: &Store) {
        self.lock().born = unix_ms();
        self.is_down.store(false, Ordering::SeqCst);
        self.write_entry(store);
        self.record.line("the engine starts again under the same id, with nothing loaded");
    }

    fn models(state: &State) -> String {
        if !state.has_model {
            return "[]".to_owned();
        }
        let adapters: Vec<String> = state.loaded.iter().map(|it| format!("\"{it}@1\"")).collect();
        format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]", adapters.join(","))
    }

    fn write_entry(&self, store: &Store) {
        let entry = {
            let state = self.lock();
            format!(
                "{{\"service\":\"writer\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\
                 \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"mixed\",\
                 \"models\":{},\"sequence\":{},\"born\":{}}}",
                self.address,
                Self::models(&state),
                state.sequence,
                state.born
            )
        };
        store.write("servers", &self.id, Some(&entry));
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if self.is_down.load(Ordering::SeqCst) {
            return;
        }
        if state.model_until.is_some_and(|until| until <= now) {
            state.model_until = None;
            state.has_model = true;
        }
        let (done, coming): (Vec<_>, Vec<_>) =
            std::mem::take(&mut state.coming).into_iter().partition(|(_, until)| *until <= now);
        state.coming = coming;
        for (adapter, _) in done {
            state.loaded.push(adapter);
        }
        // An order without an answer is carried out 2 to 12 s later, after newer orders; `expected` is
        // checked then. The moment is chosen within that time.
        let Some(late) = state.late.clone() else { return };
        let age = late.arrived.elapsed();
        if age > LATE[1] {
            state.late = None;
            self.record.line("the late order was never carried out: another count");
        } else if age >= LATE[0]
            && state.sequence == late.expected
            && state.loaded.len() + state.coming.len() >= ADAPTER_SLOTS
        {
            state.late = None;
            self.record.line(&format!(
                "the late order is carried out after {} ms: load {}, expected {}",
                age.as_millis(),
                late.adapter,
                late.expected
            ));
            self.load(&mut state, &late.adapter);
        }
    }

    fn load(&self, state: &mut State, adapter: &str) {
        let held = state.loaded.len() + state.coming.len();
        state.sequence += 1;
        if held >= ADAPTER_SLOTS {
            let text = format!(
                "LIMIT: a load of {adapter} was ordered while {held} of {ADAPTER_SLOTS} places were taken"
            );
            self.record.line(&text);
            state.broken.push(text);
        }
        let takes = if state.known.iter().any(|it| it == adapter) {
            ADAPTER_LOAD_AGAIN
        } else {
            ADAPTER_LOAD
        };
        if !state.known.iter().any(|it| it == adapter) {
            state.known.push(adapter.to_owned());
        }
        state.coming.push((adapter.to_owned(), Instant::now() + takes));
    }

    fn report(&self) -> String {
        let state = self.lock();
        let coming: Vec<String> =
            state.coming.iter().map(|(it, _)| format!("\"{MODEL}/{it}@1\"")).collect();
        format!(
            "{{\"stage\":\"mixed\",\"models\":{},\"busy\":{},\"sequence\":{},\"waiting\":0,\
             \"running\":{},\"kvUsed\":{},\"kvTotal\":130000,\"handles\":0,\"coming\":[{}],\"born\":{}}}",
            Self::models(&state),
            state.model_until.is_some(),
            state.sequence,
            state.running,
            state.running * 120,
            coming.join(","),
            state.born
        )
    }

    /// Returns the status of an order, or `None` if it gets no answer.
    fn order(&self, request: &http::Message) -> Option<&'static str> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
            Some(rest.split([',', '}']).next()?.trim_matches('"').to_owned())
        };
        let expected = field("expected").and_then(|text| text.parse::<u64>().ok());
        let (operation, adapter) = (field("op").unwrap_or_default(), field("adapter"));
        let mut state = self.lock();
        let mut status = "202 Accepted";
        if request.header("expect-replica").is_some_and(|id| id != self.id) {
            status = "421 Misdirected Request";
        } else if state.model_until.is_some() || expected.is_some_and(|it| it != state.sequence) {
            status = "409 Conflict";
        } else if operation == "model_load" && adapter.is_some() && adapter == state.unanswered {
            let adapter = adapter.clone().unwrap_or_default();
            state.unanswered = None;
            state.late = Some(LateLoad {
                adapter: adapter.clone(),
                expected: expected.unwrap_or(state.sequence),
                arrived: Instant::now(),
            });
            drop(state);
            self.record.line(&format!("no answer to the order to load {adapter}: {body}"));
            return None;
        } else {
            match (operation.as_str(), &adapter) {
                ("model_load", None) => {
                    state.sequence += 1;
                    state.model_until = Some(Instant::now() + MODEL_LOAD);
                }
                ("model_load", Some(adapter)) if state.loaded.contains(adapter) => {
                    status = "200 OK"
                }
                ("model_load", Some(adapter)) => self.load(&mut state, adapter),
                ("model_unload", Some(adapter)) => {
                    state.sequence += 1;
                    state.loaded.retain(|it| it != adapter);
                    status = "200 OK";
                }
                _ => status = "400 Bad Request",
            }
        }
        let sequence = state.sequence;
        drop(state);
        let adapter = adapter.unwrap_or_default();
        self.record.line(&format!(
            "order {operation} {adapter} expected {expected:?}: {status}, now {sequence}"
        ));
        Some(status)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reading), stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let sent = match request.target().0 {
                "/api/report" => {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                    http::write(&mut stream, head, self.report().as_bytes())
                }
                "/api/order" => match self.order(&request) {
                    Some(status) => {
                        http::write(&mut stream, &format!("HTTP/1.1 {status}\r\n"), b"")
                    }
                    None => continue,
                },
                _ => self.stream_answer(&request, &mut stream),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn stream_answer(
        &self,
        request: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let id = request.header("attempt-id").unwrap_or_default();
        let adapter = request.header("model").and_then(|it| it.split_once('/')).map(|it| it.1);
        let is_held = {
            let mut state = self.lock();
            let is_held = state.has_model
                && adapter.is_some_and(|adapter| state.loaded.iter().any(|it| it == adapter));
            state.running += usize::from(is_held);
            is_held
        };
        if !is_held {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: {}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n",
                self.id
            );
            return http::write(stream, &head, b"");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nResponse-Seal: {}.{id}\r\n\
             Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut sent = stream.write_all(head.as_bytes());
        for number in 1..=8 {
            std::thread::sleep(Duration::from_millis(50));
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            sent = sent.and_then(|()| {
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            });
        }
        sent = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
        let mut state = self.lock();
        state.running = state.running.saturating_sub(1);
        sent
    }
}
