//! Conversions of membership digests and replica reports.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::NodeName;
use filbertcleat_base::Stamp;
use filbertcleat_config::Role;
use filbertcleat_member::Digest;
use filbertcleat_member::MemberRecord;
use filbertcleat_member::MemberState;
use filbertcleat_policy::Report;
use filbertcleat_wire::v1;

/// Converts a digest to its message.
pub(crate) fn digest_to_wire(digest: &Digest, stamp: Stamp) -> v1::Digest {
    v1::Digest {
        from: digest.from.to_string(),
        records: digest.records.iter().map(record_to_wire).collect(),
        config_version: digest.config_version.value(),
        stamp_wall_ms: stamp.wall_ms,
        stamp_count: stamp.count,
        full: digest.full,
    }
}

/// Converts a message to a digest and its stamp; skips malformed records.
pub(crate) fn digest_from_wire(digest: v1::Digest) -> (Digest, Stamp) {
    let stamp = Stamp { wall_ms: digest.stamp_wall_ms, count: digest.stamp_count };
    let digest = Digest {
        from: digest.from.into(),
        records: digest.records.into_iter().filter_map(record_from_wire).collect(),
        config_version: ConfigVersion::new(digest.config_version),
        full: digest.full,
    };
    (digest, stamp)
}

/// Converts a replica's report to its message.
pub(crate) fn report_to_wire(report: &Report) -> v1::ReplicaStatus {
    let names = |list: &[AdapterRef]| list.iter().map(ToString::to_string).collect();
    v1::ReplicaStatus {
        service: report.service.to_string(),
        resident: names(&report.resident),
        wanted: names(&report.wanted),
        queued: report.queued,
        wanted_key: report.wanted_key,
        queued_over: report.queued_over,
        queued_key: report.queued_key,
        running: report.running,
        batch_limit: report.batch_limit,
        slot_limit: report.slot_limit,
        spare: report.spare.clone(),
        call_ms: report.call_ms,
        load_ms: report.load_ms,
    }
}

/// Converts a message to the report of the replica that agent `node` serves; skips malformed
/// adapters.
pub(crate) fn report_from_wire(node: NodeName, status: v1::ReplicaStatus) -> Report {
    let adapters = |list: Vec<String>| list.iter().filter_map(|name| name.parse().ok()).collect();
    Report {
        node,
        service: status.service.into(),
        resident: adapters(status.resident),
        wanted: adapters(status.wanted),
        queued: status.queued,
        wanted_key: status.wanted_key,
        queued_over: status.queued_over,
        queued_key: status.queued_key,
        running: status.running,
        batch_limit: status.batch_limit,
        slot_limit: status.slot_limit,
        spare: status.spare,
        call_ms: status.call_ms,
        load_ms: status.load_ms,
    }
}

fn record_to_wire(record: &MemberRecord) -> v1::MemberRecord {
    v1::MemberRecord {
        name: record.name.to_string(),
        address: record.address.clone(),
        region: record.region.to_string(),
        place: record.place.to_string(),
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
        place: record.place.into(),
        role,
        state: MemberState::from_word(&record.state)?,
        incarnation: record.incarnation,
        sequence: record.sequence,
        config_version: ConfigVersion::new(record.config_version),
        replica,
    })
}
