//! Where the tasks of one step could run, given the room of one pass.
//!
//! Invariant: a plan names only backend servers that may run the step and have
//! room for everything that the plan puts there.

use std::time::Duration;

use model::{Name, Resources, Step, TaskIndex};
use policy::fit::{self, Kind, Site};
use policy::headroom;

use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::owner::{Cx, Owner};
use crate::place::{Plan, Pool, Terms};

/// Time since its last urgent job for which a team counts as sending such.
const URGENT_WITHIN: Duration = Duration::from_secs(10);

impl Owner {
    /// True when a backend server may run a step as far as is known; with
    /// `terms`, also that there is a valid ticket where one is needed.
    pub(crate) fn may_run(
        &self,
        step: StepRef,
        spec: &Step,
        ix: ServerIx,
        terms: Option<&Terms>,
        cx: &Cx<'_>,
    ) -> bool {
        let listing = &self.fleet.get(ix).listing;
        let labelled = spec
            .label
            .as_ref()
            .is_none_or(|l| listing.labels.contains(l));
        let Some(state) = self.ledger.step(step).filter(|_| labelled) else {
            return false;
        };
        let needs_ticket = terms.is_some_and(|terms| terms.admission.is_some());
        match needs_ticket {
            true => {
                let ticket = state.grant.tickets.get(&listing.id);
                ticket.is_some_and(|(_, until)| cx.now() < *until)
            }
            false => !state.grant.denied.contains(&listing.id),
        }
    }

    /// Places for as many of the tasks as possible; for a gang all or none.
    pub(crate) fn plan<F>(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        pool: &Pool,
        allowed: F,
    ) -> Plan
    where
        F: Fn(ServerIx) -> bool,
    {
        let each = spec.committed();
        let roomy = pool.sites.iter().filter(|(_, site)| each.fits(&site.free));
        let usable = roomy.filter(|(ix, _)| allowed(*ix));
        let sites: Vec<(ServerIx, Site, u32)> = usable
            .map(|(ix, site)| {
                (
                    *ix,
                    self.seen_from(spec, *ix, *site),
                    self.count_there(*ix, step),
                )
            })
            .collect();
        if spec.gang && spec.one_rack {
            let plan = self.fill_one_rack(step, spec, waiting, &sites);
            if plan.len() == waiting.len() {
                return plan;
            }
        }
        let plan = self.fill(step, spec, waiting, sites);
        match spec.gang && plan.len() < waiting.len() {
            true => Plan::new(),
            false => plan,
        }
    }

    pub(crate) fn fill_one_rack(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        sites: &[(ServerIx, Site, u32)],
    ) -> Plan {
        let rack = |ix: ServerIx| &self.fleet.get(ix).listing.rack;
        let mut racks: Vec<&Name> = sites.iter().map(|(ix, _, _)| rack(*ix)).collect();
        racks.sort_unstable();
        racks.dedup();
        let plans = racks.into_iter().map(|name| {
            let there = sites.iter().filter(|(ix, _, _)| rack(*ix) == name);
            self.fill(step, spec, waiting, there.copied().collect())
        });
        plans.max_by_key(Vec::len).unwrap_or_default()
    }

    pub(crate) fn fill(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        mut sites: Vec<(ServerIx, Site, u32)>,
    ) -> Plan {
        let kind = match () {
            () if spec.fills => Kind::Filling,
            () if spec.long_running => Kind::Serving,
            () => Kind::Plain,
        };
        let each = spec.committed();
        let most = spec.spread.unwrap_or(u32::MAX);
        let mut plan = Plan::new();
        for index in waiting {
            let avoid = self
                .ledger
                .task(step.task(*index))
                .and_then(|task| task.avoid);
            let best = sites
                .iter_mut()
                .filter(|(_, _, there)| *there < most)
                .filter_map(|entry| {
                    entry.1.avoid = avoid == Some(entry.0);
                    Some((fit::cost(&each, kind, &entry.1)?, entry))
                })
                .min_by(|(a, _), (b, _)| a.total_cmp(b));
            let Some((_, (ix, site, there))) = best else {
                break;
            };
            site.free = site.free.minus(each);
            site.filling += u32::from(spec.fills);
            *there += 1;
            plan.push((*index, *ix));
        }
        plan
    }

