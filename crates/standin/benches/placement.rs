//! Placement throughput and latency with a full fleet and a full queue.
//!
//! Prints one JSON line per fleet size. The workload mixes arrivals, completions
//! and cancellations; only the recording of completions and the placement are
//! timed, on one thread.
//!
//! Invariant: the benchmark fails if the timed section allocates.

use std::alloc::System;
use std::time::{Duration, Instant};

use model::{Resources, TeamOrder, WorkKind};
use policy::{Decision, Engine, JobRef, JobRequest, Outcome, Settings, TeamId, WorkerId};
use standin::naive::{Job, NaiveScheduler, Team, Worker};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of teams; their weights range from 1 to 7.
const TEAMS: usize = 46;
/// Number of queued jobs, kept constant.
const QUEUED_JOBS: usize = 10_000;
/// Number of timed rounds; each completes one task.
const TIMED_ROUNDS: usize = 200_000;
/// Number of untimed rounds before the measurement.
const WARM_UP_ROUNDS: usize = 50_000;
/// Number of timed placements by the naive scheduler.
const NAIVE_PLACEMENTS: usize = 5;
/// Capacity of each worker: 16 cores and 64 GiB.
const WORKER_CAPACITY: Resources = Resources::of(16_000, 65_536, 0, 0);

/// Fleet size and range of task sizes.
#[derive(Clone, Copy)]
struct FleetSize {
    workers: u32,
    /// Upper bound of the cores that a task needs.
    max_cores: u32,
    min_cores: u32,
}

struct Fleet {
    engine: Engine,
    rng: fastrand::Rng,
    running: Vec<(JobRef, u32, u64, WorkerId)>,
    queued: Vec<JobRef>,
    now_ms: u64,
    retired: Vec<JobRef>,
}

fn random_demand(rng: &mut fastrand::Rng, size: FleetSize) -> Resources {
    let cores = rng.u32(size.min_cores..=size.max_cores);
    Resources::of(cores * 1_000, cores * rng.u32(1..=4) * 1_024, 0, 0)
}

fn settings() -> Settings {
    Settings {
        order: TeamOrder::DominantShare,
        reserve_after_ms: u64::MAX,
        preempt: false,
    }
}

impl Fleet {
    fn new(size: FleetSize) -> (Self, f64, f64) {
        let mut fleet = Self {
            engine: Engine::new(settings()),
            rng: fastrand::Rng::with_seed(1),
            running: Vec::new(),
            queued: Vec::new(),
            now_ms: 1,
            retired: Vec::new(),
        };
        for team in 0..TEAMS {
            let id = fleet.engine.add_team(1 + team as u32 % 7);
            fleet
                .engine
                .set_team(id, 1 + team as u32 % 7, Resources::UNLIMITED);
        }
        let region = Region::new(ALLOCATOR);
        for index in 0..size.workers {
            fleet
                .engine
                .add_worker(WORKER_CAPACITY, (index / 20) as u16);
        }
        let per_worker = net_bytes_allocated(&region) / f64::from(size.workers);
        let region = Region::new(ALLOCATOR);
        let mut out = Vec::new();
        loop {
            for _ in 0..512 {
                fleet.submit(size);
            }
            fleet.engine.place(fleet.now_ms, usize::MAX / 2, &mut out);
            if out.is_empty() {
                break;
            }
            fleet.record_starts(&mut out);
        }
        let per_task = net_bytes_allocated(&region) / fleet.running.len().max(1) as f64;
        while fleet.queued.len() < QUEUED_JOBS {
            fleet.submit(size);
        }
        (fleet, per_worker, per_task)
    }

    fn submit(&mut self, size: FleetSize) {
        let request = JobRequest {
            team: self.rng.u16(..TEAMS as TeamId),
            work: WorkKind::Batch,
            urgent: false,
            demand: random_demand(&mut self.rng, size),
            tasks: 1,
            class: 0,
            first_attempt: 0,
        };
        let job = self.engine.submit(&request, &[], self.now_ms);
        self.queued.push(job);
    }

    fn record_starts(&mut self, out: &mut Vec<Decision>) {
        for decision in out.drain(..) {
            if let Decision::Start {
                job,
                task,
                attempt,
                worker,
                ..
            } = decision
            {
                self.running.push((job, task, attempt, worker));
                if let Some(index) = self.queued.iter().position(|j| *j == job) {
                    self.queued.swap_remove(index);
                }
            }
        }
    }

    /// Completes a random task and places the jobs that it allows to start;
    /// returns the time that the engine took.
    fn run_round(&mut self, size: FleetSize, out: &mut Vec<Decision>) -> Duration {
        self.now_ms += 1;
        let index = self.rng.usize(..self.running.len());
        let (job, task, attempt, worker) = self.running.swap_remove(index);
        let begin = Instant::now();
        let outcome = Outcome::Completed;
        self.engine
            .record_end(worker, job, task, attempt, outcome, self.now_ms);
        self.engine.place(self.now_ms, usize::MAX / 2, out);
        let elapsed = begin.elapsed();
        self.engine.cancel(job, &mut Vec::new());
        finish_round(self, size, out);
        elapsed
    }
}

