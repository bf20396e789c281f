//! Event loop of the simulation: entry VMs, their calls, and the responses.
//!
//! Invariant: a response to a call of a killed process is dropped.

pub(crate) mod calling;
pub(crate) mod trouble;
pub(crate) mod working;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use model::{JobId, Name, Resources, Stage, TaskId, Transaction, key};
use sched::{
    AdmissionPolicy, CallId, CallerId, Config, Effect, Event, Listing, Node, Offer, OfferResponse,
    Order, OrderResponse, PartitionId, PolicyDecision, PolicyQuery, Queue, Reply, Service,
    Settings, StoreError, StoreResponse, Team, Time, Timing,
};

use crate::graphs::callers::{ClientJob, ClientJobs};
use crate::graphs::checks::{self, GuaranteeChecker, GuaranteeViolation, MAX_ATTEMPTS};
use crate::graphs::faults::Fault;
use crate::graphs::server::Server;
use crate::graphs::store::{CELL_PARTITION, Store, Waiter};

/// Capacity of a backend server that has not shrunk.
const FULL_CAPACITY: Resources = Resources::of(8_000, 16_384, 0, 0);
/// Number of entry VMs; each is in a data centre of its own.
const VM_COUNT: usize = 3;
/// Time that transactions may wait for their partition before the table service
/// rejects further ones.
const MAX_PARTITION_BACKLOG: Duration = Duration::from_secs(1);
/// One-way network latency between any two participants.
const NETWORK_LATENCY: Duration = Duration::from_millis(1);
/// Time from sending a transaction to its application.
const COMMIT_LATENCY: Duration = Duration::from_millis(6);
/// Latency of a scan after the change history was dropped, when every reader
/// scans its tables again.
const SLOW_SCAN_LATENCY: Duration = Duration::from_millis(500);
/// Period of a VM's timer ticks.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Delay until the registry publishes the drain or restart of a backend server.
const REGISTRY_LAG: Duration = Duration::from_millis(300);
/// Time after which a call without a response counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Period at which clients poll the state of their jobs and retry failed calls.
const CLIENT_POLL_PERIOD: Duration = Duration::from_millis(700);
/// Time after the last fault from which all time bounds apply. It covers the
/// time bound on cancellation and the longest delay of an order.
const FAULT_SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time after a fault of the table service from which the time bounds on starts
/// and on counts of pending jobs apply again.
const STORE_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after a fault from which the cell counts as calm.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Period of the checks that apply while the cell is calm.
const CALM_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time for which the job partitions are silent in a [`Fault::LongRecovery`].
const LONG_SILENCE: Duration = Duration::from_millis(11_500);
/// Time from the beginning of a [`Fault::LongRecovery`] until backend servers are
/// unreachable for the successor.
const SUCCESSOR_CUT_DELAY: Duration = Duration::from_millis(11_200);
/// Period at which clients poll the count of pending jobs of each queue.
const PENDING_POLL_PERIOD: Duration = Duration::from_millis(37);
/// Duration of a fault from which it counts as long. Clients submit jobs until some
/// time after the end of a long fault.
const LONG_FAULT: Duration = Duration::from_secs(8);
const SUBMISSIONS_AFTER_LONG_FAULT: Duration = Duration::from_secs(4);
/// Time after which clients submit no more jobs, unless there is a long fault.
const LAST_SUBMISSION: Duration = Duration::from_secs(14);
/// Time after the last submission for all jobs to end.
const DRAIN_TIME: Duration = Duration::from_secs(26);

/// Size of a simulation and extent of its checks.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Number of backend servers, distributed evenly over the data centres.
    pub servers: usize,
    /// Range of the time between two job submissions, in ms.
    pub job_gap: Range<u64>,
    /// Limit on the processors of a team's running tasks, in millicpus.
    pub team_limit: u32,
    /// Checks the consistency of the owner's state after each event, which is
    /// slow.
    pub verify: bool,
    /// Number of partitions of the rows of jobs.
    pub job_partitions: u32,
    /// Time for which a transaction occupies its partition of the table service;
    /// zero if partitions execute any number at the same time.
    pub partition_time: Duration,
    /// Period with more submissions than usual, if any.
    pub burst: Option<Burst>,
    /// If set, half of the jobs without gangs and long-running tasks permit copies, and
    /// their tasks are slow on some servers. The value is the share of the service that
    /// copies may take.
    pub copy_share: Option<f64>,
}

