//! Selection of the peers to contact and of the records to send.

use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use super::Membership;
use crate::Digest;
use crate::MemberState;
use crate::OutgoingDigest;
use crate::peer::Peer;

impl Membership {
    pub(super) fn exchange(&mut self, now: MonoTime) -> Vec<OutgoingDigest> {
        let mut messages = Vec::new();
        let full = now >= self.next_full_sync_at;
        let alone = self.peers.is_empty();
        let members = self.peers.len() as u32 + 1;
        // There are few seed addresses, so each process contacts them less often in larger
        // clusters.
        let ratio = Self::SEED_EXCHANGE_RATIO.max(members);
        if (alone || self.rng.random_ratio(1, ratio))
            && let Some(address) = self.random_seed()
        {
            // A process that doesn't know the sender answers with all its records.
            messages.push(self.outgoing_digest(None, address, alone));
        }
        if let Some((name, address)) = self.next_round_robin() {
            if full {
                let factor = u64::from(members.div_ceil(Self::FULL_SYNC_MEMBERS));
                self.next_full_sync_at = now.plus_ms(self.settings.full_sync_interval_ms * factor);
            }
            messages.push(self.outgoing_digest(Some(name), address, full));
        }
        if let Some((name, address)) = self.random_suspect() {
            messages.push(self.outgoing_digest(Some(name), address, false));
        }
        messages
    }

    /// Returns a random address among the seeds and the processes that count as gone.
    pub(super) fn random_seed(&mut self) -> Option<String> {
        let gone = self.peers.values().filter(|peer| !peer.is_reachable());
        let mut list: Vec<_> = gone.map(|peer| peer.record.address.clone()).collect();
        list.extend(self.seeds.iter().cloned());
        list.retain(|address| *address != self.local.address);
        list.choose(&mut self.rng).cloned()
    }

    /// Returns the next reachable peer in a shuffled round-robin order.
    pub(super) fn next_round_robin(&mut self) -> Option<(NodeName, String)> {
        for _ in 0..2 {
            while let Some(name) = self.round_robin.pop() {
                if let Some(peer) = self.peers.get(&name).filter(|peer| peer.is_reachable()) {
                    return Some((name, peer.record.address.clone()));
                }
            }
            let reachable = self.peers.iter().filter(|(_, peer)| peer.is_reachable());
            self.round_robin = reachable.map(|(name, _)| name.clone()).collect();
            self.round_robin.shuffle(&mut self.rng);
        }
        None
    }

    /// Returns a random suspected process, which can then refute the suspicion.
    ///
    /// In larger clusters, about 8 of the processes contact a suspect per interval.
    pub(super) fn random_suspect(&mut self) -> Option<(NodeName, String)> {
        let members = self.peers.len() as u32 + 1;
        let suspects: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.record.state == MemberState::Suspect)
            .map(|(name, peer)| (name.clone(), peer.record.address.clone()))
            .collect();
        let contacts = members <= 8 || self.rng.random_ratio(8, members);
        if contacts { suspects.choose(&mut self.rng).cloned() } else { None }
    }

    pub(super) fn random_peers(&mut self, count: usize) -> Vec<(NodeName, String)> {
        let peers: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_reachable())
            .map(|(name, peer)| (name.clone(), peer.record.address.clone()))
            .collect();
        peers.choose_multiple(&mut self.rng, count).cloned().collect()
    }

    pub(super) fn outgoing_digest(
        &mut self,
        to: Option<NodeName>,
        address: String,
        full: bool,
    ) -> OutgoingDigest {
        let mut digest = self.digest(full);
        digest.full = full;
        self.add_accusation(&mut digest, |peer| peer.record.address == address);
        OutgoingDigest { to, address, digest }
    }

    /// Adds the receiver's record if it counts as suspected or gone, so that it can refute it.
    pub(super) fn add_accusation(&self, digest: &mut Digest, is_receiver: impl Fn(&Peer) -> bool) {
        let accused = self
            .peers
            .values()
            .find(|peer| peer.record.state >= MemberState::Suspect && is_receiver(peer));
        if let Some(peer) = accused
            && !digest.records.contains(&peer.record)
        {
            digest.records.push(peer.record.clone());
        }
    }

    /// Creates a digest with all records, or with the local record and the records that were sent
    /// least often, urgent ones first, up to the size limit.
    pub(super) fn digest(&mut self, full: bool) -> Digest {
        let mut records = vec![self.local.clone()];
        if full {
            records.extend(self.peers().cloned());
        } else {
            self.local_transmits_left = self.local_transmits_left.saturating_sub(1);
            let mut free_bytes =
                self.settings.message_max_bytes.saturating_sub(self.local.size_bytes());
            let mut pending: Vec<_> =
                self.peers.values_mut().filter(|peer| peer.transmits_left > 0).collect();
            pending.sort_by_key(|peer| std::cmp::Reverse((peer.is_urgent, peer.transmits_left)));
            for peer in pending {
                let size_bytes = peer.record.size_bytes();
                if size_bytes > free_bytes {
                    break;
                }
                free_bytes -= size_bytes;
                peer.transmits_left -= 1;
                records.push(peer.record.clone());
            }
        }
        let config_version = self.local.config_version;
        Digest { from: self.local.name.clone(), records, config_version, full: false }
    }
}
