//! Open-loop load generators: requests and jobs at the deployment's rates.
//!
//! Invariant: arrivals do not wait for responses unless `MAX_IN_FLIGHT` calls
//! are in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use model::{Name, Resources, Spec};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::cell::client::{AcceptedJob, ClientOutcome, Harness, RequestRecord};
use crate::cell::world::lock;
use crate::deployment::JobStream;

/// Deadline that clients set on requests.
const REQUEST_DEADLINE: Duration = Duration::from_secs(5);
/// Maximum number of calls in progress.
const MAX_IN_FLIGHT: usize = 2_000;

/// Runs the load generators for the duration of the run and waits until every
/// call has ended.
pub(crate) async fn run(harness: Arc<Harness>) {
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut generators = Vec::new();
    for (queue, part) in &harness.deployment.requests {
        let rate = harness.request_rate(queue) * part * harness.options.load;
        generators.push(tokio::spawn(generate_requests(
            harness.clone(),
            queue.clone(),
            rate,
            permits.clone(),
        )));
    }
    for (index, stream) in harness.deployment.jobs.iter().enumerate() {
        let rate = harness.job_rate(stream) * harness.options.load;
        let seed = harness.options.seed + 100 + index as u64;
        generators.push(tokio::spawn(generate_jobs(
            harness.clone(),
            stream.clone(),
            rate,
            seed,
            permits.clone(),
        )));
    }
    for generator in generators {
        // Joining fails only if the generator panicked; it is never aborted.
        let _ = generator.await;
    }
    // All permits are available only when every call has ended.
    let _ = permits.acquire_many(MAX_IN_FLIGHT as u32).await;
}

/// Samples the exponentially distributed interarrival time of a Poisson process,
/// limited to 60 s.
fn interarrival_time(rng: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / rate.max(0.001)).min(60.0))
}

async fn generate_requests(harness: Arc<Harness>, queue: Name, rate: f64, permits: Arc<Semaphore>) {
    let seed = harness.options.seed ^ queue.bytes().map(u64::from).sum::<u64>();
    let mut rng = fastrand::Rng::with_seed(seed);
    let next_number = AtomicU64::new(0);
    let until = Instant::now() + harness.options.duration;
    let mut next = Instant::now();
    while next < until {
        next += interarrival_time(&mut rng, rate);
        tokio::time::sleep_until(next).await;
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        let team = harness.sample_team(&mut rng);
        let mean = harness.mean_ms(&queue) as f64;
        let run_ms = (mean * (0.5 + rng.f64())) as u64;
        let (harness, queue) = (harness.clone(), queue.clone());
        tokio::spawn(async move {
            send_request(&harness, &queue, team, number, run_ms).await;
            drop(permit);
        });
    }
}

async fn send_request(harness: &Harness, queue: &Name, team: Name, number: u64, run_ms: u64) {
    let queue_config = &harness.deployment.config.queues[queue];
    let non_idempotent = !queue_config.idempotent;
    let id = Name::from(format!("{queue}-{number}"));
    let body = Bytes::from(format!("{id} {} {run_ms}", u8::from(non_idempotent)));
    let key = lock(&harness.keys).get(&team).cloned().unwrap_or_default();
    let bearer = format!("Bearer {key}");
    let deadline = REQUEST_DEADLINE.as_millis().to_string();
    let mut headers = vec![("x-deadline-ms", deadline.as_str())];
    if queue_config.open_team.is_none() {
        headers.push(("authorization", bearer.as_str()));
    }
    if non_idempotent {
        headers.push(("idempotency-key", id.as_str()));
    }
    let path = format!("/v1/queues/{queue}/requests");
    let sent = Instant::now();
    let (response, may_have_run) = harness
        .send_with_retries(Method::POST, &path, &body, &headers, REQUEST_DEADLINE)
        .await;
    let outcome = match &response {
        None if may_have_run => ClientOutcome::Unknown,
        None => ClientOutcome::Lost,
        Some(response) => {
            let header = response.headers().get("x-outcome").map(|v| v.as_bytes());
            match header {
                Some(b"done")
                    if response.body()[..] == crate::executor::echo_response(&body)[..] =>
                {
                    ClientOutcome::Answered
                }
                Some(b"done") => ClientOutcome::WrongAnswer,
                Some(b"not_run") if !may_have_run => ClientOutcome::Refused,
                _ => ClientOutcome::Unknown,
            }
        }
    };
    harness.record_request(RequestRecord {
        id,
        team,
        outcome,
        took_ms: sent.elapsed().as_millis() as u64,
        run_ms,
    });
}

