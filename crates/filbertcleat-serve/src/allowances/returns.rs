//! The tokens that an entry returns to agents.

use std::collections::BTreeMap;
use std::net::IpAddr;

use filbertcleat_base::MonoTime;

use super::AllowanceMessage;
use super::AllowanceReturn;
use super::charge::Holding;

/// The tokens that an entry has returned to agents, by the grant that they came from.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    returned: BTreeMap<u32, (MonoTime, u64)>,
}

impl Returns {
    /// Returns the message that returns tokens of a grant.
    pub fn add(
        &mut self,
        entry: u32,
        workspace: u64,
        given: &Holding,
    ) -> (IpAddr, AllowanceMessage) {
        let Holding { bucket, holder, agent, sequence, requested_at, amount } = *given;
        let (_, returned) = self.returned.entry(sequence).or_insert((requested_at, 0));
        *returned += amount;
        let returned = *returned;
        let message = AllowanceReturn { workspace, bucket, entry, agent, sequence, returned };
        (holder, AllowanceMessage::Return(message))
    }

    /// Forgets grants from before a window, which agents have forgotten too.
    pub fn expire(&mut self, now: MonoTime, window_ms: u64) {
        self.returned.retain(|_, (requested_at, _)| now.ms_since(*requested_at) <= window_ms);
    }
}
