//! State and entry points of the placement engine.
//!
//! Invariant: every decision that `place` returns is already accounted for. The
//! caller carries it out or reports its failure through `record_end`.

use model::{Attempt, Preset, Resources, TaskIndex, TeamOrder, WorkKind};

use crate::gang::Reservation;
use crate::health::Health;
use crate::learn::RuntimeEstimates;
use crate::preempt::PreemptionClaim;
use crate::queue::{Job, JobRef, Queues, Shape, ShapeState, TeamId};
use crate::tree::ResourceTree;
use crate::worker::{Task, Worker, WorkerId, WorkerState};

/// Time constant of the exponential decay of usage, in ms.
const USAGE_DECAY_MS: f64 = 30_000.0;
/// Interval in ms at which blocked gangs and urgent work are unblocked.
const UNBLOCK_INTERVAL_MS: u64 = 100;
/// Initial capacity of the task list of a worker, so that starting a task rarely
/// allocates.
const INITIAL_TASK_CAPACITY: usize = 32;

/// Placement settings of the active preset.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Order in which teams are offered free resources.
    pub order: TeamOrder,
    /// Waiting time of a gang in ms after which workers are reserved for it.
    pub reserve_after_ms: u64,
    /// Whether urgent work and gangs with a reservation may preempt batch work.
    pub preempt: bool,
}

impl From<&Preset> for Settings {
    fn from(preset: &Preset) -> Self {
        Self {
            order: preset.order,
            reserve_after_ms: preset.reserve_after_ms,
            preempt: preset.preempt,
        }
    }
}

/// A job to queue.
#[derive(Clone, Copy, Debug)]
pub struct JobRequest {
    /// Team whose allotment is charged.
    pub team: TeamId,
    /// Whether the tasks run independently, as a gang or as a service.
    pub work: WorkKind,
    /// Urgent work goes first and may preempt batch work.
    pub urgent: bool,
    /// Resources of each task.
    pub demand: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// Dense index of the class under which run times are learned.
    pub class: u32,
    /// Attempt number of the first start of each task.
    pub first_attempt: Attempt,
}

/// Action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task.
    Start {
        /// Job that the task belongs to.
        job: JobRef,
        /// Index of the task in its job.
        task: TaskIndex,
        /// Number of the new attempt, not used before for this task.
        attempt: Attempt,
        /// Worker on which to start it.
        worker: WorkerId,
        /// Time since the submission of the job, in ms.
        waited_ms: u64,
    },
    /// Stop a running task. Its resources stay committed until it has ended.
    Stop {
        /// Job that the task belongs to.
        job: JobRef,
        /// Index of the task in its job.
        task: TaskIndex,
        /// Number of the attempt to stop; a later attempt is not affected.
        attempt: Attempt,
        /// Worker that runs it.
        worker: WorkerId,
        /// Whether the task is to save a checkpoint first.
        checkpoint: bool,
    },
    /// Fail the job, because its tasks failed on several workers or too often.
    Fail {
        /// Job to fail, which the engine has cancelled already.
        job: JobRef,
    },
}

/// Placement state of one data centre.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Settings,
    pub(crate) now_ms: u64,
    pub(crate) workers: Vec<Worker>,
    /// Available resources of the workers without accelerators.
    pub(crate) cpu_tree: ResourceTree,
    /// Worker of each leaf of `cpu_tree`.
    pub(crate) cpu_worker_ids: Vec<WorkerId>,
    /// Available resources of the workers with accelerators.
    pub(crate) accelerated_tree: ResourceTree,
    /// Worker of each leaf of `accelerated_tree`.
    pub(crate) accelerated_worker_ids: Vec<WorkerId>,
    pub(crate) total_capacity: Resources,
    /// Maximum worker capacity per dimension.
    pub(crate) largest: Resources,
    pub(crate) queues: Queues,
    pub(crate) estimates: RuntimeEstimates,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) claims: Vec<PreemptionClaim>,
    /// Buffer for the workers of a gang, kept to avoid allocations.
    pub(crate) scratch: Vec<WorkerId>,
    pub(crate) quarantined: Vec<WorkerId>,
    /// Worker at which the search for a preemption continues.
    pub(crate) next_sample: usize,
    next_unblock_ms: u64,
    /// Jobs that the next call of `place` fails.
    pub(crate) broken_jobs: Vec<JobRef>,
    /// Jobs whose indices are not yet released by `collect_retired`.
    retired_jobs: Vec<JobRef>,
}

