//! Compares scheduling policies on one deployment in simulated time.
//!
//! For each job order and load, prints one JSON line with the waiting times by
//! queue and team, the CPU packing, and the largest deviation of a team from its
//! fair share over the windows in which every team had waiting jobs. `naive`
//! lines, printed only for loads above 1.0, come from the naive scheduler.
//!
//! Invariant: for a given load, arrivals and run times are the same for every
//! policy.

use std::collections::{BTreeMap, BinaryHeap};

use clap::{Arg, Command, value_parser};
use compact_str::CompactString;
use model::{Name, Resources, TeamOrder, WorkKind};
use policy::{Decision, Engine, JobRef, JobRequest, Outcome, Settings};
use standin::deployment::{self, Deployment, JobStream};
use standin::naive::{self, NaiveScheduler};

/// Simulated length of a run, in ms.
const RUN_LENGTH_MS: u64 = 120_000;
/// Start of the measurement, in ms. Waiting times are recorded from the start.
const MEASUREMENT_START_MS: u64 = 40_000;
/// Interval between samples of usage, in ms.
const SAMPLE_PERIOD_MS: u64 = 100;
/// Lengths of the windows over which shares are compared, in ms.
const SHARE_WINDOWS_MS: [u64; 2] = [10_000, 60_000];
/// Offered load relative to the capacity of the deployment.
const LOAD_FACTORS: [f64; 3] = [0.7, 1.0, 1.5];

/// Arrival of a job; `team` and `stream` are indexes into the deployment.
#[derive(Clone)]
struct Arrival {
    at_ms: u64,
    team: usize,
    stream: usize,
    tasks: u32,
    run_ms: u64,
}

/// A policy under comparison.
#[derive(Clone, Copy)]
enum Policy {
    Engine(TeamOrder),
    Naive,
}

/// Measurements of one run.
#[derive(Default)]
struct Measurements {
    waits: BTreeMap<(Name, Name), Vec<u64>>,
    samples: Vec<Vec<f64>>,
    contended: Vec<bool>,
    packing: Vec<f64>,
}

fn generate_arrivals(deployment: &Deployment, load: f64) -> Vec<Arrival> {
    let total: u32 = deployment
        .workers()
        .iter()
        .map(|(vm, _)| vm.capacity.millicpus)
        .sum();
    let mut out = Vec::new();
    for (index, stream) in deployment.jobs.iter().enumerate() {
        let mut rng = fastrand::Rng::with_seed(7 + index as u64);
        let tasks = f64::from(stream.min_tasks + stream.max_tasks) / 2.0;
        let work = f64::from(stream.each.millicpus) * stream.mean_ms as f64 * tasks;
        let mean_interarrival_ms = work / (f64::from(total) * stream.part * load);
        let mut now = 0.0;
        while now < RUN_LENGTH_MS as f64 {
            now += -(1.0 - rng.f64()).ln() * mean_interarrival_ms;
            out.push(Arrival {
                at_ms: now as u64,
                team: sample_team(deployment, &mut rng),
                stream: index,
                tasks: rng.u32(stream.min_tasks..=stream.max_tasks),
                run_ms: (stream.mean_ms as f64 * (0.5 + rng.f64())) as u64,
            });
        }
    }
    out.sort_by_key(|a| a.at_ms);
    out
}

fn sample_team(deployment: &Deployment, rng: &mut fastrand::Rng) -> usize {
    let mut point = rng.f64();
    for (index, part) in deployment.demand.values().enumerate() {
        point -= part;
        if point <= 0.0 {
            return index;
        }
    }
    0
}

fn work_kind(deployment: &Deployment, stream: &JobStream) -> WorkKind {
    deployment.config.queues[&stream.queue].work
}

/// Scheduler that implements a policy.
enum Scheduler {
    Engine(Box<Engine>, Vec<JobRef>, Vec<Decision>),
    Naive(Box<NaiveScheduler>),
}

/// Index of the job, task index, attempt, and worker.
type TaskRun = (usize, u32, u64, u32);

impl Scheduler {
    fn new(deployment: &Deployment, policy: Policy) -> Self {
        let teams = deployment.demand.keys();
        let team = |t: &Name| &deployment.config.teams[t];
        match policy {
            Policy::Engine(order) => {
                let preset = deployment.config.preset();
                let mut settings = Settings::from(&preset);
                settings.order = order;
                let mut engine = Engine::new(settings);
                for name in teams {
                    let id = engine.add_team(team(name).share);
                    let limit = team(name).limit.unwrap_or(Resources::UNLIMITED);
                    engine.set_team(id, team(name).share, limit);
                }
                let mut racks: Vec<Name> = Vec::new();
                for (vm, _) in deployment.workers() {
                    let rack = racks.iter().position(|r| *r == vm.rack).unwrap_or_else(|| {
                        racks.push(vm.rack.clone());
                        racks.len() - 1
                    });
                    engine.add_worker(vm.capacity, rack as u16);
                }
                Self::Engine(Box::new(engine), Vec::new(), Vec::new())
            }
            Policy::Naive => {
                let mut naive = NaiveScheduler::default();
                for name in teams {
                    naive.teams.push(naive::Team {
                        weight: team(name).share,
                        allotment: team(name).limit.unwrap_or(Resources::UNLIMITED),
                    });
                }
                for (vm, _) in deployment.workers() {
                    naive.workers.push(naive::Worker {
                        capacity: vm.capacity,
                        tasks: Vec::new(),
                        schedulable: true,
                    });
                }
                Self::Naive(Box::new(naive))
            }
        }
    }

