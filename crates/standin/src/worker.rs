//! An in-memory worker.
//!
//! Invariant: a task runs until it ends, is stopped, or the lease of the worker
//! expires. Each attempt starts at most once. A call with an older epoch, or
//! with a sequence number not above that of the last accepted call of the same
//! epoch, changes nothing.

use std::collections::BTreeSet;

use model::{
    Attempt, AttemptOutcome, Epoch, Finished, JobId, Name, Resources, Running, Start, TaskIndex,
    WorkerCall, WorkerReport,
};

/// Time between a stop with checkpoint and the end of the task, in ms.
const CHECKPOINT_DURATION_MS: u64 = 300;
/// Number of started attempts remembered to reject duplicate starts.
const MAX_REMEMBERED_ATTEMPTS: usize = 65_536;

/// Faults injected into a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every task fails as soon as it starts.
    pub black_hole: bool,
    /// Calls of superseded epochs are accepted, that is, fencing is off.
    pub accept_stale_epochs: bool,
}

#[derive(Clone, Debug)]
struct Task {
    start: Start,
    started_ms: u64,
    ends_ms: u64,
    ended: AttemptOutcome,
}

/// A task transition to be recorded in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskEvent {
    /// The task started.
    Started(Start),
    /// The task ended in the given way.
    Ended(Start, AttemptOutcome),
}

/// State of a worker: the epoch and holder of its lease, running tasks, and ended
/// tasks that have not been acknowledged.
#[derive(Debug)]
pub struct Worker {
    /// Name of the VM on which the worker runs.
    pub name: Name,
    /// Injected faults; may be changed while tasks run.
    pub faults: Faults,
    epoch: Epoch,
    holder: Name,
    seq: u64,
    contact_ms: u64,
    lease_until_ms: u64,
    tasks: Vec<Task>,
    finished: Vec<Finished>,
    started_attempts: BTreeSet<(JobId, TaskIndex, Attempt)>,
    version: u64,
    leaving: bool,
    /// Transitions not yet recorded in the ledger; the caller drains them.
    pub task_events: Vec<TaskEvent>,
}

