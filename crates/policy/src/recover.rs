//! Recovery of tasks that earlier owners started.
//!
//! Invariant: a task is in at most one of the states pending, withheld, running
//! and completed.

use model::{Attempt, Resources, TaskIndex};

use crate::engine::Engine;
use crate::queue::JobRef;
use crate::worker::WorkerId;

impl Engine {
    /// Records a task that a new owner finds running. A task of an ended job only
    /// occupies its resources until it ends.
    pub fn adopt(
        &mut self,
        job: JobRef,
        task: TaskIndex,
        attempt: Attempt,
        worker: WorkerId,
        demand: Resources,
    ) {
        self.queues.jobs[job as usize].remove_waiting(task);
        self.commit(worker, job, task, attempt, demand);
        if self.queues.jobs[job as usize].pending.is_empty() {
            self.queues.dequeue(job);
        }
    }

    /// Withholds all pending tasks of a job, because attempts that an earlier owner
    /// started may still be running unnoticed.
    pub fn withhold(&mut self, job: JobRef) {
        let entry = &mut self.queues.jobs[job as usize];
        let tasks = entry.pending.drain(..).map(|(index, _)| index);
        entry.withheld.extend(tasks);
        self.queues.dequeue(job);
    }

    /// Returns true if a task is withheld.
    #[must_use]
    pub fn is_withheld(&self, job: JobRef, task: TaskIndex) -> bool {
        self.queues.jobs[job as usize].withheld.contains(&task)
    }

    /// Returns true if a task is pending or withheld.
    #[must_use]
    pub fn is_waiting(&self, job: JobRef, task: TaskIndex) -> bool {
        let entry = &self.queues.jobs[job as usize];
        entry.pending.iter().any(|(index, _)| *index == task) || entry.withheld.contains(&task)
    }

    /// Makes all withheld tasks pending again.
    pub fn release_withheld(&mut self) {
        for job in 0..self.queues.jobs.len() {
            let entry = &mut self.queues.jobs[job];
            let first = entry.first_attempt;
            let tasks = entry.withheld.drain(..).map(|index| (index, first));
            entry.pending.extend(tasks);
            self.queues.enqueue(job as JobRef);
        }
    }

    /// Records that a pending or withheld task completed without having been placed
    /// by this engine.
    pub fn record_external_completion(&mut self, job: JobRef, task: TaskIndex) {
        let entry = &mut self.queues.jobs[job as usize];
        if entry.remove_waiting(task) {
            entry.completed += 1;
        }
        if entry.pending.is_empty() {
            self.queues.dequeue(job);
        }
    }
}
