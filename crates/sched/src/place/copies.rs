//! Starts copies of running tasks at the end of a placement pass, in the room that is
//! left. `policy::speculation` decides which; steps have to permit copies.
//!
//! Invariant: a task has at most one copy. Its failures and runs together never exceed its
//! attempts, so that it does not matter which of its runs fail. All copies together take
//! at most `Settings::max_copy_share` of their service's capacity.

use std::collections::HashMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use model::{Attempt, Graph, Name, Resources, Step};
use policy::fit::{self, Candidate, TaskKind};
use policy::speculation::{self, Cause, Contact, Copy, Decision, Load, Report, Run, Stakes, Times};

use crate::config::AdmissionPolicy;
use crate::copies::CopyRun;
use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{Placement, RunRef, RunState, StepRef};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};
use crate::place::pool::{ServerPool, ServerPools};
use crate::place::{MIN_CPU_SHARE, QueueSettings};

/// Number of runs that a pass examines; the next one continues after them.
const MAX_EXAMINED_RUNS: usize = 256;
/// Number of runs for which a pass looks for a server for a copy.
const MAX_SEARCHES: usize = 16;
/// Time that examining one run takes on one full core, and the part of the owner's CPU time
/// that it may use.
const TIME_PER_RUN: Duration = Duration::from_micros(2);
const CPU_PART: f64 = 0.05;
/// Shortest interval between two examinations.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Number of calls a second, for each full core of this VM, that ask backend servers for the
/// progress of their runs. Each leaves a call behind that the server holds open.
const ASKED_PER_CORE: f64 = 400.0;
/// Time without an answer to such a call after which a backend server counts as silent
/// here; it answers within some milliseconds, and a call is lost after 700 ms.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(350);
/// Interval of such calls to one backend server.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of backend servers named in a query for the ticket of a copy.
const SERVERS_PER_QUERY: usize = 8;
/// Priority of these queries; all others go first.
const QUERY_PRIORITY: u32 = u32::MAX;
/// Cost, relative to the run time, of a server as large as that of the run that is copied:
/// the cause of the delay may be one of its kind.
const SAME_KIND_PENALTY: f64 = 0.25;

/// A run that may get a copy, with what the decision needs.
struct Subject {
    run: RunRef,
    server: ServerIx,
    team: Name,
    graph: Arc<Graph>,
    queue: QueueSettings,
    state: Run,
    times: Times,
    stakes: Stakes,
    win_rate: Option<f64>,
}

impl Subject {
    fn step(&self) -> StepRef {
        self.run.task.step
    }

    fn spec(&self) -> &Step {
        &self.graph.steps[self.step().step as usize]
    }

    /// Decides on a copy that may start after `query`.
    fn decide(&self, load: &Load, query: Duration) -> Decision {
        let times = Times {
            before_start: query,
            ..self.times
        };
        speculation::decide(&self.state, &times, &self.stakes, load, self.win_rate)
    }
}

impl Owner {
    /// Starts copies of late runs, if it is time to examine runs again.
    pub(super) fn start_copies(&mut self, pools: &mut ServerPools, cx: &mut Cx<'_>) {
        // While runs are unknown, the number of a task's runs is too.
        let is_off = cx.settings.max_copy_share <= 0.0 || self.may_have_unknown_runs();
        if is_off || cx.now() < self.copies.next_at {
            return;
        }
        let runs = self.runs_to_examine();
        let cpu_share = cx.settings.cpu_share.max(MIN_CPU_SHARE);
        let interval = (TIME_PER_RUN * runs.len() as u32).div_f64(CPU_PART * cpu_share);
        let interval = interval.max(MIN_INTERVAL);
        self.copies.next_at = cx.now() + interval;
        let mut may_ask = (ASKED_PER_CORE * cpu_share * interval.as_secs_f64()).ceil() as usize;
        let mut searches = MAX_SEARCHES;
        let mut rooms = HashMap::new();
        for run in runs {
            let Some(subject) = self.subject(run, cx) else {
                continue;
            };
            if may_ask > 0 && speculation::is_report_due(&subject.state, &subject.times) {
                may_ask -= usize::from(self.ask_for_progress(subject.server, cx.now()));
            }
            let service = &subject.queue.service;
            let Some(pool) = pools.get_mut(service).filter(|_| searches > 0) else {
                continue;
            };
            let room = rooms
                .entry(service.clone())
                .or_insert_with(|| Room::of(pool));
            if let Some(copy) = self.worthwhile_copy(&subject, pool, room, cx) {
                searches -= 1;
                self.seek_copy(&subject, copy, pool, room, cx);
            }
        }
    }