impl Worker {
    /// Creates a worker without tasks or lease, which accepts any epoch above zero.
    #[must_use]
    pub fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            faults: Faults::default(),
            epoch: 0,
            holder: Name::default(),
            seq: 0,
            contact_ms: 0,
            lease_until_ms: 0,
            tasks: Vec::new(),
            finished: Vec::new(),
            started_attempts: BTreeSet::new(),
            version: 1,
            leaving: false,
            task_events: Vec::new(),
        }
    }

    /// Applies a call unless it is superseded, and returns the report. A call without
    /// a holder only reads.
    pub fn handle_call(&mut self, call: &WorkerCall, now_ms: u64) -> WorkerReport {
        self.advance_to(now_ms);
        let read_only = call.holder.is_empty();
        let newer = call.epoch > self.epoch;
        let current = call.epoch == self.epoch && call.holder == self.holder && call.seq > self.seq;
        let accepted = !read_only && (newer || current || self.faults.accept_stale_epochs);
        if accepted {
            self.epoch = self.epoch.max(call.epoch);
            self.holder = call.holder.clone();
            self.seq = call.seq;
            self.contact_ms = now_ms;
            self.lease_until_ms = now_ms + call.lease_ms;
            self.apply_call(call, now_ms);
        }
        self.report(accepted, call.known, now_ms)
    }

    /// Builds a report. Its task lists are left out if `known` is the current
    /// version.
    #[must_use]
    pub fn report(&self, accepted: bool, known: u64, now_ms: u64) -> WorkerReport {
        let mut report = WorkerReport {
            epoch: self.epoch,
            holder: self.holder.clone(),
            contact_ms: now_ms - self.contact_ms,
            accepted,
            leaving: self.leaving,
            version: self.version,
            unchanged: known == self.version,
            ..WorkerReport::default()
        };
        if !report.unchanged {
            report.running = self.tasks.iter().map(running).collect();
            report.finished = self.finished.clone();
        }
        report
    }

    /// Returns whether the response to an accepted call may be delayed further:
    /// the state is the one the caller knows and no newer call was accepted.
    #[must_use]
    pub fn may_delay_response(&self, call: &WorkerCall) -> bool {
        self.version == call.known && self.epoch == call.epoch && self.seq == call.seq
    }

    fn apply_call(&mut self, call: &WorkerCall, now_ms: u64) {
        let before = self.finished.len();
        self.finished
            .retain(|f| !call.acks.contains(&(f.job.clone(), f.task, f.attempt)));
        if self.finished.len() != before {
            self.version += 1;
        }
        for start in &call.starts {
            self.start(start, now_ms);
        }
        for stop in &call.stops {
            let delay_ms = if stop.checkpoint {
                CHECKPOINT_DURATION_MS
            } else {
                0
            };
            let matches_stop = |t: &&mut Task| {
                t.start.job == stop.job
                    && t.start.task == stop.task
                    && t.start.attempt == stop.attempt
            };
            if let Some(task) = self.tasks.iter_mut().find(matches_stop)
                && now_ms + delay_ms < task.ends_ms
            {
                task.ends_ms = now_ms + delay_ms;
                task.ended = AttemptOutcome::Stopped;
            }
        }
        self.advance_to(now_ms);
    }

    fn start(&mut self, start: &Start, now_ms: u64) {
        let key = (start.job.clone(), start.task, start.attempt);
        if !self.started_attempts.insert(key) {
            return;
        }
        if self.started_attempts.len() > MAX_REMEMBERED_ATTEMPTS {
            self.started_attempts.pop_first();
        }
        self.version += 1;
        let (run_ms, ended) = simulated_run(start, self.faults);
        self.task_events.push(TaskEvent::Started(start.clone()));
        self.tasks.push(Task {
            start: start.clone(),
            started_ms: now_ms,
            ends_ms: now_ms.saturating_add(run_ms),
            ended,
        });
    }

    /// Ends tasks that are due by `now_ms`, and all tasks once the lease has
    /// expired.
    pub fn advance_to(&mut self, now_ms: u64) {
        let lease_expired = now_ms >= self.lease_until_ms;
        let mut index = 0;
        while index < self.tasks.len() {
            let task = &self.tasks[index];
            let due = task.ends_ms <= now_ms;
            if !due && !lease_expired {
                index += 1;
                continue;
            }
            self.version += 1;
            let task = self.tasks.swap_remove(index);
            let outcome = if due {
                task.ended
            } else {
                AttemptOutcome::Lapsed
            };
            self.finished.push(Finished {
                job: task.start.job.clone(),
                task: task.start.task,
                attempt: task.start.attempt,
                outcome,
                ran_ms: now_ms - task.started_ms,
            });
            self.task_events.push(TaskEvent::Ended(task.start, outcome));
        }
    }

    /// Marks the VM as leaving in later reports; its tasks continue.
    pub fn announce_leaving(&mut self) {
        self.leaving = true;
        self.version += 1;
    }

    /// Simulates a crash of the VM: all tasks end, and their results, the
    /// remembered attempts and the lease are lost.
    pub fn kill(&mut self) {
        for task in self.tasks.drain(..) {
            self.task_events
                .push(TaskEvent::Ended(task.start, AttemptOutcome::Lapsed));
        }
        self.finished.clear();
        self.started_attempts.clear();
        (self.epoch, self.seq, self.contact_ms, self.lease_until_ms) = (0, 0, 0, 0);
        self.holder = Name::default();
        self.version += 1;
    }

    /// Returns the sum of the resources that running tasks hold.
    #[must_use]
    pub fn used(&self) -> Resources {
        let each = self.tasks.iter().map(|t| t.start.each);
        each.fold(Resources::ZERO, Resources::plus)
    }
}

fn running(task: &Task) -> Running {
    Running {
        job: task.start.job.clone(),
        task: task.start.task,
        attempt: task.start.attempt,
        each: task.start.each,
    }
}

/// Simulated run time and outcome of a task: payload `run:N` completes after
/// N ms, `fail:N` fails after N ms, and any other payload completes after the
/// declared run time.
fn simulated_run(start: &Start, faults: Faults) -> (u64, AttemptOutcome) {
    if faults.black_hole {
        return (0, AttemptOutcome::Failed);
    }
    let number = |text: &str| text.parse().ok();
    let run = start.payload.strip_prefix("run:").and_then(number);
    let fail = start.payload.strip_prefix("fail:").and_then(number);
    match (run, fail) {
        (Some(ms), _) => (ms, AttemptOutcome::Completed),
        (_, Some(ms)) => (ms, AttemptOutcome::Failed),
        _ => (start.run_ms, AttemptOutcome::Completed),
    }
}