/// A period in which clients submit more jobs.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Simulated time at which it begins.
    pub begin: Duration,
    /// Simulated time at which it ends.
    pub end: Duration,
    /// Multiple of the usual rate of submissions.
    pub factor: f64,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            servers: 9,
            job_gap: 30..220,
            team_limit: 24_000,
            verify: true,
            job_partitions: 3,
            partition_time: Duration::ZERO,
            burst: None,
            copy_share: None,
        }
    }
}

/// Call by a client.
#[derive(Clone, Debug)]
enum ClientCall {
    Submit(JobId),
    State(JobId),
    Cancel(JobId),
    Pending(&'static str),
}

/// Action scheduled for a point in simulated time. Numbers are, in this order,
/// the index of an entry VM, the number of its process, the call, the index of a
/// backend server, and the epoch of the order. `SubmitJob` holds the number of
/// the job.
#[derive(Debug)]
enum Action {
    Deliver(usize, u64, Box<Event>),
    Tick(usize, u64),
    ApplyTransaction(usize, u64, CallId, PartitionId, Transaction),
    DeliverOrder(usize, u64, CallId, usize, u64, Box<Order>),
    /// Order that a backend server has received and executes with a delay,
    /// unless another incarnation than the one given runs by then: index and
    /// incarnation of the server, epoch and order.
    DeliverLateOrder(usize, u64, u64, Box<Order>),
    AnswerRenewal(usize, u64, CallId, usize, u64),
    SubmitJob(u64),
    SendCall(ClientCall),
    BeginFault(Fault),
    EndFault(Fault),
    PublishServer(usize),
    LapseEntries,
    CrashServer(usize),
    RestartServer(usize),
    /// Index and incarnation of a backend server, and the task that crashes it.
    CrashByTask(usize, u64, TaskId),
    /// Index and incarnation of a backend server that crashed.
    RestartCrashed(usize, u64),
    /// Index of a backend server, and its new capacity.
    Resize(usize, Resources),
    KillOwner,
    ExpireOffer(usize, u64, CallerId),
}

/// A simulated entry VM.
struct Vm {
    node: Node,
    /// Number of the process; increases with each kill, so that events for
    /// earlier processes are dropped.
    process: u64,
    up: bool,
    suspended: bool,
    stopping: bool,
    follows_registry: bool,
    client_calls: HashMap<CallerId, ClientCall>,
    /// Helpers that wait for a response to their offer.
    pending_offers: HashMap<CallerId, usize>,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Report {
    /// Violated guarantees with the time of detection, in order of detection.
    pub violations: Vec<(Duration, GuaranteeViolation)>,
    /// Number of jobs whose submission was acknowledged.
    pub accepted: u32,
    /// Number of jobs that were reported as completed.
    pub completed: u32,
    /// Number of runs started on backend servers.
    pub starts: u64,
    /// Number of those of tasks that were running.
    pub copies: u64,
    /// Longest simulated time during which no running VM was the owner.
    pub max_ownerless: Duration,
    /// Total wall-clock time that the owner took to process events.
    pub owner_step_time: Duration,
    /// Longest wall-clock time that the owner took to process one event.
    pub longest_owner_step: Duration,
    /// Time of submission of each accepted job, with the time from then until its
    /// first task started, or until the end of the simulation.
    pub start_delays: Vec<(Duration, Duration)>,
    /// Times from the submission to the end of the last task of the completed jobs whose
    /// steps permit copies.
    pub speculative_job_times: Vec<Duration>,
}

/// A simulation of entry VMs, a table service, backend servers and clients.
pub struct Simulation {
    now: Duration,
    rng: fastrand::Rng,
    seq: u64,
    actions: BTreeMap<u64, Action>,
    action_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    vms: Vec<Vm>,
    store: Store,
    servers: Vec<Server>,
    jobs: ClientJobs,
    checker: GuaranteeChecker,
    faults: Vec<Fault>,
    /// VM that was the owner when the last fault that affects the owner began.
    faulted_vm: usize,
    /// VM that was the owner when the last [`Fault::LongRecovery`] began, and when
    /// that was.
    replaced_vm: usize,
    long_recovery_at: Duration,
    /// When the backend servers that crash by [`Fault::OutlivingOrders`] crash and
    /// restart.
    outlived_crash: Range<Duration>,
    next_caller: CallerId,
    report: Report,
    /// Last time at which a VM was the owner.
    last_owned_at: Duration,
    /// Time from which all VMs count as able to reach the table service.
    store_settled_at: Duration,
    /// Time from which all time bounds apply; no fault has been active for a
    /// while.
    faults_settled_at: Duration,
    /// Time from which the cell counts as calm, if no fault begins meanwhile.
    calm_at: Duration,
    /// Time from which the cell counts as calm but for planned work.
    undisturbed_at: Duration,
    next_calm_check_at: Duration,
    /// True while a delayed order is being executed.
    executing_late_order: bool,
    /// Until when transactions occupy a partition of the table service.
    partition_busy_until: HashMap<PartitionId, Duration>,
    /// Time after which clients submit no more jobs.
    last_submission: Duration,
    trace: bool,
    options: SimulationOptions,
}

fn settings(vm: usize, process: u64, options: &SimulationOptions) -> Settings {
    Settings {
        name: format_compact!("vm-{vm}"),
        process,
        address: format_compact!("{vm}"),
        // The first VM has less CPU, so that it hands ownership over to others.
        cpu_share: if vm == 0 { 0.1 } else { 0.25 },
        remote_factor: 2.0,
        max_copy_share: options.copy_share.unwrap_or(0.0),
        job_partitions: options.job_partitions,
        timing: Timing::default(),
    }
}

fn config(team_limit: u32) -> Config {
    let queue = |name: &str, admission| Queue {
        name: name.into(),
        host: "host".into(),
        path_prefix: format_compact!("/{name}/"),
        service: "service".into(),
        allow_anonymous: false,
        priority: 1,
        max_attempts: MAX_ATTEMPTS,
        slack_factor: 2.0,
        latency_target: Duration::from_millis(500),
        admission,
    };
    let team = |name: &str| Team {
        name: name.into(),
        key_hashes: vec![key::hash(name)],
        weight: 1,
        limit: Resources::of(team_limit, 0, 0, 0),
    };
    let admission = AdmissionPolicy {
        base_latency: Duration::from_millis(40),
        latency_per_server: Duration::from_millis(1),
        ticket_validity: Duration::from_millis(2_000),
    };
    Config::new(
        1,
        vec![queue("plain", None), queue("gangs", Some(admission))],
        vec![Service {
            name: "service".into(),
            standby: false,
        }],
        vec![team("red"), team("blue"), team("green")],
    )
}

impl Simulation {
    /// Creates a simulation in which each of `faults` begins at a random time
    /// between 4 s and 11 s.
    #[must_use]
    pub fn new(seed: u64, faults: &[Fault]) -> Self {
        Self::with_options(seed, faults, SimulationOptions::default())
    }

