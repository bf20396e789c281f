//! Jobs, their tasks and what callers see of them.
//!
//! Invariant: a job's `done` list only grows, and a terminal phase is final.

use serde::{Deserialize, Serialize};

use crate::{JobId, Name, Resources, TaskIndex};

/// Most tasks of one job.
pub const MAX_TASKS: u32 = 4_096;

/// Kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// A request answered by an executor.
    Request,
    /// Long-running tasks, spread over racks.
    Service,
    /// Independent tasks.
    Batch,
    /// Tasks that start all together or not at all.
    Gang,
}

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub each: Resources,
    /// Declared run time of a task in ms; often far off.
    #[serde(default)]
    pub run_ms: u64,
    /// True when the job must start within the urgent bound.
    #[serde(default)]
    pub urgent: bool,
    /// What the worker is to run; opaque to the scheduler.
    #[serde(default)]
    pub payload: Name,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted; tasks wait or run.
    Active,
    /// Every task completed.
    Completed,
    /// Given up, with the reason in the status.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

/// A job as kept in the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Fleet-wide id.
    pub id: JobId,
    /// Team that pays.
    pub team: Name,
    /// Queue it came through.
    pub queue: Name,
    /// Kind of work.
    pub work: WorkKind,
    /// The caller's specification.
    pub spec: Spec,
    /// Phase.
    pub phase: Phase,
    /// Tasks known to have completed.
    pub done: Vec<TaskIndex>,
    /// Why a failed job can't run; empty otherwise.
    pub reason: Name,
}

/// A job as its caller sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Fleet-wide id.
    pub id: JobId,
    /// Phase.
    pub phase: Phase,
    /// Tasks in all.
    pub tasks: u32,
    /// Tasks running.
    pub running: u32,
    /// Tasks completed.
    pub completed: u32,
    /// Why it waits, failed, or where it went.
    pub explanation: Vec<Name>,
}