    fn submit(&mut self, deployment: &Deployment, arrival: &Arrival, seq: usize) {
        let stream = &deployment.jobs[arrival.stream];
        let work = work_kind(deployment, stream);
        match self {
            Self::Engine(engine, jobs, _) => {
                let request = JobRequest {
                    team: arrival.team as u16,
                    work,
                    urgent: stream.urgent,
                    demand: stream.each,
                    tasks: arrival.tasks,
                    class: arrival.stream as u32,
                    first_attempt: 0,
                };
                jobs.push(engine.submit(&request, &[], arrival.at_ms));
            }
            Self::Naive(naive) => naive.jobs.push(naive::Job {
                team: arrival.team,
                work,
                urgent: stream.urgent,
                demand: stream.each,
                pending: (0..arrival.tasks).collect(),
                seq: seq as u64,
            }),
        }
    }

    /// Places tasks; returns those started and those to be stopped.
    fn place(&mut self, now_ms: u64) -> (Vec<TaskRun>, Vec<TaskRun>) {
        let (mut started, mut stopped) = (Vec::new(), Vec::new());
        match self {
            Self::Engine(engine, jobs, out) => {
                engine.place(now_ms, 4_096, out);
                for decision in out.drain(..) {
                    let index = |job: JobRef| jobs.iter().rposition(|j| *j == job).unwrap_or(0);
                    match decision {
                        Decision::Start {
                            job,
                            task,
                            attempt,
                            worker,
                            ..
                        } => {
                            started.push((index(job), task, attempt, worker));
                        }
                        Decision::Stop {
                            job,
                            task,
                            attempt,
                            worker,
                            ..
                        } => {
                            stopped.push((index(job), task, attempt, worker));
                        }
                        Decision::Fail { .. } => {}
                    }
                }
            }
            Self::Naive(naive) => {
                for (job, task, worker) in naive.place_all() {
                    started.push((job, task, 0, worker as u32));
                }
            }
        }
        (started, stopped)
    }

    fn end(&mut self, run: TaskRun, outcome: Outcome, now_ms: u64) -> bool {
        let (job, task, attempt, worker) = run;
        match self {
            Self::Engine(engine, jobs, _) => {
                engine.record_end(worker, jobs[job], task, attempt, outcome, now_ms)
            }
            Self::Naive(naive) => {
                naive.end_task(job, task);
                true
            }
        }
    }
}

fn simulate(deployment: &Deployment, load: f64, policy: Policy) -> serde_json::Value {
    let arrivals = generate_arrivals(deployment, load);
    let teams: Vec<Name> = deployment.demand.keys().cloned().collect();
    let workers = deployment.workers();
    let capacities = workers.iter().map(|(vm, _)| vm.capacity);
    let total = capacities.fold(Resources::ZERO, Resources::plus);
    let mut scheduler = Scheduler::new(deployment, policy);
    let mut measurements = Measurements::default();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, TaskRun)>> = BinaryHeap::new();
    let mut used = vec![Resources::ZERO; teams.len()];
    let mut waiting_jobs = vec![0_i64; teams.len()];
    let mut has_started = vec![false; arrivals.len()];
    let mut next = 0;
    for now_ms in (0..RUN_LENGTH_MS).step_by(20) {
        while next < arrivals.len() && arrivals[next].at_ms <= now_ms {
            scheduler.submit(deployment, &arrivals[next], next);
            waiting_jobs[arrivals[next].team] += 1;
            next += 1;
        }
        let each = |run: &TaskRun| deployment.jobs[arrivals[run.0].stream].each;
        while ends.peek().is_some_and(|e| e.0.0 <= now_ms) {
            let Some(std::cmp::Reverse((_, ended))) = ends.pop() else {
                break;
            };
            if scheduler.end(ended, Outcome::Completed, now_ms) {
                let held = &mut used[arrivals[ended.0].team];
                *held = held.minus(each(&ended));
            }
        }
        let (started, stopped) = scheduler.place(now_ms);
        for run in started {
            let arrival = &arrivals[run.0];
            used[arrival.team] = used[arrival.team].plus(each(&run));
            ends.push(std::cmp::Reverse((now_ms + arrival.run_ms, run)));
            if !std::mem::replace(&mut has_started[run.0], true) {
                waiting_jobs[arrival.team] -= 1;
                let queue = deployment.jobs[arrival.stream].queue.clone();
                let key = (queue, teams[arrival.team].clone());
                let wait = now_ms - arrival.at_ms.min(now_ms);
                measurements.waits.entry(key).or_default().push(wait);
            }
        }
        for run in stopped {
            if scheduler.end(run, Outcome::Interrupted, now_ms) {
                let held = &mut used[arrivals[run.0].team];
                *held = held.minus(each(&run));
            }
        }
        if now_ms >= MEASUREMENT_START_MS && now_ms.is_multiple_of(SAMPLE_PERIOD_MS) {
            let shares = used.iter().map(|u| u.dominant_share(&total));
            measurements.samples.push(shares.collect());
            measurements
                .contended
                .push(waiting_jobs.iter().all(|n| *n > 0));
            let cpus = used.iter().map(|u| f64::from(u.millicpus)).sum::<f64>();
            measurements.packing.push(cpus / f64::from(total.millicpus));
        }
    }
    build_report(deployment, load, policy, &teams, measurements)
}

