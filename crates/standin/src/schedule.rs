//! Deterministic simulation of a whole cell: the reducers of all entry VMs run
//! on one thread and one simulated clock.
//!
//! Messages are delayed and reordered at random. Injected faults partition the
//! network, drop responses, and pause, kill and restart processes. The
//! guarantees are checked from the ledger and from what clients observed,
//! during the run and at its end.
//!
//! Invariant: the same seed and faults give the same sequence of events.

pub(crate) mod callers;
pub(crate) mod edges;
pub(crate) mod evacuations;
pub(crate) mod faults;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control::{Effect, Event, Identity, Node, Settings, Timing};
use model::{
    Config, Executor as ExecutorEntry, Name, Preset, Queue, Resources, Role, Team, Vm, VmLifecycle,
    VmList, WorkKind, key,
};

use crate::executor::Executor;
use crate::ledger::{Ledger, Violations};
use crate::table::Table;
use crate::worker::Worker;

pub use callers::Clients;
pub use evacuations::Evacuation;
pub use faults::{ALL_FAULTS, Fault};

/// Period of tick events and of the checks between them, in ms.
const TICK_PERIOD_MS: u64 = 25;
/// Number of worker VMs in each data centre.
const WORKERS_PER_DATA_CENTRE: usize = 4;
/// Number of slots of each executor.
const EXECUTOR_SLOTS: u32 = 2;
/// Time at which clients stop submitting new work, in ms.
pub const LOAD_END_MS: u64 = 45_000;
/// Time at which the faults are injected, in ms.
pub const FAULT_START_MS: u64 = 12_000;
/// Time at which the faults are cleared, in ms.
pub const FAULT_END_MS: u64 = 27_000;
/// Time at which the simulation ends, in ms. Work accepted under load has to be
/// completed by then.
pub const SIMULATION_END_MS: u64 = 160_000;

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The ledger recorded violations; their counts and descriptions.
    Ledger(Box<Violations>, Vec<String>),
    /// The state of a node failed its consistency check.
    NodeState(Name, String),
    /// A request was refused as not run although an executor ran it.
    RefusedButRan(Name),
    /// A request was answered with a body that does not belong to it.
    WrongAnswer(Name),
    /// A request sent at this time, in ms, was accepted with a withdrawn key
    /// after the grace period.
    WithdrawnKeyAccepted(u64),
    /// The configuration version of a node decreased.
    ConfigReverted(Name),
    /// An acknowledged configuration change is missing on some node at the end.
    LostChange(Name),
    /// Accepted jobs with tasks that were not completed by the end.
    LostJobs(Vec<Name>),
    /// A request was never answered.
    NoAnswer(Name),
    /// The outcome of a request is unknown although the only faults were
    /// planned stops.
    InterruptedByStop(Name),
}

/// An entry VM and the process that runs on it, if any.
pub(crate) struct EntryVm {
    pub(crate) identity: Identity,
    pub(crate) node: Option<Node>,
    pub(crate) incarnation: u64,
    pub(crate) started_ms: u64,
    pub(crate) paused: bool,
    pub(crate) deferred_events: Vec<Event>,
    pub(crate) config_version: u64,
    pub(crate) platform_unreachable: bool,
}

/// An event of the simulation, queued until its time is reached. Numbers are, in
/// this order, the index of the entry VM, its incarnation, the id of the call, and
/// the index of the worker or executor; a flag is true if the response is dropped.
#[derive(Clone, Debug)]
pub(crate) enum ScheduledEvent {
    /// An event is delivered to a node if its incarnation still runs.
    Deliver(usize, u64, Box<Event>),
    /// The table service executes a call.
    Table(usize, u64, u64, Box<control::TableCall>, bool),
    /// A worker receives a call.
    Worker(usize, u64, u64, usize, Box<model::WorkerCall>, bool),
    /// A delayed worker response is re-evaluated; the last number is the time in ms
    /// at which it is sent at the latest.
    DelayedResponse(usize, u64, u64, usize, Box<model::WorkerCall>, u64),
    /// An executor receives a request.
    Execute(usize, u64, usize, Box<control::Execute>),
    /// A run on an executor ends.
    RunEnds(usize, u64, u64, usize, Name, Box<bytes::Bytes>),
    /// A client or operator sends a request.
    Client(Box<callers::Action>),
    /// The platform starts a replacement for an entry VM that is down.
    Replace(usize),
}

