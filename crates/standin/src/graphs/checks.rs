//! Guarantees for graph jobs, checked from what the backend servers run and
//! what the clients were told.
//!
//! Invariant: a check reads only the state of the simulated backend servers and
//! clients, never the state of a scheduler.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use model::{Attempt, JobId, Name, Resources, RunKey, RunOutcome, Stage, TaskId};
use sched::Finished;

use crate::graphs::callers::{ClientJob, ClientJobs, JobKind};
use crate::graphs::server::{RunEvent, Server};

/// Number of failed runs after which a task is not started again, in every queue.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Number of backend servers that a task has crashed from which it may be given up.
const CRASHES_TO_GIVE_UP: u32 = 2;
/// Number of backend servers that a task has crashed from which its further starts are
/// counted, and the number of those that is too many.
const MAX_CRASHES: u32 = 3;
const MAX_STARTS_AFTER_CRASHES: u32 = 3;
/// Time after the acknowledgement of a cancellation during which tasks of the
/// job may still start.
const CANCEL_START_GRACE: Duration = Duration::from_secs(3);
/// Time after acceptance from which a job must be included in the count of
/// pending jobs.
const PENDING_COUNT_DELAY: Duration = Duration::from_secs(5);
/// Time after `CANCEL_START_GRACE` during which tasks may still be stopping.
const CANCEL_STOP_GRACE: Duration = Duration::from_millis(400);

/// Time after the delivery of a list from which its ends count as noted.
const NOTED_DELAY: Duration = Duration::from_millis(100);
/// Time for which a job may have nothing running although a task's turn has come and
/// there is room.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Time after the end of a run of a long-running task from which the task counts as
/// not running.
const LONG_RUNNING_RESTART_TIME: Duration = Duration::from_secs(6);
/// Time within which a backend server must be called, and its ends acknowledged.
const MAX_SILENCE: Duration = Duration::from_secs(4);

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GuaranteeViolation {
    /// Two runs of a task were active at the same time, or three of one that permits
    /// copies.
    #[error("task {0}: more runs at the same time than permitted")]
    ConcurrentRuns(String),
    /// A task was started after its completion had been acknowledged, or the
    /// completion was acknowledged after the task had been started again.
    #[error("task {0}: completion was acknowledged, but the task was started again")]
    StartAfterCompletion(String),
    /// The runs on a backend server use more than its capacity.
    #[error("backend server {0}: runs use more than its capacity")]
    CapacityExceeded(Name),
    /// A task was started before the steps that it depends on were completed.
    #[error("task {0}: started before the steps that it depends on were completed")]
    StartBeforeDependencies(String),
    /// The running tasks of a team use more than its limit.
    #[error("team {0}: running tasks exceed its limit")]
    TeamLimitExceeded(Name),
    /// A task was started after its last permitted attempt had failed.
    #[error("task {0}: started after its last permitted attempt had failed")]
    StartAfterLastAttempt(String),
    /// A task was started again and again after backend servers had crashed under it.
    #[error("task {0}: started three times more after three backend servers had crashed under it")]
    StartAfterCrashes(String),
    /// A task was started after its job had been cancelled.
    #[error("task {0}: started after its job was cancelled")]
    StartAfterCancel(String),
    /// A task was still running after its job had been cancelled.
    #[error("task {0}: still running after its job was cancelled")]
    RunAfterCancel(String),
    /// A task was started although its job was refused or never submitted.
    #[error("task {0}: started although its job was refused or never submitted")]
    StartAfterRefusal(String),
    /// A task was started on a backend server that the admission policy does not
    /// allow.
    #[error("task {0}: started on a backend server that the admission policy does not allow")]
    StartAgainstPolicy(String),
    /// The reported stage of a job is not its actual stage.
    #[error("job {0}: reported as {1:?}, which is not its actual stage")]
    WrongStage(JobId, Stage),
    /// The reported count of pending jobs of a queue is too low.
    #[error("queue {0}: {1} jobs reported as pending, but at least {2} are")]
    PendingCountTooLow(Name, u32, u32),
    /// An accepted job did not reach a final stage.
    #[error("job {0}: accepted, but did not end; last reported stage {1:?}")]
    JobUnfinished(JobId, Option<Stage>),
    /// A task of an accepted long-running job is not running.
    #[error("job {0}: accepted, but its long-running tasks are not running")]
    ServiceNotRunning(JobId),
    /// A task did not start although its turn had come and there was room.
    #[error("job {0}: nothing runs although a task's turn has come and there is room")]
    JobIdle(JobId),
    /// A backend server that is up and registered was not called.
    #[error("backend server {0}: up and registered, but not called")]
    ServerNotCalled(Name),
    /// An end on a backend server that is up and registered was not acknowledged.
    #[error("backend server {0}: up and registered, but an end was not acknowledged")]
    EndNotAcknowledged(Name),
    /// The state of the owner is inconsistent.
    #[error("inconsistent owner state: {0}")]
    InconsistentOwner(String),
}

