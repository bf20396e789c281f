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
const INITIAL_QUARANTINE_MS: u64 = 5_000;
/// Longest time for which a worker is held back, in ms.
const MAX_QUARANTINE_MS: u64 = 300_000;

/// Failure record of one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u8,
    failed_jobs: [Option<JobRef>; DISTINCT_JOB_FAILURES],
    quarantine_count: u32,
    quarantined_until_ms: u64,
    probation: bool,
}

impl Health {
    /// True when the worker may be offered work while it runs `running` tasks.
    #[must_use]
    pub fn accepts_tasks(&self, now_ms: u64, running: usize) -> bool {
        match self.probation {
            true => now_ms >= self.quarantined_until_ms && running == 0,
            false => true,
        }
    }

    /// Time until which the worker is held back, when it is on probation.
    pub(crate) fn quarantined_until_ms(&self) -> Option<u64> {
        self.probation.then_some(self.quarantined_until_ms)
    }

    /// Records a completion.
    pub fn record_completion(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; true when the worker is held back by it.
    pub fn record_failure(&mut self, job: JobRef, now_ms: u64) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if !self.failed_jobs.contains(&Some(job)) {
            let free = self.failed_jobs.iter_mut().find(|j| j.is_none());
            free.into_iter().for_each(|slot| *slot = Some(job));
        }
        let distinct = self.failed_jobs.iter().flatten().count();
        if !self.probation
            && distinct < DISTINCT_JOB_FAILURES
            && self.consecutive_failures < SAME_JOB_FAILURES
        {
            return false;
        }
        let quarantine_ms =
            INITIAL_QUARANTINE_MS.saturating_mul(1 << self.quarantine_count.min(16));
        self.quarantined_until_ms = now_ms + quarantine_ms.min(MAX_QUARANTINE_MS);
        self.quarantine_count += 1;
        self.probation = true;
        true
    }

    /// Drops failures that a broken job alone caused; true when that freed
    /// the worker.
    pub(crate) fn clear_failures_of(&mut self, job: JobRef) -> bool {
        let only_this_job =
            self.failed_jobs.iter().flatten().all(|j| *j == job) && self.consecutive_failures > 0;
        if only_this_job {
            *self = Self::default();
        }
        only_this_job
    }
}
