//! Which job is next, and which worker it goes to.
//!
//! Invariant: a line is skipped only because its shape fits nowhere or its
//! team's allotment is used up, so a task that could start never waits.

use model::{Order, Resources, Work};

use crate::engine::{Decision, Engine};
use crate::queue::{JobRef, LineId, Shape, Slot, TeamId};
use crate::tree::Tree;
use crate::worker::WorkerId;

/// Workers compared for one placement.
const CANDIDATES: usize = 8;

/// Rank of a candidate line; the lowest is next.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    ordinary: bool,
    team: f64,
    seq: u64,
}

impl Engine {
    /// Weighted usage by which a team is ordered.
    pub(crate) fn team_rank(&self, team: TeamId) -> f64 {
        let entry = &self.queues.teams[team as usize];
        match self.settings.order {
            Order::DominantShare => entry.used.dominant_share(&self.total) / entry.share,
            Order::DecayedUsage => entry.decayed / entry.share,
            Order::Fifo => 0.0,
        }
    }

    /// Blocks the shapes that fit nowhere now, so that `pick` chooses only
    /// among lines whose next task can start. Gangs and urgent work are left
    /// to `place_job`, which reserves or preempts for them.
    pub(crate) fn block_unplaceable(&mut self) {
        for at in 0..self.queues.shapes.len() {
            let Slot { shape, blocked } = self.queues.shapes[at];
            let plain = shape.work != Work::Gang && !shape.urgent;
            if plain && !blocked && !self.fits_somewhere(&shape.each) {
                self.queues.shapes[at].blocked = true;
            }
        }
    }

    fn fits_somewhere(&self, each: &Resources) -> bool {
        let plain = each.accelerators == 0 && self.plain.find(0, each).is_some();
        plain || self.accelerated.find(0, each).is_some()
    }

    /// The next line with a job that may be able to start.
    pub(crate) fn pick(&mut self) -> Option<(LineId, JobRef)> {
        let mut best: Option<(Rank, LineId, JobRef)> = None;
        for team in 0..self.queues.teams.len() {
            if self.queues.teams[team].queued_jobs == 0 {
                continue;
            }
            let rank = self.team_rank(team as TeamId);
            for at in 0..self.queues.teams[team].lines.len() {
                let line = self.queues.teams[team].lines[at];
                let Some((job, seq, urgent)) = self.candidate(line) else {
                    continue;
                };
                let rank = Rank {
                    ordinary: !urgent,
                    team: rank,
                    seq,
                };
                if best.as_ref().is_none_or(|(b, _, _)| rank < *b) {
                    best = Some((rank, line, job));
                }
            }
        }
        best.map(|(_, line, job)| (line, job))
    }

    /// First job of a line, unless its shape or allotment rules it out.
    fn candidate(&mut self, line: LineId) -> Option<(JobRef, u64, bool)> {
        let entry = &self.queues.lines[line as usize];
        let (shape, team) = (entry.shape as usize, entry.team as usize);
        if entry.fifo.is_empty() || self.queues.shapes[shape].blocked {
            return None;
        }
        let (job, seq) = self.queues.front(line)?;
        let Shape {
            each, work, urgent, ..
        } = self.queues.shapes[shape].shape;
        let need = match work {
            Work::Gang => each.times(self.queues.jobs[job as usize].pending.len() as u32),
            _ => each,
        };
        let team = &mut self.queues.teams[team];
        if !team.used.plus(need).fits(&team.allotment) {
            team.short = Some(need);
            return None;
        }
        Some((job, seq, urgent))
    }

    /// Places the next task of a job, or the whole gang; blocks the shape
    /// when there is no room.
    pub(crate) fn place_job(&mut self, line: LineId, job: JobRef, out: &mut Vec<Decision>) {
        let shape_id = self.queues.lines[line as usize].shape as usize;
        let shape = self.queues.shapes[shape_id].shape;
        if shape.work == Work::Gang {
            if !self.place_gang(job, &shape, out) {
                self.queues.shapes[shape_id].blocked = true;
            }
            return;
        }
        match self.find(job, &shape) {
            Some(worker) => self.start(worker, job, out),
            None => {
                if shape.urgent && self.settings.preempt {
                    self.preempt_for(job, &shape.each, out);
                }
                self.queues.shapes[shape_id].blocked = true;
            }
        }
    }

    /// The worker for one task: plain workers first, accelerated ones only
    /// when they are needed or nothing else is left.
    pub(crate) fn find(&self, job: JobRef, shape: &Shape) -> Option<WorkerId> {
        let plain = match shape.each.accelerators {
            0 => self.find_in(&self.plain, &self.plain_ids, job, shape),
            _ => None,
        };
        plain.or_else(|| self.find_in(&self.accelerated, &self.accelerated_ids, job, shape))
    }

    fn find_in(
        &self,
        tree: &Tree,
        ids: &[WorkerId],
        job: JobRef,
        shape: &Shape,
    ) -> Option<WorkerId> {
        match shape.work {
            Work::Service => self.find_spread(tree, ids, job, &shape.each),
            _ => self.find_packed(tree, ids, &shape.each),
        }
    }

    /// Best fit among the first workers with room.
    fn find_packed(&self, tree: &Tree, ids: &[WorkerId], each: &Resources) -> Option<WorkerId> {
        let mut best: Option<(f64, WorkerId)> = None;
        let mut start = 0;
        for _ in 0..CANDIDATES {
            let Some(leaf) = tree.find(start, each) else {
                break;
            };
            start = leaf + 1;
            let worker = ids[leaf as usize];
            let score = self.left_over(worker, each);
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Fraction of the worker left free in the dimensions the task uses;
    /// lower packs tighter.
    pub(crate) fn left_over(&self, worker: WorkerId, each: &Resources) -> f64 {
        let entry = &self.workers[worker as usize];
        let left = entry.free.minus(*each).dims();
        let (capacity, need) = (entry.capacity.dims(), each.dims());
        let mut sum = 0.0;
        for i in 0..Resources::DIMENSIONS {
            if capacity[i] > 0 && need[i] > 0 {
                sum += f64::from(left[i]) / f64::from(capacity[i]);
            }
        }
        sum
    }

    /// The candidate whose rack runs fewest tasks of this job.
    fn find_spread(
        &self,
        tree: &Tree,
        ids: &[WorkerId],
        job: JobRef,
        each: &Resources,
    ) -> Option<WorkerId> {
        let entry = &self.queues.jobs[job as usize];
        let width = tree.width();
        let stride = (width / CANDIDATES as u32).max(1);
        let offset = entry.running.wrapping_mul(stride / 2 + 1) % width;
        let mut best: Option<(u32, usize, WorkerId)> = None;
        for k in 0..CANDIDATES as u32 {
            let start = (offset + k * stride) % width;
            let Some(leaf) = tree.find(start, each).or_else(|| tree.find(0, each)) else {
                break;
            };
            let worker = ids[leaf as usize];
            let at = &self.workers[worker as usize];
            let in_rack = entry.racks.iter().find(|(r, _)| *r == at.rack);
            let rank = (in_rack.map_or(0, |(_, n)| *n), at.tasks.len(), worker);
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, worker)| worker)
    }
}
