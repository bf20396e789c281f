//! In-memory state of the owner's jobs, their steps and tasks, and their runs.
//!
//! Invariant: `Task::runs` lists exactly the runs of the task that are in
//! `Ledger::runs`, and a job index is never reused.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use model::{
    Attempt, Graph, JobId, Name, Occurrence, Resources, RunKey, Stage, Step, StepIndex, TaskId,
    TaskIndex,
};

use crate::acceptance::Acceptance;
use crate::event::{CallId, QueryId};
use crate::failures::FailedOn;
use crate::fleet::ServerIx;
use crate::losses::Losses;
use crate::partition::PartitionId;
use crate::rows::{JobRecord, StepRecord, Submission};

/// Index of a job, unique within one ownership term.
pub(crate) type JobIx = u32;

/// Identifies a step of a job in one occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepRef {
    pub(crate) job: JobIx,
    pub(crate) occurrence: Occurrence,
    pub(crate) step: StepIndex,
}

impl StepRef {
    /// Reference to the task of this step with the given index.
    pub(crate) fn task(self, index: TaskIndex) -> TaskRef {
        TaskRef { step: self, index }
    }
}

/// Identifies a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskRef {
    pub(crate) step: StepRef,
    pub(crate) index: TaskIndex,
}

impl TaskRef {
    /// Reference to the run of this task with the given number.
    pub(crate) fn run(self, number: Attempt) -> RunRef {
        RunRef { task: self, number }
    }
}

/// Identifies a run, which is one attempt to execute a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RunRef {
    pub(crate) task: TaskRef,
    pub(crate) number: Attempt,
}

/// State of a run as far as the owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Placed; the start order is sent once the run is recorded, or without a
    /// record while the table service is unavailable.
    Planned,
    /// The start order was sent and has not been answered.
    Starting,
    /// Confirmed by the backend server.
    Running,
    /// A stop was requested, or it is unknown whether the run exists. Its
    /// resources stay reserved until it can no longer be executing.
    Stopping,
}

/// Placement of a run that may exist on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) server: ServerIx,
    pub(crate) state: RunState,
    /// Resources that it counts against its team's limit.
    pub(crate) held: Resources,
    /// When the run was planned, then when its start order was sent.
    pub(crate) ordered_at: Duration,
    /// True once the backend server is known to have received the run.
    pub(crate) confirmed: bool,
    /// Time of the last confirmation or, before the first one, of the start
    /// order.
    pub(crate) confirmed_at: Duration,
    /// Completed part of the work in percent; 100 for a long-running task that
    /// serves requests.
    pub(crate) percent: u8,
    /// When `percent` was last reported, and when a report last showed more than before.
    pub(crate) reported_at: Option<Duration>,
    pub(crate) advanced_at: Option<Duration>,
    /// Last reported tail latency in ms, or number of processors in use.
    pub(crate) gauge: u64,
    /// Pace last ordered, in percent of full speed.
    pub(crate) pace: u8,
    /// When the tail latency was last too high to speed up best-effort tasks.
    pub(crate) last_high_latency_at: Option<Duration>,
    /// Call id of the outstanding stop order, if any.
    pub(crate) stop_call: Option<CallId>,
    /// When the backend server acknowledged the stop.
    pub(crate) stop_acknowledged_at: Option<Duration>,
    /// Earliest time at which an unanswered stop is sent again.
    pub(crate) next_stop_at: Duration,
}

impl Placement {
    /// Applies a report of the completed part of the work.
    pub(crate) fn observe_percent(&mut self, percent: u8, now: Duration) {
        if percent > self.percent {
            self.advanced_at = Some(now);
        }
        self.percent = percent;
        self.reported_at = Some(now);
    }
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    /// Numbers of its failed runs. They are kept by number, not as a
    /// count, since a backend server may list the same ended run again to a later
    /// owner.
    pub(crate) failures: Vec<Attempt>,
    /// Runs that were lost with their backend server; those of a gang are kept at its
    /// first task.
    pub(crate) losses: Losses,
    /// Latest checkpoint; empty if there is none.
    pub(crate) checkpoint: Name,
    /// Numbers of its runs that may exist.
    pub(crate) runs: Vec<Attempt>,
    /// Highest run number known in this term.
    pub(crate) last_run_number: Attempt,
    /// When a run of it last ended.
    pub(crate) last_ended_at: Duration,
    /// Backend servers on which runs of it have failed. Those of a gang are kept at its
    /// first task, one for each failed attempt.
    pub(crate) failed_on: FailedOn,
    /// Backend server of the most recent run in `losses`.
    pub(crate) last_lost_on: Option<ServerIx>,
}

