//! Tasks that run on a worker without the owner having started them.
//!
//! Invariant: the room of every such task is accounted for until its worker
//! says that it has ended.

use model::{JobId, Name, Report, Running, Stop, Work};
use policy::{JobRef, JobRequest};

use crate::node::Node;
use crate::notice::Notice;

/// Team that pays for tasks of unknown jobs.
const STRAY_TEAM: &str = "";

/// A running task of a job that is not known or has ended.
#[derive(Debug)]
pub(crate) struct Stray {
    /// Index of the worker.
    pub(crate) at: usize,
    pub(crate) running: Running,
    /// The engine's job that accounts for its room.
    pub(crate) engine: JobRef,
}

impl Stray {
    pub(crate) fn is(&self, at: usize, running: &Running) -> bool {
        self.at == at
            && self.running.job == running.job
            && self.running.task == running.task
            && self.running.attempt == running.attempt
    }
}

impl Node {
    /// Takes in a task that a worker runs and this owner did not start.
    pub(crate) fn adopt_running(&mut self, at: usize, running: &Running) {
        let worker = self.owner.workers[at].id;
        let known = self.owner.jobs.find(&running.job);
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
        let request = JobRequest {
            team: self.owner.team_id(&Name::from(STRAY_TEAM)),
            work: Work::Batch,
            urgent: false,
            demand: running.each,
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
        self.owner.jobs.strays.push(Stray {
            at,
            running: running.clone(),
            engine: job,
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

    /// Frees the room of stray tasks that a worker no longer runs.
    pub(crate) fn forget_strays(&mut self, at: usize, report: &Report) {
        let gone = |s: &Stray| s.at == at && !report.running.iter().any(|r| s.is(at, r));
        let strays = std::mem::take(&mut self.owner.jobs.strays);
        let (ended, kept): (Vec<Stray>, Vec<Stray>) = strays.into_iter().partition(gone);
        self.owner.jobs.strays = kept;
        for stray in ended {
            self.release_stray(&stray);
        }
    }

    fn release_stray(&mut self, stray: &Stray) {
        let worker = self.owner.workers[stray.at].id;
        let now_ms = self.now.as_millis() as u64;
        let (attempt, outcome) = (stray.running.attempt, policy::Outcome::Interrupted);
        let engine = &mut self.owner.engine;
        engine.record_end(worker, stray.engine, 0, attempt, outcome, now_ms);
    }

    /// Gives a job that has just become known its tasks that run already. They
    /// are being stopped and are queued again when they have ended.
    pub(crate) fn adopt_strays(&mut self, id: &JobId, job: JobRef) {
        let strays = std::mem::take(&mut self.owner.jobs.strays);
        for stray in strays {
            let Running {
                task,
                attempt,
                each,
                ..
            } = stray.running;
            let mine = stray.running.job == *id && self.owner.engine.is_waiting(job, task);
            if !mine {
                self.owner.jobs.strays.push(stray);
                continue;
            }
            self.release_stray(&stray);
            let worker = self.owner.workers[stray.at].id;
            self.owner.engine.adopt(job, task, attempt, worker, each);
        }
    }
}
