//! Gangs: jobs whose tasks start all together or not at all.
//!
//! A gang that has waited too long gets a reservation: parts of workers that are
//! withheld from other work as they become free, until the gang starts. There is
//! at most one reservation, so two gangs never hold resources that the other one
//! needs. Short tasks may still be placed on reserved workers; see
//! [`crate::backfill`].
//!
//! Invariant: a call commits either all pending tasks of a gang or none.

use model::Resources;

use crate::engine::{Decision, Engine};
use crate::queue::{JobRef, Shape};
use crate::worker::{WorkerId, WorkerState};

/// Multiple of `reserve_after_ms`, counted from the reservation, after which batch
/// tasks on reserved workers are preempted.
const PREEMPT_DELAY_FACTOR: u64 = 3;
/// Preemptions of a job's tasks after which they are no longer preempted.
pub(crate) const MAX_PREEMPTIONS: u32 = 3;

/// Parts of workers reserved for one gang.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobRef,
    pub(crate) since_ms: u64,
    /// Reserved resources of each worker, whether or not they are free yet.
    pub(crate) parts: Vec<(WorkerId, Resources)>,
    /// True once batch tasks have been preempted for the gang.
    pub(crate) preempted: bool,
}

impl Engine {
    /// Starts all pending tasks of a gang, or none. Returns true if they started.
    pub(crate) fn place_gang(
        &mut self,
        job: JobRef,
        shape: &Shape,
        out: &mut Vec<Decision>,
    ) -> bool {
        let count = self.queues.jobs[job as usize].pending.len();
        let first = out.len();
        let mut chosen = std::mem::take(&mut self.scratch);
        chosen.clear();
        while chosen.len() < count {
            let Some(worker) = self.find_worker(job, shape) else {
                break;
            };
            self.allocate_tentatively(worker, &shape.demand);
            chosen.push(worker);
        }
        for worker in &chosen {
            self.release_tentative(*worker, &shape.demand);
        }
        let complete = chosen.len() == count;
        if complete {
            self.drop_reservation(job);
            for worker in &chosen {
                self.start(*worker, job, out);
            }
            debug_assert_eq!(out.len() - first, count);
        }
        self.scratch = chosen;
        if !complete {
            self.reserve_if_due(job, &shape.demand, count);
        }
        complete
    }

    fn allocate_tentatively(&mut self, worker: WorkerId, demand: &Resources) {
        let entry = &mut self.workers[worker as usize];
        entry.free = entry.free.minus(*demand);
        self.update_tree(worker);
    }

    fn release_tentative(&mut self, worker: WorkerId, demand: &Resources) {
        let entry = &mut self.workers[worker as usize];
        entry.free = entry.free.plus(*demand);
        self.update_tree(worker);
    }

    /// Updates the tree entry of a worker without unblocking shapes, for tentative
    /// placements.
    fn update_tree(&mut self, worker: WorkerId) {
        let entry = &self.workers[worker as usize];
        let (leaf, available) = (entry.leaf, entry.available(self.now_ms));
        match entry.accelerated {
            true => self.accelerated_tree.set(leaf, available),
            false => self.cpu_tree.set(leaf, available),
        }
    }

    /// Reserves parts of workers for a gang that has waited `reserve_after_ms`,
    /// unless there is a reservation or the workers cannot hold the gang.
    fn reserve_if_due(&mut self, job: JobRef, demand: &Resources, count: usize) {
        let waited = self.now_ms - self.queues.jobs[job as usize].submitted_ms;
        if self.reservation.is_some() || waited < self.settings.reserve_after_ms {
            return;
        }
        let parts = self.plan_reservation(demand, count);
        if parts.is_empty() {
            return;
        }
        self.set_reserved(&parts, Some(job));
        self.reservation = Some(Reservation {
            job,
            since_ms: self.now_ms,
            parts,
            preempted: false,
        });
    }

    /// Returns parts of workers that together hold `count` tasks once preemptible
    /// tasks have ended. Workers with the most room now are taken first. The result
    /// is empty if they cannot hold all tasks.
    fn plan_reservation(&self, demand: &Resources, count: usize) -> Vec<(WorkerId, Resources)> {
        let mut ranked: Vec<(usize, WorkerId)> = Vec::new();
        for (id, worker) in self.workers.iter().enumerate() {
            let usable = worker.state == WorkerState::Active && worker.reserved_for.is_none();
            if usable && demand.fits(&self.free_after_preemption(id as WorkerId)) {
                ranked.push((task_capacity(&worker.free, demand), id as WorkerId));
            }
        }
        ranked.sort_unstable_by_key(|(fit_now, id)| (std::cmp::Reverse(*fit_now), *id));
        let mut parts = Vec::new();
        let mut remaining = count;
        for (_, worker) in ranked {
            if remaining == 0 {
                break;
            }
            let tasks = task_capacity(&self.free_after_preemption(worker), demand).min(remaining);
            remaining -= tasks;
            parts.push((worker, demand.times(tasks as u32)));
        }
        if remaining > 0 {
            parts.clear();
        }
        parts
    }

