//! Jobs, teams and the waiting lines between them.
//!
//! Jobs of one team with the same shape wait in one line. A shape that fits
//! nowhere is marked blocked and its lines are skipped until a worker frees
//! enough room for it, so a full fleet costs no repeated searches.
//!
//! Invariant: a line's live entries are in order of submission, and entries
//! of ended jobs are at most half of a line plus a constant.

use std::collections::{HashMap, VecDeque};

use model::{Attempt, Resources, TaskIndex, Work};

use crate::worker::WorkerId;

/// Dense index of a team.
pub type TeamId = u16;
/// Dense index of a job.
pub type JobRef = u32;
/// Dense index of a shape.
pub(crate) type ShapeId = u32;
/// Dense index of a line.
pub(crate) type ShapeQueueId = u32;

/// Dead entries that a line keeps before it is compacted.
const STALE_SLACK: usize = 32;

/// How an attempt ended, as far as the policy cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Completed.
    Completed,
    /// Failed by itself.
    Failed,
    /// Stopped or lost; to be run again.
    Interrupted,
}

/// What decides where a task fits and how it is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) demand: Resources,
    pub(crate) work: Work,
    pub(crate) urgent: bool,
    /// Tasks that start together: the size of a gang, otherwise one.
    pub(crate) gang_size: u32,
}

/// One job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) seq: u64,
    pub(crate) team: TeamId,
    pub(crate) shape: ShapeId,
    pub(crate) queue: ShapeQueueId,
    pub(crate) class: u32,
    pub(crate) first_attempt: Attempt,
    pub(crate) submitted_ms: u64,
    pub(crate) tasks: u32,
    /// Tasks to start, next one last.
    pub(crate) pending: Vec<(TaskIndex, Attempt)>,
    /// Tasks that may still run unseen and must not start yet.
    pub(crate) withheld: Vec<TaskIndex>,
    pub(crate) running: u32,
    pub(crate) completed: u32,
    pub(crate) preemptions: u32,
    pub(crate) failed_workers: Vec<WorkerId>,
    pub(crate) tasks_per_rack: Vec<(u16, u32)>,
    pub(crate) queued: bool,
    pub(crate) ended: bool,
}

impl Job {
    /// Takes a task off the waiting or withheld ones; false when it is
    /// neither.
    pub(crate) fn remove_waiting(&mut self, task: TaskIndex) -> bool {
        let before = self.pending.len() + self.withheld.len();
        self.pending.retain(|(index, _)| *index != task);
        self.withheld.retain(|index| *index != task);
        self.pending.len() + self.withheld.len() < before
    }
}

/// One team's line of jobs with one shape.
#[derive(Debug)]
pub(crate) struct ShapeQueue {
    pub(crate) team: TeamId,
    pub(crate) shape: ShapeId,
    pub(crate) entries: VecDeque<(JobRef, u64)>,
    stale: usize,
}

/// One team's account.
#[derive(Debug, Default)]
pub(crate) struct Team {
    pub(crate) weight: f64,
    pub(crate) allotment: Resources,
    pub(crate) used: Resources,
    pub(crate) decayed_usage: f64,
    pub(crate) shape_queues: Vec<ShapeQueueId>,
    pub(crate) queued_jobs: u32,
    /// Set when the allotment alone kept a task from starting.
    pub(crate) shortfall: Option<Resources>,
}

/// A shape with its search state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShapeState {
    pub(crate) shape: Shape,
    pub(crate) blocked: bool,
}

/// All jobs, lines, teams and shapes.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    pub(crate) jobs: Vec<Job>,
    pub(crate) free_jobs: Vec<JobRef>,
    pub(crate) shape_queues: Vec<ShapeQueue>,
    pub(crate) teams: Vec<Team>,
    pub(crate) shapes: Vec<ShapeState>,
    shape_index: HashMap<Shape, ShapeId>,
    shape_queue_index: HashMap<(TeamId, ShapeId), ShapeQueueId>,
    next_seq: u64,
}

impl Queues {
    /// Index of `shape`, made on first use.
    pub(crate) fn shape_id(&mut self, shape: Shape) -> ShapeId {
        let shapes = &mut self.shapes;
        *self.shape_index.entry(shape).or_insert_with(|| {
            shapes.push(ShapeState {
                shape,
                blocked: false,
            });
            (shapes.len() - 1) as ShapeId
        })
    }

    /// Index of the line of `team` and `shape`, made on first use.
    pub(crate) fn shape_queue_id(&mut self, team: TeamId, shape: ShapeId) -> ShapeQueueId {
        let (shape_queues, teams) = (&mut self.shape_queues, &mut self.teams);
        *self
            .shape_queue_index
            .entry((team, shape))
            .or_insert_with(|| {
                shape_queues.push(ShapeQueue {
                    team,
                    shape,
                    entries: VecDeque::with_capacity(STALE_SLACK),
                    stale: 0,
                });
                let id = (shape_queues.len() - 1) as ShapeQueueId;
                teams[team as usize].shape_queues.push(id);
                id
            })
    }

    /// Next submission number.
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// Puts a job with pending tasks into its line, unless it is there.
    pub(crate) fn enqueue(&mut self, job: JobRef) {
        let entry = &mut self.jobs[job as usize];
        if entry.queued || entry.ended || entry.pending.is_empty() {
            return;
        }
        entry.queued = true;
        let (seq, queue, team) = (entry.seq, entry.queue, entry.team);
        self.teams[team as usize].queued_jobs += 1;
        let entries = &mut self.shape_queues[queue as usize].entries;
        // A requeued job keeps its place by submission number.
        let at = match entries.back() {
            Some((_, last)) if *last > seq => entries.partition_point(|(_, s)| *s < seq),
            _ => entries.len(),
        };
        entries.insert(at, (job, seq));
    }

    /// Takes a job out of its line; its entry is dropped later.
    pub(crate) fn dequeue(&mut self, job: JobRef) {
        let entry = &mut self.jobs[job as usize];
        if !entry.queued {
            return;
        }
        entry.queued = false;
        self.teams[entry.team as usize].queued_jobs -= 1;
        let queue = entry.queue as usize;
        self.shape_queues[queue].stale += 1;
        if self.shape_queues[queue].stale > self.shape_queues[queue].entries.len() / 2 + STALE_SLACK
        {
            let jobs = &self.jobs;
            self.shape_queues[queue]
                .entries
                .retain(|e| is_waiting(jobs, e));
            self.shape_queues[queue].stale = 0;
        }
    }

    /// First waiting job of a line; drops ended entries before it.
    pub(crate) fn front(&mut self, queue: ShapeQueueId) -> Option<(JobRef, u64)> {
        let queue = &mut self.shape_queues[queue as usize];
        while let Some(entry) = queue.entries.front().copied() {
            if is_waiting(&self.jobs, &entry) {
                return Some(entry);
            }
            queue.entries.pop_front();
            queue.stale = queue.stale.saturating_sub(1);
        }
        None
    }

    /// Unblocks every shape that fits into `free`.
    pub(crate) fn unblock(&mut self, free: &Resources) {
        for state in self.shapes.iter_mut().filter(|s| s.blocked) {
            if state.shape.demand.fits(free) {
                state.blocked = false;
            }
        }
    }
}

fn is_waiting(jobs: &[Job], entry: &(JobRef, u64)) -> bool {
    let job = &jobs[entry.0 as usize];
    job.seq == entry.1 && job.queued
}
