//! Progress, measurements and the verdict of a cell.
//!
//! Invariant: a figure that was not measured is null, not zero.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use model::{Name, Resources};
use serde::Serialize;
use tokio::time::Instant;

use crate::cell::client::{Accepted, Outcome, Seen, Shared};
use crate::cell::daemons::{Daemons, Usage};
use crate::cell::operators::Spread;
use crate::cell::world::{World, lock};

/// Length of the windows in which shares are compared, in samples.
const SHARE_WINDOW: usize = 10;

/// State of the cell at one second.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    usage: BTreeMap<Name, Resources>,
    waiting: BTreeMap<Name, bool>,
    packing: f64,
}

/// Control cost per daemon.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Control {
    cpu_percent: f64,
    rss_mb: f64,
    bytes_per_second: f64,
    mesh_bytes_per_second: f64,
    platform_bytes_per_second: f64,
    worker_bytes_per_second: f64,
}

/// Bytes moved for control so far, and each daemon's use.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    usage: Vec<Option<Usage>>,
    mesh: u64,
    platform: u64,
    workers: u64,
}

impl Reading {
    /// Takes a reading.
    pub(crate) fn take(world: &World, daemons: &Daemons) -> Self {
        let links = daemons.links.iter();
        let doors = lock(&world.doors);
        let hosts = world.hosts.iter();
        Self {
            usage: daemons.usage(),
            mesh: links.map(|(_, _, l)| l.bytes.load(Relaxed)).sum(),
            platform: doors
                .iter()
                .map(|d| d.switches.traffic_bytes.load(Relaxed))
                .sum(),
            workers: hosts
                .map(|h| h.worker_switches.traffic_bytes.load(Relaxed))
                .sum(),
        }
    }
}

impl Control {
    /// Cost between two readings; restarted daemons are left out.
    pub(crate) fn between(before: &Reading, after: &Reading, length: Duration) -> Self {
        let pairs = before.usage.iter().zip(&after.usage);
        let same = pairs.filter_map(|(b, a)| Some(((*b)?, (*a)?)));
        let same: Vec<_> = same.filter(|(b, a)| a.cpu >= b.cpu).collect();
        let count = same.len().max(1) as f64;
        let cpu: f64 = same
            .iter()
            .map(|(b, a)| (a.cpu - b.cpu).as_secs_f64())
            .sum();
        let rss: f64 = same.iter().map(|(_, a)| a.rss_bytes as f64).sum();
        let seconds = length.as_secs_f64();
        let per_node = |b: u64, a: u64| (a - b) as f64 / seconds / before.usage.len() as f64;
        // Each datagram is sent by one daemon and received by another.
        let mesh = 2.0 * per_node(before.mesh, after.mesh);
        let platform = per_node(before.platform, after.platform);
        let workers = per_node(before.workers, after.workers);
        Self {
            cpu_percent: 100.0 * cpu / count / seconds,
            rss_mb: rss / count / 1e6,
            bytes_per_second: mesh + platform + workers,
            mesh_bytes_per_second: mesh,
            platform_bytes_per_second: platform,
            worker_bytes_per_second: workers,
        }
    }
}

#[derive(Debug, Default, Serialize)]
struct Requests {
    sent: u64,
    answered: u64,
    refused: u64,
    unknown: u64,
    lost: u64,
    doubled: u64,
    wrong_answer: u64,
    false_refusals: u64,
}

#[derive(Debug, Default, Serialize)]
struct Tasks {
    accepted: u64,
    started: u64,
    completed: u64,
    lost: u64,
    doubled: u64,
}

#[derive(Debug, Default, Serialize)]
struct Configuration {
    changes: u64,
    spread_ms_p99: Option<u64>,
    reverted: u64,
}

#[derive(Debug, Default, Serialize)]
struct Wait {
    p50: u64,
    p99: u64,
}

/// The last line of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Verdict {
    requests: Requests,
    tasks: Tasks,
    overcommitted: u64,
    over_limit: u64,
    accepted_after_withdrawal: u64,
    work_after_leaving: u64,
    configuration: Configuration,
    wait_ms: BTreeMap<Name, Wait>,
    job_wait_ms: BTreeMap<Name, Wait>,
    urgent_start_ms_p99: Option<u64>,
    share_error_max: Option<f64>,
    packing: f64,
    placements_per_second: f64,
    control: Control,
    jobs_refused: u64,
}

fn quantile(sorted: &[u64], q: f64) -> Option<u64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * q).round() as usize).copied()
}

