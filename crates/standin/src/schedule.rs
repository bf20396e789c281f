//! Reducers under generated schedules, in one thread and on one clock.
//!
//! Messages are delayed and reordered; faults cut, lose, pause, kill and
//! restart. The promises are judged from the ledger and the callers' side
//! after every step.
//!
//! Invariant: the same seed and faults give the same schedule.

pub(crate) mod callers;
pub(crate) mod edges;
pub(crate) mod faults;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control::{Effect, Event, Identity, Node, Settings, Timing};
use model::{
    Config, Executor as ExecutorEntry, Life, Listing, Name, Preset, Queue, Resources, Role, Team,
    Vm, Work, key,
};

use crate::executor::Executor;
use crate::ledger::{Ledger, Violations};
use crate::table::Table;
use crate::worker::Worker;

pub use callers::Callers;
pub use faults::{ALL, Fault};

/// Period of ticks.
const TICK_MS: u64 = 25;
/// Workers of each data centre.
const WORKERS: usize = 4;
/// Slots of each executor.
const SLOTS: u32 = 2;
/// Load lasts this long.
pub const LOAD_MS: u64 = 45_000;
/// Faults begin here.
pub const FAULT_MS: u64 = 12_000;
/// Faults end here.
pub const HEAL_MS: u64 = 27_000;
/// The run ends here.
pub const END_MS: u64 = 160_000;

/// What went wrong in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failing {
    /// The ledger saw a promise broken.
    Ledger(Box<Violations>, Vec<String>),
    /// A node's own state is inconsistent.
    State(Name, String),
    /// A request refused as not run has run.
    FalseRefusal(Name),
    /// A caller got another answer than its own.
    WrongAnswer(Name),
    /// A withdrawn key was accepted after the grace.
    WithdrawnKey(u64),
    /// A node's configuration went back.
    Reverted(Name),
    /// A change was not in force everywhere in time, or is gone.
    LostChange(Name),
    /// Tasks of accepted jobs were not completed by the end.
    LostJobs(Vec<Name>),
    /// A request never got an answer.
    NoAnswer(Name),
    /// A planned stop left a caller without its answer.
    CutByStop(Name),
}

/// One entry VM.
pub(crate) struct Slot {
    pub(crate) identity: Identity,
    pub(crate) node: Option<Node>,
    pub(crate) incarnation: u64,
    pub(crate) started_ms: u64,
    pub(crate) paused: bool,
    pub(crate) held: Vec<Event>,
    pub(crate) version: u64,
    pub(crate) cut_platform: bool,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Coming {
    /// An event reaches a node's process.
    Deliver(usize, u64, Box<Event>),
    /// A table call takes effect.
    Table(usize, u64, u64, Box<control::TableCall>, bool),
    /// A worker gets a call.
    Worker(usize, u64, u64, usize, Box<model::Call>, bool),
    /// A worker's held answer is looked at.
    Held(usize, u64, u64, usize, Box<model::Call>, u64),
    /// An executor gets a request.
    Execute(usize, u64, usize, Box<control::Execute>),
    /// An executor's run ends.
    RunEnds(usize, u64, u64, usize, Name, Box<bytes::Bytes>),
    /// A caller acts.
    Caller(Box<callers::Action>),
    /// The platform replaces an entry VM.
    Replace(usize),
}

/// The whole schedule.
pub struct Schedule {
    pub(crate) now_ms: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) slots: Vec<Slot>,
    pub(crate) table: Table,
    pub(crate) workers: Vec<Worker>,
    pub(crate) executors: Vec<Executor>,
    pub(crate) worker_cut: Vec<bool>,
    pub(crate) listing: Listing,
    pub(crate) coming: BTreeMap<(u64, u64), Coming>,
    pub(crate) next: u64,
    /// The ledger.
    pub ledger: Ledger,
    /// The callers.
    pub callers: Callers,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) store_down: bool,
    pub(crate) store_slow: bool,
    pub(crate) lose_answers: bool,
    pub(crate) failing: Option<Failing>,
    pub(crate) faults: Vec<Fault>,
}

/// Data centre of entry VM `at`.
pub(crate) const PLACES: [&str; 4] = ["east", "east", "west", "west"];

fn identity(at: usize) -> Identity {
    Identity {
        name: Name::from(format!("e{at}")),
        data_centre: Name::from(PLACES[at]),
    }
}

