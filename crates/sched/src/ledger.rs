//! The owner's jobs, their steps and tasks, and what runs.
//!
//! Invariant: a task lists exactly the runs of it that are in `runs`, and an
//! index is never given to another job.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use model::{
    Attempt, Graph, JobId, Name, Occurrence, Resources, Run, Stage, Step, StepIndex, TaskIndex,
    TaskName,
};

use crate::event::CallId;
use crate::fleet::ServerIx;
use crate::rows::{Record, StepRecord, Submission};

/// Dense index of a job within one term.
pub(crate) type JobIx = u32;

/// A step of a job in one occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepRef {
    pub(crate) job: JobIx,
    pub(crate) occurrence: Occurrence,
    pub(crate) step: StepIndex,
}

impl StepRef {
    /// One of its tasks.
    pub(crate) fn task(self, index: TaskIndex) -> TaskRef {
        TaskRef { step: self, index }
    }
}

/// A task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskRef {
    pub(crate) step: StepRef,
    pub(crate) index: TaskIndex,
}

impl TaskRef {
    /// One of its starts.
    pub(crate) fn run(self, number: Attempt) -> RunRef {
        RunRef { task: self, number }
    }
}

/// A start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RunRef {
    pub(crate) task: TaskRef,
    pub(crate) number: Attempt,
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Decided; ordered once its record is written.
    Planned,
    /// Ordered; no answer yet.
    Starting,
    /// Confirmed by the backend server.
    Running,
    /// Told to stop, or in doubt; room stays committed until it is surely over.
    Stopping,
}

/// A run that may exist on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) server: ServerIx,
    pub(crate) state: RunState,
    /// Resources committed for it.
    pub(crate) held: Resources,
    pub(crate) ordered_at: Duration,
    /// The backend server is known to have had it.
    pub(crate) confirmed: bool,
    /// When it was confirmed or ordered last.
    pub(crate) confirmed_at: Duration,
    /// Part of the work done; 100 for a long-running task that serves.
    pub(crate) percent: u8,
    /// Last reported tail in ms, or processors in use.
    pub(crate) gauge: u64,
    /// Pace last set.
    pub(crate) pace: u8,
    /// Since when the tail has been above its target.
    pub(crate) last_high_latency_at: Option<Duration>,
    /// Call that stops it, when one is under way.
    pub(crate) stop_call: Option<CallId>,
    /// When the stop was acknowledged.
    pub(crate) stop_acknowledged_at: Option<Duration>,
    /// Time of the next attempt to stop it.
    pub(crate) next_stop_at: Duration,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    /// Numbers of its failed runs; an end may be listed again to a later owner.
    pub(crate) failures: Vec<Attempt>,
    pub(crate) checkpoint: Name,
    /// Numbers of its runs that may exist.
    pub(crate) runs: Vec<Attempt>,
    /// Highest number used in this term.
    pub(crate) last_attempt: Attempt,
    /// When it last stopped running.
    pub(crate) last_ended_at: Duration,
    /// Backend server on which it failed last.
    pub(crate) last_failed_on: Option<ServerIx>,
}

impl Task {
    /// True when it is to be started.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// What the outside policy said of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionState {
    /// Tickets with the time until which they can be used.
    pub(crate) tickets: HashMap<Name, (Name, Duration)>,
    /// Backend servers that may run the step, also without a valid ticket.
    pub(crate) allowed: HashSet<Name>,
    /// Backend servers that may not.
    pub(crate) denied: HashSet<Name>,
    /// Call under way.
    pub(crate) call: Option<CallId>,
    /// Earliest time of the next call.
    pub(crate) next_call_at: Duration,
}

/// One step in one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    /// Completed tasks.
    pub(crate) done: u32,
    /// When its predecessors were completed.
    pub(crate) ready_since: Option<Duration>,
    pub(crate) admission: AdmissionState,
}

impl StepState {
    /// True when every task is completed.
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Indices of the tasks that are to be started.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = TaskIndex> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, _)| index as TaskIndex)
    }
}

/// A job that the owner looks after.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) queue: Name,
    /// Service when the queue is no longer configured.
    pub(crate) service: Name,
    pub(crate) team: Name,
    pub(crate) graph: Arc<Graph>,
    /// Steps of each occurrence that is due.
    pub(crate) occurrences: BTreeMap<Occurrence, Vec<StepState>>,
    pub(crate) stage: Stage,
    pub(crate) cancelled: bool,
    /// Version of the state row; what a write of it is conditional on.
    pub(crate) record_version: u64,
    /// True when an earlier owner may have started tasks of it.
    pub(crate) inherited: bool,
    /// The state row is to be written.
    pub(crate) dirty: bool,
    /// When this owner learned of it.
    pub(crate) first_seen_at: Duration,
    /// Its team sent it beyond its rate.
    pub(crate) beyond_rate: bool,
    /// Its queue was urgent when this owner learned of it.
    pub(crate) urgent: bool,
    /// Expected times, worked out now and then.
    pub(crate) forecast: Option<Forecast>,
}

/// Expected times of a job.
#[derive(Clone, Debug)]
pub(crate) struct Forecast {
    /// When it was worked out.
    pub(crate) computed_at: Duration,
    /// Time from the job's arrival to its latency objective.
    pub(crate) objective: Duration,
    /// Expected time from the start of each step to the end of the job.
    pub(crate) remaining: Vec<Duration>,
}

