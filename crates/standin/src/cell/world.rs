//! The stand-ins of one cell behind HTTP.
//!
//! Invariant: everything that starts or ends is written to the ledger under
//! the lock of the stand-in that saw it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use compact_str::format_compact;
use control::TableCall;
use model::{AttemptOutcome, Name, Vm, VmLifecycle, VmList};
use node::{CommitRequest, ListVmsRequest, ReadRequest, ReadResponse};
use tokio::time::Instant;

use crate::deployment::{Deployment, Pool};
use crate::executor::{Executor, echo_response};
use crate::http::{self, FaultInjection, HttpRequest, HttpResponse};
use crate::ledger::Ledger;
use crate::table::Table;
use crate::worker::{TaskEvent, Worker};

/// Period at which workers end due tasks.
const WORKER_TICK: Duration = Duration::from_millis(10);

/// Locks a mutex; a panic elsewhere does not stop the verdict.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One worker VM.
pub(crate) struct Host {
    pub(crate) worker: Mutex<Worker>,
    pub(crate) executor: Mutex<Executor>,
    pub(crate) worker_switches: Arc<FaultInjection>,
    pub(crate) executor_switches: Arc<FaultInjection>,
    pub(crate) dead: AtomicBool,
}

/// The table service and VM list as one daemon reaches them.
pub(crate) struct Door {
    pub(crate) switches: Arc<FaultInjection>,
}

/// All stand-ins.
pub(crate) struct World {
    pub(crate) started: Instant,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) table: Mutex<Table>,
    pub(crate) vms: Mutex<VmList>,
    pub(crate) hosts: Vec<Arc<Host>>,
    pub(crate) doors: Mutex<Vec<Door>>,
}

impl World {
    /// Starts workers and executors.
    pub(crate) async fn start(deployment: &Deployment, started: Instant) -> eyre::Result<Self> {
        let mut world = Self {
            started,
            ledger: Mutex::default(),
            table: Mutex::default(),
            vms: Mutex::default(),
            hosts: Vec::new(),
            doors: Mutex::default(),
        };
        for (team, entry) in &deployment.config.teams {
            lock(&world.ledger).set_limit(team, entry.limit);
        }
        for (vm, pool) in deployment.workers() {
            lock(&world.ledger).add_vm(&vm.name, vm.capacity);
            world.hosts.push(Arc::new(host(&vm, &pool)));
            lock(&world.vms).vms.push(vm);
        }
        Ok(world)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Serves workers and executors, and fills in their addresses.
    pub(crate) async fn serve_hosts(self: &Arc<Self>) -> eyre::Result<()> {
        for (at, host) in self.hosts.iter().enumerate() {
            let (world, host_) = (self.clone(), host.clone());
            let handler = move |call: HttpRequest| {
                let (world, host) = (world.clone(), host_.clone());
                async move { serve_worker(&world, &host, &call).await }
            };
            let switches = host.worker_switches.clone();
            let worker = http::serve(self.started, switches, handler).await?;
            let (world, host_) = (self.clone(), host.clone());
            let handler = move |call: HttpRequest| {
                let (world, host) = (world.clone(), host_.clone());
                async move { serve_executor(world, host, call).await }
            };
            let switches = host.executor_switches.clone();
            let executor = http::serve(self.started, switches, handler).await?;
            let mut vms = lock(&self.vms);
            vms.version = 1;
            vms.vms[at].address = format_compact!("{worker}");
            if let Some(entry) = &mut vms.vms[at].executor {
                entry.address = format_compact!("{executor}");
            }
        }
        let world = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(WORKER_TICK).await;
                world.advance();
            }
        });
        Ok(())
    }

    fn advance(&self) {
        let now_ms = self.now_ms();
        for host in &self.hosts {
            let mut worker = lock(&host.worker);
            worker.advance_to(now_ms);
            self.record(&mut worker, now_ms);
        }
    }

    /// Writes a worker's happenings to the ledger.
    pub(crate) fn record(&self, worker: &mut Worker, now_ms: u64) {
        if worker.task_events.is_empty() {
            return;
        }
        let mut ledger = lock(&self.ledger);
        for event in std::mem::take(&mut worker.task_events) {
            match event {
                TaskEvent::Started(s) => {
                    ledger.task_started(&worker.name, &s.job, s.task, &s.team, s.each, now_ms);
                }
                TaskEvent::Ended(s, ended) => {
                    let done = ended == AttemptOutcome::Completed;
                    ledger.task_ended(&worker.name, &s.job, s.task, &s.team, s.each, done);
                }
            }
        }
    }

    /// Opens a door to the platform for one daemon.
    pub(crate) async fn open_door(self: &Arc<Self>) -> eyre::Result<SocketAddr> {
        let switches = Arc::new(FaultInjection::default());
        let world = self.clone();
        let handler = move |call: HttpRequest| {
            let world = world.clone();
            async move { serve_platform(&world, &call) }
        };
        let address = http::serve(self.started, switches.clone(), handler).await?;
        lock(&self.doors).push(Door { switches });
        Ok(address)
    }

    /// Announces that a VM leaves.
    pub(crate) fn announce_leaving(&self, at: usize) {
        let mut vms = lock(&self.vms);
        vms.version += 1;
        vms.vms[at].life = VmLifecycle::Leaving;
        lock(&self.hosts[at].worker).announce_leaving();
        lock(&self.ledger).record_leaving(&vms.vms[at].name, self.now_ms());
    }

    fn listing(&self, known: u64) -> VmList {
        let listing = lock(&self.vms);
        let vms = match listing.version == known {
            true => Vec::new(),
            false => listing.vms.clone(),
        };
        VmList {
            version: listing.version,
            vms,
        }
    }

    /// Stops a worker VM with everything on it.
    pub(crate) fn kill_host(&self, at: usize) {
        let host = &self.hosts[at];
        host.dead.store(true, Ordering::Relaxed);
        host.worker_switches
            .partitioned
            .store(true, Ordering::Relaxed);
        host.executor_switches
            .partitioned
            .store(true, Ordering::Relaxed);
        let now_ms = self.now_ms();
        let mut worker = lock(&host.worker);
        worker.kill();
        self.record(&mut worker, now_ms);
    }

    /// Brings a killed worker VM back, empty.
    pub(crate) fn revive_host(&self, at: usize) {
        let host = &self.hosts[at];
        host.dead.store(false, Ordering::Relaxed);
        host.worker_switches
            .partitioned
            .store(false, Ordering::Relaxed);
        host.executor_switches
            .partitioned
            .store(false, Ordering::Relaxed);
    }
}

