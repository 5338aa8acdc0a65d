//! The start and the end of an agent's calls.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_store::Ownership;

use super::Agent;
use super::AgentAction;
use super::Call;
use super::Priority;
use super::Waiting;
use crate::AttemptEventKind;

impl Agent {
    /// Hands waiting requests to the backend server while it has room.
    pub(super) fn start_calls(&mut self, now: MonoTime) {
        if self.ownership == Ownership::Lost {
            return;
        }
        while let Some(waiting) = self.next_call() {
            self.start(now, waiting);
        }
    }

    pub(super) fn next_call(&mut self) -> Option<Waiting> {
        let batch = self.settings.batch_limit;
        let room = self.calls.len() < batch;
        // Calls that only fill gaps are paused by the engine while others need their places.
        let firm = self.calls.len() - self.filling;
        let room_in_share =
            room || (firm < batch && self.filling > 0 && self.calls.len() < batch * 2);
        let room_for_key = room_in_share
            || (self.running_key < batch
                && self.calls.len() < batch + self.settings.key_account_overcommit + self.filling);
        if !room_for_key {
            return None;
        }

        let key = self.slots.first_startable(&self.queue, Class::KeyAccount, !room);
        let routine = if room_in_share {
            self.slots.first_startable(&self.queue, Class::Routine, !room)
        } else {
            None
        };
        let place = match (key, routine) {
            (Some(key), Some(routine)) => {
                // Routine work ages: it takes every few starts, however much key work waits.
                if self.key_streak >= Self::KEY_STREAK_MAX {
                    self.key_streak = 0;
                    routine
                } else {
                    self.key_streak += 1;
                    key
                }
            }
            (Some(place), None) => place,
            (None, Some(place)) => {
                self.key_streak = 0;
                place
            }
            (None, None) => return None,
        };
        self.queue.take(&place)
    }

    pub(super) fn start(&mut self, now: MonoTime, waiting: Waiting) {
        let offer = waiting.offer;
        let mut load_stall_ms = 0;
        if let Some(adapter) = offer.target.adapter() {
            load_stall_ms = self.slots.enter(adapter, now, offer.arrived_at);
        }
        if offer.class == Class::KeyAccount {
            self.running_key += 1;
        }

        let attempt = offer.attempt.clone();
        let over_share = waiting.over_share && self.settings.slot_limit > 0;
        self.filling += usize::from(over_share);
        let call = Call {
            target: offer.target,
            class: offer.class,
            started: now,
            sequence: 0,
            cancelled: false,
            over_share,
        };
        self.calls.insert(attempt.clone(), call);
        self.actions.push(AgentAction::Call {
            attempt: attempt.clone(),
            priority: Priority::of(offer.class, over_share),
            fence: self.ownership.fence(),
        });
        let queue_wait_ms = now.ms_since(offer.arrived_at);
        self.emit_call(&attempt, AttemptEventKind::Started { load_stall_ms, queue_wait_ms });
    }

    pub(super) fn end(&mut self, now: MonoTime, attempt: &AttemptId, kind: AttemptEventKind) {
        let refused = matches!(kind, AttemptEventKind::Refused { .. });
        self.emit_call(attempt, kind);
        let Some(call) = self.calls.remove(attempt) else {
            return;
        };
        if call.class == Class::KeyAccount {
            self.running_key -= 1;
        }
        self.filling -= usize::from(call.over_share);
        if let Some(adapter) = call.target.adapter() {
            self.slots.leave(adapter, now);
            if refused {
                // The engine has not what this agent thought, so nothing more is called there
                // until its own list has been read.
                self.slots.doubt(adapter);
                self.actions.push(AgentAction::ListAdapters);
            }
        }
        if !call.cancelled {
            self.call_ms.add(now.ms_since(call.started) as f64);
        }
    }

    /// Tells the entry of a broken stream; the slot stays in use until the call has ended.
    pub(super) fn broken(&mut self, attempt: &AttemptId, fault: Fault, resumable: bool) {
        self.emit_call(attempt, AttemptEventKind::Broken { fault, resumable });
        if let Some(call) = self.calls.get_mut(attempt) {
            call.cancelled = true;
        }
    }
}
