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
const BURST: Duration = Duration::from_secs(2);

/// What is left of one team's rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Work that may still come at once; `None` before the first.
    left: Option<f64>,
    at: Duration,
}

impl Allowance {
    /// Counts a job that arrives at `now`; true when it is within the rate of
    /// `per_second` jobs.
    pub fn take(&mut self, per_second: f64, now: Duration) -> bool {
        let most = (per_second * BURST.as_secs_f64()).max(1.0);
        let gained = per_second * now.saturating_sub(self.at).as_secs_f64();
        let left = self.left.map_or(most, |left| (left + gained).min(most));
        self.at = self.at.max(now);
        let within = left >= 1.0;
        self.left = Some(if within { left - 1.0 } else { left });
        within
    }
}