async fn generate_jobs(
    harness: Arc<Harness>,
    stream: JobStream,
    rate: f64,
    seed: u64,
    permits: Arc<Semaphore>,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let until = Instant::now() + harness.options.duration;
    let mut next = Instant::now();
    let mut number = 0_u64;
    while next < until {
        next += interarrival_time(&mut rng, rate);
        tokio::time::sleep_until(next).await;
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        number += 1;
        let team = harness.sample_team(&mut rng);
        let spec = sample_spec(&mut rng, &stream);
        let id = format!("{}-{seed}-{number}", stream.queue);
        let (harness, queue) = (harness.clone(), stream.queue.clone());
        tokio::spawn(async move {
            submit_job(&harness, &queue, team, &id, &spec).await;
            drop(permit);
        });
    }
}

/// Samples a job whose declared run time is 0.1 to 10 times its true run time.
fn sample_spec(rng: &mut fastrand::Rng, stream: &JobStream) -> Spec {
    let true_ms = (stream.mean_ms as f64 * (0.5 + rng.f64())) as u64;
    let error_factor = 10_f64.powf(rng.f64() * 2.0 - 1.0);
    Spec {
        tasks: rng.u32(stream.min_tasks..=stream.max_tasks),
        each: stream.each,
        run_ms: (true_ms as f64 * error_factor) as u64,
        urgent: stream.urgent,
        payload: Name::from(format!("run:{true_ms}")),
    }
}

async fn submit_job(harness: &Harness, queue: &Name, team: Name, id: &str, spec: &Spec) {
    let key = lock(&harness.keys).get(&team).cloned().unwrap_or_default();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", id)];
    let body = Bytes::from(serde_json::to_vec(spec).unwrap_or_default());
    let path = format!("/v1/queues/{queue}/jobs");
    let sent_ms = harness.world.now_ms();
    let limit = Duration::from_secs(6);
    let (response, _) = harness
        .send_with_retries(Method::POST, &path, &body, &headers, limit)
        .await;
    let accepted = response.filter(|r| r.status().as_u16() == 202);
    let accepted = accepted.and_then(|r| {
        let value: serde_json::Value = serde_json::from_slice(r.body()).ok()?;
        value["job"].as_str().map(Name::from)
    });
    match accepted {
        None => *lock(&harness.jobs_refused) += 1,
        Some(id) => lock(&harness.jobs).push(AcceptedJob {
            id,
            team,
            tasks: spec.tasks,
            urgent: spec.urgent,
            sent_ms,
            cancelled: false,
        }),
    }
}

impl Harness {
    /// Rate of requests, per second, that saturates the service of a queue.
    fn request_rate(&self, queue: &Name) -> f64 {
        let service = self.deployment.config.queues[queue].service.as_ref();
        let pools = self.deployment.pools.iter();
        let own = pools.filter(|p| Some(&p.service) == service);
        own.map(|p| f64::from(p.workers * p.slots) * 1_000.0 / p.mean_ms as f64)
            .sum()
    }

    fn mean_ms(&self, queue: &Name) -> u64 {
        let service = self.deployment.config.queues[queue].service.as_ref();
        let mut pools = self.deployment.pools.iter();
        pools
            .find(|p| Some(&p.service) == service)
            .map_or(1, |p| p.mean_ms)
    }

    /// Rate of jobs, per second, at which a stream uses its fraction of the
    /// processors of all workers.
    fn job_rate(&self, stream: &JobStream) -> f64 {
        let total = self
            .deployment
            .workers()
            .iter()
            .fold(Resources::ZERO, |sum, (vm, _)| sum.plus(vm.capacity));
        let tasks = f64::from(stream.min_tasks + stream.max_tasks) / 2.0;
        let work = f64::from(stream.each.millicpus) * stream.mean_ms as f64 / 1_000.0;
        f64::from(total.millicpus) * stream.part / (tasks * work)
    }

    fn sample_team(&self, rng: &mut fastrand::Rng) -> Name {
        let mut point = rng.f64();
        for (team, part) in &self.deployment.demand {
            point -= part;
            if point <= 0.0 {
                return team.clone();
            }
        }
        let last = self.deployment.demand.keys().next_back();
        last.cloned().unwrap_or_default()
    }
}
