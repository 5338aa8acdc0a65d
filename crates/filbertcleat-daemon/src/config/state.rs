//! The configuration in force.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;

/// The configuration in force, with the latest patches for peers that have an older version.
#[derive(Debug)]
pub(crate) struct ConfigState {
    current: Arc<Configuration>,
    recent_patches: VecDeque<Patch>,
    /// Whether the store or a peer has confirmed that the version is the newest.
    confirmed: bool,
    /// Whether a fetch of newer versions is in progress.
    fetching: bool,
    next_poll_at: MonoTime,
    poll_ms: u64,
}

impl ConfigState {
    /// The number of patches kept for peers.
    const RECENT_PATCHES_MAX: usize = 256;
    /// The polls of the store that all processes together make in one poll interval.
    const POLLS_PER_INTERVAL: u64 = 8;

    pub fn new(poll: Duration) -> Self {
        Self {
            current: Arc::default(),
            recent_patches: VecDeque::new(),
            confirmed: false,
            fetching: false,
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

    /// Returns whether the store or a peer has confirmed that the version is the newest.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    pub fn confirm(&mut self) {
        self.confirmed = true;
    }

    /// Marks a fetch as in progress; returns `false` if one already is.
    pub fn begin_fetch(&mut self) -> bool {
        !std::mem::replace(&mut self.fetching, true)
    }

    pub fn end_fetch(&mut self) {
        self.fetching = false;
    }

    /// Returns whether a poll of the store is due, and if so schedules the next one.
    ///
    /// The interval grows with the number of processes, since each one learns of new versions from
    /// its peers. A process with an unconfirmed version polls at the shortest interval.
    pub fn take_due_poll(&mut self, now: MonoTime, members: usize) -> bool {
        if now < self.next_poll_at || self.fetching {
            return false;
        }
        let intervals = (members as u64).div_ceil(Self::POLLS_PER_INTERVAL).max(1);
        let intervals = if self.confirmed { intervals } else { 1 };
        self.next_poll_at = now.plus_ms(self.poll_ms * intervals);
        true
    }

    /// Replaces the configuration by a snapshot, unless the snapshot is no newer.
    pub fn apply_snapshot(&mut self, configuration: Configuration) -> bool {
        if configuration.version <= self.current.version {
            return false;
        }
        self.current = Arc::new(configuration);
        self.recent_patches.clear();
        true
    }

    /// Applies a patch based on the version in force; ignores any other patch.
    pub fn apply(&mut self, patch: Patch) -> bool {
        if patch.base != self.current.version {
            return false;
        }
        let next = match self.current.apply(&patch) {
            Ok(next) => next,
            Err(error) => {
                // Every process reads the same patches, so all of them skip this one.
                log::error!("event=bad-patch patch={} reason=\"{error}\"", patch.id);
                let version = self.current.version.next();
                Configuration { version, ..Configuration::clone(&self.current) }
            }
        };
        self.current = Arc::new(next);
        if self.recent_patches.len() >= Self::RECENT_PATCHES_MAX {
            self.recent_patches.pop_front();
        }
        self.recent_patches.push_back(patch);
        true
    }

    /// Returns the patches after a version as JSON, or none if the first of them is not kept.
    pub fn patches_after(&self, after: ConfigVersion) -> Vec<Vec<u8>> {
        let known = self.recent_patches.iter().any(|patch| patch.base == after);
        if !known {
            return Vec::new();
        }
        self.recent_patches.iter().filter(|patch| patch.base >= after).map(Patch::to_json).collect()
    }
}
