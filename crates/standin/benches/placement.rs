//! Placement rate and latency with a full fleet and a full queue.
//!
//! Prints one JSON line for each size. Arrivals, completions and cancellations
//! are mixed; only the engine's own calls are timed, on one core.
//!
//! Invariant: the timed part allocates nothing, or the bench fails.

use std::alloc::System;
use std::time::{Duration, Instant};

use model::{Resources, TeamOrder, WorkKind};
use policy::{Decision, Engine, JobRef, JobRequest, Outcome, Settings, TeamId, WorkerId};
use standin::naive::{Job, Naive, Team, Worker};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Teams.
const TEAMS: usize = 46;
/// Jobs in the queue.
const QUEUED: usize = 10_000;
/// Timed completions.
const ROUNDS: usize = 200_000;
/// Completions before timing starts.
const WARM_UP: usize = 50_000;
/// Placements by the naive version.
const NAIVE_ROUNDS: usize = 5;
/// Capacity of a worker.
const CAPACITY: Resources = Resources::of(16_000, 65_536, 0, 0);

/// One size.
#[derive(Clone, Copy)]
struct Size {
    workers: u32,
    /// Largest task in cores.
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

fn each(rng: &mut fastrand::Rng, size: Size) -> Resources {
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
    fn new(size: Size) -> (Self, f64, f64) {
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
        for at in 0..size.workers {
            fleet.engine.add_worker(CAPACITY, (at / 20) as u16);
        }
        let per_worker = grown(&region) / f64::from(size.workers);
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
            fleet.note(&mut out);
        }
        let per_task = grown(&region) / fleet.running.len().max(1) as f64;
        while fleet.queued.len() < QUEUED {
            fleet.submit(size);
        }
        (fleet, per_worker, per_task)
    }

    fn submit(&mut self, size: Size) {
        let request = JobRequest {
            team: self.rng.u16(..TEAMS as TeamId),
            work: WorkKind::Batch,
            urgent: false,
            demand: each(&mut self.rng, size),
            tasks: 1,
            class: 0,
            first_attempt: 0,
        };
        let job = self.engine.submit(&request, &[], self.now_ms);
        self.queued.push(job);
    }

    fn note(&mut self, out: &mut Vec<Decision>) {
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
                if let Some(at) = self.queued.iter().position(|j| *j == job) {
                    self.queued.swap_remove(at);
                }
            }
        }
    }

    /// One completion with what it lets start; returns the time taken.
    fn round(&mut self, size: Size, out: &mut Vec<Decision>) -> Duration {
        self.now_ms += 1;
        let at = self.rng.usize(..self.running.len());
        let (job, task, attempt, worker) = self.running.swap_remove(at);
        let begin = Instant::now();
        let outcome = Outcome::Completed;
        self.engine
            .record_end(worker, job, task, attempt, outcome, self.now_ms);
        self.engine.place(self.now_ms, usize::MAX / 2, out);
        let took = begin.elapsed();
        self.engine.cancel(job, &mut Vec::new());
        took_note(self, size, out);
        took
    }
}

fn took_note(fleet: &mut Fleet, size: Size, out: &mut Vec<Decision>) {
    fleet.note(out);
    fleet.engine.collect_retired(&mut fleet.retired);
    fleet.retired.clear();
    if fleet.rng.u32(..8) == 0 {
        let at = fleet.rng.usize(..fleet.queued.len());
        let job = fleet.queued.swap_remove(at);
        fleet.engine.cancel(job, &mut Vec::new());
    }
    while fleet.queued.len() < QUEUED {
        fleet.submit(size);
    }
}

