//! Placement passes: which waiting tasks start now, and where.
//!
//! A pass visits the waiting steps in the order of `policy::rank`. Resources
//! that a higher-ranked step will need soon are withheld from lower-ranked
//! steps.
//!
//! Invariant: a pass never reserves more of a backend server than is free, and
//! never starts a task while a run of it may exist, except for copies.

pub(crate) mod copies;
pub(crate) mod gang;
pub(crate) mod pool;
pub(crate) mod query;
pub(crate) mod rank;
pub(crate) mod suspect;

use std::time::Duration;

use model::{Attempt, Name, Step, TaskIndex};
use policy::fit::Candidate;
use policy::shortage::Need;

use crate::config::AdmissionPolicy;
use crate::event::RUN_NUMBERS_PER_EPOCH;
use crate::fleet::ServerIx;
use crate::ledger::{Job, Placement, RunState, StepRef, StepState};
use crate::owner::{Cx, Owner};
use crate::place::pool::{ServerPool, ServerPools};
use crate::place::rank::RankedStep;
use crate::place::suspect::Apart;

/// Blocked gangs, and suspects that wait, may each withhold at most one in this many of a
/// service's backend servers.
const RESERVED_DIVISOR: usize = 3;
/// Number of backend servers that a pass examines for steps that can't start yet:
/// to withhold room from lower-ranked steps and to choose what to ask the external
/// policy about. A pass over a long backlog thereby costs a few milliseconds on one
/// full core, and the highest-ranked steps are examined.
const MAX_EXAMINED: usize = 12_000;
/// Time that examining one backend server takes on one full core.
const TIME_PER_EXAMINED: Duration = Duration::from_nanos(300);
/// Number of start orders that may wait for their record or for a response, for
/// each full core of this VM: those that it sends in some 200 ms. More would only
/// wait here while their tickets expire.
const STARTS_IN_FLIGHT_PER_CORE: f64 = 800.0;
/// Time that a pass takes per waiting step on one full core, with 2,000 waiting
/// steps.
const PASS_TIME_PER_STEP: Duration = Duration::from_micros(2);
/// Passes use at most one part in this many of the owner's CPU time. The rest
/// is for its calls, without which no placed task starts.
const PASS_CPU_DIVISOR: u32 = 4;
/// Lower bound on this VM's share of a CPU core when the pause between passes is
/// computed.
const MIN_CPU_SHARE: f64 = 0.05;

/// Settings of a step's queue that apply to its placement.
pub(crate) struct QueueSettings {
    pub(crate) service: Name,
    pub(crate) priority: u32,
    pub(crate) admission: Option<AdmissionPolicy>,
}

/// Backend servers chosen for tasks of one step.
pub(crate) type Plan = Vec<(TaskIndex, ServerIx)>;

impl Owner {
    /// Runs a placement pass.
    pub(crate) fn place(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.tables_loaded || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        // Limits and admission are unknown before the first configuration.
        if cx.config.version == 0 {
            return;
        }
        self.create_due_occurrences(cx);
        self.observe_lasting_probes(cx.now());
        let mut ranked_steps = self.collect_ranked_steps(cx);
        ranked_steps.sort_by_key(|ranked| (ranked.rank, ranked.step));
        self.waiting_steps = ranked_steps.len() as u32;
        let mut pools = self.server_pools(cx);
        let cpu_share = cx.settings.cpu_share.max(MIN_CPU_SHARE);
        let max_in_flight = (STARTS_IN_FLIGHT_PER_CORE * cpu_share) as usize;
        let mut in_flight = self.starts_in_flight();
        for ranked in ranked_steps {
            if in_flight >= max_in_flight {
                break; // The next pass follows when these are answered.
            }
            in_flight += self.place_step(&ranked, &mut pools, cx);
        }
        if in_flight < max_in_flight {
            self.start_copies(&mut pools, cx);
        }
        let examined: usize = pools.values().map(|pool| pool.examined).sum();
        let pass_time =
            PASS_TIME_PER_STEP * self.waiting_steps + TIME_PER_EXAMINED * examined as u32;
        self.min_place_interval = (pass_time * PASS_CPU_DIVISOR).div_f64(cpu_share);
    }

    /// Number of runs whose start order was not sent yet or not answered.
    fn starts_in_flight(&self) -> usize {
        let runs = self.ledger.runs.values();
        let unanswered =
            |placed: &&Placement| matches!(placed.state, RunState::Planned | RunState::Starting);
        runs.filter(unanswered).count()
    }

