//! The agent: the process that makes all calls to one backend server.

mod call;
mod event;
mod order;
mod received_attempt;
mod role;

pub(crate) use self::event::AgentEvent;
pub(crate) use self::role::AgentRole;
