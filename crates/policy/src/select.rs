//! Selection of the next job and of the worker for a task.
//!
//! Invariant: a queue is skipped only if its shape fits nowhere or the allotment
//! of its team is used up, so no task waits that could start.

use model::{Resources, TeamOrder, WorkKind};

use crate::engine::{Decision, Engine};
use crate::queue::{JobRef, Shape, ShapeQueueId, ShapeState, TeamId};
use crate::tree::ResourceTree;
use crate::worker::WorkerId;

/// Maximum number of workers compared for one placement.
const MAX_CANDIDATES: usize = 8;

/// Rank of a queue by its first job and its team; the lowest is next.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct QueueRank {
    not_urgent: bool,
    weighted_usage: f64,
    seq: u64,
}

impl Engine {
    /// Usage of a team divided by its weight, or zero for `TeamOrder::Fifo`. Teams are
    /// served in ascending order of this value.
    pub(crate) fn weighted_usage(&self, team: TeamId) -> f64 {
        let entry = &self.queues.teams[team as usize];
        match self.settings.order {
            TeamOrder::DominantShare => {
                entry.used.dominant_share(&self.total_capacity) / entry.weight
            }
            TeamOrder::DecayedUsage => entry.decayed_usage / entry.weight,
            TeamOrder::Fifo => 0.0,
        }
    }

    /// Blocks the shapes that fit nowhere now, so that `next_job` chooses only among
    /// queues whose next task can start. Gangs and urgent work are left to
    /// `place_job`, which reserves or preempts for them.
    pub(crate) fn block_unplaceable(&mut self) {
        for index in 0..self.queues.shapes.len() {
            let ShapeState { shape, blocked } = self.queues.shapes[index];
            let is_ordinary = shape.work != WorkKind::Gang && !shape.urgent;
            if is_ordinary && !blocked && !self.fits_somewhere(&shape.demand) {
                self.queues.shapes[index].blocked = true;
            }
        }
    }

    fn fits_somewhere(&self, demand: &Resources) -> bool {
        let on_cpu_worker = demand.accelerators == 0 && self.cpu_tree.find(0, demand).is_some();
        on_cpu_worker || self.accelerated_tree.find(0, demand).is_some()
    }

    /// Returns the next job that may be able to start, and its queue.
    pub(crate) fn next_job(&mut self) -> Option<(ShapeQueueId, JobRef)> {
        let mut best: Option<(QueueRank, ShapeQueueId, JobRef)> = None;
        for team in 0..self.queues.teams.len() {
            if self.queues.teams[team].queued_jobs == 0 {
                continue;
            }
            let weighted_usage = self.weighted_usage(team as TeamId);
            for index in 0..self.queues.teams[team].shape_queues.len() {
                let queue = self.queues.teams[team].shape_queues[index];
                let Some((job, seq, urgent)) = self.eligible_front(queue) else {
                    continue;
                };
                let rank = QueueRank {
                    not_urgent: !urgent,
                    weighted_usage,
                    seq,
                };
                if best.as_ref().is_none_or(|(b, _, _)| rank < *b) {
                    best = Some((rank, queue, job));
                }
            }
        }
        best.map(|(_, queue, job)| (queue, job))
    }

    /// Returns the first job of a queue, its submission number and whether it is
    /// urgent, unless its shape or the team's allotment rules it out.
    fn eligible_front(&mut self, queue: ShapeQueueId) -> Option<(JobRef, u64, bool)> {
        let entry = &self.queues.shape_queues[queue as usize];
        let (shape, team) = (entry.shape as usize, entry.team as usize);
        if entry.entries.is_empty() || self.queues.shapes[shape].blocked {
            return None;
        }
        let (job, seq) = self.queues.front(queue)?;
        let Shape {
            demand,
            work,
            urgent,
            ..
        } = self.queues.shapes[shape].shape;
        let need = match work {
            WorkKind::Gang => demand.times(self.queues.jobs[job as usize].pending.len() as u32),
            _ => demand,
        };
        let team = &mut self.queues.teams[team];
        if !team.used.plus(need).fits(&team.allotment) {
            team.unmet_demand = Some(need);
            return None;
        }
        Some((job, seq, urgent))
    }

