//! Speculative copies: whether to start a second run of a task that is late.
//!
//! Load: a few percent of the tasks take several times as long as others of their image,
//! some backend servers are slow, stall all that they run, or are cut off from the owner.
//! Steps that permit copies are short against the time after which a silent server's
//! leases have expired, so a job of many tasks misses its objective because of one.
//!
//! A copy is worth its capacity if the running attempt will make the job miss its
//! objective, and a fresh run started now would not. The remaining time of the attempt is
//! extrapolated from the part of the work that its server reports as done. A task may be
//! slow for a cause of its own, and its copy is then as slow; so its rate of progress counts
//! against the server only as far as other tasks are slow there too. Copies for images
//! whose copies never win cease.
//!
//! Invariant: no copy is proposed while other steps wait for room, or for an attempt that
//! is expected to end before a fresh run would.

use std::collections::HashMap;
use std::time::Duration;

/// Share of a service's capacity that must be free for a copy to start.
const MIN_FREE: f64 = 0.1;
/// Share of free capacity from which capacity counts as idle: a copy may then also start
/// to end a task sooner that changes no job's value.
const IDLE: f64 = 0.3;
/// Expected saving that a copy must have, relative to its own run time, while capacity is
/// idle and while only `MIN_FREE` is left.
const PRICE: (f64, f64) = (0.25, 1.0);
/// Part of the expected run time after which a reported percentage says how fast a run
/// is. Reports are in whole percent, and a run needs some time to begin.
const MEANINGFUL_PART: f64 = 0.25;
/// Part of the expected run time after which the progress of a run is asked for that was
/// not reported yet: early enough that a fresh run still meets an objective of twice the
/// run time.
const ASK_PART: f64 = 0.3;
/// Shortest time without progress from which a run counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(400);
/// Spreads above the mean run time from which a run without a report is overdue.
const OVERDUE_SPREADS: f64 = 3.0;
/// Least ratio of the remaining time to that of a fresh run, with a learned and with a
/// declared run time, which is off by up to 90%.
const MIN_RATIO: (f64, f64) = (1.2, 2.0);
/// Longest remaining time that is extrapolated, as a multiple of the expected run time.
const MAX_REMAINING: f64 = 10.0;
/// Chance that the copy of a run on a silent server ends first. The rest are servers that
/// were only slow to answer.
const WIN_RATE_IF_SILENT: f64 = 0.9;
/// Factor on the estimated end of a run before it is compared with the objective, as the
/// estimate may be too low.
const END_MARGIN: f64 = 1.1;
/// Factor on the run time of a copy before it is compared with the objective: the learned
/// mean includes the runs that copies are made of.
const COPY_MARGIN: f64 = 0.8;
/// A job has no value after this many times its objective.
const WORTHLESS_AFTER: u32 = 3;

/// Number of images whose outcomes are kept.
const MAX_IMAGES: usize = 256;
/// Weight that each outcome loses with the next.
const DECAY: f64 = 0.9;
/// Copies that the outcomes of all images count as for each one. With more, an image whose
/// copies never win would stay above `MIN_WIN_RATE` where those of others always do.
const PRIOR_COPIES: f64 = 1.0;
/// Assumed before the first outcome.
const FIRST_WIN_RATE: f64 = 0.5;
/// Rate of copies that win below which an image gets none.
const MIN_WIN_RATE: f64 = 0.1;
/// Time after the last outcome from which an image without wins gets a copy again.
const RETRY_AFTER: Duration = Duration::from_secs(30);

/// Whether the backend server of a run answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It answers its calls.
    Answers,
    /// It does not. Without a copy, the task starts again once its leases have expired.
    Silent {
        /// Time until then.
        lease_left: Duration,
    },
}

/// Progress of a run as last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Part of the work that was done.
    pub percent: u8,
    /// Time from the start of the run to the report.
    pub at: Duration,
    /// Time up to the report for which the percentage had not grown.
    pub standing: Duration,
}

/// A run in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Time since it was ordered to start.
    pub elapsed: Duration,
    /// Its last report, if any.
    pub report: Option<Report>,
    /// Whether its backend server answers.
    pub contact: Contact,
    /// Run time of tasks on its backend server relative to the mean of their image.
    pub slowness: f64,
}

impl Run {
    /// Time that the whole task would take on a backend server of usual speed, as far as
    /// its progress tells.
    fn own_time(&self) -> Duration {
        let progress = self.report.filter(|report| report.percent > 0);
        let whole = progress.map_or(Duration::ZERO, |report| {
            scaled(report.at, 100.0 / f64::from(report.percent))
        });
        scaled(whole, 1.0 / self.slowness.max(1.0))
    }
}

