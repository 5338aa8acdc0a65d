//! VMs in the platform's list.

use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// A VM that runs a process of the system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The process's name.
    pub name: NodeName,
    /// The address that its peers reach it at.
    pub address: String,
    /// Its state.
    pub state: VmState,
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It is to go on.
    Live,
    /// It is about to be taken away.
    Leaving,
}
