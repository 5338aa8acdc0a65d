//! What the callers' interface shares with the loop.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertcleat_base::RequestId;
use filbertcleat_config::CallerSettings;
use filbertcleat_config::Configuration;
use filbertcleat_platform::HttpObjectStore;
use filbertcleat_platform::HttpTable;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::entry::EntryEvent;
use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;
use crate::node::Node;

/// What the callers' interface shares with the loop.
#[derive(Clone, Debug)]
pub(crate) struct CallerGate {
    pub inputs: Inputs,
    pub body_max_bytes: usize,
    pub read_timeout: Duration,
    pub table: HttpTable,
    pub objects: HttpObjectStore,
    prefix: Arc<str>,
    next_request: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
}

impl CallerGate {
    pub fn new(node: &Node, settings: &CallerSettings) -> Self {
        Self {
            inputs: node.inputs.clone(),
            table: node.table.clone(),
            objects: node.objects.clone(),
            body_max_bytes: settings.body_max_bytes,
            read_timeout: settings.read_timeout_ms,
            prefix: Arc::from(format!("{}-{:x}", node.name(), node.incarnation)),
            next_request: Arc::default(),
            ready: Arc::default(),
        }
    }

    /// Returns an id that no other request has.
    pub fn next_request(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{}-{number}", self.prefix))
    }

    /// Returns an id for accepted work; later ids come after earlier ones of all entries.
    pub fn next_work(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{:012x}-{}-{number}", Clock::wall_ms(), self.prefix)
    }

    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns the configuration in force, or `None` when the process is stopping.
    pub async fn configuration(&self) -> Option<Arc<Configuration>> {
        let (reply, answer) = oneshot::channel();
        tell(&self.inputs, Input::Entry(EntryEvent::Configuration { reply }));
        answer.await.ok()
    }
}
