//! A request that waits for an engine.

use filbertcleat_base::MonoTime;

use super::FlowId;
use super::RequestQueue;
use super::RequestTimes;
use super::WaitCause;
use crate::Fleet;
use crate::RequestDemand;
use crate::ServerId;

/// A request that waits for an engine, and what it waits for.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub demand: RequestDemand,
    /// The flow in which the request takes its share.
    pub flow: FlowId,
    /// The position in the order of the last pass.
    pub rank: usize,
    pub queued_at: MonoTime,
    pub times: RequestTimes,
    pub avoided: Vec<ServerId>,
    /// The servers whose loads the request has given up. It may be sent to them once they have the
    /// adapter.
    pub slow_loaders: Vec<ServerId>,
    /// The server that is to load the adapter, and when the request began to wait for it.
    pub awaited_load: Option<(ServerId, MonoTime)>,
    pub cause: WaitCause,
    /// The server that has capacity for the request, and when the request may be sent to it.
    pub jitter: Option<(ServerId, MonoTime)>,
}

impl QueuedRequest {
    /// Returns whether a request that found capacity may be sent now. A request that has waited is
    /// sent only after `jitter_ms`, counted from when it first found capacity at this server.
    pub fn may_send(&mut self, now: MonoTime, server: &ServerId, jitter_ms: u64) -> bool {
        if self.cause == WaitCause::Pending {
            return true;
        }
        match &self.jitter {
            Some((chosen, until)) if chosen == server => now >= *until,
            _ => {
                self.jitter = Some((server.clone(), now.plus_ms(jitter_ms)));
                jitter_ms == 0
            }
        }
    }

    /// Returns whether the request waits for capacity that others use, or has found some and waits
    /// out its jitter.
    pub fn awaits_capacity(&self) -> bool {
        match self.cause {
            WaitCause::Capacity => true,
            WaitCause::AdapterLoad => self.jitter.is_some(),
            WaitCause::Pending | WaitCause::Engine | WaitCause::Paused => false,
        }
    }

    /// Returns whether the request waits for a backend server to load its adapter.
    pub fn awaits_load(&self, server: &ServerId) -> bool {
        self.awaited_load.as_ref().is_some_and(|(loader, _)| loader == server)
    }

    /// Returns whether the awaited load takes too long, or its server is lost.
    pub fn is_load_stuck(&self, now: MonoTime, fleet: &Fleet) -> bool {
        self.awaited_load.as_ref().is_some_and(|(loader, since)| {
            let is_lost = fleet
                .server(loader)
                .is_none_or(|server| !server.is_usable(now) || server.fresh_update(now).is_none());
            is_lost || now.ms_since(*since) > RequestQueue::LOAD_TIMEOUT_MS
        })
    }

    /// Stops waiting for the current load, and awaits none of its server from now on.
    pub fn give_up_load(&mut self) {
        if let Some((loader, _)) = self.awaited_load.take() {
            self.slow_loaders.push(loader);
        }
    }
}
