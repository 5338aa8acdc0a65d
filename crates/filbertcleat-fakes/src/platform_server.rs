//! Test doubles of the table service, object store and VM list, served over HTTP.

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

/// An HTTP server with an in-memory table service, object store and VM list on one address.
#[derive(Debug)]
pub struct FakePlatform {
    address: SocketAddr,
    faults: Faults,
    shared: SharedState,
    task: JoinHandle<()>,
}

impl FakePlatform {
    /// Starts the services on `address`; with port 0, the system picks a free port.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = SharedState::default();
        let router = Router::new()
            .hoop(salvo::affix_state::inject(shared.clone()))
            .push(Router::with_path("rows").get(list_rows))
            .push(Router::with_path("rows/{**key}").get(read_row).put(write_row).delete(delete_row))
            .push(Router::with_path("objects/{**key}").get(read_object).put(write_object))
            .push(Router::with_path("vms").get(list_vms));
        let faults = shared.faults.clone();
        Ok(Self { address, faults, shared, task: serve_http(listener, router) })
    }

    /// Returns the base URL of all services, `http://address:port`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the fault injection of the table service and the object store.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.lock().vms = vms;
    }

    /// Returns the table rows whose keys start with `prefix`, in key order.
    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        let state = self.shared.lock();
        let rows = state.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(key, row_value)| row_value.to_row(key)).collect()
    }

    /// Returns how many reads and writes the table service has processed.
    pub fn table_request_counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.reads, state.writes)
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The shared state of the services, with their fault injection.
#[derive(Clone, Debug, Default)]
struct SharedState {
    faults: Faults,
    state: Arc<Mutex<State>>,
}

/// The rows, objects and VMs, with counters.
#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, RowValue>,
    objects: BTreeMap<String, Vec<u8>>,
    vms: Vec<Vm>,
    last_revision: u64,
    reads: u64,
    writes: u64,
}

/// The value of a row, with its revision.
#[derive(Clone, Debug)]
struct RowValue {
    revision: u64,
    value: Vec<u8>,
}

impl RowValue {
    fn to_row(&self, key: &str) -> TableRow {
        let value = String::from_utf8_lossy(&self.value).into_owned();
        TableRow { key: key.to_owned(), revision: self.revision, value }
    }
}

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sleeps for the injected latency and returns whether the service is available.
    ///
    /// If the service is unavailable, sets the status of the response to 503.
    async fn inject_faults(&self, response: &mut Response) -> bool {
        tokio::time::sleep(self.faults.latency()).await;
        if self.faults.is_unavailable() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return false;
        }
        true
    }

    /// Responds to a write that has been applied, or with status 500 if its response is to be lost.
    fn respond_to_write(&self, response: &mut Response, revision: u64) {
        if self.faults.take_lost_response() {
            response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        } else {
            set_etag(response, revision);
            response.status_code(StatusCode::OK);
        }
    }
}

#[handler]
async fn read_row(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let shared = shared_state(depot);
    if !shared.inject_faults(response).await {
        return;
    }
    let mut state = shared.lock();
    state.reads += 1;
    match state.rows.get(&key(request)) {
        Some(row_value) => {
            set_etag(response, row_value.revision);
            let _ = response.write_body(row_value.value.clone());
        }
        None => {
            response.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn write_row(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let shared = shared_state(depot);
    if !shared.inject_faults(response).await {
        return;
    }
    let value = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
    let (key, precondition) = (key(request), Precondition::from_headers(request));
    let mut state = shared.lock();
    state.writes += 1;
    let current_revision = state.rows.get(&key).map(|row_value| row_value.revision);
    if !precondition.allows(current_revision) {
        response.status_code(StatusCode::PRECONDITION_FAILED);
        return;
    }
    state.last_revision += 1;
    let revision = state.last_revision;
    state.rows.insert(key, RowValue { revision, value });
    shared.respond_to_write(response, revision);
}

#[handler]
async fn delete_row(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let shared = shared_state(depot);
    if !shared.inject_faults(response).await {
        return;
    }
    let (key, precondition) = (key(request), Precondition::from_headers(request));
    let mut state = shared.lock();
    state.writes += 1;
    match state.rows.get(&key).map(|row_value| row_value.revision) {
        None => {
            response.status_code(StatusCode::NOT_FOUND);
        }
        current_revision if !precondition.allows(current_revision) => {
            response.status_code(StatusCode::PRECONDITION_FAILED);
        }
        Some(revision) => {
            state.rows.remove(&key);
            shared.respond_to_write(response, revision);
        }
    }
}

#[handler]
async fn list_rows(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let shared = shared_state(depot);
    if !shared.inject_faults(response).await {
        return;
    }
    let prefix = request.query::<String>("prefix").unwrap_or_default();
    let after = request.query::<String>("after").unwrap_or_default();
    let limit = request.query::<usize>("limit").unwrap_or(100);
    let mut state = shared.lock();
    state.reads += 1;
    let rows: Vec<_> = state
        .rows
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .take(limit)
        .map(|(key, row_value)| row_value.to_row(key))
        .collect();
    response.render(salvo::writing::Json(rows));
}

#[handler]
async fn read_object(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let shared = shared_state(depot);
    if !shared.inject_faults(response).await {
        return;
    }
    match shared.lock().objects.get(&key(request)) {
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
    let shared = shared_state(depot);
    if !shared.inject_faults(response).await {
        return;
    }
    let value = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
    shared.lock().objects.insert(key(request), value);
    shared.respond_to_write(response, 0);
}

#[handler]
async fn list_vms(depot: &mut Depot, response: &mut Response) {
    let vms = shared_state(depot).lock().vms.clone();
    response.render(salvo::writing::Json(vms));
}

/// The precondition of a write.
struct Precondition {
    must_be_absent: bool,
    revision: Option<u64>,
}

impl Precondition {
    fn from_headers(request: &Request) -> Self {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let revision = header("if-match").and_then(|text| text.trim_matches('"').parse().ok());
        Self { must_be_absent: header("if-none-match").as_deref() == Some("*"), revision }
    }

    /// Returns whether the write may be applied to a row with this revision; `None` means no row.
    fn allows(&self, current_revision: Option<u64>) -> bool {
        if self.must_be_absent {
            return current_revision.is_none();
        }
        self.revision.is_none() || self.revision == current_revision
    }
}

fn shared_state(depot: &Depot) -> SharedState {
    depot.get_typed::<SharedState>().cloned().unwrap_or_default()
}

fn key(request: &Request) -> String {
    request.param::<String>("key").unwrap_or_default()
}

fn set_etag(response: &mut Response, revision: u64) {
    if let Ok(value) = format!("\"{revision}\"").parse() {
        response.headers_mut().insert("etag", value);
    }
}
