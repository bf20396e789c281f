//! Explanations for operators: where the steps of a job would be placed now, and why
//! not elsewhere.
//!
//! The owner answers from the functions with which a placement pass decides. What a
//! pass would give to higher-ranked steps before is not subtracted; the rank says how
//! many there are.
//!
//! Invariant: an explanation sends nothing, and leaves the owner's state as it was. Its
//! cost is bounded by `MAX_EXAMINED` and `MAX_PLANNED`.

pub(crate) mod answer;

use std::collections::HashMap;
use std::time::Duration;

use model::{Name, Occurrence, Step, StepIndex, TaskIndex};
use policy::fit::Candidate;
use policy::rank::Rank;

use crate::acceptance::Acceptance;
use crate::event::{CallerId, Effect, Reply};
use crate::explain::answer::{
    Error, Excluded, Explanation, MAX_NAMED, MAX_STEPS, Place, Reason, StepExplanation, Subject,
    Verdict,
};
use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{Job, JobIx, StepRef, StepState};
use crate::node::Node;
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};
use crate::partition::CELL_PARTITION;
use crate::place::pool::ServerPool;
use crate::place::rank::ready_steps;
use crate::place::{Plan, QueueSettings};
use crate::rows::Submission;

/// Minimum interval between two explanations on one full core; longer in proportion on
/// part of one. One of them may cost as much as a placement pass over a long backlog.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Smallest share of a core for which the interval is prolonged.
const MIN_CPU_SHARE: f64 = 0.1;
/// Number of servers that an explanation examines over all its steps, beyond those of
/// the first one.
const MAX_EXAMINED: usize = 50_000;
/// Number of pairs of a task and a server that the plans of an explanation compare:
/// about 3 ms on one full core.
const MAX_PLANNED: usize = 50_000;
/// Index of a job that is explained without having been submitted. The ledger counts
/// its indices from zero and never gets there.
const UNSUBMITTED: JobIx = JobIx::MAX;

impl Node {
    /// Answers a request for an explanation.
    pub(crate) fn explain(&mut self, caller: CallerId, subject: Subject) {
        let mut answer = Err(self.not_owner());
        let now = self.time.now;
        if self.term.is_owning() && now < self.next_explanation_at {
            let retry_after_ms = ms(self.next_explanation_at - now).max(1);
            answer = Err(Error::Busy { retry_after_ms });
        } else {
            let share = self.settings.cpu_share.clamp(MIN_CPU_SHARE, 1.0);
            self.next_explanation_at = now + MIN_INTERVAL.div_f64(share);
            self.with_owner(|owner, cx| answer = owner.explain(subject, cx));
        }
        match &answer {
            Ok(explanation) => self.log(Notice::Explained {
                job: explanation.job.clone(),
                queue: explanation.queue.clone(),
                steps: explanation.steps.len() as u32,
            }),
            Err(Error::NotOwner { .. }) => {}
            Err(error) => self.log(Notice::ExplanationRefused {
                fault: compact_str::format_compact!("{error}"),
            }),
        }
        let reply = Reply::Explained(Box::new(answer));
        self.out.push(Effect::Reply { caller, reply });
    }

    /// What this VM knows of the owner.
    fn not_owner(&self) -> Error {
        let known = self.term.owner_version > 0 && !self.term.owner.released;
        let text = |text: &Name| match known {
            true => text.clone(),
            false => Name::default(),
        };
        Error::NotOwner {
            owner: text(&self.term.owner.name),
            address: text(&self.term.owner.address),
            epoch: self.term.epoch(),
            view_age_ms: ms(self.time.now.saturating_sub(self.term.current_at)),
            silent_ms: ms(self.term.owner_silence()),
        }
    }
}

