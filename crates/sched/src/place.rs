//! Placement passes: which waiting tasks start now, and where.
//!
//! A pass visits the waiting steps in the order of `policy::rank`. Resources
//! that a higher-ranked step will need soon are withheld from lower-ranked
//! steps.
//!
//! Invariant: a pass never reserves more of a backend server than is free, and
//! never starts a task while a run of it may exist.

use std::collections::HashMap;
use std::time::Duration;

use model::{Attempt, Name, Resources, Step, StepIndex, TaskIndex};
use policy::fit::Candidate;
use policy::rank::{Rank, WaitingStep};

use crate::config::AdmissionPolicy;
use crate::event::RUN_NUMBERS_PER_EPOCH;
use crate::fleet::ServerIx;
use crate::ledger::{Job, JobIx, StepRef, StepState};
use crate::owner::{Cx, Owner};

/// Blocked gangs may reserve at most one in this many of a service's backend
/// servers.
const RESERVED_DIVISOR: usize = 3;
/// Number of blocked steps of one service after which a pass skips the
/// remaining ones: the service is full, and a pass has to stay short under a
/// long backlog.
const MAX_BLOCKED_STEPS: usize = 32;
/// Time that a pass takes per waiting step on one full core, with 2,000 waiting
/// steps.
const PASS_TIME_PER_STEP: Duration = Duration::from_micros(2);
/// Passes use at most one part in this many of the owner's CPU time. The rest
/// is for its calls, without which no placed task starts.
const PASS_CPU_DIVISOR: u32 = 4;
/// Lower bound on this VM's share of a CPU core when the pause between passes is
/// computed.
const MIN_CPU_SHARE: f64 = 0.05;
/// Priority of jobs whose queue is no longer configured.
const DEFAULT_PRIORITY: u32 = 2;

/// A ready step with tasks to start.
#[derive(Clone, Copy, Debug)]
struct RankedStep {
    step: StepRef,
    rank: Rank,
}

/// Settings of a step's queue that apply to its placement.
pub(crate) struct QueueSettings {
    pub(crate) service: Name,
    pub(crate) priority: u32,
    pub(crate) admission: Option<AdmissionPolicy>,
}

/// Backend servers of one service that accept work, with the resources left in
/// this pass.
#[derive(Default)]
pub(crate) struct ServerPool {
    /// In ascending order of index.
    pub(crate) candidates: Vec<(ServerIx, Candidate)>,
    /// Number of backend servers withheld for blocked gangs.
    reserved_servers: usize,
    /// Number of steps that found no backend server in this pass.
    blocked_steps: usize,
}

impl ServerPool {
    fn candidate(&mut self, ix: ServerIx) -> Option<&mut Candidate> {
        let found = self.candidates.binary_search_by_key(&ix, |(ix, _)| *ix);
        found.ok().map(|at| &mut self.candidates[at].1)
    }

    fn allocate(&mut self, ix: ServerIx, each: Resources) {
        if let Some(candidate) = self.candidate(ix) {
            candidate.free = candidate.free.minus(each);
        }
    }
}

/// Server pools of one pass, by service.
type ServerPools = HashMap<Name, ServerPool>;

/// Backend servers chosen for tasks of one step.
pub(crate) type Plan = Vec<(TaskIndex, ServerIx)>;

impl Owner {
    /// Runs a placement pass.
    pub(crate) fn place(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.tables_loaded || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        self.create_due_occurrences(cx);
        let mut ranked_steps = self.collect_ranked_steps(cx);
        ranked_steps.sort_by_key(|ranked| (ranked.rank, ranked.step));
        self.waiting_steps = ranked_steps.len() as u32;
        let pass_time = PASS_TIME_PER_STEP * self.waiting_steps;
        self.min_place_interval =
            (pass_time * PASS_CPU_DIVISOR).div_f64(cx.settings.cpu_share.max(MIN_CPU_SHARE));
        let mut pools = self.server_pools(cx);
        for ranked in ranked_steps {
            self.place_step(&ranked, &mut pools, cx);
        }
    }

    /// Creates the step states of occurrences that are due.
    fn create_due_occurrences(&mut self, cx: &Cx<'_>) {
        let early = cx.settings.timing.early_start;
        for job in self.ledger.jobs.values_mut() {
            if job.stage.is_terminal() {
                continue;
            }
            // Occurrences are created in order, but restoring after a takeover can
            // leave gaps.
            let created = job.occurrences.len() as u32;
            let next = (0..created).find(|n| !job.occurrences.contains_key(n));
            for occurrence in next.unwrap_or(created)..job.graph.occurrences() {
                let due = job.graph.recurrence.map(|r| r.due(occurrence));
                if due.is_some_and(|due| cx.time.unix + early < due) {
                    break;
                }
                job.create_occurrence(occurrence);
            }
        }
    }

