//! Open-loop load: requests and jobs at the deployment's rates.
//!
//! Invariant: arrivals do not wait for answers; their number in flight is
//! bounded.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use model::{Name, Resources, Spec};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::cell::client::{Accepted, Outcome, Seen, Shared};
use crate::cell::world::lock;
use crate::deployment::Stream;

/// Callers' deadline.
const DEADLINE: Duration = Duration::from_secs(5);
/// Most calls in flight.
const MAX_IN_FLIGHT: usize = 2_000;

/// Runs all load until the run's length is over and every call has ended.
pub(crate) async fn run(shared: Arc<Shared>) {
    let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut sources = Vec::new();
    for (queue, part) in &shared.deployment.requests {
        let rate = shared.request_rate(queue) * part * shared.options.load;
        sources.push(tokio::spawn(requests(
            shared.clone(),
            queue.clone(),
            rate,
            slots.clone(),
        )));
    }
    for (at, stream) in shared.deployment.jobs.iter().enumerate() {
        let rate = shared.job_rate(stream) * shared.options.load;
        let seed = shared.options.seed + 100 + at as u64;
        sources.push(tokio::spawn(jobs(
            shared.clone(),
            stream.clone(),
            rate,
            seed,
            slots.clone(),
        )));
    }
    for source in sources {
        // A source ends only by itself.
        let _ = source.await;
    }
    // All permits back means that every call has ended.
    let _ = slots.acquire_many(MAX_IN_FLIGHT as u32).await;
}

/// Exponential gap of a Poisson process.
fn gap(rng: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / rate.max(0.001)).min(60.0))
}

async fn requests(shared: Arc<Shared>, queue: Name, rate: f64, slots: Arc<Semaphore>) {
    let seed = shared.options.seed ^ queue.bytes().map(u64::from).sum::<u64>();
    let mut rng = fastrand::Rng::with_seed(seed);
    let serial = AtomicU64::new(0);
    let until = Instant::now() + shared.options.length;
    let mut next = Instant::now();
    while next < until {
        next += gap(&mut rng, rate);
        tokio::time::sleep_until(next).await;
        let Ok(permit) = slots.clone().acquire_owned().await else {
            return;
        };
        let number = serial.fetch_add(1, Ordering::Relaxed);
        let team = shared.draw_team(&mut rng);
        let mean = shared.mean_ms(&queue) as f64;
        let run_ms = (mean * (0.5 + rng.f64())) as u64;
        let (shared, queue) = (shared.clone(), queue.clone());
        tokio::spawn(async move {
            one_request(&shared, &queue, team, number, run_ms).await;
            drop(permit);
        });
    }
}

async fn one_request(shared: &Shared, queue: &Name, team: Name, number: u64, run_ms: u64) {
    let entry = &shared.deployment.config.queues[queue];
    let once = !entry.idempotent;
    let id = Name::from(format!("{queue}-{number}"));
    let body = Bytes::from(format!("{id} {} {run_ms}", u8::from(once)));
    let key = lock(&shared.keys).get(&team).cloned().unwrap_or_default();
    let bearer = format!("Bearer {key}");
    let deadline = DEADLINE.as_millis().to_string();
    let mut headers = vec![("x-deadline-ms", deadline.as_str())];
    if entry.open_team.is_none() {
        headers.push(("authorization", bearer.as_str()));
    }
    if once {
        headers.push(("idempotency-key", id.as_str()));
    }
    let path = format!("/v1/queues/{queue}/requests");
    let sent = Instant::now();
    let (answer, unsure) = shared
        .call(Method::POST, &path, &body, &headers, DEADLINE)
        .await;
    let seen = match &answer {
        None if unsure => Seen::Unknown,
        None => Seen::Lost,
        Some(answer) => {
            let outcome = answer.headers().get("x-outcome").map(|v| v.as_bytes());
            match outcome {
                Some(b"done") if answer.body()[..] == crate::executor::echo_response(&body)[..] => {
                    Seen::Answered
                }
                Some(b"done") => Seen::WrongAnswer,
                Some(b"not_run") if !unsure => Seen::Refused,
                _ => Seen::Unknown,
            }
        }
    };
    shared.finish(Outcome {
        id,
        team,
        seen,
        took_ms: sent.elapsed().as_millis() as u64,
        run_ms,
    });
}

async fn jobs(shared: Arc<Shared>, stream: Stream, rate: f64, seed: u64, slots: Arc<Semaphore>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let until = Instant::now() + shared.options.length;
    let mut next = Instant::now();
    let mut number = 0_u64;
    while next < until {
        next += gap(&mut rng, rate);
        tokio::time::sleep_until(next).await;
        let Ok(permit) = slots.clone().acquire_owned().await else {
            return;
        };
        number += 1;
        let team = shared.draw_team(&mut rng);
        let spec = draw_spec(&mut rng, &stream);
        let id = format!("{}-{seed}-{number}", stream.queue);
        let (shared, queue) = (shared.clone(), stream.queue.clone());
        tokio::spawn(async move {
            one_job(&shared, &queue, team, &id, &spec).await;
            drop(permit);
        });
    }
}

/// A job whose declared run time is off by up to ten times either way.
fn draw_spec(rng: &mut fastrand::Rng, stream: &Stream) -> Spec {
    let true_ms = (stream.mean_ms as f64 * (0.5 + rng.f64())) as u64;
    let error = 10_f64.powf(rng.f64() * 2.0 - 1.0);
    Spec {
        tasks: rng.u32(stream.min_tasks..=stream.max_tasks),
        each: stream.each,
        run_ms: (true_ms as f64 * error) as u64,
        urgent: stream.urgent,
        payload: Name::from(format!("run:{true_ms}")),
    }
}

async fn one_job(shared: &Shared, queue: &Name, team: Name, id: &str, spec: &Spec) {
    let key = lock(&shared.keys).get(&team).cloned().unwrap_or_default();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", id)];
    let body = Bytes::from(serde_json::to_vec(spec).unwrap_or_default());
    let path = format!("/v1/queues/{queue}/jobs");
    let sent_ms = shared.world.now_ms();
    let limit = Duration::from_secs(6);
    let (answer, _) = shared
        .call(Method::POST, &path, &body, &headers, limit)
        .await;
    let accepted = answer.filter(|a| a.status().as_u16() == 202);
    let accepted = accepted.and_then(|a| {
        let value: serde_json::Value = serde_json::from_slice(a.body()).ok()?;
        value["job"].as_str().map(Name::from)
    });
    match accepted {
        None => *lock(&shared.jobs_refused) += 1,
        Some(id) => lock(&shared.jobs).push(Accepted {
            id,
            team,
            tasks: spec.tasks,
            urgent: spec.urgent,
            sent_ms,
            cancelled: false,
        }),
    }
}

impl Shared {
    /// Requests a second that saturate the service of a queue.
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

    /// Jobs a second that give a stream its part of all processors.
    fn job_rate(&self, stream: &Stream) -> f64 {
        let total = self
            .deployment
            .workers()
            .iter()
            .fold(Resources::ZERO, |sum, (vm, _)| sum.plus(vm.capacity));
        let tasks = f64::from(stream.min_tasks + stream.max_tasks) / 2.0;
        let work = f64::from(stream.each.millicpus) * stream.mean_ms as f64 / 1_000.0;
        f64::from(total.millicpus) * stream.part / (tasks * work)
    }

    fn draw_team(&self, rng: &mut fastrand::Rng) -> Name {
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