fn quantiles(mut waits: Vec<u64>) -> serde_json::Value {
    waits.sort_unstable();
    let quantile = |q: f64| waits[((waits.len() - 1) as f64 * q) as usize];
    serde_json::json!({ "p50": quantile(0.5), "p99": quantile(0.99) })
}

/// Largest deviation from a fair share over the windows in which all teams have
/// waiting jobs. Teams with a limit are excluded from usage and shares, as the
/// limit may keep them below their share.
fn share_error(
    deployment: &Deployment,
    teams: &[Name],
    measurements: &Measurements,
    window_ms: u64,
) -> Option<f64> {
    let size = (window_ms / SAMPLE_PERIOD_MS) as usize;
    let is_unlimited = |index: &usize| deployment.config.teams[&teams[*index]].limit.is_none();
    let unlimited: Vec<usize> = (0..teams.len()).filter(is_unlimited).collect();
    let share = |index: usize| f64::from(deployment.config.teams[&teams[index]].share);
    let shares: f64 = unlimited.iter().map(|index| share(*index)).sum();
    let mut max_error: Option<f64> = None;
    for start in 0..measurements.samples.len().saturating_sub(size) + 1 {
        let Some(window) = measurements.samples.get(start..start + size) else {
            break;
        };
        if !measurements.contended[start..start + size]
            .iter()
            .all(|c| *c)
        {
            continue;
        }
        let used = |index: usize| window.iter().map(|s| s[index]).sum::<f64>();
        let all: f64 = unlimited.iter().map(|index| used(*index)).sum();
        for index in &unlimited {
            let error = (used(*index) / all - share(*index) / shares).abs();
            max_error = Some(max_error.map_or(error, |max| max.max(error)));
        }
    }
    max_error
}

fn build_report(
    deployment: &Deployment,
    load: f64,
    policy: Policy,
    teams: &[Name],
    measurements: Measurements,
) -> serde_json::Value {
    let name = match policy {
        Policy::Engine(order) => format!("{order:?}"),
        Policy::Naive => "naive".to_owned(),
    };
    let mut by_queue: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
    let mut by_team: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
    for ((queue, team), waits) in &measurements.waits {
        by_queue.entry(queue.clone()).or_default().extend(waits);
        by_team.entry(team.clone()).or_default().extend(waits);
    }
    let quantiles_of = |map: BTreeMap<Name, Vec<u64>>| {
        let entries = map.into_iter().map(|(k, w)| (k.to_string(), quantiles(w)));
        entries.collect::<serde_json::Map<_, _>>()
    };
    let errors = SHARE_WINDOWS_MS.map(|w| share_error(deployment, teams, &measurements, w));
    let packing = measurements.packing.iter().sum::<f64>() / measurements.packing.len() as f64;
    serde_json::json!({
        "deployment": deployment.region,
        "policy": CompactString::from(name),
        "load": load,
        "packing": (packing * 1e4).round() / 1e4,
        "share_error_10s": errors[0],
        "share_error_60s": errors[1],
        "wait_ms_by_queue": quantiles_of(by_queue),
        "wait_ms_by_team": quantiles_of(by_team),
    })
}

fn main() -> eyre::Result<()> {
    let args = Command::new("policy")
        .about("Compares scheduling policies on a deployment in simulated time")
        .arg(
            Arg::new("config")
                .long("config")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf)),
        )
        .get_matches();
    let path = args
        .get_one::<std::path::PathBuf>("config")
        .cloned()
        .unwrap_or_default();
    let deployment = deployment::parse(&std::fs::read_to_string(path)?)?;
    let orders = [
        TeamOrder::DominantShare,
        TeamOrder::DecayedUsage,
        TeamOrder::Fifo,
    ];
    for load in LOAD_FACTORS {
        for order in orders {
            println!("{}", simulate(&deployment, load, Policy::Engine(order)));
        }
        if load > 1.0 {
            println!("{}", simulate(&deployment, load, Policy::Naive));
        }
    }
    Ok(())
}
