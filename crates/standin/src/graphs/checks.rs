//! Guarantees for graph jobs, checked from what the backend servers run and
//! what the clients were told.
//!
//! Invariant: a check reads only the state of the simulated backend servers and
//! clients, never the state of a scheduler.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::{Attempt, JobId, Name, Resources, RunKey, RunOutcome, Stage, TaskId};

use crate::graphs::callers::{ClientJob, ClientJobs, JobKind};
use crate::graphs::server::{RunEvent, Server};

/// Number of failed runs after which a task is not started again, in every queue.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Time after the acknowledgement of a cancellation during which tasks of the
/// job may still start.
const CANCEL_START_GRACE: Duration = Duration::from_secs(3);
/// Time after acceptance from which a job must be included in the count of
/// pending jobs.
const PENDING_COUNT_DELAY: Duration = Duration::from_secs(5);
/// Time after `CANCEL_START_GRACE` during which tasks may still be stopping.
const CANCEL_STOP_GRACE: Duration = Duration::from_millis(400);

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GuaranteeViolation {
    /// Two runs of a task were active at the same time.
    #[error("task {0}: two runs at the same time")]
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
    /// The state of the owner is inconsistent.
    #[error("inconsistent owner state: {0}")]
    InconsistentOwner(String),
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
    pub(crate) starts: u64,
    /// Jobs of which a task has started, with the time of the first start.
    pub(crate) started_jobs: HashMap<JobId, Duration>,
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
    /// `bounds_apply` is true if all VMs have been able to reach the table
    /// service for a while and the event is not due to a delayed order; time
    /// bounds are checked only then.
    pub(crate) fn record(
        &mut self,
        server: usize,
        event: &RunEvent,
        servers: &[Server],
        jobs: &ClientJobs,
        (now, bounds_apply): (Duration, bool),
        violations: &mut Vec<GuaranteeViolation>,
    ) {
        match event {
            RunEvent::Started(run) => {
                self.record_start(server, run, servers, jobs, (now, bounds_apply), violations)
            }
            RunEvent::Ended(run, end) => self.record_end(run, *end, jobs),
            RunEvent::Acknowledged(run, end) => self.record_acknowledgement(run, *end, violations),
        }
    }

    fn record_start(
        &mut self,
        server: usize,
        run: &RunKey,
        servers: &[Server],
        jobs: &ClientJobs,
        (now, bounds_apply): (Duration, bool),
        violations: &mut Vec<GuaranteeViolation>,
    ) {
        self.starts += 1;
        self.started_jobs.entry(run.task.job.clone()).or_insert(now);
        let task = &run.task;
        let label = || task_label(task);
        let active_runs = servers
            .iter()
            .filter(|s| s.up && s.active_runs.contains_key(task));
        if active_runs.count() > 1 {
            violations.push(GuaranteeViolation::ConcurrentRuns(label()));
        }
        if self.acknowledged_tasks.contains(task) {
            violations.push(GuaranteeViolation::StartAfterCompletion(label()));
        }
        let completed_runs = self.completed_runs.get(task).into_iter().flatten();
        self.invalidated_runs
            .extend(completed_runs.map(|number| RunKey {
                task: task.clone(),
                number: *number,
            }));
        let failed_attempts = self.acknowledged_failures.get(task).map_or(0, HashSet::len);
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
        if bounds_apply
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
        check_capacity(&servers[server], jobs, violations);
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
        let steps = jobs[id].graph.steps.iter().enumerate();
        let mut tasks = steps.flat_map(|(step, spec)| {
            (0..spec.tasks).map(move |index| TaskId {
                job: id.clone(),
                occurrence: 0,
                step: step as u32,
                index,
            })
        });
        tasks.all(|task| self.completed_tasks.contains(&task))
    }

    fn has_failed(&self, id: &JobId) -> bool {
        let mut failed = self.failed_runs.iter().filter(|(task, _)| task.job == *id);
        failed.any(|(_, runs)| runs.len() as u32 >= MAX_ATTEMPTS)
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

fn check_capacity(server: &Server, jobs: &ClientJobs, violations: &mut Vec<GuaranteeViolation>) {
    let used = used_resources(server, jobs, |_| true);
    if !used.fits(&server.capacity) {
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
    let up = servers.iter().filter(|server| server.up);
    let used = up.fold(Resources::ZERO, |sum, server| {
        sum.plus(used_resources(server, jobs, |other| other == team))
    });
    if used.millicpus > limit {
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
