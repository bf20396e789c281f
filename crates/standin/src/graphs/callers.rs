//! Jobs that clients submit, and the responses that the clients received.
//!
//! Invariant: a call without a response is retried with the same job id.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use model::{Graph, JobId, Name, Resources, RunKey, RunOutcome, Stage, Step, TaskId};

/// Factor on the run time of speculative steps on slow servers.
const SLOWDOWN: u32 = 7;

/// Kinds of jobs that clients submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    /// Two steps of short tasks; the second depends on the first.
    Chain,
    /// One step whose tasks run only at the same time.
    Gang,
    /// Long-running tasks, which run until the job is cancelled.
    Service,
    /// Tasks of which every run fails.
    AlwaysFails,
}

/// How the runs of a task behave on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct TaskBehaviour {
    pub(crate) gang: bool,
    pub(crate) long_running: bool,
    pub(crate) speculative: bool,
    always_fails: bool,
}

impl TaskBehaviour {
    /// Returns when and how a run ends unless it is stopped. On a server that is `slow`,
    /// tasks that permit copies take longer.
    pub(crate) fn planned_end(
        &self,
        run: &RunKey,
        slow: bool,
        now: Duration,
    ) -> (Duration, RunOutcome) {
        let time = Duration::from_millis(200 + u64::from(run.task.index % 5) * 180);
        let time = match self.speculative && slow {
            true => time * SLOWDOWN,
            false => time,
        };
        match self.always_fails {
            true => (now + time / 4, RunOutcome::Failed),
            false => (now + time, RunOutcome::Completed),
        }
    }
}

/// A job of a client, and what the client knows about it.
#[derive(Clone, Debug)]
pub(crate) struct ClientJob {
    pub(crate) id: JobId,
    pub(crate) queue: &'static str,
    pub(crate) team: Name,
    pub(crate) graph: Graph,
    pub(crate) kind: JobKind,
    /// The first task of its first step crashes each backend server that starts it.
    pub(crate) crashes_servers: bool,
    pub(crate) submitted_at: Duration,
    pub(crate) accepted_at: Option<Duration>,
    pub(crate) refused: bool,
    /// A submission had an unknown outcome, so the job may run although a later
    /// submission was refused.
    pub(crate) submission_unknown: bool,
    pub(crate) cancel_requested: bool,
    pub(crate) cancelled_at: Option<Duration>,
    /// Stage in the last response to a state request.
    pub(crate) reported_stage: Option<Stage>,
}

/// Jobs of all clients by id.
pub(crate) type ClientJobs = BTreeMap<JobId, ClientJob>;

impl ClientJob {
    /// Generates the `n`th job of a simulation.
    pub(crate) fn new(n: u64, now: Duration, rng: &mut fastrand::Rng) -> Self {
        let kind = match rng.u32(0..10) {
            0..6 => JobKind::Chain,
            6..8 => JobKind::Gang,
            8 => JobKind::Service,
            _ => JobKind::AlwaysFails,
        };
        let team = match rng.u32(0..3) {
            0 => "red",
            1 => "blue",
            _ => "green",
        };
        let id = format_compact!("{n:016x}");
        Self {
            graph: build_graph(kind, &id, rng),
            id,
            queue: if kind == JobKind::Gang {
                "gangs"
            } else {
                "plain"
            },
            team: team.into(),
            kind,
            crashes_servers: false,
            submitted_at: now,
            accepted_at: None,
            refused: false,
            submission_unknown: false,
            cancel_requested: false,
            cancelled_at: None,
            reported_stage: None,
        }
    }

    /// Permits copies of its tasks, unless they are a gang or long-running.
    pub(crate) fn permit_copies(&mut self) {
        for step in &mut self.graph.steps {
            step.speculative = !step.gang && !step.long_running;
        }
    }

    /// True if a step permits copies of its tasks.
    pub(crate) fn permits_copies(&self) -> bool {
        self.graph.steps.iter().any(|step| step.speculative)
    }

    /// Returns true for the task that crashes each backend server that starts it.
    pub(crate) fn crashes_server(&self, task: &TaskId) -> bool {
        self.crashes_servers && (task.step, task.index) == (0, 0)
    }

    /// Returns how the runs of a task of this job behave; `None` if the graph has
    /// no such step.
    pub(crate) fn task_behaviour(&self, task: &TaskId) -> Option<TaskBehaviour> {
        let step = self.graph.steps.get(task.step as usize)?;
        Some(TaskBehaviour {
            gang: step.gang,
            long_running: step.long_running,
            speculative: step.speculative,
            always_fails: self.kind == JobKind::AlwaysFails,
        })
    }
}

fn build_graph(kind: JobKind, payload: &Name, rng: &mut fastrand::Rng) -> Graph {
    let cpu = 500 * rng.u32(1..5);
    let step = |tasks: u32, depends_on: Vec<u32>| Step {
        tasks,
        each: Resources::of(cpu, 512, 0, 0),
        estimate: Duration::from_millis(400),
        depends_on,
        image: "image".into(),
        ..Step::default()
    };
    let steps = match kind {
        JobKind::Chain => vec![
            step(rng.u32(1..6), Vec::new()),
            step(rng.u32(1..4), vec![0]),
        ],
        JobKind::Gang => vec![Step {
            gang: true,
            ..step(rng.u32(2..5), Vec::new())
        }],
        JobKind::Service => vec![Step {
            long_running: true,
            ..step(2, Vec::new())
        }],
        JobKind::AlwaysFails => vec![step(2, Vec::new())],
    };
    Graph {
        payload: payload.clone(),
        steps,
        recurrence: None,
    }
}
