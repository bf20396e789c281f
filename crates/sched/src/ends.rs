//! What the end of a run means for its task and its job.
//!
//! Invariant: an end changes a task at most once, since the run that ended is
//! forgotten with it.

use std::time::Duration;

use model::{End, Name, Stage};

use crate::accounts;
use crate::event::{Effect, Finished, Measure};
use crate::fleet::ServerIx;
use crate::ledger::{JobIx, Life, RunRef, StepRef, TaskRef, runs_of_step};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

/// Attempts allowed when the queue is no longer configured.
const DEFAULT_ATTEMPTS: u32 = 2;

impl Owner {
    /// Takes in one listed end.
    pub(crate) fn take_end(&mut self, server: ServerIx, finished: &Finished, cx: &mut Cx<'_>) {
        let Some(task) = self.ledger.resolve(&finished.run.task) else {
            self.orphan_runs.remove(&(server, finished.run.clone()));
            return;
        };
        let run = task.run(finished.run.number);
        self.place_due = true;
        let placed = self.forget_run(run, cx);
        let ordered_at = placed.as_ref().map_or(cx.now(), |p| p.ordered_at);
        let ran = cx.now().saturating_sub(ordered_at);
        let label = self.label(run, server);
        cx.log(Notice::Ended {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            end: finished.end,
            ran_ms: ms(ran),
        });
        self.note_health(server, run, finished.end, cx);
        self.keep_checkpoint(task, &finished.checkpoint);
        self.mark_dirty(task.step.job);
        match finished.end {
            End::Completed => {
                let ran = placed.map(|placed| (placed.server, ran));
                self.completed(task, ran, cx);
            }
            End::Failed => self.failed(run, server, cx),
            End::Stopped | End::Lapsed | End::Broken | End::Alone => self.broke_gang(run, cx),
        }
        self.check_job(task.step.job, cx);
    }

    /// A run is surely over without an end having been listed.
    pub(crate) fn run_over(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        if self.forget_run(run, cx).is_none() {
            return;
        }
        self.place_due = true;
        self.broke_gang(run, cx);
        self.check_job(run.task.step.job, cx);
    }

    fn forget_run(&mut self, run: RunRef, cx: &Cx<'_>) -> Option<crate::ledger::Placed> {
        let owner = &mut *self;
        let (ledger, fleet) = (&mut owner.ledger, &mut owner.fleet);
        accounts::finish(ledger, fleet, &mut owner.accounts, run, cx.now())
    }

    fn note_health(&mut self, server: ServerIx, run: RunRef, end: End, cx: &mut Cx<'_>) {
        let now_ms = cx.now().as_millis() as u64;
        let entry = self.fleet.get_mut(server);
        match end {
            End::Completed => entry.health.completed(),
            End::Failed => {
                if entry.health.failed(run.task.step.job, now_ms) {
                    let server = entry.listing.id.clone();
                    cx.log(Notice::ServerHeldBack { server });
                }
            }
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {}
        }
    }

    /// Remembers a task's checkpoint; a gang has one for all members.
    pub(crate) fn keep_checkpoint(&mut self, task: TaskRef, checkpoint: &Name) {
        let gang = self.ledger.spec(task.step).is_some_and(|spec| spec.gang);
        let holder = match gang {
            true => task.step.task(0),
            false => task,
        };
        if let Some(entry) = self
            .ledger
            .task_mut(holder)
            .filter(|_| !checkpoint.is_empty())
        {
            entry.checkpoint = checkpoint.clone();
        }
    }

    fn completed(&mut self, task: TaskRef, ran: Option<(ServerIx, Duration)>, cx: &mut Cx<'_>) {
        let Some(spec) = self.ledger.spec(task.step) else {
            return;
        };
        if spec.long_running {
            return; // Started again.
        }
        let (gang, image) = (spec.gang, spec.image.clone());
        if let Some((server, ran)) = ran {
            self.learn(&image, server, ran);
        }
        let Some(state) = self.ledger.step_mut(task.step) else {
            return;
        };
        for (index, entry) in state.tasks.iter_mut().enumerate() {
            let ends = gang || index == task.index as usize;
            if ends && !entry.done {
                entry.done = true;
                state.done += 1;
            }
        }
        match gang {
            true => self.await_gang(task.step, cx),
            false => self.stop_copies(task, cx),
        }
    }

