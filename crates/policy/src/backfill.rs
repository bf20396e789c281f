//! Short work on workers that are reserved for a gang.
//!
//! A reserved worker is empty only when its longest task ends. Until then a
//! task whose learned run time is at most half of that remaining time may use
//! it. Declared run times are not used: a class without completions does not
//! qualify, and half leaves room for a learned value that is off.
//!
//! Invariant: backfilled tasks are preemptible batch tasks, so a wrong
//! estimate delays the gang at most until it preempts.

use model::{Resources, Work};

use crate::engine::{Decision, Engine};
use crate::queue::{JobRef, LineId};
use crate::worker::WorkerId;

/// Fraction of the remaining time that a backfilled task may take.
const SAFETY: u64 = 2;

impl Engine {
    /// Places short tasks on reserved workers.
    pub(crate) fn backfill(&mut self, out: &mut Vec<Decision>) {
        let count = self.reservation.as_ref().map_or(0, |r| r.workers.len());
        for at in 0..count {
            let Some((worker, _)) = self.reservation.as_ref().map(|r| r.workers[at]) else {
                return;
            };
            let within_ms = self.remaining_ms(worker) / SAFETY;
            while let Some(job) = self.short_job(worker, within_ms) {
                self.start(worker, job, out);
            }
        }
    }

    /// Learned time in ms until the last task of a worker ends; zero when that
    /// is not known for some task.
    fn remaining_ms(&self, worker: WorkerId) -> u64 {
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

    /// The waiting batch job that may start on a reserved worker, of the team
    /// furthest below its share.
    fn short_job(&mut self, worker: WorkerId, within_ms: u64) -> Option<JobRef> {
        let free = self.workers[worker as usize].free;
        let mut best: Option<(f64, JobRef)> = None;
        for line in 0..self.queues.lines.len() {
            let Some((rank, job)) = self.backfillable(line as LineId, &free, within_ms) else {
                continue;
            };
            if best.is_none_or(|(b, _)| rank < b) {
                best = Some((rank, job));
            }
        }
        best.map(|(_, job)| job)
    }

    fn backfillable(
        &mut self,
        line: LineId,
        free: &Resources,
        within_ms: u64,
    ) -> Option<(f64, JobRef)> {
        let entry = &self.queues.lines[line as usize];
        let shape = self.queues.shapes[entry.shape as usize].shape;
        let team = entry.team;
        if shape.work != Work::Batch || shape.urgent || !shape.each.fits(free) {
            return None;
        }
        let (job, _) = self.queues.front(line)?;
        let class = self.queues.jobs[job as usize].class;
        let short = self.estimates.upper_bound_ms(class)? <= within_ms;
        let account = &self.queues.teams[team as usize];
        let allowed = account.used.plus(shape.each).fits(&account.allotment);
        (short && allowed).then(|| (self.team_rank(team), job))
    }
}
