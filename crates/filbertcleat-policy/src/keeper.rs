//! The turns at one weight store.

mod turn;
mod want;

use std::collections::BTreeMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_config::LoadPermitPolicy;

pub use self::turn::LoadGrant;
pub use self::want::LoadRequest;

/// Gives the turn at a weight store to one agent at a time.
///
/// Losing a keeper or having two of them only slows loads, so nothing of it is kept.
#[derive(Clone, Debug)]
pub struct LoadCoordinator {
    policy: LoadPermitPolicy,
    hold_ms: u64,
    wants: BTreeMap<NodeName, Vec<Asked>>,
    current: Option<Held>,
    last_grant: u64,
    key_streak: u32,
}

impl LoadCoordinator {
    /// Turns in a row that may go to key-account work while routine work waits.
    const KEY_STREAK_MAX: u32 = 3;

    /// Creates a keeper that takes a turn back after `hold_ms`.
    ///
    /// Grants are numbered from `first_grant`, which keepers choose apart from each other so that
    /// a turn of one is never given back to another.
    pub fn new(policy: LoadPermitPolicy, hold_ms: u64, first_grant: u64) -> Self {
        Self {
            policy,
            hold_ms,
            wants: BTreeMap::new(),
            current: None,
            last_grant: first_grant,
            key_streak: 0,
        }
    }

    /// Changes the policy.
    pub fn set_policy(&mut self, policy: LoadPermitPolicy) {
        self.policy = policy;
    }

    /// Takes in all that one agent wants to load, in place of what it wanted before.
    pub fn set_requests(&mut self, now: MonoTime, node: &NodeName, wants: Vec<LoadRequest>) {
        let before = self.wants.remove(node).unwrap_or_default();
        if wants.is_empty() {
            return;
        }

        let asked = wants
            .into_iter()
            .map(|want| {
                let known = before.iter().find(|asked| asked.want.adapter == want.adapter);
                let since = known.map_or(now, |asked| asked.since);
                Asked { want, since, updated: now }
            })
            .collect();
        self.wants.insert(node.clone(), asked);
    }

    /// Takes the turn back from its holder.
    pub fn release(&mut self, grant: u64) {
        if self.current.as_ref().is_some_and(|held| held.grant == grant) {
            self.current = None;
        }
    }

    /// Forgets an agent that is gone, and takes its turn back.
    pub fn remove_agent(&mut self, node: &NodeName) {
        self.wants.remove(node);
        if self.current.as_ref().is_some_and(|held| held.node == *node) {
            self.current = None;
        }
    }

    /// Gives the turn to the next agent, if it is free and wanted.
    pub fn grant_next(&mut self, now: MonoTime) -> Option<LoadGrant> {
        if self.current.as_ref().is_some_and(|held| held.until > now) {
            return None;
        }
        self.current = None;

        let (node, adapter) = self.next(now)?;
        self.last_grant += 1;
        let until = now.plus_ms(self.hold_ms);
        self.current = Some(Held { grant: self.last_grant, node: node.clone(), until });
        self.remove(&node, &adapter);

        Some(LoadGrant { id: self.last_grant, node, adapter, hold_ms: self.hold_ms })
    }

    fn next(&mut self, now: MonoTime) -> Option<(NodeName, AdapterRef)> {
        match self.policy {
            LoadPermitPolicy::Urgency => {
                let key = self.most_urgent(now, Class::KeyAccount);
                let routine = self.most_urgent(now, Class::Routine);
                let routine_due = self.key_streak >= Self::KEY_STREAK_MAX || key.is_none();
                if routine_due && routine.is_some() {
                    self.key_streak = 0;
                    routine
                } else {
                    self.key_streak += 1;
                    key
                }
            }
            LoadPermitPolicy::Fifo => self.all().min_by_key(|(_, ask)| ask.since).map(owned),
        }
    }

    fn most_urgent(&self, now: MonoTime, class: Class) -> Option<(NodeName, AdapterRef)> {
        let wanted = self.all().filter(|(_, ask)| ask.want.class == class);
        let best = wanted.max_by(|(_, left), (_, right)| {
            left.urgency(now).total_cmp(&right.urgency(now)).then(right.since.cmp(&left.since))
        });
        best.map(owned)
    }

    fn all(&self) -> impl Iterator<Item = (&NodeName, &Asked)> {
        self.wants.iter().flat_map(|(node, list)| list.iter().map(move |ask| (node, ask)))
    }

    fn remove(&mut self, node: &NodeName, adapter: &AdapterRef) {
        if let Some(list) = self.wants.get_mut(node) {
            list.retain(|asked| asked.want.adapter != *adapter);
            if list.is_empty() {
                self.wants.remove(node);
            }
        }
    }
}

fn owned((node, asked): (&NodeName, &Asked)) -> (NodeName, AdapterRef) {
    (node.clone(), asked.want.adapter.clone())
}

/// A want with its times.
#[derive(Clone, Debug)]
struct Asked {
    want: LoadRequest,
    since: MonoTime,
    updated: MonoTime,
}

impl Asked {
    fn urgency(&self, now: MonoTime) -> f64 {
        self.want.urgency + self.want.urgency_growth_per_s * now.since(self.updated).as_secs_f64()
    }
}

/// The turn in progress.
#[derive(Clone, Debug)]
struct Held {
    grant: u64,
    node: NodeName,
    until: MonoTime,
}
