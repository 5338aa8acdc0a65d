//! Single messages between the ledger of an entry and the buckets of an agent.

mod support;

use std::net::IpAddr;
use std::net::Ipv4Addr;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AllowanceBuckets;
use filbertcleat_serve::AllowanceDecision;
use filbertcleat_serve::AllowanceGrant;
use filbertcleat_serve::AllowanceLedger;
use filbertcleat_serve::AllowanceMessage;
use filbertcleat_serve::AllowanceMove;
use filbertcleat_serve::AllowanceRefusal;
use filbertcleat_serve::AllowanceRequest;
use filbertcleat_serve::AllowanceReturn;
use filbertcleat_serve::BucketAgents;
use filbertcleat_serve::BucketId;
use filbertcleat_serve::BucketSpec;

use self::support::allowance_site::BOUNDS;
use self::support::allowance_site::allowance;
use self::support::at;

const RATE: f64 = 2_700.0;
/// A time at which an agent has run for several windows.
const LATE_MS: u64 = 40_000;
const AGENT: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));

fn request(sequence: u32, cost: u64) -> AllowanceRequest {
    AllowanceRequest {
        workspace: 5,
        bucket: BucketId::Main(0),
        entry: 1,
        sequence,
        needed: cost,
        first_cost: cost,
        expected: 0,
        is_last: true,
        rate_per_s: RATE,
        burst: RATE,
        config_version: 1,
        known_ms: LATE_MS,
        list_version: 1,
    }
}

fn level(buckets: &AllowanceBuckets, now: MonoTime) -> i64 {
    buckets.levels(now).next().expect("the bucket exists").tokens.floor() as i64
}

fn depth() -> i64 {
    depth_of(RATE)
}

fn depth_of(rate: f64) -> i64 {
    BucketSpec::new(&BOUNDS, rate, rate, BucketId::Main(0)).depth.floor() as i64
}

/// Guards against a repeated or duplicated datagram that is charged, or granted, twice.
#[test]
fn repeated_request_granted_once() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);
    let now = at(LATE_MS);

    let first = buckets.on_request(now, &request(1, 1_000));
    let second = buckets.on_request(now, &request(1, 1_000));

    assert_eq!((first.granted, second.granted), (1_000, 1_000));
    assert_eq!(level(&buckets, now), depth() - 1_000);
}

/// Guards against tokens from duplicated returns, from returns of more than was granted, and from
/// returns to another start of the agent.
#[test]
fn returns_credited_once() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);
    let now = at(LATE_MS);
    buckets.on_request(now, &request(1, 1_000));
    let given = |agent, sequence, returned| AllowanceReturn {
        workspace: 5,
        bucket: BucketId::Main(0),
        entry: 1,
        agent,
        sequence,
        returned,
    };

    buckets.on_return(now, &given(9, 1, 400));
    buckets.on_return(now, &given(9, 1, 400));
    assert_eq!(level(&buckets, now), depth() - 600);

    buckets.on_return(now, &given(8, 1, 900));
    buckets.on_return(now, &given(9, 2, 900));
    assert_eq!(level(&buckets, now), depth() - 600);

    buckets.on_return(now, &given(9, 1, 5_000));
    assert_eq!(level(&buckets, now), depth());
}

/// Guards against a restarted agent that grants a burst which its process before has granted too.
#[test]
fn new_process_begins_empty() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);

    let early = buckets.on_request(at(100), &request(1, 1_000));
    let later = buckets.on_request(at(1_000), &request(2, 1_000));

    assert_eq!(early.granted, 0);
    assert_eq!(later.granted, 1_000);
}

/// Guards against a bucket that a request larger than its burst never gets through.
#[test]
fn large_request_overdraws() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);

    let large = buckets.on_request(at(LATE_MS), &request(1, 9_000));
    let next = buckets.on_request(at(LATE_MS + 1), &request(2, 200));

    assert_eq!(large.granted, 9_000);
    assert_eq!(next.granted, 0);
    let again = at(LATE_MS + 1 + next.wait_ms);
    assert_eq!(buckets.on_request(again, &request(3, 200)).granted, 200);
}

