//! A customer whose requests share API keys, a priority and an allowance.

use filbertcleat_base::WorkspaceName;

use super::Allowance;

/// A customer whose requests share API keys, a priority and an allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// The workspace's name.
    pub name: WorkspaceName,
    /// The priority, which precedes that of the route; 0 is the most urgent.
    pub priority: u8,
    /// What its requests may cost; `None` if there is no limit.
    pub allowance: Option<Allowance>,
}
