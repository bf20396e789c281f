//! Throttling of best-effort tasks in favour of latency-sensitive tasks on the
//! same backend server.
//!
//! A long-running task with a latency target is latency-sensitive. Best-effort
//! tasks are paused when its tail latency nears the target, and sped up in
//! steps after it has recovered.
//!
//! Invariant: a best-effort task is slowed down only while a latency-sensitive
//! task on the same backend server is close to or above its target, and its
//! pace is restored after that task has recovered.

use std::time::Duration;

use crate::event::{Order, OrderError, OrderResponse};
use crate::fleet::ServerIx;
use crate::ledger::{RunRef, RunState};
use crate::notice::Notice;
use crate::owner::{Cx, Owner, SentOrder};

/// Ratio of tail latency to target from which best-effort tasks are paused.
const PAUSE_RATIO: f64 = 0.85;
/// Ratio of tail latency to target below which they may speed up.
const RESUME_RATIO: f64 = 0.55;
/// Time that the ratio has to stay below `RESUME_RATIO` before they speed up.
const RESUME_DELAY: Duration = Duration::from_millis(2_000);
/// Increase of the pace per adjustment, in percentage points.
const PACE_STEP_PERCENT: u8 = 20;
/// Pace of an unthrottled run, in percent.
const FULL_PACE_PERCENT: u8 = 100;

/// Marks the pace of a run as unknown, so that the next pause or speed-up sends an
/// order. This value is never sent.
pub(crate) const UNKNOWN_PACE: u8 = u8::MAX;

/// Adjustment of the best-effort tasks on one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Adjustment {
    Pause,
    Keep,
    SpeedUp,
}

impl Owner {
    /// Adjusts the pace of the best-effort tasks on a backend server to the last
    /// reported tail latencies of the latency-sensitive tasks there.
    pub(crate) fn adjust_paces(&mut self, ix: ServerIx, cx: &mut Cx<'_>) {
        let runs: Vec<RunRef> = self.fleet.get(ix).runs.iter().copied().collect();
        let is_best_effort = |run: &RunRef| {
            self.ledger
                .spec(run.task.step)
                .is_some_and(|s| s.best_effort_cpu)
        };
        let best_effort: Vec<RunRef> = runs.iter().copied().filter(is_best_effort).collect();
        if best_effort.is_empty() {
            return;
        }
        let mut adjustment = Adjustment::SpeedUp;
        let mut worst = (0, 0);
        for run in runs {
            let (needed, tail, target) = self.assess_run(run, cx.now());
            adjustment = match (adjustment, needed) {
                (Adjustment::Pause, _) | (_, Adjustment::Pause) => Adjustment::Pause,
                (Adjustment::Keep, _) | (_, Adjustment::Keep) => Adjustment::Keep,
                (Adjustment::SpeedUp, Adjustment::SpeedUp) => Adjustment::SpeedUp,
            };
            if tail * worst.1.max(1) >= worst.0 * target.max(1) && target > 0 {
                worst = (tail, target);
            }
        }
        for run in best_effort {
            self.apply_adjustment(run, adjustment, worst, cx);
        }
    }

    /// Adjustment that one run requires, with its tail latency and target in ms.
    /// A run that is not latency-sensitive permits a speed-up, with zeros.
    fn assess_run(&mut self, run: RunRef, now: Duration) -> (Adjustment, u64, u64) {
        let spec = self.ledger.spec(run.task.step);
        let target = spec
            .filter(|s| s.long_running)
            .and_then(|s| s.latency_target);
        let (Some(target), Some(placed)) = (target, self.ledger.runs.get_mut(&run)) else {
            return (Adjustment::SpeedUp, 0, 0);
        };
        let target = target.as_millis() as u64;
        let tail = placed.gauge;
        let ratio = tail as f64 / target.max(1) as f64;
        if ratio >= RESUME_RATIO {
            placed.last_high_latency_at = Some(now);
        }
        let recovered = placed
            .last_high_latency_at
            .is_none_or(|at| now >= at + RESUME_DELAY);
        let adjustment = match ratio {
            r if r >= PAUSE_RATIO => Adjustment::Pause,
            _ if recovered => Adjustment::SpeedUp,
            _ => Adjustment::Keep,
        };
        (adjustment, tail, target)
    }

    /// Marks the pace as unknown if the order may not have been carried out, so
    /// that the next pause or speed-up sends an order again.
    pub(crate) fn pace_answered(
        &mut self,
        run: RunRef,
        result: &Result<OrderResponse, OrderError>,
    ) {
        let done = matches!(result, Ok(OrderResponse::Done(_)));
        if let Some(placed) = self.ledger.runs.get_mut(&run).filter(|_| !done) {
            placed.pace = UNKNOWN_PACE;
        }
    }

    fn apply_adjustment(
        &mut self,
        run: RunRef,
        adjustment: Adjustment,
        worst: (u64, u64),
        cx: &mut Cx<'_>,
    ) {
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        let percent = match adjustment {
            Adjustment::Pause => 0,
            Adjustment::Keep => placed.pace,
            Adjustment::SpeedUp => placed
                .pace
                .saturating_add(PACE_STEP_PERCENT)
                .min(FULL_PACE_PERCENT),
        };
        if percent == placed.pace || placed.state != RunState::Running {
            return;
        }
        placed.pace = percent;
        let server = placed.server;
        let Some(run_id) = self.ledger.run_id(run) else {
            return;
        };
        let label = self.run_label(run, server);
        cx.log(Notice::Paced {
            job: label.job,
            task: label.task,
            server: label.server,
            percent,
            tail_ms: worst.0,
            target_ms: worst.1,
        });
        let order = Order::Pace {
            run: run_id,
            percent,
        };
        self.send_order(server, order, SentOrder::Pace(run), cx);
    }
}
