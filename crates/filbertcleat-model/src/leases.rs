//! Two owners of one engine, pauses, and orders that travel.

use filbertcleat_base::MonoTime;
use filbertcleat_store::Lease;
use filbertcleat_store::LeaseSettings;
use filbertcleat_store::LeaseStep;
use filbertcleat_store::Ownership;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use crate::Cell;
use crate::World;

/// The rules that leases rest on, with times in ticks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseRules {
    /// The engine refuses orders with an old number.
    pub engine_checks: bool,
    /// A new holder takes the lease from a living one at once.
    pub seizes: bool,
    /// How long before the end of its lease a holder stops.
    pub margin: u64,
    /// How long a new holder waits beyond the lease, for orders that travel.
    pub waited_travel: u64,
    /// How long an order may really travel.
    pub travel: u64,
    /// The longest pause between a check of the lease and the order that follows it.
    pub pause: u64,
}

impl LeaseRules {
    /// The rules for an engine that ignores numbers.
    pub const IGNORING: Self = Self {
        engine_checks: false,
        seizes: false,
        margin: 1,
        waited_travel: 1,
        travel: 1,
        pause: 1,
    };
    /// The rules for an engine that checks numbers, with longer pauses.
    pub const CHECKING: Self =
        Self { engine_checks: true, seizes: true, pause: 3, ..Self::IGNORING };
}

/// A state of two owners.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseWorld {
    rules: LeaseRules,
    now: u64,
    row: Cell,
    owners: [Owner; 2],
    orders: Vec<Order>,
    engine_fence: u64,
    disobeyed: bool,
    faults_left: u8,
}

/// A process that wants the lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Owner {
    lease: Lease,
    /// The operation under way, and its result once it is known.
    asked: Option<TableOp>,
    result: Option<TableResult>,
    /// The number and the time of a check that an order follows.
    checked: Option<Checked>,
    orders_left: u8,
    asks_left: u8,
}

/// A check of the lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Checked {
    fence: u64,
    at: u64,
}

/// An order on its way to the engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Order {
    fence: u64,
    sent: u64,
}

impl LeaseWorld {
    /// The length of the lease.
    const LEASE: u64 = 4;
    /// The end of the search.
    const END: u64 = 8;
    /// The operations that each owner may ask for.
    const ASKS: u8 = 3;

    /// Creates the start, with so many faults of the table service to come.
    pub fn new(rules: LeaseRules, faults: u8) -> Self {
        let owner = |name: &str| {
            let settings = LeaseSettings {
                max_transit_ms: rules.waited_travel,
                retry_ms: 1,
                ..LeaseSettings::new("lease/engine", name.into())
            };
            let settings =
                settings.with_lease_ms(Self::LEASE, rules.margin).with_preemption(rules.seizes);
            Owner {
                lease: Lease::new(settings),
                asked: None,
                result: None,
                checked: None,
                orders_left: 1,
                asks_left: Self::ASKS,
            }
        };
        Self {
            rules,
            now: 1,
            row: Cell::default(),
            owners: [owner("a"), owner("b")],
            orders: Vec::new(),
            engine_fence: 0,
            disobeyed: false,
            faults_left: faults,
        }
    }

    fn time(&self) -> MonoTime {
        MonoTime::from_ms(self.now)
    }

    /// Lets the clock go on, unless an order would travel or a check be used too late.
    fn tick(&self, next: &mut Vec<Self>) {
        let late = self.orders.iter().any(|order| self.now >= order.sent + self.rules.travel);
        let expired = |owner: &Owner| {
            owner.checked.is_some_and(|checked| self.now >= checked.at + self.rules.pause)
        };
        if self.now < Self::END && !late && !self.owners.iter().any(expired) {
            let mut world = self.clone();
            world.now += 1;
            next.push(world);
        }
    }

    /// Takes in a result, or asks for the next operation; results wait while the owner is paused.
    fn ask(&self, index: usize, next: &mut Vec<Self>) {
        let owner = &self.owners[index];
        if owner.result.is_some() {
            next.push(self.take_in(index));
            return;
        }
        let mut world = self.clone();
        let op = match world.owners[index].asked.take() {
            Some(op) => op,
            None if owner.asks_left == 0 => return,
            None => match world.owners[index].lease.poll(self.time()) {
                Some(op) => {
                    world.owners[index].asks_left -= 1;
                    op
                }
                None => return,
            },
        };
        world.run(index, &op, next);
    }

    fn run(mut self, index: usize, op: &TableOp, next: &mut Vec<Self>) {
        let result = self.row.run(op, true);
        self.owners[index].result = Some(result);
        if self.faults_left > 0 {
            let mut lost = self.clone();
            lost.faults_left -= 1;
            lost.owners[index].result = Some(TableResult::UnknownOutcome);
            next.push(lost);
        }
        next.push(self);
    }

    fn take_in(&self, index: usize) -> Self {
        let mut world = self.clone();
        let time = world.time();
        let owner = &mut world.owners[index];
        if let Some(result) = owner.result.take()
            && let LeaseStep::Execute(op) = owner.lease.on_result(time, &result)
        {
            owner.asked = Some(op);
        }
        world
    }

    fn order(&self, index: usize, next: &mut Vec<Self>) {
        let owner = &self.owners[index];
        if let Some(checked) = owner.checked {
            let mut world = self.clone();
            world.owners[index].checked = None;
            world.orders.push(Order { fence: checked.fence, sent: self.now });
            world.orders.sort();
            next.push(world);
        } else if owner.orders_left > 0
            && let Ownership::Held(fence) = owner.lease.ownership(self.time())
        {
            let mut world = self.clone();
            world.owners[index].orders_left -= 1;
            world.owners[index].checked = Some(Checked { fence: fence.value(), at: self.now });
            next.push(world);
        }
    }

    fn arrive(&self, index: usize) -> Self {
        let mut world = self.clone();
        let order = world.orders.remove(index);
        if order.fence < self.engine_fence {
            world.disobeyed |= !self.rules.engine_checks;
        } else {
            world.engine_fence = order.fence;
        }
        world
    }
}

impl World for LeaseWorld {
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.tick(&mut next);
        for index in 0..self.owners.len() {
            self.ask(index, &mut next);
            self.order(index, &mut next);
        }
        next.extend((0..self.orders.len()).map(|index| self.arrive(index)));
        next
    }

    fn broken(&self) -> Option<&'static str> {
        self.disobeyed.then_some("an order of a former holder took effect after a newer one")
    }
}
