//! Promises about graph jobs, checked from what backend servers run and what
//! callers were told.
//!
//! Invariant: a check looks at the truth of the stand-ins only, never at what
//! a scheduler believes.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::{Attempt, End, JobId, Name, Resources, Run, Stage, TaskName};

use crate::graphs::callers::{ClientJob, ClientJobs, JobKind};
use crate::graphs::server::{RunEvent, Server};

/// Failed runs after which a task is given up, in every queue.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Time after the acknowledgement of a cancellation in which tasks may start.
const CANCEL_START_GRACE: Duration = Duration::from_secs(3);
/// Age from which an accepted job must show in the count of those that wait.
const PENDING_COUNT_DELAY: Duration = Duration::from_secs(5);
/// Time after that in which they may still be stopping.
const CANCEL_STOP_GRACE: Duration = Duration::from_millis(400);

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GuaranteeViolation {
    /// Two runs of a task at once.
    #[error("{0}: two runs at once")]
    ConcurrentRuns(String),
    /// A start after an acknowledged completion.
    #[error("{0}: started after its completion was acknowledged")]
    StartAfterCompletion(String),
    /// A backend server holds more than it has.
    #[error("{0}: more than its capacity")]
    CapacityExceeded(Name),
    /// A start before its predecessors were completed.
    #[error("{0}: started before its predecessors were completed")]
    StartBeforeDependencies(String),
    /// A team has more running than its limit.
    #[error("{0}: above its limit")]
    TeamLimitExceeded(Name),
    /// A start after the attempts of the task were used up.
    #[error("{0}: started after all its attempts")]
    StartAfterLastAttempt(String),
    /// A start after the job was cancelled.
    #[error("{0}: started after it was cancelled")]
    StartAfterCancel(String),
    /// A task that runs on after its job was cancelled.
    #[error("{0}: runs on after it was cancelled")]
    RunAfterCancel(String),
    /// A start of a job that was refused.
    #[error("{0}: started though refused")]
    StartAfterRefusal(String),
    /// A start on a backend server that the outside policy did not allow.
    #[error("{0}: started where the policy did not allow it")]
    StartAgainstPolicy(String),
    /// A state that is not true.
    #[error("{0}: shown as {1:?}, which is not true")]
    WrongStage(JobId, Stage),
    /// Too low a count of jobs that wait.
    #[error("{0}: {1} jobs shown as waiting, of {2}")]
    PendingCountTooLow(Name, u32, u32),
    /// An accepted job that did not come to its end.
    #[error("{0}: accepted, and not at its end: shown {1:?}")]
    JobUnfinished(JobId, Option<Stage>),
    /// A long-running task that does not run.
    #[error("{0}: accepted, and its tasks do not run")]
    ServiceNotRunning(JobId),
    /// The scheduler's books do not match.
    #[error("books: {0}")]
    InconsistentOwner(String),
}

/// What truly happened.
#[derive(Debug, Default)]
pub(crate) struct GuaranteeChecker {
    completed_tasks: HashSet<TaskName>,
    acknowledged_tasks: HashSet<TaskName>,
    /// Completed runs that are not acknowledged yet.
    completed_runs: HashMap<TaskName, HashSet<Attempt>>,
    /// Completed runs after which the task was started again: their ends must
    /// never be acknowledged.
    invalidated_runs: HashSet<Run>,
    failed_runs: HashMap<TaskName, HashSet<Attempt>>,
    acknowledged_failures: HashMap<TaskName, HashSet<Attempt>>,
    pub(crate) starts: u64,
    /// Jobs of which a task has started.
    started_jobs: HashSet<JobId>,
    /// Processors in thousandths that a team may have running.
    team_limit: u32,
}

fn task_label(task: &TaskName) -> String {
    format!(
        "{}.{}.{}.{}",
        task.job, task.occurrence, task.step, task.index
    )
}

/// Whether the outside policy allows a step on a backend server.
pub(crate) fn policy_allows(job: &str, server: &str) -> bool {
    let sum: u32 = job.bytes().chain(server.bytes()).map(u32::from).sum();
    !sum.is_multiple_of(3)
}

impl GuaranteeChecker {
    /// Nothing has happened yet.
    pub(crate) fn new(team_limit: u32) -> Self {
        Self {
            team_limit,
            ..Self::default()
        }
    }