/// Time of an event on a backend server, and which bounds apply to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    pub(crate) now: Duration,
    /// All VMs have been able to reach the table service for a while, and the event
    /// is not due to a delayed order; time bounds are checked only then.
    pub(crate) bounds_apply: bool,
    /// The event is due to a delayed order.
    pub(crate) order_is_late: bool,
}

/// Checks the guarantees against a record of all starts, ends and
/// acknowledgements on the backend servers.
#[derive(Debug, Default)]
pub(crate) struct GuaranteeChecker {
    completed_tasks: HashSet<TaskId>,
    acknowledged_tasks: HashSet<TaskId>,
    /// Completed runs, whether acknowledged or not.
    completed_runs: HashMap<TaskId, HashSet<Attempt>>,
    /// Completed runs after which the task was started again. Their ends must
    /// not be acknowledged after that start.
    invalidated_runs: HashSet<RunKey>,
    failed_runs: HashMap<TaskId, HashSet<Attempt>>,
    acknowledged_failures: HashMap<TaskId, HashSet<Attempt>>,
    /// Backend servers that each task has crashed.
    crashes: HashMap<TaskId, u32>,
    /// Starts of each task after it had crashed `MAX_CRASHES` backend servers.
    starts_after_crashes: HashMap<TaskId, u32>,
    pub(crate) starts: u64,
    /// Starts of a task that was running.
    pub(crate) copies: u64,
    /// Jobs of which a task has started, with the time of the first start.
    pub(crate) started_jobs: HashMap<JobId, Duration>,
    /// When the last task of each completed job ended.
    pub(crate) completed_jobs: BTreeMap<JobId, Duration>,
    /// When the last run of each task ended.
    ended_at: HashMap<TaskId, Duration>,
    /// When the list of a completed run of a task was first delivered to an
    /// undisturbed owner.
    listed_tasks: HashMap<TaskId, Duration>,
    /// Since when a job of which a task's turn has come has had nothing running.
    idle_since: HashMap<JobId, Duration>,
    /// Incarnation and number of the oldest unacknowledged end of each backend server,
    /// and since when it has been that.
    oldest_ends: HashMap<Name, (u64, u64, Duration)>,
    /// Since when the bounds that apply to a calm cell are counted.
    calm_since: Duration,
    /// Limit on the processors of a team's running tasks, in millicpus.
    team_limit: u32,
}

fn task_label(task: &TaskId) -> String {
    format!(
        "{}.{}.{}.{}",
        task.job, task.occurrence, task.step, task.index
    )
}

/// Returns whether the external admission policy allows the tasks of a job on a
/// backend server.
pub(crate) fn policy_allows(job: &str, server: &str) -> bool {
    let sum: u32 = job.bytes().chain(server.bytes()).map(u32::from).sum();
    !sum.is_multiple_of(3)
}

impl GuaranteeChecker {
    /// Creates a checker without recorded runs.
    pub(crate) fn new(team_limit: u32) -> Self {
        Self {
            team_limit,
            ..Self::default()
        }
    }

    /// Records an event on a backend server and checks the guarantees.
    pub(crate) fn record(
        &mut self,
        server: usize,
        event: &RunEvent,
        servers: &[Server],
        jobs: &ClientJobs,
        moment: Moment,
        violations: &mut Vec<GuaranteeViolation>,
    ) {
        match event {
            RunEvent::Started(run) => {
                self.record_start(server, run, servers, jobs, moment, violations)
            }
            RunEvent::Ended(run, end) => {
                self.ended_at.insert(run.task.clone(), moment.now);
                self.record_end(run, *end, jobs);
                let id = &run.task.job;
                if jobs.get(id).is_some_and(|job| self.completes(job)) {
                    self.completed_jobs.entry(id.clone()).or_insert(moment.now);
                }
            }
            RunEvent::Acknowledged(run, end) => self.record_acknowledgement(run, *end, violations),
        }
    }

