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
const WORTHLESS_AFTER: u32 = 3;
/// Width of the bands in which teams count as equally served.
const SHARE_BAND: f64 = 0.05;

/// What is known of a waiting step.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// When its job arrived.
    pub since: Duration,
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
    pub use_of_share: f64,
}

/// What the job can still be worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Worth {
    InTime,
    Late,
    Nothing,
}

/// Rank of a waiting step; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    worthless: bool,
    beyond_rate: bool,
    deferrable: bool,
    worth: Worth,
    band: u32,
    deadline: Duration,
}

impl Waiting {
    /// Its rank at `now`.
    #[must_use]
    pub fn rank(&self, now: Duration) -> Rank {
        let deadline = self.since + self.objective;
        let end = now + self.remaining;
        let worth = match () {
            () if self.long_running => Worth::InTime,
            () if end <= deadline => Worth::InTime,
            () if end <= self.since + self.objective * WORTHLESS_AFTER => Worth::Late,
            () => Worth::Nothing,
        };
        // Below its entitlement a team is not held back for having more than
        // another one.
        let over = (self.use_of_share - 1.0).max(0.0);
        Rank {
            worthless: worth == Worth::Nothing,
            beyond_rate: self.beyond_rate && !self.long_running,
            deferrable: self.priority > 0 && !self.long_running,
            worth,
            band: (over / SHARE_BAND) as u32,
            deadline,
        }
    }
}
