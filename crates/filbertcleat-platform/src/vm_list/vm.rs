//! Entries of the VM list.

use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// A VM that runs a filbertcleat process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the process.
    pub name: NodeName,
    /// The address that peers connect to.
    pub address: String,
    /// The state of the VM.
    pub state: VmState,
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM keeps running.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}
