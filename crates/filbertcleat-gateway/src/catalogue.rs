//! The list of configurations and backend servers.

use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::ListingChange;

/// Where operators and backend servers say what they want known.
pub trait Catalogue: Clone + 'static {
    /// Reads everything on a topic.
    fn read(&self, topic: Topic) -> impl Future<Output = Result<Changes, Fault>>;

    /// Waits up to `wait` for changes after a cursor.
    fn changes(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;
}

/// What a reader follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// What operators write.
    Operators,
    /// What backend servers write.
    Servers,
}

impl Topic {
    /// Returns the word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Servers => "servers",
        }
    }
}

/// What a reading brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Changes {
    /// Facts in order, and the cursor to go on from.
    Some {
        /// The facts.
        facts: Vec<CatalogueFact>,
        /// Where to go on.
        cursor: u64,
    },
    /// The history after the cursor is gone; everything has to be read again.
    Lapsed,
}

/// One fact.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueFact {
    /// A version of the configuration.
    Deployment(Deployment),
    /// A version of an adapter was named.
    AdapterVersion {
        /// The adapter.
        key: AdapterKey,
        /// The version.
        version: u64,
    },
    /// The list of backend servers changed.
    Listing(ListingChange),
}