fn wait_of(mut values: Vec<u64>) -> Wait {
    values.sort_unstable();
    Wait {
        p50: quantile(&values, 0.5).unwrap_or(0),
        p99: quantile(&values, 0.99).unwrap_or(0),
    }
}

/// Samples the cell each second, asks for readiness as the balancer does, and
/// shows progress.
pub(crate) async fn watch(shared: &Arc<Shared>) {
    let until = Instant::now() + shared.options.length;
    let mut second = 0;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_secs(1)).await;
        second += 1;
        shared.check_ready().await;
        let sample = sample(shared);
        if shared.options.progress {
            let done = lock(&shared.outcomes).len();
            let jobs = lock(&shared.jobs).len();
            eprintln!(
                "{second:>4} s  requests ended {done}, jobs accepted {jobs}, packing {:.2}",
                sample.packing
            );
        }
        lock(&shared.samples).push(sample);
    }
}

fn sample(shared: &Shared) -> Sample {
    let ledger = lock(&shared.world.ledger);
    let mut waiting: BTreeMap<Name, bool> = BTreeMap::new();
    for job in lock(&shared.jobs).iter().filter(|j| !j.cancelled) {
        let started = ledger.first_start_ms.contains_key(&job.id);
        *waiting.entry(job.team.clone()).or_default() |= !started;
    }
    Sample {
        usage: ledger.usage_by_team(),
        waiting,
        packing: ledger.cpu_packing(),
    }
}