impl Engine {
    /// Creates an engine without workers, teams or jobs.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            now_ms: 0,
            workers: Vec::new(),
            cpu_tree: ResourceTree::new(),
            cpu_worker_ids: Vec::new(),
            accelerated_tree: ResourceTree::new(),
            accelerated_worker_ids: Vec::new(),
            total_capacity: Resources::ZERO,
            largest: Resources::ZERO,
            queues: Queues::default(),
            estimates: RuntimeEstimates::default(),
            reservation: None,
            claims: Vec::new(),
            scratch: Vec::new(),
            quarantined: Vec::new(),
            next_sample: 0,
            next_unblock_ms: 0,
            broken_jobs: Vec::new(),
            retired_jobs: Vec::new(),
        }
    }

    /// Replaces the settings. Running tasks are not affected.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Adds a team without an allotment; none of its tasks starts before `set_team`
    /// grants one.
    pub fn add_team(&mut self, weight: u32) -> TeamId {
        self.queues.teams.push(crate::queue::Team {
            weight: f64::from(weight.max(1)),
            ..Default::default()
        });
        (self.queues.teams.len() - 1) as TeamId
    }

    /// Sets the weight of a team and the maximum of its use in this data centre.
    pub fn set_team(&mut self, team: TeamId, weight: u32, allotment: Resources) {
        let entry = &mut self.queues.teams[team as usize];
        entry.weight = f64::from(weight.max(1));
        entry.allotment = allotment;
    }

    /// Resources committed to the tasks of a team.
    #[must_use]
    pub fn used(&self, team: TeamId) -> Resources {
        self.queues.teams[team as usize].used
    }

    /// Takes the demand of a task or gang that only the team's allotment has kept
    /// from starting since the last call.
    pub fn take_unmet_demand(&mut self, team: TeamId) -> Option<Resources> {
        self.queues.teams[team as usize].unmet_demand.take()
    }

    /// Number of waiting jobs of a team.
    #[must_use]
    pub fn waiting_jobs(&self, team: TeamId) -> u32 {
        self.queues.teams[team as usize].queued_jobs
    }

    /// Capacity of all workers that are not lost.
    #[must_use]
    pub fn total_capacity(&self) -> Resources {
        self.total_capacity
    }

    /// Capacity of one worker less its running tasks; includes reserved parts.
    #[must_use]
    pub fn free(&self, worker: WorkerId) -> Resources {
        self.workers[worker as usize].free
    }

    /// Adds an active worker without tasks. `rack` is an index that the caller
    /// assigns; services are spread across racks.
    pub fn add_worker(&mut self, capacity: Resources, rack: u16) -> WorkerId {
        let id = self.workers.len() as WorkerId;
        let accelerated = capacity.accelerators > 0;
        let (tree, ids) = match accelerated {
            true => (&mut self.accelerated_tree, &mut self.accelerated_worker_ids),
            false => (&mut self.cpu_tree, &mut self.cpu_worker_ids),
        };
        let leaf = ids.len() as u32;
        ids.push(id);
        tree.grow(leaf);
        self.workers.push(Worker {
            capacity,
            free: capacity,
            rack,
            leaf,
            accelerated,
            state: WorkerState::Active,
            reserved_for: None,
            reserved: Resources::ZERO,
            health: Health::default(),
            last_resort: false,
            tasks: Vec::with_capacity(INITIAL_TASK_CAPACITY),
        });
        self.total_capacity = self.total_capacity.plus(capacity);
        self.largest = self.largest.max(capacity);
        self.update_tree_and_unblock(id);
        id
    }

    /// Sets the state of a worker. A reservation that includes a worker which is no
    /// longer active ends.
    pub fn set_worker_state(&mut self, worker: WorkerId, state: WorkerState) {
        let entry = &mut self.workers[worker as usize];
        let (was_lost, is_lost) = (entry.state == WorkerState::Lost, state == WorkerState::Lost);
        entry.state = state;
        let capacity = entry.capacity;
        match (was_lost, is_lost) {
            (false, true) => self.total_capacity = self.total_capacity.minus(capacity),
            (true, false) => self.total_capacity = self.total_capacity.plus(capacity),
            _ => {}
        }
        if state != WorkerState::Active {
            self.drop_reservation_on(worker);
        }
        self.update_tree_and_unblock(worker);
    }

    /// Queues a job. Tasks in `completed` are not run again.
    pub fn submit(&mut self, request: &JobRequest, completed: &[TaskIndex], now_ms: u64) -> JobRef {
        self.advance_to(now_ms);
        let shape = self.queues.shape_id(Shape {
            demand: request.demand,
            work: request.work,
            urgent: request.urgent,
            gang_size: match request.work {
                WorkKind::Gang => request.tasks,
                _ => 1,
            },
        });
        let queue = self.queues.shape_queue_id(request.team, shape);
        let is_pending = |index: &TaskIndex| !completed.contains(index);
        let job = Job {
            seq: self.queues.next_seq(),
            team: request.team,
            shape,
            queue,
            class: request.class,
            first_attempt: request.first_attempt,
            submitted_ms: now_ms,
            tasks: request.tasks,
            pending: (0..request.tasks)
                .rev()
                .filter(is_pending)
                .map(|i| (i, request.first_attempt))
                .collect(),
            withheld: Vec::new(),
            running: 0,
            completed: completed.len() as u32,
            preemptions: 0,
            failed_workers: Vec::new(),
            tasks_per_rack: Vec::new(),
            queued: false,
            ended: false,
        };
        let id = self.store_job(job);
        self.queues.enqueue(id);
        id
    }

    fn store_job(&mut self, job: Job) -> JobRef {
        match self.queues.free_jobs.pop() {
            Some(id) => {
                self.queues.jobs[id as usize] = job;
                id
            }
            None => {
                self.queues.jobs.push(job);
                (self.queues.jobs.len() - 1) as JobRef
            }
        }
    }

    /// Returns true if a task with this demand fits on some active worker without
    /// other tasks.
    #[must_use]
    pub fn can_ever_fit(&self, demand: &Resources) -> bool {
        self.workers
            .iter()
            .any(|w| w.state == WorkerState::Active && demand.fits(&w.capacity))
    }

    /// Cancels a job. None of its tasks starts any more, and decisions that stop its
    /// running tasks are appended to `out`.
    pub fn cancel(&mut self, job: JobRef, out: &mut Vec<Decision>) {
        self.queues.dequeue(job);
        let entry = &mut self.queues.jobs[job as usize];
        entry.ended = true;
        entry.pending.clear();
        entry.withheld.clear();
        if entry.running > 0 {
            self.stop_tasks_of(job, out);
        }
        self.drop_claims_and_reservation_of(job);
        self.retire(job);
    }

    fn stop_tasks_of(&mut self, job: JobRef, out: &mut Vec<Decision>) {
        for (id, worker) in self.workers.iter_mut().enumerate() {
            for task in worker.tasks.iter_mut().filter(|t| t.job == job) {
                task.stopping = true;
                out.push(Decision::Stop {
                    job,
                    task: task.index,
                    attempt: task.attempt,
                    worker: id as WorkerId,
                    checkpoint: false,
                });
            }
        }
    }

    /// Retires a job that has ended and has no running tasks.
    pub(crate) fn retire(&mut self, job: JobRef) {
        let entry = &mut self.queues.jobs[job as usize];
        if entry.ended && entry.running == 0 && entry.seq != 0 {
            entry.seq = 0;
            self.retired_jobs.push(job);
        }
    }

    /// Appends the retired jobs to `out`. Their indices are reused only after this
    /// call, so that the caller can drop its own references first.
    pub fn collect_retired(&mut self, out: &mut Vec<JobRef>) {
        self.queues.free_jobs.extend_from_slice(&self.retired_jobs);
        out.append(&mut self.retired_jobs);
    }

    /// Appends decisions to `out`: failures of broken jobs, steps of claims and of
    /// the reservation, and then placements until `max_decisions` is reached. The
    /// last placement may exceed that number, because a gang or a preemption can
    /// take several decisions.
    pub fn place(&mut self, now_ms: u64, max_decisions: usize, out: &mut Vec<Decision>) {
        self.advance_to(now_ms);
        self.fail_broken_jobs(out);
        self.release_quarantined();
        self.unblock_gangs_and_urgent();
        self.process_claims(out);
        self.retry_reserved_gang(out);
        let limit = out.len() + max_decisions;
        while out.len() < limit {
            self.block_unplaceable();
            let Some((queue, job)) = self.next_job() else {
                return;
            };
            self.place_job(queue, job, out);
        }
    }

    /// Unblocks gangs and urgent work at intervals. Freed resources are not the only
    /// condition for them: a gang may become due for a reservation, and tasks may
    /// become preemptible.
    fn unblock_gangs_and_urgent(&mut self) {
        if self.now_ms < self.next_unblock_ms {
            return;
        }
        self.next_unblock_ms = self.now_ms + UNBLOCK_INTERVAL_MS;
        let is_gang_or_urgent =
            |state: &&mut ShapeState| state.shape.work == WorkKind::Gang || state.shape.urgent;
        for state in self.queues.shapes.iter_mut().filter(is_gang_or_urgent) {
            state.blocked = false;
        }
    }

    /// Makes workers available again that accept tasks after a quarantine or beside a
    /// probe that lasts. They stay in the list for as long as they are on probation.
    fn release_quarantined(&mut self) {
        let mut sound_capacities = None;
        let mut index = 0;
        while let Some(worker) = self.quarantined.get(index).copied() {
            let entry = &self.workers[worker as usize];
            let last_resort = entry.health.is_last_resort(self.now_ms) && {
                let sound = sound_capacities.get_or_insert_with(|| self.sound_capacities());
                !sound.iter().any(|other| entry.capacity.fits(other))
            };
            let entry = &mut self.workers[worker as usize];
            entry.last_resort = last_resort;
            let accepts_at_ms = entry.accepts_at_ms();
            match accepts_at_ms {
                None => drop(self.quarantined.swap_remove(index)),
                Some(_) => index += 1,
            }
            if accepts_at_ms.is_none_or(|at| at <= self.now_ms) {
                self.update_tree_and_unblock(worker);
            }
        }
    }

    /// The distinct capacities of the workers that take tasks and are not on probation.
    fn sound_capacities(&self) -> Vec<Resources> {
        let mut capacities: Vec<Resources> = Vec::new();
        for worker in &self.workers {
            let is_sound = worker.state == WorkerState::Active && !worker.health.is_on_probation();
            if is_sound && !capacities.contains(&worker.capacity) {
                capacities.push(worker.capacity);
            }
        }
        capacities
    }

    /// Advances the clock and decays the usage of teams.
    pub(crate) fn advance_to(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.now_ms) as f64;
        if elapsed <= 0.0 {
            return;
        }
        self.now_ms = now_ms;
        if self.settings.order != TeamOrder::DecayedUsage {
            return;
        }
        let decay = (-elapsed / USAGE_DECAY_MS).exp();
        for team in &mut self.queues.teams {
            let share = team.used.dominant_share(&self.total_capacity);
            team.decayed_usage = team.decayed_usage * decay + share * (1.0 - decay);
        }
    }

    /// Commits the resources of a task on a worker.
    pub(crate) fn commit(
        &mut self,
        worker: WorkerId,
        job: JobRef,
        index: TaskIndex,
        attempt: Attempt,
        demand: Resources,
    ) {
        let entry = &mut self.workers[worker as usize];
        entry.tasks.push(Task {
            job,
            index,
            attempt,
            demand,
            started_ms: self.now_ms,
            stopping: false,
        });
        entry.free = entry.free.minus(demand);
        let rack = entry.rack;
        let entry = &mut self.queues.jobs[job as usize];
        entry.running += 1;
        if self.queues.shapes[entry.shape as usize].shape.work == WorkKind::Service {
            match entry.tasks_per_rack.iter_mut().find(|(r, _)| *r == rack) {
                Some((_, n)) => *n += 1,
                None => entry.tasks_per_rack.push((rack, 1)),
            }
        }
        let team = &mut self.queues.teams[entry.team as usize];
        team.used = team.used.plus(demand);
        self.update_tree_and_unblock(worker);
    }

    /// Starts the next pending task of `job` on `worker`.
    pub(crate) fn start(&mut self, worker: WorkerId, job: JobRef, out: &mut Vec<Decision>) {
        let entry = &mut self.queues.jobs[job as usize];
        let Some((task, attempt)) = entry.pending.pop() else {
            return;
        };
        let shape = entry.shape;
        let waited_ms = self.now_ms.saturating_sub(entry.submitted_ms);
        if entry.pending.is_empty() {
            self.queues.dequeue(job);
        }
        let demand = self.queues.shapes[shape as usize].shape.demand;
        self.commit(worker, job, task, attempt, demand);
        out.push(Decision::Start {
            job,
            task,
            attempt,
            worker,
            waited_ms,
        });
    }

    /// Updates the tree entry of a worker. If more is available than before, unblocks
    /// the shapes that now fit.
    pub(crate) fn update_tree_and_unblock(&mut self, worker: WorkerId) {
        let entry = &self.workers[worker as usize];
        let available = entry.available(self.now_ms);
        let leaf = entry.leaf;
        let tree = match entry.accelerated {
            true => &mut self.accelerated_tree,
            false => &mut self.cpu_tree,
        };
        let before = tree.get(leaf);
        tree.set(leaf, available);
        if !available.fits(&before) {
            self.queues.unblock(&available);
        }
    }
}
