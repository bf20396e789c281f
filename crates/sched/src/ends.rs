//! Effects of the end of a run on its task, its gang and its job.
//!
//! Invariant: an end changes a task at most once, since handling it removes the
//! run.

use std::time::Duration;

use model::{Name, RunOutcome, Stage};

use crate::accounts;
use crate::event::{Effect, Finished, Metric};
use crate::fleet::ServerIx;
use crate::ledger::{JobIx, RunRef, RunState, TaskRef, runs_of_step};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

impl Owner {
    /// Handles an ended run listed by a backend server.
    pub(crate) fn handle_run_end(
        &mut self,
        server: ServerIx,
        finished: &Finished,
        cx: &mut Cx<'_>,
    ) {
        let Some(task) = self.ledger.resolve(&finished.run.task) else {
            self.orphan_runs.remove(&(server, finished.run.clone()));
            return;
        };
        let run = task.run(finished.run.number);
        self.withdraw_loss(run);
        self.place_due = true;
        if finished.outcome == RunOutcome::Completed {
            self.note_first_end(run, cx);
        }
        let placed = self.remove_run(run, cx);
        let ordered_at = placed.as_ref().map_or(cx.now(), |p| p.ordered_at);
        let ran = cx.now().saturating_sub(ordered_at);
        let label = self.run_label(run, server);
        cx.log(Notice::Ended {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            end: finished.outcome,
            ran_ms: ms(ran),
        });
        if placed.is_none() {
            self.log_unexpected_end(run, server, finished.outcome, cx);
        }
        self.save_checkpoint(task, &finished.checkpoint);
        self.mark_dirty_lazily(task.step.job, cx.now());
        match finished.outcome {
            RunOutcome::Completed => {
                let ran = placed.map(|placed| (placed.server, ran));
                self.fleet
                    .get_mut(server)
                    .health
                    .record_completion(ms(cx.now()));
                self.task_completed(run, ran, cx);
            }
            RunOutcome::Failed => self.run_failed(run, server, ordered_at, cx),
            RunOutcome::Stopped
            | RunOutcome::Lapsed
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => self.stop_gang(run, cx),
        }
        self.check_job_completion(task.step.job, cx);
    }

    fn log_unexpected_end(&self, run: RunRef, server: ServerIx, end: RunOutcome, cx: &mut Cx<'_>) {
        let label = self.run_label(run, server);
        let others = self.ledger.task(run.task).map_or(0, |task| task.runs.len());
        cx.log(Notice::EndUnexpected {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            end,
            others: others as u32,
        });
    }

    /// Removes a run that was never started or has certainly terminated, without
    /// being listed as ended.
    pub(crate) fn discard_run(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        if self.remove_run(run, cx).is_none() {
            return;
        }
        self.place_due = true;
        self.stop_gang(run, cx);
        self.check_job_completion(run.task.step.job, cx);
    }

    /// Removes a run and frees its resources.
    fn remove_run(&mut self, run: RunRef, cx: &Cx<'_>) -> Option<crate::ledger::Placement> {
        let owner = &mut *self;
        owner.copies.forget(run);
        let (ledger, fleet) = (&mut owner.ledger, &mut owner.fleet);
        accounts::release(ledger, fleet, &mut owner.accounts, run, cx.now())
    }

