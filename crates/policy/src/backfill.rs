//! Backfill: short tasks on workers that are reserved for a gang.
//!
//! A reserved worker is empty only when its longest task ends. Until then, it may
//! run a task whose learned run time is at most half of the remaining time. Half
//! leaves a margin for errors of the learned value. Declared run times are not
//! used, so a class without completions does not qualify.
//!
//! Invariant: backfilled tasks are preemptible batch tasks, so a wrong estimate
//! delays the gang at most until it preempts.

use model::{Resources, WorkKind};

use crate::engine::{Decision, Engine};
use crate::queue::{JobRef, ShapeQueueId};
use crate::worker::WorkerId;

/// Divisor of the remaining time that gives the longest run time of a backfilled
/// task.
const REMAINING_TIME_DIVISOR: u64 = 2;

impl Engine {
    /// Places short tasks on reserved workers.
    pub(crate) fn backfill(&mut self, out: &mut Vec<Decision>) {
        let count = self.reservation.as_ref().map_or(0, |r| r.parts.len());
        for index in 0..count {
            let Some((worker, _)) = self.reservation.as_ref().map(|r| r.parts[index]) else {
                return;
            };
            let max_run_ms = self.time_until_empty_ms(worker) / REMAINING_TIME_DIVISOR;
            while let Some(job) = self.next_backfill_job(worker, max_run_ms) {
                self.start(worker, job, out);
            }
        }
    }

    /// Estimated time in ms until the last task of a worker ends; zero if there is
    /// no estimate for one of its tasks.
    fn time_until_empty_ms(&self, worker: WorkerId) -> u64 {
        let mut longest = 0;
        for task in &self.workers[worker as usize].tasks {
            let class = self.queues.jobs[task.job as usize].class;
            let Some(upper_ms) = self.estimates.upper_bound_ms(class) else {
                return 0;
            };
            let ends_ms = task.started_ms + upper_ms;
            longest = longest.max(ends_ms.saturating_sub(self.now_ms));
        }
        longest
    }

    /// Returns a waiting batch job that may start on a reserved worker. Jobs of the
    /// team with the lowest weighted usage come first.
    fn next_backfill_job(&mut self, worker: WorkerId, max_run_ms: u64) -> Option<JobRef> {
        let free = self.workers[worker as usize].free;
        let mut best: Option<(f64, JobRef)> = None;
        for queue in 0..self.queues.shape_queues.len() {
            let Some((usage, job)) = self.backfill_job_of(queue as ShapeQueueId, &free, max_run_ms)
            else {
                continue;
            };
            if best.is_none_or(|(b, _)| usage < b) {
                best = Some((usage, job));
            }
        }
        best.map(|(_, job)| job)
    }

    /// Returns the first job of a queue and the weighted usage of its team, if the
    /// job may start within `free` and is expected to end within `max_run_ms`.
    fn backfill_job_of(
        &mut self,
        queue: ShapeQueueId,
        free: &Resources,
        max_run_ms: u64,
    ) -> Option<(f64, JobRef)> {
        let entry = &self.queues.shape_queues[queue as usize];
        let shape = self.queues.shapes[entry.shape as usize].shape;
        let team_id = entry.team;
        if shape.work != WorkKind::Batch || shape.urgent || !shape.demand.fits(free) {
            return None;
        }
        let (job, _) = self.queues.front(queue)?;
        let class = self.queues.jobs[job as usize].class;
        let fits_in_time = self.estimates.upper_bound_ms(class)? <= max_run_ms;
        let team = &self.queues.teams[team_id as usize];
        let allowed = team.used.plus(shape.demand).fits(&team.allotment);
        (fits_in_time && allowed).then(|| (self.weighted_usage(team_id), job))
    }
}
