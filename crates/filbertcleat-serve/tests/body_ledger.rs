//! The memory that bodies of requests take together, and who gives it up.

use filbertcleat_base::MonoTime;
use filbertcleat_base::WorkspaceName;
use filbertcleat_serve::BodyId;
use filbertcleat_serve::BodyLedger;
use filbertcleat_serve::BodySource;
use filbertcleat_serve::NoRoom;
use proptest::prelude::*;

const SHARE_BYTES: u64 = 16_000_000;
const LARGEST_BYTES: u64 = 1_000_000;
const WAIT_MS: u64 = 10_000;
const SEGMENT_BYTES: u64 = 65_536;

fn source(workspace: Option<&str>) -> BodySource {
    BodySource {
        workspace: workspace.map(WorkspaceName::new),
        largest_bytes: LARGEST_BYTES,
        wait_ms: WAIT_MS,
    }
}

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO.plus_ms(ms)
}

/// Reads a body in segments, and returns it with the bodies that gave up their memory.
fn read(
    ledger: &mut BodyLedger,
    now: MonoTime,
    bytes: u64,
    workspace: Option<&str>,
) -> Result<(BodyId, Vec<BodyId>), NoRoom> {
    let (id, mut evicted) = ledger.open(now, source(workspace))?;
    let mut rest = bytes;
    while rest > 0 {
        let segment = rest.min(SEGMENT_BYTES);
        ledger.on_received(now, id, segment);
        let grown = ledger.grow(now, id, segment);
        if grown.is_err() {
            ledger.release(id);
        }
        evicted.extend(grown?);
        rest -= segment;
    }
    Ok((id, evicted))
}

/// Fills the part of large bodies with bodies that stop short, one each ms.
fn fill(ledger: &mut BodyLedger) -> Vec<BodyId> {
    let mut short = Vec::new();
    while let Ok((id, _)) = read(ledger, at(short.len() as u64), LARGEST_BYTES - 1, None) {
        short.push(id);
    }
    short
}

#[test]
fn small_bodies_keep_part() {
    let mut ledger = BodyLedger::new(Some(SHARE_BYTES));
    let large = fill(&mut ledger).len() as u64;

    assert!((large + 1) * LARGEST_BYTES > SHARE_BYTES * 3 / 4);
    for _ in 0..40 {
        assert!(read(&mut ledger, at(20), 17_000, None).is_ok(), "a small body finds memory");
    }
}

#[test]
fn furthest_behind_evicted() {
    let mut ledger = BodyLedger::new(Some(SHARE_BYTES));
    let short = fill(&mut ledger);
    let held = ledger.held_bytes();

    assert_eq!(read(&mut ledger, at(400), LARGEST_BYTES, None), Err(NoRoom), "none is behind yet");
    let (_, evicted) = read(&mut ledger, at(2_000), LARGEST_BYTES, None).expect("room is made");

    assert_eq!(evicted, short[..1], "the body that has stopped for longest");
    assert_eq!(ledger.held_bytes(), held + 1, "it counts no more");
}

/// A body that trickles is as far behind as one that has stopped.
#[test]
fn steady_pace_kept() {
    let mut ledger = BodyLedger::new(Some(SHARE_BYTES));
    let bodies = fill(&mut ledger);
    let (steady, trickling) = (bodies[0], bodies[1]);
    for ms in (100..=3_000).step_by(100) {
        for id in &bodies[2..] {
            ledger.on_received(at(ms), *id, 10_000);
        }
        ledger.on_received(at(ms), steady, 10_000);
        ledger.on_received(at(ms), trickling, 10);
    }

    let (_, evicted) = read(&mut ledger, at(3_000), LARGEST_BYTES, None).expect("room is made");
    assert_eq!(evicted, [trickling]);
    assert_eq!(read(&mut ledger, at(3_000), LARGEST_BYTES, None), Err(NoRoom));
}