impl Owner {
    /// Explains where the steps of a job would be placed now. A job that was not
    /// submitted is in the ledger for the time of this call.
    fn explain(&mut self, subject: Subject, cx: &Cx<'_>) -> Result<Explanation, Error> {
        if !self.recovery.tables_loaded || cx.config.version == 0 {
            return Err(Error::Recovering);
        }
        let ix = match subject {
            Subject::Job(id) => match self.ledger.find(&id) {
                Some(ix) => ix,
                None if self.commits.has_ended(&id) => {
                    return Err(Error::Ended {
                        job: id,
                        stage: None,
                    });
                }
                None => return Err(Error::NoJob { job: id }),
            },
            subject @ Subject::Graph { .. } => {
                let job = unsubmitted_job(subject, cx)?;
                self.ledger.jobs.insert(UNSUBMITTED, job);
                UNSUBMITTED
            }
        };
        let forecast = self.ledger.jobs.get(&ix).and_then(|j| j.forecast.clone());
        self.refresh_forecast(ix, cx);
        let answer = self.explain_job(ix, cx);
        match self.ledger.jobs.get_mut(&ix) {
            Some(_) if ix == UNSUBMITTED => drop(self.ledger.jobs.remove(&ix)),
            Some(job) => job.forecast = forecast,
            None => {}
        }
        answer
    }

    fn explain_job(&self, ix: JobIx, cx: &Cx<'_>) -> Result<Explanation, Error> {
        let Some(job) = self.ledger.jobs.get(&ix) else {
            return Err(Error::Recovering);
        };
        if job.stage.is_terminal() {
            return Err(Error::Ended {
                job: job.id.clone(),
                stage: Some(job.stage),
            });
        }
        let queue = self.queue_settings(job, cx);
        let pools = self.server_pools(cx);
        let empty = ServerPool::default();
        let pool = pools.get(&queue.service).unwrap_or(&empty);
        let ranks = self.current_ranks(cx);
        let is_open = |(_, steps): &(&Occurrence, &Vec<StepState>)| {
            steps.iter().any(|state| !state.is_done())
        };
        let open = job.occurrences.iter().find(is_open);
        let first = open.and_then(|(_, steps)| steps.iter().position(|state| !state.is_done()));
        let steps = job.graph.steps.len();
        let affordable = MAX_EXAMINED / self.fleet.servers.len().max(1);
        let shown = first.unwrap_or(steps)..steps;
        let shown = shown.take(affordable.clamp(1, MAX_STEPS));
        let explained = open.into_iter().flat_map(|(&occurrence, _)| {
            let step = move |step: usize| StepRef {
                job: ix,
                occurrence,
                step: step as StepIndex,
            };
            shown.clone().map(step)
        });
        let mut budget = MAX_PLANNED;
        let explained = explained.map_while(|step| {
            let view = View {
                step,
                job,
                queue: &queue,
                pool,
            };
            let examined = budget > 0;
            examined.then(|| self.explain_step(&view, &ranks, &mut budget, cx))?
        });
        let explained: Vec<StepExplanation> = explained.collect();
        let objective = job
            .forecast
            .as_ref()
            .map_or(Duration::ZERO, |f| f.objective);
        Ok(Explanation {
            owner: cx.settings.name.clone(),
            epoch: cx.term.epoch(),
            config: cx.config.version,
            job: job.id.clone(),
            queue: job.queue.clone(),
            team: job.team.clone(),
            service: queue.service.clone(),
            stage: job.stage,
            beyond_rate: job.beyond_rate,
            age_ms: ms(cx.now().saturating_sub(job.first_seen_at)),
            objective_ms: ms(objective),
            occurrence: open.map(|(occurrence, _)| *occurrence),
            steps_left_out: (steps - first.unwrap_or(steps) - explained.len()) as u32,
            steps: explained,
        })
    }