    fn collect_ranked_steps(&mut self, cx: &Cx<'_>) -> Vec<RankedStep> {
        let may_have_unknown_runs = self.may_have_unknown_runs();
        let mut utilizations = HashMap::new();
        let mut ranked_steps = Vec::new();
        let jobs: Vec<JobIx> = self.ledger.jobs.keys().copied().collect();
        for ix in jobs {
            let Some(job) = self.ledger.jobs.get(&ix) else {
                continue;
            };
            if job.stage.is_terminal() || (may_have_unknown_runs && job.inherited) {
                continue;
            }
            let steps = ready_steps(ix, job);
            if steps.is_empty() {
                continue;
            }
            let share_utilization = *utilizations
                .entry(job.team.clone())
                .or_insert_with(|| self.share_utilization(&job.team, cx));
            self.refresh_forecast(ix, cx);
            for step in steps {
                let rank = self.rank(step, share_utilization, cx);
                ranked_steps.extend(rank.map(|rank| RankedStep { step, rank }));
            }
        }
        for ranked in &ranked_steps {
            self.mark_ready(ranked.step, cx);
        }
        ranked_steps
    }

    fn rank(&self, step: StepRef, share_utilization: f64, cx: &Cx<'_>) -> Option<Rank> {
        let job = self.ledger.jobs.get(&step.job)?;
        let forecast = job.forecast.as_ref()?;
        let queue = cx.config.queue(&job.queue);
        let waiting = WaitingStep {
            arrived_at: job.first_seen_at,
            objective: forecast.objective,
            remaining: *forecast.remaining.get(step.step as usize)?,
            priority: queue.map_or(DEFAULT_PRIORITY, |queue| queue.priority),
            beyond_rate: job.beyond_rate,
            long_running: job.graph.steps.get(step.step as usize)?.long_running,
            share_utilization,
        };
        Some(waiting.rank(cx.now()))
    }

    fn mark_ready(&mut self, step: StepRef, cx: &Cx<'_>) {
        if let Some(state) = self.ledger.step_mut(step) {
            state.ready_since.get_or_insert(cx.now());
        }
    }

    /// A team's dominant share of the fleet relative to the share it is entitled
    /// to by weight; 1 means that it uses exactly its entitlement.
    fn share_utilization(&self, team: &Name, cx: &Cx<'_>) -> f64 {
        let live = self.fleet.live();
        let total = live.fold(Resources::ZERO, |sum, ix| {
            sum.plus(self.fleet.get(ix).listing.capacity)
        });
        let weights: u32 = cx.config.teams.iter().map(|team| team.weight.max(1)).sum();
        let weight = cx.config.team(team).map_or(1, |team| team.weight.max(1));
        let entitled = f64::from(weight) / f64::from(weights.max(1));
        let used = self.accounts.used(team).dominant_share(&total);
        used / entitled.max(f64::EPSILON)
    }

    fn server_pools(&self, cx: &Cx<'_>) -> ServerPools {
        let timing = &cx.settings.timing;
        let mut pools = ServerPools::new();
        for ix in self.fleet.live() {
            let server = self.fleet.get(ix);
            let has_orphans = self.orphan_runs.keys().any(|(other, _)| *other == ix);
            if !has_orphans && server.accepts_work(timing, cx.now()) {
                let service = server.listing.service.clone();
                pools
                    .entry(service)
                    .or_default()
                    .candidates
                    .push((ix, self.candidate(ix)));
            }
        }
        pools
    }

    fn queue_settings(&self, job: &Job, cx: &Cx<'_>) -> QueueSettings {
        match cx.config.queue(&job.queue) {
            Some(queue) => QueueSettings {
                service: queue.service.clone(),
                priority: queue.priority,
                admission: queue.admission,
            },
            None => QueueSettings {
                service: job.service.clone(),
                priority: DEFAULT_PRIORITY,
                admission: None,
            },
        }
    }

    fn place_step(&mut self, ranked: &RankedStep, pools: &mut ServerPools, cx: &mut Cx<'_>) {
        let Some(job) = self.ledger.jobs.get(&ranked.step.job) else {
            return;
        };
        let (graph, team) = (job.graph.clone(), job.team.clone());
        let queue = self.queue_settings(job, cx);
        let (Some(spec), Some(pool)) = (
            graph.steps.get(ranked.step.step as usize),
            pools.get_mut(&queue.service),
        ) else {
            return;
        };
        if pool.blocked_steps >= MAX_BLOCKED_STEPS {
            return; // Lower-ranked steps would not find room either.
        }
        if let Some(admission) = queue
            .admission
            .filter(|_| self.has_no_decision(ranked.step))
        {
            self.send_first_query(ranked.step, spec, &queue, admission, pool, cx);
            return; // It is not known yet where the step may run.
        }
        let waiting = self.tasks_within_limit(ranked.step, spec, &team, cx);
        if waiting.is_empty() {
            return;
        }
        let eligible = |ix: ServerIx| self.is_eligible(ranked.step, spec, ix, Some(&queue), cx);
        let plan = self.plan_step(ranked.step, spec, &waiting, pool, eligible);
        let complete = plan.len() == waiting.len();
        if !spec.gang || complete {
            self.start_plan(ranked.step, spec, &plan, pool, cx);
        }
        if !complete {
            self.handle_blocked(ranked, spec, &queue, &waiting, pool, cx);
        }
    }

