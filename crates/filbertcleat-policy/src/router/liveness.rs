//! The liveness of a replica.

/// The liveness of a replica, as the membership protocol reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The replica answers and takes requests.
    Live,
    /// The replica has not answered for a while; it is chosen only if no other is usable.
    Suspect,
    /// The replica is starting or draining and takes no new requests.
    NotReady,
    /// The replica has left or failed.
    Gone,
}