    /// Takes in what happened on a backend server at a time; `in_touch` says
    /// whether the VMs have reached the table service for a while and the order
    /// is not a late one.
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
        run: &Run,
        servers: &[Server],
        jobs: &ClientJobs,
        (now, bounds_apply): (Duration, bool),
        violations: &mut Vec<GuaranteeViolation>,
    ) {
        self.starts += 1;
        self.started_jobs.insert(run.task.job.clone());
        let task = &run.task;
        let name = || task_label(task);
        let copies = servers
            .iter()
            .filter(|s| s.up && s.active_runs.contains_key(task));
        if copies.count() > 1 {
            violations.push(GuaranteeViolation::ConcurrentRuns(name()));
        }
        if self.acknowledged_tasks.contains(task) {
            violations.push(GuaranteeViolation::StartAfterCompletion(name()));
        }
        let completed_runs = self.completed_runs.get(task).into_iter().flatten();
        self.invalidated_runs
            .extend(completed_runs.map(|number| Run {
                task: task.clone(),
                number: *number,
            }));
        let failed_attempts = self.acknowledged_failures.get(task).map_or(0, HashSet::len);
        let Some(job) = jobs.get(&task.job) else {
            violations.push(GuaranteeViolation::StartAfterRefusal(name()));
            return;
        };
        if failed_attempts as u32 >= MAX_ATTEMPTS && job.kind != JobKind::Service {
            violations.push(GuaranteeViolation::StartAfterLastAttempt(name()));
        }
        if job.refused && job.accepted_at.is_none() && !job.submission_unknown {
            violations.push(GuaranteeViolation::StartAfterRefusal(name()));
        }
        // The bound holds for owners that are in touch with the table service,
        // and not for orders that are carried out late.
        if bounds_apply
            && job
                .cancelled_at
                .is_some_and(|at| now > at + CANCEL_START_GRACE)
        {
            violations.push(GuaranteeViolation::StartAfterCancel(name()));
        }
        if job.queue == "gangs" && !policy_allows(&task.job, &servers[server].id) {
            violations.push(GuaranteeViolation::StartAgainstPolicy(name()));
        }
        let steps = &job.graph.steps;
        let dependencies = steps.get(task.step as usize).map(|step| step.after.clone());
        for step in dependencies.into_iter().flatten() {
            let tasks = 0..steps[step as usize].tasks;
            let is_completed = |index| {
                self.completed_tasks.contains(&TaskName {
                    step,
                    index,
                    ..task.clone()
                })
            };
            if !tasks.into_iter().all(is_completed) {
                violations.push(GuaranteeViolation::StartBeforeDependencies(name()));
            }
        }
        check_capacity(&servers[server], jobs, violations);
        check_team_limit(self.team_limit, &job.team, servers, jobs, violations);
    }

    fn record_end(&mut self, run: &Run, end: End, jobs: &ClientJobs) {
        let task = &run.task;
        match end {
            End::Completed => {
                let runs = self.completed_runs.entry(task.clone()).or_default();
                runs.insert(run.number);
                let gang = jobs.get(&task.job).is_some_and(|c| c.kind == JobKind::Gang);
                let members = match gang {
                    true => jobs[&task.job].graph.steps[task.step as usize].tasks,
                    false => 1,
                };
                for member in 0..members {
                    let index = if gang { member } else { task.index };
                    let member = TaskName {
                        index,
                        ..task.clone()
                    };
                    self.completed_tasks.insert(member);
                }
            }
            End::Failed => {
                let runs = self.failed_runs.entry(task.clone()).or_default();
                runs.insert(run.number);
            }
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {}
        }
    }

    fn record_acknowledgement(
        &mut self,
        run: &Run,
        end: End,
        violations: &mut Vec<GuaranteeViolation>,
    ) {
        match end {
            End::Completed => {
                if self.invalidated_runs.contains(run) {
                    violations.push(GuaranteeViolation::StartAfterCompletion(task_label(
                        &run.task,
                    )));
                }
                self.acknowledged_tasks.insert(run.task.clone());
            }
            End::Failed => {
                let runs = self.acknowledged_failures.entry(run.task.clone());
                runs.or_default().insert(run.number);
            }
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {}
        }
    }

    /// Checks a state that a caller was shown.
    pub(crate) fn check_stage(
        &self,
        id: &JobId,
        stage: Stage,
        jobs: &ClientJobs,
    ) -> Option<GuaranteeViolation> {
        let job = jobs.get(id)?;
        let is_true = match stage {
            Stage::Queued | Stage::Running => true,
            Stage::Completed => self.is_completed(id, jobs),
            Stage::Failed => self.has_failed(id),
            Stage::Cancelled => job.cancel_requested,
        };
        (!is_true).then(|| GuaranteeViolation::WrongStage(id.clone(), stage))
    }

    fn is_completed(&self, id: &JobId, jobs: &ClientJobs) -> bool {
        let steps = jobs[id].graph.steps.iter().enumerate();
        let mut tasks = steps.flat_map(|(step, spec)| {
            (0..spec.tasks).map(move |index| TaskName {
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

    /// Checks a count of jobs that wait, as a VM in touch gave it: at least
    /// half of those that were accepted a while ago and have not begun.
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
            let has_started = self.started_jobs.contains(&job.id);
            job.queue == queue && is_due && !has_started && !job.cancel_requested
        };
        let waiting = jobs.values().filter(is_waiting).count() as u32;
        (count * 2 < waiting)
            .then(|| GuaranteeViolation::PendingCountTooLow(queue.into(), count, waiting))
    }

    /// Checks that nothing of a cancelled job runs on.
    pub(crate) fn check_cancelled_jobs(
        &self,
        jobs: &ClientJobs,
        servers: &[Server],
        now: Duration,
    ) -> Vec<GuaranteeViolation> {
        let overdue = |task: &&TaskName| {
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

    /// Checks that every accepted job came to its end.
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
                            && server.active_runs.contains_key(&TaskName {
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
                Some(stage) if stage.is_final() => {}
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
    let task_resources = |task: &TaskName| {
        let job = jobs.get(&task.job).filter(|c| includes_team(&c.team))?;
        let step = job.graph.steps.get(task.step as usize)?;
        Some(step.each)
    };
    let tasks = server.active_runs.keys().filter_map(task_resources);
    tasks.fold(Resources::ZERO, Resources::plus)
}