    /// The next runs of steps that permit copies, after those that were last examined.
    fn runs_to_examine(&mut self) -> Vec<RunRef> {
        let all = &self.ledger.speculative_runs;
        let after = self
            .copies
            .examined
            .map_or(Bound::Unbounded, Bound::Excluded);
        let first = all.range((after, Bound::Unbounded));
        let runs: Vec<RunRef> = first
            .chain(all.iter())
            .take(MAX_EXAMINED_RUNS.min(all.len()))
            .copied()
            .collect();
        self.copies.examined = runs.last().copied();
        runs
    }

    /// Describes a run that may get a copy; `None` if it may not.
    fn subject(&mut self, run: RunRef, cx: &Cx<'_>) -> Option<Subject> {
        let step = run.task.step;
        let job = self.ledger.jobs.get(&step.job)?;
        let task = self.ledger.task(run.task)?;
        let graph = Arc::clone(&job.graph);
        let spec = graph.steps.get(step.step as usize)?;
        let attempts = (task.failures.len() + task.runs.len() + 1) as u32;
        let excluded = job.stage.is_terminal()
            || job.cancelled
            || task.done
            || spec.gang
            || spec.long_running
            // It may be what crashes its backend servers.
            || !task.losses.is_empty()
            || (job.inherited && self.recovery.lacks_records());
        if task.runs.len() > 1 {
            self.note_inherited_copy(run, cx);
            return None;
        }
        if excluded || attempts > job.max_attempts(cx.config) {
            return None;
        }
        let (team, queue) = (job.team.clone(), self.queue_settings(job, cx));
        let placed = self.ledger.runs.get(&run)?;
        let (server, state) = (placed.server, self.run_state(placed, cx)?);
        let times = self.run_times(spec);
        self.refresh_forecast(step.job, cx);
        let class = self.image_class(&spec.image);
        Some(Subject {
            run,
            server,
            team,
            graph,
            queue,
            state,
            times,
            stakes: self.stakes(step, times.mean, cx)?,
            win_rate: self.copies.outcomes.win_rate(class, cx.now()),
        })
    }

    /// Counts the later run of a task as a copy that an earlier owner started.
    fn note_inherited_copy(&mut self, run: RunRef, cx: &Cx<'_>) {
        let Some((task, job)) = self
            .ledger
            .task(run.task)
            .zip(self.ledger.jobs.get(&run.task.step.job))
        else {
            return;
        };
        let latest = task.runs.iter().max().copied();
        let known = task
            .runs
            .iter()
            .any(|n| self.copies.runs.contains_key(&run.task.run(*n)));
        if latest == Some(run.number) && !known {
            let copy = CopyRun {
                service: job.current_service(cx.config),
                cause: None,
                started_at: cx.now(),
                expected_end: cx.now(),
            };
            self.copies.runs.insert(run, copy);
        }
    }

    /// State of a run; `None` if it was not ordered yet, or is being stopped.
    fn run_state(&self, placed: &Placement, cx: &Cx<'_>) -> Option<Run> {
        let lost = match placed.state {
            RunState::Planned => return None,
            RunState::Starting | RunState::Running => false,
            // Its start order was not answered; it may not exist.
            RunState::Stopping if !placed.confirmed => true,
            RunState::Stopping => return None,
        };
        let since = |at: Duration| at.saturating_sub(placed.ordered_at);
        let report = placed.reported_at.map(|at| Report {
            percent: placed.percent,
            at: since(at),
            standing: at.saturating_sub(placed.advanced_at.unwrap_or(placed.ordered_at)),
        });
        Some(Run {
            elapsed: since(cx.now()),
            report,
            slowness: self.fleet.get(placed.server).relative_runtime(cx.now()),
            contact: match lost || self.is_silent(placed.server, cx.now()) {
                true => self.silent_contact(placed.server, cx),
                false => Contact::Answers,
            },
        })
    }

    fn silent_contact(&self, ix: ServerIx, cx: &Cx<'_>) -> Contact {
        let timing = &cx.settings.timing;
        let expire_at = self.leases_expire_at(ix, timing);
        let lease_left = expire_at.map_or(timing.max_lease, |at| at.saturating_sub(cx.now()));
        Contact::Silent { lease_left }
    }

    /// True when a backend server does not answer: a call was lost, or one that asks for
    /// the lists at once has no answer yet.
    fn is_silent(&self, ix: ServerIx, now: Duration) -> bool {
        let server = self.fleet.get(ix);
        let unanswered =
            |asked: &Duration| server.verified_at < *asked && now >= *asked + MAX_ANSWER_TIME;
        server.unresponsive || self.copies.asked.get(&ix).is_some_and(unanswered)
    }

