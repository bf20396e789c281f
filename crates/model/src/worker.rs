//! Messages of the worker interface.
//!
//! Invariant: every call contains the caller's epoch and every report the highest
//! epoch that the worker has accepted, so a superseded owner detects that it was
//! replaced.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Epoch, JobId, Name, Resources, TaskIndex};

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task within its job.
    pub task: TaskIndex,
    /// Attempt number; a worker runs each attempt at most once.
    pub attempt: Attempt,
    /// Team, for accounting on the worker.
    pub team: Name,
    /// Resources to allocate to the task.
    pub each: Resources,
    /// Payload; opaque to the scheduler.
    pub payload: Name,
    /// Declared run time in ms; the task may run for longer or shorter.
    pub run_ms: u64,
}

/// Order to stop an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task within its job.
    pub task: TaskIndex,
    /// Attempt to stop; other attempts of the task are not affected.
    pub attempt: Attempt,
    /// True to save a checkpoint before the stop.
    pub checkpoint: bool,
}

/// A call to a worker, which renews the owner's lease and contains orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerCall {
    /// Epoch of the caller.
    pub epoch: Epoch,
    /// VM name of the caller. Empty for a survey, which only reads the report and
    /// neither claims the worker nor renews the lease.
    pub holder: Name,
    /// Sequence number; increases with each call of an epoch. A worker rejects a
    /// call that is not newer than the last one it accepted.
    pub seq: u64,
    /// Report version that the caller has. The worker omits the lists from its
    /// report if they have not changed since.
    pub known: u64,
    /// Long-poll time-out in ms: the worker may delay its report this long while
    /// nothing changes and no newer call arrives.
    pub wait_ms: u64,
    /// Lease duration in ms; tasks are terminated when it expires unless a later
    /// call renews it.
    pub lease_ms: u64,
    /// Attempts to start.
    pub starts: Vec<Start>,
    /// Attempts to stop.
    pub stops: Vec<Stop>,
    /// Acknowledged finished attempts, which the worker stops reporting.
    pub acks: Vec<(JobId, TaskIndex, Attempt)>,
}

/// A running attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task within its job.
    pub task: TaskIndex,
    /// Attempt number from the order that started it.
    pub attempt: Attempt,
    /// Resources allocated to the task.
    pub each: Resources,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The task completed.
    Completed,
    /// The task itself failed.
    Failed,
    /// The attempt was stopped by an order, or refused before it started.
    Stopped,
    /// The owner's lease expired.
    Lapsed,
}

/// A finished attempt, reported until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task within its job.
    pub task: TaskIndex,
    /// Attempt number from the order that started it.
    pub attempt: Attempt,
    /// How the attempt ended.
    #[serde(rename = "ended")]
    pub outcome: AttemptOutcome,
    /// Time in ms from the start of the attempt to its end.
    pub ran_ms: u64,
}

/// A worker's response to a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Highest epoch that the worker has accepted.
    pub epoch: Epoch,
    /// VM name of the owner with that epoch.
    pub holder: Name,
    /// Time in ms since the last accepted call of that owner.
    pub contact_ms: u64,
    /// True when the call was accepted. False for a survey, a superseded epoch, or
    /// a call that is not newer than the last one.
    pub accepted: bool,
    /// True when the worker has notice of its removal.
    pub leaving: bool,
    /// Report version; increases with each change of `leaving` or of the lists
    /// below, also across restarts of the worker. Never zero.
    pub version: u64,
    /// True when the caller already has `version`; the lists are then empty.
    pub unchanged: bool,
    /// Attempts that run on the worker.
    pub running: Vec<Running>,
    /// Finished attempts that are not yet acknowledged.
    pub finished: Vec<Finished>,
}
