//! Whole-state verifier, called by tests after every step.
//!
//! Invariant: `verify` never changes the engine.

use model::Resources;

use crate::engine::Engine;
use crate::queue::{JobRef, TeamId};
use crate::worker::WorkerId;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A worker runs more than it has.
    #[error("worker {0} runs more than its capacity")]
    Overcommitted(WorkerId),
    /// A worker's free resources differ from its tasks.
    #[error("worker {0} has a wrong count of free resources")]
    FreeMismatch(WorkerId),
    /// A team's use differs from its tasks.
    #[error("team {0} has a wrong count of used resources")]
    UsedMismatch(TeamId),
    /// A task of a job runs twice.
    #[error("task {1} of job {0} runs twice")]
    DuplicateTask(JobRef, u32),
    /// A job's counts differ from its tasks.
    #[error("job {0} has wrong counts")]
    JobCountMismatch(JobRef),
    /// The search tree is out of date.
    #[error("the search tree differs from worker {0}")]
    TreeMismatch(WorkerId),
    /// Part of a gang runs.
    #[error("job {0} is a gang of which only a part was started")]
    PartialGang(JobRef),
}

impl Engine {
    /// Checks the whole state.
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
