//! Gangs: all tasks start together or none does.
//!
//! A gang that has waited too long gets a reservation: parts of workers that
//! are kept from other work, as they become free, until the gang starts. There is at most one reservation, so two
//! gangs never hold parts of what the other needs. Tasks whose learned run
//! time ends well before the reservation's longest running task may still be
//! placed on reserved workers; declared run times are not trusted for that.
//!
//! Invariant: a gang is either wholly pending or wholly committed by a call.

use model::Resources;

use crate::engine::{Decision, Engine};
use crate::queue::{JobRef, Shape};
use crate::worker::{State, WorkerId};

/// Multiple of the reservation delay after which batch tasks on reserved
/// workers are preempted.
const PREEMPT_AFTER: u64 = 3;
/// Times that a job's tasks may be preempted before they are left alone.
pub(crate) const MAX_PREEMPTIONS: u32 = 3;

/// Parts of workers kept for one gang.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobRef,
    pub(crate) since_ms: u64,
    pub(crate) workers: Vec<(WorkerId, Resources)>,
    pub(crate) preempted: bool,
}

impl Engine {
    /// Starts all pending tasks of a gang, or none.
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
            let Some(worker) = self.find(job, shape) else {
                break;
            };
            self.hold(worker, &shape.each);
            chosen.push(worker);
        }
        for worker in &chosen {
            self.unhold(*worker, &shape.each);
        }
        let whole = chosen.len() == count;
        if whole {
            self.drop_reservation(job);
            for worker in &chosen {
                self.start(*worker, job, out);
            }
            debug_assert_eq!(out.len() - first, count);
        }
        self.scratch = chosen;
        if !whole {
            self.consider_reservation(job, &shape.each, count);
        }
        whole
    }

    fn hold(&mut self, worker: WorkerId, each: &Resources) {
        let entry = &mut self.workers[worker as usize];
        entry.free = entry.free.minus(*each);
        self.offer_quietly(worker);
    }

    fn unhold(&mut self, worker: WorkerId, each: &Resources) {
        let entry = &mut self.workers[worker as usize];
        entry.free = entry.free.plus(*each);
        self.offer_quietly(worker);
    }

    /// Publishes a worker without unblocking shapes, for trial placements.
    fn offer_quietly(&mut self, worker: WorkerId) {
        let entry = &self.workers[worker as usize];
        let (leaf, offered) = (entry.leaf, entry.offered(self.now_ms));
        match entry.accelerated {
            true => self.accelerated.set(leaf, offered),
            false => self.plain.set(leaf, offered),
        }
    }

    fn consider_reservation(&mut self, job: JobRef, each: &Resources, count: usize) {
        let waited = self.now_ms - self.queues.jobs[job as usize].submitted_ms;
        if self.reservation.is_some() || waited < self.settings.reserve_after_ms {
            return;
        }
        let workers = self.reservable(each, count);
        if workers.is_empty() {
            return;
        }
        self.set_reserved(&workers, Some(job));
        self.reservation = Some(Reservation {
            job,
            since_ms: self.now_ms,
            workers,
            preempted: false,
        });
    }

    /// Parts of workers that together hold `count` tasks once batch tasks end;
    /// those with most room now first. Empty when there are not enough.
    fn reservable(&self, each: &Resources, count: usize) -> Vec<(WorkerId, Resources)> {
        let mut ranked: Vec<(usize, WorkerId)> = Vec::new();
        for (id, worker) in self.workers.iter().enumerate() {
            let usable = worker.state == State::Open && worker.reserved_for.is_none();
            if usable && each.fits(&self.room_without_batch(id as WorkerId)) {
                ranked.push((copies(&worker.free, each), id as WorkerId));
            }
        }
        ranked.sort_unstable_by_key(|(now, id)| (std::cmp::Reverse(*now), *id));
        let mut parts = Vec::new();
        let mut left = count;
        for (_, worker) in ranked {
            if left == 0 {
                break;
            }
            let places = copies(&self.room_without_batch(worker), each).min(left);
            left -= places;
            parts.push((worker, each.times(places as u32)));
        }
        if left > 0 {
            parts.clear();
        }
        parts
    }

    /// Room on a worker once its preemptible tasks have ended.
    fn room_without_batch(&self, worker: WorkerId) -> Resources {
        let entry = &self.workers[worker as usize];
        let batch = entry.tasks.iter().filter(|t| self.is_preemptible(t));
        batch.fold(entry.free, |room, t| room.plus(t.each))
    }

    /// Tries the reserved gang again and preempts for it when it is due.
    pub(crate) fn serve_reservation(&mut self, out: &mut Vec<Decision>) {
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
        let need = shape.each.times(entry.pending.len() as u32);
        let team = &self.queues.teams[entry.team as usize];
        let allowed = team.used.plus(need).fits(&team.allotment);
        self.set_reserved(&reservation.workers, None);
        if allowed && self.place_gang_quietly(job, &shape, out) {
            for (worker, _) in reservation.workers {
                self.offer(worker);
            }
            return;
        }
        self.set_reserved(&reservation.workers, Some(job));
        self.reservation = Some(reservation);
        self.preempt_for_reservation(out);
        self.backfill(out);
    }

    fn place_gang_quietly(&mut self, job: JobRef, shape: &Shape, out: &mut Vec<Decision>) -> bool {
        let reserve_after_ms = std::mem::replace(&mut self.settings.reserve_after_ms, u64::MAX);
        let placed = self.place_gang(job, shape, out);
        self.settings.reserve_after_ms = reserve_after_ms;
        placed
    }

    fn set_reserved(&mut self, parts: &[(WorkerId, Resources)], job: Option<JobRef>) {
        for (worker, part) in parts {
            let kept = job.map(|job| (job, *part));
            self.workers[*worker as usize].reserve(kept);
            self.offer_quietly(*worker);
        }
    }

    fn preempt_for_reservation(&mut self, out: &mut Vec<Decision>) {
        let due_ms = self.settings.reserve_after_ms.saturating_mul(PREEMPT_AFTER);
        let Some(reservation) = self.reservation.as_mut() else {
            return;
        };
        let due = self.now_ms.saturating_sub(reservation.since_ms) >= due_ms;
        if !due || reservation.preempted || !self.settings.preempt {
            return;
        }
        reservation.preempted = true;
        for at in 0..reservation.workers.len() {
            let Some((worker, part)) = self.reservation.as_ref().map(|r| r.workers[at]) else {
                return;
            };
            self.make_room(worker, &part, out);
        }
    }

    /// Ends the reservation of `job` and offers its workers again.
    pub(crate) fn drop_reservation(&mut self, job: JobRef) {
        if self.reservation.as_ref().is_none_or(|r| r.job != job) {
            return;
        }
        let parts = self.reservation.take().map(|r| r.workers);
        for (worker, _) in parts.into_iter().flatten() {
            self.workers[worker as usize].reserve(None);
            self.offer(worker);
        }
    }

    /// Ends the reservation that holds `worker`, if one does.
    pub(crate) fn drop_reservation_of(&mut self, worker: WorkerId) {
        let holder = self
            .reservation
            .as_ref()
            .filter(|r| r.workers.iter().any(|(w, _)| *w == worker));
        if let Some(job) = holder.map(|r| r.job) {
            self.drop_reservation(job);
        }
    }
}

/// How many copies of `each` fit into `room`.
pub(crate) fn copies(room: &Resources, each: &Resources) -> usize {
    let (room, each) = (room.dims(), each.dims());
    let per_dim = room.iter().zip(each).filter(|(_, e)| *e > 0);
    per_dim.map(|(r, e)| (r / e) as usize).min().unwrap_or(0)
}
