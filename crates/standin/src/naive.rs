//! Reference placement policy that, for every decision, recomputes all shares,
//! sorts all jobs and scans all workers.
//!
//! Invariant: no state is kept between decisions other than teams, jobs,
//! workers and running tasks.

use model::{Resources, TaskIndex, WorkKind};

/// Index into [`NaiveScheduler::jobs`].
pub type JobIndex = usize;
/// Index into [`NaiveScheduler::workers`].
pub type WorkerIndex = usize;

/// A submitted job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the team that submitted the job.
    pub team: usize,
    /// Kind of work; the tasks of a gang start only together.
    pub work: WorkKind,
    /// Urgent jobs precede all others.
    pub urgent: bool,
    /// Resources that each task holds while it runs.
    pub demand: Resources,
    /// Tasks not yet started; empty once all have started or the job was cancelled.
    pub pending: Vec<TaskIndex>,
    /// Submission sequence number; among jobs that are otherwise equal, the lowest
    /// precedes.
    pub seq: u64,
}

/// A task that runs on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Job to which the task belongs.
    pub job: JobIndex,
    /// Index of the task in its job.
    pub task: TaskIndex,
    /// Resources that the task holds.
    pub demand: Resources,
}

/// A worker and its running tasks.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Resources that the worker offers when it is idle.
    pub capacity: Resources,
    /// Running tasks, in the order in which they started.
    pub tasks: Vec<Task>,
    /// False while no new task may be placed on the worker.
    pub schedulable: bool,
}

/// Scheduling parameters of a team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Weight by which the dominant share is divided; must not be zero.
    pub weight: u32,
    /// Largest amount of resources that the team may hold.
    pub allotment: Resources,
}

/// Scheduler without indexes or caches.
#[derive(Clone, Debug, Default)]
pub struct NaiveScheduler {
    /// Teams, indexed by [`Job::team`].
    pub teams: Vec<Team>,
    /// Workers, indexed by [`WorkerIndex`].
    pub workers: Vec<Worker>,
    /// All jobs ever submitted; ended ones have no pending tasks.
    pub jobs: Vec<Job>,
    /// Order jobs of the same urgency by submission instead of by fair share.
    pub fifo: bool,
}

impl NaiveScheduler {
    fn free_resources(&self, worker: WorkerIndex) -> Resources {
        let entry = &self.workers[worker];
        let held = entry.tasks.iter().map(|t| t.demand);
        entry
            .capacity
            .minus(held.fold(Resources::ZERO, Resources::plus))
    }

    fn team_usage(&self, team: usize) -> Resources {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let own = tasks.filter(|t| self.jobs[t.job].team == team);
        own.fold(Resources::ZERO, |sum, t| sum.plus(t.demand))
    }

    fn total_capacity(&self) -> Resources {
        let capacities = self.workers.iter().map(|w| w.capacity);
        capacities.fold(Resources::ZERO, Resources::plus)
    }

    /// Jobs with pending tasks, in scheduling order.
    fn jobs_by_priority(&self) -> Vec<JobIndex> {
        let total = self.total_capacity();
        let shares: Vec<f64> = (0..self.teams.len())
            .map(|t| match self.fifo {
                true => 0.0,
                false => {
                    self.team_usage(t).dominant_share(&total) / f64::from(self.teams[t].weight)
                }
            })
            .collect();
        let waiting = |index: &JobIndex| !self.jobs[*index].pending.is_empty();
        let mut jobs: Vec<JobIndex> = (0..self.jobs.len()).filter(waiting).collect();
        jobs.sort_by(|a, b| {
            let (a, b) = (&self.jobs[*a], &self.jobs[*b]);
            let by_share = shares[a.team].total_cmp(&shares[b.team]);
            b.urgent
                .cmp(&a.urgent)
                .then(by_share)
                .then(a.seq.cmp(&b.seq))
        });
        jobs
    }

    /// Best fit over the whole fleet. Workers without accelerators are
    /// preferred.
    fn best_fit(
        &self,
        demand: &Resources,
        reserved: &[(WorkerIndex, Resources)],
    ) -> Option<WorkerIndex> {
        let mut best: Option<(bool, f64, WorkerIndex)> = None;
        for (index, worker) in self.workers.iter().enumerate() {
            let taken = reserved.iter().filter(|(w, _)| *w == index);
            let taken = taken.fold(Resources::ZERO, |sum, (_, r)| sum.plus(*r));
            let free = self.free_resources(index).minus(taken);
            if !worker.schedulable || !demand.fits(&free) {
                continue;
            }
            let left = free.minus(*demand).dims();
            let (capacity, need) = (worker.capacity.dims(), demand.dims());
            let used = (0..Resources::DIMENSIONS).filter(|i| capacity[*i] > 0 && need[*i] > 0);
            let score = used
                .map(|i| f64::from(left[i]) / f64::from(capacity[i]))
                .sum();
            let has_accelerators = worker.capacity.accelerators > 0;
            let better = best.is_none_or(|(a, s, _)| (has_accelerators, score) < (a, s));
            if better {
                best = Some((has_accelerators, score, index));
            }
        }
        best.map(|(_, _, index)| index)
    }

    /// Returns the first job in scheduling order that can start, with the worker
    /// for its next task or, for a gang, the workers for all its tasks.
    #[must_use]
    pub fn next_placement(&self) -> Option<(JobIndex, Vec<WorkerIndex>)> {
        for index in self.jobs_by_priority() {
            let job = &self.jobs[index];
            let count = match job.work {
                WorkKind::Gang => job.pending.len(),
                _ => 1,
            };
            let need = job.demand.times(count as u32);
            let team = &self.teams[job.team];
            if !self.team_usage(job.team).plus(need).fits(&team.allotment) {
                continue;
            }
            let mut reserved = Vec::new();
            while reserved.len() < count {
                let Some(worker) = self.best_fit(&job.demand, &reserved) else {
                    break;
                };
                reserved.push((worker, job.demand));
            }
            if reserved.len() == count {
                return Some((index, reserved.into_iter().map(|(w, _)| w).collect()));
            }
        }
        None
    }

    /// Starts a pending task on a worker without a check whether it fits.
    pub fn start_task(&mut self, job: JobIndex, task: TaskIndex, worker: WorkerIndex) {
        self.jobs[job].pending.retain(|t| *t != task);
        let demand = self.jobs[job].demand;
        self.workers[worker].tasks.push(Task { job, task, demand });
    }

    /// Starts tasks until no further one can start; returns the started tasks.
    pub fn place_all(&mut self) -> Vec<(JobIndex, TaskIndex, WorkerIndex)> {
        let mut started = Vec::new();
        while let Some((job, workers)) = self.next_placement() {
            for worker in workers {
                let Some(task) = self.jobs[job].pending.last().copied() else {
                    break;
                };
                self.start_task(job, task, worker);
                started.push((job, task, worker));
            }
        }
        started
    }

    /// Removes a running task from its worker; does nothing if it does not run.
    pub fn end_task(&mut self, job: JobIndex, task: TaskIndex) {
        for worker in &mut self.workers {
            worker.tasks.retain(|t| t.job != job || t.task != task);
        }
    }
}
