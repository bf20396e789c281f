//! Workers and the attempts that run on them.
//!
//! Invariant: `free` is `capacity` less the sum of `tasks`, saturating at
//! zero when a worker reports more than it has.

use model::{Attempt, Resources, TaskIndex};

use crate::health::Health;
use crate::queue::JobRef;
use crate::tree::Leaf;

/// Dense index of a worker.
pub type WorkerId = u32;

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes tasks.
    Active,
    /// Leaves; runs what it has and takes nothing new.
    Draining,
    /// Not reachable or removed; its tasks' fate is decided by the caller.
    Lost,
}

/// One running attempt.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) job: JobRef,
    pub(crate) index: TaskIndex,
    pub(crate) attempt: Attempt,
    pub(crate) demand: Resources,
    pub(crate) started_ms: u64,
    pub(crate) stopping: bool,
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) capacity: Resources,
    pub(crate) free: Resources,
    pub(crate) rack: u16,
    pub(crate) leaf: Leaf,
    pub(crate) accelerated: bool,
    pub(crate) state: WorkerState,
    pub(crate) reserved_for: Option<JobRef>,
    /// Part kept for `reserved_for`, free already or not.
    pub(crate) reserved: Resources,
    pub(crate) health: Health,
    pub(crate) tasks: Vec<Task>,
}

impl Worker {
    /// Resources offered to work without a reservation at `now_ms`.
    pub(crate) fn available(&self, now_ms: u64) -> Resources {
        match self {
            w if w.state != WorkerState::Active => Resources::ZERO,
            w if !w.health.accepts_tasks(now_ms, w.tasks.len()) => Resources::ZERO,
            w => w.free.minus(w.reserved),
        }
    }

    /// Keeps a part for a job, or nothing.
    pub(crate) fn reserve(&mut self, reservation: Option<(JobRef, Resources)>) {
        self.reserved_for = reservation.map(|(job, _)| job);
        self.reserved = reservation.map_or(Resources::ZERO, |(_, part)| part);
    }

    /// Recomputes `free` from the running tasks.
    pub(crate) fn recompute_free(&mut self) {
        let used = self
            .tasks
            .iter()
            .fold(Resources::ZERO, |sum, t| sum.plus(t.demand));
        self.free = self.capacity.minus(used);
    }
}
