//! Jobs, their specification and the status reported to callers.
//!
//! Invariant: entries are never removed from a job's `done` list, and a job
//! never leaves a terminal phase.

use serde::{Deserialize, Serialize};

use crate::{JobId, Name, Resources, TaskIndex};

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 4_096;

/// Kind of work, which determines how its tasks are placed and started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// A request served by an executor.
    Request,
    /// Long-running tasks that are spread across racks.
    Service,
    /// Independent tasks.
    Batch,
    /// Tasks that start concurrently or not at all.
    Gang,
}

/// Specification of a job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Number of tasks, at most `MAX_TASKS`.
    pub tasks: u32,
    /// Resources of each task.
    pub each: Resources,
    /// Declared run time of a task in ms. It is an estimate and often inaccurate.
    #[serde(default)]
    pub run_ms: u64,
    /// True when the job must start within the time bound for urgent work.
    #[serde(default)]
    pub urgent: bool,
    /// Payload for the worker; opaque to the scheduler.
    #[serde(default)]
    pub payload: Name,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The job is accepted; its tasks wait or run.
    Active,
    /// All tasks have completed.
    Completed,
    /// The job has failed; the status contains the reason.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

/// A job as stored in the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Fleet-wide identifier.
    pub id: JobId,
    /// Team to which the resources are accounted.
    pub team: Name,
    /// Queue to which the job was submitted.
    pub queue: Name,
    /// Kind of work that the queue accepted.
    pub work: WorkKind,
    /// Specification as submitted.
    pub spec: Spec,
    /// State as last recorded; tasks start only while it is `Active`.
    pub phase: Phase,
    /// Indices of the tasks that are known to have completed.
    pub done: Vec<TaskIndex>,
    /// Why the job failed; empty otherwise.
    pub reason: Name,
}

/// Status of a job as reported to its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Fleet-wide identifier.
    pub id: JobId,
    /// State at the time of the report.
    pub phase: Phase,
    /// Total number of tasks.
    pub tasks: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of completed tasks.
    pub completed: u32,
    /// Why the job waits or failed, or where it was placed.
    pub explanation: Vec<Name>,
}