fn grown(region: &Region<'_, System>) -> f64 {
    let change = region.change();
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// Placements a second of the naive version with the same fleet and queue.
fn naive_rate(size: Size, fleet: &Fleet) -> f64 {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut naive = Naive::default();
    for team in 0..TEAMS {
        let share = 1 + team as u32 % 7;
        let allotment = Resources::UNLIMITED;
        naive.teams.push(Team { share, allotment });
    }
    for _ in 0..size.workers {
        naive.workers.push(Worker {
            capacity: CAPACITY,
            tasks: Vec::new(),
            open: true,
        });
    }
    let add = |naive: &mut Naive, rng: &mut fastrand::Rng| {
        let seq = naive.jobs.len() as u64;
        naive.jobs.push(Job {
            team: rng.usize(..TEAMS),
            work: WorkKind::Batch,
            urgent: false,
            each: each(rng, size),
            pending: vec![0],
            seq,
        });
    };
    // The fleet is filled first-fit, untimed; a placement by `next` then
    // costs what it costs on a full fleet.
    for worker in 0..size.workers as usize {
        let mut room = CAPACITY;
        for _ in 0..fleet.running.len() / size.workers as usize {
            add(&mut naive, &mut rng);
            let job = naive.jobs.len() - 1;
            if naive.jobs[job].each.fits(&room) {
                room = room.minus(naive.jobs[job].each);
                naive.start(job, 0, worker);
            }
        }
    }
    while naive.jobs.iter().filter(|j| !j.pending.is_empty()).count() < QUEUED {
        for _ in 0..64 {
            add(&mut naive, &mut rng);
        }
    }
    let begin = Instant::now();
    let mut placed = 0;
    for round in 0..NAIVE_ROUNDS {
        naive.workers[round].tasks.pop();
        let Some((job, workers)) = naive.next() else {
            break;
        };
        naive.start(job, 0, workers[0]);
        placed += 1;
    }
    f64::from(placed) / begin.elapsed().as_secs_f64()
}

fn measure(size: Size) -> bool {
    let (mut fleet, per_worker, per_task) = Fleet::new(size);
    let mut out = Vec::with_capacity(4_096);
    for _ in 0..WARM_UP {
        fleet.round(size, &mut out);
    }
    let mut latencies = Vec::with_capacity(ROUNDS);
    let mut placed = 0;
    let mut allocations = 0;
    for _ in 0..ROUNDS {
        let before = fleet.running.len();
        let region = Region::new(ALLOCATOR);
        fleet.now_ms += 1;
        let at = fleet.rng.usize(..before);
        let (job, task, attempt, worker) = fleet.running.swap_remove(at);
        let begin = Instant::now();
        fleet
            .engine
            .record_end(worker, job, task, attempt, Outcome::Completed, fleet.now_ms);
        fleet.engine.place(fleet.now_ms, usize::MAX / 2, &mut out);
        latencies.push(begin.elapsed());
        allocations += region.change().allocations;
        placed += out.len();
        fleet.engine.cancel(job, &mut Vec::new());
        took_note(&mut fleet, size, &mut out);
    }
    let total: Duration = latencies.iter().sum();
    latencies.sort_unstable();
    let micros = |q: f64| latencies[(ROUNDS as f64 * q) as usize].as_secs_f64() * 1e6;
    let naive = naive_rate(size, &fleet);
    println!(
        "{}",
        serde_json::json!({
            "workers": size.workers,
            "running": fleet.running.len(),
            "teams": TEAMS,
            "placements_per_second": (placed as f64 / total.as_secs_f64()).round(),
            "p50_us": micros(0.5),
            "p99_us": micros(0.99),
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
        Size {
            workers: 48,
            min_cores: 9,
            max_cores: 14,
        },
        Size {
            workers: 1_600,
            min_cores: 1,
            max_cores: 4,
        },
        Size {
            workers: 16_000,
            min_cores: 1,
            max_cores: 4,
        },
    ];
    let clean = sizes.map(measure);
    match clean.iter().all(|c| *c) {
        true => std::process::ExitCode::SUCCESS,
        false => {
            eprintln!("the timed part allocated");
            std::process::ExitCode::FAILURE
        }
    }
}
