//! Names of the things that filbertcleat speaks of.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Declares a cheaply cloned name.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

name! {
    /// The name of a `LoRA` adapter.
    AdapterName
}

name! {
    /// One try at a request, unique over all processes.
    AttemptId
}

name! {
    /// The name of a base model.
    ModelName
}

name! {
    /// The name of a process of the system.
    NodeName
}

name! {
    /// The name of an operator.
    OperatorName
}

name! {
    /// The id that an operator's client gives a patch.
    PatchId
}

name! {
    /// The name of a place, which is also a failure domain.
    FailureDomain
}

name! {
    /// The name of a region, which holds places.
    RegionName
}

name! {
    /// The id of a caller's request.
    RequestId
}

name! {
    /// The name of a service: engines that answer alike, or a plain service.
    ServiceName
}

name! {
    /// The name of a weight store.
    WeightStoreName
}
