//! A sound backend server of a service without an engine.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub service: String,
    pub reached_ms: u64,
}

/// A sound backend server, which writes its entry every 1.2 s.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    work_ms: u64,
    is_listed: AtomicBool,
    has_ended: AtomicBool,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server at a free port of an address.
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        work_ms: u64,
        store: &Arc<Store>,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            work_ms,
            is_listed: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&serving);
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server.write_entry(store, 1);
        let (beating, store) = (Arc::clone(&server), Arc::clone(store));
        std::thread::spawn(move || {
            for sequence in 2.. {
                std::thread::sleep(Duration::from_millis(1_200));
                if !beating.is_listed.load(Ordering::SeqCst) {
                    return;
                }
                beating.write_entry(&store, sequence);
            }
        });
        Ok(server)
    }

    /// Has the store remove the entry. The server goes on.
    pub fn leave(&self, store: &Store) {
        self.is_listed.store(false, Ordering::SeqCst);
        // A write that is under way comes before the removal.
        std::thread::sleep(Duration::from_millis(20));
        store.write("servers", &self.id, None);
    }

    /// Ends the server: it takes no request any more.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // This wakes the thread that accepts, which ends and closes the port.
        let _ = TcpStream::connect(self.address);
    }

    fn write_entry(&self, store: &Store, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}",
            self.service, self.address
        );
        store.write("servers", &self.id, Some(&entry));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reading), stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let Some(id) = request.header("attempt-id").map(str::to_owned) else {
                let _ = http::write(
                    &mut stream,
                    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n",
                    b"",
                );
                continue;
            };
            if request.header("expect-replica").is_some_and(|expected| expected != self.id) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: {}\r\nAttempt-Id: {id}\r\n",
                    self.id
                );
                let _ = http::write(&mut stream, &head, b"");
                continue;
            }
            let reached_ms = self.record.line(&format!("{} runs {id} ({})", self.id, self.service));
            let run = Run {
                id: id.clone(),
                server: self.id.clone(),
                service: self.service.clone(),
                reached_ms,
            };
            self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(run);
            std::thread::sleep(Duration::from_millis(self.work_ms));
            if self.has_ended.load(Ordering::SeqCst) {
                self.record.line(&format!("{} ended under {id}", self.id));
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: {}.{id}\r\nKeep-Alive: timeout=5\r\n",
                self.id
            );
            let body = format!("{id} by {} of {}", self.id, self.service);
            if http::write(&mut stream, &head, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}
