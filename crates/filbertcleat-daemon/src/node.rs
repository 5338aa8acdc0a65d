//! The state that entries and agents have in common.

use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_base::Timestamp;
use filbertcleat_config::Settings;
use filbertcleat_member::MemberRecord;
use filbertcleat_member::MemberSettings;
use filbertcleat_member::MemberState;
use filbertcleat_member::Membership;
use filbertcleat_member::OutgoingDigest;
use filbertcleat_operate::EventKind;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpObjectStore;
use filbertcleat_platform::HttpTable;
use filbertcleat_platform::Vm;
use filbertcleat_platform::VmListClient;
use filbertcleat_platform::VmState;
use filbertcleat_wire::v1;
use prost::Message;

use crate::clock::Clock;
use crate::config::ConfigState;
use crate::convert::digest_from_wire;
use crate::convert::digest_to_wire;
use crate::load_permits::LoadPermitServer;
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::timeline::Timeline;

/// The state that entries and agents have in common.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: Settings,
    pub clock: Clock,
    pub timeline: Timeline,
    pub metrics: Metrics,
    pub members: Membership,
    pub config: ConfigState,
    pub load_permits: LoadPermitServer,
    pub peers: Peers,
    pub table: HttpTable,
    pub objects: HttpObjectStore,
    pub loop_sender: LoopSender,
    /// The wall-clock time of the start in milliseconds, which identifies this run of the process.
    pub incarnation: u64,
    vms: Option<VmListClient>,
    next_vm_poll_at: MonoTime,
}

impl Node {
    /// The interval between two reads of the VM list.
    const VM_POLL_INTERVAL_MS: u64 = 2000;
    /// The time that a peer has to answer a digest.
    const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates the common state of a process that peers reach at `address`.
    pub fn new(settings: Settings, address: String, peers: Peers, loop_sender: LoopSender) -> Self {
        let clock = Clock::new();
        let incarnation = Clock::wall_ms();
        let client = HttpClient::new(settings.platform.timeout_ms);
        let local = MemberRecord {
            name: settings.name.clone(),
            address,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            role: settings.role,
            state: MemberState::Starting,
            incarnation,
            sequence: 1,
            config_version: filbertcleat_base::ConfigVersion::default(),
            replica: None,
        };
        let seed = filbertcleat_base::mix_hashes(
            filbertcleat_base::stable_hash(local.name.as_str()),
            incarnation,
        );
        let member_settings = MemberSettings {
            gossip_interval_ms: settings.peers.gossip_interval_ms.as_millis() as u64,
            suspicion_timeout_ms: settings.peers.suspicion_timeout_ms.as_millis() as u64,
            seed,
            ..MemberSettings::default()
        };
        let seeds = settings.peers.seeds.iter().map(ToString::to_string).collect();

        Self {
            clock,
            timeline: Timeline::new(settings.name.clone()),
            metrics: Metrics::new(&settings.metrics),
            members: Membership::new(member_settings, local, seeds),
            config: ConfigState::new(settings.platform.poll_ms),
            load_permits: LoadPermitServer::new(seed),
            peers,
            table: HttpTable::new(client.clone(), &settings.platform.table),
            objects: HttpObjectStore::new(client.clone(), &settings.platform.objects),
            loop_sender,
            incarnation,
            vms: settings.platform.vms.as_ref().map(|url| VmListClient::new(client, url)),
            next_vm_poll_at: MonoTime::ZERO,
            settings,
        }
    }

    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub fn name(&self) -> &NodeName {
        &self.settings.name
    }

    /// Returns the id that marks rows of the table service as held by this incarnation.
    pub fn holder_id(&self) -> NodeName {
        format!("{}#{}", self.name(), self.incarnation).into()
    }

    /// Adds an event to the timeline and the log.
    pub fn record_event(&mut self, kind: EventKind, request: Option<&RequestId>, detail: String) {
        self.timeline.add(Clock::wall_ms(), kind, request, detail);
    }

    /// Returns a hybrid-clock timestamp for a message.
    pub fn stamp(&mut self) -> Timestamp {
        self.timeline.stamp(Clock::wall_ms())
    }

    /// Advances the hybrid clock past the timestamp of a received message.
    pub fn observe(&mut self, wall_ms: u64, count: u32) {
        self.timeline.observe(Clock::wall_ms(), Timestamp { wall_ms, count });
    }