    /// Stores a task's checkpoint. A gang has one checkpoint, held by its first
    /// task.
    pub(crate) fn save_checkpoint(&mut self, task: TaskRef, checkpoint: &Name) {
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

    fn task_completed(&mut self, run: RunRef, ran: Option<(ServerIx, Duration)>, cx: &mut Cx<'_>) {
        let task = run.task;
        let Some(spec) = self.ledger.spec(task.step) else {
            return;
        };
        if spec.long_running {
            return; // A long-running task is started again.
        }
        let (gang, image) = (spec.gang, spec.image.clone());
        if let Some((server, ran)) = ran {
            self.record_run_time(&image, server, ran);
        }
        let Some(state) = self.ledger.step_mut(task.step) else {
            return;
        };
        state.at_fault = false;
        for (index, entry) in state.tasks.iter_mut().enumerate() {
            let ends = gang || index == task.index as usize;
            if ends && !entry.done {
                entry.done = true;
                state.done_count += 1;
            }
        }
        match gang {
            true => self.await_gang_exit(run, cx),
            false => self.stop_other_runs(task, cx),
        }
    }

    /// Marks the runs of the attempt with which a gang completed as stopping. Its members
    /// end together without a stop order, and hold their resources until their backend
    /// servers no longer list them. The members of other attempts go on, and are stopped.
    fn await_gang_exit(&mut self, completed: RunRef, cx: &mut Cx<'_>) {
        let step = completed.task.step;
        let state = self.ledger.step(step);
        let runs: Vec<RunRef> = state
            .map(|state| runs_of_step(step, state).collect())
            .unwrap_or_default();
        for run in runs {
            if run.number != completed.number {
                self.stop_run(run, "another attempt of the gang completed", cx);
            } else if let Some(placed) = self.ledger.runs.get_mut(&run) {
                placed.state = RunState::Stopping;
                placed.stop_acknowledged_at = Some(cx.now());
            }
        }
    }

    /// Stops the other runs of a completed task.
    fn stop_other_runs(&mut self, task: TaskRef, cx: &mut Cx<'_>) {
        let entry = self.ledger.task(task);
        let copies = entry.map(|t| t.runs.clone()).unwrap_or_default();
        for number in copies {
            self.stop_run(task.run(number), "another run of the task completed", cx);
        }
    }

    fn run_failed(&mut self, run: RunRef, server: ServerIx, started_at: Duration, cx: &mut Cx<'_>) {
        let task = run.task;
        let Some(spec) = self.ledger.spec(task.step) else {
            return;
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let holder = match gang {
            true => task.step.task(0),
            false => task,
        };
        match long_running {
            true => self.note_failed_on(holder, server, started_at, cx), // It is started again.
            false => self.count_attempt(holder, run, server, started_at, cx),
        }
        self.attribute_failure(holder, server, started_at, cx);
    }

    /// Counts a failed attempt of a task or gang, and ends the job after the last one. All
    /// members of a gang report the same failure, and an ended run may be listed twice.
    fn count_attempt(
        &mut self,
        holder: TaskRef,
        run: RunRef,
        server: ServerIx,
        started_at: Duration,
        cx: &mut Cx<'_>,
    ) {
        // The late failure of another run changes nothing once a run has completed.
        let Some(entry) = self.ledger.task_mut(holder).filter(|entry| !entry.done) else {
            return;
        };
        let is_new = !entry.failures.contains(&run.number);
        if is_new {
            entry.failures.push(run.number);
        }
        let failures = entry.failures.len() as u32;
        if is_new {
            self.note_failed_on(holder, server, started_at, cx);
        }
        let job = self.ledger.jobs.get(&holder.step.job);
        let last = job.is_some_and(|job| failures >= job.max_attempts(cx.config));
        match last {
            true => {
                self.log_attempts_used(holder, failures, cx);
                self.finish_job(holder.step.job, Stage::Failed, cx);
            }
            false if self.ledger.spec(holder.step).is_some_and(|spec| spec.gang) => {
                self.stop_gang(run, cx);
            }
            false => self.stop_doubtful_runs(holder, failures, cx),
        }
    }

    /// Stops the other runs of a task if their failure would be its last: they were started
    /// before the cause of the failure was known and are likely to share it. A stopped run
    /// is no attempt.
    fn stop_doubtful_runs(&mut self, task: TaskRef, failures: u32, cx: &mut Cx<'_>) {
        let job = self.ledger.jobs.get(&task.step.job);
        let attempts = job.map_or(0, |job| job.max_attempts(cx.config));
        let runs = self.ledger.task(task).map(|entry| entry.runs.clone());
        for number in runs
            .filter(|_| failures + 1 >= attempts)
            .unwrap_or_default()
        {
            self.stop_run(task.run(number), "another run of the task failed", cx);
        }
    }

    /// Stops the other members of a gang, which can't continue without this run.
    fn stop_gang(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let step = run.task.step;
        let gang = self.ledger.spec(step).is_some_and(|spec| spec.gang);
        let Some(state) = self.ledger.step(step).filter(|_| gang) else {
            return;
        };
        let others: Vec<RunRef> = runs_of_step(step, state)
            .filter(|other| other.number == run.number)
            .collect();
        for other in others {
            self.stop_run(other, "a gang member terminated", cx);
        }
    }

    /// Moves a job to a terminal stage. No more of its tasks start, and its runs are
    /// stopped.
    pub(crate) fn finish_job(&mut self, job: JobIx, stage: Stage, cx: &mut Cx<'_>) {
        let Some(entry) = self.ledger.jobs.get_mut(&job) else {
            return;
        };
        if entry.stage.is_terminal() {
            return;
        }
        entry.stage = stage;
        let since = cx.now().saturating_sub(entry.first_seen_at);
        cx.out.push(Effect::RecordMetric {
            metric: Metric::Job,
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
                self.stop_run(run, "job ended", cx);
            }
        }
    }

    /// Completes a job whose tasks are all done. A job in a terminal stage is marked
    /// to be written, since its last write is due once none of its runs is left.
    fn check_job_completion(&mut self, job: JobIx, cx: &mut Cx<'_>) {
        let Some(entry) = self.ledger.jobs.get(&job) else {
            return;
        };
        match entry.stage.is_terminal() {
            true => self.mark_dirty(job),
            false if entry.is_done() => self.finish_job(job, Stage::Completed, cx),
            false => {}
        }
    }

    /// Records the run time of a completed task, for the estimate of its image and
    /// the slowness of its backend server.
    fn record_run_time(&mut self, image: &Name, server: ServerIx, ran: Duration) {
        let class = self.image_class(image);
        let ran = ms(ran).max(1);
        if let Some(mean) = self.estimates.mean_ms(class) {
            let ratio = ran as f64 / mean as f64;
            self.fleet.get_mut(server).record_relative_time(ratio);
        }
        self.estimates.record(class, ran);
    }

    /// Class under which the run times of an image are estimated.
    pub(crate) fn image_class(&mut self, image: &Name) -> u32 {
        let next = self.image_classes.len() as u32;
        *self.image_classes.entry(image.clone()).or_insert(next)
    }
}
