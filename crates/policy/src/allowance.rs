//! Token bucket for the rate at which one team submits jobs.
//!
//! When one team sends several times its usual load, an order by deadline alone
//! serves its jobs on equal terms with those of the other teams, and every team
//! misses its deadlines. Jobs above the team's rate are therefore ranked after
//! the jobs of other teams, which costs nothing while there is room for all.
//!
//! Invariant: within any time span, at most the bucket's capacity plus the rate
//! times the span is admitted. The capacity is the rate times `BURST_WINDOW`.

use std::time::Duration;

/// Length of a burst at the full rate. It exceeds the variation of a team's
/// usual traffic within one second.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// Token bucket of one team.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// Jobs that may still arrive at once; `None` before the first job.
    tokens: Option<f64>,
    /// Time of the latest job, up to which `tokens` is refilled.
    updated_at: Duration,
}

impl TokenBucket {
    /// Takes a token for a job that arrives at `now`. Returns true if the job is
    /// within the rate of `per_second` jobs.
    pub fn try_acquire(&mut self, per_second: f64, now: Duration) -> bool {
        let capacity = (per_second * BURST_WINDOW.as_secs_f64()).max(1.0);
        let refilled = per_second * now.saturating_sub(self.updated_at).as_secs_f64();
        let tokens = self
            .tokens
            .map_or(capacity, |tokens| (tokens + refilled).min(capacity));
        self.updated_at = self.updated_at.max(now);
        let admitted = tokens >= 1.0;
        self.tokens = Some(if admitted { tokens - 1.0 } else { tokens });
        admitted
    }
}
