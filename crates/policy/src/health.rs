//! Quarantine of workers on which tasks fail repeatedly.
//!
//! A worker is quarantined after failures of several distinct jobs, or many
//! failures of one job, without a completion in between. It then returns on
//! probation and takes one probe at a time until a task completes. Each probe that
//! fails doubles the quarantine, up to a maximum. What ran on the worker before
//! the quarantine neither counts as a probe nor holds up the next one.
//!
//! The doubling spares tasks that other workers may run. It says nothing of whether the
//! worker is still failing, so tasks that no other worker can take are probes from the end
//! of the first period on.
//!
//! Invariant: the failures of a job count against a worker only until the job
//! itself is found to be broken.

use crate::queue::JobRef;

/// Consecutive failures of one job that quarantine a worker.
const SAME_JOB_FAILURES: u32 = 5;
/// Distinct jobs failing in succession that quarantine a worker.
const DISTINCT_JOB_FAILURES: usize = 2;
/// Number of jobs of which a worker's record keeps failures.
const MAX_RECORDED_JOBS: usize = 16;
/// Duration of the first quarantine in ms, and of the part of each later one in which the
/// worker takes no task at all.
const INITIAL_QUARANTINE_MS: u64 = 5_000;
/// Longest quarantine in ms.
const MAX_QUARANTINE_MS: u64 = 300_000;
/// Time in ms after which a probe that has not ended does not hold up the next one:
/// it may be a task that never ends.
const PROBE_MS: u64 = 2_000;

/// Time in ms after which a probe that never ends shows that a worker is sound: a worker that
/// fails all that it starts does so sooner.
const LASTING_PROBE_MS: u64 = 1_000;

/// Age of a completion in ms up to which it shows that a worker is sound.
const SOUND_MS: u64 = 30_000;

/// Failures of one job on a worker.
#[derive(Clone, Copy, Debug)]
struct JobFailures {
    job: JobRef,
    count: u32,
}

/// A quarantine and the probation that follows it.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// Probes that failed before it.
    failed_probes: u32,
    /// From when on the worker takes tasks that no other worker can take.
    last_resort_from_ms: u64,
    until_ms: u64,
}

impl Quarantine {
    fn new(failed_probes: u32, now_ms: u64) -> Self {
        let duration_ms = INITIAL_QUARANTINE_MS.saturating_mul(1 << failed_probes.min(16));
        Self {
            failed_probes,
            last_resort_from_ms: now_ms + INITIAL_QUARANTINE_MS,
            until_ms: now_ms + duration_ms.min(MAX_QUARANTINE_MS),
        }
    }
}

/// Failure record of one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Failures since the last completion.
    failures: Vec<JobFailures>,
    /// When an attempt first failed since the last completion, whatever the failure is
    /// attributed to.
    suspected_since_ms: Option<u64>,
    last_completion_ms: Option<u64>,
    /// Set from the start of a quarantine until a task completes.
    quarantine: Option<Quarantine>,
}

impl Health {
    /// Returns true if the worker accepts a task that no other worker can take.
    /// `last_start_ms` is when the last attempt was started there.
    #[must_use]
    pub fn accepts_tasks(&self, now_ms: u64, last_start_ms: Option<u64>) -> bool {
        self.accepts_last_resort_at_ms(last_start_ms)
            .is_none_or(|at| now_ms >= at)
    }

    /// Returns true during a quarantine, also while the worker accepts tasks that no other
    /// worker can take.
    #[must_use]
    pub fn is_last_resort(&self, now_ms: u64) -> bool {
        self.quarantine
            .is_some_and(|quarantine| now_ms < quarantine.until_ms)
    }

    /// Returns true from the start of a quarantine until a task completes. The worker
    /// takes one task at a time then, if any.
    #[must_use]
    pub fn is_on_probation(&self) -> bool {
        self.quarantine.is_some()
    }