    /// Creates the step states of occurrences that are due. A job has a bounded number of
    /// open ones at once; the others follow, in order, when these are completed.
    fn create_due_occurrences(&mut self, cx: &Cx<'_>) {
        let early = cx.settings.timing.early_start;
        for job in self.ledger.jobs.values_mut() {
            if job.stage.is_terminal() {
                continue;
            }
            // Occurrences are created in order, but restoring after a takeover can
            // leave gaps.
            let created = job.occurrences.len() as u32;
            if created == job.graph.occurrences() {
                continue;
            }
            let next = (0..created).find(|n| !job.occurrences.contains_key(n));
            let is_open = |steps: &&Vec<StepState>| !steps.iter().all(StepState::is_done);
            let open = job.occurrences.values().filter(is_open).count() as u32;
            let mut room = job.graph.max_open_occurrences().saturating_sub(open);
            for occurrence in next.unwrap_or(created)..job.graph.occurrences() {
                let due = job.graph.recurrence.map(|r| r.due(occurrence));
                if due.is_some_and(|due| cx.time.unix + early < due) || room == 0 {
                    break;
                }
                room -= u32::from(!job.occurrences.contains_key(&occurrence));
                job.create_occurrence(occurrence);
            }
        }
    }

    pub(crate) fn queue_settings(&self, job: &Job, cx: &Cx<'_>) -> QueueSettings {
        let settings = job.settings(cx.config);
        QueueSettings {
            service: job.current_service(cx.config),
            priority: settings.priority,
            admission: settings.admission,
        }
    }

    /// Starts what can start of a step, and returns the number of runs planned.
    fn place_step(
        &mut self,
        ranked: &RankedStep,
        pools: &mut ServerPools,
        cx: &mut Cx<'_>,
    ) -> usize {
        let Some(job) = self.ledger.jobs.get(&ranked.step.job) else {
            return 0;
        };
        let (graph, team) = (job.graph.clone(), job.team.clone());
        let queue = self.queue_settings(job, cx);
        let (Some(spec), Some(pool)) = (
            graph.steps.get(ranked.step.step as usize),
            pools.get_mut(&queue.service),
        ) else {
            return 0;
        };
        let state = self.ledger.step(ranked.step);
        let need = Need {
            each: spec.committed(),
            tasks: match spec.gang {
                true => state.map_or(1, |state| state.tasks.len() as u32),
                false => 1,
            },
            label: spec.label.clone(),
        };
        if pool.shortages.covers(&need) {
            return 0;
        }
        if let Some(admission) = queue
            .admission
            .filter(|_| self.has_no_decision(ranked.step))
        {
            self.send_first_query(ranked.step, spec, &queue, admission, pool, cx);
            return 0; // It is not known yet where the step may run.
        }
        let waiting = self.tasks_within_limit(ranked.step, spec, &team, cx);
        if waiting.is_empty() {
            return 0;
        }
        let candidates = match queue.admission {
            Some(_) => self.permitted_candidates(ranked.step, spec, pool, cx),
            None => self.possible_candidates(ranked.step, spec, pool),
        };
        let is_suspect = |index: &TaskIndex| self.is_suspect(ranked.step.task(*index));
        let (mut suspects, others): (Vec<TaskIndex>, Vec<TaskIndex>) =
            waiting.iter().partition(|index| is_suspect(index));
        suspects.retain(|index| !self.awaits_verdict(ranked.step.task(*index)));
        let plan = match () {
            () if others.is_empty() => Plan::new(),
            () if pool.withheld.is_empty() => {
                self.plan_step(ranked.step, spec, &others, &candidates)
            }
            () => {
                let free = candidates.iter();
                let free = free.filter(|(ix, _)| !pool.withheld.contains(ix));
                let free: Vec<(ServerIx, Candidate)> = free.copied().collect();
                self.plan_step(ranked.step, spec, &others, &free)
            }
        };
        let complete = plan.len() == others.len();
        let mut planned = match !spec.gang || complete {
            true => plan.len(),
            false => 0,
        };
        if planned > 0 {
            self.start_plan(ranked.step, spec, &plan, pool, cx);
        }
        // What waits only for a backend server to settle has room and tickets.
        let groups: Vec<&[TaskIndex]> = match spec.gang {
            true => vec![&suspects],
            false => suspects.chunks(1).collect(),
        };
        let mut blocked = !complete;
        for group in groups.into_iter().filter(|group| !group.is_empty()) {
            match self.place_suspect(ranked.step, spec, group, &candidates, pool, cx) {
                Apart::Started => planned += group.len(),
                Apart::Waits => {}
                Apart::Blocked => blocked = true,
            }
        }
        if blocked {
            self.note_shortage(&need, pool);
        }
        if blocked && pool.examined < MAX_EXAMINED {
            self.handle_blocked(ranked, spec, &queue, &waiting, pool, cx);
        }
        planned
    }

