//! Progress, measurements and the verdict of a cell.
//!
//! Invariant: a quantile or share error without measurements is null, not zero.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use model::{Name, Resources};
use serde::Serialize;
use tokio::time::Instant;

use crate::cell::client::{AcceptedJob, ClientOutcome, Harness, RequestRecord};
use crate::cell::daemons::{Daemons, Usage};
use crate::cell::operators::ChangeStats;
use crate::cell::world::{World, lock};

/// Length, in samples, of the windows over which shares are compared. There is
/// about one sample per second.
const SHARE_WINDOW: usize = 10;

/// State of the cell at one point in time: resources in use and whether a job
/// waits, by team, and the fraction of the CPU capacity that tasks hold.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    usage: BTreeMap<Name, Resources>,
    has_waiting_job: BTreeMap<Name, bool>,
    packing: f64,
}

/// Cost of the control plane: means per daemon.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct ControlCost {
    cpu_percent: f64,
    rss_mb: f64,
    bytes_per_second: f64,
    mesh_bytes_per_second: f64,
    platform_bytes_per_second: f64,
    worker_bytes_per_second: f64,
}

/// Bytes of control traffic since the start, and resource usage of each daemon.
#[derive(Clone, Debug)]
pub(crate) struct ResourceSnapshot {
    usage: Vec<Option<Usage>>,
    mesh_bytes: u64,
    platform_bytes: u64,
    worker_bytes: u64,
}

impl ResourceSnapshot {
    pub(crate) fn capture(world: &World, daemons: &Daemons) -> Self {
        let links = daemons.links.iter();
        let platform_endpoints = lock(&world.platform_endpoints);
        let worker_vms = world.worker_vms.iter();
        Self {
            usage: daemons.usage(),
            mesh_bytes: links.map(|(_, _, l)| l.bytes.load(Relaxed)).sum(),
            platform_bytes: platform_endpoints
                .iter()
                .map(|e| e.http_faults.traffic_bytes.load(Relaxed))
                .sum(),
            worker_bytes: worker_vms
                .map(|vm| vm.worker_http_faults.traffic_bytes.load(Relaxed))
                .sum(),
        }
    }
}

impl ControlCost {
    /// Computes the cost between two snapshots. Processor time and memory leave
    /// out daemons that were restarted in between or are not running.
    pub(crate) fn between(
        before: &ResourceSnapshot,
        after: &ResourceSnapshot,
        duration: Duration,
    ) -> Self {
        let pairs = before.usage.iter().zip(&after.usage);
        let unrestarted = pairs.filter_map(|(b, a)| Some(((*b)?, (*a)?)));
        let unrestarted: Vec<_> = unrestarted.filter(|(b, a)| a.cpu >= b.cpu).collect();
        let count = unrestarted.len().max(1) as f64;
        let cpu: f64 = unrestarted
            .iter()
            .map(|(b, a)| (a.cpu - b.cpu).as_secs_f64())
            .sum();
        let rss: f64 = unrestarted.iter().map(|(_, a)| a.rss_bytes as f64).sum();
        let seconds = duration.as_secs_f64();
        let per_daemon = |b: u64, a: u64| (a - b) as f64 / seconds / before.usage.len() as f64;
        // Each datagram is sent by one daemon and received by another.
        let mesh = 2.0 * per_daemon(before.mesh_bytes, after.mesh_bytes);
        let platform = per_daemon(before.platform_bytes, after.platform_bytes);
        let workers = per_daemon(before.worker_bytes, after.worker_bytes);
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
struct RequestCounts {
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
struct TaskCounts {
    accepted: u64,
    started: u64,
    completed: u64,
    lost: u64,
    doubled: u64,
}

#[derive(Debug, Default, Serialize)]
struct ConfigurationStats {
    changes: u64,
    spread_ms_p99: Option<u64>,
    reverted: u64,
}

#[derive(Debug, Default, Serialize)]
struct WaitQuantiles {
    p50: u64,
    p99: u64,
}

/// Result of a run, printed as the last line on stdout.
#[derive(Debug, Serialize)]
pub(crate) struct Verdict {
    requests: RequestCounts,
    tasks: TaskCounts,
    overcommitted: u64,
    over_limit: u64,
    accepted_after_withdrawal: u64,
    work_after_leaving: u64,
    configuration: ConfigurationStats,
    wait_ms: BTreeMap<Name, WaitQuantiles>,
    job_wait_ms: BTreeMap<Name, WaitQuantiles>,
    urgent_start_ms_p99: Option<u64>,
    share_error_max: Option<f64>,
    packing: f64,
    placements_per_second: f64,
    control: ControlCost,
    jobs_refused: u64,
}

fn quantile(sorted: &[u64], q: f64) -> Option<u64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * q).round() as usize).copied()
}