    fn record_start(
        &mut self,
        server: usize,
        run: &RunKey,
        servers: &[Server],
        jobs: &ClientJobs,
        moment: Moment,
        violations: &mut Vec<GuaranteeViolation>,
    ) {
        self.starts += 1;
        let now = moment.now;
        self.started_jobs.entry(run.task.job.clone()).or_insert(now);
        let task = &run.task;
        let label = || task_label(task);
        let active_runs = servers
            .iter()
            .filter(|s| s.up && s.active_runs.contains_key(task))
            .count();
        let speculative = jobs
            .get(&task.job)
            .and_then(|job| job.graph.steps.get(task.step as usize))
            .is_some_and(|step| step.speculative);
        let max_runs = 1 + usize::from(speculative);
        if active_runs > max_runs {
            violations.push(GuaranteeViolation::ConcurrentRuns(label()));
        }
        self.copies += u64::from(active_runs > 1 && speculative);
        // The order to start a copy may be on its way when the task completes.
        let is_late_copy = speculative && moment.order_is_late;
        if self.acknowledged_tasks.contains(task) && !is_late_copy {
            violations.push(GuaranteeViolation::StartAfterCompletion(label()));
        }
        let listed_at = self.listed_tasks.get(task);
        if !moment.order_is_late && listed_at.is_some_and(|at| now > *at + NOTED_DELAY) {
            violations.push(GuaranteeViolation::StartAfterCompletion(label()));
        }
        let completed_runs = self.completed_runs.get(task).into_iter().flatten();
        // The first end of a task that permits copies counts, whatever runs besides.
        self.invalidated_runs
            .extend(
                completed_runs
                    .filter(|_| !speculative)
                    .map(|number| RunKey {
                        task: task.clone(),
                        number: *number,
                    }),
            );
        let failed_attempts = self.acknowledged_failures.get(task).map_or(0, HashSet::len);
        if self.crashes.get(task).is_some_and(|n| *n >= MAX_CRASHES) && !moment.order_is_late {
            let starts = self.starts_after_crashes.entry(task.clone()).or_default();
            *starts += 1;
            if *starts >= MAX_STARTS_AFTER_CRASHES {
                violations.push(GuaranteeViolation::StartAfterCrashes(label()));
            }
        }
        let Some(job) = jobs.get(&task.job) else {
            violations.push(GuaranteeViolation::StartAfterRefusal(label()));
            return;
        };
        if failed_attempts as u32 >= MAX_ATTEMPTS && job.kind != JobKind::Service {
            violations.push(GuaranteeViolation::StartAfterLastAttempt(label()));
        }
        if job.refused && job.accepted_at.is_none() && !job.submission_unknown {
            violations.push(GuaranteeViolation::StartAfterRefusal(label()));
        }
        // The time bound applies only while the owner can reach the table
        // service, and not to orders that are executed with a delay.
        if moment.bounds_apply
            && job
                .cancelled_at
                .is_some_and(|at| now > at + CANCEL_START_GRACE)
        {
            violations.push(GuaranteeViolation::StartAfterCancel(label()));
        }
        if job.queue == "gangs" && !policy_allows(&task.job, &servers[server].id) {
            violations.push(GuaranteeViolation::StartAgainstPolicy(label()));
        }
        let steps = &job.graph.steps;
        let dependencies = steps
            .get(task.step as usize)
            .map(|step| step.depends_on.clone());
        for step in dependencies.into_iter().flatten() {
            let tasks = 0..steps[step as usize].tasks;
            let is_completed = |index| {
                self.completed_tasks.contains(&TaskId {
                    step,
                    index,
                    ..task.clone()
                })
            };
            if !tasks.into_iter().all(is_completed) {
                violations.push(GuaranteeViolation::StartBeforeDependencies(label()));
            }
        }
        check_capacity(&servers[server], jobs, now, violations);
        check_team_limit(self.team_limit, &job.team, servers, jobs, violations);
    }

