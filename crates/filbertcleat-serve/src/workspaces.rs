//! The workspaces of a configuration and their API keys.

mod allowance;
mod key_hash;
mod problem;
mod workspace;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::rc::Rc;

use filbertcleat_base::WorkspaceName;

pub use self::allowance::Allowance;
pub use self::allowance::AllowanceUnit;
pub use self::key_hash::KeyHash;
pub use self::problem::WorkspaceProblem;
pub use self::problem::WorkspaceProblemKind;
pub use self::workspace::Workspace;

/// The workspaces of a configuration and their API keys.
///
/// Invalid workspaces are left out and reported as problems; they affect no others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    list: Vec<Rc<Workspace>>,
    /// Ordered, so that equal workspaces have the same debug text, from which a configuration's
    /// fingerprint is made.
    by_key: BTreeMap<KeyHash, Rc<Workspace>>,
    problems: Vec<WorkspaceProblem>,
}

impl Workspaces {
    /// Checks workspaces and their keys, in the operators' order.
    pub fn new(given: impl IntoIterator<Item = (Workspace, Vec<KeyHash>)>) -> Self {
        let mut workspaces = Self::default();
        let mut names = HashSet::new();
        let mut shared = HashSet::new();
        for (index, (workspace, keys)) in given.into_iter().enumerate() {
            if let Some(kind) = problem_of(&workspace, &names) {
                let label = match &kind {
                    WorkspaceProblemKind::NoName => format!("number {index}"),
                    _ => workspace.name.to_string(),
                };
                workspaces.report(label, kind);
                continue;
            }
            names.insert(workspace.name.clone());
            let workspace = Rc::new(workspace);
            workspaces.add_keys(&workspace, keys, &mut shared);
            workspaces.list.push(workspace);
        }
        workspaces
    }

    /// Adds the problem of an entry that could not be read.
    pub fn report(&mut self, workspace: String, kind: WorkspaceProblemKind) {
        self.problems.push(WorkspaceProblem { workspace, kind });
    }

    /// Returns the workspace that holds a key.
    pub fn by_key(&self, key: KeyHash) -> Option<&Rc<Workspace>> {
        self.by_key.get(&key)
    }

    /// Returns the valid keys of each workspace that has any.
    pub fn keys(&self) -> BTreeMap<WorkspaceName, BTreeSet<KeyHash>> {
        let mut keys: BTreeMap<WorkspaceName, BTreeSet<KeyHash>> = BTreeMap::new();
        for (key, workspace) in &self.by_key {
            keys.entry(workspace.name.clone()).or_default().insert(*key);
        }
        keys
    }

    /// Returns the valid workspaces in the operators' order.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Rc<Workspace>> {
        self.list.iter()
    }

    /// Returns what is wrong with the others.
    pub fn problems(&self) -> &[WorkspaceProblem] {
        &self.problems
    }

    fn add_keys(
        &mut self,
        workspace: &Rc<Workspace>,
        keys: Vec<KeyHash>,
        shared: &mut HashSet<KeyHash>,
    ) {
        for key in keys {
            let other = self.by_key.get(&key).filter(|other| other.name != workspace.name);
            if other.is_some() || shared.contains(&key) {
                self.by_key.remove(&key);
                shared.insert(key);
                self.report(workspace.name.to_string(), WorkspaceProblemKind::SharedKey);
                continue;
            }
            self.by_key.insert(key, Rc::clone(workspace));
        }
    }
}

fn problem_of(
    workspace: &Workspace,
    names: &HashSet<WorkspaceName>,
) -> Option<WorkspaceProblemKind> {
    if workspace.name.as_str().is_empty() {
        return Some(WorkspaceProblemKind::NoName);
    }
    if names.contains(&workspace.name) {
        return Some(WorkspaceProblemKind::DuplicateName);
    }
    let is_valid = |number: f64| number.is_finite() && number >= 0.0;
    let allowance = workspace.allowance.as_ref();
    let is_allowance_valid = allowance
        .is_none_or(|allowance| is_valid(allowance.rate_per_s) && is_valid(allowance.burst));
    (!is_allowance_valid).then_some(WorkspaceProblemKind::InvalidAllowance)
}