    /// Backend servers with room for a task of a step for which they have a valid
    /// ticket.
    pub(crate) fn permitted_candidates(
        &self,
        step: StepRef,
        spec: &Step,
        pool: &ServerPool,
        cx: &Cx<'_>,
    ) -> Vec<(ServerIx, Candidate)> {
        let Some(state) = self.ledger.step(step) else {
            return Vec::new();
        };
        // The start order is sent once the run is recorded.
        let sent_by = cx.now() + self.commits.expected_latency();
        let tickets = state.admission.tickets.iter();
        let usable = tickets.filter(|(_, (_, until))| sent_by < *until);
        let mut servers: Vec<ServerIx> = usable.filter_map(|(id, _)| self.fleet.find(id)).collect();
        servers.sort_unstable();
        let each = spec.committed();
        let candidate = |ix: ServerIx| {
            let candidate = *pool.find(ix)?;
            let eligible = each.fits(&candidate.free) && self.is_eligible(step, spec, ix);
            eligible.then_some((ix, candidate))
        };
        servers.into_iter().filter_map(candidate).collect()
    }

    /// Backend servers with room for a task of a step that the external policy has
    /// not denied.
    pub(crate) fn possible_candidates(
        &self,
        step: StepRef,
        spec: &Step,
        pool: &ServerPool,
    ) -> Vec<(ServerIx, Candidate)> {
        let each = spec.committed();
        let candidates = pool.candidates.iter();
        let eligible = candidates.filter(|(ix, candidate)| {
            each.fits(&candidate.free) && self.is_eligible(step, spec, *ix)
        });
        eligible.copied().collect()
    }

    fn start_plan(
        &mut self,
        step: StepRef,
        spec: &Step,
        plan: &Plan,
        pool: &mut ServerPool,
        cx: &mut Cx<'_>,
    ) {
        let base = cx.term.epoch().saturating_sub(1) * RUN_NUMBERS_PER_EPOCH;
        let Some(state) = self.ledger.step(step) else {
            return;
        };
        let last = |index: TaskIndex| state.tasks[index as usize].last_run_number;
        let highest = plan.iter().map(|(index, _)| last(*index)).max();
        let numbered: Vec<(TaskIndex, ServerIx, Attempt)> = plan
            .iter()
            .map(|(index, server)| {
                let last = match spec.gang {
                    true => highest.unwrap_or(0),
                    false => last(*index),
                };
                (*index, *server, last.max(base) + 1)
            })
            .collect();
        for (index, server, number) in numbered {
            pool.allocate(server, spec.committed());
            self.plan_start(step.task(index).run(number), server, cx);
        }
    }

    /// Handles a step of which not every task could start: requests tickets if
    /// only those are missing, and withholds the resources that it will need
    /// from lower-ranked steps.
    fn handle_blocked(
        &mut self,
        ranked: &RankedStep,
        spec: &Step,
        queue: &QueueSettings,
        waiting: &[TaskIndex],
        pool: &mut ServerPool,
        cx: &mut Cx<'_>,
    ) {
        let step = ranked.step;
        let remaining = self.still_waiting(step, waiting);
        pool.examined += pool.candidates.len();
        let candidates = self.possible_candidates(step, spec, pool);
        let plan = self.plan_step(step, spec, &remaining, &candidates);
        let should_query = !plan.is_empty() && self.can_query(step, queue.priority, cx);
        if let Some(admission) = queue.admission.filter(|_| should_query) {
            let servers = self.servers_to_name(step, spec, remaining.len(), pool);
            self.query_policy(step, queue.priority, admission, &servers, cx);
        }
        for (_, server) in &plan {
            pool.allocate(*server, spec.committed());
        }
        if spec.gang && plan.is_empty() {
            self.reserve_for_gang(step, spec, waiting.len(), pool);
        }
    }
}