impl Task {
    /// True if the task is not completed and no run of it may exist.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// Ticket of the external admission policy, with the time until which it can be
/// used.
pub(crate) type Ticket = (Name, Duration);

/// Decisions of the external admission policy for a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionState {
    /// Tickets by backend server id.
    pub(crate) tickets: HashMap<Name, Ticket>,
    /// Backend servers that the policy has allowed, including those whose
    /// ticket has expired since.
    pub(crate) allowed: HashSet<Name>,
    /// Backend servers that the policy has denied.
    pub(crate) denied: HashSet<Name>,
    /// Call id of the outstanding query to the policy, if any.
    pub(crate) query: Option<QueryId>,
    /// Earliest time of the next query, set after a query that failed.
    pub(crate) next_query_at: Duration,
}

/// State of a step in one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    /// Number of completed tasks.
    pub(crate) done_count: u32,
    /// Backend servers on which tasks of it have failed.
    pub(crate) failed_on: FailedOn,
    /// True when its failures say nothing about backend servers, until a task of it
    /// completes.
    pub(crate) at_fault: bool,
    /// When a placement pass first found the step ready to start.
    pub(crate) ready_since: Option<Duration>,
    pub(crate) admission: AdmissionState,
}

impl StepState {
    /// True if every task is completed.
    pub(crate) fn is_done(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }

    /// Indices of the tasks that wait to be started.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = TaskIndex> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, _)| index as TaskIndex)
    }
}

/// A job that the owner manages.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    /// Partition of its rows.
    pub(crate) partition: PartitionId,
    pub(crate) queue: Name,
    /// Service to use if the queue is no longer configured.
    pub(crate) service: Name,
    pub(crate) team: Name,
    pub(crate) graph: Arc<Graph>,
    /// Settings that it was accepted under; `None` if an earlier build did not keep them.
    pub(crate) acceptance: Option<Acceptance>,
    /// Step states of each occurrence created so far.
    pub(crate) occurrences: BTreeMap<Occurrence, Vec<StepState>>,
    pub(crate) stage: Stage,
    pub(crate) cancelled: bool,
    /// Version of the state row. Writes of the row are conditional on it.
    pub(crate) record_version: u64,
    /// True if an earlier owner may have started tasks of this job.
    pub(crate) inherited: bool,
    /// True if the state row has to be written.
    pub(crate) dirty: bool,
    /// When this owner first learned of the job.
    pub(crate) first_seen_at: Duration,
    /// True if the job exceeded its team's submission rate.
    pub(crate) beyond_rate: bool,
    /// True if the queue was urgent when this owner first learned of the job.
    pub(crate) urgent: bool,
    /// Estimated times; see `Owner::refresh_forecast`.
    pub(crate) forecast: Option<Forecast>,
}

/// Estimated times of a job.
#[derive(Clone, Debug)]
pub(crate) struct Forecast {
    /// When the forecast was computed.
    pub(crate) computed_at: Duration,
    /// Time allowed from the job's arrival to its completion: the queue's
    /// latency target plus the critical path times the queue's slack factor.
    pub(crate) objective: Duration,
    /// Expected time from the start of each step to the end of the job, by step
    /// index.
    pub(crate) remaining: Vec<Duration>,
}

impl Job {
    /// Creates a job from its submission row, whose version is also that of the
    /// state row: one transaction writes both. `inherited` is true if an earlier
    /// owner may have started tasks of the job.
    pub(crate) fn new(
        id: JobId,
        partition: PartitionId,
        row_version: u64,
        submission: Submission,
        inherited: bool,
        first_seen_at: Duration,
    ) -> Self {
        Self {
            id,
            partition,
            queue: submission.queue,
            service: submission.service,
            team: submission.team,
            graph: Arc::new(submission.graph),
            acceptance: submission.acceptance,
            occurrences: BTreeMap::new(),
            stage: Stage::Queued,
            cancelled: false,
            record_version: row_version,
            inherited,
            dirty: false,
            first_seen_at,
            beyond_rate: false,
            urgent: false,
            forecast: None,
        }
    }

    /// Restores the state that an earlier owner recorded.
    pub(crate) fn restore(&mut self, version: u64, record: &JobRecord) {
        self.record_version = version;
        if !self.cancelled {
            self.stage = record.stage;
        }
        for (&(occurrence, step), saved) in &record.steps {
            if (step as usize) < self.graph.steps.len() {
                self.create_occurrence(occurrence);
                self.restore_step(occurrence, step, saved);
            }
        }
        for (&(occurrence, step), saved) in &record.losses {
            if (step as usize) < self.graph.steps.len() {
                self.create_occurrence(occurrence);
                self.restore_losses(occurrence, step, saved);
            }
        }
    }

