//! Simulated workers, executors and platform services of one cell, served over
//! HTTP.
//!
//! Invariant: starts and ends of tasks are recorded in the ledger under the lock
//! of their worker, so the ledger has them in the order in which they occurred.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use compact_str::format_compact;
use control::TableCall;
use model::{AttemptOutcome, Name, Vm, VmLifecycle, VmList};
use node::{CommitRequest, ListVmsRequest, ReadRequest, ReadResponse};
use tokio::time::Instant;

use crate::deployment::{Deployment, WorkerPool};
use crate::executor::{Executor, echo_response};
use crate::http::{self, FaultInjection, HttpRequest, HttpResponse};
use crate::ledger::Ledger;
use crate::table::Table;
use crate::worker::{TaskEvent, Worker};

/// Interval at which workers end tasks that are due, and at which a
/// delayed response is re-evaluated.
const WORKER_TICK: Duration = Duration::from_millis(10);

/// Locks a mutex and ignores poisoning, so that a panic in one task does not
/// prevent the verdict.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A worker VM with its worker and executor, and the faults injected into the
/// HTTP server of each.
pub(crate) struct WorkerVm {
    pub(crate) worker: Mutex<Worker>,
    pub(crate) executor: Mutex<Executor>,
    pub(crate) worker_http_faults: Arc<FaultInjection>,
    pub(crate) executor_http_faults: Arc<FaultInjection>,
    pub(crate) dead: AtomicBool,
}

/// Endpoint of the table service and the VM list. Each daemon has its own, so
/// that faults can affect the daemons separately.
pub(crate) struct PlatformEndpoint {
    pub(crate) http_faults: Arc<FaultInjection>,
}

/// All simulated components of a cell.
pub(crate) struct World {
    pub(crate) started: Instant,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) table: Mutex<Table>,
    pub(crate) vms: Mutex<VmList>,
    pub(crate) worker_vms: Vec<Arc<WorkerVm>>,
    pub(crate) platform_endpoints: Mutex<Vec<PlatformEndpoint>>,
}

