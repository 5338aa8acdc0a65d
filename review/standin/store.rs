//! A stand-in for the platform's store: rows, changed rows, and transactions that always conflict
//! or apply as the pages say.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;

#[derive(Default)]
struct Rows {
    version: u64,
    /// The value in Base64, or `None` if the row was removed, and the version of the change.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

/// A stand-in for the platform's store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
    /// The answers so far that named changed entries of servers.
    server_answers: AtomicU64,
}

impl Store {
    /// Starts a store at a free port of an address.
    pub fn start(ip: &str) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let rows = Mutex::new(Rows { version: 1, ..Rows::default() });
        let store = Arc::new(Self {
            rows,
            changed: Condvar::new(),
            start: Instant::now(),
            server_answers: AtomicU64::new(0),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Writes a row, or removes it. When this returns, the store has acknowledged it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.lock();
        Self::apply(&mut rows, table, key, value.map(|value| http::base64(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Waits until a call for changed entries of servers has been answered.
    pub fn await_server_answer(&self) {
        let before = self.server_answers.load(Ordering::SeqCst);
        while self.server_answers.load(Ordering::SeqCst) == before {
            std::thread::sleep(Duration::from_millis(2));
        }
        std::thread::sleep(Duration::from_millis(30));
    }

    fn apply(rows: &mut Rows, table: &str, key: &str, value: Option<String>) {
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), key.to_owned()), (value, version));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reading), stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&request);
            let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\n");
            if http::write(&mut stream, &head, body.as_bytes()).is_err() {
                return;
            }
            if request.first.contains("rows-feed?table=servers") {
                self.server_answers.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    fn respond(&self, request: &http::Message) -> (&'static str, String) {
        let (path, query) = request.target();
        let table = http::parameter(query, "table").unwrap_or_default();
        let number = |name: &str| {
            http::parameter(query, name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        match path {
            "/api/rows-get" => ("200 OK", self.page(&self.lock(), &table, None)),
            "/api/rows-feed" => {
                let (after, until) =
                    (number("after"), Instant::now() + Duration::from_millis(number("waitMs")));
                let mut rows = self.lock();
                loop {
                    let has_changed =
                        rows.rows.iter().any(|((of, _), (_, ver))| *of == table && *ver > after);
                    let left = until.saturating_duration_since(Instant::now());
                    if has_changed || left.is_zero() {
                        return ("200 OK", self.page(&rows, &table, Some(after)));
                    }
                    rows = self
                        .changed
                        .wait_timeout(rows, left)
                        .map_or_else(|poisoned| poisoned.into_inner().0, |(rows, _)| rows);
                }
            }
            // The system writes nothing that these cases need; a 503 says that nothing was done.
            _ => ("503 Service Unavailable", "{}".to_owned()),
        }
    }

    fn page(&self, rows: &Rows, table: &str, after: Option<u64>) -> String {
        let mut chosen: Vec<_> = rows
            .rows
            .iter()
            .filter(|((of, _), _)| of == table)
            .filter(|(_, (value, ver))| match after {
                Some(after) => *ver > after,
                None => value.is_some(),
            })
            .collect();
        if after.is_some() {
            chosen.sort_by_key(|(_, (_, ver))| *ver);
        }
        let rows_text: Vec<String> = chosen
            .into_iter()
            .map(|((_, key), (value, ver))| {
                let rest = match value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"removed\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{rest},\"ver\":{ver}}}"
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{}}}",
            rows_text.join(","),
            rows.version,
            self.start.elapsed().as_millis()
        )
    }
}
