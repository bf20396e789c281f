//! Losses of runs on backend servers that merely stopped answering.
//!
//! Such a server may have crashed, or it may be cut off and go on. The loss stays open
//! until that incarnation answers again, which withdraws it, or is known to have ended.
//! Until then it holds a task back that would otherwise be given up, but does not count
//! against it.
//!
//! Invariant: a loss that is open has an entry for each silent server with a run of that
//! number; one without an entry is final.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Attempt, Name};

use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{JobIx, RunRef, StepRef, TaskRef};
use crate::owner::{Cx, Owner};
use crate::rows::RunRecord;

/// Time from which a backend server that left the registry without a word is not expected
/// to come back as the same incarnation.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Id and incarnation of a backend server.
pub(crate) type Incarnation = (Name, u64);

/// Open losses by backend server. A run is that of the lost task, which may be a member of
/// a gang.
#[derive(Debug, Default)]
pub(crate) struct OpenLosses(BTreeMap<Incarnation, Vec<RunRef>>);

impl OpenLosses {
    pub(crate) fn note(&mut self, incarnation: Incarnation, run: RunRef) {
        let runs = self.0.entry(incarnation).or_default();
        if !runs.contains(&run) {
            runs.push(run);
        }
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Those of one job, in the form of its state row.
    pub(crate) fn of_job(&self, job: JobIx) -> BTreeMap<Incarnation, Vec<RunRecord>> {
        let mut records = BTreeMap::new();
        for (incarnation, runs) in &self.0 {
            let of_job = runs.iter().filter(|run| run.task.step.job == job);
            let of_job: Vec<RunRecord> = of_job.map(record).collect();
            if !of_job.is_empty() {
                records.insert(incarnation.clone(), of_job);
            }
        }
        records
    }

    fn retain<P>(&mut self, keeps: P)
    where
        P: Fn(&RunRef) -> bool,
    {
        self.0.retain(|_, runs| {
            runs.retain(&keeps);
            !runs.is_empty()
        });
    }
}

fn record(run: &RunRef) -> RunRecord {
    let RunRef { task, number } = *run;
    (task.step.occurrence, task.step.step, task.index, number)
}

/// What is known of an incarnation that stopped answering.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It may be cut off, or may have crashed.
    Unknown,
    /// It left the registry and has not come back. It still may, as the same incarnation.
    Missing,
    Ended,
}

impl Owner {
    /// Restores the open losses of a job that an earlier owner recorded.
    pub(crate) fn restore_open_losses(
        &mut self,
        job: JobIx,
        saved: &BTreeMap<Incarnation, Vec<RunRecord>>,
    ) {
        for (incarnation, runs) in saved {
            for &(occurrence, step, index, number) in runs {
                let step = StepRef {
                    job,
                    occurrence,
                    step,
                };
                let run = step.task(index).run(number);
                self.open_losses.note(incarnation.clone(), run);
            }
        }
    }

    /// Withdraws the losses of the runs that were lost with an incarnation which has answered
    /// after all, unless another server is silent that had a run of the same gang.
    pub(crate) fn withdraw_open_losses(&mut self, ix: ServerIx, cx: &Cx<'_>) {
        if self.open_losses.is_empty() {
            return;
        }
        let listing = &self.fleet.get(ix).listing;
        let incarnation = (listing.id.clone(), listing.incarnation);
        let answered = self.open_losses.0.remove(&incarnation);
        for run in answered.into_iter().flatten() {
            let holder = self.loss_holder(run.task);
            if self.open_numbers(holder, |_| true).contains(&run.number) {
                continue;
            }
            if let Some(task) = self.ledger.task_mut(holder) {
                task.losses.withdraw(run.number);
                self.place_due = true;
                self.mark_dirty_lazily(run.task.step.job, cx.now());
            }
        }
    }

