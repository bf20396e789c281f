//! Consistency check of the whole engine state, called by tests after every step.
//!
//! Invariant: `verify` never changes the engine.

use model::Resources;

use crate::engine::Engine;
use crate::queue::{JobRef, TeamId};
use crate::worker::WorkerId;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The tasks of a worker exceed its capacity.
    #[error("tasks on worker {0} exceed its capacity")]
    Overcommitted(WorkerId),
    /// The free resources of a worker differ from its capacity less its tasks.
    #[error("free resources of worker {0} differ from its capacity less its tasks")]
    FreeMismatch(WorkerId),
    /// The use of a team differs from the sum of its tasks.
    #[error("use of team {0} differs from the sum of its tasks")]
    UsedMismatch(TeamId),
    /// Two attempts of one task are running.
    #[error("two attempts of task {1} of job {0} are running")]
    DuplicateTask(JobRef, u32),
    /// The task counts of a job differ from its tasks.
    #[error("task counts of job {0} differ from its tasks")]
    JobCountMismatch(JobRef),
    /// The resource tree offers more than a worker has free, or an inner node is
    /// not the maximum of its children (worker `WorkerId::MAX`).
    #[error("resource tree is inconsistent with worker {0}")]
    TreeMismatch(WorkerId),
    /// Only some tasks of a gang were started.
    #[error("only some tasks of gang job {0} were started")]
    PartialGang(JobRef),
}

impl Engine {
    /// Checks the whole state of the engine.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn verify(&self) -> Result<(), Violation> {
        let mut used = vec![Resources::ZERO; self.queues.teams.len()];
        let mut running = vec![0_u32; self.queues.jobs.len()];
        let mut seen = std::collections::HashSet::new();
        for (id, worker) in self.workers.iter().enumerate() {
            let id = id as WorkerId;
            let mut sum = Resources::ZERO;
            for task in &worker.tasks {
                sum = sum.plus(task.demand);
                running[task.job as usize] += 1;
                let team = self.queues.jobs[task.job as usize].team as usize;
                used[team] = used[team].plus(task.demand);
                if !seen.insert((task.job, task.index)) {
                    return Err(Violation::DuplicateTask(task.job, task.index));
                }
            }
            let tree = match worker.accelerated {
                true => &self.accelerated_tree,
                false => &self.cpu_tree,
            };
            match () {
                () if !sum.fits(&worker.capacity) => return Err(Violation::Overcommitted(id)),
                () if worker.free != worker.capacity.minus(sum) => {
                    return Err(Violation::FreeMismatch(id));
                }
                () if !tree.get(worker.leaf).fits(&worker.free) => {
                    return Err(Violation::TreeMismatch(id));
                }
                () => {}
            }
        }
        if !self.cpu_tree.is_consistent() || !self.accelerated_tree.is_consistent() {
            return Err(Violation::TreeMismatch(WorkerId::MAX));
        }
        for (team, sum) in used.iter().enumerate() {
            if self.queues.teams[team].used != *sum {
                return Err(Violation::UsedMismatch(team as TeamId));
            }
        }
        for (id, job) in self.queues.jobs.iter().enumerate() {
            let waiting = (job.pending.len() + job.withheld.len()) as u32;
            let consistent = job.running + job.completed + waiting == job.tasks;
            if job.running != running[id] || (job.seq != 0 && !job.ended && !consistent) {
                return Err(Violation::JobCountMismatch(id as JobRef));
            }
        }
        Ok(())
    }
}
