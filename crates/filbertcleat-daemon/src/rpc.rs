//! The gRPC services for peers.

mod notify_on_drop;
mod require_token;
mod service;

pub(crate) use self::notify_on_drop::NotifyOnDrop;
pub(crate) use self::require_token::RequireToken;
pub(crate) use self::service::RpcService;