/// The first configuration of every schedule.
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
        service: (work == Work::Request).then(|| Name::from("desk")),
    };
    Config {
        presets: BTreeMap::from([(Name::from("day"), Preset::default())]),
        in_force: Name::from("day"),
        teams: BTreeMap::from([
            (Name::from("free"), team(2, None, "free")),
            (
                Name::from("tight"),
                team(1, Some(Resources::of(6_000, 6_000, 0, 4)), "tight"),
            ),
            (Name::from("leaver"), team(1, None, "leaver")),
        ]),
        queues: BTreeMap::from([
            (Name::from("ask"), queue(Work::Request, true, None)),
            (Name::from("book"), queue(Work::Request, false, None)),
            (Name::from("open"), queue(Work::Request, true, Some("free"))),
            (Name::from("batch"), queue(Work::Batch, false, None)),
            (Name::from("gang"), queue(Work::Gang, false, None)),
        ]),
        ..Config::default()
    }
}

fn worker_vm(at: usize) -> Vm {
    let data_centre = if at < WORKERS { "east" } else { "west" };
    Vm {
        name: Name::from(format!("w{at}")),
        data_centre: Name::from(data_centre),
        rack: Name::from(format!("{data_centre}-{}", at % 2)),
        role: Role::Worker,
        life: Life::Live,
        address: Name::from(format!("{at}")),
        capacity: Resources::of(4_000, 4_000, 0, 0),
        executor: Some(ExecutorEntry {
            service: Name::from("desk"),
            address: Name::from(format!("{at}")),
            slots: SLOTS,
            connections: 64,
        }),
    }
}

impl Schedule {
    /// Four entry VMs in two data centres, four workers in each.
    #[must_use]
    pub fn new(seed: u64, faults: &[Fault]) -> Self {
        let vms: Vec<Vm> = (0..2 * WORKERS).map(worker_vm).collect();
        let mut ledger = Ledger::default();
        for vm in &vms {
            ledger.add_vm(&vm.name, vm.capacity);
        }
        for (team, entry) in &config().teams {
            ledger.set_limit(team, entry.limit);
        }
        let slot = |at| Slot {
            identity: identity(at),
            node: None,
            incarnation: 0,
            started_ms: 0,
            paused: false,
            held: Vec::new(),
            version: 0,
            cut_platform: false,
        };
        let mut schedule = Self {
            now_ms: 0,
            rng: fastrand::Rng::with_seed(seed),
            slots: (0..PLACES.len()).map(slot).collect(),
            table: Table::default(),
            workers: vms.iter().map(|vm| Worker::new(&vm.name)).collect(),
            executors: vms
                .iter()
                .map(|vm| Executor::new(&vm.name, SLOTS))
                .collect(),
            worker_cut: vec![false; vms.len()],
            listing: Listing { version: 1, vms },
            coming: BTreeMap::new(),
            next: 0,
            ledger,
            callers: Callers::default(),
            cuts: BTreeSet::new(),
            store_down: false,
            store_slow: false,
            lose_answers: false,
            failing: None,
            faults: faults.to_vec(),
        };
        for at in 0..PLACES.len() {
            schedule.boot(at);
        }
        schedule.plan_callers();
        schedule
    }

    /// The VM list of the schedule.
    #[must_use]
    pub fn listing(&self) -> Listing {
        self.listing.clone()
    }

    /// Starts a new process on entry VM `at`.
    pub(crate) fn boot(&mut self, at: usize) {
        let settings = Settings {
            identity: identity(at),
            peers: (0..PLACES.len())
                .filter(|p| *p != at)
                .map(identity)
                .collect(),
            data_centres: vec![Name::from("east"), Name::from("west")],
            timing: Timing::default(),
            store_writes_per_second: 40,
            initial: Some(config()),
        };
        let seed = self.rng.u64(..);
        let slot = &mut self.slots[at];
        slot.node = Some(Node::new(settings, seed, Duration::ZERO));
        slot.incarnation += 1;
        slot.started_ms = self.now_ms;
        slot.paused = false;
        slot.version = 0;
        slot.held.clear();
    }

    pub(crate) fn at(&mut self, delay_ms: u64, coming: Coming) {
        self.next += 1;
        self.coming
            .insert((self.now_ms + delay_ms, self.next), coming);
    }

