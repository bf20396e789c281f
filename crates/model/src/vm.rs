//! The VM list of the platform.
//!
//! Invariant: the list is eventually consistent and only a hint. No guarantee to
//! callers depends on an entry being `Live`.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Name, Resources};

/// Lifecycle state of a VM as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmLifecycle {
    /// The VM is in service.
    Live,
    /// The removal is announced; the VM receives no new work.
    Leaving,
    /// The VM is removed.
    Gone,
}

/// What a VM is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry VM of the system.
    Entry,
    /// A backend server VM.
    Worker,
}

/// The request executor on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executor {
    /// Service whose requests it serves.
    pub service: Name,
    /// Address of its HTTP interface.
    pub address: CompactString,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name that identifies the VM in the whole fleet.
    pub name: Name,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Rack in which the VM runs; tasks of a service are spread across racks.
    pub rack: Name,
    /// Whether the VM accepts requests and jobs or runs them.
    pub role: Role,
    /// Lifecycle state, which may be outdated when the list is read.
    pub life: VmLifecycle,
    /// Address at which the VM accepts a `WorkerCall`.
    pub address: CompactString,
    /// Capacity for tasks, net of what its executor reserves.
    pub capacity: Resources,
    /// Request executor, if the VM has one.
    pub executor: Option<Executor>,
}

/// The platform's list of VMs at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Differs after each change of the list; never zero.
    pub version: u64,
    /// All VMs; empty when the reader already has `version`.
    pub vms: Vec<Vm>,
}
