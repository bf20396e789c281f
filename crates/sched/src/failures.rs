//! Attribution of failed runs: to the backend server or to the job.
//!
//! A failure first counts against the backend server. It stops counting once the same
//! task, or all that was started of its step, has failed on several servers: then the
//! job is at fault, wherever it runs.
//!
//! Invariant: a backend server is held back only for failures of steps that are not at
//! fault.

use std::time::Duration;

use model::Stage;

use crate::fleet::ServerIx;
use crate::ledger::{RunRef, RunState, StepRef, TaskRef, runs_of_step};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

/// Number of backend servers on which a task must have failed, or all that was started
/// of a step, for the job to be at fault; all servers of a smaller service.
const SERVERS_TO_BLAME_JOB: usize = 3;
/// The same for a task that has used up its attempts, and in the smallest service. One
/// backend server alone may be what fails.
const MIN_SERVERS_TO_BLAME_JOB: usize = 2;

/// Number of backend servers that are kept of a task or step that has failed. Queues permit
/// fewer attempts.
const MAX_KNOWN: usize = 8;

/// Backend servers on which runs of a task or step have failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailedOn {
    /// The most recent one; placement avoids it.
    pub(crate) last: Option<ServerIx>,
    /// Those that speak against the job, at most `SERVERS_TO_BLAME_JOB`.
    witnesses: Vec<ServerIx>,
    /// The first ones, at most `MAX_KNOWN`.
    pub(crate) known: Vec<ServerIx>,
}

impl FailedOn {
    fn note(&mut self, server: ServerIx, is_witness: bool) {
        self.last = Some(server);
        if self.known.len() < MAX_KNOWN && !self.known.contains(&server) {
            self.known.push(server);
        }
        let full = self.witnesses.len() >= SERVERS_TO_BLAME_JOB;
        if is_witness && !full && !self.witnesses.contains(&server) {
            self.witnesses.push(server);
        }
    }
}

impl Owner {
    /// Notes the backend server of a failed run, for its task or gang and for the step.
    pub(crate) fn note_failed_on(
        &mut self,
        holder: TaskRef,
        server: ServerIx,
        started_at: Duration,
        cx: &Cx<'_>,
    ) {
        let is_witness = self.is_witness(server, started_at, cx.now());
        if let Some(task) = self.ledger.task_mut(holder) {
            task.failed_on.note(server, is_witness);
        }
        if let Some(state) = self.ledger.step_mut(holder.step) {
            state.failed_on.note(server, is_witness);
        }
    }

    /// Backend servers on which a task or its gang has failed, if only one more attempt is
    /// permitted. Those of an earlier owner are not known.
    pub(crate) fn last_attempt(&self, task: TaskRef) -> Option<&[ServerIx]> {
        let job = self.ledger.jobs.get(&task.step.job)?;
        let attempts = job.acceptance.as_ref()?.max_attempts as usize;
        let long_running = self.ledger.spec(task.step)?.long_running;
        let holder = self.ledger.task(self.loss_holder(task))?;
        let is_last = !long_running && holder.failures.len() + 1 >= attempts;
        is_last.then_some(holder.failed_on.known.as_slice())
    }

    /// True when a backend server shares a rack with one of the others.
    pub(crate) fn shares_rack_with(&self, ix: ServerIx, others: &[ServerIx]) -> bool {
        let rack = |ix: ServerIx| &self.fleet.get(ix).listing.rack;
        !rack(ix).is_empty() && others.iter().any(|other| rack(*other) == rack(ix))
    }

    /// Logs why a job fails: which task has used up its attempts, and where they failed.
    pub(crate) fn log_attempts_used(&self, holder: TaskRef, failures: u32, cx: &mut Cx<'_>) {
        let job = self.ledger.jobs.get(&holder.step.job);
        let Some(job) = job.filter(|job| !job.stage.is_terminal()) else {
            return;
        };
        let known = self.ledger.task(holder).map(|task| &task.failed_on.known);
        let ids = known.into_iter().flatten();
        let ids: Vec<&str> = ids
            .map(|ix| self.fleet.get(*ix).listing.id.as_str())
            .collect();
        cx.log(Notice::AttemptsUsed {
            job: job.id.clone(),
            task: compact_str::format_compact!(
                "{}.{}.{}",
                holder.step.occurrence,
                holder.step.step,
                holder.index
            ),
            failures,
            servers: ids.join(",").into(),
        });
    }

