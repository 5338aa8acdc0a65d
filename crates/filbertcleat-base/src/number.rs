//! Typed version numbers and fencing tokens.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Declares a newtype around an unsigned integer.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps an integer.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the wrapped integer.
            pub const fn value(self) -> $inner {
                self.0
            }

            /// Returns this number plus one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number! {
    /// A version of an adapter's weights.
    AdapterVersion(u32)
}

number! {
    /// A version of the cluster-wide configuration.
    ConfigVersion(u64)
}

number! {
    /// A fencing token, which increases with each new holder of a lease.
    FencingToken(u64)
}