    fn record_end(&mut self, run: &RunKey, end: RunOutcome, jobs: &ClientJobs) {
        let task = &run.task;
        match end {
            RunOutcome::Completed => {
                let runs = self.completed_runs.entry(task.clone()).or_default();
                runs.insert(run.number);
                let gang = jobs
                    .get(&task.job)
                    .is_some_and(|job| job.kind == JobKind::Gang);
                let members = match gang {
                    true => jobs[&task.job].graph.steps[task.step as usize].tasks,
                    false => 1,
                };
                for member in 0..members {
                    let index = if gang { member } else { task.index };
                    let member = TaskId {
                        index,
                        ..task.clone()
                    };
                    self.completed_tasks.insert(member);
                }
            }
            RunOutcome::Failed => {
                let runs = self.failed_runs.entry(task.clone()).or_default();
                runs.insert(run.number);
            }
            RunOutcome::Stopped
            | RunOutcome::Lapsed
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => {}
        }
    }

    fn record_acknowledgement(
        &mut self,
        run: &RunKey,
        end: RunOutcome,
        violations: &mut Vec<GuaranteeViolation>,
    ) {
        match end {
            RunOutcome::Completed => {
                if self.invalidated_runs.contains(run) {
                    violations.push(GuaranteeViolation::StartAfterCompletion(task_label(
                        &run.task,
                    )));
                }
                self.acknowledged_tasks.insert(run.task.clone());
            }
            RunOutcome::Failed => {
                let runs = self.acknowledged_failures.entry(run.task.clone());
                runs.or_default().insert(run.number);
            }
            RunOutcome::Stopped
            | RunOutcome::Lapsed
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => {}
        }
    }

    /// Checks a stage that was reported to a client; returns a violation if it
    /// contradicts the runs of the job or the requests of the client.
    pub(crate) fn check_stage(
        &self,
        id: &JobId,
        stage: Stage,
        jobs: &ClientJobs,
    ) -> Option<GuaranteeViolation> {
        let job = jobs.get(id)?;
        let is_consistent = match stage {
            Stage::Queued | Stage::Running => true,
            Stage::Completed => self.is_completed(id, jobs),
            Stage::Failed => self.has_failed(id),
            Stage::Cancelled => job.cancel_requested,
        };
        (!is_consistent).then(|| GuaranteeViolation::WrongStage(id.clone(), stage))
    }

    fn is_completed(&self, id: &JobId, jobs: &ClientJobs) -> bool {
        self.completes(&jobs[id])
    }

    fn completes(&self, job: &ClientJob) -> bool {
        tasks_of(job).all(|task| self.completed_tasks.contains(&task))
    }

    /// True when a task of a job may be given up: too many of its runs have failed, or
    /// it has crashed several backend servers.
    fn has_failed(&self, id: &JobId) -> bool {
        let mut failed = self.failed_runs.iter().filter(|(task, _)| task.job == *id);
        let mut crashed = self.crashes.iter().filter(|(task, _)| task.job == *id);
        failed.any(|(_, runs)| runs.len() as u32 >= MAX_ATTEMPTS)
            || crashed.any(|(_, crashes)| *crashes >= CRASHES_TO_GIVE_UP)
    }

    /// Records that a task has crashed its backend server.
    pub(crate) fn record_crash(&mut self, task: &TaskId) {
        *self.crashes.entry(task.clone()).or_default() += 1;
    }

    /// Checks the count of pending jobs of a queue, as reported by a VM that can
    /// reach the table service. It must be at least half of the number of jobs
    /// that were accepted more than `PENDING_COUNT_DELAY` ago and of which no
    /// task has started.
    pub(crate) fn check_pending_count(
        &self,
        queue: &str,
        count: u32,
        jobs: &ClientJobs,
        now: Duration,
    ) -> Option<GuaranteeViolation> {
        let is_waiting = |job: &&ClientJob| {
            let is_due = job
                .accepted_at
                .is_some_and(|at| now > at + PENDING_COUNT_DELAY);
            let has_started = self.started_jobs.contains_key(&job.id);
            job.queue == queue && is_due && !has_started && !job.cancel_requested
        };
        let waiting = jobs.values().filter(is_waiting).count() as u32;
        (count * 2 < waiting)
            .then(|| GuaranteeViolation::PendingCountTooLow(queue.into(), count, waiting))
    }