/// Simulated cell with its entry VMs, back ends, clients and faults.
pub struct Simulation {
    pub(crate) now_ms: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) entry_vms: Vec<EntryVm>,
    pub(crate) table: Table,
    pub(crate) workers: Vec<Worker>,
    pub(crate) executors: Vec<Executor>,
    pub(crate) worker_unreachable: Vec<bool>,
    pub(crate) listing: VmList,
    pub(crate) event_queue: BTreeMap<(u64, u64), ScheduledEvent>,
    pub(crate) next_seq: u64,
    /// Record of the work that the simulated workers and executors ran.
    pub ledger: Ledger,
    /// Clients and operators, and what they observed.
    pub clients: Clients,
    pub(crate) blocked_links: BTreeSet<(usize, usize)>,
    pub(crate) store_down: bool,
    pub(crate) store_slow: bool,
    pub(crate) drop_responses: bool,
    pub(crate) violation: Option<Violation>,
    pub(crate) faults: Vec<Fault>,
    /// Setting `Timing::evacuation_proof` of processes that are started.
    pub(crate) evacuation_proof: Option<Duration>,
    /// Whether the process on any entry VM was killed.
    pub(crate) entry_vm_killed: bool,
}

/// Data centre of each entry VM.
pub(crate) const ENTRY_DATA_CENTRES: [&str; 4] = ["east", "east", "west", "west"];

fn identity(index: usize) -> Identity {
    Identity {
        name: Name::from(format!("e{index}")),
        data_centre: Name::from(ENTRY_DATA_CENTRES[index]),
    }
}

/// Initial configuration of every simulation.
#[must_use]
pub fn config() -> Config {
    let team = |share, limit, name: &str| Team {
        share,
        limit,
        keys: vec![key::hash(name)],
    };
    let queue = |work, idempotent, open: Option<&str>| Queue {
        work,
        open_team: open.map(Name::from),
        idempotent,
        service: (work == WorkKind::Request).then(|| Name::from("desk")),
    };
    Config {
        presets: BTreeMap::from([(Name::from("day"), Preset::default())]),
        active_preset: Name::from("day"),
        teams: BTreeMap::from([
            (Name::from("free"), team(2, None, "free")),
            (
                Name::from("tight"),
                team(1, Some(Resources::of(6_000, 6_000, 0, 4)), "tight"),
            ),
            (Name::from("leaver"), team(1, None, "leaver")),
        ]),
        queues: BTreeMap::from([
            (Name::from("ask"), queue(WorkKind::Request, true, None)),
            (Name::from("book"), queue(WorkKind::Request, false, None)),
            (
                Name::from("open"),
                queue(WorkKind::Request, true, Some("free")),
            ),
            (Name::from("batch"), queue(WorkKind::Batch, false, None)),
            (Name::from("gang"), queue(WorkKind::Gang, false, None)),
        ]),
        ..Config::default()
    }
}

fn worker_vm(index: usize) -> Vm {
    let data_centre = if index < WORKERS_PER_DATA_CENTRE {
        "east"
    } else {
        "west"
    };
    Vm {
        name: Name::from(format!("w{index}")),
        data_centre: Name::from(data_centre),
        rack: Name::from(format!("{data_centre}-{}", index % 2)),
        role: Role::Worker,
        life: VmLifecycle::Live,
        address: Name::from(format!("{index}")),
        capacity: Resources::of(4_000, 4_000, 0, 0),
        executor: Some(ExecutorEntry {
            service: Name::from("desk"),
            address: Name::from(format!("{index}")),
            slots: EXECUTOR_SLOTS,
            connections: 64,
        }),
    }
}

