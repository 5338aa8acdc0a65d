//! What is known of one process.

use std::cmp::Ordering;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::FailureDomain;
use filbertcleat_base::NodeName;
use filbertcleat_base::RegionName;
use filbertcleat_config::Role;
use filbertcleat_policy::ReplicaReport;

use crate::MemberState;

/// What is known of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// Its name.
    pub name: NodeName,
    /// The address that its peers reach it at.
    pub address: String,
    /// Its region.
    pub region: RegionName,
    /// Its place.
    pub failure_domain: FailureDomain,
    /// Its role.
    pub role: Role,
    /// Its state.
    pub state: MemberState,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Grows with each change of the record by the process itself.
    pub sequence: u64,
    /// The configuration version in force there.
    pub config_version: ConfigVersion,
    /// The replica beside an agent.
    pub replica: Option<ReplicaReport>,
}

impl MemberRecord {
    /// Returns whether this record is newer than `other`, of the same process.
    pub fn is_newer(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.incarnation, record.sequence, record.state);
        key(self).cmp(&key(other)) == Ordering::Greater
    }

    /// Returns about how many bytes the record takes in a message.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 40;
        let names = self.name.as_str().len() + self.address.len();
        let where_at = self.region.as_str().len() + self.failure_domain.as_str().len();
        let replica = self.replica.as_ref().map_or(0, |report| {
            let adapters = report.loaded_adapters.iter().chain(&report.pending_adapters);
            24 + report.service.as_str().len()
                + adapters.map(|adapter| adapter.name.as_str().len() + 6).sum::<usize>()
        });
        FIXED_BYTES + names + where_at + replica
    }
}
