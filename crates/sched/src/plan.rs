//! Choice of backend servers for the tasks of one step, given the resources left
//! in a placement pass.
//!
//! Invariant: a plan names only backend servers that are eligible for the step
//! and have room for all tasks that the plan assigns to them.

use std::time::Duration;

use model::{Name, Resources, Step, TaskIndex};
use policy::fit::{self, Candidate, TaskKind};
use policy::headroom;

use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::notice::ms;
use crate::owner::{Cx, Owner};
use crate::place::Plan;

/// Time after a team's last urgent job during which part of its limit is reserved
/// for urgent work.
const URGENT_WINDOW: Duration = Duration::from_secs(10);

impl Owner {
    /// True if a backend server may run a step: it has the required label and the
    /// external policy has not denied it.
    pub(crate) fn is_eligible(&self, step: StepRef, spec: &Step, ix: ServerIx) -> bool {
        let listing = &self.fleet.get(ix).listing;
        let has_label = spec
            .label
            .as_ref()
            .is_none_or(|l| listing.labels.contains(l));
        let state = self.ledger.step(step).filter(|_| has_label);
        state.is_some_and(|state| !state.admission.denied.contains(&listing.id))
    }

    /// Assigns as many of the tasks as possible to the candidates; for a gang, all
    /// or none.
    pub(crate) fn plan_step(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        candidates: &[(ServerIx, Candidate)],
    ) -> Plan {
        if candidates.is_empty() {
            return Plan::new();
        }
        let with_step = |(ix, candidate): &(ServerIx, Candidate)| {
            let candidate = self.with_distance(spec, *ix, *candidate);
            (*ix, candidate, self.step_runs_on(*ix, step))
        };
        let candidates: Vec<(ServerIx, Candidate, u32)> =
            candidates.iter().map(with_step).collect();
        if spec.gang && spec.one_rack {
            let plan = self.assign_in_one_rack(step, spec, waiting, &candidates);
            if plan.len() == waiting.len() {
                return plan;
            }
        }
        let plan = self.assign(step, spec, waiting, candidates);
        match spec.gang && plan.len() < waiting.len() {
            true => Plan::new(),
            false => plan,
        }
    }

    /// Plan for the rack in which the most tasks can be assigned.
    pub(crate) fn assign_in_one_rack(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        candidates: &[(ServerIx, Candidate, u32)],
    ) -> Plan {
        let rack = |ix: ServerIx| &self.fleet.get(ix).listing.rack;
        let mut racks: Vec<&Name> = candidates.iter().map(|(ix, _, _)| rack(*ix)).collect();
        racks.sort_unstable();
        racks.dedup();
        let plans = racks.into_iter().map(|name| {
            let in_rack = candidates.iter().filter(|(ix, _, _)| rack(*ix) == name);
            self.assign(step, spec, waiting, in_rack.copied().collect())
        });
        plans.max_by_key(Vec::len).unwrap_or_default()
    }

    /// Assigns tasks one by one to the backend server of lowest cost, until one
    /// does not fit anywhere.
    pub(crate) fn assign(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        mut candidates: Vec<(ServerIx, Candidate, u32)>,
    ) -> Plan {
        let kind = match () {
            () if spec.best_effort_cpu => TaskKind::BestEffort,
            () if spec.long_running => TaskKind::LongRunning,
            () => TaskKind::RunToCompletion,
        };
        let each = spec.committed();
        let max_per_server = spec.spread.unwrap_or(u32::MAX);
        let mut plan = Plan::new();
        for index in waiting {
            let task = step.task(*index);
            let last_attempt = self.last_attempt(task);
            let best = candidates
                .iter_mut()
                .filter(|(_, _, placed)| *placed < max_per_server)
                .filter_map(|entry| {
                    entry.1.failed_before = self.is_avoided(task, entry.0)
                        || last_attempt.is_some_and(|failed| failed.contains(&entry.0));
                    let caution = last_attempt.map_or(0.0, |failed| {
                        let failed_in_rack = self.shares_rack_with(entry.0, failed);
                        fit::caution_cost(&entry.1, failed_in_rack)
                    });
                    Some((fit::cost(&each, kind, &entry.1)? + caution, entry))
                })
                .min_by(|(a, _), (b, _)| a.total_cmp(b));
            let Some((_, (ix, candidate, placed))) = best else {
                break;
            };
            // A whole gang is one probe.
            candidate.free = match candidate.on_probation && !spec.gang {
                true => Resources::ZERO,
                false => candidate.free.minus(each),
            };
            candidate.best_effort_tasks += u32::from(spec.best_effort_cpu);
            *placed += 1;
            plan.push((*index, *ix));
        }
        plan
    }

