//! Chooses the agents that hold what entries have to know from each other.
//!
//! All entries choose the same agents as long as they know the same VMs.

use std::cmp::Reverse;
use std::net::IpAddr;

use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use crate::RequestHash;

/// The number of agents that hold the same, so that the loss of two processes loses none.
const HOLDERS: usize = 3;

/// Returns the VMs whose agents hold the origin of a request's stream, the first in its rendezvous
/// order of all `agents`.
pub fn origin_holders(
    request: RequestHash,
    agents: impl IntoIterator<Item = IpAddr>,
) -> Vec<IpAddr> {
    first_in_order(request.get(), agents)
}

/// Returns the VMs whose agents hold the facts that all processes have to know.
pub fn fact_holders(agents: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    first_in_order(stable_hash("facts"), agents)
}

/// The agents among which those that hold the buckets of workspaces are chosen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketAgents {
    /// The address of each agent and its hash, in ascending order.
    agents: Vec<(IpAddr, u64)>,
}

impl BucketAgents {
    /// Creates the choice among these agents.
    pub fn new(agents: impl IntoIterator<Item = IpAddr>) -> Self {
        let mut agents: Vec<(IpAddr, u64)> =
            agents.into_iter().map(|agent| (agent, stable_hash(&agent.to_string()))).collect();
        agents.sort_unstable();
        agents.dedup();
        Self { agents }
    }

    /// Returns the agents that hold the main buckets of a workspace, `count` of them, and last the
    /// one that holds its standby bucket, without those that are excluded.
    ///
    /// Each bucket has its own rendezvous order, so that a change of one agent seldom moves another
    /// bucket. An agent holds several buckets only if there are too few agents; then there is no
    /// standby bucket. The workspace is given by the hash of its name.
    pub fn holders(
        &self,
        workspace: u64,
        count: u8,
        is_excluded: impl Fn(IpAddr) -> bool,
    ) -> Vec<IpAddr> {
        let mut holders = Vec::new();
        for bucket in 0..=u64::from(count) {
            let order = mix_hashes(workspace, bucket);
            let first = |is_included: &dyn Fn(&IpAddr) -> bool| {
                let included = self.agents.iter().filter(|(agent, _)| is_included(agent));
                included.max_by_key(|(_, hash)| mix_hashes(order, *hash)).map(|(agent, _)| *agent)
            };
            let is_free = |agent: &IpAddr| !holders.contains(agent) && !is_excluded(*agent);
            let is_main = bucket < u64::from(count);
            let holder =
                first(&is_free).or_else(|| first(&|agent| is_main && !is_excluded(*agent)));
            holders.extend(holder);
        }
        holders
    }
}

fn first_in_order(key: u64, agents: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    let weight = |agent: &IpAddr| mix_hashes(key, stable_hash(&agent.to_string()));
    let mut agents: Vec<IpAddr> = agents.into_iter().collect();
    agents.sort_unstable_by_key(|agent| (Reverse(weight(agent)), *agent));
    agents.dedup();
    agents.truncate(HOLDERS);
    agents
}
