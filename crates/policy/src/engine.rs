//! The engine's state and its entry points.
//!
//! Invariant: `place` returns only decisions that are already accounted for;
//! the caller carries them out or reports their failure through `ended`.

use model::{Attempt, Order, Preset, Resources, TaskIndex, Work};

use crate::gang::Reservation;
use crate::health::Health;
use crate::learn::RuntimeEstimates;
use crate::preempt::Claim;
use crate::queue::{Job, JobRef, Queues, Shape, Slot, TeamId};
use crate::tree::Tree;
use crate::worker::{State, Task, Worker, WorkerId};

/// Time constant of decayed usage in ms.
const USAGE_DECAY_MS: f64 = 30_000.0;
/// Period in ms at which blocked gangs and urgent work are tried again.
const RETRY_MS: u64 = 100;
/// Tasks for which a worker keeps room without allocating.
const TASKS_PER_WORKER: usize = 32;

/// Weights of the preset in force that concern placement.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Order between teams.
    pub order: Order,
    /// Longest wait of a gang in ms before workers are reserved for it.
    pub reserve_after_ms: u64,
    /// Whether urgent work and old gangs may preempt batch work.
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

/// A job to be queued.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Team that pays.
    pub team: TeamId,
    /// Kind of work.
    pub work: Work,
    /// Urgent or not.
    pub urgent: bool,
    /// Resources of each task.
    pub each: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// Class under which run times are learned.
    pub class: u32,
    /// Attempt number of the first start of each task.
    pub first_attempt: Attempt,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task.
    Start {
        /// Job.
        job: JobRef,
        /// Task.
        task: TaskIndex,
        /// Attempt.
        attempt: Attempt,
        /// Where.
        worker: WorkerId,
        /// Time since submission, in ms.
        waited_ms: u64,
    },
    /// Stop a running task; its room stays committed until it has ended.
    Stop {
        /// Job.
        job: JobRef,
        /// Task.
        task: TaskIndex,
        /// Attempt.
        attempt: Attempt,
        /// Where.
        worker: WorkerId,
        /// True to save a checkpoint first.
        checkpoint: bool,
    },
    /// Give the job up: its tasks failed on several workers.
    Fail {
        /// Job.
        job: JobRef,
    },
}

/// Placement state of one data centre.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Settings,
    pub(crate) now_ms: u64,
    pub(crate) workers: Vec<Worker>,
    pub(crate) plain: Tree,
    pub(crate) plain_ids: Vec<WorkerId>,
    pub(crate) accelerated: Tree,
    pub(crate) accelerated_ids: Vec<WorkerId>,
    pub(crate) total: Resources,
    pub(crate) largest: Resources,
    pub(crate) queues: Queues,
    pub(crate) estimates: RuntimeEstimates,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) claims: Vec<Claim>,
    pub(crate) scratch: Vec<WorkerId>,
    pub(crate) held: Vec<WorkerId>,
    pub(crate) sample_from: usize,
    next_retry_ms: u64,
    pub(crate) failed: Vec<JobRef>,
    retired: Vec<JobRef>,
}