    /// Creates a simulation like [`Simulation::new`], with other options.
    #[must_use]
    pub fn with_options(seed: u64, faults: &[Fault], options: SimulationOptions) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let servers = (0..options.servers).map(|n| {
            let capacity = FULL_CAPACITY;
            let clock_rate = 0.98 + 0.04 * rng.f64();
            Server::new(format_compact!("s{n}"), n % VM_COUNT, capacity, clock_rate)
        });
        let servers = servers.collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            seq: 0,
            actions: BTreeMap::new(),
            action_queue: BinaryHeap::new(),
            vms: Vec::new(),
            store: Store::default(),
            servers,
            jobs: ClientJobs::new(),
            checker: GuaranteeChecker::new(options.team_limit),
            faults: Vec::new(),
            faulted_vm: 0,
            replaced_vm: 0,
            long_recovery_at: Duration::ZERO,
            outlived_crash: Duration::ZERO..Duration::ZERO,
            next_caller: 0,
            report: Report::default(),
            last_owned_at: Duration::ZERO,
            store_settled_at: Duration::ZERO,
            faults_settled_at: Duration::ZERO,
            calm_at: Duration::ZERO,
            undisturbed_at: Duration::ZERO,
            next_calm_check_at: Duration::ZERO,
            executing_late_order: false,
            partition_busy_until: HashMap::new(),
            last_submission: LAST_SUBMISSION,
            trace: false,
            rng,
            options,
        };
        for vm in 0..VM_COUNT {
            let vm = simulation.boot_vm(vm, 1);
            simulation.vms.push(vm);
        }
        for vm in 0..VM_COUNT {
            simulation.start_process(vm);
        }
        for queue in ["plain", "gangs"] {
            simulation.schedule_at(
                Duration::from_secs(1),
                Action::SendCall(ClientCall::Pending(queue)),
            );
        }
        let mut n = 0;
        let at = simulation.schedule_submissions(&mut n, Duration::from_secs(1));
        for fault in faults {
            let begin = Duration::from_millis(simulation.rng.u64(4_000..11_000));
            let end = begin + fault.duration();
            simulation.schedule_at(begin, Action::BeginFault(*fault));
            simulation.schedule_at(end, Action::EndFault(*fault));
            if fault.duration() >= LONG_FAULT {
                let last = end + SUBMISSIONS_AFTER_LONG_FAULT;
                simulation.last_submission = simulation.last_submission.max(last);
            }
        }
        simulation.schedule_submissions(&mut n, at);
        simulation
    }

