//! The local view of the cluster's processes.

mod dissemination;

use std::collections::BTreeMap;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_policy::ReplicaReport;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Digest;
use crate::MemberEvent;
use crate::MemberRecord;
use crate::MemberSettings;
use crate::MemberState;
use crate::OutgoingDigest;
use crate::peer::Peer;

/// The local view of all processes, kept up to date by exchanging records with random peers.
#[derive(Debug)]
pub struct Membership {
    settings: MemberSettings,
    local: MemberRecord,
    peers: BTreeMap<NodeName, Peer>,
    seeds: Vec<String>,
    round_robin: Vec<NodeName>,
    local_transmits_left: u32,
    next_exchange_at: MonoTime,
    next_full_sync_at: MonoTime,
    report_published_at: MonoTime,
    pending_report: Option<ReplicaReport>,
    is_urgent: bool,
    retry_peers: Vec<NodeName>,
    rng: SmallRng,
    events: Vec<MemberEvent>,
}

impl Membership {
    /// The number of consecutive unanswered messages after which a process is suspected.
    const FAILED_EXCHANGES_MAX: u32 = 3;
    /// How long the record of a gone process is kept, so that a delayed record can't revive it.
    const TOMBSTONE_MS: u64 = 600_000;
    /// The minimum interval between two published reports of a replica, per known process.
    const REPORT_INTERVAL_MS_PER_MEMBER: u64 = 8;
    /// The minimum interval between two published reports of a replica.
    const REPORT_INTERVAL_MIN_MS: u64 = 100;
    /// One in this many exchanges goes to a seed address, so that the parts of a healed network
    /// partition find each other again.
    const SEED_EXCHANGE_RATIO: u32 = 8;
    /// The number of processes up to which full syncs happen at the configured interval; larger
    /// clusters extend the interval proportionally.
    const FULL_SYNC_MEMBERS: u32 = 50;