    /// Records the ends in a list that was delivered to an undisturbed owner.
    pub(crate) fn record_listed_ends(&mut self, finished: &[Finished], now: Duration) {
        let completed = finished
            .iter()
            .filter(|finished| finished.outcome == RunOutcome::Completed);
        for finished in completed {
            let task = finished.run.task.clone();
            self.listed_tasks.entry(task).or_insert(now);
        }
    }

    /// Forgets the ends in lists that were delivered shortly before a disruption,
    /// from `since` on.
    pub(crate) fn forget_listed_ends(&mut self, since: Duration) {
        self.listed_tasks.retain(|_, at| *at < since);
    }

    /// Counts the bounds that apply to a calm cell from now on.
    pub(crate) fn restart_calm_bounds(&mut self, now: Duration) {
        self.idle_since.clear();
        self.oldest_ends.clear();
        self.calm_since = now;
    }

    /// Checks that jobs run, that backend servers are called, and that their ends are
    /// acknowledged, while the cell is calm.
    pub(crate) fn check_calm_cell(
        &mut self,
        jobs: &ClientJobs,
        servers: &[Server],
        now: Duration,
    ) -> Vec<GuaranteeViolation> {
        let usable = |server: &&Server| server.up && server.registered && !server.change_missed;
        let mut violations = Vec::new();
        for server in servers.iter().filter(usable) {
            if now > server.called_at.max(self.calm_since) + MAX_SILENCE {
                violations.push(GuaranteeViolation::ServerNotCalled(server.id.clone()));
            }
            let Some(number) = server.oldest_end() else {
                self.oldest_ends.remove(&server.id);
                continue;
            };
            let fresh = (server.incarnation, number, now);
            let oldest = self.oldest_ends.entry(server.id.clone()).or_insert(fresh);
            if (oldest.0, oldest.1) != (server.incarnation, number) {
                *oldest = fresh;
            }
            if now > oldest.2 + MAX_SILENCE {
                violations.push(GuaranteeViolation::EndNotAcknowledged(server.id.clone()));
            }
        }
        let usable: Vec<&Server> = servers.iter().filter(usable).collect();
        let has_room = has_ample_room(&usable, jobs);
        for job in jobs.values() {
            let is_idle = has_room
                && self.is_waiting(job, servers, now)
                && used_by_team(&job.team, servers, jobs).millicpus <= self.team_limit / 2;
            if !is_idle {
                self.idle_since.remove(&job.id);
                continue;
            }
            let since = self.idle_since.entry(job.id.clone()).or_insert(now);
            if now > *since + MAX_IDLE_TIME {
                violations.push(GuaranteeViolation::JobIdle(job.id.clone()));
                *since = now;
            }
        }
        violations
    }

    /// True when a task's turn has come in an accepted job whose tasks may run on
    /// any backend server, and too little of the job runs: nothing, or not every
    /// task of a long-running job.
    fn is_waiting(&self, job: &ClientJob, servers: &[Server], now: Duration) -> bool {
        let is_running = |task: &TaskId| {
            let mut up = servers.iter().filter(|server| server.up);
            up.any(|server| server.active_runs.contains_key(task))
        };
        let ended_recently = |task: &TaskId| {
            let ended_at = self.ended_at.get(task);
            ended_at.is_some_and(|at| now < *at + LONG_RUNNING_RESTART_TIME)
        };
        let is_live = job.accepted_at.is_some()
            && !job.cancel_requested
            && !job.reported_stage.is_some_and(Stage::is_terminal);
        is_live
            && match job.kind {
                JobKind::Gang => false,
                JobKind::Service => tasks_of(job).any(|t| !is_running(&t) && !ended_recently(&t)),
                JobKind::Chain | JobKind::AlwaysFails => {
                    !self.completes(job)
                        && !tasks_of(job).any(|t| is_running(&t))
                        && !self.has_failed(&job.id)
                }
            }
    }

