//! Read-only views of the engine's state, and the reasons why a job waits.
//!
//! Invariant: views and explanations are derived from the state and never change
//! it.

use compact_str::{CompactString, format_compact};
use model::{Attempt, Name, Resources, TaskIndex, WorkKind};

use crate::engine::Engine;
use crate::gang::task_capacity;
use crate::queue::JobRef;
use crate::worker::{WorkerId, WorkerState};

impl Engine {
    /// Attempts that run on a worker.
    pub fn attempts_on(
        &self,
        worker: WorkerId,
    ) -> impl Iterator<Item = (JobRef, TaskIndex, Attempt)> + '_ {
        let tasks = &self.workers[worker as usize].tasks;
        tasks.iter().map(|t| (t.job, t.index, t.attempt))
    }

    /// Number of tasks that run on a worker.
    #[must_use]
    pub fn tasks_on(&self, worker: WorkerId) -> usize {
        self.workers[worker as usize].tasks.len()
    }

    /// Whether a worker accepts new tasks.
    #[must_use]
    pub fn worker_state(&self, worker: WorkerId) -> WorkerState {
        self.workers[worker as usize].state
    }

    /// Number of pending tasks of all queued jobs.
    #[must_use]
    pub fn waiting_tasks(&self) -> u32 {
        let waiting = self.queues.jobs.iter().filter(|j| j.queued);
        waiting.map(|j| j.pending.len() as u32).sum()
    }

    /// Number of running tasks of a job.
    #[must_use]
    pub fn running_tasks(&self, job: JobRef) -> u32 {
        self.queues.jobs[job as usize].running
    }

    /// Returns the reasons why a job waits, most decisive first.
    #[must_use]
    pub fn explain(&self, job: JobRef) -> Vec<Name> {
        let entry = &self.queues.jobs[job as usize];
        let shape = self.queues.shapes[entry.shape as usize].shape;
        let pending = entry.pending.len() as u32;
        if pending == 0 {
            return vec![format_compact!(
                "{} tasks are running, none is waiting",
                entry.running
            )];
        }
        let mut out = Vec::new();
        let need = match shape.work {
            WorkKind::Gang => shape.demand.times(pending),
            _ => shape.demand,
        };
        let team = &self.queues.teams[entry.team as usize];
        if !team.used.plus(need).fits(&team.allotment) {
            out.push(CompactString::from(
                "the next start would exceed the team's allotment here",
            ));
        }
        out.push(self.explain_capacity(&shape.demand, pending, shape.work));
        let usage = self.weighted_usage(entry.team);
        let ahead = |t: &usize| {
            self.queues.teams[*t].queued_jobs > 0 && self.weighted_usage(*t as u16) < usage
        };
        let ahead = (0..self.queues.teams.len()).filter(ahead).count();
        out.push(format_compact!(
            "{ahead} teams with waiting jobs use less of their share"
        ));
        if self.reservation.as_ref().is_some_and(|r| r.job == job) {
            out.push(CompactString::from(
                "workers are reserved for this job until their running tasks end",
            ));
        }
        out
    }

    fn explain_capacity(&self, demand: &Resources, pending: u32, work: WorkKind) -> CompactString {
        let active = || {
            self.workers
                .iter()
                .filter(|w| w.state == WorkerState::Active)
        };
        let free_now: usize = active().map(|w| task_capacity(&w.free, demand)).sum();
        let if_empty: usize = active().map(|w| task_capacity(&w.capacity, demand)).sum();
        match work {
            WorkKind::Gang if if_empty < pending as usize => {
                format_compact!("an empty fleet holds only {if_empty} of {pending} tasks")
            }
            _ if if_empty == 0 => CompactString::from("no worker has the capacity for one task"),
            _ => format_compact!("free resources hold {free_now} of {pending} waiting tasks"),
        }
    }
}