    /// Asks a backend server for the progress of its runs, unless a call is unanswered or
    /// was made lately. Returns true if it did.
    fn ask_for_progress(&mut self, ix: ServerIx, now: Duration) -> bool {
        let server = self.fleet.get(ix);
        let answers = server.state == ServerState::Held && !server.unresponsive;
        let asked = self.copies.asked.get(&ix).copied();
        let is_due = asked.is_none_or(|at| server.verified_at >= at && now >= at + ASK_INTERVAL);
        if answers && is_due {
            self.copies.asked.insert(ix, now);
            self.fleet.get_mut(ix).request_lists(now);
        }
        answers && is_due
    }

    fn run_times(&self, spec: &Step) -> Times {
        let mean = self.expected_run_time(spec);
        let class = self.image_classes.get(&spec.image);
        let bound = class.and_then(|class| self.estimates.upper_bound_ms(*class));
        Times {
            mean,
            // The bound is the mean plus twice the mean deviation.
            spread: bound.map(|ms| Duration::from_millis(ms).saturating_sub(mean) / 2),
            before_start: Duration::ZERO,
        }
    }

    /// What the job of a step may lose. The steps that follow take their share of the time.
    fn stakes(&self, step: StepRef, mean: Duration, cx: &Cx<'_>) -> Option<Stakes> {
        let job = self.ledger.jobs.get(&step.job)?;
        let forecast = job.forecast.as_ref()?;
        let following = forecast
            .remaining
            .get(step.step as usize)?
            .saturating_sub(mean);
        let used = cx
            .now()
            .saturating_sub(job.first_seen_at)
            .saturating_add(following);
        Some(Stakes {
            objective: forecast.objective,
            left: forecast.objective.saturating_sub(used),
            overdue: used.saturating_sub(forecast.objective),
        })
    }

    /// A copy that should start now, if there is a server for it.
    fn worthwhile_copy(
        &self,
        subject: &Subject,
        pool: &ServerPool,
        room: &Room,
        cx: &Cx<'_>,
    ) -> Option<Copy> {
        let load = room.load(subject.spec(), pool);
        let Decision::Copy(copy) = subject.decide(&load, Duration::ZERO) else {
            return None;
        };
        let permitted = self.is_share_left(subject, room, cx.settings.max_copy_share)
            && self.is_copy_within_limit(subject.step(), subject.spec(), &subject.team, cx);
        permitted.then_some(copy)
    }

    /// Starts a copy, or asks for a ticket for it.
    fn seek_copy(
        &mut self,
        subject: &Subject,
        copy: Copy,
        pool: &mut ServerPool,
        room: &Room,
        cx: &mut Cx<'_>,
    ) {
        let server = self.server_for_copy(subject, &copy, pool, cx);
        match (server, subject.queue.admission) {
            (Some(server), _) => self.start_copy(subject, &copy, server, pool, cx),
            (None, Some(admission)) => {
                let load = room.load(subject.spec(), pool);
                self.query_for_copy(subject, &load, admission, pool, cx);
            }
            (None, None) => {}
        }
    }

    /// True while the copies of a service and another one take no more than their share.
    fn is_share_left(&self, subject: &Subject, room: &Room, share: f64) -> bool {
        let service = &subject.queue.service;
        let copies = self.copies.runs.iter();
        let committed = copies
            .filter(|(_, copy)| copy.service == *service)
            .filter_map(|(run, _)| Some(self.ledger.spec(run.task.step)?.committed()));
        let taken = committed.fold(subject.spec().committed(), Resources::plus);
        let within = |(taken, capacity): (u32, f64)| f64::from(taken) <= capacity * share;
        taken.dims().into_iter().zip(room.capacity).all(within)
    }