    /// Runs to the end; `Err` at the first promise broken.
    ///
    /// # Errors
    /// Returns what went wrong.
    pub fn run(&mut self) -> Result<(), Failing> {
        while self.now_ms < END_MS {
            self.change_faults();
            self.break_connections();
            self.tick();
            let until = self.now_ms + TICK_MS;
            while let Some(entry) = self.coming.first_entry() {
                let at_ms = entry.key().0;
                if at_ms >= until {
                    break;
                }
                let coming = entry.remove();
                self.now_ms = self.now_ms.max(at_ms);
                self.happen(coming);
            }
            self.now_ms = until;
            if let Some(failing) = self.failing.take() {
                return Err(failing);
            }
        }
        self.judge_end()
    }

    fn tick(&mut self) {
        for at in 0..self.workers.len() {
            self.workers[at].advance_to(self.now_ms);
            self.record_worker(at);
        }
        for at in 0..self.slots.len() {
            if !self.slots[at].paused {
                self.step(at, Event::Tick);
            }
        }
    }

    /// Gives an event to a node that runs.
    pub(crate) fn step(&mut self, at: usize, event: Event) {
        let slot = &mut self.slots[at];
        if slot.paused {
            slot.held.push(event);
            return;
        }
        let Some(node) = slot.node.as_mut() else {
            return;
        };
        let now = Duration::from_millis(self.now_ms - slot.started_ms);
        let mut out = Vec::new();
        node.step(event, now, &mut out);
        if let Err(violation) = node.verify() {
            let name = slot.identity.name.clone();
            self.failing = Some(Failing::State(name, violation.to_string()));
        }
        let incarnation = slot.incarnation;
        for effect in out {
            self.carry_out(at, incarnation, effect);
        }
        self.judge_step(at);
    }

    fn judge_step(&mut self, at: usize) {
        if self.ledger.violations != Violations::default() && self.failing.is_none() {
            let violations = Box::new(self.ledger.violations.clone());
            let details = self.ledger.violation_details.clone();
            self.failing = Some(Failing::Ledger(violations, details));
        }
        let slot = &mut self.slots[at];
        let Some(node) = &slot.node else {
            return;
        };
        let version = node.config_version();
        if version < slot.version {
            self.failing = Some(Failing::Reverted(slot.identity.name.clone()));
        }
        slot.version = version;
    }

    fn judge_end(&mut self) -> Result<(), Failing> {
        if let Some(id) = self.callers.unanswered() {
            return Err(Failing::NoAnswer(id));
        }
        if let Some(id) = self.callers.false_refusal(&self.ledger) {
            return Err(Failing::FalseRefusal(id));
        }
        let stop_only = self.faults.iter().all(|f| *f == Fault::PlannedStop);
        if let Some(id) = self.callers.unknown().filter(|_| stop_only) {
            return Err(Failing::CutByStop(id));
        }
        for team in &self.callers.changed_teams {
            let known = |s: &Slot| s.node.as_ref().is_none_or(|n| n.has_team(team));
            if !self.slots.iter().all(known) {
                return Err(Failing::LostChange(team.clone()));
            }
        }
        let lost = self.callers.lost_jobs(&self.ledger);
        for id in &lost {
            let nodes = self.slots.iter().filter_map(|s| s.node.as_ref());
            let seen: Vec<_> = nodes.filter_map(|n| n.job_status(id)).collect();
            let history = self.ledger.job_history(id);
            self.callers
                .lines
                .push(format!("{id}: {seen:?} {history:?}"));
        }
        match lost.is_empty() {
            true => Ok(()),
            false => Err(Failing::LostJobs(lost)),
        }
    }

    /// Processes an effect of a node.
    fn carry_out(&mut self, at: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.replied(at, caller, reply),
            Effect::Send { to, frame } => self.send(at, &to, frame),
            Effect::Table { id, call } => self.call_table(at, incarnation, id, call),
            Effect::Worker { id, address, call } => {
                self.call_worker(at, incarnation, id, &address, call);
            }
            Effect::Execute(execute) => self.execute(at, incarnation, execute),
            Effect::ListVms { .. } => self.list_vms(at, incarnation),
            Effect::Exit => {
                self.slots[at].node = None;
                self.at(200, Coming::Replace(at));
            }
            Effect::Log(notice) => self.callers.log(self.now_ms, at, &notice),
            Effect::RecordMetric { .. } => {}
        }
    }
}