impl World {
    /// Creates the workers and executors of a deployment.
    pub(crate) async fn start(deployment: &Deployment, started: Instant) -> eyre::Result<Self> {
        let mut world = Self {
            started,
            ledger: Mutex::default(),
            table: Mutex::default(),
            vms: Mutex::default(),
            worker_vms: Vec::new(),
            platform_endpoints: Mutex::default(),
        };
        for (team, entry) in &deployment.config.teams {
            lock(&world.ledger).set_limit(team, entry.limit);
        }
        for (vm, pool) in deployment.workers() {
            lock(&world.ledger).add_vm(&vm.name, vm.capacity);
            world.worker_vms.push(Arc::new(new_worker_vm(&vm, &pool)));
            lock(&world.vms).vms.push(vm);
        }
        Ok(world)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Serves the workers and executors, and enters their addresses in the VM
    /// list.
    pub(crate) async fn serve_worker_vms(self: &Arc<Self>) -> eyre::Result<()> {
        for (index, worker_vm) in self.worker_vms.iter().enumerate() {
            let (world, vm_handle) = (self.clone(), worker_vm.clone());
            let handler = move |request: HttpRequest| {
                let (world, worker_vm) = (world.clone(), vm_handle.clone());
                async move { serve_worker(&world, &worker_vm, &request).await }
            };
            let http_faults = worker_vm.worker_http_faults.clone();
            let worker = http::serve(self.started, http_faults, handler).await?;
            let (world, vm_handle) = (self.clone(), worker_vm.clone());
            let handler = move |request: HttpRequest| {
                let (world, worker_vm) = (world.clone(), vm_handle.clone());
                async move { serve_executor(world, worker_vm, request).await }
            };
            let http_faults = worker_vm.executor_http_faults.clone();
            let executor = http::serve(self.started, http_faults, handler).await?;
            let mut vms = lock(&self.vms);
            vms.version = 1;
            vms.vms[index].address = format_compact!("{worker}");
            if let Some(entry) = &mut vms.vms[index].executor {
                entry.address = format_compact!("{executor}");
            }
        }
        let world = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(WORKER_TICK).await;
                world.advance_workers();
            }
        });
        Ok(())
    }

    fn advance_workers(&self) {
        let now_ms = self.now_ms();
        for worker_vm in &self.worker_vms {
            let mut worker = lock(&worker_vm.worker);
            worker.advance_to(now_ms);
            self.record_events(&mut worker, now_ms);
        }
    }

    /// Records the pending events of a worker in the ledger.
    pub(crate) fn record_events(&self, worker: &mut Worker, now_ms: u64) {
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

    /// Starts a platform endpoint for one daemon and returns its address.
    pub(crate) async fn add_platform_endpoint(self: &Arc<Self>) -> eyre::Result<SocketAddr> {
        let http_faults = Arc::new(FaultInjection::default());
        let world = self.clone();
        let handler = move |request: HttpRequest| {
            let world = world.clone();
            async move { serve_platform(&world, &request) }
        };
        let address = http::serve(self.started, http_faults.clone(), handler).await?;
        lock(&self.platform_endpoints).push(PlatformEndpoint { http_faults });
        Ok(address)
    }

    /// Marks a worker VM as leaving in the VM list and in the reports of its
    /// worker, and records the announcement in the ledger.
    pub(crate) fn announce_leaving(&self, index: usize) {
        let mut vms = lock(&self.vms);
        vms.version += 1;
        vms.vms[index].life = VmLifecycle::Leaving;
        lock(&self.worker_vms[index].worker).announce_leaving();
        lock(&self.ledger).record_leaving(&vms.vms[index].name, self.now_ms());
    }

    fn vm_listing(&self, known: u64) -> VmList {
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

    /// Stops a worker VM together with its worker and executor.
    pub(crate) fn kill_worker_vm(&self, index: usize) {
        let worker_vm = &self.worker_vms[index];
        worker_vm.dead.store(true, Ordering::Relaxed);
        worker_vm
            .worker_http_faults
            .partitioned
            .store(true, Ordering::Relaxed);
        worker_vm
            .executor_http_faults
            .partitioned
            .store(true, Ordering::Relaxed);
        let now_ms = self.now_ms();
        let mut worker = lock(&worker_vm.worker);
        worker.kill();
        self.record_events(&mut worker, now_ms);
    }

    /// Restarts a killed worker VM, without tasks.
    pub(crate) fn restart_worker_vm(&self, index: usize) {
        let worker_vm = &self.worker_vms[index];
        worker_vm.dead.store(false, Ordering::Relaxed);
        worker_vm
            .worker_http_faults
            .partitioned
            .store(false, Ordering::Relaxed);
        worker_vm
            .executor_http_faults
            .partitioned
            .store(false, Ordering::Relaxed);
    }
}

fn new_worker_vm(vm: &Vm, pool: &WorkerPool) -> WorkerVm {
    WorkerVm {
        worker: Mutex::new(Worker::new(&vm.name)),
        executor: Mutex::new(Executor::new(&vm.name, pool.slots)),
        worker_http_faults: Arc::default(),
        executor_http_faults: Arc::default(),
        dead: AtomicBool::new(false),
    }
}

async fn serve_worker(world: &World, worker_vm: &WorkerVm, request: &HttpRequest) -> HttpResponse {
    let Ok(worker_call) = serde_json::from_slice::<model::WorkerCall>(&request.body) else {
        return http::status_response(400);
    };
    let received_ms = world.now_ms();
    let mut report = {
        let mut worker = lock(&worker_vm.worker);
        let report = worker.handle_call(&worker_call, received_ms);
        world.record_events(&mut worker, received_ms);
        report
    };
    let until_ms = received_ms + worker_call.wait_ms;
    while report.accepted && report.unchanged && world.now_ms() < until_ms {
        tokio::time::sleep(WORKER_TICK).await;
        let worker = lock(&worker_vm.worker);
        if !worker.may_delay_response(&worker_call) {
            report = worker.report(true, worker_call.known, world.now_ms());
            break;
        }
    }
    http::json_response(&report)
}

/// Serves a request to an executor. The request body is
/// `ID NON_IDEMPOTENT MS`: the id of the request, `1` if it must run at most once,
/// and its run time in ms.
async fn serve_executor(
    world: Arc<World>,
    worker_vm: Arc<WorkerVm>,
    request: HttpRequest,
) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers.get(name).and_then(|v| v.to_str().ok());
        Name::from(value.unwrap_or_default())
    };
    let (run_id, team) = (header("x-run-id"), header("x-team"));
    let text = String::from_utf8_lossy(&request.body).into_owned();
    let mut parts = text.split(' ');
    let request_id = Name::from(parts.next().unwrap_or_default());
    let non_idempotent = parts.next() == Some("1");
    let run_ms = parts.next().and_then(|p| p.parse().ok()).unwrap_or(1);
    let admitted = lock(&worker_vm.executor).try_acquire_slot();
    let mut response = match admitted {
        false => {
            let mut response = http::status_response(503);
            let value = hyper::header::HeaderValue::from_static("1");
            response.headers_mut().insert("x-not-run", value);
            response
        }
        true => {
            let name = lock(&worker_vm.executor).name.clone();
            lock(&world.ledger).run_started(
                &name,
                &team,
                &request_id,
                non_idempotent,
                world.now_ms(),
            );
            // The run is a task of its own, so that it continues if the connection
            // is dropped.
            let completion = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(run_ms)).await;
                lock(&worker_vm.executor).release_slot();
                lock(&world.ledger).run_ended(&team);
            });
            // Joining fails only if the runtime shuts down or the task panicked.
            let _ = completion.await;
            let mut response = http::status_response(200);
            *response.body_mut() = http_body_util::Full::new(echo_response(&request.body));
            response
        }
    };
    if let Ok(run_id) = run_id.parse() {
        response.headers_mut().insert("x-run-id", run_id);
    }
    response
}

fn serve_platform(world: &World, request: &HttpRequest) -> HttpResponse {
    let body = &request.body;
    let table_call = match request.path.as_str() {
        "/v1/vms" => {
            let Ok(list_request) = serde_json::from_slice::<ListVmsRequest>(body) else {
                return http::status_response(400);
            };
            return http::json_response(&world.vm_listing(list_request.known));
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
    let Ok(table_call) = table_call else {
        return http::status_response(400);
    };
    match lock(&world.table).serve(&table_call) {
        control::TableResponse::Read { rows, scans } => {
            http::json_response(&ReadResponse { rows, scans })
        }
        control::TableResponse::Committed(results) => http::json_response(&results),
    }
}
