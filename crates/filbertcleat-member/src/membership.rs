//! The view of all processes.

mod spread;

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
use crate::rumor::Rumor;

/// Keeps the view of all processes by exchanging records with a few of them.
#[derive(Debug)]
pub struct Membership {
    settings: MemberSettings,
    me: MemberRecord,
    others: BTreeMap<NodeName, Rumor>,
    contacts: Vec<String>,
    round: Vec<NodeName>,
    my_sends_left: u32,
    next_at: MonoTime,
    next_full_at: MonoTime,
    reported_at: MonoTime,
    report: Option<ReplicaReport>,
    urgent: bool,
    ask_again: Vec<NodeName>,
    rng: SmallRng,
    events: Vec<MemberEvent>,
}

impl Membership {
    /// Messages in a row without an answer after which a process is suspected.
    const FAILURES_MAX: u32 = 3;
    /// How long the record of a process that is gone is kept, so that old news can't revive it.
    const TOMBSTONE_MS: u64 = 600_000;
    /// The least time between two reports of a replica, per known process.
    const REPORT_MS_PER_MEMBER: u64 = 8;
    /// The least time between two reports of a replica.
    const REPORT_MIN_MS: u64 = 100;
    /// One in so many exchanges goes to a contact, so that parts cut off find each other again.
    const CONTACT_SHARE: u32 = 8;
    /// The processes for which all records are exchanged at the set interval.
    const FULL_CROWD: u32 = 50;

