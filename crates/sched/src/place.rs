//! Placement: which waiting tasks start now, and where.
//!
//! Steps are served in the order of `policy::rank`. What a higher-ranked step
//! will need soon is kept from lower-ranked ones.
//!
//! Invariant: a pass never commits more of a backend server than is free, and
//! a task never starts while a run of it may exist.

use std::collections::HashMap;
use std::time::Duration;

use model::{Attempt, Name, Resources, Step, StepIndex, TaskIndex};
use policy::fit::Site;
use policy::rank::{Rank, Waiting};

use crate::config::AdmissionPolicy;
use crate::event::ATTEMPTS_PER_EPOCH;
use crate::fleet::ServerIx;
use crate::ledger::{Job, JobIx, StepRef, StepState};
use crate::owner::{Cx, Owner};

/// Part of a service's backend servers that blocked gangs may keep free.
const RESERVED_PART: usize = 3;
/// Blocked steps of one service after which a pass looks at no more: the
/// service is full, and a pass has to stay short under a long backlog.
const MAX_BLOCKED: usize = 32;
/// Time of a whole core that a pass spends on each waiting step, as timed with
/// 2,000 of them.
const STEP_COST: Duration = Duration::from_micros(2);
/// Passes take at most one part in this many of the owner's processor time:
/// the rest is for its calls, without which nothing that was placed starts.
const PASS_PART: u32 = 4;
/// Least part of a core that is reckoned with.
const MIN_STRENGTH: f64 = 0.05;
/// Priority of work whose queue is no longer configured.
const DEFAULT_PRIORITY: u32 = 2;

/// A step with tasks to start.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    step: StepRef,
    rank: Rank,
}

/// What a step's queue says.
pub(crate) struct Terms {
    pub(crate) service: Name,
    pub(crate) priority: u32,
    pub(crate) admission: Option<AdmissionPolicy>,
}

/// Backend servers of one service that take work, with the room left.
#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) sites: Vec<(ServerIx, Site)>,
    reserved: usize,
    blocked: usize,
}

impl Pool {
    fn site(&mut self, ix: ServerIx) -> Option<&mut Site> {
        let found = self.sites.binary_search_by_key(&ix, |(ix, _)| *ix);
        found.ok().map(|at| &mut self.sites[at].1)
    }

    fn take(&mut self, ix: ServerIx, each: Resources) {
        if let Some(site) = self.site(ix) {
            site.free = site.free.minus(each);
        }
    }
}

/// Room left in one pass, by service.
type Pass = HashMap<Name, Pool>;

/// Places for the tasks of one step: task and backend server.
pub(crate) type Plan = Vec<(TaskIndex, ServerIx)>;

impl Owner {
    /// Starts what can start.
    pub(crate) fn place(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.loaded || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        self.open_due(cx);
        let mut wanted = self.wanted(cx);
        wanted.sort_by_key(|w| (w.rank, w.step));
        self.waiting_steps = wanted.len() as u32;
        let cost = STEP_COST * self.waiting_steps;
        self.min_place_interval =
            (cost * PASS_PART).div_f64(cx.settings.cpu_share.max(MIN_STRENGTH));
        let mut pass = self.pass(cx);
        for entry in wanted {
            self.place_step(&entry, &mut pass, cx);
        }
    }

