//! Orphan tasks: tasks that run on a worker but were not started by the current
//! owner.
//!
//! Invariant: the resources of every orphan task are accounted for until its
//! worker reports that it has ended or is declared lost.

use model::{JobId, Name, Running, Stop, WorkKind, WorkerReport};
use policy::{JobRef, JobRequest};

use crate::node::Node;
use crate::notice::Notice;

/// Team charged for orphan tasks.
const ORPHAN_TEAM: &str = "";

/// Running task that the engine does not track under its own job: the job is
/// unknown or has ended, or the task is a duplicate.
#[derive(Debug)]
pub(crate) struct OrphanTask {
    pub(crate) worker_index: usize,
    pub(crate) running: Running,
    /// Engine job that accounts for the task's resources.
    pub(crate) job_ref: JobRef,
}

impl OrphanTask {
    pub(crate) fn matches(&self, worker_index: usize, running: &Running) -> bool {
        self.worker_index == worker_index
            && self.running.job == running.job
            && self.running.task == running.task
            && self.running.attempt == running.attempt
    }
}

impl Node {
    /// Adopts a task that a worker runs but this owner did not start.
    pub(crate) fn adopt_running(&mut self, worker_index: usize, running: &Running) {
        let worker = self.owner.workers[worker_index].id;
        let known = self.owner.jobs.find_ref(&running.job);
        let withheld = |job: &JobRef| self.owner.engine.is_withheld(*job, running.task);
        if let Some(job) = known.filter(withheld) {
            let (task, attempt) = (running.task, running.attempt);
            return self
                .owner
                .engine
                .adopt(job, task, attempt, worker, running.each);
        }
        // The job has ended or is unknown, or the task is a duplicate. The task
        // is stopped, and its resources stay accounted for until the worker
        // reports that it has ended.
        self.log(Notice::OrphanTask(running.job.clone()));
        let request = JobRequest {
            team: self.owner.team_id(&Name::from(ORPHAN_TEAM)),
            work: WorkKind::Batch,
            urgent: false,
            demand: running.each,
            tasks: 1,
            class: 0,
            first_attempt: running.attempt,
        };
        let now_ms = self.now.as_millis() as u64;
        let job_ref = self.owner.engine.submit(&request, &[], now_ms);
        self.owner
            .engine
            .adopt(job_ref, 0, running.attempt, worker, running.each);
        let (job_id, task, attempt) = (running.job.clone(), running.task, running.attempt);
        self.owner.jobs.orphans.push(OrphanTask {
            worker_index,
            running: running.clone(),
            job_ref,
        });
        self.owner.engine.cancel(job_ref, &mut Vec::new());
        self.queue_stop(
            worker,
            Stop {
                job: job_id,
                task,
                attempt,
                checkpoint: false,
            },
        );
    }

    /// Releases the resources of orphan tasks that a worker no longer runs.
    pub(crate) fn release_ended_orphans(&mut self, worker_index: usize, report: &WorkerReport) {
        let gone = |o: &OrphanTask| {
            o.worker_index == worker_index
                && !report.running.iter().any(|r| o.matches(worker_index, r))
        };
        let orphans = std::mem::take(&mut self.owner.jobs.orphans);
        let (ended, kept): (Vec<OrphanTask>, Vec<OrphanTask>) = orphans.into_iter().partition(gone);
        self.owner.jobs.orphans = kept;
        for orphan in ended {
            self.release_orphan(&orphan);
        }
    }

    fn release_orphan(&mut self, orphan: &OrphanTask) {
        let worker = self.owner.workers[orphan.worker_index].id;
        let now_ms = self.now.as_millis() as u64;
        let (attempt, outcome) = (orphan.running.attempt, policy::Outcome::Interrupted);
        let engine = &mut self.owner.engine;
        engine.record_end(worker, orphan.job_ref, 0, attempt, outcome, now_ms);
    }

    /// Assigns running orphan tasks to a job that has just become known. They
    /// are already being stopped and are queued again once they have ended.
    pub(crate) fn adopt_orphans(&mut self, id: &JobId, job: JobRef) {
        let orphans = std::mem::take(&mut self.owner.jobs.orphans);
        for orphan in orphans {
            let Running {
                task,
                attempt,
                each,
                ..
            } = orphan.running;
            let adoptable = orphan.running.job == *id && self.owner.engine.is_waiting(job, task);
            if !adoptable {
                self.owner.jobs.orphans.push(orphan);
                continue;
            }
            self.release_orphan(&orphan);
            let worker = self.owner.workers[orphan.worker_index].id;
            self.owner.engine.adopt(job, task, attempt, worker, each);
        }
    }
}