    /// Schedules submissions from `at` to the last one, counting them in `n`.
    /// Returns the time of the next one after these.
    fn schedule_submissions(&mut self, n: &mut u64, mut at: Duration) -> Duration {
        while at < self.last_submission {
            self.schedule_at(at, Action::SubmitJob(*n));
            let gap = self.rng.u64(self.options.job_gap.clone());
            let burst = self.options.burst;
            let burst = burst.filter(|burst| (burst.begin..burst.end).contains(&at));
            let factor = burst.map_or(1.0, |burst| burst.factor);
            at += Duration::from_millis(gap).div_f64(factor);
            *n += 1;
        }
        at
    }

    /// Enables a trace of events on stdout.
    #[must_use]
    pub fn with_trace(mut self) -> Self {
        self.trace = true;
        self
    }

    fn boot_vm(&mut self, vm: usize, process: u64) -> Vm {
        let id = self.rng.u64(1..);
        let time = Time {
            now: self.now,
            unix: self.now,
        };
        Vm {
            node: Node::new(settings(vm, id, &self.options), self.rng.u64(..), time),
            process,
            up: true,
            suspended: false,
            stopping: false,
            follows_registry: false,
            client_calls: HashMap::new(),
            pending_offers: HashMap::new(),
        }
    }

    fn start_process(&mut self, vm: usize) {
        let process = self.vms[vm].process;
        let event = Event::Config {
            config: Box::new(config(self.options.team_limit)),
            requested_at: self.now,
        };
        self.schedule_at(
            self.now + NETWORK_LATENCY,
            Action::Deliver(vm, process, Box::new(event)),
        );
        self.schedule_at(self.now + NETWORK_LATENCY, Action::Tick(vm, process));
    }

    fn schedule_at(&mut self, time: Duration, action: Action) {
        self.seq += 1;
        self.actions.insert(self.seq, action);
        self.action_queue.push(Reverse((time, self.seq)));
    }

    /// Runs the simulation to its end and returns the result.
    #[must_use]
    pub fn run(mut self) -> Report {
        let end = self.last_submission + DRAIN_TIME;
        while let Some(Reverse((time, seq))) = self.action_queue.pop() {
            if time > end {
                break;
            }
            self.now = self.now.max(time);
            self.store.clock = self.now;
            if let Some(action) = self.actions.remove(&seq) {
                self.execute_action(action);
                self.track_ownership();
            }
        }
        for violation in self.checker.check_final_stages(&self.jobs, &self.servers) {
            self.report.violations.push((self.now, violation));
        }
        let accepted = self.jobs.values().filter(|job| job.accepted_at.is_some());
        self.report.accepted = accepted.count() as u32;
        let completed = |job: &&ClientJob| job.reported_stage == Some(Stage::Completed);
        self.report.completed = self.jobs.values().filter(completed).count() as u32;
        self.report.starts = self.checker.starts;
        self.report.copies = self.checker.copies;
        let jobs = self.jobs.values();
        let accepted = jobs.filter(|job| job.accepted_at.is_some());
        let delay = |job: &ClientJob| {
            let started_at = self.checker.started_jobs.get(&job.id).copied();
            let delay = started_at.unwrap_or(end).saturating_sub(job.submitted_at);
            (job.submitted_at, delay)
        };
        let ended = self.checker.completed_jobs.iter();
        let times = ended.filter_map(|(id, at)| {
            let job = self.jobs.get(id).filter(|job| job.permits_copies())?;
            Some(at.saturating_sub(job.submitted_at))
        });
        self.report.speculative_job_times = times.collect();
        self.report.start_delays = accepted.map(delay).collect();
        self.report
    }