    /// Places the next task of a job, or a whole gang. Blocks the shape if there is
    /// no room.
    pub(crate) fn place_job(&mut self, queue: ShapeQueueId, job: JobRef, out: &mut Vec<Decision>) {
        let shape_id = self.queues.shape_queues[queue as usize].shape as usize;
        let shape = self.queues.shapes[shape_id].shape;
        if shape.work == WorkKind::Gang {
            if !self.place_gang(job, &shape, out) {
                self.queues.shapes[shape_id].blocked = true;
            }
            return;
        }
        match self.find_worker(job, &shape) {
            Some(worker) => self.start(worker, job, out),
            None => {
                if shape.urgent && self.settings.preempt {
                    self.preempt_for(job, &shape.demand, out);
                }
                self.queues.shapes[shape_id].blocked = true;
            }
        }
    }

    /// Returns the worker for one task. Workers with accelerators are used only if
    /// the task needs accelerators or no other worker has room.
    pub(crate) fn find_worker(&self, job: JobRef, shape: &Shape) -> Option<WorkerId> {
        let cpu_worker = match shape.demand.accelerators {
            0 => self.find_worker_in(&self.cpu_tree, &self.cpu_worker_ids, job, shape),
            _ => None,
        };
        cpu_worker.or_else(|| {
            self.find_worker_in(
                &self.accelerated_tree,
                &self.accelerated_worker_ids,
                job,
                shape,
            )
        })
    }

    fn find_worker_in(
        &self,
        tree: &ResourceTree,
        ids: &[WorkerId],
        job: JobRef,
        shape: &Shape,
    ) -> Option<WorkerId> {
        match shape.work {
            WorkKind::Service => self.find_spread(tree, ids, job, &shape.demand),
            _ => self.find_packed(tree, ids, &shape.demand),
        }
    }

    /// Best fit among the first `MAX_CANDIDATES` workers with room.
    fn find_packed(
        &self,
        tree: &ResourceTree,
        ids: &[WorkerId],
        demand: &Resources,
    ) -> Option<WorkerId> {
        let mut best: Option<(f64, WorkerId)> = None;
        let mut start = 0;
        for _ in 0..MAX_CANDIDATES {
            let Some(leaf) = tree.find(start, demand) else {
                break;
            };
            start = leaf + 1;
            let worker = ids[leaf as usize];
            let score = self.residual_fraction(worker, demand);
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Sum of the fractions of a worker's capacity that would stay free, over the
    /// dimensions that the task uses. A lower value is a tighter fit.
    pub(crate) fn residual_fraction(&self, worker: WorkerId, demand: &Resources) -> f64 {
        let entry = &self.workers[worker as usize];
        let left = entry.free.minus(*demand).dims();
        let (capacity, need) = (entry.capacity.dims(), demand.dims());
        let mut sum = 0.0;
        for i in 0..Resources::DIMENSIONS {
            if capacity[i] > 0 && need[i] > 0 {
                sum += f64::from(left[i]) / f64::from(capacity[i]);
            }
        }
        sum
    }

    /// Returns the candidate whose rack runs the fewest tasks of this job.
    fn find_spread(
        &self,
        tree: &ResourceTree,
        ids: &[WorkerId],
        job: JobRef,
        demand: &Resources,
    ) -> Option<WorkerId> {
        let entry = &self.queues.jobs[job as usize];
        let width = tree.width();
        let stride = (width / MAX_CANDIDATES as u32).max(1);
        let offset = entry.running.wrapping_mul(stride / 2 + 1) % width;
        let mut best: Option<(u32, usize, WorkerId)> = None;
        for k in 0..MAX_CANDIDATES as u32 {
            let start = (offset + k * stride) % width;
            let Some(leaf) = tree.find(start, demand).or_else(|| tree.find(0, demand)) else {
                break;
            };
            let worker = ids[leaf as usize];
            let candidate = &self.workers[worker as usize];
            let tasks_in_rack = entry
                .tasks_per_rack
                .iter()
                .find(|(r, _)| *r == candidate.rack);
            let rank = (
                tasks_in_rack.map_or(0, |(_, n)| *n),
                candidate.tasks.len(),
                worker,
            );
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, worker)| worker)
    }
}