    /// A backend server as the tasks of one step see it.
    pub(crate) fn seen_from(&self, spec: &Step, ix: ServerIx, site: Site) -> Site {
        let rack = &self.fleet.get(ix).listing.rack;
        let far = spec.data_rack.as_ref().is_some_and(|data| data != rack);
        Site {
            distance: if far { self.remote_factor } else { 1.0 },
            ..site
        }
    }

    /// Tasks of a step that a backend server holds.
    pub(crate) fn count_there(&self, ix: ServerIx, step: StepRef) -> u32 {
        let runs = self.fleet.get(ix).runs.iter();
        runs.filter(|run| run.task.step == step).count() as u32
    }

    /// Waiting tasks that the team's limit leaves room for.
    pub(crate) fn limited(
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
            return Vec::new(); // Members of the last run are not over yet.
        }
        let limit = self.limit_for(step, spec, team, waiting.len(), cx);
        let unseen = self.unseen();
        let fits = |count: usize| {
            let more = spec.each.times(count as u32).plus(unseen);
            self.accounts.allows(team, &limit, more)
        };
        let idle = self.accounts.used(team).is_zero() && unseen.is_zero();
        let allowed = match spec.gang {
            true if fits(waiting.len()) || idle => waiting.len(),
            true => 0,
            false => (0..=waiting.len()).rev().find(|n| fits(*n)).unwrap_or(0),
        };
        let least = usize::from(idle);
        waiting.into_iter().take(allowed.max(least)).collect()
    }

    /// The team's limit as it holds for a step: work that can wait leaves a part
    /// of it to the urgent work that the team sends.
    fn limit_for(
        &self,
        step: StepRef,
        spec: &Step,
        team: &Name,
        waiting: usize,
        cx: &Cx<'_>,
    ) -> Resources {
        let limit = cx.config.team(team).map_or(Resources::ZERO, |t| t.limit);
        let urgent = self
            .ledger
            .jobs
            .get(&step.job)
            .is_some_and(|job| job.urgent);
        let last = self.last_urgent_at.get(team);
        let sends_urgent = last.is_some_and(|at| cx.now() < *at + URGENT_WITHIN);
        if urgent || spec.long_running || !sends_urgent {
            return limit;
        }
        let bound = headroom::bound(limit, self.accounts.urgent(team));
        let whole = match spec.gang {
            true => spec.each.times(waiting as u32),
            false => spec.each,
        };
        match headroom::could_hold(&bound, &whole) {
            true => bound,
            false => limit,
        }
    }

    /// Tasks of a list that still wait.
    pub(crate) fn left(&self, step: StepRef, waiting: &[TaskIndex]) -> Vec<TaskIndex> {
        let waits = |index: &TaskIndex| {
            let task = self.ledger.task(step.task(*index));
            task.is_some_and(crate::ledger::Task::waits)
        };
        waiting.iter().copied().filter(waits).collect()
    }

    /// A backend server as any task sees it.
    pub(crate) fn site(&self, ix: ServerIx) -> Site {
        let server = self.fleet.get(ix);
        let (mut serving, mut filling) = (0, 0);
        for run in &server.runs {
            if let Some(other) = self.ledger.spec(run.task.step) {
                serving += u32::from(other.long_running);
                filling += u32::from(other.fills);
            }
        }
        Site {
            free: server.free(),
            capacity: server.listing.capacity,
            slowness: server.slowness,
            distance: 1.0,
            serving,
            filling,
            avoid: false,
        }
    }
}
