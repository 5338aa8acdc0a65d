//! The configuration in force.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;

/// The configuration in force, with the last patches for peers that lack them.
#[derive(Debug)]
pub(crate) struct ConfigState {
    current: Arc<Configuration>,
    recent: VecDeque<Patch>,
    confirmed: bool,
    following: bool,
    next_poll_at: MonoTime,
    poll_ms: u64,
}

impl ConfigState {
    /// The number of patches kept for peers.
    const RECENT_MAX: usize = 256;
    /// The processes that poll the store at the set interval between them.
    const POLLERS: u64 = 8;

    pub fn new(poll: Duration) -> Self {
        Self {
            current: Arc::default(),
            recent: VecDeque::new(),
            confirmed: false,
            following: false,
            next_poll_at: MonoTime::ZERO,
            poll_ms: poll.as_millis() as u64,
        }
    }

    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    pub fn version(&self) -> ConfigVersion {
        self.current.version
    }

    /// Returns whether the store or a peer has confirmed the version.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    pub fn confirm(&mut self) {
        self.confirmed = true;
    }

    /// Begins to look for newer versions if nobody does.
    pub fn begin_following(&mut self) -> bool {
        !std::mem::replace(&mut self.following, true)
    }

    pub fn end_following(&mut self) {
        self.following = false;
    }

    /// Returns whether a look at the store's head is due.
    ///
    /// The more processes there are the more rarely each looks, since they tell each other.
    pub fn poll_is_due(&mut self, now: MonoTime, members: usize) -> bool {
        if now < self.next_poll_at || self.following {
            return false;
        }
        let crowd = (members as u64).div_ceil(Self::POLLERS).max(1);
        let crowd = if self.confirmed { crowd } else { 1 };
        self.next_poll_at = now.plus_ms(self.poll_ms * crowd);
        true
    }

    /// Takes in a whole configuration, unless it is older than the one in force.
    pub fn adopt(&mut self, configuration: Configuration) -> bool {
        if configuration.version <= self.current.version {
            return false;
        }
        self.current = Arc::new(configuration);
        self.recent.clear();
        true
    }

    /// Applies the patch to the next version; others change nothing.
    pub fn apply(&mut self, patch: Patch) -> bool {
        if patch.base != self.current.version {
            return false;
        }
        let next = match self.current.apply(&patch) {
            Ok(next) => next,
            Err(refusal) => {
                // Every process reads the same chain, so all skip the same patch alike.
                log::error!("event=bad-patch patch={} reason=\"{refusal}\"", patch.id);
                let version = self.current.version.next();
                Configuration { version, ..Configuration::clone(&self.current) }
            }
        };
        self.current = Arc::new(next);
        if self.recent.len() >= Self::RECENT_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(patch);
        true
    }

    /// Returns the patches after a version, as far as they are kept.
    pub fn patches_after(&self, after: ConfigVersion) -> Vec<Vec<u8>> {
        let known = self.recent.iter().any(|patch| patch.base == after);
        if !known {
            return Vec::new();
        }
        self.recent.iter().filter(|patch| patch.base >= after).map(Patch::to_json).collect()
    }
}
