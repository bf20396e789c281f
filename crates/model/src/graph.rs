//! Jobs as graphs of steps, and what becomes of them.
//!
//! Invariant: a step names only earlier steps as predecessors, so a graph
//! that `verify` accepts has no cycle.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Attempt, JobId, Name, Resources, TaskIndex};

/// Index of a step within its graph.
pub type StepIndex = u32;
/// Number of one occurrence of a recurring job; zero for a plain job.
pub type Occurrence = u32;

/// Most steps of one graph.
pub const MAX_STEPS: usize = 256;
/// Most tasks of one graph, all steps together.
pub const MAX_GRAPH_TASKS: u32 = 16_384;
/// Largest payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// One step: tasks of one shape.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub each: Resources,
    /// True when the processors in `each` are best effort: they are not
    /// committed, and the task runs on what others leave.
    #[serde(rename = "fills")]
    pub best_effort_cpu: bool,
    /// Declared run time of a task; often far off.
    pub estimate: Duration,
    /// Steps that must be completed first.
    #[serde(rename = "after")]
    pub depends_on: Vec<StepIndex>,
    /// Tasks that run only together and end together.
    pub gang: bool,
    /// The gang slows down when it spans racks.
    pub one_rack: bool,
    /// Label that the backend server must have.
    pub label: Option<Name>,
    /// Rack that holds the data.
    pub data_rack: Option<Name>,
    /// Most tasks of the step on one backend server.
    pub spread: Option<u32>,
    /// Copies of a task may run at once; the first to end counts.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Name,
    /// Bound on the tail of the response times of a long-running task.
    pub latency_target: Option<Duration>,
    /// Availability budget: tasks that the system may keep away at once.
    #[serde(rename = "may_be_away")]
    pub disruption_budget: Option<u32>,
    /// Tasks save checkpoints and resume from them.
    pub checkpoints: bool,
}

impl Step {
    /// Resources that one task commits on its backend server.
    #[must_use]
    pub fn committed(&self) -> Resources {
        match self.best_effort_cpu {
            true => Resources {
                millicpus: 0,
                ..self.each
            },
            false => self.each,
        }
    }
}

/// When a recurring job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// Number of occurrences.
    pub times: u32,
    /// Due time of the first, since 1970.
    pub first: Duration,
    /// Time between due times.
    pub every: Duration,
}

impl Recurrence {
    /// Due time of one occurrence, since 1970.
    #[must_use]
    pub fn due(&self, occurrence: Occurrence) -> Duration {
        self.first + self.every * occurrence
    }
}

/// What a caller submits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Graph {
    /// Opaque text for the tasks.
    pub payload: Name,
    /// Steps in the order in which they name each other.
    pub steps: Vec<Step>,
    /// Due times of a recurring job.
    pub recurrence: Option<Recurrence>,
}

/// Why a graph is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GraphError {
    /// No steps, or too many.
    #[error("a job needs 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step without tasks, or too many tasks.
    #[error("a job needs 1 to {MAX_GRAPH_TASKS} tasks, and at least one a step")]
    Tasks,
    /// A step depends on itself or on a later one.
    #[error("a step may depend on earlier steps only")]
    Order,
    /// The payload is too long.
    #[error("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    Payload,
}

impl Graph {
    /// Checks the bounds and the order of the steps.
    ///
    /// # Errors
    /// Names the first flaw found.
    pub fn verify(&self) -> Result<(), GraphError> {
        let steps = &self.steps;
        let tasks = steps
            .iter()
            .fold(0_u32, |sum, step| sum.saturating_add(step.tasks));
        let has_empty_step = steps.iter().any(|step| step.tasks == 0);
        let depends_on_later =
            |(i, step): (usize, &Step)| step.depends_on.iter().any(|p| *p as usize >= i);
        match () {
            () if steps.is_empty() || steps.len() > MAX_STEPS => Err(GraphError::Steps),
            () if has_empty_step || tasks > MAX_GRAPH_TASKS => Err(GraphError::Tasks),
            () if steps.iter().enumerate().any(depends_on_later) => Err(GraphError::Order),
            () if self.payload.len() > MAX_PAYLOAD_BYTES => Err(GraphError::Payload),
            () => Ok(()),
        }
    }

    /// Number of occurrences; one for a plain job.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |r| r.times)
    }

    /// True when a step runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// Names one task of a graph job across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Job.
    pub job: JobId,
    /// Occurrence.
    pub occurrence: Occurrence,
    /// Step.
    pub step: StepIndex,
    /// Task within the step.
    pub index: TaskIndex,
}

/// One start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub number: Attempt,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// Completed.
    Completed,
    /// Failed by its own fault or the backend server's.
    Failed,
    /// Stopped on order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    #[serde(rename = "broken")]
    GangMemberEnded,
    /// The other members of its gang did not come in time.
    #[serde(rename = "alone")]
    GangIncomplete,
}

/// Where a graph job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Accepted; no task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// Every task completed.
    Completed,
    /// A task or gang failed as often as its queue allows.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl Stage {
    /// True when nothing of the job will start any more.
    #[must_use]
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