/// Waits until accepted jobs have ended, for a bounded time.
pub(crate) async fn drain(shared: &Arc<Shared>, limit: Duration) {
    let until = Instant::now() + limit;
    while Instant::now() < until && !incomplete(shared).is_empty() {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn incomplete(shared: &Shared) -> Vec<Accepted> {
    let ledger = lock(&shared.world.ledger);
    let jobs = lock(&shared.jobs);
    let open = |job: &&Accepted| {
        let done = |task| ledger.completed.contains_key(&(job.id.clone(), task));
        !job.cancelled && !(0..job.tasks).all(done)
    };
    jobs.iter().filter(open).cloned().collect()
}

/// Tasks of accepted jobs that the system does not know any more, or calls
/// completed though they are not.
async fn lost_tasks(shared: &Arc<Shared>) -> u64 {
    let mut lost = 0;
    for job in incomplete(shared) {
        let key = lock(&shared.keys)
            .get(&job.team)
            .cloned()
            .unwrap_or_default();
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        let path = format!("/v1/jobs/{}", job.id);
        let limit = Duration::from_secs(4);
        let mut phase = String::new();
        let mut explanation = String::new();
        for _ in 0..5 {
            let (answer, _) = shared
                .call(Method::GET, &path, &Bytes::new(), &headers, limit)
                .await;
            let value = answer.and_then(|a| serde_json::from_slice(a.body()).ok());
            let value: serde_json::Value = value.unwrap_or_default();
            phase = value["phase"].as_str().unwrap_or_default().to_owned();
            explanation = value["explanation"].to_string();
            let known = !phase.is_empty() || value["reason"] == "no_job";
            if known {
                break;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        if shared.options.progress {
            let history = lock(&shared.world.ledger).job_history(&job.id);
            eprintln!(
                "incomplete: {} is {phase:?}: {explanation} {history:?}",
                job.id
            );
        }
        if phase != "active" {
            eprintln!("lost: {} is {phase:?}", job.id);
            lost += u64::from(job.tasks);
        }
    }
    lost
}

/// Largest distance of a team from its share over windows in which every team
/// had a job waiting; `None` without such a window.
fn share_error(shared: &Shared) -> Option<f64> {
    let samples = lock(&shared.samples);
    let config = &shared.deployment.config;
    // A team with a limit may be held below its share by it.
    let free = |t: &&Name| config.teams[*t].limit.is_none();
    let teams: Vec<&Name> = shared.deployment.demand.keys().filter(free).collect();
    let total: u32 = teams.iter().map(|t| config.teams[*t].share).sum();
    let workers = shared.deployment.workers();
    let capacities = workers.iter().map(|(vm, _)| vm.capacity);
    let capacity = capacities.fold(Resources::ZERO, Resources::plus);
    let mut worst = None;
    for window in samples.windows(SHARE_WINDOW) {
        let contended = window
            .iter()
            .all(|s| teams.iter().all(|t| s.waiting.get(*t) == Some(&true)));
        if !contended {
            continue;
        }
        let used = |team: &Name| -> f64 {
            let of = |s: &Sample| {
                s.usage
                    .get(team)
                    .map_or(0.0, |r| r.dominant_share(&capacity))
            };
            window.iter().map(of).sum()
        };
        let all: f64 = teams.iter().map(|t| used(t)).sum();
        for team in &teams {
            let share = f64::from(config.teams[*team].share) / f64::from(total);
            let error = (used(team) / all.max(1.0) - share).abs();
            worst = Some(worst.map_or(error, |w: f64| w.max(error)));
        }
    }
    worst
}

fn requests(shared: &Shared) -> Requests {
    let outcomes = lock(&shared.outcomes);
    let ledger = lock(&shared.world.ledger);
    let count = |seen: Seen| outcomes.iter().filter(|o| o.seen == seen).count() as u64;
    let false_refusal = |o: &&Outcome| o.seen == Seen::Refused && ledger.has_run(&o.id);
    // An answer without a run on the ledger was made up.
    let made_up = |o: &&Outcome| o.seen == Seen::Answered && !ledger.has_run(&o.id);
    Requests {
        sent: outcomes.len() as u64,
        answered: count(Seen::Answered),
        refused: count(Seen::Refused),
        unknown: count(Seen::Unknown),
        lost: count(Seen::Lost),
        doubled: ledger.violations.duplicate_requests,
        wrong_answer: count(Seen::WrongAnswer) + outcomes.iter().filter(made_up).count() as u64,
        false_refusals: outcomes.iter().filter(false_refusal).count() as u64,
    }
}

impl Verdict {
    /// Judges a finished run.
    pub(crate) async fn new(shared: &Arc<Shared>, spread: Spread, control: Control) -> Self {
        let lost = lost_tasks(shared).await;
        let requests = requests(shared);
        let mut spread_ms = spread.spread_ms;
        spread_ms.sort_unstable();
        let samples = lock(&shared.samples);
        let packing: f64 = samples.iter().map(|s| s.packing).sum();
        let packing = packing / samples.len().max(1) as f64;
        drop(samples);
        let share_error_max = share_error(shared);
        let ledger = lock(&shared.world.ledger);
        for detail in &ledger.violation_details {
            eprintln!("broken: {detail}");
        }
        let jobs = lock(&shared.jobs);
        let mut job_waits: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
        let mut urgent = Vec::new();
        for job in jobs.iter() {
            let Some(start) = ledger.first_start_ms.get(&job.id) else {
                continue;
            };
            let wait = start.saturating_sub(job.sent_ms);
            job_waits.entry(job.team.clone()).or_default().push(wait);
            if job.urgent {
                urgent.push(wait);
            }
        }
        urgent.sort_unstable();
        let mut waits: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
        for o in lock(&shared.outcomes)
            .iter()
            .filter(|o| o.seen == Seen::Answered)
        {
            let wait = o.took_ms.saturating_sub(o.run_ms);
            waits.entry(o.team.clone()).or_default().push(wait);
        }
        let peak = ledger
            .starts_per_second
            .values()
            .max()
            .copied()
            .unwrap_or(0);
        Self {
            tasks: Tasks {
                accepted: jobs.iter().map(|j| u64::from(j.tasks)).sum(),
                started: ledger.started,
                completed: ledger.completed.len() as u64,
                lost,
                doubled: ledger.violations.duplicate_tasks,
            },
            requests,
            overcommitted: ledger.violations.overcommitted_workers
                + ledger.violations.overloaded_executors,
            over_limit: ledger.violations.teams_over_limit,
            accepted_after_withdrawal: *lock(&shared.after_withdrawal),
            work_after_leaving: ledger.violations.work_on_leaving_workers,
            configuration: Configuration {
                changes: spread.changes,
                spread_ms_p99: quantile(&spread_ms, 0.99),
                reverted: spread.reverted + *lock(&shared.reverted_races),
            },
            wait_ms: waits.into_iter().map(|(t, w)| (t, wait_of(w))).collect(),
            job_wait_ms: job_waits
                .into_iter()
                .map(|(t, w)| (t, wait_of(w)))
                .collect(),
            urgent_start_ms_p99: quantile(&urgent, 0.99),
            share_error_max,
            packing,
            placements_per_second: peak as f64,
            control,
            jobs_refused: *lock(&shared.jobs_refused),
        }
    }

    /// True when every promise held.
    pub(crate) fn holds(&self) -> bool {
        let r = &self.requests;
        let broken = [
            r.lost,
            r.doubled,
            r.wrong_answer,
            r.false_refusals,
            self.tasks.lost,
            self.tasks.doubled,
            self.overcommitted,
            self.over_limit,
            self.accepted_after_withdrawal,
            self.work_after_leaving,
            self.configuration.reverted,
        ];
        broken.iter().all(|n| *n == 0)
    }
}
