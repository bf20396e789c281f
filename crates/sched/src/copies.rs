//! Copies of running tasks: which runs are copies, and how they end.
//!
//! `place::copies` starts them. Which of two runs is the copy matters only here, for the
//! capacity that copies may take and for what is learned from their outcomes; everywhere
//! else a task simply has two runs, the first end of which counts.
//!
//! Invariant: every entry belongs to a run in the ledger.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::{Attempt, Name};
use policy::speculation::{Cause, Outcomes};

use crate::event::{Effect, Metric};
use crate::fleet::ServerIx;
use crate::ledger::{RunRef, TaskRef};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

/// A copy that may exist.
#[derive(Clone, Debug)]
pub(crate) struct CopyRun {
    pub(crate) service: Name,
    /// Why it was started; `None` if an earlier owner did.
    pub(crate) cause: Option<Cause>,
    pub(crate) started_at: Duration,
    /// When the run that it copies was expected to end.
    pub(crate) expected_end: Duration,
}

/// Copies of one term, and what was learned from them.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    pub(crate) runs: BTreeMap<RunRef, CopyRun>,
    pub(crate) outcomes: Outcomes,
    /// The last run that was examined.
    pub(crate) examined: Option<RunRef>,
    /// When runs are examined next.
    pub(crate) next_at: Duration,
    /// When backend servers were last asked for the progress of their runs.
    pub(crate) asked: HashMap<ServerIx, Duration>,
}

impl Copies {
    /// Removes a run that can no longer be executing.
    pub(crate) fn forget(&mut self, run: RunRef) {
        self.runs.remove(&run);
    }

    /// The copy of a task, if it has one.
    fn of_task(&self, task: TaskRef) -> Option<(RunRef, &CopyRun)> {
        let mut runs = self.runs.range(task.run(0)..=task.run(Attempt::MAX));
        runs.next().map(|(run, copy)| (*run, copy))
    }
}

impl Owner {
    /// Notes which of the runs of a task with a copy completed first; `run` has. Later
    /// ends of the same task are ignored.
    pub(crate) fn note_first_end(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let done = self.ledger.task(run.task).is_none_or(|task| task.done);
        let Some((copy, entry)) = self.copies.of_task(run.task).filter(|_| !done) else {
            return;
        };
        let (won, entry) = (copy == run, entry.clone());
        let Some(placed) = self.ledger.runs.get(&copy) else {
            return;
        };
        let label = self.run_label(copy, placed.server);
        let saved = entry.expected_end.saturating_sub(cx.now());
        let spent = cx.now().saturating_sub(entry.started_at);
        let job = self.ledger.jobs.get(&copy.task.step.job);
        let (team, queue) = job
            .map(|job| (job.team.clone(), job.queue.clone()))
            .unwrap_or_default();
        let (metric, value) = match won {
            true => (Metric::CopySaved, saved),
            false => (Metric::CopySpent, spent),
        };
        cx.out.push(Effect::RecordMetric {
            metric,
            team,
            queue,
            value,
        });
        cx.log(match won {
            true => Notice::CopyWon {
                job: label.job,
                task: label.task,
                run: copy.number,
                server: label.server,
                saved_ms: ms(saved),
            },
            false => Notice::CopyLost {
                job: label.job,
                task: label.task,
                run: copy.number,
                server: label.server,
                spent_ms: ms(spent),
            },
        });
        if entry.cause.is_some_and(Cause::is_of_run) {
            self.learn_from_copy(run.task, won, cx);
        }
    }

    fn learn_from_copy(&mut self, task: TaskRef, won: bool, cx: &mut Cx<'_>) {
        let Some(image) = self.ledger.spec(task.step).map(|spec| spec.image.clone()) else {
            return;
        };
        let class = self.image_class(&image);
        if self.copies.outcomes.record(class, won, cx.now()) {
            cx.log(Notice::CopiesCeased { image });
        }
    }
}
