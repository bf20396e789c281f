//! Throttling of best-effort tasks that disturb tasks that serve.
//!
//! Invariant: a best-effort task is paced down only while a task that serves
//! on the same backend server needs it, and paced up again after it recovered.

use std::time::Duration;

use crate::event::{CallError, Order, Outcome};
use crate::fleet::ServerIx;
use crate::ledger::{Life, RunRef};
use crate::notice::Notice;
use crate::owner::{Cx, Owner, SentOrder};

/// Part of the latency target above which best-effort tasks are stopped dead.
const HIGH: f64 = 0.85;
/// Part of the latency target below which they may go faster.
const LOW: f64 = 0.55;
/// Time below `LOW` before they go faster.
const CALM: Duration = Duration::from_millis(2_000);
/// Step by which they go faster, in percent.
const STEP: u8 = 20;
/// Full pace in percent.
const FULL: u8 = 100;

/// Pace of a run of which it is not known; no order sets it.
pub(crate) const UNKNOWN: u8 = u8::MAX;

/// What a look at one backend server calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Slower,
    Keep,
    Faster,
}

impl Owner {
    /// Adjusts the paces of best-effort tasks on a backend server by the last
    /// reports of the tasks that serve there.
    pub(crate) fn adjust_paces(&mut self, ix: ServerIx, cx: &mut Cx<'_>) {
        let runs: Vec<RunRef> = self.fleet.get(ix).runs.iter().copied().collect();
        let filling = |run: &RunRef| self.ledger.spec(run.task.step).is_some_and(|s| s.fills);
        let fillers: Vec<RunRef> = runs.iter().copied().filter(filling).collect();
        if fillers.is_empty() {
            return;
        }
        let mut call = Call::Faster;
        let mut worst = (0, 0);
        for run in runs {
            let (one, tail, target) = self.judge(run, cx.now());
            call = match (call, one) {
                (Call::Slower, _) | (_, Call::Slower) => Call::Slower,
                (Call::Keep, _) | (_, Call::Keep) => Call::Keep,
                (Call::Faster, Call::Faster) => Call::Faster,
            };
            if tail * worst.1.max(1) >= worst.0 * target.max(1) && target > 0 {
                worst = (tail, target);
            }
        }
        for run in fillers {
            self.pace(run, call, worst, cx);
        }
    }

    /// What one run calls for, with its tail and target in ms.
    fn judge(&mut self, run: RunRef, now: Duration) -> (Call, u64, u64) {
        let spec = self.ledger.spec(run.task.step);
        let target = spec
            .filter(|s| s.long_running)
            .and_then(|s| s.latency_target);
        let (Some(target), Some(placed)) = (target, self.ledger.runs.get_mut(&run)) else {
            return (Call::Faster, 0, 0);
        };
        let target = target.as_millis() as u64;
        let tail = placed.gauge;
        let ratio = tail as f64 / target.max(1) as f64;
        if ratio >= LOW {
            placed.above_since = Some(now);
        }
        let calm = placed.above_since.is_none_or(|at| now >= at + CALM);
        let call = match ratio {
            r if r >= HIGH => Call::Slower,
            _ if calm => Call::Faster,
            _ => Call::Keep,
        };
        (call, tail, target)
    }

    /// An order that may not have been carried out is sent again at need.
    pub(crate) fn pace_answered(&mut self, run: RunRef, result: &Result<Outcome, CallError>) {
        let done = matches!(result, Ok(Outcome::Done(_)));
        if let Some(placed) = self.ledger.runs.get_mut(&run).filter(|_| !done) {
            placed.pace = UNKNOWN;
        }
    }

    fn pace(&mut self, run: RunRef, call: Call, worst: (u64, u64), cx: &mut Cx<'_>) {
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        let percent = match call {
            Call::Slower => 0,
            Call::Keep => placed.pace,
            Call::Faster => placed.pace.saturating_add(STEP).min(FULL),
        };
        if percent == placed.pace || placed.life != Life::Running {
            return;
        }
        placed.pace = percent;
        let server = placed.server;
        let Some(name) = self.ledger.name(run) else {
            return;
        };
        let label = self.label(run, server);
        cx.log(Notice::Paced {
            job: label.job,
            task: label.task,
            server: label.server,
            percent,
            tail_ms: worst.0,
            target_ms: worst.1,
        });
        let order = Order::Pace { run: name, percent };
        self.send_order(server, order, SentOrder::Pace(run), cx);
    }
}