fn wait_quantiles(mut values: Vec<u64>) -> WaitQuantiles {
    values.sort_unstable();
    WaitQuantiles {
        p50: quantile(&values, 0.5).unwrap_or(0),
        p99: quantile(&values, 0.99).unwrap_or(0),
    }
}

/// Samples the cell about once per second until the run ends. Also updates the
/// readiness of the entry VMs and prints progress.
pub(crate) async fn sample_until_end(harness: &Arc<Harness>) {
    let until = Instant::now() + harness.options.duration;
    let mut second = 0;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_secs(1)).await;
        second += 1;
        harness.update_readiness().await;
        let sample = sample(harness);
        if harness.options.progress {
            let done = lock(&harness.request_records).len();
            let jobs = lock(&harness.jobs).len();
            eprintln!(
                "{second:>4} s  requests finished {done}, jobs accepted {jobs}, packing {:.2}",
                sample.packing
            );
        }
        lock(&harness.samples).push(sample);
    }
}

fn sample(harness: &Harness) -> Sample {
    let ledger = lock(&harness.world.ledger);
    let mut has_waiting_job: BTreeMap<Name, bool> = BTreeMap::new();
    for job in lock(&harness.jobs).iter().filter(|j| !j.cancelled) {
        let started = ledger.first_start_ms.contains_key(&job.id);
        *has_waiting_job.entry(job.team.clone()).or_default() |= !started;
    }
    Sample {
        usage: ledger.usage_by_team(),
        has_waiting_job,
        packing: ledger.cpu_packing(),
    }
}

