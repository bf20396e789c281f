//! Order in which waiting steps are offered free resources.
//!
//! When more work waits than fits, an order by deadline alone spends resources on
//! work that is late in any case, and an order by priority alone starves
//! low-priority work that could still meet its deadline. Steps are therefore
//! compared by these criteria, in this order:
//!
//! 1. Work that would finish after its expiry, `EXPIRY_FACTOR` times its latency
//!    objective, no longer has any value and goes last, whatever its queue.
//! 2. Work that its team submitted within its rate goes before work beyond it.
//! 3. Urgent queues go first. Urgent work is short: finishing it late takes few
//!    resources from other work, while not finishing it leaves its caller
//!    without a result.
//! 4. Work that can still finish in time goes before late work.
//! 5. Teams that exceed their share by less go first, in bands of utilization.
//!    Teams within their share count as equal.
//! 6. The earliest deadline goes first.
//!
//! Long-running work has no end that could be in time. Its users have no service
//! until it runs, so it is ranked with the urgent work that is in time and within
//! the rate, whatever its age.
//!
//! Invariant: the order is total and depends only on its input.

use std::time::Duration;

/// Multiple of the latency objective after which a late job has no value left.
const EXPIRY_FACTOR: u32 = 3;
/// Width of the utilization bands within which teams count as equally served.
const UTILIZATION_BAND_WIDTH: f64 = 0.05;

/// Inputs for the rank of a waiting step.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// Arrival time of the job.
    pub arrived_at: Duration,
    /// Latency objective of the job, counted from its arrival.
    pub objective: Duration,
    /// Expected time from the start of this step to the end of the job.
    pub remaining: Duration,
    /// Priority of the queue; zero is urgent.
    pub priority: u32,
    /// True when the step runs until it is stopped.
    pub long_running: bool,
    /// True when the job exceeded the submission rate of its team.
    pub beyond_rate: bool,
    /// Running work of the team divided by its share; above 1 when the team exceeds
    /// its share.
    pub share_utilization: f64,
}

/// Expected completion relative to the deadline and the expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    OnTime,
    Late,
    Expired,
}

/// Rank of a waiting step; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    expired: bool,
    beyond_rate: bool,
    deferrable: bool,
    timeliness: Timeliness,
    utilization_band: u32,
    deadline: Duration,
}

impl WaitingStep {
    /// Returns the rank at `now`.
    #[must_use]
    pub fn rank(&self, now: Duration) -> Rank {
        let deadline = self.arrived_at.saturating_add(self.objective);
        let expiry = self.objective.saturating_mul(EXPIRY_FACTOR);
        let expected_end = now.saturating_add(self.remaining);
        let timeliness = match () {
            () if self.long_running => Timeliness::OnTime,
            () if expected_end <= deadline => Timeliness::OnTime,
            () if expected_end <= self.arrived_at.saturating_add(expiry) => Timeliness::Late,
            () => Timeliness::Expired,
        };
        // Teams within their share are not ordered by utilization among themselves.
        let excess = (self.share_utilization - 1.0).max(0.0);
        Rank {
            expired: timeliness == Timeliness::Expired,
            beyond_rate: self.beyond_rate && !self.long_running,
            deferrable: self.priority > 0 && !self.long_running,
            timeliness,
            utilization_band: (excess / UTILIZATION_BAND_WIDTH) as u32,
            deadline,
        }
    }
}
