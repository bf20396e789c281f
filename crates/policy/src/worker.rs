//! Workers and the attempts that run on them.
//!
//! Invariant: `free` is `capacity` less the sum of `tasks`. It saturates at zero
//! when the tasks reported for a worker exceed its capacity.

use model::{Attempt, Resources, TaskIndex};

use crate::health::Health;
use crate::queue::JobRef;
use crate::tree::Leaf;

/// Dense index of a worker, assigned by `Engine::add_worker`; never reused.
pub type WorkerId = u32;

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts new tasks.
    Active,
    /// Finishes its running tasks and accepts no new ones.
    Draining,
    /// Unreachable or removed. The caller decides what happens to its tasks.
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
    /// True once the attempt was ordered to stop.
    pub(crate) stopping: bool,
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) capacity: Resources,
    pub(crate) free: Resources,
    pub(crate) rack: u16,
    pub(crate) leaf: Leaf,
    pub(crate) accelerated: bool,
    pub(crate) state: WorkerState,
    pub(crate) reserved_for: Option<JobRef>,
    /// Part reserved for `reserved_for`, whether or not it is free yet.
    pub(crate) reserved: Resources,
    pub(crate) health: Health,
    /// True while no other worker can take all that this one can.
    pub(crate) last_resort: bool,
    pub(crate) tasks: Vec<Task>,
}

impl Worker {
    /// Resources available to work without a reservation at `now_ms`.
    pub(crate) fn available(&self, now_ms: u64) -> Resources {
        match self {
            w if w.state != WorkerState::Active => Resources::ZERO,
            w if w.accepts_at_ms().is_some_and(|at| now_ms < at) => Resources::ZERO,
            w => w.free.minus(w.reserved),
        }
    }

    /// When a worker on probation next accepts a task unless an attempt ends before.
    pub(crate) fn accepts_at_ms(&self) -> Option<u64> {
        match self.last_resort {
            true => self.health.accepts_last_resort_at_ms(self.last_start_ms()),
            false => self.health.accepts_at_ms(self.last_start_ms()),
        }
    }

    /// When the last of its running attempts was started.
    pub(crate) fn last_start_ms(&self) -> Option<u64> {
        self.tasks.iter().map(|task| task.started_ms).max()
    }

    /// Replaces the reservation; `None` clears it.
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
