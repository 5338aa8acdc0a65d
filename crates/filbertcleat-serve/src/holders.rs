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

fn first_in_order(key: u64, agents: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    let weight = |agent: &IpAddr| mix_hashes(key, stable_hash(&agent.to_string()));
    let mut agents: Vec<IpAddr> = agents.into_iter().collect();
    agents.sort_unstable_by_key(|agent| (Reverse(weight(agent)), *agent));
    agents.dedup();
    agents.truncate(HOLDERS);
    agents
}
