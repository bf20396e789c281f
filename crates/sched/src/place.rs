//! Placement passes: which waiting tasks start now, and where.
//!
//! A pass visits the waiting steps in the order of `policy::rank`. Resources
//! that a higher-ranked step will need soon are withheld from lower-ranked
//! steps.
//!
//! Invariant: a pass never reserves more of a backend server than is free, and
//! never starts a task while a run of it may exist.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use model::{Attempt, Name, Resources, Step, StepIndex, TaskIndex};
use policy::fit::Candidate;
use policy::rank::{Rank, WaitingStep};
use policy::shortage::{Need, Shortages};
use policy::shortlist::{Preference, Prospect, shortlist};

use crate::advice::MAX_SERVERS_PER_QUERY;
use crate::config::AdmissionPolicy;
use crate::event::RUN_NUMBERS_PER_EPOCH;
use crate::fleet::ServerIx;
use crate::ledger::{Job, JobIx, Placement, RunState, StepRef, StepState};
use crate::owner::{Cx, Owner};

/// Blocked gangs may reserve at most one in this many of a service's backend
/// servers.
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
    /// Backend servers that only suspects may use.
    withheld: HashSet<ServerIx>,
    /// Number of backend servers withheld for blocked gangs.
    reserved_servers: usize,
    /// What found no room in this pass.
    shortages: Shortages,
    /// Number of backend servers examined for steps that can't start yet.
    examined: usize,
}

impl ServerPool {
    fn find(&self, ix: ServerIx) -> Option<&Candidate> {
        let found = self.candidates.binary_search_by_key(&ix, |(ix, _)| *ix);
        found.ok().map(|at| &self.candidates[at].1)
    }

    fn find_mut(&mut self, ix: ServerIx) -> Option<&mut Candidate> {
        let found = self.candidates.binary_search_by_key(&ix, |(ix, _)| *ix);
        found.ok().map(|at| &mut self.candidates[at].1)
    }

    fn allocate(&mut self, ix: ServerIx, each: Resources) {
        if let Some(candidate) = self.find_mut(ix) {
            candidate.free = match candidate.on_probation {
                true => Resources::ZERO,
                false => candidate.free.minus(each),
            };
        }
    }
}

/// Result of an attempt to start a suspect apart from other recent starts.
enum Apart {
    Started,
    /// A backend server with room has yet to settle.
    Waits,
    Blocked,
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
        // Limits and admission are unknown before the first configuration.
        if cx.config.version == 0 {
            return;
        }
        self.create_due_occurrences(cx);
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

