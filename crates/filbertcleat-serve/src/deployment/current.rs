//! The configuration in force.

use std::collections::VecDeque;
use std::rc::Rc;

use filbertcleat_base::MonoTime;

use super::Deployment;
use super::DeploymentChange;

/// The configuration in force, and what is known of those before it.
///
/// Versions of configurations increase, except after a restore of the catalogue: then it names an
/// older configuration until the operators have written the lost ones again, and operators who
/// number by what the catalogue has may assign the lost versions to other configurations.
#[derive(Clone, Debug, Default)]
pub struct CurrentDeployment {
    current: Option<Rc<Deployment>>,
    /// The configurations that were in force or older, in the order in which they were read.
    known: VecDeque<Identity>,
    /// Set from a restore until the catalogue is known to be up to date with this process.
    restore: Option<Restore>,
}

/// What tells two configurations apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Identity {
    version: u64,
    fingerprint: u64,
}

impl Identity {
    fn of(deployment: &Deployment) -> Self {
        Self { version: deployment.version, fingerprint: deployment.fingerprint() }
    }
}

/// A restore after which the catalogue has not yet named the configuration in force.
#[derive(Clone, Debug)]
struct Restore {
    /// When an undecided configuration comes into force.
    decided_at: MonoTime,
    /// Whether the first list of the restored catalogue has been read.
    is_listed: bool,
    undecided: Option<Deployment>,
}

impl CurrentDeployment {
    /// The number of configurations that are remembered. Copies are some seconds old, and a few
    /// configurations are written in a second at most.
    const KNOWN_MAX: usize = 64;

    /// Returns the configuration in force.
    pub fn get(&self) -> Option<&Rc<Deployment>> {
        self.current.as_ref()
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |deployment| deployment.version)
    }

    /// Decides on a configuration that the catalogue names.
    pub fn offer(&mut self, offered: Deployment) -> DeploymentChange {
        let Some(current) = &self.current else { return self.apply(offered) };
        if offered.version > current.version {
            return self.apply(offered);
        }
        let identity = Identity::of(&offered);
        let is_known = self.known.contains(&identity);
        let Some(restore) = &mut self.restore else {
            self.remember(identity);
            return DeploymentChange::Ignored;
        };
        if offered == **current {
            self.restore = None;
            return DeploymentChange::Ignored;
        }
        restore.undecided = None;
        // A copy from before the restore has no other content for a version that is known.
        if !is_known && self.known.iter().any(|known| known.version == identity.version) {
            return self.apply(offered);
        }
        if is_known || !restore.is_listed {
            self.remember(identity);
            return DeploymentChange::Ignored;
        }
        restore.undecided = Some(offered);
        DeploymentChange::Undecided
    }

    /// Records that the catalogue was restored from a copy. The operators write again what was lost
    /// within `contact_ms`.
    pub fn on_catalogue_restored(&mut self, now: MonoTime, contact_ms: u64) {
        self.restore = Some(Restore {
            decided_at: now.plus_ms(contact_ms),
            is_listed: false,
            undecided: None,
        });
    }

    /// Records that all configurations of a list have been offered.
    pub fn on_topic_listed(&mut self) {
        if let Some(restore) = &mut self.restore {
            restore.is_listed = true;
        }
    }

    /// Records that the catalogue has named no further change up to now, and returns whether the
    /// undecided configuration came into force by that.
    pub fn on_current_read(&mut self, now: MonoTime) -> bool {
        let Some(restore) = &mut self.restore else { return false };
        if now < restore.decided_at {
            return false;
        }
        let Some(undecided) = restore.undecided.take() else { return false };
        self.apply(undecided);
        true
    }

    fn apply(&mut self, deployment: Deployment) -> DeploymentChange {
        self.remember(Identity::of(&deployment));
        self.current = Some(Rc::new(deployment));
        self.restore = None;
        DeploymentChange::Applied
    }

    fn remember(&mut self, identity: Identity) {
        if self.known.contains(&identity) {
            return;
        }
        if self.known.len() == Self::KNOWN_MAX {
            self.known.pop_front();
        }
        self.known.push_back(identity);
    }
}
