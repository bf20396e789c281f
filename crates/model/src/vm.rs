//! Entries of the platform's VM list.
//!
//! Invariant: the list is a hint that lags; nothing that a promise rests on
//! is concluded from an entry being `Live`.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Name, Resources};

/// Life of a VM as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmLifecycle {
    /// In service.
    Live,
    /// Announced to leave; gets no new work.
    Leaving,
    /// Removed.
    Gone,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry VM of the system.
    Entry,
    /// A backend server VM.
    Worker,
}

/// The executor on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executor {
    /// Service whose requests it answers.
    pub service: Name,
    /// Address of its HTTP interface.
    pub address: CompactString,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub connections: u32,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its rack.
    pub rack: Name,
    /// Role.
    pub role: Role,
    /// Life.
    pub life: VmLifecycle,
    /// Address of the worker interface.
    pub address: CompactString,
    /// Capacity for tasks, net of what its executor reserves.
    pub capacity: Resources,
    /// Executor, if there is one.
    pub executor: Option<Executor>,
}

/// The VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Changes with each change of the list; never zero.
    pub version: u64,
    /// All VMs; empty when the reader knows `version`.
    pub vms: Vec<Vm>,
}