    /// Ranks of all steps that a placement pass would visit now. Jobs that no pass has
    /// visited yet have no forecast, and are left out.
    fn current_ranks(&self, cx: &Cx<'_>) -> Vec<(Rank, StepRef)> {
        let total = self.total_capacity(cx);
        let may_have_unknown_runs = self.may_have_unknown_runs();
        let mut utilizations: HashMap<&Name, f64> = HashMap::new();
        let mut ranks = Vec::new();
        let jobs = self.ledger.jobs.iter();
        for (ix, job) in jobs.filter(|(_, job)| !job.stage.is_terminal()) {
            let utilization = *utilizations
                .entry(&job.team)
                .or_insert_with(|| self.share_utilization(&job.team, &total, cx));
            let steps = ready_steps(*ix, job).into_iter().filter(|step| {
                let spec = job.graph.steps.get(step.step as usize);
                let unknown = may_have_unknown_runs && job.inherited;
                !unknown || spec.is_some_and(|spec| !self.may_run_unknown(spec))
            });
            ranks.extend(steps.filter_map(|step| Some((self.rank(step, utilization, cx)?, step))));
        }
        ranks
    }

    fn explain_step(
        &self,
        view: &View<'_>,
        ranks: &[(Rank, StepRef)],
        budget: &mut usize,
        cx: &Cx<'_>,
    ) -> Option<StepExplanation> {
        let View {
            step,
            job,
            queue,
            pool,
        } = *view;
        let spec = job.graph.steps.get(step.step as usize)?;
        let state = self.ledger.step(step)?;
        let waiting = state.waiting().count();
        let permitted = self.tasks_within_limit(step, spec, &job.team, cx);
        let candidates = match queue.admission {
            Some(_) => self.permitted_candidates(step, spec, pool, cx),
            None => self.possible_candidates(step, spec, pool),
        };
        let (usable, excluded) = self.divide_servers(view, spec, candidates, cx);
        let suspects = permitted
            .iter()
            .filter(|index| self.is_suspect(step.task(**index)))
            .count();
        let (plan, bounded) = self.plan_bounded(step, spec, &permitted, &usable, budget);
        let query_servers = match queue.admission {
            Some(_) => self.servers_to_name(step, spec, waiting, pool).len(),
            None => 0,
        };
        let remaining = job.forecast.as_ref()?.remaining.get(step.step as usize)?;
        let age = cx.now().saturating_sub(job.first_seen_at);
        let objective = job.forecast.as_ref()?.objective;
        let facts = Facts {
            done: state.is_done(),
            ready: job.is_ready(step.occurrence, step.step),
            unknown_runs: self.may_have_unknown_runs()
                && job.inherited
                && self.may_run_unknown(spec),
            paused: !cx.term.may_order(cx.settings, cx.now()),
            undecided: queue.admission.is_some() && self.has_no_decision(step),
            waiting,
            permitted: permitted.len(),
            suspects,
            startable: plan.len(),
            qualified: usable.len() as u32,
            excluded,
            unexamined: bounded && spec.gang,
        };
        Some(StepExplanation {
            step: step.step,
            tasks: spec.tasks,
            done: state.done_count,
            waiting: waiting as u32,
            verdict: facts.verdict(),
            blocked_by: self.unfinished_predecessors(step, spec),
            qualified: usable.len() as u32,
            servers: self.named_servers(&plan, &usable),
            excluded,
            within_limit: permitted.len() as u32,
            startable: plan.len() as u32,
            bounded,
            query_servers: query_servers as u32,
            rank: place_among(step, ranks),
            run_ms: ms(self.expected_run_time(spec)),
            remaining_ms: ms(*remaining),
            on_time: spec.long_running || age.saturating_add(*remaining) <= objective,
        })
    }

