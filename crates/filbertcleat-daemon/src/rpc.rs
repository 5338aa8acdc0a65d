//! The calls that peers make.

mod check;
mod ending;
mod service;

pub(crate) use self::check::Check;
pub(crate) use self::ending::Ending;
pub(crate) use self::service::RpcService;