impl Engine {
    /// An engine without workers, teams or jobs.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            now_ms: 0,
            workers: Vec::new(),
            plain: Tree::new(),
            plain_ids: Vec::new(),
            accelerated: Tree::new(),
            accelerated_ids: Vec::new(),
            total: Resources::ZERO,
            largest: Resources::ZERO,
            queues: Queues::default(),
            estimates: RuntimeEstimates::default(),
            reservation: None,
            claims: Vec::new(),
            scratch: Vec::new(),
            held: Vec::new(),
            sample_from: 0,
            next_retry_ms: 0,
            failed: Vec::new(),
            retired: Vec::new(),
        }
    }

    /// Puts other settings in force; running work is not touched.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Adds a team without an allotment.
    pub fn add_team(&mut self, share: u32) -> TeamId {
        self.queues.teams.push(crate::queue::Team {
            share: f64::from(share.max(1)),
            ..Default::default()
        });
        (self.queues.teams.len() - 1) as TeamId
    }

    /// Sets a team's weight and the most it may hold here.
    pub fn set_team(&mut self, team: TeamId, share: u32, allotment: Resources) {
        let entry = &mut self.queues.teams[team as usize];
        entry.share = f64::from(share.max(1));
        entry.allotment = allotment;
    }

    /// Resources that a team's tasks hold.
    #[must_use]
    pub fn used(&self, team: TeamId) -> Resources {
        self.queues.teams[team as usize].used
    }

    /// What a team's next task needs when only the allotment held it back
    /// since the last call.
    pub fn take_short(&mut self, team: TeamId) -> Option<Resources> {
        self.queues.teams[team as usize].short.take()
    }

    /// Jobs of a team that wait.
    #[must_use]
    pub fn waiting(&self, team: TeamId) -> u32 {
        self.queues.teams[team as usize].queued_jobs
    }

    /// Capacity of all workers that are not lost.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Free resources of one worker.
    #[must_use]
    pub fn free(&self, worker: WorkerId) -> Resources {
        self.workers[worker as usize].free
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, capacity: Resources, rack: u16) -> WorkerId {
        let id = self.workers.len() as WorkerId;
        let accelerated = capacity.accelerators > 0;
        let (tree, ids) = match accelerated {
            true => (&mut self.accelerated, &mut self.accelerated_ids),
            false => (&mut self.plain, &mut self.plain_ids),
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
            state: State::Open,
            reserved_for: None,
            reserved: Resources::ZERO,
            health: Health::default(),
            tasks: Vec::with_capacity(TASKS_PER_WORKER),
        });
        self.total = self.total.plus(capacity);
        self.largest = self.largest.max(capacity);
        self.offer(id);
        id
    }

    /// Changes whether a worker takes tasks.
    pub fn set_worker(&mut self, worker: WorkerId, state: State) {
        let entry = &mut self.workers[worker as usize];
        let (was, is) = (entry.state == State::Lost, state == State::Lost);
        entry.state = state;
        let capacity = entry.capacity;
        match (was, is) {
            (false, true) => self.total = self.total.minus(capacity),
            (true, false) => self.total = self.total.plus(capacity),
            _ => {}
        }
        if state != State::Open {
            self.drop_reservation_of(worker);
        }
        self.offer(worker);
    }

    /// Queues a job; tasks in `skip` are known to be completed.
    pub fn submit(&mut self, request: &Request, skip: &[TaskIndex], now_ms: u64) -> JobRef {
        self.advance(now_ms);
        let shape = self.queues.shape_id(Shape {
            each: request.each,
            work: request.work,
            urgent: request.urgent,
            together: match request.work {
                Work::Gang => request.tasks,
                _ => 1,
            },
        });
        let line = self.queues.line_id(request.team, shape);
        let pending = |index: &TaskIndex| !skip.contains(index);
        let job = Job {
            seq: self.queues.next_seq(),
            team: request.team,
            shape,
            line,
            class: request.class,
            first_attempt: request.first_attempt,
            submitted_ms: now_ms,
            tasks: request.tasks,
            pending: (0..request.tasks)
                .rev()
                .filter(pending)
                .map(|i| (i, request.first_attempt))
                .collect(),
            withheld: Vec::new(),
            running: 0,
            completed: skip.len() as u32,
            preempted: 0,
            failed_on: Vec::new(),
            racks: Vec::new(),
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

    /// True when one task of this size could run on an empty fleet.
    #[must_use]
    pub fn can_ever_fit(&self, each: &Resources) -> bool {
        self.workers
            .iter()
            .any(|w| w.state == State::Open && each.fits(&w.capacity))
    }

    /// Ends a job: nothing more of it starts, and its running tasks are to
    /// be stopped by the returned decisions.
    pub fn cancel(&mut self, job: JobRef, out: &mut Vec<Decision>) {
        self.queues.dequeue(job);
        let entry = &mut self.queues.jobs[job as usize];
        entry.ended = true;
        entry.pending.clear();
        entry.withheld.clear();
        if entry.running > 0 {
            self.stop_all(job, out);
        }
        self.drop_claims_of(job);
        self.retire(job);
    }

    fn stop_all(&mut self, job: JobRef, out: &mut Vec<Decision>) {
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

    pub(crate) fn retire(&mut self, job: JobRef) {
        let entry = &mut self.queues.jobs[job as usize];
        if entry.ended && entry.running == 0 && entry.seq != 0 {
            entry.seq = 0;
            self.retired.push(job);
        }
    }

    /// Moves the jobs that are over to `out`. Their indexes are given to new
    /// jobs only after this, so the caller can forget them first.
    pub fn collect_retired(&mut self, out: &mut Vec<JobRef>) {
        self.queues.free_jobs.extend_from_slice(&self.retired);
        out.append(&mut self.retired);
    }

    /// Decides what can start now, at most `max` decisions beyond those that
    /// `out` has.
    pub fn place(&mut self, now_ms: u64, max: usize, out: &mut Vec<Decision>) {
        self.advance(now_ms);
        self.give_up_broken(out);
        self.release_held();
        self.retry_blocked();
        self.serve_claims(out);
        self.serve_reservation(out);
        let stop_at = out.len() + max;
        while out.len() < stop_at {
            self.block_unplaceable();
            let Some((line, job)) = self.pick() else {
                return;
            };
            self.place_job(line, job, out);
        }
    }

    /// Lets gangs and urgent work be tried again now and then: what helps them
    /// is not only room, but also time to reserve and tasks to stop.
    fn retry_blocked(&mut self) {
        if self.now_ms < self.next_retry_ms {
            return;
        }
        self.next_retry_ms = self.now_ms + RETRY_MS;
        let special = |slot: &&mut Slot| slot.shape.work == Work::Gang || slot.shape.urgent;
        for slot in self.queues.shapes.iter_mut().filter(special) {
            slot.blocked = false;
        }
    }

    /// Offers workers again whose time of being held back is over.
    fn release_held(&mut self) {
        let mut at = 0;
        while at < self.held.len() {
            let worker = self.held[at];
            let until = self.workers[worker as usize].health.quarantined_until_ms();
            if until.is_none_or(|t| t <= self.now_ms) {
                self.held.swap_remove(at);
                self.offer(worker);
            } else {
                at += 1;
            }
        }
    }

    /// Moves time on and decays the usage of teams.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.now_ms) as f64;
        if passed <= 0.0 {
            return;
        }
        self.now_ms = now_ms;
        if self.settings.order != Order::DecayedUsage {
            return;
        }
        let keep = (-passed / USAGE_DECAY_MS).exp();
        for team in &mut self.queues.teams {
            let share = team.used.dominant_share(&self.total);
            team.decayed = team.decayed * keep + share * (1.0 - keep);
        }
    }

    /// Accounts for one task on a worker.
    pub(crate) fn commit(
        &mut self,
        worker: WorkerId,
        job: JobRef,
        index: TaskIndex,
        attempt: Attempt,
        each: Resources,
    ) {
        let entry = &mut self.workers[worker as usize];
        entry.tasks.push(Task {
            job,
            index,
            attempt,
            each,
            started_ms: self.now_ms,
            stopping: false,
        });
        entry.free = entry.free.minus(each);
        let rack = entry.rack;
        let entry = &mut self.queues.jobs[job as usize];
        entry.running += 1;
        if self.queues.shapes[entry.shape as usize].shape.work == Work::Service {
            match entry.racks.iter_mut().find(|(r, _)| *r == rack) {
                Some((_, n)) => *n += 1,
                None => entry.racks.push((rack, 1)),
            }
        }
        let team = &mut self.queues.teams[entry.team as usize];
        team.used = team.used.plus(each);
        self.offer(worker);
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
        let each = self.queues.shapes[shape as usize].shape.each;
        self.commit(worker, job, task, attempt, each);
        out.push(Decision::Start {
            job,
            task,
            attempt,
            worker,
            waited_ms,
        });
    }

    /// Publishes what a worker offers to the search tree.
    pub(crate) fn offer(&mut self, worker: WorkerId) {
        let entry = &self.workers[worker as usize];
        let offered = entry.offered(self.now_ms);
        let leaf = entry.leaf;
        let tree = match entry.accelerated {
            true => &mut self.accelerated,
            false => &mut self.plain,
        };
        let before = tree.get(leaf);
        tree.set(leaf, offered);
        if !offered.fits(&before) {
            self.queues.unblock(&offered);
        }
    }
}