    /// Checks that no task of a cancelled job is still running.
    pub(crate) fn check_cancelled_jobs(
        &self,
        jobs: &ClientJobs,
        servers: &[Server],
        now: Duration,
    ) -> Vec<GuaranteeViolation> {
        let overdue = |task: &&TaskId| {
            let job = jobs.get(&task.job);
            let cancelled = job.and_then(|job| job.cancelled_at);
            cancelled.is_some_and(|at| now > at + CANCEL_START_GRACE + CANCEL_STOP_GRACE)
        };
        let up = servers.iter().filter(|server| server.up);
        let live = up.flat_map(|server| server.active_runs.keys());
        live.filter(overdue)
            .map(|task| GuaranteeViolation::RunAfterCancel(task_label(task)))
            .collect()
    }

    /// Checks that every accepted job has reached a final stage, or runs if it is
    /// a long-running job that was not cancelled.
    pub(crate) fn check_final_stages(
        &self,
        jobs: &ClientJobs,
        servers: &[Server],
    ) -> Vec<GuaranteeViolation> {
        let mut violations = Vec::new();
        for job in jobs.values().filter(|job| job.accepted_at.is_some()) {
            let is_running = |step: usize| {
                let tasks = 0..job.graph.steps[step].tasks;
                tasks.into_iter().all(|index| {
                    servers.iter().any(|server| {
                        server.up
                            && server.active_runs.contains_key(&TaskId {
                                job: job.id.clone(),
                                occurrence: 0,
                                step: step as u32,
                                index,
                            })
                    })
                })
            };
            let must_run = job.kind == JobKind::Service && job.cancelled_at.is_none();
            match job.reported_stage {
                Some(stage) if stage.is_terminal() => {}
                _ if must_run && is_running(0) => {}
                _ if must_run => {
                    violations.push(GuaranteeViolation::ServiceNotRunning(job.id.clone()))
                }
                stage => violations.push(GuaranteeViolation::JobUnfinished(job.id.clone(), stage)),
            }
        }
        violations
    }
}

fn check_capacity(
    server: &Server,
    jobs: &ClientJobs,
    now: Duration,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let used = used_resources(server, jobs, |_| true);
    if !used.fits(&server.permitted_capacity(now)) {
        violations.push(GuaranteeViolation::CapacityExceeded(server.id.clone()));
    }
}

fn check_team_limit(
    limit: u32,
    team: &Name,
    servers: &[Server],
    jobs: &ClientJobs,
    violations: &mut Vec<GuaranteeViolation>,
) {
    if used_by_team(team, servers, jobs).millicpus > limit {
        violations.push(GuaranteeViolation::TeamLimitExceeded(team.clone()));
    }
}

fn used_resources<F>(server: &Server, jobs: &ClientJobs, includes_team: F) -> Resources
where
    F: Fn(&Name) -> bool,
{
    let task_resources = |task: &TaskId| {
        let job = jobs.get(&task.job).filter(|job| includes_team(&job.team))?;
        let step = job.graph.steps.get(task.step as usize)?;
        Some(step.each)
    };
    let tasks = server.active_runs.keys().filter_map(task_resources);
    tasks.fold(Resources::ZERO, Resources::plus)
}

/// Resources that the running tasks of a team use.
fn used_by_team(team: &Name, servers: &[Server], jobs: &ClientJobs) -> Resources {
    let up = servers.iter().filter(|server| server.up);
    up.fold(Resources::ZERO, |sum, server| {
        sum.plus(used_resources(server, jobs, |other| other == team))
    })
}

/// True when under half of the capacity of the backend servers is in use.
fn has_ample_room(servers: &[&Server], jobs: &ClientJobs) -> bool {
    let capacity = servers
        .iter()
        .fold(Resources::ZERO, |sum, server| sum.plus(server.capacity));
    let used = servers.iter().fold(Resources::ZERO, |sum, server| {
        sum.plus(used_resources(server, jobs, |_| true))
    });
    used.plus(used).fits(&capacity)
}

/// Tasks of all steps of a job.
fn tasks_of(job: &ClientJob) -> impl Iterator<Item = TaskId> + '_ {
    let id = &job.id;
    let steps = job.graph.steps.iter().enumerate();
    steps.flat_map(move |(step, spec)| {
        (0..spec.tasks).map(move |index| TaskId {
            job: id.clone(),
            occurrence: 0,
            step: step as u32,
            index,
        })
    })
}
