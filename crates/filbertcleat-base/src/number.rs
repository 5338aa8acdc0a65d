//! Numbers that only ever grow.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Declares a number with a name of its own.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates the number.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the plain number.
            pub const fn value(self) -> $inner {
                self.0
            }

            /// Returns the number after this one.
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
    /// The version of an adapter.
    AdapterVersion(u32)
}

number! {
    /// The version of the configuration.
    ConfigVersion(u64)
}

number! {
    /// A fencing number, which grows with each new holder of a lease.
    Fence(u64)
}