#[test]
fn whole_bodies_stay() {
    let mut ledger = BodyLedger::new(Some(SHARE_BYTES));
    for id in fill(&mut ledger) {
        ledger.on_whole(id);
    }

    assert_eq!(read(&mut ledger, at(9_000), LARGEST_BYTES, None), Err(NoRoom));
}

#[test]
fn evicted_body_refused() {
    let mut ledger = BodyLedger::new(Some(SHARE_BYTES));
    let short = fill(&mut ledger);
    read(&mut ledger, at(2_000), LARGEST_BYTES, None).expect("room is made");

    assert_eq!(ledger.grow(at(2_000), short[0], 1), Err(NoRoom));
}

#[test]
fn workspace_leaves_part() {
    let mut ledger = BodyLedger::new(Some(SHARE_BYTES));
    while read(&mut ledger, at(0), 50_000, Some("hot")).is_ok() {}

    assert!(ledger.held_bytes() <= SHARE_BYTES / 2);
    assert!(read(&mut ledger, at(0), LARGEST_BYTES, Some("other")).is_ok());
}

/// A machine that is smaller than a body still serves one at a time.
#[test]
fn largest_body_fits() {
    let mut ledger = BodyLedger::new(Some(LARGEST_BYTES / 10));
    let (first, _) = read(&mut ledger, at(0), LARGEST_BYTES, None).expect("one body fits");

    assert_eq!(read(&mut ledger, at(0), LARGEST_BYTES, None), Err(NoRoom));
    ledger.release(first);
    assert!(read(&mut ledger, at(0), LARGEST_BYTES, None).is_ok());
}

#[test]
fn unlimited_without_limit() {
    let mut ledger = BodyLedger::new(None);

    assert!((0..100).all(|_| read(&mut ledger, at(0), LARGEST_BYTES, None).is_ok()));
}

#[derive(Clone, Debug)]
enum Event {
    Open,
    Grow(usize, u64),
    Receive(usize, u64),
    Whole(usize),
    Release(usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Open),
        8 => (any::<usize>(), 1..200_000u64).prop_map(|(at, bytes)| Event::Grow(at, bytes)),
        4 => (any::<usize>(), 0..200_000u64).prop_map(|(at, bytes)| Event::Receive(at, bytes)),
        1 => any::<usize>().prop_map(Event::Whole),
        1 => any::<usize>().prop_map(Event::Release),
        2 => (0..2_000u64).prop_map(Event::Wait),
    ]
}

proptest! {
    /// What bodies take never exceeds their share, and nothing is left when all are gone.
    #[test]
    fn share_is_kept(events in prop::collection::vec(event(), 1..400)) {
        let mut ledger = BodyLedger::new(Some(4_000_000));
        let mut open: Vec<BodyId> = Vec::new();
        let mut now_ms = 0;
        for event in events {
            let pick = |at: usize| open.get(at.checked_rem(open.len()).unwrap_or(0)).copied();
            match event {
                Event::Open => open.extend(ledger.open(at(now_ms), source(None)).map(|(id, _)| id)),
                Event::Grow(at_body, bytes) => if let Some(id) = pick(at_body) {
                    let _ = ledger.grow(at(now_ms), id, bytes);
                },
                Event::Receive(at_body, bytes) => if let Some(id) = pick(at_body) {
                    ledger.on_received(at(now_ms), id, bytes);
                },
                Event::Whole(at_body) => if let Some(id) = pick(at_body) {
                    ledger.on_whole(id);
                },
                Event::Release(at_body) => if let Some(id) = pick(at_body) {
                    ledger.release(id);
                    open.retain(|other| *other != id);
                },
                Event::Wait(ms) => now_ms += ms,
            }
            let requests = ledger.requests() as u64;
            let bytes = ledger.held_bytes() + requests * BodyLedger::REQUEST_BYTES;
            prop_assert!(bytes <= 4_000_000, "{bytes} bytes");
        }
        for id in open {
            ledger.release(id);
        }
        prop_assert_eq!((ledger.held_bytes(), ledger.requests()), (0, 0));
    }
}
