//! The process beside a backend server.

mod call;
mod event;
mod offered;
mod order;
mod role;

pub(crate) use self::event::AgentEvent;
pub(crate) use self::role::AgentRole;
