//! The state that the callers' interface shares with the event loop.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use filbertcleat_base::RequestId;
use filbertcleat_config::CallerSettings;
use filbertcleat_config::Configuration;
use filbertcleat_platform::HttpObjectStore;
use filbertcleat_platform::HttpTable;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::entry::BodyReader;
use crate::entry::EntryEvent;
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;
use crate::node::Node;

/// The state that the callers' interface shares with the event loop.
#[derive(Clone, Debug)]
pub(crate) struct CallerContext {
    pub loop_sender: LoopSender,
    pub body_reader: BodyReader,
    pub table: HttpTable,
    pub objects: HttpObjectStore,
    /// The part of ids that is unique to this incarnation of the entry.
    id_prefix: Arc<str>,
    next_id: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
}

impl CallerContext {
    pub fn new(node: &Node, settings: &CallerSettings) -> Self {
        Self {
            loop_sender: node.loop_sender.clone(),
            table: node.table.clone(),
            objects: node.objects.clone(),
            body_reader: BodyReader::new(
                settings.body_max_bytes,
                settings.bodies_max_bytes,
                settings.read_timeout_ms,
            ),
            id_prefix: Arc::from(format!("{}-{:x}", node.name(), node.incarnation)),
            next_id: Arc::default(),
            ready: Arc::default(),
        }
    }

    /// Returns an id for a request, which is unique among all entries.
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{}-{number}", self.id_prefix))
    }

    /// Returns an id for an asynchronous request.
    ///
    /// The ids of all entries sort by the wall-clock time of their creation.
    pub fn next_async_request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{:012x}-{}-{number}", Clock::wall_ms(), self.id_prefix)
    }

    /// Returns whether this entry accepts callers, which the platform's balancer queries.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns the configuration in force, or `None` if the process is stopping.
    pub async fn configuration(&self) -> Option<Arc<Configuration>> {
        let (reply, received_reply) = oneshot::channel();
        send_to_loop(&self.loop_sender, LoopEvent::Entry(EntryEvent::Configuration { reply }));
        received_reply.await.ok()
    }
}
