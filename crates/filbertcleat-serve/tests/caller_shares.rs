//! The shares of a machine that callers may take.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CallerShares;
use filbertcleat_serve::ConnectionState;
use filbertcleat_serve::ConnectionUse;
use filbertcleat_serve::choose_connection;
use rstest::rstest;

const HEADER_MAX_BYTES: usize = 16 * 1_024;

#[rstest]
#[case::memory_short(Some(64), Some(3_900))]
#[case::sockets_short(Some(512), Some(300))]
#[case::large_heads(Some(260), Some(3_900))]
fn shares_add_up(#[case] memory_mb: Option<u64>, #[case] sockets: Option<usize>) {
    let shares = CallerShares::of(memory_mb, sockets);
    for header_max_bytes in [0, HEADER_MAX_BYTES, 1_000_000, usize::MAX] {
        let connections = shares.connections_max(header_max_bytes);
        let part = memory_mb.unwrap_or_default() * 1_000_000 / 4;
        let idle = shares.idle_sockets_max.expect("sockets are limited");

        assert_eq!(shares.memory_max_bytes, Some(part));
        assert!((connections * shares.head_max_bytes(header_max_bytes)) as u64 <= part);
        assert!(2 * connections + idle <= sockets.unwrap_or_default());
        assert!(connections >= 40, "large heads leave room for callers");
    }
}

#[test]
fn unlimited_without_limits() {
    assert_eq!(CallerShares::of(None, None).connections_max(HEADER_MAX_BYTES), usize::MAX);
}

fn state(usage: ConnectionUse, has_responded: bool, since_ms: u64) -> ConnectionState {
    ConnectionState { usage, has_responded, since: MonoTime::ZERO.plus_ms(since_ms) }
}

/// A caller that reuses a connection stays while one that stops short is there.
#[test]
fn least_useful_replaced() {
    let now = MonoTime::ZERO.plus_ms(60_000);
    let mut states = vec![
        ("busy", state(ConnectionUse::Busy, true, 0)),
        ("new", state(ConnectionUse::Arriving, false, 59_900)),
        ("just idle", state(ConnectionUse::Idle, true, 59_500)),
        ("idle", state(ConnectionUse::Idle, true, 50_000)),
        ("long idle", state(ConnectionUse::Idle, true, 20_000)),
        ("stopped later", state(ConnectionUse::Arriving, true, 10_000)),
        ("silent", state(ConnectionUse::Arriving, false, 58_000)),
        ("long silent", state(ConnectionUse::Arriving, false, 30_000)),
        ("ending", state(ConnectionUse::Ending, true, 59_900)),
    ];
    let mut order = Vec::new();
    while let Some(chosen) = choose_connection(now, states.iter().copied()) {
        states.retain(|(name, _)| *name != chosen);
        order.push(chosen);
    }

    assert_eq!(order, ["ending", "long silent", "silent", "stopped later", "long idle", "idle"]);
}
