//! Resource accounting for runs, per backend server and per team.
//!
//! Invariant: the resources of a run stay reserved from the decision to start
//! it until it can no longer be executing.

use std::collections::HashMap;
use std::time::Duration;

use model::{Name, Resources};

use crate::fleet::{Fleet, ServerIx};
use crate::ledger::{Job, Ledger, Placement, RunRef, RunState};

/// Resources held by the runs of each team.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    used: HashMap<Name, Resources>,
    /// The share of `used` that is held by runs of urgent jobs.
    urgent: HashMap<Name, Resources>,
}

impl Accounts {
    /// Resources held by all runs of a team.
    pub(crate) fn used(&self, team: &Name) -> Resources {
        self.used.get(team).copied().unwrap_or(Resources::ZERO)
    }

    /// Resources held by runs of a team's urgent jobs.
    pub(crate) fn urgent(&self, team: &Name) -> Resources {
        self.urgent.get(team).copied().unwrap_or(Resources::ZERO)
    }

    fn add(&mut self, job: &Job, amount: Resources) {
        let used = self.used.entry(job.team.clone()).or_default();
        *used = used.plus(amount);
        if job.urgent {
            let urgent = self.urgent.entry(job.team.clone()).or_default();
            *urgent = urgent.plus(amount);
        }
    }

    fn remove(&mut self, job: &Job, amount: Resources) {
        let used = self.used.entry(job.team.clone()).or_default();
        *used = used.minus(amount);
        if job.urgent {
            let urgent = self.urgent.entry(job.team.clone()).or_default();
            *urgent = urgent.minus(amount);
        }
    }

    /// Returns true if a team may hold `amount` in addition under `limit`.
    /// Dimensions of `limit` that are zero are unlimited.
    pub(crate) fn allows(&self, team: &Name, limit: &Resources, amount: Resources) -> bool {
        let wanted = self.used(team).plus(amount);
        let within = |wanted: u32, limit: u32| limit == 0 || wanted <= limit;
        within(wanted.millicpus, limit.millicpus)
            && within(wanted.memory_mib, limit.memory_mib)
            && within(wanted.accelerators, limit.accelerators)
    }
}

/// Adds a run to the ledger and reserves its resources on the backend server
/// and for the team. Used for newly planned runs and for runs restored from a
/// record or found on a backend server. Does nothing if the run is known.
pub(crate) fn reserve(
    ledger: &mut Ledger,
    fleet: &mut Fleet,
    accounts: &mut Accounts,
    run: RunRef,
    server: ServerIx,
    state: RunState,
    now: Duration,
) {
    let Some(spec) = ledger.spec(run.task.step) else {
        return;
    };
    let (committed, held, speculative) = (spec.committed(), spec.each, spec.speculative);
    let placed = Placement {
        server,
        state,
        held,
        ordered_at: now,
        // A run that was recorded or found on a server predates any later order.
        confirmed: state == RunState::Running,
        confirmed_at: now,
        percent: 0,
        reported_at: None,
        advanced_at: None,
        gauge: 0,
        pace: 100,
        last_high_latency_at: None,
        stop_call: None,
        stop_acknowledged_at: None,
        next_stop_at: Duration::ZERO,
    };
    if ledger.runs.insert(run, placed).is_some() {
        return;
    }
    if speculative {
        ledger.speculative_runs.insert(run);
    }
    if let Some(task) = ledger.task_mut(run.task) {
        task.runs.push(run.number);
        task.last_run_number = task.last_run_number.max(run.number);
    }
    let entry = fleet.get_mut(server);
    entry.used = entry.used.plus(committed);
    entry.runs.insert(run);
    entry.last_start_at = now;
    if let Some(job) = ledger.jobs.get(&run.task.step.job) {
        accounts.add(job, held);
    }
}

/// Removes a run that can no longer be executing and releases its resources.
/// Returns `None` if the run is unknown.
pub(crate) fn release(
    ledger: &mut Ledger,
    fleet: &mut Fleet,
    accounts: &mut Accounts,
    run: RunRef,
    now: Duration,
) -> Option<Placement> {
    let placed = ledger.runs.remove(&run)?;
    ledger.speculative_runs.remove(&run);
    let committed = ledger.spec(run.task.step).map(model::Step::committed);
    if let Some(task) = ledger.task_mut(run.task) {
        task.runs.retain(|number| *number != run.number);
        task.last_ended_at = now;
    }
    let entry = fleet.get_mut(placed.server);
    entry.used = entry.used.minus(committed.unwrap_or(Resources::ZERO));
    entry.runs.remove(&run);
    if let Some(job) = ledger.jobs.get(&run.task.step.job) {
        accounts.remove(job, placed.held);
    }
    Some(placed)
}

/// Moves a run and its reservation to another backend server.
pub(crate) fn move_to_server(ledger: &mut Ledger, fleet: &mut Fleet, run: RunRef, to: ServerIx) {
    let committed = ledger.spec(run.task.step).map(model::Step::committed);
    let committed = committed.unwrap_or(Resources::ZERO);
    let Some(placed) = ledger.runs.get_mut(&run) else {
        return;
    };
    let from = std::mem::replace(&mut placed.server, to);
    let old = fleet.get_mut(from);
    old.used = old.used.minus(committed);
    old.runs.remove(&run);
    let new = fleet.get_mut(to);
    new.used = new.used.plus(committed);
    new.runs.insert(run);
}