/// Guards against callers that are all told to come back at the time at which one can be served.
#[test]
fn refused_callers_told_different_times() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);
    buckets.on_request(at(LATE_MS), &request(1, 9_000));

    let first = buckets.on_request(at(LATE_MS), &request(2, 2_700));
    let second = buckets.on_request(at(LATE_MS), &request(3, 1_000));

    assert!(second.retry_after_ms >= first.retry_after_ms + 900, "{first:?} {second:?}");
    assert_eq!(first.wait_ms, second.wait_ms);
}

/// Guards against an entry with an old configuration that raises a limit again.
#[test]
fn older_configuration_ignored() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);
    let now = at(LATE_MS);
    let lower =
        AllowanceRequest { burst: 300.0, rate_per_s: 300.0, config_version: 2, ..request(1, 1) };
    buckets.on_request(now, &request(9, 1));

    buckets.on_request(now, &lower);
    buckets.on_request(now, &request(2, 1));

    assert_eq!(level(&buckets, at(LATE_MS + 20_000)), depth_of(300.0));
}

/// Guards against two agents that grant the same bucket to entries with different lists.
#[test]
fn outdated_entry_redirected() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);
    let now = at(LATE_MS);
    buckets.on_request(now, &request(1, 100));
    let notice =
        AllowanceMove { workspace: 5, bucket: BucketId::Main(0), list_version: 2, holder: AGENT };
    buckets.on_moved(&notice);

    let outdated = buckets.on_request(now, &request(2, 100));
    assert_eq!((outdated.granted, outdated.moved_to), (0, Some(AGENT)));

    let newer = buckets.on_request(now, &AllowanceRequest { list_version: 3, ..request(3, 100) });
    assert_eq!((newer.granted, newer.moved_to), (100, None));
    buckets.on_moved(&notice);
    assert_eq!(buckets.on_request(now, &request(4, 100)).moved_to, None);
}

/// Guards against grants that disappear with the VM of a leaving engine.
#[test]
fn leaving_agent_grants_nothing() {
    let mut buckets = AllowanceBuckets::new(9, BOUNDS);
    buckets.set_leaving(true);

    let grant = buckets.on_request(at(LATE_MS), &request(1, 100));

    assert_eq!((grant.granted, grant.is_leaving), (0, true));
}

/// A ledger whose only agent is answered for by the test.
struct Asked {
    ledger: AllowanceLedger,
    request: AllowanceRequest,
}

/// Lets a request of 500 tokens ask.
fn asked() -> Asked {
    let mut ledger = AllowanceLedger::new(1, &BOUNDS);
    ledger.set_agents(at(0), BucketAgents::new([AGENT]), 1);
    let decision = ledger.take(at(LATE_MS), 5, &allowance(RATE, RATE), 1, 500);
    assert!(matches!(decision, AllowanceDecision::Pending(_)), "{decision:?}");
    let messages = ledger.take_messages();
    let [(AGENT, AllowanceMessage::Request(request))] = messages[..] else {
        panic!("{messages:?}")
    };
    Asked { ledger, request }
}

fn grant(request: &AllowanceRequest, granted: u64, wait_ms: u64) -> AllowanceGrant {
    AllowanceGrant {
        workspace: request.workspace,
        bucket: request.bucket,
        sequence: request.sequence,
        agent: 9,
        granted,
        wait_ms,
        retry_after_ms: wait_ms,
        is_leaving: false,
        moved_to: None,
    }
}

/// Guards against a wait for an agent though the tokens are in hand, and against tokens of a
/// duplicated grant.
#[test]
fn tokens_in_hand_need_no_agent() {
    let Asked { mut ledger, request } = asked();
    ledger.on_grant(at(LATE_MS + 2), AGENT, &grant(&request, 1_000, 0));
    ledger.on_grant(at(LATE_MS + 2), AGENT, &grant(&request, 1_000, 0));
    assert_eq!(ledger.take_settled().len(), 1);
    assert_eq!(ledger.in_hand(5), 500);

    let decision = ledger.take(at(LATE_MS + 3), 5, &allowance(RATE, RATE), 1, 500);

    assert!(matches!(decision, AllowanceDecision::Granted(_)), "{decision:?}");
    assert_eq!(ledger.take_messages(), []);
}

