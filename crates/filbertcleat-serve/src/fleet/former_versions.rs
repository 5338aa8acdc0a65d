//! The software versions of backend servers that are no longer listed with them.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;

use crate::ListedServer;
use crate::SoftwareVersion;

/// The software versions of backend servers that are no longer listed with them.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerVersions {
    /// When a server of the service was last listed with the version.
    listed_until: BTreeMap<(ServiceName, SoftwareVersion), MonoTime>,
}

impl FormerVersions {
    /// How long a version is remembered: as long as the origins of streams.
    const REMEMBERED_MS: u64 = 60_000;

    /// Remembers the version of a server that was removed.
    pub fn on_removed(&mut self, now: MonoTime, listed: &ListedServer) {
        self.listed_until.retain(|_, until| now.ms_since(*until) <= Self::REMEMBERED_MS);
        let version = (listed.service.clone(), listed.software_version.clone());
        self.listed_until.insert(version, now);
    }

    /// Remembers the version of a server whose record was replaced, if that names another one.
    pub fn on_replaced(&mut self, now: MonoTime, before: &ListedServer, after: &ListedServer) {
        let is_same =
            before.service == after.service && before.software_version == after.software_version;
        if !is_same {
            self.on_removed(now, before);
        }
    }

    /// Returns the versions of a service with the times in milliseconds since they were listed.
    pub fn of(&self, now: MonoTime, service: &ServiceName) -> BTreeMap<SoftwareVersion, u64> {
        let listed = self.listed_until.iter().filter(|((name, _), _)| name == service);
        let aged = listed.map(|((_, version), until)| (version.clone(), now.ms_since(*until)));
        aged.filter(|(_, age_ms)| *age_ms <= Self::REMEMBERED_MS).collect()
    }
}