/// Run times of the image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Expected run time.
    pub mean: Duration,
    /// Mean deviation from it; `None` if `mean` is only declared by the caller.
    pub spread: Option<Duration>,
    /// Time until a copy may start: that of a query for a ticket, if one is needed.
    pub before_start: Duration,
}

impl Times {
    /// Time until a copy that is decided now would end.
    fn fresh(&self) -> Duration {
        self.mean.saturating_add(self.before_start)
    }
}

/// What the job may lose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stakes {
    /// Time from the arrival of the job to its objective.
    pub objective: Duration,
    /// Time until the task must end for the job to meet it; zero if that has passed.
    pub left: Duration,
    /// Time since then, if it has passed.
    pub overdue: Duration,
}

impl Stakes {
    /// Value of the job if the task ends after `time`: 2 within the objective, 1 as long
    /// as a late job has value, 0 after that.
    fn value_after(&self, time: Duration) -> u8 {
        let worthless = self.objective.saturating_mul(WORTHLESS_AFTER - 1);
        match time.saturating_add(self.overdue) {
            late if late <= self.left => 2,
            late if late <= self.left.saturating_add(worthless) => 1,
            _ => 0,
        }
    }
}

/// Capacity of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Free share of the resource that is scarcest for the step, 0 to 1.
    pub free: f64,
    /// True when other steps wait for room.
    pub contended: bool,
}

/// Why a run is expected to end late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its server is silent.
    Silent,
    /// Its progress does not grow.
    Stalled,
    /// Its progress grows slowly.
    Slow,
    /// It has taken longer than others of its image, and no progress is reported.
    Overdue,
}

impl Cause {
    /// Text of the cause for log events.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Stalled => "stalled",
            Self::Slow => "slow",
            Self::Overdue => "overdue",
        }
    }

    /// True when the outcome of the copy says whether copies help tasks of the image.
    #[must_use]
    pub const fn is_of_run(self) -> bool {
        !matches!(self, Self::Silent)
    }
}

/// Why no copy starts now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// Nothing shows that the run is late.
    OnTime,
    /// Other steps wait for room, or little is left.
    Contended,
    /// A fresh run would hardly end sooner.
    NotSooner,
    /// The copy would not change the value of the job.
    NoValue,
    /// Copies of the image do not win.
    NeverWins,
}

/// A copy that should start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// Why the run is late.
    pub cause: Cause,
    /// Expected time until the run ends, or its task could start again without copies.
    pub remaining: Duration,
}

/// Whether a copy of a run should start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It should.
    Copy(Copy),
    /// It should not yet.
    Wait(Hold),
}