/// Guards against tokens that stay at an entry which does not need them.
#[test]
fn unused_tokens_returned() {
    let Asked { mut ledger, request } = asked();
    ledger.on_grant(at(LATE_MS + 2), AGENT, &grant(&request, 800, 0));
    ledger.take_settled();
    let due = ledger.next_timer().expect("tokens are in hand");
    assert!(due <= at(LATE_MS + 201), "{due}");

    ledger.on_timer(due);

    let messages = ledger.take_messages();
    let [(AGENT, AllowanceMessage::Return(given))] = messages[..] else { panic!("{messages:?}") };
    assert_eq!((given.sequence, given.agent, given.returned), (request.sequence, 9, 300));
    assert_eq!(ledger.in_hand(5), 0);
}

/// Guards against the loss of tokens of requests that were refused for another reason.
#[test]
fn charge_given_back() {
    let Asked { mut ledger, request } = asked();
    ledger.on_grant(at(LATE_MS + 2), AGENT, &grant(&request, 500, 0));
    let settled = ledger.take_settled();
    let [(_, Ok(charge))] = &settled[..] else { panic!("{settled:?}") };

    ledger.give_back(at(LATE_MS + 50), charge.clone());
    assert_eq!(ledger.in_hand(5), 500);
    ledger.take(at(LATE_MS + 60), 5, &allowance(RATE, RATE), 1, 500);
    ledger.give_back(at(LATE_MS + 1_500), charge.clone());

    let messages = ledger.take_messages();
    let [(AGENT, AllowanceMessage::Return(given))] = messages[..] else { panic!("{messages:?}") };
    assert_eq!(given.returned, 500);
}

/// Guards against callers that wait longer than one round trip while a bucket is known to be empty;
/// and against a 429 without the time after which a retry is of use, which only the agent knows.
#[test]
fn empty_bucket_refuses_at_once() {
    let Asked { mut ledger, request } = asked();
    ledger.on_grant(at(LATE_MS + 2), AGENT, &grant(&request, 0, 150));
    let settled = ledger.take_settled();
    let [(_, Err(AllowanceRefusal::Exceeded { retry_after_ms, .. }))] = settled[..] else {
        panic!("{settled:?}")
    };
    assert_eq!(retry_after_ms, 150);

    ledger.take(at(LATE_MS + 10), 5, &allowance(RATE, RATE), 1, 500);
    let messages = ledger.take_messages();
    let [(AGENT, AllowanceMessage::Request(request))] = messages[..] else {
        panic!("{messages:?}")
    };
    ledger.on_grant(at(LATE_MS + 12), AGENT, &grant(&request, 0, 325));

    let settled = ledger.take_settled();
    let [(_, Err(AllowanceRefusal::Exceeded { retry_after_ms, .. }))] = settled[..] else {
        panic!("{settled:?}")
    };
    assert_eq!(retry_after_ms, 325);
    assert_eq!(ledger.take_messages(), []);
}

/// Guards against the loss of one agent that costs a workspace two buckets, or moves most of the
/// others. A bucket whose next agent holds another bucket of the workspace moves that one on.
#[test]
fn agents_hold_buckets_of_their_own() {
    let agents = |count: u8| (0..count).map(|number| IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)));
    let all = BucketAgents::new(agents(24));
    let (workspaces, mut moved) = (210, 0);
    for workspace in 0..workspaces {
        let holders = all.holders(workspace, 6, |_| false);
        assert_eq!(holders.len(), 7);
        let removed = holders[(workspace % 7) as usize];

        let others = all.holders(workspace, 6, |agent| agent == removed);

        moved += holders.iter().zip(&others).filter(|(before, after)| before != after).count() - 1;
        assert!((1..7).all(|index| !others[..index].contains(&others[index])));
    }
    assert!(moved < workspaces as usize, "{moved} others of {workspaces} workspaces");
    assert_eq!(BucketAgents::new(agents(2)).holders(5, 6, |_| false).len(), 6);
    assert_eq!(BucketAgents::new(agents(0)).holders(5, 6, |_| false).len(), 0);
}
