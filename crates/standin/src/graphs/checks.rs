//! Promises about graph jobs, checked from what backend servers run and what
//! callers were told.
//!
//! Invariant: a check looks at the truth of the stand-ins only, never at what
//! a scheduler believes.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::{Attempt, JobId, Name, Resources, RunId, RunOutcome, Stage, TaskId};

use crate::graphs::callers::{Client, Clients, Shape};
use crate::graphs::server::{Happening, Server};

/// Failed runs after which a task is given up, in every queue.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Time after the acknowledgement of a cancellation in which tasks may start.
const CANCEL_TIME: Duration = Duration::from_secs(3);
/// Age from which an accepted job must show in the count of those that wait.
const PENDING_AGE: Duration = Duration::from_secs(5);
/// Time after that in which they may still be stopping.
const STOP_TIME: Duration = Duration::from_millis(400);

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// Two runs of a task at once.
    #[error("{0}: two runs at once")]
    Twice(String),
    /// A start after an acknowledged completion.
    #[error("{0}: started after its completion was acknowledged")]
    Again(String),
    /// A backend server holds more than it has.
    #[error("{0}: more than its capacity")]
    Room(Name),
    /// A start before its predecessors were completed.
    #[error("{0}: started before its predecessors were completed")]
    Order(String),
    /// A team has more running than its limit.
    #[error("{0}: above its limit")]
    Limit(Name),
    /// A start after the attempts of the task were used up.
    #[error("{0}: started after all its attempts")]
    Budget(String),
    /// A start after the job was cancelled.
    #[error("{0}: started after it was cancelled")]
    Cancelled(String),
    /// A task that runs on after its job was cancelled.
    #[error("{0}: runs on after it was cancelled")]
    RunsOn(String),
    /// A start of a job that was refused.
    #[error("{0}: started though refused")]
    Refused(String),
    /// A start on a backend server that the outside policy did not allow.
    #[error("{0}: started where the policy did not allow it")]
    NotAllowed(String),
    /// A state that is not true.
    #[error("{0}: shown as {1:?}, which is not true")]
    State(JobId, Stage),
    /// Too low a count of jobs that wait.
    #[error("{0}: {1} jobs shown as waiting, of {2}")]
    Pending(Name, u32, u32),
    /// An accepted job that did not come to its end.
    #[error("{0}: accepted, and not at its end: shown {1:?}")]
    Unfinished(JobId, Option<Stage>),
    /// A long-running task that does not run.
    #[error("{0}: accepted, and its tasks do not run")]
    Away(JobId),
    /// The scheduler's books do not match.
    #[error("books: {0}")]
    Books(String),
}

/// What truly happened.
#[derive(Debug, Default)]
pub(crate) struct Truth {
    completed: HashSet<TaskId>,
    acknowledged: HashSet<TaskId>,
    /// Completed runs that are not acknowledged yet.
    completed_runs: HashMap<TaskId, HashSet<Attempt>>,
    /// Completed runs after which the task was started again: their ends must
    /// never be acknowledged.
    restarted: HashSet<RunId>,
    failed: HashMap<TaskId, HashSet<Attempt>>,
    failed_acknowledged: HashMap<TaskId, HashSet<Attempt>>,
    pub(crate) starts: u64,
    /// Jobs of which a task has started.
    begun: HashSet<JobId>,
    /// Processors in thousandths that a team may have running.
    team_limit: u32,
}

fn text(task: &TaskId) -> String {
    format!(
        "{}.{}.{}.{}",
        task.job, task.occurrence, task.step, task.index
    )
}

/// Whether the outside policy allows a step on a backend server.
pub(crate) fn allows(job: &str, server: &str) -> bool {
    let sum: u32 = job.bytes().chain(server.bytes()).map(u32::from).sum();
    !sum.is_multiple_of(3)
}

impl Truth {
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
    pub(crate) fn note(
        &mut self,
        at: usize,
        happening: &Happening,
        servers: &[Server],
        clients: &Clients,
        (now, in_touch): (Duration, bool),
        broken: &mut Vec<Broken>,
    ) {
        match happening {
            Happening::Started(run) => {
                self.started(at, run, servers, clients, (now, in_touch), broken)
            }
            Happening::Ended(run, end) => self.ended(run, *end, clients),
            Happening::Acknowledged(run, end) => self.acknowledged(run, *end, broken),
        }
    }