    fn track_ownership(&mut self) {
        if self.vms.iter().any(|vm| vm.up && vm.node.is_owner()) {
            self.last_owned_at = self.now;
        }
        let gap = self.now.saturating_sub(self.last_owned_at);
        self.report.max_ownerless = self.report.max_ownerless.max(gap);
    }

    fn is_fault_active(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Returns whether two data centres can reach each other.
    fn data_centres_connected(&self, a: usize, b: usize) -> bool {
        let cut = self.is_fault_active(Fault::CutDataCentre);
        a == b || !cut || (a != self.faulted_vm && b != self.faulted_vm)
    }

    fn reaches_store(&self, vm: usize) -> bool {
        let shut_out = self.is_fault_active(Fault::StoreShutsOwnerOut) && vm == self.faulted_vm;
        let cut = self.is_fault_active(Fault::CutDataCentre) && vm == self.faulted_vm;
        let replaced = self.is_fault_active(Fault::LongRecovery) && vm == self.replaced_vm;
        !shut_out
            && !cut
            && !replaced
            && !self.is_fault_active(Fault::StoreDown)
            && !self.is_fault_active(Fault::VanishedServer)
    }

    /// Returns whether calls for a partition of the table service get no response.
    fn is_silent(&self, partition: PartitionId) -> bool {
        let long_recovery = self.is_fault_active(Fault::LongRecovery)
            && self.now < self.long_recovery_at + LONG_SILENCE;
        let silent = long_recovery || self.is_fault_active(Fault::SilentPartitions);
        silent && partition != CELL_PARTITION
    }

    /// Returns whether a backend server is cut off from a VM alone.
    fn is_cut_from_successor(&self, vm: usize, server: usize) -> bool {
        self.is_fault_active(Fault::LongRecovery)
            && self.now >= self.long_recovery_at + SUCCESSOR_CUT_DELAY
            && vm != self.replaced_vm
            && server.is_multiple_of(3)
    }

    fn reaches_server(&self, vm: usize, server: usize) -> bool {
        let third_cut =
            self.is_fault_active(Fault::CutServers) || self.is_fault_active(Fault::LapsedEntries);
        let cut = third_cut && server.is_multiple_of(3) || self.is_cut_from_successor(vm, server);
        !cut && self.data_centres_connected(vm, self.servers[server].data_centre)
            && self.servers[server].up
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Deliver(vm, process, event) => self.deliver(vm, process, *event),
            Action::Tick(vm, process) => self.tick(vm, process),
            Action::ApplyTransaction(vm, process, call, partition, transaction) => {
                let result = self.store.commit(partition, &transaction);
                self.wake_waiters();
                self.deliver_store_response(vm, process, call, result);
            }
            Action::DeliverOrder(vm, process, call, server, epoch, order) => {
                self.execute_order(vm, process, call, server, epoch, &order);
            }
            Action::DeliverLateOrder(server, incarnation, epoch, order) => {
                if self.servers[server].incarnation == incarnation {
                    self.executing_late_order = true;
                    self.execute_order(0, u64::MAX, 0, server, epoch, &order);
                    self.executing_late_order = false;
                }
            }
            Action::AnswerRenewal(vm, process, call, server, epoch) => {
                self.answer_renewal(vm, process, call, server, epoch);
            }
            Action::SubmitJob(n) => self.submit_new_job(n),
            Action::SendCall(call) => self.send_call(call),
            Action::BeginFault(fault) => self.begin_fault(fault),
            Action::EndFault(fault) => self.end_fault(fault),
            Action::PublishServer(server) => self.publish_server(server),
            Action::LapseEntries => self.lapse_entries(),
            Action::CrashServer(server) => self.crash_servers(&[server]),
            Action::RestartServer(server) => {
                self.servers[server].restart(self.now);
                let publish_at = self.now + REGISTRY_LAG;
                self.schedule_at(publish_at, Action::PublishServer(server));
            }
            Action::CrashByTask(server, incarnation, task) => {
                self.crash_by_task(server, incarnation, &task);
            }
            Action::RestartCrashed(server, incarnation) => {
                let entry = &self.servers[server];
                if !entry.up && entry.incarnation == incarnation {
                    self.execute_action(Action::RestartServer(server));
                }
            }
            Action::Resize(server, capacity) => {
                self.servers[server].resize(capacity);
                self.schedule_at(self.now + REGISTRY_LAG, Action::PublishServer(server));
            }
            Action::KillOwner => {
                self.faulted_vm = self.owner_or_random_vm();
                self.kill_vm(self.faulted_vm);
            }
            Action::ExpireOffer(vm, process, caller) => {
                if self.vms[vm].process == process
                    && self.vms[vm].pending_offers.contains_key(&caller)
                {
                    self.vms[vm].pending_offers.remove(&caller);
                }
            }
        }
    }

