//! Identifiers used across crates.
//!
//! Invariant: names are stable identifiers that processes exchange; dense
//! integer ids never leave the process that assigned them.

use compact_str::CompactString;

/// Name of a team, queue, preset, data centre, VM or rack. Other short texts, such
/// as payloads and explanations, have the same type.
pub type Name = CompactString;
/// Fleet-wide identifier of a job: `<data centre>-<16 hex digits>`.
pub type JobId = CompactString;
/// Index of a task within its job.
pub type TaskIndex = u32;
/// Attempt number of a task start; increases with each retry, preemption and
/// change of owner.
pub type Attempt = u64;
/// Ownership epoch of a data centre's workers; increases monotonically.
pub type Epoch = u64;