fn finish_round(fleet: &mut Fleet, size: FleetSize, out: &mut Vec<Decision>) {
    fleet.record_starts(out);
    fleet.engine.collect_retired(&mut fleet.retired);
    fleet.retired.clear();
    if fleet.rng.u32(..8) == 0 {
        let index = fleet.rng.usize(..fleet.queued.len());
        let job = fleet.queued.swap_remove(index);
        fleet.engine.cancel(job, &mut Vec::new());
    }
    while fleet.queued.len() < QUEUED_JOBS {
        fleet.submit(size);
    }
}

fn net_bytes_allocated(region: &Region<'_, System>) -> f64 {
    let change = region.change();
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// Placements per second of the naive scheduler with a fleet and a queue of the
/// same size.
fn naive_placement_rate(size: FleetSize, fleet: &Fleet) -> f64 {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut naive = NaiveScheduler::default();
    for team in 0..TEAMS {
        let weight = 1 + team as u32 % 7;
        let allotment = Resources::UNLIMITED;
        naive.teams.push(Team { weight, allotment });
    }
    for _ in 0..size.workers {
        naive.workers.push(Worker {
            capacity: WORKER_CAPACITY,
            tasks: Vec::new(),
            schedulable: true,
        });
    }
    let add = |naive: &mut NaiveScheduler, rng: &mut fastrand::Rng| {
        let seq = naive.jobs.len() as u64;
        naive.jobs.push(Job {
            team: rng.usize(..TEAMS),
            work: WorkKind::Batch,
            urgent: false,
            demand: random_demand(rng, size),
            pending: vec![0],
            seq,
        });
    };
    // Fill the fleet directly, untimed, so that the timed placements run on a
    // full fleet.
    for worker in 0..size.workers as usize {
        let mut free = WORKER_CAPACITY;
        for _ in 0..fleet.running.len() / size.workers as usize {
            add(&mut naive, &mut rng);
            let job = naive.jobs.len() - 1;
            if naive.jobs[job].demand.fits(&free) {
                free = free.minus(naive.jobs[job].demand);
                naive.start_task(job, 0, worker);
            }
        }
    }
    while naive.jobs.iter().filter(|j| !j.pending.is_empty()).count() < QUEUED_JOBS {
        for _ in 0..64 {
            add(&mut naive, &mut rng);
        }
    }
    let begin = Instant::now();
    let mut placed = 0;
    for round in 0..NAIVE_PLACEMENTS {
        naive.workers[round].tasks.pop();
        let Some((job, workers)) = naive.next_placement() else {
            break;
        };
        naive.start_task(job, 0, workers[0]);
        placed += 1;
    }
    f64::from(placed) / begin.elapsed().as_secs_f64()
}

fn run_benchmark(size: FleetSize) -> bool {
    let (mut fleet, per_worker, per_task) = Fleet::new(size);
    let mut out = Vec::with_capacity(4_096);
    for _ in 0..WARM_UP_ROUNDS {
        fleet.run_round(size, &mut out);
    }
    let mut latencies = Vec::with_capacity(TIMED_ROUNDS);
    let mut placed = 0;
    let mut allocations = 0;
    for _ in 0..TIMED_ROUNDS {
        let before = fleet.running.len();
        let region = Region::new(ALLOCATOR);
        fleet.now_ms += 1;
        let index = fleet.rng.usize(..before);
        let (job, task, attempt, worker) = fleet.running.swap_remove(index);
        let begin = Instant::now();
        fleet
            .engine
            .record_end(worker, job, task, attempt, Outcome::Completed, fleet.now_ms);
        fleet.engine.place(fleet.now_ms, usize::MAX / 2, &mut out);
        latencies.push(begin.elapsed());
        allocations += region.change().allocations;
        placed += out.len();
        fleet.engine.cancel(job, &mut Vec::new());
        finish_round(&mut fleet, size, &mut out);
    }
    let total: Duration = latencies.iter().sum();
    latencies.sort_unstable();
    let quantile_us = |q: f64| latencies[(TIMED_ROUNDS as f64 * q) as usize].as_secs_f64() * 1e6;
    let naive = naive_placement_rate(size, &fleet);
    println!(
        "{}",
        serde_json::json!({
            "workers": size.workers,
            "running": fleet.running.len(),
            "teams": TEAMS,
            "placements_per_second": (placed as f64 / total.as_secs_f64()).round(),
            "p50_us": quantile_us(0.5),
            "p99_us": quantile_us(0.99),
            "naive_placements_per_second": naive,
            "bytes_per_worker": per_worker,
            "bytes_per_task": per_task,
            "allocations": allocations,
        })
    );
    allocations == 0
}

fn main() -> std::process::ExitCode {
    let sizes = [
        FleetSize {
            workers: 48,
            min_cores: 9,
            max_cores: 14,
        },
        FleetSize {
            workers: 1_600,
            min_cores: 1,
            max_cores: 4,
        },
        FleetSize {
            workers: 16_000,
            min_cores: 1,
            max_cores: 4,
        },
    ];
    let allocation_free = sizes.map(run_benchmark);
    match allocation_free.iter().all(|free| *free) {
        true => std::process::ExitCode::SUCCESS,
        false => {
            eprintln!("benchmark failed: the timed section allocated memory");
            std::process::ExitCode::FAILURE
        }
    }
}