impl Simulation {
    /// Creates a cell of two data centres, each with two entry VMs and four
    /// workers, and schedules its load.
    #[must_use]
    pub fn new(seed: u64, faults: &[Fault]) -> Self {
        let vms: Vec<Vm> = (0..2 * WORKERS_PER_DATA_CENTRE).map(worker_vm).collect();
        let mut ledger = Ledger::default();
        for vm in &vms {
            ledger.add_vm(&vm.name, vm.capacity);
        }
        for (team, entry) in &config().teams {
            ledger.set_limit(team, entry.limit);
        }
        let stopped_entry_vm = |index| EntryVm {
            identity: identity(index),
            node: None,
            incarnation: 0,
            started_ms: 0,
            paused: false,
            deferred_events: Vec::new(),
            config_version: 0,
            platform_unreachable: false,
        };
        let mut simulation = Self {
            now_ms: 0,
            rng: fastrand::Rng::with_seed(seed),
            entry_vms: (0..ENTRY_DATA_CENTRES.len())
                .map(stopped_entry_vm)
                .collect(),
            table: Table::default(),
            workers: vms.iter().map(|vm| Worker::new(&vm.name)).collect(),
            executors: vms
                .iter()
                .map(|vm| Executor::new(&vm.name, EXECUTOR_SLOTS))
                .collect(),
            worker_unreachable: vec![false; vms.len()],
            listing: VmList { version: 1, vms },
            event_queue: BTreeMap::new(),
            next_seq: 0,
            ledger,
            clients: Clients::default(),
            blocked_links: BTreeSet::new(),
            store_down: false,
            store_slow: false,
            drop_responses: false,
            violation: None,
            faults: faults.to_vec(),
            evacuation_proof: None,
            entry_vm_killed: false,
        };
        for index in 0..ENTRY_DATA_CENTRES.len() {
            simulation.start_entry_vm(index);
        }
        simulation.schedule_clients();
        simulation
    }

    /// VM list of the simulated platform, without entry VMs.
    #[must_use]
    pub fn listing(&self) -> VmList {
        self.listing.clone()
    }

    /// Starts a new process on the entry VM with the given index.
    pub(crate) fn start_entry_vm(&mut self, index: usize) {
        let settings = Settings {
            identity: identity(index),
            peers: (0..ENTRY_DATA_CENTRES.len())
                .filter(|p| *p != index)
                .map(identity)
                .collect(),
            data_centres: vec![Name::from("east"), Name::from("west")],
            timing: Timing {
                evacuation_proof: self.evacuation_proof,
                ..Timing::default()
            },
            store_writes_per_second: 40,
            initial: Some(config()),
        };
        let seed = self.rng.u64(..);
        let entry_vm = &mut self.entry_vms[index];
        entry_vm.node = Some(Node::new(settings, seed, Duration::ZERO));
        entry_vm.incarnation += 1;
        entry_vm.started_ms = self.now_ms;
        entry_vm.paused = false;
        entry_vm.config_version = 0;
        entry_vm.deferred_events.clear();
    }

    pub(crate) fn schedule_after(&mut self, delay_ms: u64, scheduled: ScheduledEvent) {
        self.next_seq += 1;
        self.event_queue
            .insert((self.now_ms + delay_ms, self.next_seq), scheduled);
    }

    /// Runs the simulation to its end or to the first violation.
    ///
    /// # Errors
    /// Returns the first violation found, at which the simulation stops.
    pub fn run(&mut self) -> Result<(), Violation> {
        while self.now_ms < SIMULATION_END_MS {
            self.update_faults();
            self.close_dead_connections();
            self.tick();
            let until = self.now_ms + TICK_PERIOD_MS;
            while let Some(entry) = self.event_queue.first_entry() {
                let at_ms = entry.key().0;
                if at_ms >= until {
                    break;
                }
                let scheduled = entry.remove();
                self.now_ms = self.now_ms.max(at_ms);
                self.handle_scheduled_event(scheduled);
            }
            self.now_ms = until;
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
        }
        self.check_at_end()
    }

