//! What an entry believes of the backend servers.

mod prefill;
mod server;

use std::collections::BTreeMap;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;

pub(crate) use self::prefill::Prefill;
pub use self::server::SendOutcome;
pub use self::server::Server;
use crate::AgentUpdate;
use crate::ListedServer;
use crate::ListingChange;
use crate::RequestDemand;
use crate::ServerId;

/// All backend servers that an entry knows of.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    doubted: BTreeMap<ServerId, MonoTime>,
    sends: u64,
    unsure_until: MonoTime,
}

impl Fleet {
    /// Entries that lapsed during an outage of the list are back within two seconds of its end;
    /// until then a missing entry is no proof, and a little longer for the answer to travel.
    const RELIST_MS: u64 = 2_200;

    /// Takes in a change of the deployment's list.
    pub fn apply_listing(&mut self, now: MonoTime, change: ListingChange) {
        match change {
            ListingChange::Snapshot(list) => {
                let missing: Vec<_> = self
                    .servers
                    .keys()
                    .filter(|id| !list.iter().any(|listed| listed.id == **id))
                    .cloned()
                    .collect();
                for listed in list {
                    self.put(now, listed);
                }
                for id in missing {
                    self.remove(now, &id);
                }
            }
            ListingChange::Upserted(listed) => self.put(now, listed),
            ListingChange::Removed(id) | ListingChange::Invalid(id) => self.remove(now, &id),
        }
    }

    /// Notes that the list has answered again after an outage.
    pub fn on_catalogue_regained(&mut self, now: MonoTime) {
        self.unsure_until = now.plus_ms(Self::RELIST_MS);
    }

    /// Drops the backend servers whose entries did not come back after an outage.
    pub fn expire_unlisted(&mut self, now: MonoTime) {
        let lapsed: Vec<_> = self
            .doubted
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.doubted.remove(&id);
            self.servers.remove(&id);
        }
    }

    /// Takes in what an agent says of its engine.
    pub fn apply_update(&mut self, now: MonoTime, news: AgentUpdate) {
        if let Some(server) = self.servers.get_mut(&news.server) {
            server.apply_update(now, news);
        }
    }

    /// Notes that a request goes to a backend server.
    pub fn on_sent(&mut self, now: MonoTime, id: &ServerId, demand: &RequestDemand) {
        self.sends += 1;
        if let Some(server) = self.servers.get_mut(id) {
            server.on_sent(now, demand);
        }
    }

    /// Notes that the answer of a request has begun `wait_ms` after it was sent.
    pub fn on_answer_started(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        demand: &RequestDemand,
        wait_ms: u64,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.on_answer_started(now, demand, wait_ms);
        }
    }

    /// Notes that a request that had been sent is over.
    pub fn on_ended(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        demand: &RequestDemand,
        ending: SendOutcome,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.on_ended(now, demand, ending);
        }
    }

    /// Notes that a backend server sent bytes of an answer.
    pub fn on_bytes_received(&mut self, now: MonoTime, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.last_byte_at = now;
        }
    }

    /// Returns how many requests have ever gone to a backend server.
    pub fn total_sends(&self) -> u64 {
        self.sends
    }

    /// Returns the backend servers in the order of their ids.
    pub fn servers(&self) -> impl ExactSizeIterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the backend servers that stay and that can run a request's service and model.
    pub fn servers_for(&self, demand: &RequestDemand) -> impl Iterator<Item = &Server> {
        self.servers().filter(|server| {
            server.listed.service == demand.service
                && !server.listed.is_draining
                && demand.model.as_ref().is_none_or(|model| server.has_model(model))
        })
    }

    /// Returns a backend server.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the number of engines that hold a base model or load it.
    pub fn engines_with_model(&self, model: &ModelName) -> u32 {
        let holding = self.servers().filter(|server| {
            !server.listed.is_draining
                && (server.has_model(model) || server.is_loading_model(model))
        });
        u32::try_from(holding.count()).unwrap_or(u32::MAX)
    }

    /// Returns the most entries that any agent has lately heard, if any agent has spoken.
    pub fn live_entries(&self, now: MonoTime) -> Option<u32> {
        self.servers()
            .filter_map(|server| server.fresh_update(now))
            .map(|news| news.live_entries)
            .max()
            .filter(|entries| *entries > 0)
    }

    fn put(&mut self, now: MonoTime, listed: ListedServer) {
        self.doubted.remove(&listed.id);
        match self.servers.get_mut(&listed.id) {
            Some(server) => server.apply_listing(now, listed),
            None => {
                self.servers.insert(listed.id.clone(), Server::new(now, listed));
            }
        }
    }

    fn remove(&mut self, now: MonoTime, id: &ServerId) {
        if now < self.unsure_until && self.servers.contains_key(id) {
            self.doubted.entry(id.clone()).or_insert(self.unsure_until);
            return;
        }
        self.doubted.remove(id);
        self.servers.remove(id);
    }
}
