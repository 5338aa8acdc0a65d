//! A stand-in for the platform's store: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::serve;
use crate::http::Connection;
use crate::http::Request;
use crate::json::Json;

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

#[derive(Default)]
struct Rows {
    /// By table and key: the version, and the value in base64 unless the row was removed.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
}

impl Store {
    pub fn new() -> Self {
        let rows = Mutex::new(Rows { rows: BTreeMap::new(), version: 1 });
        Self { shared: Arc::new(Shared { rows, changed: Condvar::new(), start: Instant::now() }) }
    }

    /// Serves the store at an address.
    pub fn open(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = self.clone();
        serve(listener, move |mut connection: Connection| {
            while let Ok(Some(request)) = connection.read_request() {
                let (status, body) = store.answer(&request);
                let headers = [("Content-Type", "application/json")];
                if connection.respond(status, &headers, &body).is_err() {
                    return;
                }
            }
        });
    }

    /// Writes a row, as an operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = Some(base64(value.as_bytes()));
        let mut rows = self.shared.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), key.to_owned()), (version, value));
        self.shared.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.shared.start.elapsed().as_millis()
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        match request.path() {
            "/api/rows-get" => {
                let table = request.query("table").unwrap_or_default();
                let rows = self.shared.rows.lock().unwrap();
                ("200 OK", self.page(&rows, &table, None, true))
            }
            "/api/rows-feed" => {
                let table = request.query("table").unwrap_or_default();
                let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let has_change = |rows: &Rows| {
                    let mut all = rows.rows.iter();
                    all.any(|((known, _), (version, _))| *known == table && *version > after)
                };
                let rows = self.shared.rows.lock().unwrap();
                let waited = self.shared.changed.wait_timeout_while(rows, wait, |rows| !has_change(rows));
                let rows = waited.unwrap().0;
                ("200 OK", self.page(&rows, &table, Some(after), false))
            }
            "/api/rows-tx" => self.apply(&String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn page(&self, rows: &Rows, table: &str, after: Option<u64>, has_more: bool) -> String {
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((known, _), (version, value))| {
                known == table && after.map_or(value.is_some(), |after| *version > after)
            })
            .collect();
        if after.is_some() {
            found.sort_by_key(|(_, (version, _))| *version);
        }
        let rows_text: Vec<String> = found
            .into_iter()
            .map(|((table, key), (version, value))| match value {
                Some(value) => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
                ),
                None => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","removed":true,"ver":{version}}}"#
                ),
            })
            .collect();
        let more = if has_more { r#""hasMore":false,"# } else { "" };
        let (version, now_ms) = (rows.version, self.now_ms());
        format!(r#"{{"rows":[{}],{more}"ver":{version},"nowMs":{now_ms}}}"#, rows_text.join(","))
    }

    fn apply(&self, body: &str) -> (&'static str, String) {
        let Some(transaction) = Json::parse(body) else { return ("400 Bad Request", "{}".into()) };
        let place = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let mut rows = self.shared.rows.lock().unwrap();
        let (mut current, mut is_met) = (Vec::new(), true);
        for row in transaction.get("expected").list() {
            let (table, key) = place(row);
            let known = rows.rows.get(&(table.clone(), key.clone()));
            let known = known.and_then(|(version, value)| Some((*version, value.clone()?)));
            if known.as_ref().map_or(0, |(version, _)| *version) != row.get("ver").number().unwrap_or(0) {
                is_met = false;
            }
            if let Some((version, value)) = known {
                current.push(format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
                ));
            }
        }
        if !is_met {
            let (version, now_ms) = (rows.version, self.now_ms());
            let rows = current.join(",");
            let body = format!(r#"{{"rows":[{rows}],"ver":{version},"nowMs":{now_ms}}}"#);
            return ("412 Precondition Failed", body);
        }
        rows.version += 1;
        let version = rows.version;
        for row in transaction.get("puts").list() {
            rows.rows.insert(place(row), (version, Some(row.get("value").text().to_owned())));
        }
        for row in transaction.get("remove").list() {
            rows.rows.insert(place(row), (version, None));
        }
        self.shared.changed.notify_all();
        ("200 OK", format!(r#"{{"ver":{version},"nowMs":{}}}"#, self.now_ms()))
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let number = (u32::from(piece[0]) << 16)
            | (u32::from(*piece.get(1).unwrap_or(&0)) << 8)
            | u32::from(*piece.get(2).unwrap_or(&0));
        for index in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= piece.len() { char::from(sign) } else { '=' });
        }
    }
    out
}
