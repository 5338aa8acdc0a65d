//! Dispatch of queued requests to the engine, and the end of calls.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_store::Ownership;

use super::Agent;
use super::AgentAction;
use super::Call;
use super::Priority;
use super::QueuedRequest;
use crate::AttemptEventKind;

impl Agent {
    /// Starts queued requests while the engine's batch has free capacity.
    pub(super) fn start_calls(&mut self, now: MonoTime) {
        if self.ownership == Ownership::Lost {
            return;
        }
        while let Some(queued) = self.next_call() {
            self.start_call(now, queued);
        }
    }

    /// Removes the next request to start from the queue.
    ///
    /// Requests within their adapter's share may start beyond the batch limit while backfill calls
    /// run, since the engine preempts those. Key-account requests may in addition use the
    /// overcommit of the settings.
    pub(super) fn next_call(&mut self) -> Option<QueuedRequest> {
        let batch_limit = self.settings.batch_limit;
        let has_room = self.calls.len() < batch_limit;
        // The engine pauses backfill calls while other calls need their batch slots.
        let in_share_calls = self.calls.len() - self.backfill_calls;
        let has_room_in_share = has_room
            || (in_share_calls < batch_limit
                && self.backfill_calls > 0
                && self.calls.len() < batch_limit * 2);
        let has_room_for_key_account = has_room_in_share
            || (self.key_account_calls < batch_limit
                && self.calls.len()
                    < batch_limit + self.settings.key_account_overcommit + self.backfill_calls);
        if !has_room_for_key_account {
            return None;
        }

        let key_account = self.slots.first_startable(&self.queue, Class::KeyAccount, !has_room);
        let routine = if has_room_in_share {
            self.slots.first_startable(&self.queue, Class::Routine, !has_room)
        } else {
            None
        };
        let position = match (key_account, routine) {
            (Some(key_account), Some(routine)) => {
                // Routine requests are not starved: one starts after a bounded streak of
                // key-account starts.
                if self.key_account_streak >= Self::KEY_ACCOUNT_STREAK_MAX {
                    self.key_account_streak = 0;
                    routine
                } else {
                    self.key_account_streak += 1;
                    key_account
                }
            }
            (Some(position), None) => position,
            (None, Some(position)) => {
                self.key_account_streak = 0;
                position
            }
            (None, None) => return None,
        };
        self.queue.take(&position)
    }

    /// Hands a request to the engine and reports its waiting times to the entry.
    pub(super) fn start_call(&mut self, now: MonoTime, queued: QueuedRequest) {
        let request = queued.request;
        let mut load_stall_ms = 0;
        if let Some(adapter) = request.target.adapter() {
            load_stall_ms = self.slots.begin_call(adapter, now, request.arrived_at);
        }
        if request.class == Class::KeyAccount {
            self.key_account_calls += 1;
        }

        let attempt = request.attempt.clone();
        let over_share = queued.over_share && self.settings.slot_limit > 0;
        self.backfill_calls += usize::from(over_share);
        let call = Call {
            target: request.target,
            class: request.class,
            started_at: now,
            next_sequence: 0,
            cancelled: false,
            over_share,
        };
        self.calls.insert(attempt.clone(), call);
        self.actions.push(AgentAction::Call {
            attempt: attempt.clone(),
            priority: Priority::of(request.class, over_share),
            fence: self.ownership.fence(),
        });
        let queue_wait_ms = now.ms_since(request.arrived_at);
        self.send_call_event(&attempt, AttemptEventKind::Started { load_stall_ms, queue_wait_ms });
    }

    /// Removes a call that the engine no longer runs, and frees its batch slot.
    pub(super) fn call_ended(
        &mut self,
        now: MonoTime,
        attempt: &AttemptId,
        kind: AttemptEventKind,
    ) {
        let refused = matches!(kind, AttemptEventKind::Refused { .. });
        self.send_call_event(attempt, kind);
        let Some(call) = self.calls.remove(attempt) else {
            return;
        };
        if call.class == Class::KeyAccount {
            self.key_account_calls -= 1;
        }
        self.backfill_calls -= usize::from(call.over_share);
        if let Some(adapter) = call.target.adapter() {
            self.slots.end_call(adapter, now);
            if refused {
                // The engine does not hold the adapter that this agent recorded, so no further
                // calls go to the slot until the engine has listed its adapters.
                self.slots.mark_unknown(adapter);
                self.actions.push(AgentAction::ListAdapters);
            }
        }
        if !call.cancelled {
            self.mean_call_ms.record(now.ms_since(call.started_at) as f64);
        }
    }

    /// Reports a broken stream to the entry; the call counts as running until it has ended.
    pub(super) fn stream_broken(&mut self, attempt: &AttemptId, fault: Fault, resumable: bool) {
        self.send_call_event(attempt, AttemptEventKind::Broken { fault, resumable });
        if let Some(call) = self.calls.get_mut(attempt) {
            call.cancelled = true;
        }
    }
}
