//! Order in which waiting steps are offered room.
//!
//! The pattern that this answers: when more work waits than fits, an order by
//! deadline alone spends the room on work that is late anyway, and an order by
//! priority alone starves what ranks low although it would still be in time.
//! So work that its team sent within its rate goes before work beyond it; then
//! urgent queues go first, and within them and the others, work that can
//! still be in time, then work that is worth something late; then teams that
//! have less than their share, and the nearest deadline. Work that is worth
//! nothing any more goes last, whatever its queue.
//!
//! Urgent work is short: finishing it late takes little room from the rest,
//! and not finishing it strands its caller.
//!
//! Long-running work has no end to be in time for. Its users are without it
//! until it runs, so it goes with the urgent work, whatever its age.
//!
//! Invariant: the order is total, and does not depend on anything but its
//! input.

use std::time::Duration;

/// Multiple of the objective after which a late job is worth nothing.
const EXPIRY_FACTOR: u32 = 3;
/// Width of the bands in which teams count as equally served.
const USAGE_BAND_WIDTH: f64 = 0.05;

/// What is known of a waiting step.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// When its job arrived.
    pub arrived_at: Duration,
    /// Time from its arrival to its latency objective.
    pub objective: Duration,
    /// Expected time from the start of this step to the end of the job.
    pub remaining: Duration,
    /// Zero is urgent.
    pub priority: u32,
    /// It runs until it is stopped.
    pub long_running: bool,
    /// Its team sent it beyond its rate.
    pub beyond_rate: bool,
    /// What its team has running relative to what it is entitled to.
    pub share_utilization: f64,
}

/// What the job can still be worth.
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
    usage_band: u32,
    deadline: Duration,
}

impl WaitingStep {
    /// Its rank at `now`.
    #[must_use]
    pub fn rank(&self, now: Duration) -> Rank {
        let deadline = self.arrived_at + self.objective;
        let expected_end = now + self.remaining;
        let timeliness = match () {
            () if self.long_running => Timeliness::OnTime,
            () if expected_end <= deadline => Timeliness::OnTime,
            () if expected_end <= self.arrived_at + self.objective * EXPIRY_FACTOR => {
                Timeliness::Late
            }
            () => Timeliness::Expired,
        };
        // Below its entitlement a team is not held back for having more than
        // another one.
        let excess = (self.share_utilization - 1.0).max(0.0);
        Rank {
            expired: timeliness == Timeliness::Expired,
            beyond_rate: self.beyond_rate && !self.long_running,
            deferrable: self.priority > 0 && !self.long_running,
            timeliness,
            usage_band: (excess / USAGE_BAND_WIDTH) as u32,
            deadline,
        }
    }
}
