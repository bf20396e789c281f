//! Messages of the worker interface.
//!
//! Invariant: every call names the caller's epoch and every report names the
//! epoch that the worker has accepted, so a superseded owner always learns it.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Epoch, JobId, Name, Resources, TaskIndex};

/// Starts one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Job.
    pub job: JobId,
    /// Task within the job.
    pub task: TaskIndex,
    /// Attempt; a worker runs each attempt at most once.
    pub attempt: Attempt,
    /// Team, for the worker's own accounts.
    pub team: Name,
    /// Resources to hold.
    pub each: Resources,
    /// Opaque payload.
    pub payload: Name,
    /// Declared run time in ms.
    pub run_ms: u64,
}

/// Stops one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Job.
    pub job: JobId,
    /// Task within the job.
    pub task: TaskIndex,
    /// Attempt.
    pub attempt: Attempt,
    /// True to save a checkpoint first.
    pub checkpoint: bool,
}

/// One call to a worker: renews the lease and carries orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerCall {
    /// Caller's epoch.
    pub epoch: Epoch,
    /// Caller's VM name; empty for a survey, which claims and renews nothing.
    pub holder: Name,
    /// Grows with each call of one epoch; a worker refuses a call that is not
    /// newer than the last one it accepted.
    pub seq: u64,
    /// Report version that the caller knows; lists are left out of the answer
    /// when nothing changed since.
    pub known: u64,
    /// Longest time in ms for which the worker may hold its answer while
    /// nothing changes and no newer call comes.
    pub wait_ms: u64,
    /// Time in ms after which tasks end unless a later call renews them.
    pub lease_ms: u64,
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// Attempts to stop.
    pub stops: Vec<Stop>,
    /// Finished attempts that need not be reported again.
    pub acks: Vec<(JobId, TaskIndex, Attempt)>,
}

/// One running attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Job.
    pub job: JobId,
    /// Task.
    pub task: TaskIndex,
    /// Attempt.
    pub attempt: Attempt,
    /// Resources held.
    pub each: Resources,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// Completed.
    Completed,
    /// The task itself failed.
    Failed,
    /// Stopped on order, or refused before starting.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
}

/// One ended attempt, reported until acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Job.
    pub job: JobId,
    /// Task.
    pub task: TaskIndex,
    /// Attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub ended: AttemptOutcome,
    /// Time it ran, in ms.
    pub ran_ms: u64,
}

/// A worker's answer to a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Highest epoch accepted so far.
    pub epoch: Epoch,
    /// Holder of that epoch.
    pub holder: Name,
    /// Time in ms since that holder's last call.
    pub contact_ms: u64,
    /// True when the call was accepted; false when its epoch is superseded.
    pub accepted: bool,
    /// True when the worker knows that it is to leave.
    pub leaving: bool,
    /// Grows with each change of what follows or of `leaving`, also over
    /// restarts of the worker; never zero.
    pub version: u64,
    /// True when the caller knows `version`; the lists are empty then.
    pub unchanged: bool,
    /// Running attempts.
    pub running: Vec<Running>,
    /// Ended attempts not yet acknowledged.
    pub finished: Vec<Finished>,
}
