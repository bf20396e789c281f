//! The rate at which a team may hand work in.
//!
//! The pattern that this answers: one team sends several times its usual. An
//! order by deadline serves each of its jobs like those of the others, so
//! everybody is late. What a team sends beyond its rate is served after what
//! the others sent, and costs them nothing while there is room for all.
//!
//! Invariant: in any span, at most `BURST` at the rate and the rate times the
//! span are within the allowance.

use std::time::Duration;

/// Time at the rate that may come at once: above what a team's usual traffic
/// swings by within a second.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// What is left of one team's rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// Work that may still come at once; `None` before the first.
    tokens: Option<f64>,
    updated_at: Duration,
}

impl TokenBucket {
    /// Counts a job that arrives at `now`; true when it is within the rate of
    /// `per_second` jobs.
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
