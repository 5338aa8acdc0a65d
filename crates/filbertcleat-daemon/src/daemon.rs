//! The loop.

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
use crate::config::follow_peer;
use crate::config::follow_store;
use crate::config::write_snapshot;
use crate::entry::EntryRole;
use crate::input::Input;
use crate::input::Inspection;
use crate::input::PeerQuestion;
use crate::input::tell;
use crate::node::Node;

/// A process of filbertcleat: one loop that owns all state.
#[derive(Debug)]
pub struct Daemon {
    node: Node,
    role: RoleLoop,
    receiver: mpsc::UnboundedReceiver<Input>,
    tasks: Vec<tokio::task::AbortHandle>,
    addresses: start::Addresses,
    seen_version: filbertcleat_base::ConfigVersion,
    member_states: HashMap<NodeName, MemberState>,
    stopping: bool,
    left_at: Option<MonoTime>,
    last_tick: MonoTime,
}

/// The part of the loop that differs by role.
#[derive(Debug)]
enum RoleLoop {
    Entry(Box<EntryRole>),
    Agent(Box<AgentRole>),
}

impl Daemon {
    /// The time between two ticks.
    const TICK: Duration = Duration::from_millis(20);
    /// How long a process that has ended its work tells its peers so.
    const FAREWELL_MS: u64 = 300;
    /// A snapshot is written at each version that this divides.
    const SNAPSHOT_EVERY: u64 = 32;

    /// Returns the address that peers reach this process at.
    pub fn peer_address(&self) -> std::net::SocketAddr {
        self.addresses.peers
    }

    /// Returns the address for callers, if this is an entry.
    pub fn caller_address(&self) -> Option<std::net::SocketAddr> {
        self.addresses.callers
    }

    /// Returns the address for operators, if this is an entry.
    pub fn operator_address(&self) -> Option<std::net::SocketAddr> {
        self.addresses.operators
    }

