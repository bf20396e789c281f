//! Runs that were lost with their backend server, as evidence against tasks that
//! crash the backend servers that start them.
//!
//! A crash loses every run on its server, and one of them may have caused it. A task
//! with such losses is a suspect: it starts only on a backend server that has taken
//! no start for a while, and that takes none until the run has outlasted its
//! probation. A server that crashes within the probation was crashed by the suspect.
//!
//! Invariant: a loss counts once for each run, whichever owner notes it.

pub(crate) mod open;

use std::time::Duration;

use model::{Attempt, StepIndex, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{Placement, RunRef, RunState, StepRef, TaskRef};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};

/// When a task is given up: after so many losses of any kind, or after fewer of which
/// some are attributed to it.
struct Limit {
    losses: usize,
    attributed: usize,
    losses_with_attributed: usize,
}

/// A task that crashes its servers must not start more than twice after three of them
/// have crashed. Servers may lose power within a probation, so that one attributed loss
/// proves little.
const LIMIT: Limit = Limit {
    losses: 5,
    attributed: 2,
    losses_with_attributed: 3,
};
/// Limit for tasks whose losses in an earlier term are not known in full: three of their
/// servers may have crashed in it.
const LIMIT_AFTER_UNKNOWN: Limit = Limit {
    losses: 3,
    attributed: 1,
    losses_with_attributed: 2,
};
/// Losses of any kind that make a task a suspect.
const SUSPECT_LOSSES: usize = 2;
/// Probation of a suspect's first start apart; most tasks that crash their server do so
/// at once.
const FIRST_PROBATION: Duration = Duration::from_millis(300);
/// Probation of the starts after that.
const PROBATION: Duration = Duration::from_millis(2_000);
/// Time since the last other start on a backend server after which that start did not
/// crash it, and a suspect may start there.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time since that start for which a backend server is withheld for a suspect.
const WITHHOLD_TIME: Duration = Duration::from_millis(500);
/// Time from the start of a run within which the crash of its server makes its task a
/// suspect.
const SUSPICIOUS_TIME: Duration = Duration::from_millis(2_000);
/// Time that a run may last after which the loss of its server says nothing against its
/// task.
const SURVIVAL_TIME: Duration = Duration::from_secs(30);

/// How strongly the loss of a run speaks against its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Evidence {
    /// The backend server may not have crashed, or not because of a recent start.
    Weak,
    /// The backend server crashed soon after the start, as it may have done because of
    /// other runs.
    Crash,
    /// The backend server crashed within the probation of the run.
    Attributed,
}

/// Losses of the runs of a task or gang, by run number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Losses(Vec<(Attempt, Evidence)>);

impl Losses {
    /// Notes the loss of a run; the strongest evidence counts.
    pub(crate) fn note(&mut self, run: Attempt, evidence: Evidence) {
        match self.0.iter_mut().find(|(number, _)| *number == run) {
            Some((_, known)) => *known = evidence.max(*known),
            None => self.0.push((run, evidence)),
        }
    }

    /// Drops the loss of a run of which an end was listed after all, so that its backend
    /// server did not crash.
    pub(crate) fn withdraw(&mut self, run: Attempt) {
        self.0.retain(|(number, _)| *number != run);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn contains(&self, run: Attempt) -> bool {
        self.0.iter().any(|(number, _)| *number == run)
    }

    fn attributed(&self) -> usize {
        let attributed = self.0.iter().filter(|(_, e)| *e == Evidence::Attributed);
        attributed.count()
    }

    /// True when the task starts only apart from other recent starts.
    pub(crate) fn is_suspect(&self) -> bool {
        let crashed = self.0.iter().any(|(_, e)| *e >= Evidence::Crash);
        crashed || self.0.len() >= SUSPECT_LOSSES
    }

    /// True when the task is to be given up, if all losses count but those that are
    /// undecided.
    fn exceeds(&self, limit: &Limit, undecided: usize) -> bool {
        let losses = self.0.len() - undecided.min(self.0.len());
        let attributed = self.attributed() >= limit.attributed;
        losses >= limit.losses || (attributed && losses >= limit.losses_with_attributed)
    }

    /// Time from a start for which its backend server takes no other.
    pub(crate) fn probation(&self) -> Duration {
        match self.0.len() {
            0 | 1 => FIRST_PROBATION,
            _ => PROBATION,
        }
    }
}

impl Owner {
    /// The task that holds the losses of a run: that of the run itself, or the first of
    /// its gang, whose members are started and lost together.
    pub(crate) fn loss_holder(&self, task: TaskRef) -> TaskRef {
        self.ledger.loss_holder(task)
    }