    /// Closes the losses on incarnations that are known to have ended, and gives up the tasks
    /// that have too many losses by what is known now.
    pub(crate) fn decide_open_losses(&mut self, cx: &mut Cx<'_>) {
        if self.open_losses.is_empty() {
            return;
        }
        let (ledger, open_losses) = (&self.ledger, &mut self.open_losses);
        let is_current = |run: &RunRef| {
            let job = ledger.jobs.get(&run.task.step.job);
            let task = ledger.task(run.task).filter(|task| !task.done);
            task.is_some() && job.is_some_and(|job| !job.stage.is_terminal())
        };
        open_losses.retain(is_current);
        let runs = self.open_losses.0.values().flatten();
        let holders: BTreeSet<TaskRef> = runs.map(|run| self.loss_holder(run.task)).collect();
        self.close_ended_losses(cx);
        let is_given_up = |holder: &TaskRef| {
            // Few tasks would be given up even if all of their losses counted.
            self.exceeds_limit(*holder, 0)
                && self.exceeds_limit(*holder, self.undecided_losses(*holder, cx))
        };
        let given_up: Vec<TaskRef> = holders.into_iter().filter(is_given_up).collect();
        self.give_up_tasks(given_up, cx);
    }

    /// A loss is final once one server with a run of that number has ended.
    fn close_ended_losses(&mut self, cx: &Cx<'_>) {
        let incarnations: Vec<Incarnation> = self.open_losses.0.keys().cloned().collect();
        for incarnation in incarnations {
            if self.fate(&incarnation, cx) != Fate::Ended {
                continue;
            }
            let ended = self.open_losses.0.remove(&incarnation);
            for run in ended.into_iter().flatten() {
                self.close_loss(run);
                self.mark_dirty_lazily(run.task.step.job, cx.now());
            }
        }
    }

    /// Makes a loss final, since a server with a run of that number has ended.
    pub(crate) fn close_loss(&mut self, run: RunRef) {
        let holder = self.loss_holder(run.task);
        let (ledger, open_losses) = (&self.ledger, &mut self.open_losses);
        open_losses.retain(|other| {
            (other.task.step, other.number) != (run.task.step, run.number)
                || ledger.loss_holder(other.task) != holder
        });
    }

    /// True when a loss of that number was noted, and is not open.
    pub(crate) fn is_final_loss(&self, run: RunRef) -> bool {
        let holder = self.loss_holder(run.task);
        let losses = self.losses(holder);
        losses.is_some_and(|losses| losses.contains(run.number))
            && !self.open_numbers(holder, |_| true).contains(&run.number)
    }

    fn fate(&self, (id, incarnation): &Incarnation, cx: &Cx<'_>) -> Fate {
        let known = self.fleet.find(id).map(|ix| self.fleet.get(ix));
        let gone_at = cx.now().saturating_sub(RETURN_TIME);
        match known {
            Some(server) if server.listing.incarnation > *incarnation => Fate::Ended,
            Some(server) if server.state == ServerState::Ended => Fate::Ended,
            Some(server) if server.is_gone(&cx.settings.timing, gone_at) => Fate::Missing,
            Some(_) => Fate::Unknown,
            None if self.recovery.has_lasted(RETURN_TIME, cx.now()) => Fate::Missing,
            None => Fate::Unknown,
        }
    }

    /// Numbers of the runs of a task or gang whose losses are open on incarnations that
    /// `applies` selects.
    fn open_numbers<P>(&self, holder: TaskRef, applies: P) -> BTreeSet<Attempt>
    where
        P: Fn(&Incarnation) -> bool,
    {
        let open = self.open_losses.0.iter();
        let runs = open.filter(|(incarnation, _)| applies(incarnation));
        let runs = runs.flat_map(|(_, runs)| runs);
        runs.filter(|run| run.task.step == holder.step && self.loss_holder(run.task) == holder)
            .map(|run| run.number)
            .collect()
    }

    /// Number of losses of a task or gang of which it is not known whether a server crashed.
    pub(crate) fn undecided_losses(&self, holder: TaskRef, cx: &Cx<'_>) -> usize {
        if self.open_losses.is_empty() {
            return 0;
        }
        self.open_numbers(holder, |incarnation| {
            self.fate(incarnation, cx) == Fate::Unknown
        })
        .len()
    }
}
