//! Tasks that run on a worker without the owner having started them.
//!
//! Invariant: the room of every such task is accounted for until its worker
//! says that it has ended.

use model::{JobId, Name, Report, Running, Stop, Work};
use policy::{JobRef, Request};

use crate::node::Node;
use crate::notice::Notice;

/// Team that pays for tasks of unknown jobs.
const ORPHAN_TEAM: &str = "";

/// A running task of a job that is not known or has ended.
#[derive(Debug)]
pub(crate) struct OrphanTask {
    /// Index of the worker.
    pub(crate) worker_index: usize,
    pub(crate) running: Running,
    /// The engine's job that accounts for its room.
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
    /// Takes in a task that a worker runs and this owner did not start.
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
        // Of a job that ended or is not known, or a second copy: stopped, and
        // its room is accounted for until the worker says it has ended.
        self.log(Notice::StrayTask(running.job.clone()));
        let request = Request {
            team: self.owner.team_id(&Name::from(ORPHAN_TEAM)),
            work: Work::Batch,
            urgent: false,
            each: running.each,
            tasks: 1,
            class: 0,
            first_attempt: running.attempt,
        };
        let now_ms = self.now.as_millis() as u64;
        let job = self.owner.engine.submit(&request, &[], now_ms);
        self.owner
            .engine
            .adopt(job, 0, running.attempt, worker, running.each);
        let (name, task, attempt) = (running.job.clone(), running.task, running.attempt);
        self.owner.jobs.orphans.push(OrphanTask {
            worker_index,
            running: running.clone(),
            job_ref: job,
        });
        self.owner.engine.cancel(job, &mut Vec::new());
        self.order_stop(
            worker,
            Stop {
                job: name,
                task,
                attempt,
                checkpoint: false,
            },
        );
    }

    /// Frees the room of orphan tasks that a worker no longer runs.
    pub(crate) fn release_ended_orphans(&mut self, worker_index: usize, report: &Report) {
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
        engine.ended(worker, orphan.job_ref, 0, attempt, outcome, now_ms);
    }

    /// Gives a job that has just become known its tasks that run already. They
    /// are being stopped and are queued again when they have ended.
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
