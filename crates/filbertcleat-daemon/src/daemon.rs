//! The event loop.

mod start;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_member::MemberEvent;
use filbertcleat_member::MemberRecord;
use filbertcleat_member::MemberState;
use filbertcleat_operate::EventKind;
use filbertcleat_operate::ProcessStatus;
use filbertcleat_wire::v1;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

pub use self::start::StartError;
use crate::agent::AgentRole;
use crate::config::ConfigEvent;
use crate::config::fetch_from_peer;
use crate::config::fetch_from_store;
use crate::config::write_snapshot;
use crate::entry::EntryRole;
use crate::loop_event::ConfigRequest;
use crate::loop_event::LoopEvent;
use crate::loop_event::OperatorRequest;
use crate::loop_event::send_to_loop;
use crate::node::Node;

/// A process of filbertcleat: an event loop that owns all state.
#[derive(Debug)]
pub struct Daemon {
    node: Node,
    role: RoleState,
    events: mpsc::UnboundedReceiver<LoopEvent>,
    tasks: Vec<tokio::task::AbortHandle>,
    addresses: start::Addresses,
    /// The configuration version that was last put into force.
    applied_version: filbertcleat_base::ConfigVersion,
    member_states: HashMap<NodeName, MemberState>,
    stopping: bool,
    /// When the process reported itself as gone to its peers.
    gone_at: Option<MonoTime>,
    last_tick: MonoTime,
}

/// The part of the event loop that differs by role.
#[derive(Debug)]
enum RoleState {
    Entry(Box<EntryRole>),
    Agent(Box<AgentRole>),
}

impl Daemon {
    /// The interval between two ticks.
    const TICK_INTERVAL: Duration = Duration::from_millis(20);
    /// How long a drained process keeps reporting to its peers that it is gone, before it exits.
    const GONE_NOTICE_MS: u64 = 300;
    /// A snapshot is written at each multiple of this number of versions.
    const SNAPSHOT_INTERVAL_VERSIONS: u64 = 32;

    /// Returns the address at which peers reach this process.
    pub fn peer_address(&self) -> std::net::SocketAddr {
        self.addresses.peers
    }

    /// Returns the address for callers if this is an entry.
    pub fn caller_address(&self) -> Option<std::net::SocketAddr> {
        self.addresses.callers
    }

    /// Returns the address for operators if this is an entry.
    pub fn operator_address(&self) -> Option<std::net::SocketAddr> {
        self.addresses.operators
    }