    /// When a worker on probation next accepts a task unless an attempt ends before:
    /// after its quarantine, or when its probe no longer holds up the next one.
    pub(crate) fn accepts_at_ms(&self, last_start_ms: Option<u64>) -> Option<u64> {
        let at_ms = self.accepts_last_resort_at_ms(last_start_ms)?;
        Some(at_ms.max(self.quarantine?.until_ms))
    }

    /// The same for a task that no other worker can take.
    pub(crate) fn accepts_last_resort_at_ms(&self, last_start_ms: Option<u64>) -> Option<u64> {
        let from_ms = self.quarantine?.last_resort_from_ms;
        let probe = last_start_ms.filter(|started_ms| *started_ms >= from_ms);
        Some(probe.map_or(from_ms, |started_ms| started_ms + PROBE_MS))
    }

    /// Records that a probe which lasts has run since `started_ms`. If that is long enough
    /// to show that the worker is sound, quarantine and probation end.
    pub fn observe_lasting(&mut self, started_ms: u64, now_ms: u64) {
        let is_probe = |q: &Quarantine| started_ms >= q.last_resort_from_ms;
        let is_sound = now_ms >= started_ms + LASTING_PROBE_MS;
        if is_sound && self.quarantine.as_ref().is_some_and(is_probe) {
            self.record_completion(now_ms);
        }
    }

    /// Records a completion, which ends quarantine and probation.
    pub fn record_completion(&mut self, now_ms: u64) {
        *self = Self {
            last_completion_ms: Some(now_ms),
            ..Self::default()
        };
    }

    /// Notes that an attempt has failed, whatever the failure is attributed to.
    pub fn suspect(&mut self, now_ms: u64) {
        self.suspected_since_ms.get_or_insert(now_ms);
    }

    /// Returns true if attempts have failed since the last completion.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.suspected_since_ms.is_some()
    }

    /// Returns true if nothing had failed since the last completion when an attempt was
    /// started.
    #[must_use]
    pub fn was_unsuspected(&self, started_ms: u64) -> bool {
        self.suspected_since_ms.is_none_or(|at| started_ms <= at)
    }

    /// Returns true if an attempt has completed lately and none has failed since.
    #[must_use]
    pub fn is_sound(&self, now_ms: u64) -> bool {
        let completed_ms = self.last_completion_ms.filter(|_| !self.is_suspected());
        completed_ms.is_some_and(|at| now_ms < at + SOUND_MS)
    }

    /// Records the failure of an attempt that was started at `started_ms`. Returns true
    /// if it quarantines the worker.
    pub fn record_failure(&mut self, job: JobRef, started_ms: u64, now_ms: u64) -> bool {
        match self.failures.iter().position(|known| known.job == job) {
            Some(at) => self.failures[at].count += 1,
            None if self.failures.len() < MAX_RECORDED_JOBS => {
                self.failures.push(JobFailures { job, count: 1 });
            }
            None => {}
        }
        let failed_probes = match self.quarantine {
            // The attempt is not a probe, and the record counted without it.
            Some(quarantine) if started_ms < quarantine.last_resort_from_ms => return false,
            Some(quarantine) => quarantine.failed_probes + 1,
            None if !self.is_failing() => return false,
            None => 0,
        };
        self.quarantine = Some(Quarantine::new(failed_probes, now_ms));
        true
    }

    /// True if the recorded failures speak against the worker.
    fn is_failing(&self) -> bool {
        let mut failures = self.failures.iter();
        self.failures.len() >= DISTINCT_JOB_FAILURES
            || failures.any(|known| known.count >= SAME_JOB_FAILURES)
    }

    /// Drops the failures of a job that is found to be broken. Returns true if that ends
    /// a quarantine: the remaining failures would not have caused it.
    pub fn clear_failures_of(&mut self, job: JobRef) -> bool {
        self.failures.retain(|known| known.job != job);
        let ends = self.is_on_probation() && !self.is_failing();
        if ends {
            self.quarantine = None;
        }
        ends
    }
}
