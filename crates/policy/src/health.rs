//! Holds back workers on which everything fails, and retries them gently.
//!
//! A worker is held back after failures of several distinct jobs, or many of
//! one job, with no completion between. It returns on probation with one task
//! at a time until a task completes.
//!
//! Invariant: a job's failures count against a worker only until that job is
//! itself found to be broken.

use crate::queue::JobRef;

/// Failures in a row of one job that hold a worker back.
const SAME_JOB_FAILURES: u8 = 5;
/// Distinct failing jobs in a row that hold a worker back.
const DISTINCT_JOB_FAILURES: usize = 2;
/// First time for which a worker is held back, in ms.
const FIRST_HOLD_MS: u64 = 5_000;
/// Longest time for which a worker is held back, in ms.
const MAX_HOLD_MS: u64 = 300_000;

/// Failure record of one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    streak: u8,
    jobs: [Option<JobRef>; DISTINCT_JOB_FAILURES],
    holds: u32,
    held_until_ms: u64,
    probation: bool,
}

impl Health {
    /// True when the worker may be offered work while it runs `running` tasks.
    #[must_use]
    pub fn takes_work(&self, now_ms: u64, running: usize) -> bool {
        match self.probation {
            true => now_ms >= self.held_until_ms && running == 0,
            false => true,
        }
    }

    /// Time until which the worker is held back, when it is on probation.
    pub(crate) fn held_until_ms(&self) -> Option<u64> {
        self.probation.then_some(self.held_until_ms)
    }

    /// Records a completion.
    pub fn completed(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; true when the worker is held back by it.
    pub fn failed(&mut self, job: JobRef, now_ms: u64) -> bool {
        self.streak = self.streak.saturating_add(1);
        if !self.jobs.contains(&Some(job)) {
            let free = self.jobs.iter_mut().find(|j| j.is_none());
            free.into_iter().for_each(|slot| *slot = Some(job));
        }
        let distinct = self.jobs.iter().flatten().count();
        if !self.probation && distinct < DISTINCT_JOB_FAILURES && self.streak < SAME_JOB_FAILURES {
            return false;
        }
        let hold = FIRST_HOLD_MS.saturating_mul(1 << self.holds.min(16));
        self.held_until_ms = now_ms + hold.min(MAX_HOLD_MS);
        self.holds += 1;
        self.probation = true;
        true
    }

    /// Drops failures that a broken job alone caused; true when that freed
    /// the worker.
    pub(crate) fn forgive(&mut self, job: JobRef) -> bool {
        let only = self.jobs.iter().flatten().all(|j| *j == job) && self.streak > 0;
        if only {
            *self = Self::default();
        }
        only
    }
}