    fn collect_ranked_steps(&mut self, cx: &Cx<'_>) -> Vec<RankedStep> {
        let may_have_unknown_runs = self.may_have_unknown_runs();
        let mut utilizations = HashMap::new();
        let live = self.fleet.live();
        let total = live.fold(Resources::ZERO, |sum, ix| {
            sum.plus(self.fleet.get(ix).listing.capacity)
        });
        let mut ranked_steps = Vec::new();
        let jobs: Vec<JobIx> = self.ledger.jobs.keys().copied().collect();
        for ix in jobs {
            let Some(job) = self.ledger.jobs.get(&ix) else {
                continue;
            };
            if job.stage.is_terminal() {
                continue;
            }
            let mut steps = ready_steps(ix, job);
            if may_have_unknown_runs && job.inherited {
                let spec = |step: &StepRef| job.graph.steps.get(step.step as usize);
                steps.retain(|step| spec(step).is_some_and(|s| !self.may_run_unknown(s)));
            }
            if steps.is_empty() {
                continue;
            }
            let share_utilization = *utilizations
                .entry(job.team.clone())
                .or_insert_with(|| self.share_utilization(&job.team, &total, cx));
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
        let waiting = WaitingStep {
            arrived_at: job.first_seen_at,
            objective: forecast.objective,
            remaining: *forecast.remaining.get(step.step as usize)?,
            priority: job.settings(cx.config).priority,
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
    fn share_utilization(&self, team: &Name, total: &Resources, cx: &Cx<'_>) -> f64 {
        let weights: u32 = cx.config.teams.iter().map(|team| team.weight.max(1)).sum();
        let weight = cx.config.team(team).map_or(1, |team| team.weight.max(1));
        let entitled = f64::from(weight) / f64::from(weights.max(1));
        let used = self.accounts.used(team).dominant_share(total);
        used / entitled.max(f64::EPSILON)
    }

    fn server_pools(&self, cx: &Cx<'_>) -> ServerPools {
        let timing = &cx.settings.timing;
        let mut pools = ServerPools::new();
        let with_orphans: HashSet<ServerIx> = self.orphan_runs.keys().map(|(ix, _)| *ix).collect();
        for ix in self.fleet.live() {
            let server = self.fleet.get(ix);
            let available = !with_orphans.contains(&ix) && !self.is_in_probation(ix, cx.now());
            if available && server.accepts_work(timing, cx.now()) {
                let service = server.listing.service.clone();
                let pool = pools.entry(service).or_default();
                pool.candidates.push((ix, self.candidate(ix)));
                if cx.now() < server.withheld_until {
                    pool.withheld.insert(ix);
                }
            }
        }
        pools
    }

    fn queue_settings(&self, job: &Job, cx: &Cx<'_>) -> QueueSettings {
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

    /// Starts a suspect, which is a task or a whole gang, apart from other recent starts. If
    /// backend servers with room have yet to settle, withholds them from other tasks until
    /// then.
    fn place_suspect(
        &mut self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        candidates: &[(ServerIx, Candidate)],
        pool: &mut ServerPool,
        cx: &mut Cx<'_>,
    ) -> Apart {
        let each = spec.committed();
        let with_room = candidates.iter().filter_map(|(ix, _)| {
            let candidate = *pool.find(*ix)?;
            each.fits(&candidate.free).then_some((*ix, candidate))
        });
        let all: Vec<(ServerIx, Candidate)> = with_room.collect();
        // The servers to avoid may have just restarted, and be the only ones that have
        // settled, so it waits for the others if they have room.
        let is_sought = |ix: ServerIx| {
            let mut tasks = waiting.iter().map(|index| step.task(*index));
            tasks.all(|task| !self.is_avoided(task, ix))
        };
        let sought: Vec<_> = all
            .iter()
            .filter(|(ix, _)| is_sought(*ix))
            .copied()
            .collect();
        let suffices = self.plan_step(step, spec, waiting, &sought).len() == waiting.len();
        let all = if suffices { sought } else { all };
        let settled = all.iter().filter(|(ix, _)| self.is_settled(*ix, cx.now()));
        let settled: Vec<(ServerIx, Candidate)> = settled.copied().collect();
        let plan = self.plan_step(step, spec, waiting, &settled);
        if plan.len() == waiting.len() {
            self.start_plan(step, spec, &plan, pool, cx);
            for (_, ix) in &plan {
                pool.allocate(*ix, Resources::UNLIMITED);
            }
            return Apart::Started;
        }
        let mut servers: Vec<ServerIx> = self
            .plan_step(step, spec, waiting, &all)
            .into_iter()
            .map(|(_, ix)| ix)
            .collect();
        if servers.len() < waiting.len() {
            return Apart::Blocked;
        }
        // A single suspect waits for the backend server that settles first.
        if let [server] = servers.as_mut_slice() {
            let all = all.iter().map(|(ix, _)| *ix);
            let task = step.task(waiting[0]);
            let first = all.min_by_key(|ix| {
                let avoided = self.is_avoided(task, *ix);
                (avoided, self.fleet.get(*ix).last_start_at, *ix)
            });
            *server = first.unwrap_or(*server);
        }
        let max_withheld = (pool.candidates.len() / RESERVED_DIVISOR).max(1);
        for ix in servers {
            if pool.withheld.len() < max_withheld {
                pool.withheld.insert(ix);
                self.withhold_for_suspect(ix);
            }
        }
        Apart::Waits
    }

    /// Backend servers with room for a task of a step for which they have a valid
    /// ticket.
    fn permitted_candidates(
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
    fn possible_candidates(
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

    /// Queries the external policy about a step for which it has made no decision
    /// yet.
    fn send_first_query(
        &mut self,
        step: StepRef,
        spec: &Step,
        queue: &QueueSettings,
        admission: AdmissionPolicy,
        pool: &mut ServerPool,
        cx: &mut Cx<'_>,
    ) {
        if pool.examined >= MAX_EXAMINED || !self.can_query(step, queue.priority, cx) {
            return;
        }
        let needed = self.ledger.step(step).map_or(0, |s| s.waiting().count());
        pool.examined += pool.candidates.len();
        let servers = self.servers_to_name(step, spec, needed, pool);
        self.query_policy(step, queue.priority, admission, &servers, cx);
    }

    /// Backend servers to name in a query to the external policy about a step with
    /// `needed` tasks to start.
    fn servers_to_name(
        &self,
        step: StepRef,
        spec: &Step,
        needed: usize,
        pool: &ServerPool,
    ) -> Vec<ServerIx> {
        let each = spec.committed();
        let spread = spec.spread.unwrap_or(u32::MAX);
        let Some(job) = self.ledger.jobs.get(&step.job) else {
            return Vec::new();
        };
        let state = self.ledger.step(step);
        let rack = match spec.gang && spec.one_rack {
            true => self.rack_with_most_room(&each, pool),
            false => spec.data_rack.clone(),
        };
        let prospect = |(ix, candidate): &(ServerIx, Candidate)| {
            let listing = &self.fleet.get(*ix).listing;
            let is_near = |rack: &Name| *rack == listing.rack;
            Prospect {
                server: *ix,
                room: each
                    .count_in(&candidate.free)
                    .min(spread.saturating_sub(self.step_runs_on(*ix, step))),
                capacity: each.count_in(&candidate.capacity).min(spread),
                allowed: state.is_some_and(|s| s.admission.allowed.contains(&listing.id)),
                near: rack.as_ref().is_none_or(is_near),
            }
        };
        let capable = pool.candidates.iter();
        let capable = capable.filter(|(ix, candidate)| {
            each.fits(&candidate.capacity) && self.is_eligible(step, spec, *ix)
        });
        let prospects: Vec<Prospect> = capable.map(prospect).collect();
        let salt = u64::from(crc32fast::hash(job.id.as_bytes())) << 32 | u64::from(step.step);
        let grant_rate = self.policy_dispatcher.grant_rate(&job.queue);
        let preference = match each.accelerators {
            0 => Preference::Emptiest,
            _ => Preference::Fullest,
        };
        shortlist(
            prospects,
            needed as u32,
            preference,
            grant_rate,
            salt,
            MAX_SERVERS_PER_QUERY,
        )
    }

    /// Rack with room for the most tasks that need `each`.
    fn rack_with_most_room(&self, each: &Resources, pool: &ServerPool) -> Option<Name> {
        let mut rooms: BTreeMap<&Name, u64> = BTreeMap::new();
        for (ix, candidate) in &pool.candidates {
            let rack = &self.fleet.get(*ix).listing.rack;
            *rooms.entry(rack).or_default() += u64::from(each.count_in(&candidate.free));
        }
        let most = rooms.into_iter().max_by_key(|(_, room)| *room);
        most.map(|(rack, _)| rack.clone())
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

    /// Notes what a service is short of, if it has no room for a need of a step.
    fn note_shortage(&self, need: &Need, pool: &mut ServerPool) {
        let has_label = |ix: ServerIx| {
            let labels = &self.fleet.get(ix).listing.labels;
            need.label.as_ref().is_none_or(|l| labels.contains(l))
        };
        let candidates = pool.candidates.iter();
        let free = candidates.map(|(ix, candidate)| (candidate.free, has_label(*ix)));
        pool.shortages.examine(need, free);
    }

    /// Withholds the backend servers with the most free resources from
    /// lower-ranked steps, until a gang of `count` tasks would fit on them.
    fn reserve_for_gang(&self, step: StepRef, spec: &Step, count: usize, pool: &mut ServerPool) {
        let max_reserved = pool.candidates.len() / RESERVED_DIVISOR;
        let each = spec.committed();
        let capable = pool.candidates.iter().filter(|(ix, candidate)| {
            each.fits(&candidate.capacity) && self.is_eligible(step, spec, *ix)
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
            remaining = remaining.saturating_sub(each.count_in(&candidate.capacity));
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