    fn started(
        &mut self,
        at: usize,
        run: &RunId,
        servers: &[Server],
        clients: &Clients,
        (now, in_touch): (Duration, bool),
        broken: &mut Vec<Broken>,
    ) {
        self.starts += 1;
        self.begun.insert(run.task.job.clone());
        let task = &run.task;
        let name = || text(task);
        let copies = servers.iter().filter(|s| s.up && s.live.contains_key(task));
        if copies.count() > 1 {
            broken.push(Broken::Twice(name()));
        }
        if self.acknowledged.contains(task) {
            broken.push(Broken::Again(name()));
        }
        let ended = self.completed_runs.get(task).into_iter().flatten();
        self.restarted.extend(ended.map(|number| RunId {
            task: task.clone(),
            number: *number,
        }));
        let used_up = self.failed_acknowledged.get(task).map_or(0, HashSet::len);
        let Some(client) = clients.get(&task.job) else {
            broken.push(Broken::Refused(name()));
            return;
        };
        if used_up as u32 >= MAX_ATTEMPTS && client.shape != Shape::Service {
            broken.push(Broken::Budget(name()));
        }
        if client.refused && client.accepted.is_none() && !client.asked_unknown {
            broken.push(Broken::Refused(name()));
        }
        // The bound holds for owners that are in touch with the table service,
        // and not for orders that are carried out late.
        if in_touch && client.cancelled.is_some_and(|at| now > at + CANCEL_TIME) {
            broken.push(Broken::Cancelled(name()));
        }
        if client.queue == "gangs" && !allows(&task.job, &servers[at].id) {
            broken.push(Broken::NotAllowed(name()));
        }
        let steps = &client.graph.steps;
        let before = steps
            .get(task.step as usize)
            .map(|step| step.depends_on.clone());
        for step in before.into_iter().flatten() {
            let tasks = 0..steps[step as usize].tasks;
            let done = |index| {
                self.completed.contains(&TaskId {
                    step,
                    index,
                    ..task.clone()
                })
            };
            if !tasks.into_iter().all(done) {
                broken.push(Broken::Order(name()));
            }
        }
        check_room(&servers[at], clients, broken);
        check_limit(self.team_limit, &client.team, servers, clients, broken);
    }

    fn ended(&mut self, run: &RunId, end: RunOutcome, clients: &Clients) {
        let task = &run.task;
        match end {
            RunOutcome::Completed => {
                let runs = self.completed_runs.entry(task.clone()).or_default();
                runs.insert(run.number);
                let gang = clients
                    .get(&task.job)
                    .is_some_and(|c| c.shape == Shape::Gang);
                let members = match gang {
                    true => clients[&task.job].graph.steps[task.step as usize].tasks,
                    false => 1,
                };
                for member in 0..members {
                    let index = if gang { member } else { task.index };
                    let member = TaskId {
                        index,
                        ..task.clone()
                    };
                    self.completed.insert(member);
                }
            }
            RunOutcome::Failed => {
                let runs = self.failed.entry(task.clone()).or_default();
                runs.insert(run.number);
            }
            RunOutcome::Stopped
            | RunOutcome::Lapsed
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => {}
        }
    }

    fn acknowledged(&mut self, run: &RunId, end: RunOutcome, broken: &mut Vec<Broken>) {
        match end {
            RunOutcome::Completed => {
                if self.restarted.contains(run) {
                    broken.push(Broken::Again(text(&run.task)));
                }
                self.acknowledged.insert(run.task.clone());
            }
            RunOutcome::Failed => {
                let runs = self.failed_acknowledged.entry(run.task.clone());
                runs.or_default().insert(run.number);
            }
            RunOutcome::Stopped
            | RunOutcome::Lapsed
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => {}
        }
    }

    /// Checks a state that a caller was shown.
    pub(crate) fn shown(&self, id: &JobId, stage: Stage, clients: &Clients) -> Option<Broken> {
        let client = clients.get(id)?;
        let true_state = match stage {
            Stage::Queued | Stage::Running => true,
            Stage::Completed => self.is_completed(id, clients),
            Stage::Failed => self.has_failed(id),
            Stage::Cancelled => client.cancel_asked,
        };
        (!true_state).then(|| Broken::State(id.clone(), stage))
    }

