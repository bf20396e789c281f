//! Placement: which waiting tasks start now, and where.
//!
//! Steps are served by the priority of their queue, then by their team's
//! weighted share, then by deadline. What a higher-ranked step will need soon
//! is kept from lower-ranked ones.
//!
//! Invariant: a pass never commits more of a backend server than is free, and
//! a task never starts while a run of it may exist.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::{Attempt, Name, Resources, Step, StepIndex, TaskIndex};
use policy::fit::{self, Kind, Site};

use crate::config::Admission;
use crate::event::ATTEMPTS_PER_EPOCH;
use crate::fleet::ServerIx;
use crate::ledger::{Job, JobIx, StepRef, StepState};
use crate::owner::{Cx, Owner};

/// Width of the bands in which teams count as equally served.
const SHARE_BAND: f64 = 0.05;
/// Part of a service's backend servers that blocked gangs may keep free.
const RESERVED_PART: usize = 3;
/// Priority of work whose queue is no longer configured.
const DEFAULT_PRIORITY: u32 = 2;

/// A step with tasks to start.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    step: StepRef,
    priority: u32,
    band: u32,
    deadline: Duration,
}

/// What a step's queue says.
struct Terms {
    service: Name,
    priority: u32,
    admission: Option<Admission>,
}

/// Room left in one pass.
struct Pass {
    free: HashMap<ServerIx, Resources>,
    reserved: HashSet<ServerIx>,
}

impl Pass {
    fn free(&self, ix: ServerIx) -> Resources {
        self.free.get(&ix).copied().unwrap_or(Resources::ZERO)
    }

    fn take(&mut self, ix: ServerIx, each: Resources) {
        if let Some(free) = self.free.get_mut(&ix) {
            *free = free.minus(each);
        }
    }
}

/// Places for the tasks of one step: task and backend server.
type Plan = Vec<(TaskIndex, ServerIx)>;

impl Owner {
    /// Starts what can start.
    pub(crate) fn place(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.loaded || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        self.open_due(cx);
        let mut wanted = self.wanted(cx);
        wanted.sort_by_key(|w| (w.priority, w.band, w.deadline, w.step));
        let mut pass = self.pass(cx);
        for entry in wanted {
            self.place_step(&entry, &mut pass, cx);
        }
    }

    /// Makes the steps of occurrences that are due.
    fn open_due(&mut self, cx: &Cx<'_>) {
        let early = cx.settings.timing.early;
        for job in self.ledger.jobs.values_mut() {
            if job.stage.is_final() {
                continue;
            }
            // Occurrences come in order, except after a takeover.
            let opened = job.rounds.len() as u32;
            let next = (0..opened).find(|n| !job.rounds.contains_key(n));
            for occurrence in next.unwrap_or(opened)..job.graph.occurrences() {
                let due = job.graph.recurrence.map(|r| r.due(occurrence));
                if due.is_some_and(|due| cx.time.unix + early < due) {
                    break;
                }
                job.open(occurrence);
            }
        }
    }

    fn wanted(&mut self, cx: &Cx<'_>) -> Vec<Wanted> {
        let unseen = self.may_run_unseen();
        let mut bands = HashMap::new();
        let mut wanted = Vec::new();
        let jobs: Vec<JobIx> = self.ledger.jobs.keys().copied().collect();
        for ix in jobs {
            let Some(job) = self.ledger.jobs.get(&ix) else {
                continue;
            };
            if job.stage.is_final() || (unseen && job.inherited) {
                continue;
            }
            let steps = ready_steps(ix, job);
            if steps.is_empty() {
                continue;
            }
            let priority = cx
                .config
                .queue(&job.queue)
                .map_or(DEFAULT_PRIORITY, |q| q.priority);
            let band = *bands
                .entry(job.team.clone())
                .or_insert_with(|| self.band(&job.team, cx));
            let deadline = self.deadline(job, cx);
            for step in steps {
                self.note_ready(step, cx);
                wanted.push(Wanted {
                    step,
                    priority,
                    band,
                    deadline,
                });
            }
        }
        wanted
    }

