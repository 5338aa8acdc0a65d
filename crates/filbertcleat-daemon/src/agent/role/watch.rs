//! What the agent learns of its engine and its keeper.

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
use crate::node::Node;
use crate::turns::TurnStream;

impl AgentRole {
    pub(super) fn watch_engine(&mut self, node: &Node, now: MonoTime) {
        if now >= self.next_report_at {
            self.next_report_at = now.plus_ms(Self::REPORT_EVERY_MS);
            tokio::spawn(order::report(self.engine.clone(), node.inputs.clone()));
        }
        if !self.listed && now >= self.next_inspect_at {
            self.inspect(node);
        }
    }

    pub(super) fn inspect(&mut self, node: &Node) {
        if !std::mem::replace(&mut self.inspecting, true) {
            self.next_inspect_at = node.now().plus_ms(Self::REPORT_EVERY_MS);
            tokio::spawn(order::inspect(self.engine.clone(), node.inputs.clone()));
        }
    }

    pub(super) fn listing(&mut self, node: &mut Node, listing: Option<AdapterListing>) {
        self.inspecting = false;
        let Some(listing) = listing else {
            // The slots are unsure until the engine has answered.
            self.listed = false;
            return;
        };
        self.listed = true;
        self.epoch = Some(listing.epoch);
        let resident = listing
            .adapters
            .into_iter()
            .map(|held| LoadedAdapter { adapter: held.adapter, running_calls: held.running })
            .collect();
        self.decide(
            node,
            AgentInput::EngineListed(EngineState { epoch: listing.epoch, adapters: resident }),
        );
    }

    pub(super) fn report(&mut self, node: &mut Node, report: Option<EngineStats>) {
        let was_ready = self.is_ready();
        match report {
            Some(report) => {
                self.silent_reports = 0;
                if self.epoch != Some(report.epoch) {
                    self.inspect(node);
                    self.steps = 0;
                    self.step_places = 0;
                }
                let steps = report.steps.saturating_sub(self.steps);
                let places = report.batched_calls.saturating_sub(self.step_places);
                self.steps = report.steps;
                self.step_places = report.batched_calls;
                node.metrics.count("engine.steps", steps);
                node.metrics.count("engine.step_places", places);
                let whole = steps * self.backend.batch_limit as u64;
                if let Some(percent) = (places * 100).checked_div(whole) {
                    node.metrics.gauge("batch_efficiency_percent", percent);
                }
            }
            None => self.silent_reports = self.silent_reports.saturating_add(1),
        }
        if was_ready != self.is_ready() {
            let state = if self.is_ready() { "up" } else { "down" };
            node.note(EventKind::Engine, None, format!("state={state}"));
        }
        if self.silent_reports >= Self::SILENT_REPORTS_MAX
            && node.members.local().state == MemberState::Live
        {
            node.members.set_state(MemberState::Starting);
        }
    }

    /// Keeps a stream to the process whose keeper gives the turns.
    pub(super) fn follow_keeper(&mut self, node: &Node) {
        let keeper = node.keeper();
        if self.turns.as_ref().map(|turns| &turns.keeper) == keeper.as_ref() {
            return;
        }
        self.turns = keeper.and_then(|keeper| {
            let address = node.address(&keeper)?;
            Some(TurnStream::open(&node.peers, keeper, &address, &node.inputs))
        });
    }

    pub(super) fn ask_keeper(&mut self, node: &mut Node, wants: &[LoadRequest], done: u64) {
        self.asked_done = self.asked_done.max(done);
        let sent = self.turns.as_ref().is_some_and(|turns| turns.send(node.name(), wants, done));
        if !sent {
            self.turns = None;
            let now = node.now();
            // No keeper can be asked, which the next plan takes into account.
            let actions = self.core.handle(now, AgentInput::CoordinatorLost);
            for action in actions {
                if !matches!(
                    action,
                    AgentAction::RequestLoads { .. } | AgentAction::ReleasePermit { .. }
                ) {
                    self.act(node, action);
                }
            }
        }
    }
}
