//! Quarantine of workers on which tasks fail repeatedly.
//!
//! A worker is quarantined after failures of several distinct jobs, or many
//! failures of one job, without a completion in between. It then returns on
//! probation and runs one task at a time until a task completes. Each further
//! failure doubles the quarantine, up to a maximum.
//!
//! Invariant: the failures of a job count against a worker only until the job
//! itself is found to be broken.

use crate::queue::JobRef;

/// Consecutive failures of one job that quarantine a worker.
const SAME_JOB_FAILURES: u8 = 5;
/// Distinct jobs failing in succession that quarantine a worker.
const DISTINCT_JOB_FAILURES: usize = 2;
/// Duration of the first quarantine in ms.
const INITIAL_QUARANTINE_MS: u64 = 5_000;
/// Longest quarantine in ms.
const MAX_QUARANTINE_MS: u64 = 300_000;

/// Failure record of one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u8,
    failed_jobs: [Option<JobRef>; DISTINCT_JOB_FAILURES],
    /// Quarantines since the last completion; each doubles the next one.
    quarantine_count: u32,
    quarantined_until_ms: u64,
    /// True from the start of a quarantine until a task completes.
    probation: bool,
}

impl Health {
    /// Returns true if the worker accepts a task while it runs `running` tasks.
    #[must_use]
    pub fn accepts_tasks(&self, now_ms: u64, running: usize) -> bool {
        match self.probation {
            true => now_ms >= self.quarantined_until_ms && running == 0,
            false => true,
        }
    }

    /// End of the quarantine, if the worker is on probation.
    pub(crate) fn quarantined_until_ms(&self) -> Option<u64> {
        self.probation.then_some(self.quarantined_until_ms)
    }

    /// Records a completion, which ends quarantine and probation.
    pub fn record_completion(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. Returns true if it quarantines the worker.
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

    /// Resets the record, and so ends a quarantine, if `job` caused all of its
    /// failures. Returns true if the record was reset.
    pub(crate) fn clear_failures_of(&mut self, job: JobRef) -> bool {
        let only_this_job =
            self.failed_jobs.iter().flatten().all(|j| *j == job) && self.consecutive_failures > 0;
        if only_this_job {
            *self = Self::default();
        }
        only_this_job
    }
}