fn host(vm: &Vm, pool: &Pool) -> Host {
    Host {
        worker: Mutex::new(Worker::new(&vm.name)),
        executor: Mutex::new(Executor::new(&vm.name, pool.slots)),
        worker_switches: Arc::default(),
        executor_switches: Arc::default(),
        dead: AtomicBool::new(false),
    }
}

async fn serve_worker(world: &World, host: &Host, call: &HttpRequest) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<model::WorkerCall>(&call.body) else {
        return http::status_response(400);
    };
    let received_ms = world.now_ms();
    let mut report = {
        let mut worker = lock(&host.worker);
        let report = worker.handle_call(&order, received_ms);
        world.record(&mut worker, received_ms);
        report
    };
    let until_ms = received_ms + order.wait_ms;
    while report.accepted && report.unchanged && world.now_ms() < until_ms {
        tokio::time::sleep(WORKER_TICK).await;
        let worker = lock(&host.worker);
        if !worker.may_delay_response(&order) {
            report = worker.report(true, order.known, world.now_ms());
            break;
        }
    }
    http::json_response(&report)
}

/// A request body is `KEY ONCE MS`: its id, `1` when it must run once, and
/// the time it runs.
async fn serve_executor(world: Arc<World>, host: Arc<Host>, call: HttpRequest) -> HttpResponse {
    let header = |name: &str| {
        let value = call.headers.get(name).and_then(|v| v.to_str().ok());
        Name::from(value.unwrap_or_default())
    };
    let (run, team) = (header("x-run-id"), header("x-team"));
    let text = String::from_utf8_lossy(&call.body).into_owned();
    let mut parts = text.split(' ');
    let key = Name::from(parts.next().unwrap_or_default());
    let once = parts.next() == Some("1");
    let run_ms = parts.next().and_then(|p| p.parse().ok()).unwrap_or(1);
    let begun = lock(&host.executor).try_acquire_slot();
    let mut answer = match begun {
        false => {
            let mut answer = http::status_response(503);
            let yes = hyper::header::HeaderValue::from_static("1");
            answer.headers_mut().insert("x-not-run", yes);
            answer
        }
        true => {
            let name = lock(&host.executor).name.clone();
            lock(&world.ledger).run_started(&name, &team, &key, once, world.now_ms());
            // The run goes on when the connection is dropped.
            let done = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(run_ms)).await;
                lock(&host.executor).release_slot();
                lock(&world.ledger).run_ended(&team);
            });
            // A join fails only when the process ends.
            let _ = done.await;
            let mut answer = http::status_response(200);
            *answer.body_mut() = http_body_util::Full::new(echo_response(&call.body));
            answer
        }
    };
    if let Ok(run) = run.parse() {
        answer.headers_mut().insert("x-run-id", run);
    }
    answer
}

fn serve_platform(world: &World, call: &HttpRequest) -> HttpResponse {
    let body = &call.body;
    let tables = match call.path.as_str() {
        "/v1/vms" => {
            let Ok(asked) = serde_json::from_slice::<ListVmsRequest>(body) else {
                return http::status_response(400);
            };
            return http::json_response(&world.listing(asked.known));
        }
        "/v1/read" => serde_json::from_slice::<ReadRequest>(body).map(|r| TableCall::Read {
            rows: r.rows,
            scans: r.scans,
        }),
        "/v1/commit" => {
            serde_json::from_slice::<CommitRequest>(body).map(|c| TableCall::Commit(c.transactions))
        }
        _ => return http::status_response(404),
    };
    let Ok(tables) = tables else {
        return http::status_response(400);
    };
    match lock(&world.table).serve(&tables) {
        control::TableResponse::Read { rows, scans } => {
            http::json_response(&ReadResponse { rows, scans })
        }
        control::TableResponse::Committed(results) => http::json_response(&results),
    }
}
