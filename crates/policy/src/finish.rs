//! Ends of attempts and their consequences.
//!
//! Invariant: the resources of an attempt are released by the call that records
//! its end, and not before.

use model::{Attempt, TaskIndex};

use crate::engine::{Decision, Engine};
use crate::queue::{JobRef, Outcome};
use crate::worker::{Task, WorkerId};

/// Distinct workers on which tasks of a job without completions must fail before
/// the job fails.
const MAX_FAILED_WORKERS: usize = 4;
/// Attempts of one task after which its next failure fails the job. Interrupted
/// attempts count as well.
const MAX_ATTEMPTS: Attempt = 12;

impl Engine {
    /// Records the end of an attempt. Returns false if the attempt does not run on
    /// `worker`.
    pub fn record_end(
        &mut self,
        worker: WorkerId,
        job: JobRef,
        task: TaskIndex,
        attempt: Attempt,
        outcome: Outcome,
        now_ms: u64,
    ) -> bool {
        self.advance_to(now_ms);
        let tasks = &mut self.workers[worker as usize].tasks;
        let is_attempt = |t: &Task| t.job == job && t.index == task && t.attempt == attempt;
        let Some(index) = tasks.iter().position(is_attempt) else {
            return false;
        };
        let task = tasks.swap_remove(index);
        self.release_resources(worker, &task);
        self.apply_outcome(worker, &task, outcome);
        self.update_tree_and_unblock(worker);
        self.retire(job);
        true
    }

    fn release_resources(&mut self, worker: WorkerId, task: &Task) {
        let entry = &mut self.workers[worker as usize];
        entry.recompute_free();
        let rack = entry.rack;
        let job = &mut self.queues.jobs[task.job as usize];
        job.running -= 1;
        let tasks_in_rack = job.tasks_per_rack.iter_mut().find(|(r, _)| *r == rack);
        tasks_in_rack
            .into_iter()
            .for_each(|(_, n)| *n = n.saturating_sub(1));
        let team = &mut self.queues.teams[job.team as usize];
        team.used = team.used.minus(task.demand);
    }

    fn apply_outcome(&mut self, worker: WorkerId, task: &Task, outcome: Outcome) {
        let job = &mut self.queues.jobs[task.job as usize];
        let ran_ms = self.now_ms.saturating_sub(task.started_ms);
        match outcome {
            Outcome::Completed => {
                job.completed += 1;
                self.estimates.record(job.class, ran_ms);
                self.workers[worker as usize]
                    .health
                    .record_completion(self.now_ms);
                return;
            }
            Outcome::Interrupted if task.stopping => job.preemptions += 1,
            Outcome::Interrupted => {}
            Outcome::Failed => self.record_failure(worker, task),
        }
        let job = &mut self.queues.jobs[task.job as usize];
        if !job.ended {
            job.pending.push((task.index, task.attempt + 1));
            self.queues.enqueue(task.job);
        }
    }

    fn record_failure(&mut self, worker: WorkerId, task: &Task) {
        let (job, attempt) = (task.job, task.attempt);
        let health = &mut self.workers[worker as usize].health;
        if health.record_failure(job, task.started_ms, self.now_ms)
            && !self.quarantined.contains(&worker)
        {
            self.quarantined.push(worker);
        }
        let entry = &mut self.queues.jobs[job as usize];
        if !entry.failed_workers.contains(&worker) {
            entry.failed_workers.push(worker);
        }
        let on_many_workers =
            entry.failed_workers.len() >= MAX_FAILED_WORKERS && entry.completed == 0;
        if (on_many_workers || attempt - entry.first_attempt >= MAX_ATTEMPTS) && !entry.ended {
            self.broken_jobs.push(job);
        }
    }

    /// Fails the jobs in `broken_jobs`, and drops their failures from the records of the
    /// workers.
    pub(crate) fn fail_broken_jobs(&mut self, out: &mut Vec<Decision>) {
        while let Some(job) = self.broken_jobs.pop() {
            if self.queues.jobs[job as usize].ended {
                continue;
            }
            out.push(Decision::Fail { job });
            for index in 0..self.queues.jobs[job as usize].failed_workers.len() {
                let worker = self.queues.jobs[job as usize].failed_workers[index];
                if self.workers[worker as usize].health.clear_failures_of(job) {
                    self.update_tree_and_unblock(worker);
                }
            }
            self.cancel(job, out);
        }
    }
}
