//! Queries of the engine's state, and the stream to the load coordinator.

use filbertcleat_base::MonoTime;
use filbertcleat_member::MemberState;
use filbertcleat_operate::EventKind;
use filbertcleat_platform::AdapterListing;
use filbertcleat_platform::EngineStats;
use filbertcleat_policy::AgentAction;
use filbertcleat_policy::AgentInput;
use filbertcleat_policy::EngineState;
use filbertcleat_policy::LoadRequest;
use filbertcleat_policy::LoadedAdapter;

use super::AgentRole;
use super::order;
use crate::load_permits::LoadPermitClient;
use crate::node::Node;

impl AgentRole {
    /// Starts the queries of the engine that are due.
    pub(super) fn poll_engine(&mut self, node: &Node, now: MonoTime) {
        if now >= self.next_stats_at {
            self.next_stats_at = now.plus_ms(Self::ENGINE_POLL_INTERVAL_MS);
            tokio::spawn(order::read_engine_stats(self.engine.clone(), node.loop_sender.clone()));
        }
        if !self.adapters_known && now >= self.next_listing_at {
            self.list_adapters(node);
        }
    }

    /// Queries the engine's loaded adapters, unless a query is in progress.
    pub(super) fn list_adapters(&mut self, node: &Node) {
        if !std::mem::replace(&mut self.listing_adapters, true) {
            self.next_listing_at = node.now().plus_ms(Self::ENGINE_POLL_INTERVAL_MS);
            tokio::spawn(order::list_adapters(self.engine.clone(), node.loop_sender.clone()));
        }
    }

    /// Applies the engine's answer to a query of its adapters; `None` is a failed query.
    pub(super) fn apply_adapter_list(&mut self, node: &mut Node, listing: Option<AdapterListing>) {
        self.listing_adapters = false;
        let Some(listing) = listing else {
            // The content of the slots is unknown until the engine answers.
            self.adapters_known = false;
            return;
        };
        self.adapters_known = true;
        self.engine_epoch = Some(listing.epoch);
        let adapters = listing
            .adapters
            .into_iter()
            .map(|loaded| LoadedAdapter { adapter: loaded.adapter, running_calls: loaded.running })
            .collect();
        self.handle_input(
            node,
            AgentInput::EngineListed(EngineState { epoch: listing.epoch, adapters }),
        );
    }

    /// Applies the engine's statistics; `None` is a failed query.
    pub(super) fn apply_engine_stats(&mut self, node: &mut Node, stats: Option<EngineStats>) {
        let was_ready = self.is_ready();
        match stats {
            Some(stats) => {
                self.failed_stats_queries = 0;
                if self.engine_epoch != Some(stats.epoch) {
                    self.list_adapters(node);
                    self.reported_steps = 0;
                    self.reported_batched_calls = 0;
                }
                let steps = stats.steps.saturating_sub(self.reported_steps);
                let batched_calls = stats.batched_calls.saturating_sub(self.reported_batched_calls);
                self.reported_steps = stats.steps;
                self.reported_batched_calls = stats.batched_calls;
                node.metrics.count("engine.steps", steps);
                node.metrics.count("engine.step_places", batched_calls);
                let call_capacity = steps * self.backend.batch_limit as u64;
                if let Some(percent) = (batched_calls * 100).checked_div(call_capacity) {
                    node.metrics.gauge("batch_efficiency_percent", percent);
                }
            }
            None => self.failed_stats_queries = self.failed_stats_queries.saturating_add(1),
        }
        if was_ready != self.is_ready() {
            let reachability = if self.is_ready() { "up" } else { "down" };
            node.record_event(EventKind::Engine, None, format!("state={reachability}"));
        }
        if self.failed_stats_queries >= Self::FAILED_STATS_QUERIES_MAX
            && node.members.local().state == MemberState::Live
        {
            node.members.set_state(MemberState::Starting);
        }
    }

    /// Opens a stream to the current load coordinator, unless one is open.
    pub(super) fn follow_coordinator(&mut self, node: &Node) {
        let coordinator = node.load_coordinator();
        if self.load_permits.as_ref().map(|client| &client.coordinator) == coordinator.as_ref() {
            return;
        }
        self.load_permits = coordinator.and_then(|coordinator| {
            let address = node.address(&coordinator)?;
            Some(LoadPermitClient::open(&node.peers, coordinator, &address, &node.loop_sender))
        });
    }

    /// Sends load requests to the coordinator, and releases the permit `released_grant` (0: none).
    pub(super) fn send_load_requests(
        &mut self,
        node: &mut Node,
        requests: &[LoadRequest],
        released_grant: u64,
    ) {
        let sent = self
            .load_permits
            .as_ref()
            .is_some_and(|client| client.send(node.name(), requests, released_grant));
        if !sent {
            self.load_permits = None;
            let now = node.now();
            // The next plan takes the lost coordinator into account. The requests that result now
            // can't be sent either, so they are dropped.
            let actions = self.state_machine.handle(now, AgentInput::CoordinatorLost);
            for action in actions {
                if !matches!(
                    action,
                    AgentAction::RequestLoads { .. } | AgentAction::ReleasePermit { .. }
                ) {
                    self.execute(node, action);
                }
            }
        }
    }
}