    /// Returns a function that drains and stops the process.
    pub fn shutdown_trigger(&self) -> impl Fn() + Send + Sync + 'static {
        let loop_sender = self.node.loop_sender.clone();
        move || send_to_loop(&loop_sender, LoopEvent::Stop)
    }

    /// Runs the event loop until the process has drained after a stop.
    pub async fn run(mut self) {
        let detail =
            format!("role={} place={}", self.node.settings.role, self.node.settings.failure_domain);
        self.node.record_event(EventKind::Start, None, detail);
        let mut ticks = tokio::time::interval_at(Instant::now(), Self::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.last_tick = self.node.now();

        while !self.is_finished() {
            tokio::select! {
                // Ticks take precedence, so that leases lapse before queued events are handled.
                biased;
                _ = ticks.tick() => self.tick(),
                event = self.events.recv() => {
                    let Some(event) = event else { break };
                    self.handle(event);
                }
            }
            self.apply_membership_events();
        }

        if let RoleState::Agent(agent) = &mut self.role {
            agent.release(&self.node).await;
        }
        self.node.record_event(EventKind::Drained, None, String::new());
    }

    fn tick(&mut self) {
        let now = self.node.now();
        let elapsed_ms = now.ms_since(self.last_tick);
        self.last_tick = now;

        match &mut self.role {
            RoleState::Entry(entry) => entry.tick(&mut self.node),
            RoleState::Agent(agent) => agent.tick(&mut self.node, elapsed_ms),
        }
        let members = self.node.members.peers().count() + 1;
        if self.node.config.take_due_poll(now, members) {
            self.node.fetch_config_from_store();
        }
        self.update_member_state();
        self.node.tick();
        self.finish_drain(now);
    }

    fn handle(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::ExchangeRequest { digest, reply } => {
                let response = self.node.handle_exchange(digest);
                // A peer that has closed the call sends another digest later.
                let _ = reply.send(response);
            }
            LoopEvent::ExchangeResponse { digest, bytes } => {
                self.node.apply_exchange_response(digest, bytes);
            }
            LoopEvent::ExchangeFailed { name } => {
                let now = self.node.now();
                self.node.members.on_failure(now, &name);
            }
            LoopEvent::ConfigRequest(request) => self.handle_config_request(request),
            LoopEvent::OperatorRequest(request) => self.handle_operator_request(request),
            LoopEvent::LoadRequests { from, requests, released_grant, grants } => {
                let now = self.node.now();
                self.node.load_permits.handle_requests(now, from, requests, released_grant, grants);
            }
            LoopEvent::LoadStreamClosed { from, grants } => {
                let now = self.node.now();
                self.node.load_permits.close_stream(now, &from, &grants);
            }
            LoopEvent::VmList(list) => self.node.apply_vm_list(&list),
            LoopEvent::Config(event) => self.handle_config_event(event),
            LoopEvent::Entry(event) => {
                if let RoleState::Entry(entry) = &mut self.role {
                    entry.handle(&mut self.node, event);
                }
            }
            LoopEvent::Agent(event) => {
                if let RoleState::Agent(agent) = &mut self.role {
                    agent.handle(&mut self.node, event);
                }
            }
            LoopEvent::Stop => self.stop("signal"),
        }
    }

    fn handle_config_request(&mut self, request: ConfigRequest) {
        match request {
            ConfigRequest::Patches { after, reply } => {
                let after = filbertcleat_base::ConfigVersion::new(after);
                let patches = self.node.config.patches_after(after);
                let head = self.node.config.version().value();
                let _ = reply.send(v1::PatchesReply { patches, head });
            }
            ConfigRequest::Snapshot { reply } => {
                let configuration = Arc::clone(self.node.config.current());
                tokio::task::spawn_blocking(move || {
                    let configuration = serde_json::to_vec(&*configuration).unwrap_or_default();
                    let _ = reply.send(v1::SnapshotReply { configuration });
                });
            }
        }
    }

    fn handle_operator_request(&mut self, request: OperatorRequest) {
        match request {
            OperatorRequest::Status { reply } => {
                let json = serde_json::to_vec(&self.status()).unwrap_or_default();
                let _ = reply.send(v1::StatusReply { json });
            }
            OperatorRequest::Timeline { query, reply } => {
                let request = (!query.request.is_empty()).then_some(query.request.as_str());
                let page = self.node.timeline.page(request, query.since_ms);
                let json = serde_json::to_vec(&page).unwrap_or_default();
                let _ = reply.send(v1::TimelineReply { json });
            }
            OperatorRequest::Drain { operator, reply } => {
                self.stop(&format!("operator:{operator}"));
                let _ = reply.send(v1::DrainReply { state: "leaving".to_owned() });
            }
        }
    }

    fn status(&self) -> ProcessStatus {
        let settings = &self.node.settings;
        let live = self.node.members.peers().filter(|record| record.state == MemberState::Live);
        let (requests, replica) = match &self.role {
            RoleState::Entry(entry) => (entry.in_flight(), None),
            RoleState::Agent(agent) => (0, Some(agent.status())),
        };
        ProcessStatus {
            node: settings.name.clone(),
            role: settings.role,
            failure_domain: settings.failure_domain.clone(),
            state: self.node.members.local().state.as_str().to_owned(),
            config_version: self.node.config.version(),
            peers_live: live.count(),
            load_coordinator: self.node.load_coordinator(),
            requests,
            replica,
            counters: self.node.metrics.counters().clone(),
        }
    }

    fn handle_config_event(&mut self, event: ConfigEvent) {
        match event {
            ConfigEvent::Fetched { snapshot, patches, reached_head } => {
                self.node.config.end_fetch();
                if let Some(configuration) = snapshot {
                    self.node.config.apply_snapshot(*configuration);
                }
                for patch in patches {
                    self.node.config.apply(patch);
                }
                if reached_head {
                    self.node.config.confirm();
                }
                self.apply_newer_version();
            }
            ConfigEvent::Published { patch, outcome, reply } => {
                match &outcome {
                    Ok(version) => {
                        self.node.config.apply(patch);
                        self.write_due_snapshot(*version);
                    }
                    Err(_) => self.node.fetch_config_from_store(),
                }
                self.apply_newer_version();
                let _ = reply.send(outcome);
            }
        }
    }

    /// Writes a snapshot if `version` is in force and is a multiple of the snapshot interval.
    fn write_due_snapshot(&self, version: filbertcleat_base::ConfigVersion) {
        let configuration = Arc::clone(self.node.config.current());
        if configuration.version != version
            || !version.value().is_multiple_of(Self::SNAPSHOT_INTERVAL_VERSIONS)
        {
            return;
        }
        let (table, objects) = (self.node.table.clone(), self.node.objects.clone());
        tokio::spawn(async move { write_snapshot(&table, &objects, &configuration).await });
    }

    /// Applies a newer configuration version in all parts of the process, if there is one.
    fn apply_newer_version(&mut self) {
        let version = self.node.config.version();
        if version <= self.applied_version {
            return;
        }
        self.applied_version = version;
        self.node.record_event(EventKind::Config, None, format!("version={version}"));
        self.node.members.set_config_version(version);
        let policy = self.node.config.current().policy.load_permits;
        self.node.load_permits.set_policy(policy);
        match &mut self.role {
            RoleState::Entry(entry) => entry.apply_config(&mut self.node),
            RoleState::Agent(agent) => agent.apply_config(&mut self.node),
        }
    }

    /// Applies the changes of the membership since the last call.
    fn apply_membership_events(&mut self) {
        for event in self.node.members.take_events() {
            match event {
                MemberEvent::Changed(record) => {
                    self.record_member_state(&record);
                    if let RoleState::Entry(entry) = &mut self.role {
                        entry.apply_member_record(&mut self.node, &record);
                    }
                    if record.state == MemberState::Live
                        && record.config_version == self.node.config.version()
                    {
                        self.node.config.confirm();
                    }
                }
                MemberEvent::NewerConfig { address: Some(address), .. } => {
                    self.node.fetch_config_from_peer(&address);
                }
                MemberEvent::NewerConfig { address: None, .. } => {
                    self.node.fetch_config_from_store();
                }
                MemberEvent::Superseded => self.stop("superseded"),
            }
        }
    }

    /// Records an event if a peer's state has changed.
    fn record_member_state(&mut self, record: &MemberRecord) {
        let before = self.member_states.insert(record.name.clone(), record.state);
        if before != Some(record.state) {
            let detail = format!("of={} state={}", record.name, record.state.as_str());
            self.node.record_event(EventKind::Member, None, detail);
        }
    }

    /// Reports this process as live once its configuration is confirmed and, at an agent, the
    /// backend server is ready.
    fn update_member_state(&mut self) {
        if self.stopping {
            return;
        }
        let ready = self.node.config.is_confirmed()
            && match &self.role {
                RoleState::Entry(_) => true,
                RoleState::Agent(agent) => agent.is_ready(),
            };
        if ready {
            self.node.members.set_state(MemberState::Live);
        }
        if let RoleState::Entry(entry) = &self.role {
            entry.caller_context().set_ready(ready);
        }
    }

    /// Begins the drain of this process.
    fn stop(&mut self, reason: &str) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.node.record_event(EventKind::Drain, None, format!("why={reason}"));
        self.node.members.set_state(MemberState::Leaving);
        match &mut self.role {
            RoleState::Entry(entry) => entry.drain(&self.node),
            RoleState::Agent(agent) => agent.drain(&mut self.node),
        }
    }

    /// Reports this process as gone once all its work has ended.
    fn finish_drain(&mut self, now: MonoTime) {
        let drained = match &self.role {
            RoleState::Entry(entry) => entry.is_drained(&self.node),
            RoleState::Agent(agent) => agent.is_drained(),
        };
        if self.stopping && drained && self.gone_at.is_none() {
            self.node.members.set_state(MemberState::Gone);
            self.gone_at = Some(now);
        }
    }

    fn is_finished(&self) -> bool {
        self.gone_at
            .is_some_and(|gone_at| self.node.now().ms_since(gone_at) >= Self::GONE_NOTICE_MS)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Node {
    /// Fetches newer configuration versions from the store, unless a fetch is in progress.
    pub fn fetch_config_from_store(&mut self) {
        if !self.config.begin_fetch() {
            return;
        }
        let (table, objects) = (self.table.clone(), self.objects.clone());
        let (loop_sender, version) = (self.loop_sender.clone(), self.config.version());
        tokio::spawn(async move {
            let event = fetch_from_store(&table, &objects, version).await;
            send_to_loop(&loop_sender, LoopEvent::Config(event));
        });
    }

    /// Fetches newer configuration versions from a peer, unless a fetch is in progress.
    pub fn fetch_config_from_peer(&mut self, address: &str) {
        if !self.config.begin_fetch() {
            return;
        }
        let (peers, address) = (self.peers.clone(), address.to_owned());
        let (loop_sender, version) = (self.loop_sender.clone(), self.config.version());
        tokio::spawn(async move {
            let event = fetch_from_peer(&peers, &address, version).await;
            send_to_loop(&loop_sender, LoopEvent::Config(event));
        });
    }
}
