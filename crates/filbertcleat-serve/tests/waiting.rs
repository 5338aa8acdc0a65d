//! Which waiting requests leave the queue, and in which order.

mod support;

use filbertcleat_serve::Demand;
use filbertcleat_serve::EngineShape;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::Queue;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::Ticket;
use filbertcleat_serve::WaitCause;

use self::support::at;
use self::support::demand;
use self::support::fleet;
use self::support::home;
use self::support::id;
use self::support::news;
use self::support::shape;

fn pump(queue: &mut Queue, fleet: &mut Fleet, now: u64) -> Vec<(Ticket, ServerId)> {
    let shape: EngineShape = shape();
    queue.pump(at(now), fleet, &home(), |_| Some(&shape))
}

#[test]
fn urgent_goes_first() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = Queue::default();
    let routine = queue.push(at(0), demand("x", 3_000), Vec::new());
    let urgent = queue.push(at(1), Demand { priority: 0, ..demand("x", 3_000) }, Vec::new());

    assert_eq!(pump(&mut queue, &mut fleet, 1), [(urgent, id("a"))]);
    assert_eq!(pump(&mut queue, &mut fleet, 2), []);
    assert_eq!(pump(&mut queue, &mut fleet, 302), [(routine, id("a"))]);
    assert!(queue.is_empty());
}

#[test]
fn wants_are_summed() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let mut queue = Queue::default();
    queue.push(at(0), demand("x", 100), Vec::new());
    queue.push(at(0), Demand { version: 3, ..demand("x", 100) }, Vec::new());
    queue.push(at(0), demand("y", 100), Vec::new());

    pump(&mut queue, &mut fleet, 0);

    let wants = queue.wants(&id("a"));
    assert_eq!(wants.len(), 2);
    assert_eq!((wants[0].waiting, wants[0].version), (2, 3));
    assert_eq!((wants[1].waiting, wants[1].version), (1, 0));
}

#[test]
fn goes_once_loaded() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let mut queue = Queue::default();
    let ticket = queue.push(at(0), demand("x", 100), Vec::new());
    assert_eq!(pump(&mut queue, &mut fleet, 0), []);

    fleet.news(at(250), news("a", 2, &["x"]));

    assert_eq!(pump(&mut queue, &mut fleet, 250), [(ticket, id("a"))]);
    assert_eq!(queue.leave(ticket), None);
}

#[test]
fn stuck_load_moves() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    let mut queue = Queue::default();
    queue.push(at(0), demand("x", 100), Vec::new());
    pump(&mut queue, &mut fleet, 0);
    let (first, second) = if queue.wants(&id("a")).is_empty() { ("b", "a") } else { ("a", "b") };

    for (sequence, now) in [(2, 500), (3, 1_001)] {
        fleet.news(at(now), news("a", sequence, &[]));
        fleet.news(at(now), news("b", sequence, &[]));
        pump(&mut queue, &mut fleet, now);
    }

    assert!(queue.wants(&id(first)).is_empty());
    assert_eq!(queue.wants(&id(second)).len(), 1);
}

#[test]
fn cause_is_told() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = Queue::default();
    fleet.sent(at(0), &id("a"), &demand("x", 5_000));
    let paced = queue.push(at(0), demand("x", 5_000), Vec::new());
    let unloaded = queue.push(at(0), demand("y", 100), Vec::new());

    pump(&mut queue, &mut fleet, 1);

    assert_eq!(queue.leave(paced), Some(WaitCause::Room));
    assert_eq!(queue.leave(unloaded), Some(WaitCause::Load));
}
