//! Jobs, teams and the queues in which jobs wait.
//!
//! Jobs of one team with the same shape share one queue. A shape that fits on no
//! worker is marked blocked, and its queues are skipped until a worker frees
//! enough resources for it. A full fleet therefore costs no repeated searches.
//!
//! Invariant: the live entries of a queue are in order of submission, and stale
//! entries, whose jobs no longer wait, are at most half of a queue plus
//! `STALE_SLACK`.

use std::collections::{HashMap, VecDeque};

use model::{Attempt, Resources, TaskIndex, WorkKind};

use crate::worker::WorkerId;

/// Dense index of a team, assigned by `Engine::add_team`.
pub type TeamId = u16;
/// Dense index of a job, assigned by `Engine::submit`. It is reused once
/// `Engine::collect_retired` has returned it.
pub type JobRef = u32;
/// Dense index of a shape.
pub(crate) type ShapeId = u32;
/// Dense index of a `ShapeQueue`.
pub(crate) type ShapeQueueId = u32;

/// Stale entries that a queue may have, in addition to half of its length, before
/// it is compacted.
const STALE_SLACK: usize = 32;

/// How an attempt ended, as far as it matters for placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task completed and does not run again.
    Completed,
    /// The task failed on its own; counts towards the limits of its job.
    Failed,
    /// The attempt was stopped or lost; the task has to run again.
    Interrupted,
}

/// Properties that decide where a task fits and how its worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) demand: Resources,
    pub(crate) work: WorkKind,
    pub(crate) urgent: bool,
    /// Number of tasks that start together; 1 if the job is not a gang.
    pub(crate) gang_size: u32,
}

/// A job that is waiting, running or not yet retired.
#[derive(Debug)]
pub(crate) struct Job {
    /// Submission number; zero once the job is retired.
    pub(crate) seq: u64,
    pub(crate) team: TeamId,
    pub(crate) shape: ShapeId,
    pub(crate) queue: ShapeQueueId,
    /// Class under which run times are learned.
    pub(crate) class: u32,
    pub(crate) first_attempt: Attempt,
    pub(crate) submitted_ms: u64,
    pub(crate) tasks: u32,
    /// Tasks to start. The next one is the last element.
    pub(crate) pending: Vec<(TaskIndex, Attempt)>,
    /// Tasks that may still be running unnoticed and must not start yet.
    pub(crate) withheld: Vec<TaskIndex>,
    pub(crate) running: u32,
    pub(crate) completed: u32,
    pub(crate) preemptions: u32,
    /// Distinct workers on which tasks of the job have failed.
    pub(crate) failed_workers: Vec<WorkerId>,
    /// Running tasks by rack; kept only for a service.
    pub(crate) tasks_per_rack: Vec<(u16, u32)>,
    /// True while the job waits in its queue.
    pub(crate) queued: bool,
    pub(crate) ended: bool,
}

impl Job {
    /// Removes a pending or withheld task. Returns false if the task is neither.
    pub(crate) fn remove_waiting(&mut self, task: TaskIndex) -> bool {
        let before = self.pending.len() + self.withheld.len();
        self.pending.retain(|(index, _)| *index != task);
        self.withheld.retain(|index| *index != task);
        self.pending.len() + self.withheld.len() < before
    }
}

/// Queue of the jobs of one team with one shape.
#[derive(Debug)]
pub(crate) struct ShapeQueue {
    pub(crate) team: TeamId,
    pub(crate) shape: ShapeId,
    /// Jobs with their submission numbers.
    pub(crate) entries: VecDeque<(JobRef, u64)>,
    /// Approximate number of entries whose jobs no longer wait.
    stale: usize,
}

/// Weight, usage and queues of one team.
#[derive(Debug, Default)]
pub(crate) struct Team {
    pub(crate) weight: f64,
    pub(crate) allotment: Resources,
    pub(crate) used: Resources,
    pub(crate) decayed_usage: f64,
    pub(crate) shape_queues: Vec<ShapeQueueId>,
    pub(crate) queued_jobs: u32,
    /// Demand of a task or gang that only the allotment kept from starting.
    pub(crate) unmet_demand: Option<Resources>,
}

/// A shape, and whether it is known to fit nowhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShapeState {
    pub(crate) shape: Shape,
    pub(crate) blocked: bool,
}

/// All jobs, queues, teams and shapes.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    pub(crate) jobs: Vec<Job>,
    /// Indices in `jobs` that may be reused.
    pub(crate) free_jobs: Vec<JobRef>,
    pub(crate) shape_queues: Vec<ShapeQueue>,
    pub(crate) teams: Vec<Team>,
    pub(crate) shapes: Vec<ShapeState>,
    shape_index: HashMap<Shape, ShapeId>,
    shape_queue_index: HashMap<(TeamId, ShapeId), ShapeQueueId>,
    next_seq: u64,
}

impl Queues {
    /// Returns the index of `shape`, which is added on first use.
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

    /// Returns the index of the queue of `team` and `shape`, which is added on
    /// first use.
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

    /// Returns a new submission number; the first one is 1.
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// Inserts a job with pending tasks into its queue, unless it is there.
    pub(crate) fn enqueue(&mut self, job: JobRef) {
        let entry = &mut self.jobs[job as usize];
        if entry.queued || entry.ended || entry.pending.is_empty() {
            return;
        }
        entry.queued = true;
        let (seq, queue, team) = (entry.seq, entry.queue, entry.team);
        self.teams[team as usize].queued_jobs += 1;
        let entries = &mut self.shape_queues[queue as usize].entries;
        // A requeued job returns to the position of its submission number.
        let position = match entries.back() {
            Some((_, last)) if *last > seq => entries.partition_point(|(_, s)| *s < seq),
            _ => entries.len(),
        };
        entries.insert(position, (job, seq));
    }

    /// Marks a job as no longer waiting. Its stale entry is removed later.
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

    /// Returns the first waiting job of a queue and removes stale entries before it.
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