    /// Returns what stops the process in a planned way when called.
    pub fn shutdown_trigger(&self) -> impl Fn() + Send + Sync + 'static {
        let inputs = self.node.inputs.clone();
        move || tell(&inputs, Input::Stop)
    }

    /// Runs until a planned stop has ended.
    pub async fn run(mut self) {
        let detail =
            format!("role={} place={}", self.node.settings.role, self.node.settings.failure_domain);
        self.node.note(EventKind::Start, None, detail);
        let mut ticks = tokio::time::interval_at(Instant::now(), Self::TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.last_tick = self.node.now();

        while !self.is_over() {
            tokio::select! {
                // A late tick goes first, so that leases lapse before anything queued is done.
                biased;
                _ = ticks.tick() => self.tick(),
                input = self.receiver.recv() => {
                    let Some(input) = input else { break };
                    self.handle(input);
                }
            }
            self.follow_news();
        }

        if let RoleLoop::Agent(agent) = &mut self.role {
            agent.release(&self.node).await;
        }
        self.node.note(EventKind::Drained, None, String::new());
    }

    fn tick(&mut self) {
        let now = self.node.now();
        let late_ms = now.ms_since(self.last_tick);
        self.last_tick = now;

        match &mut self.role {
            RoleLoop::Entry(entry) => entry.tick(&mut self.node),
            RoleLoop::Agent(agent) => agent.tick(&mut self.node, late_ms),
        }
        let members = self.node.members.peers().count() + 1;
        if self.node.config.poll_is_due(now, members) {
            self.node.follow_store_now();
        }
        self.update_state();
        self.node.tick();
        self.check_end(now);
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Exchange { digest, reply } => {
                let answer = self.node.answer_exchange(digest);
                // A peer that has hung up asks again.
                let _ = reply.send(answer);
            }
            Input::ExchangeAnswer { digest, bytes } => self.node.exchange_answer(digest, bytes),
            Input::ExchangeFailed { name } => {
                let now = self.node.now();
                self.node.members.on_failure(now, &name);
            }
            Input::Configuration(question) => self.answer_question(question),
            Input::Inspect(inspection) => self.inspect(inspection),
            Input::Turns { from, wants, done, grants } => {
                let now = self.node.now();
                self.node.desk.ask(now, from, wants, done, grants);
            }
            Input::TurnsClosed { from, grants } => {
                let now = self.node.now();
                self.node.desk.close(now, &from, &grants);
            }
            Input::Vms(list) => self.node.vms(&list),
            Input::Config(event) => self.config(event),
            Input::Entry(event) => {
                if let RoleLoop::Entry(entry) = &mut self.role {
                    entry.handle(&mut self.node, event);
                }
            }
            Input::Agent(event) => {
                if let RoleLoop::Agent(agent) = &mut self.role {
                    agent.handle(&mut self.node, event);
                }
            }
            Input::Stop => self.stop("signal"),
        }
    }

    fn answer_question(&mut self, question: PeerQuestion) {
        match question {
            PeerQuestion::Patches { after, reply } => {
                let after = filbertcleat_base::ConfigVersion::new(after);
                let patches = self.node.config.patches_after(after);
                let head = self.node.config.version().value();
                let _ = reply.send(v1::PatchesReply { patches, head });
            }
            PeerQuestion::Snapshot { reply } => {
                let configuration = Arc::clone(self.node.config.current());
                tokio::task::spawn_blocking(move || {
                    let configuration = serde_json::to_vec(&*configuration).unwrap_or_default();
                    let _ = reply.send(v1::SnapshotReply { configuration });
                });
            }
        }
    }

    fn inspect(&mut self, inspection: Inspection) {
        match inspection {
            Inspection::Status { reply } => {
                let json = serde_json::to_vec(&self.status()).unwrap_or_default();
                let _ = reply.send(v1::StatusReply { json });
            }
            Inspection::Timeline { query, reply } => {
                let request = (!query.request.is_empty()).then_some(query.request.as_str());
                let page = self.node.timeline.page(request, query.since_ms);
                let json = serde_json::to_vec(&page).unwrap_or_default();
                let _ = reply.send(v1::TimelineReply { json });
            }
            Inspection::Drain { operator, reply } => {
                self.stop(&format!("operator:{operator}"));
                let _ = reply.send(v1::DrainReply { state: "leaving".to_owned() });
            }
        }
    }

    fn status(&self) -> ProcessStatus {
        let settings = &self.node.settings;
        let live = self.node.members.peers().filter(|record| record.state == MemberState::Live);
        let (requests, replica) = match &self.role {
            RoleLoop::Entry(entry) => (entry.held(), None),
            RoleLoop::Agent(agent) => (0, Some(agent.status())),
        };
        ProcessStatus {
            node: settings.name.clone(),
            role: settings.role,
            failure_domain: settings.failure_domain.clone(),
            state: self.node.members.local().state.as_str().to_owned(),
            config_version: self.node.config.version(),
            peers_live: live.count(),
            load_coordinator: self.node.keeper(),
            requests,
            replica,
            counters: self.node.metrics.totals().clone(),
        }
    }

    fn config(&mut self, event: ConfigEvent) {
        match event {
            ConfigEvent::Followed { snapshot, patches, reached_head } => {
                self.node.config.end_following();
                if let Some(configuration) = snapshot {
                    self.node.config.adopt(*configuration);
                }
                for patch in patches {
                    self.node.config.apply(patch);
                }
                if reached_head {
                    self.node.config.confirm();
                }
                self.configured();
            }
            ConfigEvent::Published { patch, outcome, reply } => {
                match &outcome {
                    Ok(version) => {
                        self.node.config.apply(patch);
                        self.snapshot(*version);
                    }
                    Err(_) => self.node.follow_store_now(),
                }
                self.configured();
                let _ = reply.send(outcome);
            }
        }
    }

    fn snapshot(&self, version: filbertcleat_base::ConfigVersion) {
        let configuration = Arc::clone(self.node.config.current());
        if configuration.version != version || !version.value().is_multiple_of(Self::SNAPSHOT_EVERY)
        {
            return;
        }
        let (table, objects) = (self.node.table.clone(), self.node.objects.clone());
        tokio::spawn(async move { write_snapshot(&table, &objects, &configuration).await });
    }

    /// Puts a newer version in force, if there is one.
    fn configured(&mut self) {
        let version = self.node.config.version();
        if version <= self.seen_version {
            return;
        }
        self.seen_version = version;
        self.node.note(EventKind::Config, None, format!("version={version}"));
        self.node.members.set_config_version(version);
        let turns = self.node.config.current().policy.load_permits;
        self.node.desk.set_policy(turns);
        match &mut self.role {
            RoleLoop::Entry(entry) => entry.configured(&mut self.node),
            RoleLoop::Agent(agent) => agent.configured(&mut self.node),
        }
    }

    /// Passes on what the membership has learned.
    fn follow_news(&mut self) {
        for event in self.node.members.take_events() {
            match event {
                MemberEvent::Changed(record) => {
                    self.note_member(&record);
                    if let RoleLoop::Entry(entry) = &mut self.role {
                        entry.member_changed(&mut self.node, &record);
                    }
                    if record.state == MemberState::Live
                        && record.config_version == self.node.config.version()
                    {
                        self.node.config.confirm();
                    }
                }
                MemberEvent::NewerConfig { address: Some(address), .. } => {
                    self.node.follow_peer_now(&address);
                }
                MemberEvent::NewerConfig { address: None, .. } => self.node.follow_store_now(),
                MemberEvent::Superseded => self.stop("superseded"),
            }
        }
    }

    /// Notes a peer's state when it changes.
    fn note_member(&mut self, record: &MemberRecord) {
        let before = self.member_states.insert(record.name.clone(), record.state);
        if before != Some(record.state) {
            let detail = format!("of={} state={}", record.name, record.state.as_str());
            self.node.note(EventKind::Member, None, detail);
        }
    }

    /// Serves once a configuration is confirmed and the backend server can be called.
    fn update_state(&mut self) {
        if self.stopping {
            return;
        }
        let ready = self.node.config.is_confirmed()
            && match &self.role {
                RoleLoop::Entry(_) => true,
                RoleLoop::Agent(agent) => agent.is_ready(),
            };
        if ready {
            self.node.members.set_state(MemberState::Live);
        }
        if let RoleLoop::Entry(entry) = &self.role {
            entry.gate().set_ready(ready);
        }
    }

    fn stop(&mut self, why: &str) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.node.note(EventKind::Drain, None, format!("why={why}"));
        self.node.members.set_state(MemberState::Leaving);
        match &mut self.role {
            RoleLoop::Entry(entry) => entry.drain(&self.node),
            RoleLoop::Agent(agent) => agent.drain(&mut self.node),
        }
    }

    /// Says farewell once all work has ended.
    fn check_end(&mut self, now: MonoTime) {
        let drained = match &self.role {
            RoleLoop::Entry(entry) => entry.is_drained(&self.node),
            RoleLoop::Agent(agent) => agent.is_drained(),
        };
        if self.stopping && drained && self.left_at.is_none() {
            self.node.members.set_state(MemberState::Gone);
            self.left_at = Some(now);
        }
    }

    fn is_over(&self) -> bool {
        self.left_at.is_some_and(|left| self.node.now().ms_since(left) >= Self::FAREWELL_MS)
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
    /// Looks for newer versions in the store, unless a look is under way.
    pub fn follow_store_now(&mut self) {
        if !self.config.begin_following() {
            return;
        }
        let (table, objects) = (self.table.clone(), self.objects.clone());
        let (inputs, version) = (self.inputs.clone(), self.config.version());
        tokio::spawn(async move {
            let event = follow_store(&table, &objects, version).await;
            tell(&inputs, Input::Config(event));
        });
    }

    /// Fetches newer versions from a peer, unless a look is under way.
    pub fn follow_peer_now(&mut self, address: &str) {
        if !self.config.begin_following() {
            return;
        }
        let (peers, address) = (self.peers.clone(), address.to_owned());
        let (inputs, version) = (self.inputs.clone(), self.config.version());
        tokio::spawn(async move {
            let event = follow_peer(&peers, &address, version).await;
            tell(&inputs, Input::Config(event));
        });
    }
}
