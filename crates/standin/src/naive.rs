//! Naive placement: scan everything, sort everything, recompute every share.
//!
//! Invariant: nothing is remembered between decisions but jobs, workers and
//! running tasks.

use model::{Resources, TaskIndex, WorkKind};

/// Index of a job.
pub type JobRef = usize;
/// Index of a worker.
pub type WorkerRef = usize;

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Team.
    pub team: usize,
    /// Kind.
    pub work: WorkKind,
    /// Urgent or not.
    pub urgent: bool,
    /// Resources of each task.
    pub each: Resources,
    /// Tasks to start.
    pub pending: Vec<TaskIndex>,
    /// Order of submission.
    pub seq: u64,
}

/// A running task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Job.
    pub job: JobRef,
    /// Task.
    pub task: TaskIndex,
    /// Resources.
    pub each: Resources,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Capacity.
    pub capacity: Resources,
    /// Running tasks.
    pub tasks: Vec<Task>,
    /// False while it takes nothing new.
    pub open: bool,
}

/// A team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Weight.
    pub share: u32,
    /// Most it may hold.
    pub allotment: Resources,
}

/// The naive scheduler.
#[derive(Clone, Debug, Default)]
pub struct Naive {
    /// Teams.
    pub teams: Vec<Team>,
    /// Workers.
    pub workers: Vec<Worker>,
    /// Jobs; ended ones have nothing pending.
    pub jobs: Vec<Job>,
    /// True to order by submission only.
    pub fifo: bool,
}

impl Naive {
    fn free(&self, worker: WorkerRef) -> Resources {
        let entry = &self.workers[worker];
        let held = entry.tasks.iter().map(|t| t.each);
        entry
            .capacity
            .minus(held.fold(Resources::ZERO, Resources::plus))
    }

    fn used(&self, team: usize) -> Resources {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let own = tasks.filter(|t| self.jobs[t.job].team == team);
        own.fold(Resources::ZERO, |sum, t| sum.plus(t.each))
    }

    fn total(&self) -> Resources {
        let capacities = self.workers.iter().map(|w| w.capacity);
        capacities.fold(Resources::ZERO, Resources::plus)
    }

    /// Jobs with pending tasks, next one first.
    fn order(&self) -> Vec<JobRef> {
        let total = self.total();
        let ranks: Vec<f64> = (0..self.teams.len())
            .map(|t| match self.fifo {
                true => 0.0,
                false => self.used(t).dominant_share(&total) / f64::from(self.teams[t].share),
            })
            .collect();
        let waiting = |at: &JobRef| !self.jobs[*at].pending.is_empty();
        let mut jobs: Vec<JobRef> = (0..self.jobs.len()).filter(waiting).collect();
        jobs.sort_by(|a, b| {
            let (a, b) = (&self.jobs[*a], &self.jobs[*b]);
            let rank = ranks[a.team].total_cmp(&ranks[b.team]);
            b.urgent.cmp(&a.urgent).then(rank).then(a.seq.cmp(&b.seq))
        });
        jobs
    }

    /// Best fit over the whole fleet, plain workers first.
    fn best_fit(&self, each: &Resources, held: &[(WorkerRef, Resources)]) -> Option<WorkerRef> {
        let mut best: Option<(bool, f64, WorkerRef)> = None;
        for (at, worker) in self.workers.iter().enumerate() {
            let taken = held.iter().filter(|(w, _)| *w == at);
            let taken = taken.fold(Resources::ZERO, |sum, (_, r)| sum.plus(*r));
            let free = self.free(at).minus(taken);
            if !worker.open || !each.fits(&free) {
                continue;
            }
            let left = free.minus(*each).dims();
            let (capacity, need) = (worker.capacity.dims(), each.dims());
            let used = (0..Resources::DIMENSIONS).filter(|i| capacity[*i] > 0 && need[*i] > 0);
            let score = used
                .map(|i| f64::from(left[i]) / f64::from(capacity[i]))
                .sum();
            let accelerated = worker.capacity.accelerators > 0;
            let better = best.is_none_or(|(a, s, _)| (accelerated, score) < (a, s));
            if better {
                best = Some((accelerated, score, at));
            }
        }
        best.map(|(_, _, at)| at)
    }

    /// The next job that can start, with the workers for its next task or for
    /// all tasks of its gang.
    #[must_use]
    pub fn next(&self) -> Option<(JobRef, Vec<WorkerRef>)> {
        for at in self.order() {
            let job = &self.jobs[at];
            let count = match job.work {
                WorkKind::Gang => job.pending.len(),
                _ => 1,
            };
            let need = job.each.times(count as u32);
            let team = &self.teams[job.team];
            if !self.used(job.team).plus(need).fits(&team.allotment) {
                continue;
            }
            let mut held = Vec::new();
            while held.len() < count {
                let Some(worker) = self.best_fit(&job.each, &held) else {
                    break;
                };
                held.push((worker, job.each));
            }
            if held.len() == count {
                return Some((at, held.into_iter().map(|(w, _)| w).collect()));
            }
        }
        None
    }

    /// Starts one pending task of a job.
    pub fn start(&mut self, job: JobRef, task: TaskIndex, worker: WorkerRef) {
        self.jobs[job].pending.retain(|t| *t != task);
        let each = self.jobs[job].each;
        self.workers[worker].tasks.push(Task { job, task, each });
    }

    /// Starts everything that can start; returns what was started.
    pub fn place(&mut self) -> Vec<(JobRef, TaskIndex, WorkerRef)> {
        let mut started = Vec::new();
        while let Some((job, workers)) = self.next() {
            for worker in workers {
                let Some(task) = self.jobs[job].pending.last().copied() else {
                    break;
                };
                self.start(job, task, worker);
                started.push((job, task, worker));
            }
        }
        started
    }

    /// Ends a running task.
    pub fn end(&mut self, job: JobRef, task: TaskIndex) {
        for worker in &mut self.workers {
            worker.tasks.retain(|t| t.job != job || t.task != task);
        }
    }
}