    pub(crate) fn losses(&self, task: TaskRef) -> Option<&Losses> {
        let holder = self.ledger.task(self.loss_holder(task));
        holder.map(|task| &task.losses)
    }

    /// True when a task starts only apart from other recent starts.
    pub(crate) fn is_suspect(&self, task: TaskRef) -> bool {
        self.losses(task).is_some_and(Losses::is_suspect)
    }

    /// True when a task should not start on a backend server: it failed there, or it is a
    /// suspect and was lost in the same rack, whose servers may crash together.
    pub(crate) fn is_avoided(&self, task: TaskRef, ix: ServerIx) -> bool {
        let failed_on = self.ledger.task(task).and_then(|task| task.failed_on.last);
        let holder = self.ledger.task(self.loss_holder(task));
        let suspect = holder.filter(|task| task.losses.is_suspect());
        let lost_on = suspect.and_then(|task| task.last_lost_on);
        let rack = |ix: ServerIx| &self.fleet.get(ix).listing.rack;
        let shares_rack = |lost: ServerIx| rack(lost) == rack(ix) && !rack(ix).is_empty();
        failed_on == Some(ix) || lost_on.is_some_and(|lost| lost == ix || shares_rack(lost))
    }

    /// True when the last start on a backend server was long enough ago for a suspect.
    pub(crate) fn is_settled(&self, ix: ServerIx, now: Duration) -> bool {
        now >= self.fleet.get(ix).last_start_at + SETTLE_TIME
    }

    /// Withholds a backend server from other tasks until it has settled and a suspect had
    /// time to start there.
    pub(crate) fn withhold_for_suspect(&mut self, ix: ServerIx) {
        let server = self.fleet.get_mut(ix);
        server.withheld_until = server.last_start_at + WITHHOLD_TIME;
    }

    /// True while a backend server takes no start because of the suspect there.
    pub(crate) fn is_in_probation(&self, ix: ServerIx, now: Duration) -> bool {
        let suspect = self.fleet.get(ix).suspect;
        suspect.is_some_and(|run| self.is_on_probation(run, ix, now))
    }

    fn is_on_probation(&self, run: RunRef, ix: ServerIx, until: Duration) -> bool {
        let placed = self.ledger.runs.get(&run);
        let probation = self.losses(run.task).map(Losses::probation);
        placed.zip(probation).is_some_and(|(placed, probation)| {
            placed.server == ix
                && (placed.state == RunState::Planned || until < placed.ordered_at + probation)
        })
    }

    /// Notes the loss of the runs on a backend server that crashed, and returns the tasks
    /// to give up. A server that was draining left as planned.
    pub(crate) fn note_crash(&mut self, ix: ServerIx, cx: &Cx<'_>) -> Vec<TaskRef> {
        let server = self.fleet.get_mut(ix);
        if server.listing.draining || std::mem::replace(&mut server.crash_noted, true) {
            return Vec::new();
        }
        let silent_at = server.silent_since.unwrap_or(cx.now());
        let runs: Vec<RunRef> = self.fleet.get(ix).runs.iter().copied().collect();
        let evidence = |run: &RunRef| Some((*run, self.crash_evidence(ix, *run, silent_at)?));
        let lost: Vec<(RunRef, Evidence)> = runs.iter().filter_map(evidence).collect();
        for (run, _) in &lost {
            self.close_loss(*run);
        }
        let noted = lost.into_iter();
        let holders: Vec<TaskRef> = noted
            .filter_map(|(run, e)| self.note_loss_on(ix, run, e))
            .collect();
        let holders = holders.into_iter();
        holders
            .filter(|holder| self.exceeds_limit(*holder, self.undecided_losses(*holder, cx)))
            .collect()
    }