    fn tick(&mut self, vm: usize, process: u64) {
        if self.vms[vm].process != process {
            return;
        }
        self.schedule_at(self.now + TICK_PERIOD, Action::Tick(vm, process));
        for server in 0..self.servers.len() {
            self.advance_server(server);
        }
        self.expire_waiters();
        if self.now >= self.faults_settled_at {
            let violations = self
                .checker
                .check_cancelled_jobs(&self.jobs, &self.servers, self.now);
            let now = self.now;
            self.report
                .violations
                .extend(violations.into_iter().map(|violation| (now, violation)));
        }
        self.check_calm_cell();
        if self.reaches_store(vm) {
            let requested_at = self.now;
            self.deliver(vm, process, Event::ConfigCurrent { requested_at });
        }
        self.deliver(vm, process, Event::Tick);
    }

    /// Checks what must hold while the cell is calm.
    fn check_calm_cell(&mut self) {
        if self.now < self.next_calm_check_at {
            return;
        }
        self.next_calm_check_at = self.now + CALM_CHECK_PERIOD;
        if self.now < self.calm_at {
            self.checker.restart_calm_bounds(self.now);
            return;
        }
        let violations = self
            .checker
            .check_calm_cell(&self.jobs, &self.servers, self.now);
        let now = self.now;
        self.report
            .violations
            .extend(violations.into_iter().map(|violation| (now, violation)));
    }

    fn deliver(&mut self, vm: usize, process: u64, event: Event) {
        let entry = &mut self.vms[vm];
        if entry.process != process || !entry.up {
            return;
        }
        if entry.suspended {
            let later = self.now + Duration::from_millis(50);
            if !matches!(event, Event::Tick | Event::ConfigCurrent { .. }) {
                self.schedule_at(later, Action::Deliver(vm, process, Box::new(event)));
            }
            return;
        }
        let time = Time {
            now: self.now,
            unix: self.now,
        };
        if let Event::OrderAnswered {
            result: Ok(OrderResponse::Lists(lists)),
            ..
        } = &event
            && entry.node.is_owner()
            && self.now >= self.undisturbed_at
        {
            self.checker.record_listed_ends(&lists.finished, self.now);
        }
        let step_started_at = Instant::now();
        entry.node.step(event, time);
        let mut effects = Vec::new();
        entry.node.settle(&mut effects);
        if entry.node.is_owner() {
            let took = step_started_at.elapsed();
            self.report.owner_step_time += took;
            self.report.longest_owner_step = self.report.longest_owner_step.max(took);
        }
        let violations = match self.options.verify {
            true => entry.node.verify(),
            false => Vec::new(),
        };
        for violation in violations {
            let violation = GuaranteeViolation::InconsistentOwner(violation.to_string());
            self.report.violations.push((self.now, violation));
        }
        for effect in effects {
            self.apply_effect(vm, process, effect);
        }
    }

    fn deliver_after(&mut self, vm: usize, process: u64, after: Duration, event: Event) {
        let time = self.now + after;
        self.schedule_at(time, Action::Deliver(vm, process, Box::new(event)));
    }

