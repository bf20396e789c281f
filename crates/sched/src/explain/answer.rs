//! Questions and answers of explanations, as the interface of an entry VM carries them.
//!
//! Invariant: an answer names at most `MAX_NAMED` servers and `MAX_STEPS` steps.

use model::{Graph, GraphError, JobId, Name, Stage, StepIndex};
use serde::Serialize;

/// Maximum number of servers that the explanation of a step names.
pub(crate) const MAX_NAMED: usize = 10;
/// Maximum number of steps in an explanation.
pub(crate) const MAX_STEPS: usize = 16;

/// What to explain.
#[derive(Clone, Debug)]
pub enum Subject {
    /// An accepted job.
    Job(JobId),
    /// A job that was not submitted, as if it had just been accepted.
    Graph {
        /// Queue to which it would be submitted.
        queue: Name,
        /// Team that would submit it; empty for an anonymous caller.
        team: Name,
        /// The job.
        graph: Box<Graph>,
    },
}

/// Why there is no explanation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum Error {
    /// Another VM is the owner.
    #[error("{owner:?} is the owner; this VM read that {view_age_ms} ms ago")]
    NotOwner {
        /// Name of the owner; empty if there is none or it is not known.
        owner: Name,
        /// Address at which the owner accepts calls of other VMs; empty as above.
        address: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Time in ms since this VM knew who the owner is.
        view_age_ms: u64,
        /// Time in ms for which the owner had shown no activity by then.
        silent_ms: u64,
    },
    /// Too many explanations were requested.
    #[error("too many explanations; repeat in {retry_after_ms} ms")]
    Busy {
        /// Time in ms after which another request can be answered.
        retry_after_ms: u64,
    },
    /// The owner is still reading the stored jobs, or has no configuration.
    #[error("the owner has not read the stored jobs and the configuration yet")]
    Recovering,
    /// The configuration has no such queue.
    #[error("queue: no queue is named {queue:?}")]
    NoQueue {
        /// Name in the request.
        queue: Name,
    },
    /// The configuration has no such team.
    #[error("team: no team is named {team:?}")]
    NoTeam {
        /// Name in the request.
        team: Name,
    },
    /// The owner does not know the job: it was not accepted, or ended long ago.
    #[error("job: the owner manages no job {job:?}")]
    NoJob {
        /// Id in the request.
        job: JobId,
    },
    /// The job has ended.
    #[error("job: {job:?} has ended")]
    Ended {
        /// Id in the request.
        job: JobId,
        /// How it ended, if the owner still knows it.
        stage: Option<Stage>,
    },
    /// A field of the request is invalid.
    #[error("{field}: {reason}")]
    Invalid {
        /// Name of the field, with its parents separated by dots.
        field: Name,
        /// What is wrong with it.
        reason: Name,
    },
}

impl From<GraphError> for Error {
    fn from(error: GraphError) -> Self {
        let field = match error {
            GraphError::Steps | GraphError::Row => "steps",
            GraphError::Tasks => "steps.tasks",
            GraphError::Order => "steps.depends_on",
            GraphError::Payload => "payload",
            GraphError::Name => "steps.image",
            GraphError::Time => "steps.estimate",
        };
        Self::Invalid {
            field: field.into(),
            reason: compact_str::format_compact!("{error}"),
        }
    }
}

/// Number of servers that can't run a task of a step now, by the first reason that
/// applies in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Excluded {
    /// They belong to other services.
    pub service: u32,
    /// Their data centre is evacuated, or it is not known whether it is.
    pub evacuated: u32,
    /// They have not accepted this owner yet, or left the registry.
    pub unreached: u32,
    /// They are draining.
    pub draining: u32,
    /// They don't answer.
    pub unresponsive: u32,
    /// They are suspected of failing tasks, or run a suspect on probation.
    pub suspected: u32,
    /// They run tasks that this owner does not know and stops.
    pub orphans: u32,
    /// They lack the label.
    pub label: u32,
    /// The external admission policy has denied them.
    pub denied: u32,
    /// Their whole capacity is too small.
    pub capacity: u32,
    /// Their free resources are too small now.
    pub room: u32,
    /// There is no valid ticket for them.
    pub ticket: u32,
    /// They are withheld for a suspect.
    pub withheld: u32,
    /// They run as many tasks of the step as its spread permits.
    pub spread: u32,
    /// They are not available for another reason.
    pub other: u32,
}