/// Waits until all accepted jobs have completed or were cancelled, for at most
/// `limit`.
pub(crate) async fn wait_for_jobs(harness: &Arc<Harness>, limit: Duration) {
    let until = Instant::now() + limit;
    while Instant::now() < until && !incomplete_jobs(harness).is_empty() {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn incomplete_jobs(harness: &Harness) -> Vec<AcceptedJob> {
    let ledger = lock(&harness.world.ledger);
    let jobs = lock(&harness.jobs);
    let is_incomplete = |job: &&AcceptedJob| {
        let done = |task| ledger.completed.contains_key(&(job.id.clone(), task));
        !job.cancelled && !(0..job.tasks).all(done)
    };
    jobs.iter().filter(is_incomplete).cloned().collect()
}

/// Counts the tasks of lost jobs: jobs with tasks that have not completed, which
/// the system no longer knows or reports as ended.
async fn count_lost_tasks(harness: &Arc<Harness>) -> u64 {
    let mut lost = 0;
    for job in incomplete_jobs(harness) {
        let key = lock(&harness.keys)
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
            let (response, _) = harness
                .send_with_retries(Method::GET, &path, &Bytes::new(), &headers, limit)
                .await;
            let value = response.and_then(|r| serde_json::from_slice(r.body()).ok());
            let value: serde_json::Value = value.unwrap_or_default();
            phase = value["phase"].as_str().unwrap_or_default().to_owned();
            explanation = value["explanation"].to_string();
            let known = !phase.is_empty() || value["reason"] == "no_job";
            if known {
                break;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        if harness.options.progress {
            let history = lock(&harness.world.ledger).job_history(&job.id);
            eprintln!(
                "incomplete job {}: phase {phase:?}, explanation {explanation}, history {history:?}",
                job.id
            );
        }
        if phase != "active" {
            eprintln!(
                "lost job {}: phase {phase:?} though tasks have not completed",
                job.id
            );
            lost += u64::from(job.tasks);
        }
    }
    lost
}

/// Returns the maximum difference between a team's fraction of the resources in
/// use and its configured share, over all windows in which every team without a
/// limit had a waiting job; `None` without such a window.
fn share_error(harness: &Harness) -> Option<f64> {
    let samples = lock(&harness.samples);
    let config = &harness.deployment.config;
    // Teams with a limit are left out: the limit may keep them below their share.
    let unlimited = |t: &&Name| config.teams[*t].limit.is_none();
    let teams: Vec<&Name> = harness.deployment.demand.keys().filter(unlimited).collect();
    let total: u32 = teams.iter().map(|t| config.teams[*t].share).sum();
    let workers = harness.deployment.workers();
    let capacities = workers.iter().map(|(vm, _)| vm.capacity);
    let capacity = capacities.fold(Resources::ZERO, Resources::plus);
    let mut max_error = None;
    for window in samples.windows(SHARE_WINDOW) {
        let contended = window.iter().all(|s| {
            teams
                .iter()
                .all(|t| s.has_waiting_job.get(*t) == Some(&true))
        });
        if !contended {
            continue;
        }
        let usage_of = |team: &Name| -> f64 {
            let share_of = |s: &Sample| {
                s.usage
                    .get(team)
                    .map_or(0.0, |r| r.dominant_share(&capacity))
            };
            window.iter().map(share_of).sum()
        };
        let total_usage: f64 = teams.iter().map(|t| usage_of(t)).sum();
        for team in &teams {
            let share = f64::from(config.teams[*team].share) / f64::from(total);
            let error = (usage_of(team) / total_usage.max(1.0) - share).abs();
            max_error = Some(max_error.map_or(error, |max: f64| max.max(error)));
        }
    }
    max_error
}

fn count_requests(harness: &Harness) -> RequestCounts {
    let request_records = lock(&harness.request_records);
    let ledger = lock(&harness.world.ledger);
    let count = |outcome: ClientOutcome| {
        request_records
            .iter()
            .filter(|r| r.outcome == outcome)
            .count() as u64
    };
    let false_refusal =
        |r: &&RequestRecord| r.outcome == ClientOutcome::Refused && ledger.has_run(&r.id);
    // According to the ledger the request never ran, so the response is wrong.
    let fabricated =
        |r: &&RequestRecord| r.outcome == ClientOutcome::Answered && !ledger.has_run(&r.id);
    RequestCounts {
        sent: request_records.len() as u64,
        answered: count(ClientOutcome::Answered),
        refused: count(ClientOutcome::Refused),
        unknown: count(ClientOutcome::Unknown),
        lost: count(ClientOutcome::Lost),
        doubled: ledger.violations.duplicate_requests,
        wrong_answer: count(ClientOutcome::WrongAnswer)
            + request_records.iter().filter(fabricated).count() as u64,
        false_refusals: request_records.iter().filter(false_refusal).count() as u64,
    }
}

impl Verdict {
    /// Computes the verdict of a finished run.
    pub(crate) async fn new(
        harness: &Arc<Harness>,
        stats: ChangeStats,
        control: ControlCost,
    ) -> Self {
        let lost = count_lost_tasks(harness).await;
        let requests = count_requests(harness);
        let mut propagation_ms = stats.propagation_ms;
        propagation_ms.sort_unstable();
        let samples = lock(&harness.samples);
        let packing: f64 = samples.iter().map(|s| s.packing).sum();
        let packing = packing / samples.len().max(1) as f64;
        drop(samples);
        let share_error_max = share_error(harness);
        let ledger = lock(&harness.world.ledger);
        for detail in &ledger.violation_details {
            eprintln!("guarantee violated: {detail}");
        }
        let jobs = lock(&harness.jobs);
        let mut job_waits: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
        let mut urgent_waits = Vec::new();
        for job in jobs.iter() {
            let Some(start) = ledger.first_start_ms.get(&job.id) else {
                continue;
            };
            let wait = start.saturating_sub(job.sent_ms);
            job_waits.entry(job.team.clone()).or_default().push(wait);
            if job.urgent {
                urgent_waits.push(wait);
            }
        }
        urgent_waits.sort_unstable();
        let mut waits: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
        for record in lock(&harness.request_records)
            .iter()
            .filter(|r| r.outcome == ClientOutcome::Answered)
        {
            let wait = record.took_ms.saturating_sub(record.run_ms);
            waits.entry(record.team.clone()).or_default().push(wait);
        }
        let peak_starts = ledger
            .starts_per_second
            .values()
            .max()
            .copied()
            .unwrap_or(0);
        Self {
            tasks: TaskCounts {
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
            accepted_after_withdrawal: *lock(&harness.accepted_after_withdrawal),
            work_after_leaving: ledger.violations.work_on_leaving_workers,
            configuration: ConfigurationStats {
                changes: stats.changes,
                spread_ms_p99: quantile(&propagation_ms, 0.99),
                reverted: stats.reverted + *lock(&harness.lost_updates),
            },
            wait_ms: waits
                .into_iter()
                .map(|(t, w)| (t, wait_quantiles(w)))
                .collect(),
            job_wait_ms: job_waits
                .into_iter()
                .map(|(t, w)| (t, wait_quantiles(w)))
                .collect(),
            urgent_start_ms_p99: quantile(&urgent_waits, 0.99),
            share_error_max,
            packing,
            placements_per_second: peak_starts as f64,
            control,
            jobs_refused: *lock(&harness.jobs_refused),
        }
    }

    /// True if no guarantee was violated.
    pub(crate) fn passed(&self) -> bool {
        let r = &self.requests;
        let violations = [
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
        violations.iter().all(|n| *n == 0)
    }
}