    fn apply_effect(&mut self, vm: usize, process: u64, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.handle_reply(vm, caller, reply),
            Effect::Commit {
                call,
                partition,
                transaction,
                ..
            } => self.commit(vm, process, call, partition, transaction),
            Effect::Scan {
                call,
                partition,
                table,
                from,
                limit,
            } => {
                if self.is_silent(partition) && self.reaches_store(vm) {
                    let result = Err(StoreError::Unknown);
                    let event = Event::StoreAnswered { call, result };
                    self.deliver_after(vm, process, CALL_TIMEOUT, event);
                    return;
                }
                let result = match self.reaches_store(vm) {
                    true => Ok(self.store.scan(partition, table, &from, limit)),
                    false => Err(StoreError::Unavailable),
                };
                let latency = match self.is_fault_active(Fault::StoreForgets) {
                    true => SLOW_SCAN_LATENCY,
                    false => NETWORK_LATENCY * 4,
                };
                self.deliver_after(vm, process, latency, Event::StoreAnswered { call, result });
            }
            Effect::Follow {
                call,
                table,
                after,
                wait,
            } => {
                let deadline = self.now + wait;
                self.store.waiters.push(Waiter {
                    vm,
                    process,
                    call,
                    table,
                    after,
                    deadline,
                });
                self.wake_waiters();
            }
            Effect::WatchServers(on) => {
                self.vms[vm].follows_registry = on;
                if on {
                    let listings = self.servers.iter().filter(|s| s.up && s.registered);
                    let listings = listings.map(listing).collect();
                    self.deliver_after(
                        vm,
                        process,
                        NETWORK_LATENCY * 5,
                        Event::ServersListed(listings),
                    );
                }
            }
            Effect::Order {
                call,
                server,
                token,
                order,
                ..
            } => self.send_order(vm, process, call, &server, token, order),
            Effect::QueryPolicy { call, query } => {
                let result = Ok(evaluate_policy(&query));
                self.deliver_after(
                    vm,
                    process,
                    query.expected_latency,
                    Event::PolicyAnswered { call, result },
                );
            }
            Effect::Offer { owner, offer } => self.send_offer(vm, process, &owner, offer),
            Effect::Log(notice) => {
                if self.trace {
                    println!("{:?} vm-{vm} {notice:?}", self.now);
                }
            }
            Effect::RecordMetric { .. } => {}
            Effect::Exit => self.vms[vm].up = false,
        }
    }

    fn commit(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        partition: PartitionId,
        transaction: Transaction,
    ) {
        if self.is_silent(partition) && self.reaches_store(vm) {
            let result = Err(StoreError::Unknown);
            let event = Event::StoreAnswered { call, result };
            self.deliver_after(vm, process, CALL_TIMEOUT, event);
            return;
        }
        let lost = self.is_fault_active(Fault::StoreLost) && self.rng.f64() < 0.35;
        let unavailable = self.is_fault_active(Fault::StoreLost) && self.rng.f64() < 0.2;
        if unavailable {
            let result = Err(StoreError::Unavailable);
            self.deliver_after(
                vm,
                process,
                NETWORK_LATENCY * 4,
                Event::StoreAnswered { call, result },
            );
            return;
        }
        match (self.reaches_store(vm), lost) {
            (true, false) => {
                let Some(at) = self.execution_time(partition) else {
                    let result = Err(StoreError::Unavailable);
                    let event = Event::StoreAnswered { call, result };
                    self.deliver_after(vm, process, NETWORK_LATENCY * 4, event);
                    return;
                };
                let action = Action::ApplyTransaction(vm, process, call, partition, transaction);
                self.schedule_at(at, action);
            }
            (true, true) => {
                // Applied after up to 4 s; the response is lost.
                let delay = Duration::from_millis(self.rng.u64(5..4_000));
                let at = self.now + delay;
                self.schedule_at(
                    at,
                    Action::ApplyTransaction(vm, u64::MAX, call, partition, transaction),
                );
                let result = Err(StoreError::Unknown);
                self.deliver_after(
                    vm,
                    process,
                    CALL_TIMEOUT,
                    Event::StoreAnswered { call, result },
                );
            }
            // Not applied: either rejected at once or timed out.
            (false, _) if self.rng.bool() => {
                let result = Err(StoreError::Unavailable);
                self.deliver_after(
                    vm,
                    process,
                    NETWORK_LATENCY * 4,
                    Event::StoreAnswered { call, result },
                );
            }
            (false, _) => {
                let result = Err(StoreError::Unknown);
                self.deliver_after(
                    vm,
                    process,
                    CALL_TIMEOUT,
                    Event::StoreAnswered { call, result },
                );
            }
        }
    }

    /// Returns when a transaction that arrives now is executed, or `None` if too many
    /// others wait for its partition.
    fn execution_time(&mut self, partition: PartitionId) -> Option<Duration> {
        let time = self.options.partition_time;
        if time.is_zero() {
            return Some(self.now + COMMIT_LATENCY);
        }
        let busy_until = self.partition_busy_until.entry(partition).or_default();
        let begin = self.now.max(*busy_until);
        if begin > self.now + MAX_PARTITION_BACKLOG {
            return None;
        }
        *busy_until = begin + time;
        Some(*busy_until)
    }

    fn deliver_store_response(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        result: Result<StoreResponse, StoreError>,
    ) {
        self.deliver_after(
            vm,
            process,
            NETWORK_LATENCY * 3,
            Event::StoreAnswered { call, result },
        );
    }

    fn wake_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.store.waiters);
        for waiter in waiters {
            if !self.reaches_store(waiter.vm) {
                self.store.waiters.push(waiter);
                continue;
            }
            match self.store.changes(waiter.table, waiter.after) {
                Some(result) => {
                    let call = waiter.call;
                    let event = Event::ChangesReceived { call, result };
                    self.deliver_after(waiter.vm, waiter.process, NETWORK_LATENCY * 4, event);
                }
                None => self.store.waiters.push(waiter),
            }
        }
    }

    fn expire_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.store.waiters);
        for waiter in waiters {
            if self.now < waiter.deadline {
                self.store.waiters.push(waiter);
                continue;
            }
            let result = match self.reaches_store(waiter.vm) {
                true => Ok(self.store.empty_feed()),
                false => Err(StoreError::Unavailable),
            };
            let call = waiter.call;
            let event = Event::ChangesReceived { call, result };
            self.deliver_after(waiter.vm, waiter.process, NETWORK_LATENCY * 4, event);
        }
    }

    fn send_offer(&mut self, vm: usize, process: u64, owner: &Name, offer: Offer) {
        let to: usize = owner.parse().unwrap_or(0);
        let lost =
            !self.vms[to].up || self.vms[to].suspended || !self.data_centres_connected(vm, to);
        if lost {
            self.deliver_after(
                vm,
                process,
                CALL_TIMEOUT,
                Event::OfferAnswered(OfferResponse::Lost),
            );
            return;
        }
        self.next_caller += 1;
        let caller = self.next_caller;
        self.vms[to].pending_offers.insert(caller, vm);
        let event = Event::Offer { caller, offer };
        let owner_process = self.vms[to].process;
        self.deliver_after(to, owner_process, NETWORK_LATENCY, event);
        // Drops the offer if the owner has not responded by then; a killed owner
        // never responds.
        let at = self.now + Duration::from_secs(2);
        self.schedule_at(at, Action::ExpireOffer(to, owner_process, caller));
    }

    fn handle_reply(&mut self, vm: usize, caller: CallerId, reply: Reply) {
        if let Some(helper) = self.vms[vm].pending_offers.remove(&caller) {
            if let Reply::Helper(response) = reply {
                let process = self.vms[helper].process;
                self.deliver_after(
                    helper,
                    process,
                    NETWORK_LATENCY,
                    Event::OfferAnswered(response),
                );
            }
            return;
        }
        let Some(call) = self.vms[vm].client_calls.remove(&caller) else {
            return;
        };
        match call {
            ClientCall::Submit(id) => self.handle_submit_reply(&id, &reply),
            ClientCall::State(id) => self.handle_state_reply(&id, &reply),
            ClientCall::Cancel(id) => self.handle_cancel_reply(&id, &reply),
            ClientCall::Pending(queue) => {
                let store_settled = self.now >= self.store_settled_at;
                if let (Reply::Pending(count), true) = (&reply, store_settled) {
                    let violation = self
                        .checker
                        .check_pending_count(queue, *count, &self.jobs, self.now);
                    let now = self.now;
                    self.report
                        .violations
                        .extend(violation.map(|violation| (now, violation)));
                }
            }
        }
    }
}

fn listing(server: &Server) -> Listing {
    Listing {
        id: server.id.clone(),
        incarnation: server.incarnation,
        address: server.id.clone(),
        service: "service".into(),
        data_centre: format_compact!("dc-{}", server.data_centre),
        rack: format_compact!("r{}", server.data_centre),
        labels: Vec::new(),
        capacity: server.capacity,
        cold_left: Duration::ZERO,
        draining: server.draining,
    }
}

fn evaluate_policy(query: &PolicyQuery) -> PolicyDecision {
    let granted = query
        .servers
        .iter()
        .filter(|server| checks::policy_allows(&query.step.0, server))
        .map(|server| (server.clone(), Name::from("ticket")));
    PolicyDecision {
        granted: granted.collect(),
    }
}
