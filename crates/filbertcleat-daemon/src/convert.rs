//! Conversions between protobuf messages and the types of the state machines.

mod attempt;
mod member;

pub(crate) use self::attempt::event_from_wire;
pub(crate) use self::attempt::event_to_wire;
pub(crate) use self::member::digest_from_wire;
pub(crate) use self::member::digest_to_wire;
pub(crate) use self::member::report_from_wire;
pub(crate) use self::member::report_to_wire;