    /// What the crash of a backend server that was silent from `silent_at` on says against
    /// the task of a run there.
    fn crash_evidence(&self, ix: ServerIx, run: RunRef, silent_at: Duration) -> Option<Evidence> {
        let placed = self.ledger.runs.get(&run)?;
        let lasted = silent_at.saturating_sub(placed.ordered_at);
        // The backend server has not been told of a planned run.
        let sent = placed.state != RunState::Planned;
        if !sent || lasted >= SURVIVAL_TIME {
            return None;
        }
        Some(match () {
            () if self.caused_crash(ix, run, placed, silent_at) => Evidence::Attributed,
            () if lasted < SUSPICIOUS_TIME => Evidence::Crash,
            () => Evidence::Weak,
        })
    }

    /// True when a suspect's start is the only recent one before the crash of its backend
    /// server, and that incarnation has confirmed it. An answer to another order may come
    /// from the next incarnation.
    fn caused_crash(
        &self,
        ix: ServerIx,
        run: RunRef,
        placed: &Placement,
        silent_at: Duration,
    ) -> bool {
        let server = self.fleet.get(ix);
        let is_same = |other: &RunRef| {
            (self.loss_holder(other.task), other.number) == (self.loss_holder(run.task), run.number)
        };
        let started_long_before = |other: &RunRef| {
            let other = self.ledger.runs.get(other);
            other.is_none_or(|other| {
                other.state == RunState::Planned
                    || other.ordered_at + SETTLE_TIME <= placed.ordered_at
            })
        };
        let mut others = server.runs.iter().filter(|other| !is_same(other));
        self.is_suspect(run.task)
            && self.is_on_probation(run, ix, silent_at)
            && placed.confirmed
            && server.doubted_at.is_none()
            && others.all(started_long_before)
    }