    fn is_completed(&self, id: &JobId, clients: &Clients) -> bool {
        let steps = clients[id].graph.steps.iter().enumerate();
        let mut tasks = steps.flat_map(|(step, spec)| {
            (0..spec.tasks).map(move |index| TaskId {
                job: id.clone(),
                occurrence: 0,
                step: step as u32,
                index,
            })
        });
        tasks.all(|task| self.completed.contains(&task))
    }

    fn has_failed(&self, id: &JobId) -> bool {
        let mut failed = self.failed.iter().filter(|(task, _)| task.job == *id);
        failed.any(|(_, runs)| runs.len() as u32 >= MAX_ATTEMPTS)
    }

    /// Checks a count of jobs that wait, as a VM in touch gave it: at least
    /// half of those that were accepted a while ago and have not begun.
    pub(crate) fn pending(
        &self,
        queue: &str,
        count: u32,
        clients: &Clients,
        now: Duration,
    ) -> Option<Broken> {
        let waits = |client: &&Client| {
            let old = client.accepted.is_some_and(|at| now > at + PENDING_AGE);
            let begun = self.begun.contains(&client.id);
            client.queue == queue && old && !begun && !client.cancel_asked
        };
        let waiting = clients.values().filter(waits).count() as u32;
        (count * 2 < waiting).then(|| Broken::Pending(queue.into(), count, waiting))
    }

    /// Checks that nothing of a cancelled job runs on.
    pub(crate) fn cancelled(
        &self,
        clients: &Clients,
        servers: &[Server],
        now: Duration,
    ) -> Vec<Broken> {
        let over = |task: &&TaskId| {
            let client = clients.get(&task.job);
            let cancelled = client.and_then(|client| client.cancelled);
            cancelled.is_some_and(|at| now > at + CANCEL_TIME + STOP_TIME)
        };
        let up = servers.iter().filter(|server| server.up);
        let live = up.flat_map(|server| server.live.keys());
        live.filter(over)
            .map(|task| Broken::RunsOn(text(task)))
            .collect()
    }

    /// Checks that every accepted job came to its end.
    pub(crate) fn settle(&self, clients: &Clients, servers: &[Server]) -> Vec<Broken> {
        let mut broken = Vec::new();
        for client in clients.values().filter(|client| client.accepted.is_some()) {
            let runs = |step: usize| {
                let tasks = 0..client.graph.steps[step].tasks;
                tasks.into_iter().all(|index| {
                    servers.iter().any(|server| {
                        server.up
                            && server.live.contains_key(&TaskId {
                                job: client.id.clone(),
                                occurrence: 0,
                                step: step as u32,
                                index,
                            })
                    })
                })
            };
            let serves = client.shape == Shape::Service && client.cancelled.is_none();
            match client.shown {
                Some(stage) if stage.is_terminal() => {}
                _ if serves && runs(0) => {}
                _ if serves => broken.push(Broken::Away(client.id.clone())),
                shown => broken.push(Broken::Unfinished(client.id.clone(), shown)),
            }
        }
        broken
    }
}

fn check_room(server: &Server, clients: &Clients, broken: &mut Vec<Broken>) {
    let used = used_by(server, clients, |_| true);
    if !used.fits(&server.capacity) {
        broken.push(Broken::Room(server.id.clone()));
    }
}

fn check_limit(
    limit: u32,
    team: &Name,
    servers: &[Server],
    clients: &Clients,
    broken: &mut Vec<Broken>,
) {
    let up = servers.iter().filter(|server| server.up);
    let used = up.fold(Resources::ZERO, |sum, server| {
        sum.plus(used_by(server, clients, |other| other == team))
    });
    if used.millicpus > limit {
        broken.push(Broken::Limit(team.clone()));
    }
}

fn used_by<F>(server: &Server, clients: &Clients, counts: F) -> Resources
where
    F: Fn(&Name) -> bool,
{
    let each = |task: &TaskId| {
        let client = clients.get(&task.job).filter(|c| counts(&c.team))?;
        let step = client.graph.steps.get(task.step as usize)?;
        Some(step.each)
    };
    let tasks = server.live.keys().filter_map(each);
    tasks.fold(Resources::ZERO, Resources::plus)
}
