//! The choice of peers and of what they are told.

use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use super::Membership;
use crate::Digest;
use crate::MemberState;
use crate::OutgoingDigest;
use crate::rumor::Rumor;

impl Membership {
    pub(super) fn exchange(&mut self, now: MonoTime) -> Vec<OutgoingDigest> {
        let mut actions = Vec::new();
        let full = now >= self.next_full_at;
        let alone = self.others.is_empty();
        let members = self.others.len() as u32 + 1;
        // Contacts are few, so each process asks them the more rarely the more processes there are.
        let share = Self::CONTACT_SHARE.max(members);
        if (alone || self.rng.random_ratio(1, share))
            && let Some(address) = self.contact()
        {
            // Whoever is asked by a stranger answers with all it knows.
            actions.push(self.message(None, address, alone));
        }
        if let Some((name, address)) = self.next_in_round() {
            if full {
                let crowd = u64::from(members.div_ceil(Self::FULL_CROWD));
                self.next_full_at = now.plus_ms(self.settings.full_sync_interval_ms * crowd);
            }
            actions.push(self.message(Some(name), address, full));
        }
        if let Some((name, address)) = self.suspect() {
            actions.push(self.message(Some(name), address, false));
        }
        actions
    }

    /// Returns an address besides the known processes, or that of a process thought gone.
    pub(super) fn contact(&mut self) -> Option<String> {
        let gone = self.others.values().filter(|rumor| !rumor.is_reachable());
        let mut list: Vec<_> = gone.map(|rumor| rumor.record.address.clone()).collect();
        list.extend(self.contacts.iter().cloned());
        list.retain(|address| *address != self.me.address);
        list.choose(&mut self.rng).cloned()
    }

    /// Returns each process once before any comes again.
    pub(super) fn next_in_round(&mut self) -> Option<(NodeName, String)> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if let Some(rumor) = self.others.get(&name).filter(|rumor| rumor.is_reachable()) {
                    return Some((name, rumor.record.address.clone()));
                }
            }
            let reachable = self.others.iter().filter(|(_, rumor)| rumor.is_reachable());
            self.round = reachable.map(|(name, _)| name.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    /// Returns a suspected process, so that it can answer for itself.
    ///
    /// In a large system only a few of all that heard of the suspicion ask.
    pub(super) fn suspect(&mut self) -> Option<(NodeName, String)> {
        let members = self.others.len() as u32 + 1;
        let suspects: Vec<_> = self
            .others
            .iter()
            .filter(|(_, rumor)| rumor.record.state == MemberState::Suspect)
            .map(|(name, rumor)| (name.clone(), rumor.record.address.clone()))
            .collect();
        let asks = members <= 8 || self.rng.random_ratio(8, members);
        if asks { suspects.choose(&mut self.rng).cloned() } else { None }
    }

    pub(super) fn random_peers(&mut self, count: usize) -> Vec<(NodeName, String)> {
        let peers: Vec<_> = self
            .others
            .iter()
            .filter(|(_, rumor)| rumor.is_reachable())
            .map(|(name, rumor)| (name.clone(), rumor.record.address.clone()))
            .collect();
        peers.choose_multiple(&mut self.rng, count).cloned().collect()
    }

    pub(super) fn message(
        &mut self,
        to: Option<NodeName>,
        address: String,
        full: bool,
    ) -> OutgoingDigest {
        let mut digest = self.answer(full);
        digest.full = full;
        self.add_doubt(&mut digest, |rumor| rumor.record.address == address);
        OutgoingDigest { to, address, digest }
    }

    /// Adds what is held against the receiver, so that it can speak up.
    pub(super) fn add_doubt(&self, digest: &mut Digest, is_receiver: impl Fn(&Rumor) -> bool) {
        let doubted = self
            .others
            .values()
            .find(|rumor| rumor.record.state >= MemberState::Suspect && is_receiver(rumor));
        if let Some(rumor) = doubted
            && !digest.records.contains(&rumor.record)
        {
            digest.records.push(rumor.record.clone());
        }
    }

    /// Chooses the records for a message: all, or those that were passed on least.
    pub(super) fn answer(&mut self, full: bool) -> Digest {
        let mut records = vec![self.me.clone()];
        if full {
            records.extend(self.peers().cloned());
        } else {
            self.my_sends_left = self.my_sends_left.saturating_sub(1);
            let mut room_bytes =
                self.settings.message_max_bytes.saturating_sub(self.me.size_bytes());
            let mut fresh: Vec<_> =
                self.others.values_mut().filter(|rumor| rumor.sends_left > 0).collect();
            fresh.sort_by_key(|rumor| std::cmp::Reverse((rumor.is_news, rumor.sends_left)));
            for rumor in fresh {
                let size_bytes = rumor.record.size_bytes();
                if size_bytes > room_bytes {
                    break;
                }
                room_bytes -= size_bytes;
                rumor.sends_left -= 1;
                records.push(rumor.record.clone());
            }
        }
        let config_version = self.me.config_version;
        Digest { from: self.me.name.clone(), records, config_version, full: false }
    }
}
