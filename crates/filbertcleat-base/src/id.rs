//! Typed names and ids.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Declares a string newtype that is cheap to clone.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from a string.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as a string slice.
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
    /// The id of one attempt to run a request, unique across all processes.
    AttemptId
}

name! {
    /// The name of a base model.
    ModelName
}

name! {
    /// The name of a filbertcleat process.
    NodeName
}

name! {
    /// The name of an operator.
    OperatorName
}

name! {
    /// The id that an operator's client assigns to a configuration patch.
    PatchId
}

name! {
    /// The name of a failure domain: VMs that can fail together, such as a rack or zone.
    FailureDomain
}

name! {
    /// The name of a region, which contains failure domains.
    RegionName
}

name! {
    /// The id of a caller's request.
    RequestId
}

name! {
    /// The name of a service: a set of interchangeable engines or of plain HTTP servers.
    ServiceName
}

name! {
    /// The name of a workspace: a customer whose requests share API keys, a priority and an allowance.
    WorkspaceName
}

name! {
    /// The name of a weight store, from which engines load adapters.
    WeightStoreName
}