    /// Creates a view that knows only the process itself and addresses to ask.
    pub fn new(settings: MemberSettings, me: MemberRecord, contacts: Vec<String>) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            me,
            others: BTreeMap::new(),
            contacts,
            round: Vec::new(),
            my_sends_left: 8,
            next_at: MonoTime::ZERO,
            next_full_at: MonoTime::ZERO,
            reported_at: MonoTime::ZERO,
            report: None,
            urgent: false,
            ask_again: Vec::new(),
            rng,
            events: Vec::new(),
        }
    }

    /// Returns the process's own record.
    pub fn local(&self) -> &MemberRecord {
        &self.me
    }

    /// Returns the records of the other processes, also of those that are gone.
    pub fn peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.others.values().map(|rumor| &rumor.record)
    }

    /// Returns the record of a process.
    pub fn record(&self, name: &NodeName) -> Option<&MemberRecord> {
        if *name == self.me.name {
            return Some(&self.me);
        }
        self.others.get(name).map(|rumor| &rumor.record)
    }

    /// Returns the news since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces the addresses that are asked besides the known processes.
    pub fn set_seeds(&mut self, contacts: Vec<String>) {
        self.contacts = contacts;
    }

    /// Sets the process's own state, which is urgent news.
    pub fn set_state(&mut self, state: MemberState) {
        if self.me.state != state {
            self.me.state = state;
            self.changed(true);
        }
    }

    /// Sets the configuration version in force here, which is urgent news.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        if version > self.me.config_version {
            self.me.config_version = version;
            self.changed(true);
        }
    }

    /// Sets the report of the replica beside this process.
    ///
    /// It is passed on only so often that all reports together fit the bytes of the exchange.
    pub fn set_report(&mut self, report: ReplicaReport) {
        self.report = Some(report);
    }

    /// Takes in what an agent told about its replica in an answer.
    pub fn observe_report(&mut self, report: &ReplicaReport) {
        if let Some(rumor) = self.others.get_mut(&report.node) {
            rumor.record.replica = Some(report.clone());
        }
    }

    /// Marks a process as leaving by the platform's word.
    pub fn mark_leaving(&mut self, now: MonoTime, name: &NodeName) {
        let Some(rumor) = self.others.get(name) else {
            return;
        };
        if rumor.record.state < MemberState::Leaving {
            let record = MemberRecord { state: MemberState::Leaving, ..rumor.record.clone() };
            self.merge(now, record);
        }
    }

    /// Returns the messages that are due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<OutgoingDigest> {
        self.age(now);
        self.publish_report(now);

        let mut actions = Vec::new();
        if std::mem::take(&mut self.urgent) {
            let count = self.settings.fanout;
            for (name, address) in self.random_peers(count) {
                actions.push(self.message(Some(name), address, false));
            }
        }
        for name in std::mem::take(&mut self.ask_again) {
            if let Some(address) = self.others.get(&name).map(|rumor| rumor.record.address.clone())
            {
                actions.push(self.message(Some(name), address, false));
            }
        }
        if now >= self.next_at {
            self.next_at = now.plus_ms(self.jittered_ms());
            actions.extend(self.exchange(now));
        }
        actions
    }

    /// Takes in a message and returns the answer to it.
    pub fn receive(&mut self, now: MonoTime, digest: &Digest) -> Digest {
        self.take_in(now, digest);
        let known = self.others.contains_key(&digest.from);
        let mut answer = self.answer(digest.full || !known);
        self.add_doubt(&mut answer, |rumor| rumor.record.name == digest.from);
        answer
    }

    /// Takes in the answer to a message.
    pub fn on_reply(&mut self, now: MonoTime, digest: &Digest) {
        self.take_in(now, digest);
        let Some(rumor) = self.others.get_mut(&digest.from) else {
            return;
        };
        rumor.failures = 0;
        if rumor.record.state == MemberState::Suspect {
            // It answered, and its answer carries a newer record of itself.
            self.next_at = now;
        }
    }

    /// Takes in that a process gave no answer; it is asked again before it is suspected.
    pub fn on_failure(&mut self, now: MonoTime, name: &NodeName) {
        let Some(rumor) = self.others.get_mut(name) else {
            return;
        };
        rumor.failures += 1;
        if rumor.failures < Self::FAILURES_MAX {
            self.ask_again.push(name.clone());
            return;
        }
        match rumor.record.state {
            MemberState::Starting | MemberState::Live | MemberState::Leaving => {
                let record = MemberRecord { state: MemberState::Suspect, ..rumor.record.clone() };
                self.merge(now, record);
            }
            MemberState::Suspect | MemberState::Gone => {}
        }
    }

    fn changed(&mut self, urgent: bool) {
        self.me.sequence += 1;
        self.my_sends_left = self.sends();
        self.urgent |= urgent;
    }

    fn publish_report(&mut self, now: MonoTime) {
        let every_ms = Self::REPORT_MS_PER_MEMBER * (self.others.len() as u64 + 1);
        let due = now.ms_since(self.reported_at) >= every_ms.max(Self::REPORT_MIN_MS);
        if !due || self.report.is_none() || self.report == self.me.replica {
            return;
        }
        self.me.replica = self.report.clone();
        self.reported_at = now;
        self.changed(false);
    }

    /// Returns the number of messages that news goes into, enough to reach all with high odds.
    fn sends(&self) -> u32 {
        let members = self.others.len() as u32 + 2;
        3 * (u32::BITS - members.leading_zeros())
    }

    fn jittered_ms(&mut self) -> u64 {
        let gossip_interval_ms = self.settings.gossip_interval_ms.max(1);
        gossip_interval_ms * 3 / 4 + self.rng.random_range(0..=gossip_interval_ms / 2)
    }

    fn take_in(&mut self, now: MonoTime, digest: &Digest) {
        for record in &digest.records {
            self.merge(now, record.clone());
        }
        if digest.config_version > self.me.config_version {
            let address = self.others.get(&digest.from).map(|rumor| rumor.record.address.clone());
            let version = digest.config_version;
            self.events.push(MemberEvent::NewerConfig { version, address });
        }
    }

    fn merge(&mut self, now: MonoTime, record: MemberRecord) {
        if record.name == self.me.name {
            self.refute(&record);
            return;
        }
        let known = self.others.get(&record.name);
        if known.is_some_and(|rumor| !record.is_newer(&rumor.record)) {
            return;
        }

        let state_changed = known.is_none_or(|rumor| rumor.record.state != record.state);
        if record.config_version > self.me.config_version && record.state == MemberState::Live {
            let (version, address) = (record.config_version, Some(record.address.clone()));
            self.events.push(MemberEvent::NewerConfig { version, address });
        }
        let newer_config =
            known.is_some_and(|rumor| record.config_version > rumor.record.config_version);
        let news = state_changed && record.state >= MemberState::Leaving;
        self.urgent |= news || (newer_config && record.config_version > self.me.config_version);

        let since = match known {
            Some(rumor) if !state_changed => rumor.since,
            Some(_) | None => now,
        };
        let failures = known.map_or(0, |rumor| rumor.failures);
        let rumor =
            Rumor { failures, is_news: news, ..Rumor::new(record.clone(), self.sends(), since) };
        self.others.insert(record.name.clone(), rumor);
        self.events.push(MemberEvent::Changed(Box::new(record)));
    }

    /// Speaks up against news that this process is suspected or gone.
    ///
    /// A newer incarnation is another process with the same name, which has taken its place.
    fn refute(&mut self, record: &MemberRecord) {
        if record.incarnation > self.me.incarnation {
            self.events.push(MemberEvent::Superseded);
            return;
        }
        let wrong = record.state != self.me.state && record.sequence >= self.me.sequence;
        if record.incarnation == self.me.incarnation && wrong {
            self.me.sequence = record.sequence;
            self.changed(true);
        }
    }

    fn age(&mut self, now: MonoTime) {
        let suspicion_timeout_ms = self.settings.suspicion_timeout_ms;
        let silent: Vec<_> = self
            .others
            .values()
            .filter(|rumor| rumor.record.state == MemberState::Suspect)
            .filter(|rumor| now.ms_since(rumor.since) >= suspicion_timeout_ms)
            .map(|rumor| MemberRecord { state: MemberState::Gone, ..rumor.record.clone() })
            .collect();
        for record in silent {
            self.merge(now, record);
        }
        self.others.retain(|_, rumor| {
            rumor.is_reachable() || now.ms_since(rumor.since) < Self::TOMBSTONE_MS
        });
    }
}