    /// Queries the external policy about a step for which it has made no decision
    /// yet.
    fn send_first_query(
        &mut self,
        step: StepRef,
        spec: &Step,
        queue: &QueueSettings,
        admission: AdmissionPolicy,
        pool: &ServerPool,
        cx: &mut Cx<'_>,
    ) {
        if !self.can_query(step, queue.priority, cx) {
            return;
        }
        let each = spec.committed();
        let capable = pool.candidates.iter();
        let capable = capable.filter(|(_, candidate)| each.fits(&candidate.capacity));
        let servers = capable.map(|(ix, _)| *ix);
        let servers: Vec<ServerIx> = servers
            .filter(|ix| self.is_eligible(step, spec, *ix, None, cx))
            .collect();
        self.query_policy(step, queue.priority, admission, &servers, cx);
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
        let eligible = |ix: ServerIx| self.is_eligible(step, spec, ix, None, cx);
        let plan = self.plan_step(step, spec, &remaining, pool, eligible);
        let should_query = !plan.is_empty() && self.can_query(step, queue.priority, cx);
        if let Some(admission) = queue.admission.filter(|_| should_query) {
            let each = spec.committed();
            let with_room = pool
                .candidates
                .iter()
                .filter(|(_, candidate)| each.fits(&candidate.free));
            let servers = with_room.map(|(ix, _)| *ix);
            let servers: Vec<ServerIx> = servers
                .filter(|ix| self.is_eligible(step, spec, *ix, None, cx))
                .collect();
            self.query_policy(step, queue.priority, admission, &servers, cx);
        }
        pool.blocked_steps += usize::from(plan.is_empty());
        for (_, server) in &plan {
            pool.allocate(*server, spec.committed());
        }
        if spec.gang && plan.is_empty() {
            self.reserve_for_gang(step, spec, waiting.len(), pool, cx);
        }
    }

    /// Withholds the backend servers with the most free resources from
    /// lower-ranked steps, until a gang of `count` tasks would fit on them.
    fn reserve_for_gang(
        &self,
        step: StepRef,
        spec: &Step,
        count: usize,
        pool: &mut ServerPool,
        cx: &Cx<'_>,
    ) {
        let max_reserved = pool.candidates.len() / RESERVED_DIVISOR;
        let each = spec.committed();
        let capable = pool.candidates.iter().filter(|(ix, candidate)| {
            each.fits(&candidate.capacity) && self.is_eligible(step, spec, *ix, None, cx)
        });
        let mut capable: Vec<(ServerIx, Candidate)> = capable.copied().collect();
        capable.sort_by_key(|(ix, candidate)| {
            let free = (candidate.free.accelerators, candidate.free.millicpus);
            (std::cmp::Reverse(free), *ix)
        });
        let mut remaining = count as u32;
        for (ix, candidate) in capable {
            if remaining == 0 || pool.reserved_servers >= max_reserved {
                return;
            }
            remaining = remaining.saturating_sub(tasks_that_fit(&each, &candidate.capacity));
            pool.reserved_servers += 1;
            pool.allocate(ix, Resources::UNLIMITED);
        }
    }
}

/// Ready steps of a job that have tasks to start.
fn ready_steps(ix: JobIx, job: &Job) -> Vec<StepRef> {
    let mut steps = Vec::new();
    for (&occurrence, states) in &job.occurrences {
        for (step, state) in states.iter().enumerate() {
            if has_waiting(state) && job.is_ready(occurrence, step as StepIndex) {
                steps.push(StepRef {
                    job: ix,
                    occurrence,
                    step: step as StepIndex,
                });
            }
        }
    }
    steps
}

fn has_waiting(state: &StepState) -> bool {
    !state.is_done() && state.waiting().next().is_some()
}

/// Number of tasks that need `each` and fit into `capacity`.
fn tasks_that_fit(each: &Resources, capacity: &Resources) -> u32 {
    let (each, capacity) = (each.dims(), capacity.dims());
    let per_dimension = each.iter().zip(capacity).filter(|(e, _)| **e > 0);
    per_dimension.map(|(e, c)| c / e).min().unwrap_or(u32::MAX)
}
