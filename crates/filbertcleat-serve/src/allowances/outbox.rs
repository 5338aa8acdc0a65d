//! What the ledgers of workspaces have decided and want to send.

use std::net::IpAddr;

use filbertcleat_base::MonoTime;

use super::AllowanceCharge;
use super::AllowanceMessage;
use super::AllowanceRefusal;
use super::AllowanceTicket;
use super::charge::Holding;
use super::returns::Returns;

/// What the ledgers of workspaces have decided and want to send.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    /// The id of the entry's incarnation.
    pub entry: u32,
    pub window_ms: u64,
    pub list_version: u64,
    pub messages: Vec<(IpAddr, AllowanceMessage)>,
    pub settled: Vec<(AllowanceTicket, Result<AllowanceCharge, AllowanceRefusal>)>,
    sequence: u32,
    returns: Returns,
}

impl Outbox {
    /// Creates an empty outbox.
    pub fn new(entry: u32, window_ms: u64) -> Self {
        Self {
            entry,
            window_ms,
            list_version: 0,
            messages: Vec::new(),
            settled: Vec::new(),
            sequence: 0,
            returns: Returns::default(),
        }
    }

    /// Returns the number of the next request.
    pub fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Returns tokens to their agent, unless it has forgotten the grant.
    pub fn give_back(&mut self, now: MonoTime, workspace: u64, holding: &Holding) {
        self.returns.expire(now, self.window_ms);
        if holding.amount == 0 || now.ms_since(holding.requested_at) > self.window_ms {
            return;
        }
        self.messages.push(self.returns.add(self.entry, workspace, holding));
    }
}
