//! Preemption of batch tasks for urgent work.
//!
//! Tasks of the team furthest above its share are preempted first, and among them
//! the youngest, which lose the least work. A job is preempted a bounded number
//! of times, so that no task is restarted forever.
//!
//! Invariant: the resources claimed on a worker are available to no other work
//! until the urgent task has started there or the claim is dropped.

use model::{Resources, WorkKind};

use crate::engine::{Decision, Engine};
use crate::gang::MAX_PREEMPTIONS;
use crate::queue::JobRef;
use crate::worker::{Task, WorkerId, WorkerState};

/// Maximum number of workers compared for one preemption.
const SAMPLED_WORKERS: usize = 256;
/// Time in ms that preempted tasks have to save a checkpoint before they are
/// stopped without one.
const CHECKPOINT_TIMEOUT_MS: u64 = 1_000;

/// A worker on which tasks are preempted for one urgent task.
#[derive(Debug)]
pub(crate) struct PreemptionClaim {
    pub(crate) worker: WorkerId,
    pub(crate) job: JobRef,
    pub(crate) since_ms: u64,
    /// True once the preempted tasks were ordered to stop without a checkpoint.
    pub(crate) checkpoint_timed_out: bool,
}

impl Engine {
    /// Returns true if a task may be preempted.
    pub(crate) fn is_preemptible(&self, task: &Task) -> bool {
        let job = &self.queues.jobs[task.job as usize];
        let shape = self.queues.shapes[job.shape as usize].shape;
        shape.work == WorkKind::Batch && !shape.urgent && job.preemptions < MAX_PREEMPTIONS
    }

    /// Claims one worker for each pending task of `job` that has no claim.
    pub(crate) fn preempt_for(&mut self, job: JobRef, demand: &Resources, out: &mut Vec<Decision>) {
        let wanted = self.queues.jobs[job as usize].pending.len();
        let mut claimed = self.claims.iter().filter(|c| c.job == job).count();
        while claimed < wanted {
            let Some(worker) = self.cheapest_worker_to_preempt(demand) else {
                return;
            };
            self.claim(worker, job, demand, out);
            claimed += 1;
        }
    }

    /// Returns the sampled worker on which preemption loses the least work.
    fn cheapest_worker_to_preempt(&mut self, demand: &Resources) -> Option<WorkerId> {
        let count = self.workers.len();
        let mut best: Option<(f64, WorkerId)> = None;
        for k in 0..count.min(SAMPLED_WORKERS) {
            let worker = (self.next_sample + k) % count;
            let Some(cost) = self.preemption_cost(worker as WorkerId, demand) else {
                continue;
            };
            if best.is_none_or(|(b, _)| cost < b) {
                best = Some((cost, worker as WorkerId));
            }
        }
        self.next_sample = (self.next_sample + SAMPLED_WORKERS) % count.max(1);
        best.map(|(_, worker)| worker)
    }

    /// Cost of preempting tasks until `demand` fits: 1 per task plus its run time in
    /// seconds. `None` if preemption cannot make enough room.
    fn preemption_cost(&self, worker: WorkerId, demand: &Resources) -> Option<f64> {
        let entry = &self.workers[worker as usize];
        let usable = entry.state == WorkerState::Active && entry.reserved_for.is_none();
        if !usable || !demand.fits(&entry.capacity) {
            return None;
        }
        let mut room = entry.free;
        let mut cost = 0.0;
        let mut last = None;
        while !demand.fits(&room) {
            let (rank, victim) = self.next_victim(worker, last)?;
            last = Some(rank);
            room = room.plus(victim.demand);
            cost += 1.0 + self.now_ms.saturating_sub(victim.started_ms) as f64 / 1_000.0;
        }
        Some(cost)
    }