impl Excluded {
    pub(crate) fn add(&mut self, reason: Reason) {
        let count = match reason {
            Reason::Service => &mut self.service,
            Reason::Evacuated => &mut self.evacuated,
            Reason::Unreached => &mut self.unreached,
            Reason::Draining => &mut self.draining,
            Reason::Unresponsive => &mut self.unresponsive,
            Reason::Suspected => &mut self.suspected,
            Reason::Orphans => &mut self.orphans,
            Reason::Label => &mut self.label,
            Reason::Denied => &mut self.denied,
            Reason::Capacity => &mut self.capacity,
            Reason::Room => &mut self.room,
            Reason::Ticket => &mut self.ticket,
            Reason::Withheld => &mut self.withheld,
            Reason::Spread => &mut self.spread,
            Reason::Other => &mut self.other,
        };
        *count += 1;
    }

    /// Number of servers that could run a task at another time.
    pub(crate) fn capable(&self) -> u32 {
        self.room + self.ticket + self.withheld + self.spread
    }
}

/// Why a server can't run a task of a step; see [`Excluded`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    Service,
    Evacuated,
    Unreached,
    Draining,
    Unresponsive,
    Suspected,
    Orphans,
    Label,
    Denied,
    Capacity,
    Room,
    Ticket,
    Withheld,
    Spread,
    Other,
}

/// What would happen to a step in a placement pass now, if no step ahead of it took
/// resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All its tasks are completed.
    Done,
    /// All its tasks that are not completed run.
    Running,
    /// It waits for the steps in `blocked_by`.
    AfterSteps,
    /// Runs of it that an earlier owner started may exist unseen.
    UnknownRuns,
    /// The owner's term is not confirmed, so nothing starts.
    Paused,
    /// No server that is available now can ever run it.
    NoServer,
    /// The external admission policy has to be queried first.
    Query,
    /// The team's limit permits no further task.
    Limit,
    /// All its waiting tasks start.
    Starts,
    /// Some of its waiting tasks start.
    StartsPartly,
    /// It waits for tickets of servers with room.
    Ticket,
    /// Its tasks may have crashed servers, and start apart from others.
    Suspect,
    /// It waits for free resources.
    Room,
    /// It is a gang of too many tasks to be planned for an explanation.
    Unexamined,
}

/// Place of a step among those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Place {
    /// Number of steps that are offered resources before it.
    pub ahead: u32,
    /// Number of steps that wait, with it.
    pub waiting: u32,
}

/// Explanation of one step. Times are in ms.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StepExplanation {
    /// Index of the step.
    pub step: StepIndex,
    /// Number of its tasks.
    pub tasks: u32,
    /// Number of its completed tasks.
    pub done: u32,
    /// Number of its tasks that wait to start.
    pub waiting: u32,
    /// What would happen to it now.
    pub verdict: Verdict,
    /// Steps that must be completed before it starts.
    pub blocked_by: Vec<StepIndex>,
    /// Number of servers that can run a task of it now.
    pub qualified: u32,
    /// Some of them, those on which it would be placed first.
    pub servers: Vec<Name>,
    /// Number of the other servers, by reason.
    pub excluded: Excluded,
    /// Number of waiting tasks that the team's limit permits.
    pub within_limit: u32,
    /// Number of waiting tasks for which there is room now.
    pub startable: u32,
    /// True if `startable` was computed for part of the tasks only.
    pub bounded: bool,
    /// Number of servers that a query to the external admission policy would name;
    /// zero without such a policy.
    pub query_servers: u32,
    /// Its place among the waiting steps; `None` unless it is ready to start.
    pub rank: Option<Place>,
    /// Expected run time of a task.
    pub run_ms: u64,
    /// Expected time from its start to the end of the job.
    pub remaining_ms: u64,
    /// Whether the job would end within its objective if the step started now.
    pub on_time: bool,
}

/// Explanation of a job. Times are in ms.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Name of the owner, which has answered.
    pub owner: Name,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Version of the configuration.
    pub config: u64,
    /// Id of the job; empty if it was not submitted.
    pub job: JobId,
    /// Queue of the job.
    pub queue: Name,
    /// Team of the job; empty for an anonymous caller.
    pub team: Name,
    /// Service whose servers run the job.
    pub service: Name,
    /// Stage of the job.
    pub stage: Stage,
    /// Whether the job exceeded its team's submission rate. A job that was not
    /// submitted counts as within the rate.
    pub beyond_rate: bool,
    /// Time since the owner learned of the job.
    pub age_ms: u64,
    /// Time within which it should end, counted as `age_ms`.
    pub objective_ms: u64,
    /// Occurrence that the steps belong to; `None` if the next one is not due yet.
    pub occurrence: Option<u32>,
    /// Steps, from the first one that is not completed.
    pub steps: Vec<StepExplanation>,
    /// Number of further steps.
    pub steps_left_out: u32,
}