    /// Sends the digests, reads the VM list and grants the load permits that are due.
    pub fn tick(&mut self) {
        let now = self.now();
        for outgoing in self.members.tick(now) {
            self.send_digest(outgoing);
        }
        if now >= self.next_vm_poll_at
            && let Some(vms) = self.vms.clone()
        {
            self.next_vm_poll_at = now.plus_ms(Self::VM_POLL_INTERVAL_MS);
            let loop_sender = self.loop_sender.clone();
            tokio::spawn(async move {
                if let Some(list) = vms.list().await {
                    send_to_loop(&loop_sender, LoopEvent::VmList(list));
                }
            });
        }
        self.load_permits.grant_next(now);
    }

    /// Applies a peer's digest and returns the digest to answer with.
    pub fn handle_exchange(&mut self, digest: v1::Digest) -> v1::Digest {
        self.count_control_bytes(digest.encoded_len());
        let (digest, stamp) = digest_from_wire(digest);
        self.observe(stamp.wall_ms, stamp.count);
        let answer = self.members.receive(self.now(), &digest);
        let stamp = self.stamp();
        let answer = digest_to_wire(&answer, stamp);
        self.count_control_bytes(answer.encoded_len());
        answer
    }

    /// Applies a peer's answer to a digest; `bytes` is its encoded length.
    pub fn apply_exchange_response(&mut self, digest: v1::Digest, bytes: usize) {
        self.count_control_bytes(bytes);
        let (digest, stamp) = digest_from_wire(digest);
        self.observe(stamp.wall_ms, stamp.count);
        self.members.on_reply(self.now(), &digest);
    }

    /// Applies the platform's list of VMs.
    ///
    /// The list lags, so a VM that is missing from it may be new and is not taken as gone. Only
    /// VMs that are listed as leaving change the membership.
    pub fn apply_vm_list(&mut self, list: &[Vm]) {
        let now = self.now();
        let set_seeds = self.settings.peers.seeds.iter().map(ToString::to_string);
        let seeds = list.iter().map(|vm| vm.address.clone()).chain(set_seeds).collect();
        self.members.set_seeds(seeds);
        for vm in list.iter().filter(|vm| vm.state == VmState::Leaving) {
            if vm.name == self.settings.name && vm.address == self.members.local().address {
                send_to_loop(&self.loop_sender, LoopEvent::Stop);
            }
            self.members.mark_leaving(now, &vm.name);
        }
    }

    /// Returns the address of a process, if the membership has its record.
    pub fn address(&self, name: &NodeName) -> Option<String> {
        self.members.record(name).map(|record| record.address.clone())
    }

    /// Returns the process that coordinates loads from the weight store.
    ///
    /// The process is chosen among all live ones by rendezvous hashing.
    pub fn load_coordinator(&self) -> Option<NodeName> {
        let store = filbertcleat_base::stable_hash(self.settings.platform.weight_store.as_str());
        let others = self.members.peers().chain([self.members.local()]);
        others
            .filter(|record| record.state == MemberState::Live)
            .map(|record| &record.name)
            .max_by_key(|name| {
                filbertcleat_base::mix_hashes(store, filbertcleat_base::stable_hash(name.as_str()))
            })
            .cloned()
    }

    fn send_digest(&mut self, outgoing: OutgoingDigest) {
        let stamp = self.stamp();
        let message = digest_to_wire(&outgoing.digest, stamp);
        self.count_control_bytes(message.encoded_len());
        let loop_sender = self.loop_sender.clone();
        let client = self.peers.node(&outgoing.address);
        tokio::spawn(async move {
            let answer = match client {
                Ok(mut client) => {
                    tokio::time::timeout(Self::EXCHANGE_TIMEOUT, client.exchange(message)).await
                }
                Err(_) => return,
            };
            match (answer, outgoing.to) {
                (Ok(Ok(digest)), _) => {
                    let digest = digest.into_inner();
                    let bytes = digest.encoded_len();
                    send_to_loop(&loop_sender, LoopEvent::ExchangeResponse { digest, bytes });
                }
                (_, Some(name)) => send_to_loop(&loop_sender, LoopEvent::ExchangeFailed { name }),
                (_, None) => {}
            }
        });
    }

    fn count_control_bytes(&mut self, bytes: usize) {
        self.metrics.count("control.bytes", bytes as u64);
    }
}
