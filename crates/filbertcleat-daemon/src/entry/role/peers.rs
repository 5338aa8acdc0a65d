//! Queries of the membership.

use filbertcleat_base::NodeName;
use filbertcleat_config::Role;
use filbertcleat_member::MemberRecord;
use filbertcleat_member::MemberState;

use super::ProcessInfo;
use crate::node::Node;

/// Returns whether the process incarnation `holder` (`name#incarnation`) is still running.
pub(super) fn is_running(node: &Node, holder: &NodeName) -> bool {
    let Some((name, incarnation)) = holder.as_str().rsplit_once('#') else {
        return false;
    };
    let record = node.members.record(&NodeName::new(name));
    record.is_some_and(|record| {
        record.incarnation.to_string() == incarnation && record.state != MemberState::Gone
    })
}

/// Returns the processes that are not known to be gone.
pub(super) fn processes(node: &Node) -> Vec<ProcessInfo> {
    let all = [node.members.local()].into_iter().chain(node.members.peers());
    all.filter(|record| record.state != MemberState::Gone)
        .map(|record| ProcessInfo {
            name: record.name.clone(),
            address: record.address.clone(),
            state: record.state.as_str(),
        })
        .collect()
}

/// Returns the number of live entries, counting this one.
pub(super) fn live_entries(node: &Node) -> usize {
    let peers = node.members.peers();
    let is_entry =
        |record: &&MemberRecord| record.role == Role::Entry && record.state == MemberState::Live;
    peers.filter(is_entry).count() + 1
}