    fn tick(&mut self) {
        for index in 0..self.workers.len() {
            self.workers[index].advance_to(self.now_ms);
            self.record_worker(index);
        }
        for index in 0..self.entry_vms.len() {
            if !self.entry_vms[index].paused {
                self.step(index, Event::Tick);
            }
        }
    }

    /// Passes an event to the node on the entry VM with the given index, and
    /// checks the guarantees afterwards. Events for a paused VM are deferred;
    /// those for a VM without a process are dropped.
    pub(crate) fn step(&mut self, index: usize, event: Event) {
        let entry_vm = &mut self.entry_vms[index];
        if entry_vm.paused {
            entry_vm.deferred_events.push(event);
            return;
        }
        let Some(node) = entry_vm.node.as_mut() else {
            return;
        };
        let now = Duration::from_millis(self.now_ms - entry_vm.started_ms);
        let mut out = Vec::new();
        node.step(event, now, &mut out);
        if let Err(violation) = node.verify() {
            let name = entry_vm.identity.name.clone();
            self.violation = Some(Violation::NodeState(name, violation.to_string()));
        }
        let incarnation = entry_vm.incarnation;
        for effect in out {
            self.apply_effect(index, incarnation, effect);
        }
        self.check_after_step(index);
    }

    fn check_after_step(&mut self, index: usize) {
        if self.ledger.violations != Violations::default() && self.violation.is_none() {
            let violations = Box::new(self.ledger.violations.clone());
            let details = self.ledger.violation_details.clone();
            self.violation = Some(Violation::Ledger(violations, details));
        }
        let entry_vm = &mut self.entry_vms[index];
        let Some(node) = &entry_vm.node else {
            return;
        };
        let version = node.config_version();
        if version < entry_vm.config_version {
            self.violation = Some(Violation::ConfigReverted(entry_vm.identity.name.clone()));
        }
        entry_vm.config_version = version;
    }

    fn check_at_end(&mut self) -> Result<(), Violation> {
        if let Some(id) = self.clients.unanswered_request() {
            return Err(Violation::NoAnswer(id));
        }
        if let Some(id) = self.clients.refused_but_ran(&self.ledger) {
            return Err(Violation::RefusedButRan(id));
        }
        let planned_stops_only =
            !self.entry_vm_killed && self.faults.iter().all(|f| *f == Fault::PlannedStop);
        if let Some(id) = self
            .clients
            .unknown_request()
            .filter(|_| planned_stops_only)
        {
            return Err(Violation::InterruptedByStop(id));
        }
        for team in &self.clients.acknowledged_teams {
            let known = |vm: &EntryVm| vm.node.as_ref().is_none_or(|n| n.has_team(team));
            if !self.entry_vms.iter().all(known) {
                return Err(Violation::LostChange(team.clone()));
            }
        }
        let lost = self.clients.lost_jobs(&self.ledger);
        for id in &lost {
            let nodes = self.entry_vms.iter().filter_map(|vm| vm.node.as_ref());
            let statuses: Vec<_> = nodes.filter_map(|n| n.job_status(id)).collect();
            let history = self.ledger.job_history(id);
            self.clients.log_lines.push(format!(
                "job {id} incomplete: status {statuses:?}, history {history:?}"
            ));
        }
        match lost.is_empty() {
            true => Ok(()),
            false => Err(Violation::LostJobs(lost)),
        }
    }

    /// Executes an effect that a node requested.
    fn apply_effect(&mut self, index: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.handle_reply(index, caller, reply),
            Effect::Send { to, frame } => self.send(index, &to, frame),
            Effect::Table { id, call } => self.call_table(index, incarnation, id, call),
            Effect::Worker { id, address, call } => {
                self.call_worker(index, incarnation, id, &address, call);
            }
            Effect::Execute(execute) => self.execute(index, incarnation, execute),
            Effect::ListVms { .. } => self.list_vms(index, incarnation),
            Effect::Exit => {
                self.entry_vms[index].node = None;
                self.schedule_after(200, ScheduledEvent::Replace(index));
            }
            Effect::Log(notice) => self.clients.log(self.now_ms, index, &notice),
            Effect::RecordMetric { .. } => {}
        }
    }
}