    /// Divides the servers into those that can run a task of a step now, and the counts
    /// of the others.
    fn divide_servers(
        &self,
        view: &View<'_>,
        spec: &Step,
        candidates: Vec<(ServerIx, Candidate)>,
        cx: &Cx<'_>,
    ) -> (Vec<(ServerIx, Candidate)>, Excluded) {
        let mut excluded = Excluded::default();
        let max_per_server = spec.spread.unwrap_or(u32::MAX);
        let mut usable = Vec::new();
        let mut found = candidates.into_iter().peekable();
        // Both are in ascending order of index.
        for ix in self.fleet.live() {
            let candidate = found.next_if(|(candidate, _)| *candidate == ix);
            match candidate {
                Some(_) if view.pool.withheld.contains(&ix) => excluded.add(Reason::Withheld),
                Some(_) if self.step_runs_on(ix, view.step) >= max_per_server => {
                    excluded.add(Reason::Spread);
                }
                Some(candidate) => usable.push(candidate),
                None => excluded.add(self.exclusion(view, spec, ix, cx)),
            }
        }
        (usable, excluded)
    }

    /// Why the functions of the placement pass do not list a server as a candidate.
    fn exclusion(&self, view: &View<'_>, spec: &Step, ix: ServerIx, cx: &Cx<'_>) -> Reason {
        let listing = &self.fleet.get(ix).listing;
        let each = spec.committed();
        let has_label = |label: &Name| listing.labels.contains(label);
        match view.pool.find(ix) {
            _ if listing.service != view.queue.service => Reason::Service,
            None => self.unavailability(ix, cx),
            Some(_) if !spec.label.as_ref().is_none_or(has_label) => Reason::Label,
            Some(_) if !self.is_eligible(view.step, spec, ix) => Reason::Denied,
            Some(candidate) if !each.fits(&candidate.capacity) => Reason::Capacity,
            Some(candidate) if !each.fits(&candidate.free) => Reason::Room,
            Some(_) if view.queue.admission.is_some() => Reason::Ticket,
            Some(_) => Reason::Other,
        }
    }

    /// Why `server_pools` leaves out a server of the step's service.
    fn unavailability(&self, ix: ServerIx, cx: &Cx<'_>) -> Reason {
        let server = self.fleet.get(ix);
        let (timing, now) = (&cx.settings.timing, cx.now());
        let accepts = server
            .health
            .accepts_tasks(ms(now), Some(ms(server.last_start_at)));
        match server {
            _ if !self.may_start_in_data_centre(ix, cx) => Reason::Evacuated,
            s if s.state != ServerState::Held || !s.listed => Reason::Unreached,
            s if s.listing.draining => Reason::Draining,
            s if s.unresponsive || now >= s.last_answer_at + timing.server_timeout => {
                Reason::Unresponsive
            }
            s if !accepts || now < s.unhealthy_until => Reason::Suspected,
            _ if self.is_in_probation(ix, now) => Reason::Suspected,
            _ if self.orphan_runs.keys().any(|(server, _)| *server == ix) => Reason::Orphans,
            _ => Reason::Other,
        }
    }

    /// Plans the waiting tasks that are not suspects, as far as `budget` pairs of a task
    /// and a server permit, and reduces it. The flag says that there are more tasks; a
    /// gang is then not planned at all.
    fn plan_bounded(
        &self,
        step: StepRef,
        spec: &Step,
        permitted: &[TaskIndex],
        usable: &[(ServerIx, Candidate)],
        budget: &mut usize,
    ) -> (Plan, bool) {
        let limit = (*budget / usable.len().max(1)).max(1);
        let tasks = permitted.iter().copied();
        let tasks = tasks.filter(|index| !self.is_suspect(step.task(*index)));
        let mut tasks: Vec<TaskIndex> = tasks.collect();
        let bounded = tasks.len() > limit;
        *budget = budget.saturating_sub(tasks.len().min(limit) * usable.len().max(1));
        match bounded && spec.gang {
            true => (Plan::new(), true),
            false => {
                tasks.truncate(limit);
                (self.plan_step(step, spec, &tasks, usable), bounded)
            }
        }
    }

