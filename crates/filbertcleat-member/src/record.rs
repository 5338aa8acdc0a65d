//! Membership records.

use std::cmp::Ordering;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::FailureDomain;
use filbertcleat_base::NodeName;
use filbertcleat_base::RegionName;
use filbertcleat_config::Role;
use filbertcleat_policy::ReplicaReport;

use crate::MemberState;

/// The record of one process, as spread by the exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// The name of the process.
    pub name: NodeName,
    /// The address that peers connect to.
    pub address: String,
    /// The region of the process.
    pub region: RegionName,
    /// The failure domain of the process.
    pub failure_domain: FailureDomain,
    /// The role of the process.
    pub role: Role,
    /// The state of the process.
    pub state: MemberState,
    /// The incarnation, which increases with each start of the process.
    pub incarnation: u64,
    /// The sequence number, which increases with each change that the process makes to its record.
    pub sequence: u64,
    /// The configuration version that the process uses.
    pub config_version: ConfigVersion,
    /// The report of an agent about its backend server.
    pub replica: Option<ReplicaReport>,
}

impl MemberRecord {
    /// Returns whether this record is newer than `other`; both belong to the same process.
    pub fn is_newer(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.incarnation, record.sequence, record.state);
        key(self).cmp(&key(other)) == Ordering::Greater
    }

    /// Returns the approximate size of the record in a message.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 40;
        let name_bytes = self.name.as_str().len() + self.address.len();
        let location_bytes = self.region.as_str().len() + self.failure_domain.as_str().len();
        let replica_bytes = self.replica.as_ref().map_or(0, |report| {
            let adapters = report.loaded_adapters.iter().chain(&report.pending_adapters);
            24 + report.service.as_str().len()
                + adapters.map(|adapter| adapter.name.as_str().len() + 6).sum::<usize>()
        });
        FIXED_BYTES + name_bytes + location_bytes + replica_bytes
    }
}
