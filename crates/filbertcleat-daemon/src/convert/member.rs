//! Conversions of membership digests and replica reports.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::NodeName;
use filbertcleat_base::Timestamp;
use filbertcleat_config::Role;
use filbertcleat_member::Digest;
use filbertcleat_member::MemberRecord;
use filbertcleat_member::MemberState;
use filbertcleat_policy::ReplicaReport;
use filbertcleat_wire::v1;

/// Converts a digest to its message.
pub(crate) fn digest_to_wire(digest: &Digest, stamp: Timestamp) -> v1::Digest {
    v1::Digest {
        from: digest.from.to_string(),
        records: digest.records.iter().map(record_to_wire).collect(),
        config_version: digest.config_version.value(),
        stamp_wall_ms: stamp.wall_ms,
        stamp_count: stamp.count,
        full: digest.full,
    }
}

/// Converts a message to a digest and its timestamp; skips malformed records.
pub(crate) fn digest_from_wire(digest: v1::Digest) -> (Digest, Timestamp) {
    let stamp = Timestamp { wall_ms: digest.stamp_wall_ms, count: digest.stamp_count };
    let digest = Digest {
        from: digest.from.into(),
        records: digest.records.into_iter().filter_map(record_from_wire).collect(),
        config_version: ConfigVersion::new(digest.config_version),
        full: digest.full,
    };
    (digest, stamp)
}

/// Converts a replica's report to its message.
pub(crate) fn report_to_wire(report: &ReplicaReport) -> v1::ReplicaStatus {
    let names = |list: &[AdapterRef]| list.iter().map(ToString::to_string).collect();
    v1::ReplicaStatus {
        service: report.service.to_string(),
        resident: names(&report.loaded_adapters),
        wanted: names(&report.pending_adapters),
        queued: report.queued_in_share,
        wanted_key: report.pending_key_account_adapters,
        queued_over: report.queued_over_share,
        queued_key: report.queued_key_account,
        running: report.running_in_share,
        batch_limit: report.batch_limit,
        slot_limit: report.slot_limit,
        spare: report.spare_rates_per_1000s.clone(),
        call_ms: report.mean_call_ms,
        load_ms: report.mean_load_ms,
    }
}

/// Converts a message to the report of the replica that agent `node` serves; skips malformed
/// adapters.
pub(crate) fn report_from_wire(node: NodeName, status: v1::ReplicaStatus) -> ReplicaReport {
    let adapters = |list: Vec<String>| list.iter().filter_map(|name| name.parse().ok()).collect();
    ReplicaReport {
        node,
        service: status.service.into(),
        loaded_adapters: adapters(status.resident),
        pending_adapters: adapters(status.wanted),
        queued_in_share: status.queued,
        pending_key_account_adapters: status.wanted_key,
        queued_over_share: status.queued_over,
        queued_key_account: status.queued_key,
        running_in_share: status.running,
        batch_limit: status.batch_limit,
        slot_limit: status.slot_limit,
        spare_rates_per_1000s: status.spare,
        mean_call_ms: status.call_ms,
        mean_load_ms: status.load_ms,
    }
}

fn record_to_wire(record: &MemberRecord) -> v1::MemberRecord {
    v1::MemberRecord {
        name: record.name.to_string(),
        address: record.address.clone(),
        region: record.region.to_string(),
        place: record.failure_domain.to_string(),
        role: record.role.as_str().to_owned(),
        state: record.state.as_str().to_owned(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        config_version: record.config_version.value(),
        replica: record.replica.as_ref().map(report_to_wire),
    }
}

fn record_from_wire(record: v1::MemberRecord) -> Option<MemberRecord> {
    let role = match record.role.as_str() {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        _ => return None,
    };
    let name: NodeName = record.name.into();
    let replica = record.replica.map(|status| report_from_wire(name.clone(), status));
    Some(MemberRecord {
        name,
        address: record.address,
        region: record.region.into(),
        failure_domain: record.place.into(),
        role,
        state: MemberState::from_name(&record.state)?,
        incarnation: record.incarnation,
        sequence: record.sequence,
        config_version: ConfigVersion::new(record.config_version),
        replica,
    })
}