    /// Names of servers that can run a step, those of the plan first.
    fn named_servers(&self, plan: &Plan, usable: &[(ServerIx, Candidate)]) -> Vec<Name> {
        let planned = plan.iter().map(|(_, ix)| *ix);
        let all = planned.chain(usable.iter().map(|(ix, _)| *ix));
        let mut named: Vec<ServerIx> = Vec::new();
        for ix in all {
            if named.len() == MAX_NAMED {
                break;
            }
            if !named.contains(&ix) {
                named.push(ix);
            }
        }
        let name = |ix: &ServerIx| self.fleet.get(*ix).listing.id.clone();
        named.iter().map(name).collect()
    }

    fn unfinished_predecessors(&self, step: StepRef, spec: &Step) -> Vec<StepIndex> {
        let is_done = |index: &StepIndex| {
            let step = StepRef {
                step: *index,
                ..step
            };
            self.ledger.step(step).is_some_and(StepState::is_done)
        };
        let unfinished = spec.depends_on.iter().filter(|index| !is_done(index));
        unfinished.take(MAX_STEPS).copied().collect()
    }
}

/// A step, with what a placement pass knows of its queue and its servers.
#[derive(Clone, Copy)]
struct View<'a> {
    step: StepRef,
    job: &'a Job,
    queue: &'a QueueSettings,
    pool: &'a ServerPool,
}

/// What the verdict on a step follows from.
struct Facts {
    done: bool,
    ready: bool,
    unknown_runs: bool,
    paused: bool,
    /// The external admission policy has not decided about any server.
    undecided: bool,
    waiting: usize,
    /// Waiting tasks within the team's limit.
    permitted: usize,
    /// Those of them that may have crashed servers.
    suspects: usize,
    startable: usize,
    qualified: u32,
    excluded: Excluded,
    /// It is a gang of too many tasks to be planned.
    unexamined: bool,
}

impl Facts {
    fn verdict(&self) -> Verdict {
        match self {
            f if f.done => Verdict::Done,
            f if f.waiting == 0 => Verdict::Running,
            f if !f.ready => Verdict::AfterSteps,
            f if f.unknown_runs => Verdict::UnknownRuns,
            f if f.paused => Verdict::Paused,
            f if f.qualified + f.excluded.capable() == 0 => Verdict::NoServer,
            f if f.undecided => Verdict::Query,
            f if f.permitted == 0 => Verdict::Limit,
            f if f.unexamined => Verdict::Unexamined,
            f if f.startable == f.waiting => Verdict::Starts,
            f if f.startable > 0 => Verdict::StartsPartly,
            f if f.suspects == f.permitted => Verdict::Suspect,
            f if f.qualified == 0 && f.excluded.ticket > 0 => Verdict::Ticket,
            _ => Verdict::Room,
        }
    }
}

/// Number of steps ahead of a step, if it is among those with a rank.
fn place_among(step: StepRef, ranks: &[(Rank, StepRef)]) -> Option<Place> {
    let own = ranks.iter().find(|(_, other)| *other == step)?;
    let ahead = ranks.iter().filter(|other| *other < own).count();
    Some(Place {
        ahead: ahead as u32,
        waiting: ranks.len() as u32,
    })
}

/// The job that the submission of a graph would create.
fn unsubmitted_job(subject: Subject, cx: &Cx<'_>) -> Result<Job, Error> {
    let Subject::Graph { queue, team, graph } = subject else {
        return Err(Error::Recovering);
    };
    let Some(settings) = cx.config.queue(&queue) else {
        return Err(Error::NoQueue { queue });
    };
    if !team.is_empty() && cx.config.team(&team).is_none() {
        return Err(Error::NoTeam { team });
    }
    graph.verify()?;
    let submission = Submission {
        queue: queue.clone(),
        service: settings.service.clone(),
        acceptance: Some(Acceptance::new(settings, &team, cx.config)),
        team,
        graph: *graph,
    };
    let id = Name::default();
    let mut job = Job::new(id, CELL_PARTITION, 0, submission, false, cx.now());
    job.urgent = settings.priority == 0;
    job.create_occurrence(0);
    Ok(job)
}