    /// The members of a gang end together: they hold their room until their
    /// backend servers no longer list them, and need no order to stop.
    fn await_gang(&mut self, step: StepRef, cx: &Cx<'_>) {
        let state = self.ledger.step(step);
        let runs: Vec<RunRef> = state
            .map(|state| runs_of_step(step, state).collect())
            .unwrap_or_default();
        for run in runs {
            if let Some(placed) = self.ledger.runs.get_mut(&run) {
                placed.life = Life::Stopping;
                placed.stop_acked = Some(cx.now());
            }
        }
    }

    /// Stops further copies of a completed task.
    fn stop_copies(&mut self, task: TaskRef, cx: &mut Cx<'_>) {
        let entry = self.ledger.task(task);
        let copies = entry.map(|t| t.runs.clone()).unwrap_or_default();
        for number in copies {
            self.stop(task.run(number), "another copy completed", cx);
        }
    }

    fn failed(&mut self, run: RunRef, server: ServerIx, cx: &mut Cx<'_>) {
        let task = run.task;
        let Some(spec) = self.ledger.spec(task.step) else {
            return;
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let counted = match gang {
            true => task.step.task(0),
            false => task,
        };
        if long_running {
            return; // Started again.
        }
        let Some(entry) = self.ledger.task_mut(counted) else {
            return;
        };
        entry.avoid = Some(server);
        // Members of a gang fail together, and an end may be listed twice.
        if !entry.failures.contains(&run.number) {
            entry.failures.push(run.number);
        }
        let failures = entry.failures.len() as u32;
        match failures >= self.max_attempts(task.step.job, cx) {
            true => self.close(task.step.job, Stage::Failed, cx),
            false => self.broke_gang(run, cx),
        }
    }

    /// Failed runs after which a task of a job is given up.
    pub(crate) fn max_attempts(&self, job: JobIx, cx: &Cx<'_>) -> u32 {
        let queue = self.ledger.jobs.get(&job).map(|job| &job.queue);
        let queue = queue.and_then(|name| cx.config.queue(name));
        queue.map_or(DEFAULT_ATTEMPTS, |queue| queue.max_attempts.max(1))
    }

    /// When a member of a gang is gone, the others can't go on.
    fn broke_gang(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let step = run.task.step;
        let gang = self.ledger.spec(step).is_some_and(|spec| spec.gang);
        let Some(state) = self.ledger.step(step).filter(|_| gang) else {
            return;
        };
        let others: Vec<RunRef> = runs_of_step(step, state)
            .filter(|other| other.number == run.number)
            .collect();
        for other in others {
            self.stop(other, "a member of the gang is gone", cx);
        }
    }

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    pub(crate) fn close(&mut self, job: JobIx, stage: Stage, cx: &mut Cx<'_>) {
        let Some(entry) = self.ledger.jobs.get_mut(&job) else {
            return;
        };
        if entry.stage.is_final() {
            return;
        }
        entry.stage = stage;
        let since = cx.now().saturating_sub(entry.since);
        cx.out.push(Effect::Record {
            measure: Measure::Job,
            team: entry.team.clone(),
            queue: entry.queue.clone(),
            value: since,
        });
        let notice = Notice::JobStage {
            job: entry.id.clone(),
            queue: entry.queue.clone(),
            stage,
            since_ms: ms(since),
        };
        cx.log(notice);
        self.mark_dirty(job);
        for run in self.ledger.runs_of(job) {
            if !self.is_stopping(run) {
                self.stop(run, "its job has ended", cx);
            }
        }
    }

    /// Closes a job whose last task has completed, and writes its last row
    /// once nothing of it runs.
    fn check_job(&mut self, job: JobIx, cx: &mut Cx<'_>) {
        let Some(entry) = self.ledger.jobs.get(&job) else {
            return;
        };
        match entry.stage.is_final() {
            true => self.mark_dirty(job),
            false if entry.is_done() => self.close(job, Stage::Completed, cx),
            false => {}
        }
    }

    fn learn(&mut self, image: &Name, server: ServerIx, ran: Duration) {
        let class = self.class(image);
        let ran = ms(ran).max(1);
        if let Some(mean) = self.estimates.mean_ms(class) {
            let ratio = ran as f64 / mean as f64;
            self.fleet.get_mut(server).note_time(ratio);
        }
        self.estimates.record(class, ran);
    }

    /// Class under which run times of an image are learned.
    pub(crate) fn class(&mut self, image: &Name) -> u32 {
        let next = self.images.len() as u32;
        *self.images.entry(image.clone()).or_insert(next)
    }
}