    /// Applies the run time factor for a backend server outside the rack that
    /// holds the step's data.
    pub(crate) fn with_distance(
        &self,
        spec: &Step,
        ix: ServerIx,
        candidate: Candidate,
    ) -> Candidate {
        let rack = &self.fleet.get(ix).listing.rack;
        let is_remote = spec.data_rack.as_ref().is_some_and(|data| data != rack);
        Candidate {
            distance_factor: if is_remote { self.remote_factor } else { 1.0 },
            ..candidate
        }
    }

    /// Number of runs of a step on a backend server.
    pub(crate) fn step_runs_on(&self, ix: ServerIx, step: StepRef) -> u32 {
        let runs = self.fleet.get(ix).runs.iter();
        runs.filter(|run| run.task.step == step).count() as u32
    }

    /// Waiting tasks that may start within the team's limit. A team with nothing
    /// running may start one task or one gang even if it exceeds the limit.
    pub(crate) fn tasks_within_limit(
        &self,
        step: StepRef,
        spec: &Step,
        team: &Name,
        cx: &Cx<'_>,
    ) -> Vec<TaskIndex> {
        let Some(state) = self.ledger.step(step) else {
            return Vec::new();
        };
        let waiting: Vec<TaskIndex> = state.waiting().collect();
        if spec.gang && waiting.len() < state.tasks.len() {
            return Vec::new(); // Members of the previous run may still exist.
        }
        let limit = self.effective_limit(step, spec, team, waiting.len(), cx);
        let unknown_usage = self.unknown_usage();
        let fits = |count: usize| {
            let requested = spec.each.times(count as u32).plus(unknown_usage);
            self.accounts.allows(team, &limit, requested)
        };
        let idle = self.accounts.used(team).is_zero() && unknown_usage.is_zero();
        let allowed = match spec.gang {
            true if fits(waiting.len()) || idle => waiting.len(),
            true => 0,
            false => (0..=waiting.len()).rev().find(|n| fits(*n)).unwrap_or(0),
        };
        let min_allowed = usize::from(idle);
        waiting.into_iter().take(allowed.max(min_allowed)).collect()
    }

    /// True if a copy of a task may start within the team's limit.
    pub(crate) fn is_copy_within_limit(
        &self,
        step: StepRef,
        spec: &Step,
        team: &Name,
        cx: &Cx<'_>,
    ) -> bool {
        let limit = self.effective_limit(step, spec, team, 1, cx);
        let requested = spec.each.plus(self.unknown_usage());
        self.accounts.allows(team, &limit, requested)
    }

    /// The team's limit as it applies to a step. While the team submits urgent
    /// jobs, steps that are neither urgent nor long-running leave part of the
    /// limit to them, unless a task or gang of the step could then never start.
    fn effective_limit(
        &self,
        step: StepRef,
        spec: &Step,
        team: &Name,
        waiting: usize,
        cx: &Cx<'_>,
    ) -> Resources {
        let job = self.ledger.jobs.get(&step.job);
        let limit = job.map_or(Resources::ZERO, |job| job.team_limit(cx.config));
        let urgent = job.is_some_and(|job| job.urgent);
        let last_urgent = self.last_urgent_at.get(team);
        let sends_urgent = last_urgent.is_some_and(|at| cx.now() < *at + URGENT_WINDOW);
        if urgent || spec.long_running || !sends_urgent {
            return limit;
        }
        let bound = headroom::non_urgent_limit(limit, self.accounts.urgent(team));
        let smallest_start = match spec.gang {
            true => spec.each.times(waiting as u32),
            false => spec.each,
        };
        match headroom::fits_within(&bound, &smallest_start) {
            true => bound,
            false => limit,
        }
    }

    /// The listed tasks that are still waiting.
    pub(crate) fn still_waiting(&self, step: StepRef, waiting: &[TaskIndex]) -> Vec<TaskIndex> {
        let is_waiting = |index: &TaskIndex| {
            let task = self.ledger.task(step.task(*index));
            task.is_some_and(crate::ledger::Task::is_waiting)
        };
        waiting.iter().copied().filter(is_waiting).collect()
    }

    /// Describes a backend server to the placement policy, without properties that
    /// depend on the step.
    pub(crate) fn candidate(&self, ix: ServerIx, now: Duration) -> Candidate {
        let server = self.fleet.get(ix);
        let (mut long_running_tasks, mut best_effort_tasks) = (0, 0);
        for run in &server.runs {
            if let Some(spec) = self.ledger.spec(run.task.step) {
                long_running_tasks += u32::from(spec.long_running);
                best_effort_tasks += u32::from(spec.best_effort_cpu);
            }
        }
        Candidate {
            free: server.free(),
            capacity: server.listing.capacity,
            relative_runtime: server.relative_runtime(now),
            distance_factor: 1.0,
            long_running_tasks,
            best_effort_tasks,
            failed_before: false,
            suspected: server.health.is_suspected(),
            on_probation: server.health.is_on_probation(),
            last_resort: server.health.is_last_resort(ms(now)),
        }
    }
}