    /// Creates a view that contains only the local process; `seeds` are addresses of peers.
    pub fn new(settings: MemberSettings, local: MemberRecord, seeds: Vec<String>) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            local,
            peers: BTreeMap::new(),
            seeds,
            round_robin: Vec::new(),
            local_transmits_left: 8,
            next_exchange_at: MonoTime::ZERO,
            next_full_sync_at: MonoTime::ZERO,
            report_published_at: MonoTime::ZERO,
            pending_report: None,
            is_urgent: false,
            retry_peers: Vec::new(),
            rng,
            events: Vec::new(),
        }
    }

    /// Returns the record of the local process.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns the records of all other processes, including those that are gone.
    pub fn peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// Returns the record of the process with the given name.
    pub fn record(&self, name: &NodeName) -> Option<&MemberRecord> {
        if *name == self.local.name {
            return Some(&self.local);
        }
        self.peers.get(name).map(|peer| &peer.record)
    }

    /// Returns and clears the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces the seed addresses, which are contacted in addition to the known processes.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Sets the state of the local process and spreads it immediately.
    pub fn set_state(&mut self, state: MemberState) {
        if self.local.state != state {
            self.local.state = state;
            self.mark_changed(true);
        }
    }

    /// Sets the local configuration version, if it is newer, and spreads it immediately.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        if version > self.local.config_version {
            self.local.config_version = version;
            self.mark_changed(true);
        }
    }

    /// Sets the report of the local replica.
    ///
    /// The publishing rate is limited, so that the reports of all replicas fit into the bounded
    /// messages of the exchange.
    pub fn set_report(&mut self, report: ReplicaReport) {
        self.pending_report = Some(report);
    }

    /// Applies a replica report that an agent attached to an attempt event.
    pub fn observe_report(&mut self, report: &ReplicaReport) {
        if let Some(peer) = self.peers.get_mut(&report.node) {
            peer.record.replica = Some(report.clone());
        }
    }

    /// Marks a process as leaving because the platform is about to stop its VM.
    pub fn mark_leaving(&mut self, now: MonoTime, name: &NodeName) {
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        if peer.record.state < MemberState::Leaving {
            let record = MemberRecord { state: MemberState::Leaving, ..peer.record.clone() };
            self.merge_record(now, record);
        }
    }

    /// Advances the timers and returns the messages to send.
    pub fn tick(&mut self, now: MonoTime) -> Vec<OutgoingDigest> {
        self.expire_peers(now);
        self.publish_pending_report(now);

        let mut messages = Vec::new();
        if std::mem::take(&mut self.is_urgent) {
            let count = self.settings.fanout;
            for (name, address) in self.random_peers(count) {
                messages.push(self.outgoing_digest(Some(name), address, false));
            }
        }
        for name in std::mem::take(&mut self.retry_peers) {
            if let Some(address) = self.peers.get(&name).map(|peer| peer.record.address.clone()) {
                messages.push(self.outgoing_digest(Some(name), address, false));
            }
        }
        if now >= self.next_exchange_at {
            self.next_exchange_at = now.plus_ms(self.jittered_interval_ms());
            messages.extend(self.exchange(now));
        }
        messages
    }

    /// Handles a message from a peer and returns the response.
    pub fn receive(&mut self, now: MonoTime, digest: &Digest) -> Digest {
        self.merge_digest(now, digest);
        let known = self.peers.contains_key(&digest.from);
        let mut response = self.digest(digest.full || !known);
        self.add_accusation(&mut response, |peer| peer.record.name == digest.from);
        response
    }

    /// Handles the response to a message.
    pub fn on_reply(&mut self, now: MonoTime, digest: &Digest) {
        self.merge_digest(now, digest);
        let Some(peer) = self.peers.get_mut(&digest.from) else {
            return;
        };
        peer.failed_exchanges = 0;
        if peer.record.state == MemberState::Suspect {
            // The process has responded but is still suspected: exchange again at once, so that it
            // can refute the suspicion.
            self.next_exchange_at = now;
        }
    }

    /// Handles a message without a response.
    ///
    /// The peer is contacted again, and suspected after three consecutive failures.
    pub fn on_failure(&mut self, now: MonoTime, name: &NodeName) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.failed_exchanges += 1;
        if peer.failed_exchanges < Self::FAILED_EXCHANGES_MAX {
            self.retry_peers.push(name.clone());
            return;
        }
        match peer.record.state {
            MemberState::Starting | MemberState::Live | MemberState::Leaving => {
                let record = MemberRecord { state: MemberState::Suspect, ..peer.record.clone() };
                self.merge_record(now, record);
            }
            MemberState::Suspect | MemberState::Gone => {}
        }
    }

    /// Increments the sequence of the local record; an urgent change is sent with the next tick.
    fn mark_changed(&mut self, urgent: bool) {
        self.local.sequence += 1;
        self.local_transmits_left = self.transmit_limit();
        self.is_urgent |= urgent;
    }

    fn publish_pending_report(&mut self, now: MonoTime) {
        let interval_ms = Self::REPORT_INTERVAL_MS_PER_MEMBER * (self.peers.len() as u64 + 1);
        let is_due =
            now.ms_since(self.report_published_at) >= interval_ms.max(Self::REPORT_INTERVAL_MIN_MS);
        if !is_due || self.pending_report.is_none() || self.pending_report == self.local.replica {
            return;
        }
        self.local.replica = self.pending_report.clone();
        self.report_published_at = now;
        self.mark_changed(false);
    }

    /// Returns the number of messages that include a changed record.
    ///
    /// Three times the binary logarithm of the cluster size reaches all processes with high
    /// probability.
    fn transmit_limit(&self) -> u32 {
        let members = self.peers.len() as u32 + 2;
        3 * (u32::BITS - members.leading_zeros())
    }

    /// Returns the time until the next exchange, within 25% of the configured interval.
    fn jittered_interval_ms(&mut self) -> u64 {
        let gossip_interval_ms = self.settings.gossip_interval_ms.max(1);
        gossip_interval_ms * 3 / 4 + self.rng.random_range(0..=gossip_interval_ms / 2)
    }

    fn merge_digest(&mut self, now: MonoTime, digest: &Digest) {
        for record in &digest.records {
            self.merge_record(now, record.clone());
        }
        if digest.config_version > self.local.config_version {
            let address = self.peers.get(&digest.from).map(|peer| peer.record.address.clone());
            let version = digest.config_version;
            self.events.push(MemberEvent::NewerConfig { version, address });
        }
    }

    fn merge_record(&mut self, now: MonoTime, record: MemberRecord) {
        if record.name == self.local.name {
            self.refute(&record);
            return;
        }
        let known = self.peers.get(&record.name);
        if known.is_some_and(|peer| !record.is_newer(&peer.record)) {
            return;
        }

        let state_changed = known.is_none_or(|peer| peer.record.state != record.state);
        if record.config_version > self.local.config_version && record.state == MemberState::Live {
            let (version, address) = (record.config_version, Some(record.address.clone()));
            self.events.push(MemberEvent::NewerConfig { version, address });
        }
        let newer_config =
            known.is_some_and(|peer| record.config_version > peer.record.config_version);
        let is_urgent = state_changed && record.state >= MemberState::Leaving;
        self.is_urgent |=
            is_urgent || (newer_config && record.config_version > self.local.config_version);

        let state_since = match known {
            Some(peer) if !state_changed => peer.state_since,
            Some(_) | None => now,
        };
        let failed_exchanges = known.map_or(0, |peer| peer.failed_exchanges);
        let peer = Peer::new(record.clone(), self.transmit_limit(), state_since);
        let peer = Peer { is_urgent, failed_exchanges, ..peer };
        self.peers.insert(record.name.clone(), peer);
        self.events.push(MemberEvent::Changed(Box::new(record)));
    }

    /// Refutes a record that claims the local process is suspected, leaving or gone.
    ///
    /// A newer incarnation is another process with the same name, which supersedes this one.
    fn refute(&mut self, record: &MemberRecord) {
        if record.incarnation > self.local.incarnation {
            self.events.push(MemberEvent::Superseded);
            return;
        }
        let is_wrong = record.state != self.local.state && record.sequence >= self.local.sequence;
        if record.incarnation == self.local.incarnation && is_wrong {
            self.local.sequence = record.sequence;
            self.mark_changed(true);
        }
    }

    /// Marks peers as gone after the suspicion timeout, and removes expired tombstones.
    fn expire_peers(&mut self, now: MonoTime) {
        let suspicion_timeout_ms = self.settings.suspicion_timeout_ms;
        let expired: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.record.state == MemberState::Suspect)
            .filter(|peer| now.ms_since(peer.state_since) >= suspicion_timeout_ms)
            .map(|peer| MemberRecord { state: MemberState::Gone, ..peer.record.clone() })
            .collect();
        for record in expired {
            self.merge_record(now, record);
        }
        self.peers.retain(|_, peer| {
            peer.is_reachable() || now.ms_since(peer.state_since) < Self::TOMBSTONE_MS
        });
    }
}