    /// True when the failure of a run on a backend server may speak against its job:
    /// nothing was wrong with the server when the run started, or no server of the
    /// service is known to be sound.
    fn is_witness(&self, server: ServerIx, started_at: Duration, now: Duration) -> bool {
        let entry = self.fleet.get(server);
        let service = &entry.listing.service;
        entry.health.was_unsuspected(ms(started_at))
            || !self.fleet.live().any(|ix| {
                let other = self.fleet.get(ix);
                other.listing.service == *service && other.health.is_sound(ms(now))
            })
    }

    /// Ends the probation of backend servers on which a long-running task has run for long
    /// enough. Such a task never completes.
    pub(crate) fn observe_lasting_probes(&mut self, now: Duration) {
        for server in &mut self.fleet.servers {
            if !server.health.is_on_probation() || server.unresponsive {
                continue;
            }
            let placed = server.runs.iter().filter_map(|run| {
                let is_lasting = self.ledger.spec(run.task.step)?.long_running;
                let placed = self.ledger.runs.get(run).filter(|_| is_lasting)?;
                (placed.state == RunState::Running).then_some(placed.ordered_at)
            });
            if let Some(started_at) = placed.max() {
                server.health.observe_lasting(ms(started_at), ms(now));
            }
        }
    }

    /// Attributes a failure of `holder`, a task or the first of a gang, that was noted
    /// with the backend server: to the server, or to the job. `started_at` is when the
    /// run was started.
    pub(crate) fn attribute_failure(
        &mut self,
        holder: TaskRef,
        server: ServerIx,
        started_at: Duration,
        cx: &mut Cx<'_>,
    ) {
        let step = holder.step;
        self.fleet.get_mut(server).health.suspect(ms(cx.now()));
        let known = self.ledger.step(step).is_some_and(|s| s.at_fault);
        if known || self.is_at_fault(holder, server) {
            if !known {
                self.withdraw_failures(step, cx);
            }
            return;
        }
        let entry = self.fleet.get_mut(server);
        let quarantined = entry
            .health
            .record_failure(step.job, ms(started_at), ms(cx.now()));
        if quarantined {
            let server = entry.listing.id.clone();
            cx.log(Notice::ServerHeldBack { server });
        }
    }

    /// True when the failures of a step speak against its job: a task of it has failed on
    /// several backend servers, or on fewer in all of its attempts, or nothing that was
    /// started of the step runs or has completed.
    fn is_at_fault(&self, holder: TaskRef, server: ServerIx) -> bool {
        let (Some(state), Some(task)) = (self.ledger.step(holder.step), self.ledger.task(holder))
        else {
            return false;
        };
        let job = self.ledger.jobs.get(&holder.step.job);
        let has_failed = job.is_some_and(|job| job.stage == Stage::Failed);
        let needed = self.servers_to_blame_job(server);
        let is_running = |run: &RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|placed| placed.state == RunState::Running)
        };
        match task.failed_on.witnesses.len() {
            count if count >= needed => true,
            count if has_failed && count >= MIN_SERVERS_TO_BLAME_JOB => true,
            _ if state.failed_on.witnesses.len() < needed || state.done_count > 0 => false,
            _ => !runs_of_step(holder.step, state).any(|run| is_running(&run)),
        }
    }

    /// Number of backend servers of the service of `server` on which a step must have
    /// failed for its job to be at fault.
    fn servers_to_blame_job(&self, server: ServerIx) -> usize {
        let service = &self.fleet.get(server).listing.service;
        let live = self.fleet.live();
        let of_service = live.filter(|ix| self.fleet.get(*ix).listing.service == *service);
        of_service
            .take(SERVERS_TO_BLAME_JOB)
            .count()
            .max(MIN_SERVERS_TO_BLAME_JOB)
    }

    /// Marks a step as at fault, and withdraws the failures of its job from the records
    /// of the backend servers.
    fn withdraw_failures(&mut self, step: StepRef, cx: &mut Cx<'_>) {
        if let Some(state) = self.ledger.step_mut(step) {
            state.at_fault = true;
        }
        let servers = self.fleet.servers.iter_mut();
        let released = servers
            .filter(|server| server.state.is_live())
            .filter_map(|server| server.health.clear_failures_of(step.job).then_some(()));
        let released = released.count() as u32;
        self.place_due |= released > 0;
        let job = self.ledger.jobs.get(&step.job);
        cx.log(Notice::StepAtFault {
            job: job.map(|job| job.id.clone()).unwrap_or_default(),
            step: compact_str::format_compact!("{}.{}", step.occurrence, step.step),
            released,
        });
    }
}