    /// Free resources of a worker once its preemptible tasks have ended.
    fn free_after_preemption(&self, worker: WorkerId) -> Resources {
        let entry = &self.workers[worker as usize];
        let batch = entry.tasks.iter().filter(|t| self.is_preemptible(t));
        batch.fold(entry.free, |room, t| room.plus(t.demand))
    }

    /// Tries to start the reserved gang. Otherwise preempts for it once that is due,
    /// and backfills the reserved workers.
    pub(crate) fn retry_reserved_gang(&mut self, out: &mut Vec<Decision>) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let job = reservation.job;
        let entry = &self.queues.jobs[job as usize];
        if entry.ended || entry.pending.is_empty() {
            self.reservation = Some(reservation);
            self.drop_reservation(job);
            return;
        }
        let shape = self.queues.shapes[entry.shape as usize].shape;
        let need = shape.demand.times(entry.pending.len() as u32);
        let team = &self.queues.teams[entry.team as usize];
        let allowed = team.used.plus(need).fits(&team.allotment);
        self.set_reserved(&reservation.parts, None);
        if allowed && self.place_gang_without_reserving(job, &shape, out) {
            for (worker, _) in reservation.parts {
                self.update_tree_and_unblock(worker);
            }
            return;
        }
        self.set_reserved(&reservation.parts, Some(job));
        self.reservation = Some(reservation);
        self.preempt_for_reservation(out);
        self.backfill(out);
    }

    /// Same as `place_gang`, but makes no new reservation if the gang does not fit.
    fn place_gang_without_reserving(
        &mut self,
        job: JobRef,
        shape: &Shape,
        out: &mut Vec<Decision>,
    ) -> bool {
        let reserve_after_ms = std::mem::replace(&mut self.settings.reserve_after_ms, u64::MAX);
        let placed = self.place_gang(job, shape, out);
        self.settings.reserve_after_ms = reserve_after_ms;
        placed
    }

    fn set_reserved(&mut self, parts: &[(WorkerId, Resources)], job: Option<JobRef>) {
        for (worker, part) in parts {
            let reservation = job.map(|job| (job, *part));
            self.workers[*worker as usize].reserve(reservation);
            self.update_tree(*worker);
        }
    }

    /// Preempts batch tasks on the reserved workers, once per reservation.
    fn preempt_for_reservation(&mut self, out: &mut Vec<Decision>) {
        let due_ms = self
            .settings
            .reserve_after_ms
            .saturating_mul(PREEMPT_DELAY_FACTOR);
        let Some(reservation) = self.reservation.as_mut() else {
            return;
        };
        let due = self.now_ms.saturating_sub(reservation.since_ms) >= due_ms;
        if !due || reservation.preempted || !self.settings.preempt {
            return;
        }
        reservation.preempted = true;
        for index in 0..reservation.parts.len() {
            let Some((worker, part)) = self.reservation.as_ref().map(|r| r.parts[index]) else {
                return;
            };
            self.preempt_to_fit(worker, &part, out);
        }
    }

    /// Ends the reservation of `job` and makes its workers available again.
    pub(crate) fn drop_reservation(&mut self, job: JobRef) {
        if self.reservation.as_ref().is_none_or(|r| r.job != job) {
            return;
        }
        let parts = self.reservation.take().map(|r| r.parts);
        for (worker, _) in parts.into_iter().flatten() {
            self.workers[worker as usize].reserve(None);
            self.update_tree_and_unblock(worker);
        }
    }

    /// Ends the reservation that includes `worker`, if there is one.
    pub(crate) fn drop_reservation_on(&mut self, worker: WorkerId) {
        let reservation = self
            .reservation
            .as_ref()
            .filter(|r| r.parts.iter().any(|(w, _)| *w == worker));
        if let Some(job) = reservation.map(|r| r.job) {
            self.drop_reservation(job);
        }
    }
}

/// Number of tasks with `demand` that fit into `room`; zero if `demand` is zero.
pub(crate) fn task_capacity(room: &Resources, demand: &Resources) -> usize {
    let (room, demand) = (room.dims(), demand.dims());
    let per_dimension = room.iter().zip(demand).filter(|(_, needed)| *needed > 0);
    per_dimension
        .map(|(available, needed)| (available / needed) as usize)
        .min()
        .unwrap_or(0)
}
