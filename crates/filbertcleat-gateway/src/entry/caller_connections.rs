//! The open connections of callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CallerLimits;
use filbertcleat_serve::CallerShares;
use filbertcleat_serve::ConnectionState;
use filbertcleat_serve::ConnectionUse;
use filbertcleat_serve::choose_connection;

use super::body_rooms::BodyRooms;
use super::connection_activity::ConnectionActivity;

/// The open connections of callers, which may take a share of the machine.
#[derive(Clone, Debug)]
pub(super) struct CallerConnections {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    shares: CallerShares,
    bodies: BodyRooms,
    open: RefCell<BTreeMap<u64, Rc<ConnectionActivity>>>,
    /// The connections among the open ones that have to close for another.
    replaced: Cell<usize>,
    next_number: Cell<u64>,
}

impl CallerConnections {
    /// Creates the connections of a process with these shares, on which `bodies` arrive.
    pub fn new(shares: CallerShares, bodies: BodyRooms) -> Self {
        Self {
            shared: Rc::new(Shared {
                shares,
                bodies,
                open: RefCell::default(),
                replaced: Cell::default(),
                next_number: Cell::default(),
            }),
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.shared.open.borrow().len()
    }

    /// Returns the largest head that is read of a request.
    pub fn head_max_bytes(&self, limits: CallerLimits) -> usize {
        self.shared.shares.head_max_bytes(limits.header_max_bytes)
    }

    /// Counts a new connection as open, and has another one close if there are too many. Returns
    /// `None` if all others go before the new one.
    pub fn open(
        &self,
        now: MonoTime,
        limits: CallerLimits,
        activity: &Rc<ConnectionActivity>,
    ) -> Option<OpenConnection> {
        let Shared { shares, open, replaced, next_number, .. } = &*self.shared;
        let is_full =
            self.len() - replaced.get() >= shares.connections_max(limits.header_max_bytes);
        if is_full {
            let open = open.borrow();
            let states = open.values().filter_map(|other| Some((other, self.state(now, other)?)));
            choose_connection(now, states)?.replace();
            replaced.set(replaced.get() + 1);
        }
        let number = next_number.replace(next_number.get() + 1);
        open.borrow_mut().insert(number, Rc::clone(activity));
        Some(OpenConnection { number, has_replaced: is_full, connections: self.clone() })
    }

    /// Returns the state of a connection, unless it has to close already.
    fn state(&self, now: MonoTime, activity: &ConnectionActivity) -> Option<ConnectionState> {
        if activity.is_replaced() {
            return None;
        }
        let (usage, since) = if let Some(since) = activity.ending_since() {
            (ConnectionUse::Ending, since)
        } else if let Some(body) = activity.arriving_body() {
            let paced_until = self.shared.bodies.paced_until(body);
            (ConnectionUse::Arriving, paced_until.unwrap_or(now))
        } else if let Some(since) = activity.awaited_since() {
            (ConnectionUse::Arriving, since)
        } else if activity.is_quiet() {
            (ConnectionUse::Idle, activity.idle_since())
        } else {
            (ConnectionUse::Busy, now)
        };
        Some(ConnectionState { usage, has_responded: activity.has_responded(), since })
    }
}

/// Counts a connection as open until this guard is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    number: u64,
    has_replaced: bool,
    connections: CallerConnections,
}

impl OpenConnection {
    /// Returns whether another connection has to close for this one.
    pub fn has_replaced(&self) -> bool {
        self.has_replaced
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let Shared { open, replaced, .. } = &*self.connections.shared;
        let closed = open.borrow_mut().remove(&self.number);
        if closed.is_some_and(|activity| activity.is_replaced()) {
            replaced.set(replaced.get() - 1);
        }
    }
}
