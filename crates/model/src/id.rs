//! Identifiers used across crates.
//!
//! Invariant: a name is a stable identifier outside one process; dense
//! integer ids never leave the process that assigned them.

use compact_str::CompactString;

/// A team, queue, preset, data centre, VM or rack name.
pub type Name = CompactString;
/// Fleet-wide identifier of a job: `<data centre>-<16 hex digits>`.
pub type JobId = CompactString;
/// Index of a task within its job.
pub type TaskIndex = u32;
/// Number of one start of a task; grows with each retry, preemption and change
/// of owner.
pub type Attempt = u64;
/// Ownership epoch of a data centre's workers; only ever grows.
pub type Epoch = u64;