    fn note_ready(&mut self, step: StepRef, cx: &Cx<'_>) {
        if let Some(state) = self.ledger.step_mut(step) {
            state.ready_since.get_or_insert(cx.now());
        }
    }

    /// How well a team is served, in bands of its weighted dominant share.
    fn band(&self, team: &Name, cx: &Cx<'_>) -> u32 {
        let total = self.fleet.live().fold(Resources::ZERO, |sum, ix| {
            sum.plus(self.fleet.get(ix).listing.capacity)
        });
        let weights: u32 = cx.config.teams.iter().map(|team| team.share.max(1)).sum();
        let share = cx.config.team(team).map_or(1, |team| team.share.max(1));
        let entitled = f64::from(share) / f64::from(weights.max(1));
        let used = self.accounts.used(team).dominant_share(&total);
        // Below its entitlement a team is not held back by having more than
        // another one.
        let over = (used / entitled.max(f64::EPSILON) - 1.0).max(0.0);
        (over / SHARE_BAND) as u32
    }

    /// Time until which a job is worth most, by declared run times.
    fn deadline(&self, job: &Job, cx: &Cx<'_>) -> Duration {
        let (slack, target) = cx
            .config
            .queue(&job.queue)
            .map_or((1.0, Duration::ZERO), |q| (q.slack, q.latency_target));
        job.since + target + self.chain(job).mul_f64(slack.max(1.0))
    }