    /// Backend server for a copy: one with room and, where needed, a ticket, that does not
    /// run the task; preferably of another rack and kind. The task may be what silenced its
    /// server, so such a copy starts apart from other starts, like that of a suspect.
    fn server_for_copy(
        &self,
        subject: &Subject,
        copy: &Copy,
        pool: &ServerPool,
        cx: &Cx<'_>,
    ) -> Option<ServerIx> {
        let (step, spec) = (subject.step(), subject.spec());
        let candidates = match subject.queue.admission {
            Some(_) => self.permitted_candidates(step, spec, pool, cx),
            None => self.possible_candidates(step, spec, pool),
        };
        let kind = match spec.best_effort_cpu {
            true => TaskKind::BestEffort,
            false => TaskKind::RunToCompletion,
        };
        let original = &self.fleet.get(subject.server).listing;
        let max_per_server = spec.spread.unwrap_or(u32::MAX);
        let cost = |(ix, candidate): (ServerIx, Candidate)| {
            let server = self.fleet.get(ix);
            let usable = server.listing.id != original.id
                && !pool.withheld.contains(&ix)
                && !candidate.last_resort
                && !self.is_silent(ix, cx.now())
                && (copy.cause != Cause::Silent || self.is_settled(ix, cx.now()))
                && self.step_runs_on(ix, step) < max_per_server;
            let candidate = Candidate {
                failed_before: self.is_avoided(subject.run.task, ix),
                ..self.with_distance(spec, ix, candidate)
            };
            let cost = fit::cost(&spec.committed(), kind, &candidate).filter(|_| usable)?;
            let shares_rack = !original.rack.is_empty() && server.listing.rack == original.rack;
            let same_kind = server.listing.capacity == original.capacity;
            let caution = fit::caution_cost(&candidate, shares_rack);
            let penalty = if same_kind { SAME_KIND_PENALTY } else { 0.0 };
            Some((cost + caution + penalty, ix))
        };
        let best = candidates.into_iter().filter_map(cost);
        best.min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, ix)| ix)
    }

    /// Asks the external policy for a ticket, after all other queries, if a copy is still
    /// worthwhile when it has answered.
    fn query_for_copy(
        &mut self,
        subject: &Subject,
        load: &Load,
        admission: AdmissionPolicy,
        pool: &ServerPool,
        cx: &mut Cx<'_>,
    ) {
        let step = subject.step();
        if !self.can_query(step, QUERY_PRIORITY, cx) {
            return;
        }
        let mut servers = self.servers_to_name(step, subject.spec(), 1, pool);
        servers.retain(|ix| *ix != subject.server && !pool.withheld.contains(ix));
        servers.truncate(SERVERS_PER_QUERY);
        let query = admission.decision_latency(servers.len());
        if matches!(subject.decide(load, query), Decision::Copy(_)) {
            self.query_policy(step, QUERY_PRIORITY, admission, &servers, cx);
        }
    }

    fn start_copy(
        &mut self,
        subject: &Subject,
        copy: &Copy,
        server: ServerIx,
        pool: &mut ServerPool,
        cx: &mut Cx<'_>,
    ) {
        let task = subject.run.task;
        let plan = vec![(task.index, server)];
        self.start_plan(task.step, subject.spec(), &plan, pool, cx);
        let started = self.ledger.task(task).map(|task| task.last_run_number);
        // Its start may have been given up at once, as when its server drains.
        let is_held = |number: &Attempt| self.ledger.runs.contains_key(&task.run(*number));
        let Some(number) = started.filter(is_held) else {
            return;
        };
        if copy.cause == Cause::Silent {
            self.fleet.get_mut(server).suspect = Some(task.run(number));
            pool.allocate(server, Resources::UNLIMITED);
        }
        let entry = CopyRun {
            service: subject.queue.service.clone(),
            cause: Some(copy.cause),
            started_at: cx.now(),
            expected_end: cx.now().saturating_add(copy.remaining),
        };
        self.copies.runs.insert(task.run(number), entry);
        let label = self.run_label(task.run(number), server);
        cx.log(Notice::CopyStarted {
            job: label.job,
            task: label.task,
            run: number,
            server: label.server,
            of: subject.run.number,
            of_server: self.fleet.get(subject.server).listing.id.clone(),
            why: copy.cause.as_str().into(),
            remaining_ms: ms(copy.remaining),
            fresh_ms: ms(subject.times.mean),
        });
    }
}

/// Resources of a service that a pass has left, and all of its resources.
struct Room {
    free: [f64; Resources::DIMENSIONS],
    capacity: [f64; Resources::DIMENSIONS],
}

impl Room {
    fn of(pool: &ServerPool) -> Self {
        let mut room = Self {
            free: [0.0; Resources::DIMENSIONS],
            capacity: [0.0; Resources::DIMENSIONS],
        };
        for (_, candidate) in &pool.candidates {
            add(&mut room.free, candidate.free);
            add(&mut room.capacity, candidate.capacity);
        }
        room
    }

    /// Load of the resource that is scarcest among those that a step needs.
    fn load(&self, spec: &Step, pool: &ServerPool) -> Load {
        let shares = self.free.iter().zip(self.capacity);
        let needed = shares.zip(spec.committed().dims());
        let needed = needed.filter(|(_, each)| *each > 0);
        let free = needed.map(|((free, capacity), _)| free / capacity.max(1.0));
        Load {
            free: free.fold(1.0, f64::min),
            contended: !pool.shortages.is_empty(),
        }
    }
}

fn add(sum: &mut [f64; Resources::DIMENSIONS], amount: Resources) {
    for (sum, dimension) in sum.iter_mut().zip(amount.dims()) {
        *sum += f64::from(dimension);
    }
}