    fn restore_losses(
        &mut self,
        occurrence: Occurrence,
        step: StepIndex,
        saved: &[(TaskIndex, Losses)],
    ) {
        let state = self.occurrences.get_mut(&occurrence);
        let Some(state) = state.and_then(|steps| steps.get_mut(step as usize)) else {
            return;
        };
        for (index, losses) in saved {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.losses = losses.clone();
            }
        }
    }

    fn restore_step(&mut self, occurrence: Occurrence, step: StepIndex, saved: &StepRecord) {
        let state = self.occurrences.get_mut(&occurrence);
        let Some(state) = state.and_then(|steps| steps.get_mut(step as usize)) else {
            return;
        };
        for (index, task) in state.tasks.iter_mut().enumerate() {
            task.done = saved.is_done(index as TaskIndex);
            state.done_count += u32::from(task.done);
        }
        for (index, failures) in &saved.failures {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.failures.clone_from(failures);
            }
        }
        for (index, checkpoint) in &saved.checkpoints {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.checkpoint = checkpoint.clone();
            }
        }
    }

    /// Creates the step states of an occurrence, if they do not exist yet.
    pub(crate) fn create_occurrence(&mut self, occurrence: Occurrence) {
        let graph = &self.graph;
        self.occurrences.entry(occurrence).or_insert_with(|| {
            let steps = graph.steps.iter().map(|step| StepState {
                tasks: vec![Task::default(); step.tasks as usize],
                ..StepState::default()
            });
            steps.collect()
        });
    }

    /// True if every task of every occurrence is completed.
    pub(crate) fn is_done(&self) -> bool {
        self.occurrences.len() as u32 == self.graph.occurrences()
            && self.occurrences.values().flatten().all(StepState::is_done)
    }

    /// True if every step that the given step depends on is completed.
    pub(crate) fn is_ready(&self, occurrence: Occurrence, step: StepIndex) -> bool {
        let (Some(states), Some(spec)) = (
            self.occurrences.get(&occurrence),
            self.graph.steps.get(step as usize),
        ) else {
            return false;
        };
        let done = |predecessor: &StepIndex| {
            states
                .get(*predecessor as usize)
                .is_some_and(|s| s.is_done())
        };
        spec.depends_on.iter().all(done)
    }

    /// Durable record of the job's tasks, without its runs.
    fn record(&self) -> JobRecord {
        let mut record = JobRecord {
            stage: self.stage,
            ..JobRecord::default()
        };
        if self.stage.is_terminal() {
            return record;
        }
        for (&occurrence, states) in &self.occurrences {
            for (step, state) in states.iter().enumerate() {
                let saved = step_record(state);
                let key = (occurrence, step as StepIndex);
                if saved != StepRecord::default() {
                    record.steps.insert(key, saved);
                }
                let losses = losses_of(state);
                if !losses.is_empty() {
                    record.losses.insert(key, losses);
                }
            }
        }
        record
    }
}

/// Losses of the tasks of a step that have any and are not completed.
fn losses_of(state: &StepState) -> Vec<(TaskIndex, Losses)> {
    let tasks = state.tasks.iter().enumerate();
    let lost = tasks.filter(|(_, task)| !task.done && !task.losses.is_empty());
    lost.map(|(index, task)| (index as TaskIndex, task.losses.clone()))
        .collect()
}

fn step_record(state: &StepState) -> StepRecord {
    let mut saved = StepRecord::default();
    for (index, task) in state.tasks.iter().enumerate() {
        let index = index as TaskIndex;
        if task.done {
            saved.set_done(index);
            continue;
        }
        if !task.failures.is_empty() {
            saved.failures.push((index, task.failures.clone()));
        }
        if !task.checkpoint.is_empty() {
            saved.checkpoints.push((index, task.checkpoint.clone()));
        }
    }
    saved
}

/// Jobs and runs of one ownership term.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) jobs: BTreeMap<JobIx, Job>,
    by_id: HashMap<JobId, JobIx>,
    pub(crate) runs: HashMap<RunRef, Placement>,
    /// Those of `runs` whose tasks may have copies.
    pub(crate) speculative_runs: BTreeSet<RunRef>,
    next_index: JobIx,
}

impl Ledger {
    /// Adds a job and assigns its index.
    pub(crate) fn insert(&mut self, job: Job) -> JobIx {
        let ix = self.next_index;
        self.next_index += 1;
        self.by_id.insert(job.id.clone(), ix);
        self.jobs.insert(ix, job);
        ix
    }

