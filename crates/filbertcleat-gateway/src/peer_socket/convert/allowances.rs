//! Converts messages about the allowances of workspaces.

use std::net::IpAddr;

use filbertcleat_serve::AllowanceGrant;
use filbertcleat_serve::AllowanceMessage;
use filbertcleat_serve::AllowanceRequest;
use filbertcleat_serve::BucketId;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram;

use super::UnknownUpdate;

/// Returns the message for an update about an allowance.
pub(super) fn allowance_to_update(message: &AllowanceMessage) -> datagram::Update {
    match message {
        AllowanceMessage::Request(request) => {
            datagram::Update::AllowanceRequest(v1::AllowanceRequest {
                workspace: request.workspace,
                bucket: bucket_to_message(request.bucket),
                entry: request.entry,
                sequence: request.sequence,
                needed: request.needed,
                first_cost: request.first_cost,
                expected: request.expected,
                last: request.is_last,
                rate_per_s: request.rate_per_s,
                burst: request.burst,
                config_version: request.config_version,
                known_ms: request.known_ms,
                list_version: request.list_version,
            })
        }
        AllowanceMessage::Grant(grant) => datagram::Update::AllowanceGrant(v1::AllowanceGrant {
            workspace: grant.workspace,
            bucket: bucket_to_message(grant.bucket),
            sequence: grant.sequence,
            agent: grant.agent,
            granted: grant.granted,
            wait_ms: grant.wait_ms,
            retry_after_ms: grant.retry_after_ms,
            leaving: grant.is_leaving,
            moved_to: grant.moved_to.map(|holder| holder.to_string()).unwrap_or_default(),
        }),
        AllowanceMessage::Return(given) => datagram::Update::AllowanceReturn(v1::AllowanceReturn {
            workspace: given.workspace,
            bucket: bucket_to_message(given.bucket),
            entry: given.entry,
            agent: given.agent,
            sequence: given.sequence,
            returned: given.returned,
        }),
        AllowanceMessage::Move(notice) => datagram::Update::AllowanceMove(v1::AllowanceMove {
            workspace: notice.workspace,
            bucket: bucket_to_message(notice.bucket),
            list_version: notice.list_version,
            holder: notice.holder.to_string(),
        }),
    }
}

/// Returns an entry's request for tokens; fails if its numbers can't be those of an allowance.
pub(super) fn allowance_request(
    message: &v1::AllowanceRequest,
) -> Result<AllowanceRequest, UnknownUpdate> {
    let is_valid = |number: f64| number.is_finite() && number >= 0.0;
    if !is_valid(message.rate_per_s) || !is_valid(message.burst) {
        return Err(UnknownUpdate);
    }
    Ok(AllowanceRequest {
        workspace: message.workspace,
        bucket: bucket_from_message(message.bucket)?,
        entry: message.entry,
        sequence: message.sequence,
        needed: message.needed,
        first_cost: message.first_cost,
        expected: message.expected,
        is_last: message.last,
        rate_per_s: message.rate_per_s,
        burst: message.burst,
        config_version: message.config_version,
        known_ms: message.known_ms,
        list_version: message.list_version,
    })
}

/// Returns an agent's grant.
pub(super) fn allowance_grant(
    message: &v1::AllowanceGrant,
) -> Result<AllowanceGrant, UnknownUpdate> {
    let moved_to: Option<IpAddr> = match message.moved_to.as_str() {
        "" => None,
        holder => Some(holder.parse().map_err(|_not_an_address| UnknownUpdate)?),
    };
    Ok(AllowanceGrant {
        workspace: message.workspace,
        bucket: bucket_from_message(message.bucket)?,
        sequence: message.sequence,
        agent: message.agent,
        granted: message.granted,
        wait_ms: message.wait_ms,
        retry_after_ms: message.retry_after_ms,
        is_leaving: message.leaving,
        moved_to,
    })
}

fn bucket_to_message(bucket: BucketId) -> u32 {
    match bucket {
        BucketId::Standby => 0,
        BucketId::Main(number) => u32::from(number) + 1,
    }
}

/// Returns the bucket with a number; 0 is the standby bucket.
pub(super) fn bucket_from_message(number: u32) -> Result<BucketId, UnknownUpdate> {
    match number.checked_sub(1) {
        None => Ok(BucketId::Standby),
        Some(number) => {
            u8::try_from(number).map(BucketId::Main).map_err(|_too_large| UnknownUpdate)
        }
    }
}
