//! Callers: the jobs that they hand in, and what they were told.
//!
//! Invariant: a call that was not answered is sent again with the same id.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use model::{Graph, JobId, Name, Resources, RunId, RunOutcome, Stage, Step, TaskId};

/// Shapes of jobs that callers hand in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// A few short tasks, then a few that depend on them.
    Chain,
    /// Tasks that run only together.
    Gang,
    /// Tasks that run until the job is cancelled.
    Service,
    /// Tasks that always fail.
    Hopeless,
}

/// What a task does once it runs.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) gang: bool,
    pub(crate) long_running: bool,
    hopeless: bool,
}

impl Work {
    /// When and how a run ends by itself.
    pub(crate) fn outcome(&self, run: &RunId, now: Duration) -> (Duration, RunOutcome) {
        let time = Duration::from_millis(200 + u64::from(run.task.index % 5) * 180);
        match self.hopeless {
            true => (now + time / 4, RunOutcome::Failed),
            false => (now + time, RunOutcome::Completed),
        }
    }
}

/// One job of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pub(crate) id: JobId,
    pub(crate) queue: &'static str,
    pub(crate) team: Name,
    pub(crate) graph: Graph,
    pub(crate) shape: Shape,
    pub(crate) accepted: Option<Duration>,
    pub(crate) refused: bool,
    pub(crate) asked_unknown: bool,
    pub(crate) cancel_asked: bool,
    pub(crate) cancelled: Option<Duration>,
    pub(crate) shown: Option<Stage>,
}

/// All jobs by id.
pub(crate) type Clients = BTreeMap<JobId, Client>;

impl Client {
    /// The `n`th job of a schedule.
    pub(crate) fn new(n: u64, rng: &mut fastrand::Rng) -> Self {
        let shape = match rng.u32(0..10) {
            0..6 => Shape::Chain,
            6..8 => Shape::Gang,
            8 => Shape::Service,
            _ => Shape::Hopeless,
        };
        let team = match rng.u32(0..3) {
            0 => "red",
            1 => "blue",
            _ => "green",
        };
        let id = format_compact!("{n:016x}");
        Self {
            graph: graph(shape, &id, rng),
            id,
            queue: if shape == Shape::Gang {
                "gangs"
            } else {
                "plain"
            },
            team: team.into(),
            shape,
            accepted: None,
            refused: false,
            asked_unknown: false,
            cancel_asked: false,
            cancelled: None,
            shown: None,
        }
    }

    /// What a task of this job does.
    pub(crate) fn work(&self, task: &TaskId) -> Option<Work> {
        let step = self.graph.steps.get(task.step as usize)?;
        Some(Work {
            gang: step.gang,
            long_running: step.long_running,
            hopeless: self.shape == Shape::Hopeless,
        })
    }
}

fn graph(shape: Shape, payload: &Name, rng: &mut fastrand::Rng) -> Graph {
    let cpu = 500 * rng.u32(1..5);
    let step = |tasks: u32, depends_on: Vec<u32>| Step {
        tasks,
        each: Resources::of(cpu, 512, 0, 0),
        estimate: Duration::from_millis(400),
        depends_on,
        image: "image".into(),
        ..Step::default()
    };
    let steps = match shape {
        Shape::Chain => vec![
            step(rng.u32(1..6), Vec::new()),
            step(rng.u32(1..4), vec![0]),
        ],
        Shape::Gang => vec![Step {
            gang: true,
            ..step(rng.u32(2..5), Vec::new())
        }],
        Shape::Service => vec![Step {
            long_running: true,
            ..step(2, Vec::new())
        }],
        Shape::Hopeless => vec![step(2, Vec::new())],
    };
    Graph {
        payload: payload.clone(),
        steps,
        recurrence: None,
    }
}