impl Job {
    /// A job from its rows. `inherited` says that an earlier owner may have
    /// started tasks of it.
    pub(crate) fn new(
        id: JobId,
        row_version: u64,
        submission: Submission,
        inherited: bool,
        first_seen_at: Duration,
    ) -> Self {
        Self {
            id,
            queue: submission.queue,
            service: submission.service,
            team: submission.team,
            graph: Arc::new(submission.graph),
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

    /// Takes over what an earlier owner recorded.
    pub(crate) fn restore(&mut self, version: u64, record: &Record) {
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
    }

    fn restore_step(&mut self, occurrence: Occurrence, step: StepIndex, saved: &StepRecord) {
        let state = self.occurrences.get_mut(&occurrence);
        let Some(state) = state.and_then(|steps| steps.get_mut(step as usize)) else {
            return;
        };
        for (index, task) in state.tasks.iter_mut().enumerate() {
            task.done = saved.is_done(index as TaskIndex);
            state.done += u32::from(task.done);
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

    /// Makes an occurrence's steps, unless they are there.
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

    /// True when every task of every occurrence is completed.
    pub(crate) fn is_done(&self) -> bool {
        self.occurrences.len() as u32 == self.graph.occurrences()
            && self.occurrences.values().flatten().all(StepState::is_done)
    }

    /// True when the steps that a step depends on are completed.
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
        spec.after.iter().all(done)
    }

    /// What must survive of the job's tasks.
    fn record(&self) -> Record {
        let mut record = Record {
            stage: self.stage,
            ..Record::default()
        };
        if self.stage.is_final() {
            return record;
        }
        for (&occurrence, states) in &self.occurrences {
            for (step, state) in states.iter().enumerate() {
                let saved = step_record(state);
                if saved != StepRecord::default() {
                    record.steps.insert((occurrence, step as StepIndex), saved);
                }
            }
        }
        record
    }
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

/// Jobs and runs of one term.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) jobs: BTreeMap<JobIx, Job>,
    by_id: HashMap<JobId, JobIx>,
    pub(crate) runs: HashMap<RunRef, Placement>,
    next_index: JobIx,
}

impl Ledger {
    /// Adds a job.
    pub(crate) fn insert(&mut self, job: Job) -> JobIx {
        let ix = self.next_index;
        self.next_index += 1;
        self.by_id.insert(job.id.clone(), ix);
        self.jobs.insert(ix, job);
        ix
    }

    /// Index of a job.
    pub(crate) fn find(&self, id: &JobId) -> Option<JobIx> {
        self.by_id.get(id).copied()
    }

    /// Forgets a job that is final and of which nothing runs.
    pub(crate) fn remove(&mut self, ix: JobIx) -> Option<Job> {
        let job = self.jobs.remove(&ix)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    /// What a step is.
    pub(crate) fn spec(&self, step: StepRef) -> Option<&Step> {
        self.jobs
            .get(&step.job)?
            .graph
            .steps
            .get(step.step as usize)
    }

    /// State of a step.
    pub(crate) fn step(&self, step: StepRef) -> Option<&StepState> {
        let occurrences = &self.jobs.get(&step.job)?.occurrences;
        occurrences.get(&step.occurrence)?.get(step.step as usize)
    }

    /// State of a step.
    pub(crate) fn step_mut(&mut self, step: StepRef) -> Option<&mut StepState> {
        let occurrences = &mut self.jobs.get_mut(&step.job)?.occurrences;
        occurrences
            .get_mut(&step.occurrence)?
            .get_mut(step.step as usize)
    }

    /// A task.
    pub(crate) fn task(&self, task: TaskRef) -> Option<&Task> {
        self.step(task.step)?.tasks.get(task.index as usize)
    }

    /// A task.
    pub(crate) fn task_mut(&mut self, task: TaskRef) -> Option<&mut Task> {
        self.step_mut(task.step)?.tasks.get_mut(task.index as usize)
    }

    /// The task that a name means. A backend server may know a task of an
    /// occurrence that this owner has not opened yet.
    pub(crate) fn resolve(&mut self, name: &TaskName) -> Option<TaskRef> {
        let step = StepRef {
            job: self.find(&name.job)?,
            occurrence: name.occurrence,
            step: name.step,
        };
        let job = self.jobs.get_mut(&step.job)?;
        let spec = job.graph.steps.get(name.step as usize)?;
        let exists = name.index < spec.tasks && name.occurrence < job.graph.occurrences();
        exists.then(|| job.create_occurrence(name.occurrence))?;
        Some(step.task(name.index))
    }

    /// The name of a run.
    pub(crate) fn run_name(&self, run: RunRef) -> Option<Run> {
        let TaskRef { step, index } = run.task;
        Some(Run {
            task: TaskName {
                job: self.jobs.get(&step.job)?.id.clone(),
                occurrence: step.occurrence,
                step: step.step,
                index,
            },
            number: run.number,
        })
    }

    /// What must survive of a job. `server` names a backend server's id and
    /// incarnation.
    pub(crate) fn record<F>(&self, ix: JobIx, server: F) -> Record
    where
        F: Fn(ServerIx) -> (Name, u64),
    {
        let Some(job) = self.jobs.get(&ix) else {
            return Record::default();
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
