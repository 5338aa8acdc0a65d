//! Model of two processes that compete for the lease on one engine, with pauses and with orders in
//! transit.

use filbertcleat_base::MonoTime;
use filbertcleat_store::Lease;
use filbertcleat_store::LeaseSettings;
use filbertcleat_store::LeaseStep;
use filbertcleat_store::Ownership;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use crate::Model;
use crate::TableRow;

/// The rules that keep orders of a former lease holder from taking effect, with times in ticks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseRules {
    /// The engine rejects orders with an outdated fencing token.
    pub engine_checks_fence: bool,
    /// A process may take over a lease that has not expired.
    pub allows_preemption: bool,
    /// How long before the end of its lease a holder stops sending orders.
    pub margin_ticks: u64,
    /// How long a new holder waits after the end of the previous lease for orders that are still in
    /// transit.
    pub assumed_transit_ticks: u64,
    /// The longest time that an order is really in transit.
    pub transit_ticks: u64,
    /// The longest pause between a check of the lease and the order that follows.
    pub pause_ticks: u64,
}

impl LeaseRules {
    /// The rules for an engine that does not check fencing tokens.
    pub const FENCE_IGNORED: Self = Self {
        engine_checks_fence: false,
        allows_preemption: false,
        margin_ticks: 1,
        assumed_transit_ticks: 1,
        transit_ticks: 1,
        pause_ticks: 1,
    };
    /// The rules for an engine that checks fencing tokens, which allow longer pauses and
    /// preemption.
    pub const FENCE_CHECKED: Self = Self {
        engine_checks_fence: true,
        allows_preemption: true,
        pause_ticks: 3,
        ..Self::FENCE_IGNORED
    };
}

/// A state of two processes and one engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseModel {
    rules: LeaseRules,
    now: u64,
    row: TableRow,
    owners: [Owner; 2],
    orders: Vec<Order>,
    engine_fence: u64,
    stale_order_applied: bool,
    faults_left: u8,
}

/// A process that competes for the lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Owner {
    lease: Lease,
    /// The operation to run next on the table service.
    pending_op: Option<TableOp>,
    /// The result of the last operation, until the process has handled it.
    pending_result: Option<TableResult>,
    /// The last check of the lease that no order has followed yet.
    checked: Option<LeaseCheck>,
    orders_left: u8,
    operations_left: u8,
}

/// A successful check of the lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct LeaseCheck {
    fence: u64,
    checked_at: u64,
}

/// An order in transit to the engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Order {
    fence: u64,
    sent_at: u64,
}

impl LeaseModel {
    /// The length of the lease.
    const LEASE_TICKS: u64 = 4;
    /// The time at which the search ends.
    const END_TICK: u64 = 8;
    /// The number of operations that each process may start.
    const OPERATIONS_MAX: u8 = 3;

    /// Creates the initial state, in which the table service may lose `faults` replies.
    pub fn new(rules: LeaseRules, faults: u8) -> Self {
        let owner = |name: &str| {
            let settings = LeaseSettings {
                max_transit_ms: rules.assumed_transit_ticks,
                retry_ms: 1,
                ..LeaseSettings::new("lease/engine", name.into())
            };
            let settings = settings
                .with_lease_ms(Self::LEASE_TICKS, rules.margin_ticks)
                .with_preemption(rules.allows_preemption);
            Owner {
                lease: Lease::new(settings),
                pending_op: None,
                pending_result: None,
                checked: None,
                orders_left: 1,
                operations_left: Self::OPERATIONS_MAX,
            }
        };
        Self {
            rules,
            now: 1,
            row: TableRow::default(),
            owners: [owner("a"), owner("b")],
            orders: Vec::new(),
            engine_fence: 0,
            stale_order_applied: false,
            faults_left: faults,
        }
    }

    fn time(&self) -> MonoTime {
        MonoTime::from_ms(self.now)
    }

    /// Advances the clock, unless an order would exceed its time in transit or a check its pause.
    fn tick(&self, successors: &mut Vec<Self>) {
        let order_due =
            self.orders.iter().any(|order| self.now >= order.sent_at + self.rules.transit_ticks);
        let check_due = |owner: &Owner| {
            owner
                .checked
                .is_some_and(|checked| self.now >= checked.checked_at + self.rules.pause_ticks)
        };
        if self.now < Self::END_TICK && !order_due && !self.owners.iter().any(check_due) {
            let mut model = self.clone();
            model.now += 1;
            successors.push(model);
        }
    }

    /// Runs the next operation of a process, or lets the process handle a result.
    ///
    /// A result may stay unhandled for any time, which models a paused process.
    fn step_lease(&self, index: usize, successors: &mut Vec<Self>) {
        let owner = &self.owners[index];
        if owner.pending_result.is_some() {
            successors.push(self.apply_result(index));
            return;
        }
        let mut model = self.clone();
        let op = match model.owners[index].pending_op.take() {
            Some(op) => op,
            None if owner.operations_left == 0 => return,
            None => match model.owners[index].lease.poll(self.time()) {
                Some(op) => {
                    model.owners[index].operations_left -= 1;
                    op
                }
                None => return,
            },
        };
        model.run_operation(index, &op, successors);
    }

    /// Runs an operation whose reply arrives or is lost.
    fn run_operation(mut self, index: usize, op: &TableOp, successors: &mut Vec<Self>) {
        let result = self.row.apply(op, true);
        self.owners[index].pending_result = Some(result);
        if self.faults_left > 0 {
            let mut lost = self.clone();
            lost.faults_left -= 1;
            lost.owners[index].pending_result = Some(TableResult::UnknownOutcome);
            successors.push(lost);
        }
        successors.push(self);
    }

    /// Returns the state in which a process has handled its result.
    fn apply_result(&self, index: usize) -> Self {
        let mut model = self.clone();
        let time = model.time();
        let owner = &mut model.owners[index];
        if let Some(result) = owner.pending_result.take()
            && let LeaseStep::Execute(op) = owner.lease.on_result(time, &result)
        {
            owner.pending_op = Some(op);
        }
        model
    }

    /// Lets a process check its lease, or send the order that follows a check.
    fn step_order(&self, index: usize, successors: &mut Vec<Self>) {
        let owner = &self.owners[index];
        if let Some(checked) = owner.checked {
            let mut model = self.clone();
            model.owners[index].checked = None;
            model.orders.push(Order { fence: checked.fence, sent_at: self.now });
            model.orders.sort();
            successors.push(model);
        } else if owner.orders_left > 0
            && let Ownership::Held(fence) = owner.lease.ownership(self.time())
        {
            let mut model = self.clone();
            model.owners[index].orders_left -= 1;
            model.owners[index].checked =
                Some(LeaseCheck { fence: fence.value(), checked_at: self.now });
            successors.push(model);
        }
    }

    /// Returns the state in which an order has reached the engine.
    fn deliver_order(&self, index: usize) -> Self {
        let mut model = self.clone();
        let order = model.orders.remove(index);
        if order.fence < self.engine_fence {
            model.stale_order_applied |= !self.rules.engine_checks_fence;
        } else {
            model.engine_fence = order.fence;
        }
        model
    }
}

impl Model for LeaseModel {
    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        self.tick(&mut successors);
        for index in 0..self.owners.len() {
            self.step_lease(index, &mut successors);
            self.step_order(index, &mut successors);
        }
        successors.extend((0..self.orders.len()).map(|index| self.deliver_order(index)));
        successors
    }

    fn violation(&self) -> Option<&'static str> {
        self.stale_order_applied.then_some(
            "an order of a former lease holder took effect after an order of its successor",
        )
    }
}