    /// Makes the steps of occurrences that are due.
    fn open_due(&mut self, cx: &Cx<'_>) {
        let early = cx.settings.timing.early_start;
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
        let mut shares = HashMap::new();
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
            let use_of_share = *shares
                .entry(job.team.clone())
                .or_insert_with(|| self.use_of_share(&job.team, cx));
            self.renew_forecast(ix, cx);
            for step in steps {
                let rank = self.rank(step, use_of_share, cx);
                wanted.extend(rank.map(|rank| Wanted { step, rank }));
            }
        }
        for entry in &wanted {
            self.note_ready(entry.step, cx);
        }
        wanted
    }

    fn rank(&self, step: StepRef, use_of_share: f64, cx: &Cx<'_>) -> Option<Rank> {
        let job = self.ledger.jobs.get(&step.job)?;
        let forecast = job.forecast.as_ref()?;
        let queue = cx.config.queue(&job.queue);
        let waiting = Waiting {
            since: job.since,
            objective: forecast.objective,
            remaining: *forecast.remaining.get(step.step as usize)?,
            priority: queue.map_or(DEFAULT_PRIORITY, |queue| queue.priority),
            beyond_rate: job.beyond_rate,
            long_running: job.graph.steps.get(step.step as usize)?.long_running,
            use_of_share,
        };
        Some(waiting.rank(cx.now()))
    }

    fn note_ready(&mut self, step: StepRef, cx: &Cx<'_>) {
        if let Some(state) = self.ledger.step_mut(step) {
            state.ready_since.get_or_insert(cx.now());
        }
    }

    /// What a team has running relative to its part of the fleet by weight.
    fn use_of_share(&self, team: &Name, cx: &Cx<'_>) -> f64 {
        let live = self.fleet.live();
        let total = live.fold(Resources::ZERO, |sum, ix| {
            sum.plus(self.fleet.get(ix).listing.capacity)
        });
        let weights: u32 = cx.config.teams.iter().map(|team| team.weight.max(1)).sum();
        let share = cx.config.team(team).map_or(1, |team| team.weight.max(1));
        let entitled = f64::from(share) / f64::from(weights.max(1));
        let used = self.accounts.used(team).dominant_share(&total);
        used / entitled.max(f64::EPSILON)
    }

    fn pass(&self, cx: &Cx<'_>) -> Pass {
        let timing = &cx.settings.timing;
        let mut pass = Pass::new();
        for ix in self.fleet.live() {
            let server = self.fleet.get(ix);
            let strays = self.orphan_runs.keys().any(|(other, _)| *other == ix);
            if !strays && server.takes_work(timing, cx.now()) {
                let service = server.listing.service.clone();
                pass.entry(service)
                    .or_default()
                    .sites
                    .push((ix, self.site(ix)));
            }
        }
        pass
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
        let (Some(spec), Some(pool)) = (
            graph.steps.get(wanted.step.step as usize),
            pass.get_mut(&terms.service),
        ) else {
            return;
        };
        if pool.blocked >= MAX_BLOCKED {
            return; // What ranks lower would find no room either.
        }
        if let Some(admission) = terms.admission.filter(|_| self.is_unadvised(wanted.step)) {
            self.ask_first(wanted.step, spec, &terms, admission, pool, cx);
            return; // Nothing is known of where it may run.
        }
        let waiting = self.limited(wanted.step, spec, &team, cx);
        if waiting.is_empty() {
            return;
        }
        let usable = |ix: ServerIx| self.may_run(wanted.step, spec, ix, Some(&terms), cx);
        let plan = self.plan(wanted.step, spec, &waiting, pool, usable);
        let complete = plan.len() == waiting.len();
        if !spec.gang || complete {
            self.start_plan(wanted.step, spec, &plan, pool, cx);
        }
        if !complete {
            self.blocked(wanted, spec, &terms, &waiting, pool, cx);
        }
    }

    /// Asks the outside policy about a step that it was never asked about.
    fn ask_first(
        &mut self,
        step: StepRef,
        spec: &Step,
        terms: &Terms,
        admission: AdmissionPolicy,
        pool: &Pool,
        cx: &mut Cx<'_>,
    ) {
        if !self.may_ask(step, terms.priority, cx) {
            return;
        }
        let each = spec.committed();
        let able = pool.sites.iter();
        let able = able.filter(|(_, site)| each.fits(&site.capacity));
        let named = able.map(|(ix, _)| *ix);
        let named: Vec<ServerIx> = named
            .filter(|ix| self.may_run(step, spec, *ix, None, cx))
            .collect();
        self.ask_advice(step, terms.priority, admission, &named, cx);
    }

    fn start_plan(
        &mut self,
        step: StepRef,
        spec: &Step,
        plan: &Plan,
        pool: &mut Pool,
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
            pool.take(server, spec.committed());
            self.decide_start(step.task(index).run(number), server, cx);
        }
    }

    /// A step that could not start whole: asks for tickets, and keeps room.
    fn blocked(
        &mut self,
        wanted: &Wanted,
        spec: &Step,
        terms: &Terms,
        waiting: &[TaskIndex],
        pool: &mut Pool,
        cx: &mut Cx<'_>,
    ) {
        let step = wanted.step;
        let left = self.left(step, waiting);
        let allowed = |ix: ServerIx| self.may_run(step, spec, ix, None, cx);
        let plan = self.plan(step, spec, &left, pool, allowed);
        let asks = !plan.is_empty() && self.may_ask(step, terms.priority, cx);
        if let Some(admission) = terms.admission.filter(|_| asks) {
            let each = spec.committed();
            let roomy = pool.sites.iter().filter(|(_, site)| each.fits(&site.free));
            let named = roomy.map(|(ix, _)| *ix);
            let named: Vec<ServerIx> = named
                .filter(|ix| self.may_run(step, spec, *ix, None, cx))
                .collect();
            self.ask_advice(step, terms.priority, admission, &named, cx);
        }
        pool.blocked += usize::from(plan.is_empty());
        for (_, server) in &plan {
            pool.take(*server, spec.committed());
        }
        if spec.gang && plan.is_empty() {
            self.reserve(step, spec, waiting.len(), pool, cx);
        }
    }

    /// Keeps the emptiest backend servers from lower-ranked work until a gang
    /// of `count` tasks fits.
    fn reserve(&self, step: StepRef, spec: &Step, count: usize, pool: &mut Pool, cx: &Cx<'_>) {
        let most = pool.sites.len() / RESERVED_PART;
        let each = spec.committed();
        let able = pool.sites.iter().filter(|(ix, site)| {
            each.fits(&site.capacity) && self.may_run(step, spec, *ix, None, cx)
        });
        let mut able: Vec<(ServerIx, Site)> = able.copied().collect();
        able.sort_by_key(|(ix, site)| {
            let free = (site.free.accelerators, site.free.millicpus);
            (std::cmp::Reverse(free), *ix)
        });
        let mut left = count as u32;
        for (ix, site) in able {
            if left == 0 || pool.reserved >= most {
                return;
            }
            left = left.saturating_sub(copies(&each, &site.capacity));
            pool.reserved += 1;
            pool.take(ix, Resources::UNLIMITED);
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