fn scaled(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

/// Expected remaining time of a run that seems late, with the cause.
fn remaining(run: &Run, times: &Times) -> Option<Copy> {
    let meaningful = scaled(times.mean, MEANINGFUL_PART);
    let report = run.report.filter(|report| report.at >= meaningful);
    let since = |report: &Report| run.elapsed.saturating_sub(report.at);
    let (cause, remaining) = match (run.contact, report) {
        (Contact::Silent { lease_left }, _) => {
            (Cause::Silent, lease_left.saturating_add(times.mean))
        }
        (_, Some(report)) if report.percent >= 100 => return None,
        (_, Some(report)) if report.standing >= MIN_STALL.max(times.mean / 2) => {
            let undone = f64::from(100 - report.percent) / 100.0;
            // A stall is expected to last for as long again as it has lasted.
            let left = report.standing.saturating_sub(since(&report));
            (Cause::Stalled, left + scaled(times.mean, undone))
        }
        (_, Some(report)) => {
            let done = f64::from(report.percent).max(0.5);
            let left = scaled(report.at, (100.0 - done) / done);
            let most = scaled(times.mean.max(report.at), MAX_REMAINING);
            (Cause::Slow, left.min(most).saturating_sub(since(&report)))
        }
        (_, None) => {
            let bound = times.mean + scaled(times.spread?, OVERDUE_SPREADS);
            if run.elapsed <= bound {
                return None;
            }
            (Cause::Overdue, run.elapsed)
        }
    };
    Some(Copy { cause, remaining })
}

/// Decides whether a copy of a run should start now. `win_rate` is that of the copies of
/// its image; see [`Outcomes::win_rate`].
#[must_use]
pub fn decide(
    run: &Run,
    times: &Times,
    stakes: &Stakes,
    load: &Load,
    win_rate: Option<f64>,
) -> Decision {
    let Some(copy) = remaining(run, times) else {
        return Decision::Wait(Hold::OnTime);
    };
    let win_rate = match (copy.cause, win_rate) {
        (Cause::Silent, _) => WIN_RATE_IF_SILENT,
        (_, Some(rate)) => rate,
        (_, None) => return Decision::Wait(Hold::NeverWins),
    };
    // A run that stands still shows no rate.
    let fresh = match copy.cause {
        Cause::Slow => times.fresh().max(run.own_time() + times.before_start),
        Cause::Silent | Cause::Stalled | Cause::Overdue => times.fresh(),
    };
    let ratio = match times.spread {
        Some(_) => MIN_RATIO.0,
        None => MIN_RATIO.1,
    };
    let scarcity = ((IDLE - load.free) / (IDLE - MIN_FREE)).clamp(0.0, 1.0);
    let price = PRICE.0 + scarcity * (PRICE.1 - PRICE.0);
    let saved = copy.remaining.saturating_sub(fresh);
    let without = stakes.value_after(scaled(copy.remaining, END_MARGIN));
    let with = stakes.value_after(scaled(fresh, COPY_MARGIN));
    match () {
        () if load.contended || load.free < MIN_FREE => Decision::Wait(Hold::Contended),
        () if copy.remaining < scaled(fresh, ratio) => Decision::Wait(Hold::NotSooner),
        () if scaled(saved, win_rate) < scaled(times.mean, price) => {
            Decision::Wait(Hold::NotSooner)
        }
        () if with > without => Decision::Copy(copy),
        // Late in both cases: the estimates are rough, and idle capacity costs nothing.
        () if with == 1 && load.free >= IDLE => Decision::Copy(copy),
        () => Decision::Wait(Hold::NoValue),
    }
}

/// True when the progress of a run should be asked for: it was not reported yet although
/// enough of the expected run time has passed, or the last report is old and the run is
/// longer than expected.
#[must_use]
pub fn is_report_due(run: &Run, times: &Times) -> bool {
    let meaningful = scaled(times.mean, MEANINGFUL_PART);
    let first = scaled(times.mean, ASK_PART);
    match (run.contact, run.report) {
        (Contact::Silent { .. }, _) => false,
        (_, Some(report)) if report.at >= meaningful => {
            let age = run.elapsed.saturating_sub(report.at);
            run.elapsed > times.mean && age >= (times.mean / 2).max(MIN_STALL)
        }
        _ => run.elapsed >= first,
    }
}

/// Outcomes of the copies of one image, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    wins: f64,
    copies: f64,
    last_at: Duration,
    /// True from when copies of the image have practically never won until one does.
    ceased: bool,
}

impl Tally {
    fn record(&mut self, won: bool, now: Duration) {
        self.wins = self.wins * DECAY + f64::from(u8::from(won));
        self.copies = self.copies * DECAY + 1.0;
        self.last_at = now;
    }

    /// Rate of wins, given the rate that is assumed for `PRIOR_COPIES` copies.
    fn rate(&self, prior: f64) -> f64 {
        (self.wins + prior * PRIOR_COPIES) / (self.copies + PRIOR_COPIES)
    }
}

/// Whether copies end before the runs that they copy, by image class.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    images: HashMap<u32, Tally>,
    all: Tally,
}

impl Outcomes {
    /// Records which of the two runs of a task of an image ended first. Returns true if
    /// the image gets no copies from now on, and got some before.
    pub fn record(&mut self, image: u32, won: bool, now: Duration) -> bool {
        if self.images.len() >= MAX_IMAGES && !self.images.contains_key(&image) {
            let oldest = self.images.iter().min_by_key(|(id, t)| (t.last_at, **id));
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.images.remove(&oldest);
            }
        }
        self.all.record(won, now);
        let prior = self.all.rate(FIRST_WIN_RATE);
        let tally = self.images.entry(image).or_default();
        tally.record(won, now);
        let before = tally.ceased;
        tally.ceased = !won && (before || tally.rate(prior) < MIN_WIN_RATE);
        tally.ceased && !before
    }

    /// Expected share of the copies of an image that end first; `None` if they practically
    /// never do. An image whose copies never won gets another one after a while.
    #[must_use]
    pub fn win_rate(&self, image: u32, now: Duration) -> Option<f64> {
        let all = self.all.rate(FIRST_WIN_RATE);
        let (rate, ceased, last_at) = match self.images.get(&image) {
            Some(tally) => (tally.rate(all), tally.ceased, tally.last_at),
            None => (all, all < MIN_WIN_RATE, self.all.last_at),
        };
        match ceased {
            false => Some(rate),
            true => (now >= last_at + RETRY_AFTER).then_some(rate.max(MIN_WIN_RATE)),
        }
    }

    /// Number of images whose outcomes are kept.
    #[must_use]
    pub fn images(&self) -> usize {
        self.images.len()
    }
}