    /// Index of a job; `None` if the owner does not manage it.
    pub(crate) fn find(&self, id: &JobId) -> Option<JobIx> {
        self.by_id.get(id).copied()
    }

    /// Removes a job, which must be in a terminal stage and have no runs left.
    pub(crate) fn remove(&mut self, ix: JobIx) -> Option<Job> {
        let job = self.jobs.remove(&ix)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    /// Specification of a step.
    pub(crate) fn spec(&self, step: StepRef) -> Option<&Step> {
        self.jobs
            .get(&step.job)?
            .graph
            .steps
            .get(step.step as usize)
    }

    /// State of a step; `None` if its job was removed or its occurrence was not
    /// created.
    pub(crate) fn step(&self, step: StepRef) -> Option<&StepState> {
        let occurrences = &self.jobs.get(&step.job)?.occurrences;
        occurrences.get(&step.occurrence)?.get(step.step as usize)
    }

    pub(crate) fn step_mut(&mut self, step: StepRef) -> Option<&mut StepState> {
        let occurrences = &mut self.jobs.get_mut(&step.job)?.occurrences;
        occurrences
            .get_mut(&step.occurrence)?
            .get_mut(step.step as usize)
    }

    pub(crate) fn task(&self, task: TaskRef) -> Option<&Task> {
        self.step(task.step)?.tasks.get(task.index as usize)
    }

    pub(crate) fn task_mut(&mut self, task: TaskRef) -> Option<&mut Task> {
        self.step_mut(task.step)?.tasks.get_mut(task.index as usize)
    }

    /// The task that holds the losses of a run: that of the run itself, or the first of
    /// its gang, whose members are started and lost together.
    pub(crate) fn loss_holder(&self, task: TaskRef) -> TaskRef {
        match self.spec(task.step).is_some_and(|spec| spec.gang) {
            true => task.step.task(0),
            false => task,
        }
    }

    /// Resolves the id of a task. Creates the occurrence if needed, since a
    /// backend server may report a task of an occurrence that this owner has
    /// not created yet.
    pub(crate) fn resolve(&mut self, id: &TaskId) -> Option<TaskRef> {
        let step = StepRef {
            job: self.find(&id.job)?,
            occurrence: id.occurrence,
            step: id.step,
        };
        let job = self.jobs.get_mut(&step.job)?;
        let spec = job.graph.steps.get(id.step as usize)?;
        let exists = id.index < spec.tasks && id.occurrence < job.graph.occurrences();
        exists.then(|| job.create_occurrence(id.occurrence))?;
        Some(step.task(id.index))
    }

    /// Id of a run in orders and run lists; `None` if its job was removed.
    pub(crate) fn run_id(&self, run: RunRef) -> Option<RunKey> {
        let TaskRef { step, index } = run.task;
        Some(RunKey {
            task: TaskId {
                job: self.jobs.get(&step.job)?.id.clone(),
                occurrence: step.occurrence,
                step: step.step,
                index,
            },
            number: run.number,
        })
    }

    /// Durable record of a job, with the runs that may exist. `server` returns
    /// the id and incarnation of a backend server.
    pub(crate) fn record<F>(&self, ix: JobIx, server: F) -> JobRecord
    where
        F: Fn(ServerIx) -> (Name, u64),
    {
        let Some(job) = self.jobs.get(&ix) else {
            return JobRecord::default();
        };
        let mut record = job.record();
        for run in self.runs_of(ix) {
            let Some(placed) = self.runs.get(&run) else {
                continue;
            };
            let RunRef { task, number } = run;
            let entry = (task.step.occurrence, task.step.step, task.index, number);
            let at = record.placed.entry(server(placed.server)).or_default();
            at.push(entry);
        }
        record
    }

    /// Runs of a job that may exist.
    pub(crate) fn runs_of(&self, job: JobIx) -> Vec<RunRef> {
        let Some(entry) = self.jobs.get(&job) else {
            return Vec::new();
        };
        let mut runs = Vec::new();
        for (&occurrence, states) in &entry.occurrences {
            for (step, state) in states.iter().enumerate() {
                let step = StepRef {
                    job,
                    occurrence,
                    step: step as StepIndex,
                };
                runs.extend(runs_of_step(step, state));
            }
        }
        runs
    }
}

/// Runs of a step that may exist.
pub(crate) fn runs_of_step(step: StepRef, state: &StepState) -> impl Iterator<Item = RunRef> + '_ {
    let tasks = state.tasks.iter().enumerate();
    tasks.flat_map(move |(index, task)| {
        let task_ref = step.task(index as TaskIndex);
        task.runs.iter().map(move |number| task_ref.run(*number))
    })
}
