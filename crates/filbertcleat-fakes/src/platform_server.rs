//! The table service, the object store and the VM list over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use filbertcleat_platform::TableRow;
use filbertcleat_platform::Vm;
use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::Faults;
use crate::serve_http;

/// The platform's services on one address.
#[derive(Debug)]
pub struct FakePlatform {
    address: SocketAddr,
    faults: Faults,
    store: Store,
    task: JoinHandle<()>,
}

impl FakePlatform {
    /// Starts the services on an address; port 0 asks for any free one.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let store = Store::default();
        let router = Router::new()
            .hoop(salvo::affix_state::inject(store.clone()))
            .push(Router::with_path("rows").get(list_rows))
            .push(Router::with_path("rows/{**key}").get(read_row).put(write_row).delete(remove_row))
            .push(Router::with_path("objects/{**key}").get(read_object).put(write_object))
            .push(Router::with_path("vms").get(list_vms));
        let faults = store.faults.clone();
        Ok(Self { address, faults, store, task: serve_http(listener, router) })
    }

    /// Returns the address of all services, as `http://address:port`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the switches of the table service and the object store.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.store.lock().vms = vms;
    }

    /// Returns the rows whose keys begin with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        let state = self.store.lock();
        let rows = state.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(key, cell)| cell.row(key)).collect()
    }

    /// Returns the numbers of reads and writes of the table service so far.
    pub fn table_calls(&self) -> (u64, u64) {
        let state = self.store.lock();
        (state.reads, state.writes)
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The state of the services.
#[derive(Clone, Debug, Default)]
struct Store {
    faults: Faults,
    state: Arc<Mutex<State>>,
}

/// The rows, objects and VMs.
#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Cell>,
    objects: BTreeMap<String, Vec<u8>>,
    vms: Vec<Vm>,
    last_revision: u64,
    reads: u64,
    writes: u64,
}

/// A row's value.
#[derive(Clone, Debug)]
struct Cell {
    revision: u64,
    value: Vec<u8>,
}

impl Cell {
    fn row(&self, key: &str) -> TableRow {
        let value = String::from_utf8_lossy(&self.value).into_owned();
        TableRow { key: key.to_owned(), revision: self.revision, value }
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as the switches say; `false` means that the service is down.
    async fn is_up(&self, response: &mut Response) -> bool {
        tokio::time::sleep(self.faults.latency()).await;
        if self.faults.is_unavailable() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return false;
        }
        true
    }

    /// Answers a write, unless its answer is to be lost.
    fn answer_write(&self, response: &mut Response, revision: u64) {
        if self.faults.take_lost_response() {
            response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        } else {
            set_revision(response, revision);
            response.status_code(StatusCode::OK);
        }
    }
}

#[handler]
async fn read_row(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let store = store(depot);
    if !store.is_up(response).await {
        return;
    }
    let mut state = store.lock();
    state.reads += 1;
    match state.rows.get(&key(request)) {
        Some(cell) => {
            set_revision(response, cell.revision);
            let _ = response.write_body(cell.value.clone());
        }
        None => {
            response.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn write_row(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let store = store(depot);
    if !store.is_up(response).await {
        return;
    }
    let value = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
    let (key, condition) = (key(request), Condition::of(request));
    let mut state = store.lock();
    state.writes += 1;
    let present = state.rows.get(&key).map(|cell| cell.revision);
    if !condition.allows(present) {
        response.status_code(StatusCode::PRECONDITION_FAILED);
        return;
    }
    state.last_revision += 1;
    let revision = state.last_revision;
    state.rows.insert(key, Cell { revision, value });
    store.answer_write(response, revision);
}

#[handler]
async fn remove_row(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let store = store(depot);
    if !store.is_up(response).await {
        return;
    }
    let (key, condition) = (key(request), Condition::of(request));
    let mut state = store.lock();
    state.writes += 1;
    match state.rows.get(&key).map(|cell| cell.revision) {
        None => {
            response.status_code(StatusCode::NOT_FOUND);
        }
        present if !condition.allows(present) => {
            response.status_code(StatusCode::PRECONDITION_FAILED);
        }
        Some(revision) => {
            state.rows.remove(&key);
            store.answer_write(response, revision);
        }
    }
}

#[handler]
async fn list_rows(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let store = store(depot);
    if !store.is_up(response).await {
        return;
    }
    let prefix = request.query::<String>("prefix").unwrap_or_default();
    let after = request.query::<String>("after").unwrap_or_default();
    let limit = request.query::<usize>("limit").unwrap_or(100);
    let mut state = store.lock();
    state.reads += 1;
    let rows: Vec<_> = state
        .rows
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .take(limit)
        .map(|(key, cell)| cell.row(key))
        .collect();
    response.render(salvo::writing::Json(rows));
}

#[handler]
async fn read_object(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let store = store(depot);
    if !store.is_up(response).await {
        return;
    }
    match store.lock().objects.get(&key(request)) {
        Some(value) => {
            let _ = response.write_body(value.clone());
        }
        None => {
            response.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn write_object(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let store = store(depot);
    if !store.is_up(response).await {
        return;
    }
    let value = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
    store.lock().objects.insert(key(request), value);
    store.answer_write(response, 0);
}

#[handler]
async fn list_vms(depot: &mut Depot, response: &mut Response) {
    let vms = store(depot).lock().vms.clone();
    response.render(salvo::writing::Json(vms));
}

/// The condition of a write.
struct Condition {
    absent: bool,
    revision: Option<u64>,
}

impl Condition {
    fn of(request: &Request) -> Self {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let revision = header("if-match").and_then(|text| text.trim_matches('"').parse().ok());
        Self { absent: header("if-none-match").as_deref() == Some("*"), revision }
    }

    fn allows(&self, present: Option<u64>) -> bool {
        if self.absent {
            return present.is_none();
        }
        self.revision.is_none() || self.revision == present
    }
}

fn store(depot: &Depot) -> Store {
    depot.get_typed::<Store>().cloned().unwrap_or_default()
}

fn key(request: &Request) -> String {
    request.param::<String>("key").unwrap_or_default()
}

fn set_revision(response: &mut Response, revision: u64) {
    if let Ok(value) = format!("\"{revision}\"").parse() {
        response.headers_mut().insert("etag", value);
    }
}
