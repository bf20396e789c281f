//! Graph jobs: steps, tasks, runs and job states.
//!
//! Invariant: in a graph that `verify` accepts, each step depends on earlier
//! steps only, so the graph is acyclic.

pub(crate) mod size;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Attempt, JobId, Name, Resources, TaskIndex};

pub use size::MAX_ROW_BYTES;

/// Index of a step within its graph.
pub type StepIndex = u32;
/// Zero-based occurrence of a recurring job; zero for a job that runs once.
pub type Occurrence = u32;

/// Maximum number of steps in a graph.
pub const MAX_STEPS: usize = 256;
/// Maximum number of tasks in a graph, summed over its steps.
pub const MAX_GRAPH_TASKS: u32 = 16_384;
/// Maximum size of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum size of the name of an image, label or rack in bytes.
pub const MAX_NAME_BYTES: usize = 512;
/// Longest time that a job may state, ten years: times are added to clocks.
pub const MAX_TIME: Duration = Duration::from_secs(10 * 365 * 86_400);

/// A step: a set of tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1 and at most `MAX_GRAPH_TASKS` over all steps.
    pub tasks: u32,
    /// Resources of each task.
    pub each: Resources,
    /// True when the processor demand in `each` is best effort: it is not
    /// committed, and the task runs on capacity that other tasks leave idle.
    #[serde(rename = "fills")]
    pub best_effort_cpu: bool,
    /// Declared run time of a task. It is an estimate and often inaccurate.
    pub estimate: Duration,
    /// Steps that must complete before this one starts.
    #[serde(rename = "after")]
    pub depends_on: Vec<StepIndex>,
    /// True when the tasks form a gang: they run concurrently or not at all,
    /// and end together.
    pub gang: bool,
    /// True when the gang runs slower if it spans several racks.
    pub one_rack: bool,
    /// Label that the backend server must have.
    pub label: Option<Name>,
    /// Rack that holds the input data.
    pub data_rack: Option<Name>,
    /// Maximum number of tasks of the step on one backend server.
    pub spread: Option<u32>,
    /// True when several copies of a task may run concurrently; the first copy to
    /// complete determines the result.
    pub speculative: bool,
    /// True when the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run. Run times are estimated per image, because tasks
    /// of one image behave alike.
    pub image: Name,
    /// Bound on the tail latency of the responses of a long-running task.
    pub latency_target: Option<Duration>,
    /// Disruption budget: maximum number of tasks that the system may take down at
    /// once.
    #[serde(rename = "may_be_away")]
    pub disruption_budget: Option<u32>,
    /// True when tasks save checkpoints and resume from them.
    pub checkpoints: bool,
}

impl Step {
    /// Returns the resources that one task commits on its backend server.
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

    fn has_long_name(&self) -> bool {
        let names = [
            Some(&self.image),
            self.label.as_ref(),
            self.data_rack.as_ref(),
        ];
        let mut names = names.into_iter().flatten();
        names.any(|name| name.len() > MAX_NAME_BYTES)
    }
}

/// Schedule of a recurring job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// Number of occurrences.
    pub times: u32,
    /// Due time of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Interval between due times.
    pub every: Duration,
}

impl Recurrence {
    /// Returns the due time of an occurrence, since the Unix epoch.
    #[must_use]
    pub fn due(&self, occurrence: Occurrence) -> Duration {
        self.first
            .saturating_add(self.every.saturating_mul(occurrence))
    }
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Graph {
    /// Text passed to the tasks uninterpreted.
    pub payload: Name,
    /// Steps in topological order.
    pub steps: Vec<Step>,
    /// Schedule of a recurring job; `None` for a job that runs once.
    pub recurrence: Option<Recurrence>,
}

/// Why a graph is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GraphError {
    /// The graph has no steps or too many.
    #[error("a job needs 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no tasks, or the graph has too many.
    #[error("a job needs 1 to {MAX_GRAPH_TASKS} tasks, and at least one per step")]
    Tasks,
    /// A step depends on itself or on a later one.
    #[error("a step may depend on earlier steps only")]
    Order,
    /// The payload is too long.
    #[error("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    Payload,
    /// The name of an image, label or rack is too long.
    #[error("a name is longer than {MAX_NAME_BYTES} bytes")]
    Name,
    /// A declared run time, latency target or interval is too long.
    #[error("a time is longer than ten years")]
    Time,
    /// The job's submission or state may not fit in a row of the table service.
    #[error("the job has too many tasks, occurrences or texts for a row of {MAX_ROW_BYTES} bytes")]
    Row,
}

impl Graph {
    /// Validates the size limits and the dependencies of the steps.
    ///
    /// # Errors
    /// Returns the first error found.
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
            () if steps.iter().any(Step::has_long_name) => Err(GraphError::Name),
            () if self.longest_time() > MAX_TIME => Err(GraphError::Time),
            () if !self.rows_fit() => Err(GraphError::Row),
            () => Ok(()),
        }
    }

    /// The longest time that the job states, without the date of its first occurrence.
    fn longest_time(&self) -> Duration {
        let steps = self.steps.iter();
        let times = steps.flat_map(|step| [Some(step.estimate), step.latency_target]);
        let every = self.recurrence.map(|recurrence| recurrence.every);
        times.chain([every]).flatten().max().unwrap_or_default()
    }

    /// Returns the number of occurrences; one for a job that runs once.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |r| r.times)
    }

    /// Returns true when a step runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// Fleet-wide identifier of a task of a graph job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of the job; zero for a job that runs once.
    pub occurrence: Occurrence,
    /// Index of the step within the graph of the job.
    pub step: StepIndex,
    /// Index of the task within its step.
    pub index: TaskIndex,
}

/// Identifier of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunKey {
    /// Task that is run.
    pub task: TaskId,
    /// Attempt number of the run; a later run of the task has a higher one.
    pub number: Attempt,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task completed.
    Completed,
    /// The task failed, through its own fault or that of the backend server.
    Failed,
    /// The run was stopped by an order of the scheduler.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the gang ended.
    #[serde(rename = "broken")]
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
}

/// State of a graph job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The job is accepted and no task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task or gang has failed as often as its queue allows.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl Stage {
    /// Returns true when no task of the job will start any more.
    #[must_use]
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