    /// Notes the loss of runs whose leases expired on a backend server that may have
    /// crashed. The losses are open; see `decide_open_losses`.
    pub(crate) fn note_lapses(&mut self, ix: ServerIx, runs: &[RunRef], now: Duration) {
        let server = self.fleet.get(ix);
        let silent_at = server.silent_since.unwrap_or(now);
        let draining = server.listing.draining;
        let counts = |run: &&RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|placed| {
                placed.state != RunState::Planned
                    && silent_at < placed.ordered_at + SURVIVAL_TIME
                    && !draining
            })
        };
        let lost: Vec<RunRef> = runs.iter().filter(counts).copied().collect();
        let incarnation = (server.listing.id.clone(), server.listing.incarnation);
        for run in lost {
            // Another member of the gang may have been lost in a crash.
            let is_final = self.is_final_loss(run);
            self.note_loss_on(ix, run, Evidence::Weak);
            if !is_final {
                self.open_losses.note(incarnation.clone(), run);
            }
        }
    }

    fn note_loss_on(&mut self, ix: ServerIx, run: RunRef, evidence: Evidence) -> Option<TaskRef> {
        let holder = self.loss_holder(run.task);
        if let Some(task) = self.ledger.task_mut(holder) {
            task.last_lost_on = Some(ix);
        }
        self.note_loss(run, evidence)
    }

    /// Notes the loss of a run, and returns the task or gang that holds it if it has not
    /// completed.
    pub(crate) fn note_loss(&mut self, run: RunRef, evidence: Evidence) -> Option<TaskRef> {
        let holder = self.loss_holder(run.task);
        let task = self.ledger.task_mut(holder).filter(|task| !task.done)?;
        task.losses.note(run.number, evidence);
        Some(holder)
    }

    /// True when a task or gang is to be given up, if all its losses count but those that
    /// are undecided.
    pub(crate) fn exceeds_limit(&self, holder: TaskRef, undecided: usize) -> bool {
        let job = self.ledger.jobs.get(&holder.step.job);
        let inherited = job.is_some_and(|job| job.inherited);
        let limit = match inherited && self.recovery.lacks_records() {
            true => LIMIT_AFTER_UNKNOWN,
            false => LIMIT,
        };
        let task = self.ledger.task(holder);
        task.is_some_and(|task| task.losses.exceeds(&limit, undecided))
    }

    /// True when a task may not start until it is known whether the backend servers that
    /// were lost under it have crashed.
    pub(crate) fn awaits_verdict(&self, task: TaskRef) -> bool {
        self.exceeds_limit(self.loss_holder(task), 0)
    }

    /// Withdraws the loss of a run whose end was listed. The end of a gang member says
    /// nothing of the other members' servers.
    pub(crate) fn withdraw_loss(&mut self, run: RunRef) {
        let gang = self
            .ledger
            .spec(run.task.step)
            .is_some_and(|spec| spec.gang);
        if let Some(task) = self.ledger.task_mut(run.task).filter(|_| !gang) {
            task.losses.withdraw(run.number);
        }
    }

    /// Gives up the tasks of inherited jobs whose recorded losses exceed the limit that
    /// applies once the records turn out to lack some. Those tasks do not start, and nothing
    /// else decides about them.
    pub(crate) fn give_up_inherited_tasks(&mut self, cx: &mut Cx<'_>) {
        let mut given_up = Vec::new();
        for (&job, entry) in self.ledger.jobs.iter().filter(|(_, job)| job.inherited) {
            for (&occurrence, steps) in &entry.occurrences {
                for (step, state) in steps.iter().enumerate() {
                    let step = StepRef {
                        job,
                        occurrence,
                        step: step as StepIndex,
                    };
                    let tasks = state.tasks.iter().enumerate();
                    let lost = tasks.filter(|(_, task)| !task.done && !task.losses.is_empty());
                    given_up.extend(lost.map(|(index, _)| step.task(index as TaskIndex)));
                }
            }
        }
        given_up.retain(|holder| self.exceeds_limit(*holder, self.undecided_losses(*holder, cx)));
        self.give_up_tasks(given_up, cx);
    }

    /// Ends the jobs of tasks that crash their backend servers.
    pub(crate) fn give_up_tasks(&mut self, tasks: Vec<TaskRef>, cx: &mut Cx<'_>) {
        for task in tasks {
            let job = self.ledger.jobs.get(&task.step.job);
            let Some(job) = job.filter(|job| !job.stage.is_terminal()) else {
                continue;
            };
            let id = job.id.clone();
            let losses = self.losses(task).cloned().unwrap_or_default();
            cx.log(Notice::TaskGivenUp {
                job: id,
                task: compact_str::format_compact!(
                    "{}.{}.{}",
                    task.step.occurrence,
                    task.step.step,
                    task.index
                ),
                losses: losses.0.len() as u32,
                attributed: losses.attributed() as u32,
            });
            self.finish_job(task.step.job, model::Stage::Failed, cx);
        }
    }

    /// True when an incarnation of a backend server is known to have ended. One that the
    /// registry does not list may be cut off.
    pub(crate) fn has_ended(&self, id: &model::Name, incarnation: u64) -> bool {
        self.fleet.find(id).is_some_and(|ix| {
            let server = self.fleet.get(ix);
            server.listing.incarnation > incarnation || server.state == ServerState::Ended
        })
    }
}