    /// Longest chain of run times through a job's steps, learned ones where
    /// they are known.
    fn chain(&self, job: &Job) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(job.graph.steps.len());
        for step in &job.graph.steps {
            let before = step.after.iter().filter_map(|p| ends.get(*p as usize));
            let start = before.max().copied().unwrap_or(Duration::ZERO);
            ends.push(start + self.expected(step));
        }
        ends.into_iter().max().unwrap_or(Duration::ZERO)
    }

    /// Expected run time of a task of a step.
    pub(crate) fn expected(&self, step: &Step) -> Duration {
        let class = self.images.get(&step.image);
        let learned = class.and_then(|class| self.estimates.mean_ms(*class));
        learned.map_or(step.estimate, Duration::from_millis)
    }

    fn pass(&self, cx: &Cx<'_>) -> Pass {
        let timing = &cx.settings.timing;
        let usable = self.fleet.live().filter(|ix| {
            self.fleet.get(*ix).takes_work(timing, cx.now())
                && !self.strays.keys().any(|(server, _)| server == ix)
        });
        Pass {
            free: usable.map(|ix| (ix, self.fleet.get(ix).free())).collect(),
            reserved: HashSet::new(),
        }
    }

    fn terms(&self, job: &Job, cx: &Cx<'_>) -> Terms {
        match cx.config.queue(&job.queue) {
            Some(queue) => Terms {
                service: queue.service.clone(),
                priority: queue.priority,
                admission: queue.admission,
            },
            None => Terms {
                service: job.service.clone(),
                priority: DEFAULT_PRIORITY,
                admission: None,
            },
        }
    }

    fn place_step(&mut self, wanted: &Wanted, pass: &mut Pass, cx: &mut Cx<'_>) {
        let Some(job) = self.ledger.jobs.get(&wanted.step.job) else {
            return;
        };
        let (graph, team) = (job.graph.clone(), job.team.clone());
        let terms = self.terms(job, cx);
        let Some(spec) = graph.steps.get(wanted.step.step as usize) else {
            return;
        };
        let candidates = self.candidates(wanted.step, spec, &terms.service, pass);
        let usable = self.usable(wanted.step, &candidates, &terms, cx);
        let waiting = self.limited(wanted.step, spec, &team, cx);
        if waiting.is_empty() {
            return;
        }
        let plan = self.plan(wanted.step, spec, &waiting, &usable, pass);
        let complete = plan.len() == waiting.len();
        if !spec.gang || complete {
            self.start_plan(wanted.step, spec, &plan, pass, cx);
        }
        if !complete {
            self.blocked(wanted, spec, &terms, &candidates, &waiting, pass, cx);
        }
    }

    /// Backend servers that the step may run on as far as is known.
    fn candidates(&self, step: StepRef, spec: &Step, service: &Name, pass: &Pass) -> Vec<ServerIx> {
        let denied = self.ledger.step(step).map(|state| &state.grant.denied);
        let mut candidates: Vec<ServerIx> = pass
            .free
            .keys()
            .copied()
            .filter(|ix| {
                let listing = &self.fleet.get(*ix).listing;
                listing.service == *service
                    && spec.committed().fits(&listing.capacity)
                    && spec
                        .label
                        .as_ref()
                        .is_none_or(|l| listing.labels.contains(l))
                    && !denied.is_some_and(|denied| denied.contains(&listing.id))
            })
            .collect();
        candidates.sort_unstable();
        candidates
    }

    /// Candidates for which the step has a valid ticket, where it needs one.
    fn usable(
        &self,
        step: StepRef,
        candidates: &[ServerIx],
        terms: &Terms,
        cx: &Cx<'_>,
    ) -> Vec<ServerIx> {
        if terms.admission.is_none() {
            return candidates.to_vec();
        }
        let Some(state) = self.ledger.step(step) else {
            return Vec::new();
        };
        let valid = |ix: &ServerIx| {
            let ticket = state.grant.tickets.get(&self.fleet.get(*ix).listing.id);
            ticket.is_some_and(|(_, until)| cx.now() < *until)
        };
        candidates.iter().copied().filter(valid).collect()
    }

    /// Waiting tasks that the team's limit leaves room for.
    fn limited(&self, step: StepRef, spec: &Step, team: &Name, cx: &Cx<'_>) -> Vec<TaskIndex> {
        let Some(state) = self.ledger.step(step) else {
            return Vec::new();
        };
        let waiting: Vec<TaskIndex> = state.waiting().collect();
        if spec.gang && waiting.len() < state.tasks.len() {
            return Vec::new(); // Members of the last run are not over yet.
        }
        let limit = cx.config.team(team).map_or(Resources::ZERO, |t| t.limit);
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

    /// Places for as many of the tasks as possible; for a gang all or none.
    fn plan(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        servers: &[ServerIx],
        pass: &Pass,
    ) -> Plan {
        if spec.gang && spec.one_rack {
            let mut racks: Vec<&Name> = servers
                .iter()
                .map(|ix| &self.fleet.get(*ix).listing.rack)
                .collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let within = |ix: &ServerIx| self.fleet.get(*ix).listing.rack == *rack;
                let there: Vec<ServerIx> = servers.iter().copied().filter(within).collect();
                let plan = self.fill(step, spec, waiting, &there, pass);
                if plan.len() == waiting.len() {
                    return plan;
                }
            }
        }
        let plan = self.fill(step, spec, waiting, servers, pass);
        match spec.gang && plan.len() < waiting.len() {
            true => Plan::new(),
            false => plan,
        }
    }

    fn fill(
        &self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        servers: &[ServerIx],
        pass: &Pass,
    ) -> Plan {
        let mut sites: Vec<(ServerIx, Site, u32)> = servers
            .iter()
            .map(|ix| (*ix, self.site(*ix, spec, pass), self.count_there(*ix, step)))
            .collect();
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

    fn site(&self, ix: ServerIx, spec: &Step, pass: &Pass) -> Site {
        let server = self.fleet.get(ix);
        let far = spec
            .data_rack
            .as_ref()
            .is_some_and(|rack| *rack != server.listing.rack);
        let (mut serving, mut filling) = (0, 0);
        for run in &server.runs {
            if let Some(other) = self.ledger.spec(run.task.step) {
                serving += u32::from(other.long_running);
                filling += u32::from(other.fills);
            }
        }
        Site {
            free: pass.free(ix),
            capacity: server.listing.capacity,
            slowness: server.slowness,
            distance: if far { self.remote_factor } else { 1.0 },
            serving,
            filling,
            avoid: false,
        }
    }

    /// Tasks of a step that a backend server holds.
    fn count_there(&self, ix: ServerIx, step: StepRef) -> u32 {
        let runs = self.fleet.get(ix).runs.iter();
        runs.filter(|run| run.task.step == step).count() as u32
    }

    fn start_plan(
        &mut self,
        step: StepRef,
        spec: &Step,
        plan: &Plan,
        pass: &mut Pass,
        cx: &mut Cx<'_>,
    ) {
        let base = cx.term.epoch().saturating_sub(1) * ATTEMPTS_PER_EPOCH;
        let Some(state) = self.ledger.step(step) else {
            return;
        };
        let last = |index: TaskIndex| state.tasks[index as usize].last_run;
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
            pass.take(server, spec.committed());
            self.decide_start(step.task(index).run(number), server, cx);
        }
    }

    /// A step that could not start whole: asks for tickets, and keeps room.
    #[expect(clippy::too_many_arguments, reason = "one pass hands its state on")]
    fn blocked(
        &mut self,
        wanted: &Wanted,
        spec: &Step,
        terms: &Terms,
        candidates: &[ServerIx],
        waiting: &[TaskIndex],
        pass: &mut Pass,
        cx: &mut Cx<'_>,
    ) {
        let first = self
            .ledger
            .step(wanted.step)
            .is_some_and(|state| state.grant.allowed.is_empty() && state.grant.denied.is_empty());
        let left = self.left(wanted.step, waiting);
        let plan = self.plan(wanted.step, spec, &left, candidates, pass);
        if let Some(admission) = terms.admission.filter(|_| first || !plan.is_empty()) {
            let named: Vec<ServerIx> = match first {
                true => candidates.to_vec(),
                false => self.with_room(spec, candidates, pass),
            };
            self.ask_advice(wanted.step, terms.priority, admission, &named, cx);
        }
        if first {
            return; // Nothing is known of where it may run.
        }
        for (_, server) in &plan {
            pass.take(*server, spec.committed());
        }
        if spec.gang && plan.is_empty() {
            self.reserve(spec, candidates, waiting.len(), &terms.service, pass);
        }
    }

    /// Tasks of a list that still wait.
    fn left(&self, step: StepRef, waiting: &[TaskIndex]) -> Vec<TaskIndex> {
        let waits = |index: &TaskIndex| {
            let task = self.ledger.task(step.task(*index));
            task.is_some_and(crate::ledger::Task::waits)
        };
        waiting.iter().copied().filter(waits).collect()
    }

    fn with_room(&self, spec: &Step, candidates: &[ServerIx], pass: &Pass) -> Vec<ServerIx> {
        let each = spec.committed();
        let fits = |ix: &ServerIx| each.fits(&pass.free(*ix));
        candidates.iter().copied().filter(fits).collect()
    }

    /// Keeps the emptiest backend servers from lower-ranked work until a gang
    /// of `count` tasks fits.
    fn reserve(
        &self,
        spec: &Step,
        candidates: &[ServerIx],
        count: usize,
        service: &Name,
        pass: &mut Pass,
    ) {
        let there = pass
            .free
            .keys()
            .filter(|ix| self.fleet.get(**ix).listing.service == *service)
            .count();
        let most = there / RESERVED_PART;
        let each = spec.committed();
        let mut ordered: Vec<ServerIx> = candidates.to_vec();
        ordered.sort_by_key(|ix| {
            let free = pass.free(*ix);
            (std::cmp::Reverse((free.accelerators, free.millicpus)), *ix)
        });
        let mut left = count as u32;
        for ix in ordered {
            let capacity = self.fleet.get(ix).listing.capacity;
            if left == 0 || pass.reserved.len() >= most {
                return;
            }
            left = left.saturating_sub(copies(&each, &capacity));
            pass.reserved.insert(ix);
            pass.free.insert(ix, Resources::ZERO);
        }
    }
}

/// Steps of a job with tasks to start.
fn ready_steps(ix: JobIx, job: &Job) -> Vec<StepRef> {
    let mut steps = Vec::new();
    for (&occurrence, states) in &job.rounds {
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

/// How many tasks of a size fit into a capacity.
fn copies(each: &Resources, capacity: &Resources) -> u32 {
    let (each, capacity) = (each.dims(), capacity.dims());
    let per = each.iter().zip(capacity).filter(|(e, _)| **e > 0);
    per.map(|(e, c)| c / e).min().unwrap_or(u32::MAX)
}