    /// Returns the next task to preempt on a worker, in order of preference after
    /// `last`.
    fn next_victim(&self, worker: WorkerId, last: Option<(f64, u64, usize)>) -> Option<Victim<'_>> {
        let tasks = self.workers[worker as usize].tasks.iter().enumerate();
        let mut best: Option<Victim<'_>> = None;
        for (index, task) in tasks {
            if task.stopping || !self.is_preemptible(task) {
                continue;
            }
            let team = self.queues.jobs[task.job as usize].team;
            let rank = (
                -self.weighted_usage(team),
                u64::MAX - task.started_ms,
                index,
            );
            let after = last.is_none_or(|l| rank > l);
            if after && best.as_ref().is_none_or(|(b, _)| rank < *b) {
                best = Some((rank, task));
            }
        }
        best
    }

    fn claim(
        &mut self,
        worker: WorkerId,
        job: JobRef,
        demand: &Resources,
        out: &mut Vec<Decision>,
    ) {
        self.preempt_to_fit(worker, demand, out);
        self.workers[worker as usize].reserve(Some((job, *demand)));
        self.update_tree_and_unblock(worker);
        self.claims.push(PreemptionClaim {
            worker,
            job,
            since_ms: self.now_ms,
            checkpoint_timed_out: false,
        });
    }

    fn stop_task(
        &mut self,
        worker: WorkerId,
        index: usize,
        checkpoint: bool,
        out: &mut Vec<Decision>,
    ) {
        let task = &mut self.workers[worker as usize].tasks[index];
        task.stopping = true;
        out.push(Decision::Stop {
            job: task.job,
            task: task.index,
            attempt: task.attempt,
            worker,
            checkpoint,
        });
    }

    /// Preempts tasks of a worker until `part` fits once they have ended. Tasks that
    /// are already stopping count as ended.
    pub(crate) fn preempt_to_fit(
        &mut self,
        worker: WorkerId,
        part: &Resources,
        out: &mut Vec<Decision>,
    ) {
        let entry = &self.workers[worker as usize];
        let stopping = entry.tasks.iter().filter(|t| t.stopping);
        let mut room = stopping.fold(entry.free, |room, t| room.plus(t.demand));
        while !part.fits(&room) {
            let Some(((_, _, index), _)) = self.next_victim(worker, None) else {
                return;
            };
            room = room.plus(self.workers[worker as usize].tasks[index].demand);
            self.stop_task(worker, index, true, out);
        }
    }

    /// Starts urgent tasks on claimed workers that now have room, and drops claims
    /// that are served or no longer needed.
    pub(crate) fn process_claims(&mut self, out: &mut Vec<Decision>) {
        let mut index = 0;
        while index < self.claims.len() {
            if self.process_claim(index, out) {
                let claim = self.claims.swap_remove(index);
                self.workers[claim.worker as usize].reserve(None);
                self.update_tree_and_unblock(claim.worker);
            } else {
                index += 1;
            }
        }
    }

    /// Returns true if the claim is to be removed.
    fn process_claim(&mut self, index: usize, out: &mut Vec<Decision>) -> bool {
        let PreemptionClaim {
            worker,
            job,
            since_ms,
            checkpoint_timed_out,
        } = self.claims[index];
        let entry = &self.queues.jobs[job as usize];
        let demand = self.queues.shapes[entry.shape as usize].shape.demand;
        let active = self.workers[worker as usize].state == WorkerState::Active;
        if !active || entry.ended || entry.pending.is_empty() {
            return true;
        }
        let team = &self.queues.teams[entry.team as usize];
        if !team.used.plus(demand).fits(&team.allotment) {
            return true;
        }
        if demand.fits(&self.workers[worker as usize].free) {
            self.start(worker, job, out);
            return true;
        }
        if !checkpoint_timed_out && self.now_ms.saturating_sub(since_ms) >= CHECKPOINT_TIMEOUT_MS {
            self.claims[index].checkpoint_timed_out = true;
            self.stop_without_checkpoint(worker, out);
        }
        false
    }

    /// Repeats the orders to stop the tasks of a worker that are still stopping, this
    /// time without a checkpoint.
    fn stop_without_checkpoint(&mut self, worker: WorkerId, out: &mut Vec<Decision>) {
        for index in 0..self.workers[worker as usize].tasks.len() {
            if self.workers[worker as usize].tasks[index].stopping {
                self.stop_task(worker, index, false, out);
            }
        }
    }

    /// Drops the claims and the reservation of an ended job.
    pub(crate) fn drop_claims_and_reservation_of(&mut self, job: JobRef) {
        let mut index = 0;
        while index < self.claims.len() {
            if self.claims[index].job == job {
                let claim = self.claims.swap_remove(index);
                self.workers[claim.worker as usize].reserve(None);
                self.update_tree_and_unblock(claim.worker);
            } else {
                index += 1;
            }
        }
        self.drop_reservation(job);
    }
}

/// Order of preference and task to preempt. The order consists of the negated
/// weighted usage of the team, the inverted start time, and the position in the
/// task list of the worker; the lowest is preempted first.
type Victim<'a> = ((f64, u64, usize), &'a Task);
