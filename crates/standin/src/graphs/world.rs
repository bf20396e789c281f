//! Simulated time: entry VMs, their calls, and what answers them.
//!
//! Invariant: an answer to a call of a process that was killed is dropped.

pub(crate) mod calling;
pub(crate) mod trouble;
pub(crate) mod working;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use model::{JobId, Name, Resources, Stage, Transaction, key};
use sched::{
    AdmissionPolicy, CallId, CallerId, Config, Effect, Event, Listing, Node, Offer, OfferResponse,
    Order, PolicyDecision, PolicyQuery, Queue, Reply, Service, Settings, StoreError, StoreResponse,
    Team, Time, Timing,
};

use crate::graphs::callers::{Client, Clients};
use crate::graphs::checks::{self, Broken, MAX_ATTEMPTS, Truth};
use crate::graphs::faults::Fault;
use crate::graphs::server::Server;
use crate::graphs::store::{Store, Waiter};

/// Entry VMs.
const VMS: usize = 3;
/// One way between any two.
const HOP: Duration = Duration::from_millis(1);
/// Time of a transaction.
const COMMIT: Duration = Duration::from_millis(6);
/// Time of a scan after the history was dropped, when every reader lists again.
const SLOW_SCAN: Duration = Duration::from_millis(500);
/// Period of ticks.
const TICK: Duration = Duration::from_millis(20);
/// Lag of the registry.
const REGISTRY_LAG: Duration = Duration::from_millis(300);
/// Time after which a call without an answer counts as lost.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Period at which a caller asks for the state of its jobs.
const ASK_PERIOD: Duration = Duration::from_millis(700);
/// Time after the last fault from which time bounds hold everywhere: that a
/// bound of cancelling takes, and that late orders take to come out.
const CALM_AFTER: Duration = Duration::from_secs(8);
/// Time in touch after which time bounds hold again.
const CONTACT: Duration = Duration::from_secs(3);
/// Period at which the counts of waiting jobs are asked for.
const PENDING_PERIOD: Duration = Duration::from_millis(37);
/// When the callers stop handing in jobs.
const LAST_JOB: Duration = Duration::from_secs(14);
/// Time left after that for everything to end.
const CALM: Duration = Duration::from_secs(26);

/// How large a world is.
#[derive(Clone, Debug)]
pub struct Scale {
    /// Backend servers.
    pub servers: usize,
    /// Bounds on the time between two jobs in ms.
    pub job_gap: Range<u64>,
    /// Processors in thousandths that a team may have running.
    pub team_limit: u32,
    /// Checks the owner's books after each event, which takes time.
    pub verify: bool,
}

impl Default for Scale {
    fn default() -> Self {
        Self {
            servers: 9,
            job_gap: 30..220,
            team_limit: 24_000,
            verify: true,
        }
    }
}

/// What a caller's call was about.
#[derive(Clone, Debug)]
enum Call {
    Submit(JobId),
    State(JobId),
    Cancel(JobId),
    Pending(&'static str),
}

/// Something that happens at a time.
#[derive(Debug)]
enum Action {
    Deliver(usize, u64, Box<Event>),
    Tick(usize, u64),
    Apply(usize, u64, CallId, Transaction),
    Order(usize, u64, CallId, usize, u64, Box<Order>),
    /// An order that a backend server has received and carries out late,
    /// unless it is restarted before.
    LateOrder(usize, u64, u64, Box<Order>),
    Answer(usize, u64, CallId, usize, u64),
    Hand(u64),
    Send(Call),
    Begin(Fault),
    End(Fault),
    Registry(usize),
    Offer(usize, u64, CallerId),
}

/// One entry VM.
struct Vm {
    node: Node,
    process: u64,
    up: bool,
    frozen: bool,
    stopping: bool,
    watches: bool,
    callers: HashMap<CallerId, Call>,
    offers: HashMap<CallerId, usize>,
}

/// What a schedule ended with.
#[derive(Debug, Default)]
pub struct Report {
    /// Broken promises, in the order found.
    pub broken: Vec<(Duration, Broken)>,
    /// Jobs accepted.
    pub accepted: u32,
    /// Jobs completed.
    pub completed: u32,
    /// Starts of tasks.
    pub starts: u64,
    /// Longest time in which no VM owned.
    pub ownerless: Duration,
    /// Time on this machine that the owner's turns took, and the longest one.
    pub turns: Duration,
    /// The longest turn on this machine.
    pub longest_turn: Duration,
}

/// The simulated world.
pub struct World {
    now: Duration,
    rng: fastrand::Rng,
    seq: u64,
    actions: BTreeMap<u64, Action>,
    agenda: BinaryHeap<Reverse<(Duration, u64)>>,
    vms: Vec<Vm>,
    store: Store,
    servers: Vec<Server>,
    clients: Clients,
    truth: Truth,
    faults: Vec<Fault>,
    /// The VM that was the owner when a fault on the owner began.
    struck: usize,
    next_caller: CallerId,
    report: Report,
    owned_at: Duration,
    /// Until when VMs count as out of touch with the table service.
    out_of_touch_until: Duration,
    /// When no fault has been near for a while.
    calm_from: Duration,
    /// A late order is being carried out.
    late: bool,
    trace: bool,
    scale: Scale,
}

fn settings(vm: usize, process: u64) -> Settings {
    Settings {
        name: format_compact!("vm-{vm}"),
        process,
        address: format_compact!("{vm}"),
        // The first VM is weaker, so that it hands over to others.
        cpu_share: if vm == 0 { 0.1 } else { 0.25 },
        remote_factor: 2.0,
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

impl World {
    /// A world in which `faults` begin between the fourth and the eleventh
    /// second.
    #[must_use]
    pub fn new(seed: u64, faults: &[Fault]) -> Self {
        Self::scaled(seed, faults, Scale::default())
    }

    /// The same world of another size.
    #[must_use]
    pub fn scaled(seed: u64, faults: &[Fault], scale: Scale) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let servers = (0..scale.servers).map(|n| {
            let capacity = Resources::of(8_000, 16_384, 0, 0);
            let rate = 0.98 + 0.04 * rng.f64();
            Server::new(format_compact!("s{n}"), n % VMS, capacity, rate)
        });
        let servers = servers.collect();
        let mut world = Self {
            now: Duration::ZERO,
            seq: 0,
            actions: BTreeMap::new(),
            agenda: BinaryHeap::new(),
            vms: Vec::new(),
            store: Store::default(),
            servers,
            clients: Clients::new(),
            truth: Truth::new(scale.team_limit),
            faults: Vec::new(),
            struck: 0,
            next_caller: 0,
            report: Report::default(),
            owned_at: Duration::ZERO,
            out_of_touch_until: Duration::ZERO,
            calm_from: Duration::ZERO,
            late: false,
            trace: false,
            rng,
            scale,
        };
        for vm in 0..VMS {
            let vm = world.boot(vm, 1);
            world.vms.push(vm);
        }
        for vm in 0..VMS {
            world.begin_process(vm);
        }
        for queue in ["plain", "gangs"] {
            world.at(Duration::from_secs(1), Action::Send(Call::Pending(queue)));
        }
        let mut at = Duration::from_secs(1);
        let mut n = 0;
        while at < LAST_JOB {
            world.at(at, Action::Hand(n));
            at += Duration::from_millis(world.rng.u64(world.scale.job_gap.clone()));
            n += 1;
        }
        for fault in faults {
            let begin = Duration::from_millis(world.rng.u64(4_000..11_000));
            world.at(begin, Action::Begin(*fault));
            world.at(begin + fault.lasts(), Action::End(*fault));
        }
        world
    }

    /// The same world, printing what happens.
    #[must_use]
    pub fn traced(mut self) -> Self {
        self.trace = true;
        self
    }

    fn boot(&mut self, vm: usize, process: u64) -> Vm {
        let id = self.rng.u64(1..);
        let time = Time {
            now: self.now,
            unix: self.now,
        };
        Vm {
            node: Node::new(settings(vm, id), self.rng.u64(..), time),
            process,
            up: true,
            frozen: false,
            stopping: false,
            watches: false,
            callers: HashMap::new(),
            offers: HashMap::new(),
        }
    }

    fn begin_process(&mut self, vm: usize) {
        let process = self.vms[vm].process;
        let event = Event::Config {
            config: Box::new(config(self.scale.team_limit)),
            requested_at: self.now,
        };
        self.at(
            self.now + HOP,
            Action::Deliver(vm, process, Box::new(event)),
        );
        self.at(self.now + HOP, Action::Tick(vm, process));
    }

    fn at(&mut self, time: Duration, action: Action) {
        self.seq += 1;
        self.actions.insert(self.seq, action);
        self.agenda.push(Reverse((time, self.seq)));
    }

    /// Runs to the end and says what happened.
    #[must_use]
    pub fn run(mut self) -> Report {
        let end = LAST_JOB + CALM;
        while let Some(Reverse((time, seq))) = self.agenda.pop() {
            if time > end {
                break;
            }
            self.now = self.now.max(time);
            self.store.clock = self.now;
            if let Some(action) = self.actions.remove(&seq) {
                self.act(action);
                self.watch();
            }
        }
        for broken in self.truth.settle(&self.clients, &self.servers) {
            self.report.broken.push((self.now, broken));
        }
        let accepted = self.clients.values().filter(|c| c.accepted.is_some());
        self.report.accepted = accepted.count() as u32;
        let completed = |c: &&Client| c.shown == Some(Stage::Completed);
        self.report.completed = self.clients.values().filter(completed).count() as u32;
        self.report.starts = self.truth.starts;
        self.report
    }

    fn watch(&mut self) {
        if self.vms.iter().any(|vm| vm.up && vm.node.is_owner()) {
            self.owned_at = self.now;
        }
        let gap = self.now.saturating_sub(self.owned_at);
        self.report.ownerless = self.report.ownerless.max(gap);
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// True when two data centres can reach each other.
    fn joined(&self, a: usize, b: usize) -> bool {
        let cut = self.has(Fault::CutDataCentre);
        a == b || !cut || (a != self.struck && b != self.struck)
    }

    fn reaches_store(&self, vm: usize) -> bool {
        let shut_out = self.has(Fault::StoreShutsOwnerOut) && vm == self.struck;
        let cut = self.has(Fault::CutDataCentre) && vm == self.struck;
        !shut_out && !cut && !self.has(Fault::StoreDown)
    }

    fn reaches_server(&self, vm: usize, server: usize) -> bool {
        let cut = self.has(Fault::CutServers) && server.is_multiple_of(3);
        !cut && self.joined(vm, self.servers[server].data_centre) && self.servers[server].up
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Deliver(vm, process, event) => self.deliver(vm, process, *event),
            Action::Tick(vm, process) => self.tick(vm, process),
            Action::Apply(vm, process, call, transaction) => {
                let result = self.store.commit(&transaction);
                self.wake_waiters();
                self.answer_store(vm, process, call, result);
            }
            Action::Order(vm, process, call, server, epoch, order) => {
                self.obey(vm, process, call, server, epoch, &order);
            }
            Action::LateOrder(server, incarnation, epoch, order) => {
                if self.servers[server].incarnation == incarnation {
                    self.late = true;
                    self.obey(0, u64::MAX, 0, server, epoch, &order);
                    self.late = false;
                }
            }
            Action::Answer(vm, process, call, server, epoch) => {
                self.answer_hold(vm, process, call, server, epoch);
            }
            Action::Hand(n) => self.hand_in(n),
            Action::Send(call) => self.send_call(call),
            Action::Begin(fault) => self.begin(fault),
            Action::End(fault) => self.end(fault),
            Action::Registry(server) => self.publish(server),
            Action::Offer(vm, process, caller) => {
                if self.vms[vm].process == process && self.vms[vm].offers.contains_key(&caller) {
                    self.vms[vm].offers.remove(&caller);
                }
            }
        }
    }

    fn tick(&mut self, vm: usize, process: u64) {
        if self.vms[vm].process != process {
            return;
        }
        self.at(self.now + TICK, Action::Tick(vm, process));
        for server in 0..self.servers.len() {
            self.advance(server);
        }
        self.expire_waiters();
        if self.now >= self.calm_from {
            let broken = self.truth.cancelled(&self.clients, &self.servers, self.now);
            let now = self.now;
            self.report
                .broken
                .extend(broken.into_iter().map(|b| (now, b)));
        }
        if self.reaches_store(vm) {
            let asked = self.now;
            self.deliver(
                vm,
                process,
                Event::ConfigCurrent {
                    requested_at: asked,
                },
            );
        }
        self.deliver(vm, process, Event::Tick);
    }

    fn deliver(&mut self, vm: usize, process: u64, event: Event) {
        let entry = &mut self.vms[vm];
        if entry.process != process || !entry.up {
            return;
        }
        if entry.frozen {
            let later = self.now + Duration::from_millis(50);
            if !matches!(event, Event::Tick | Event::ConfigCurrent { .. }) {
                self.at(later, Action::Deliver(vm, process, Box::new(event)));
            }
            return;
        }
        let time = Time {
            now: self.now,
            unix: self.now,
        };
        let begun = Instant::now();
        entry.node.step(event, time);
        let mut effects = Vec::new();
        entry.node.settle(&mut effects);
        if entry.node.is_owner() {
            let took = begun.elapsed();
            self.report.turns += took;
            self.report.longest_turn = self.report.longest_turn.max(took);
        }
        let violations = match self.scale.verify {
            true => entry.node.verify(),
            false => Vec::new(),
        };
        for violation in violations {
            let broken = Broken::Books(violation.to_string());
            self.report.broken.push((self.now, broken));
        }
        for effect in effects {
            self.carry_out(vm, process, effect);
        }
    }

    fn later(&mut self, vm: usize, process: u64, after: Duration, event: Event) {
        let time = self.now + after;
        self.at(time, Action::Deliver(vm, process, Box::new(event)));
    }

    fn carry_out(&mut self, vm: usize, process: u64, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.replied(vm, caller, reply),
            Effect::Commit {
                call, transaction, ..
            } => self.commit(vm, process, call, transaction),
            Effect::Scan {
                call,
                table,
                from,
                limit,
            } => {
                let result = match self.reaches_store(vm) {
                    true => Ok(self.store.scan(table, &from, limit)),
                    false => Err(StoreError::Unavailable),
                };
                let takes = match self.has(Fault::StoreForgets) {
                    true => SLOW_SCAN,
                    false => HOP * 4,
                };
                self.later(vm, process, takes, Event::StoreAnswered { call, result });
            }
            Effect::Follow {
                call,
                table,
                after,
                wait,
            } => {
                let until = self.now + wait;
                self.store.waiters.push(Waiter {
                    vm,
                    process,
                    call,
                    table,
                    after,
                    until,
                });
                self.wake_waiters();
            }
            Effect::WatchServers(on) => {
                self.vms[vm].watches = on;
                if on {
                    let all = self.servers.iter().filter(|s| s.up && s.listed);
                    let all = all.map(listing).collect();
                    self.later(vm, process, HOP * 5, Event::ServersListed(all));
                }
            }
            Effect::Order {
                call,
                server,
                token,
                order,
                ..
            } => self.order(vm, process, call, &server, token, order),
            Effect::QueryPolicy { call, query } => {
                let result = Ok(advise(&query));
                self.later(
                    vm,
                    process,
                    query.expected_latency,
                    Event::PolicyAnswered { call, result },
                );
            }
            Effect::Offer { owner, offer } => self.offer(vm, process, &owner, offer),
            Effect::Log(notice) => {
                if self.trace {
                    println!("{:?} vm-{vm} {notice:?}", self.now);
                }
            }
            Effect::RecordMetric { .. } => {}
            Effect::Exit => self.vms[vm].up = false,
        }
    }

    fn commit(&mut self, vm: usize, process: u64, call: CallId, transaction: Transaction) {
        let lost = self.has(Fault::StoreLost) && self.rng.f64() < 0.35;
        let busy = self.has(Fault::StoreLost) && self.rng.f64() < 0.2;
        if busy {
            let result = Err(StoreError::Unavailable);
            self.later(vm, process, HOP * 4, Event::StoreAnswered { call, result });
            return;
        }
        match (self.reaches_store(vm), lost) {
            (true, false) => {
                let at = self.now + COMMIT;
                self.at(at, Action::Apply(vm, process, call, transaction));
            }
            (true, true) => {
                // Carried out, now or later, without an answer.
                let delay = Duration::from_millis(self.rng.u64(5..4_000));
                let at = self.now + delay;
                self.at(at, Action::Apply(vm, u64::MAX, call, transaction));
                let result = Err(StoreError::Unknown);
                self.later(vm, process, TIMEOUT, Event::StoreAnswered { call, result });
            }
            // Turned away with an answer, or without one.
            (false, _) if self.rng.bool() => {
                let result = Err(StoreError::Unavailable);
                self.later(vm, process, HOP * 4, Event::StoreAnswered { call, result });
            }
            (false, _) => {
                let result = Err(StoreError::Unknown);
                self.later(vm, process, TIMEOUT, Event::StoreAnswered { call, result });
            }
        }
    }

    fn answer_store(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        result: Result<StoreResponse, StoreError>,
    ) {
        self.later(vm, process, HOP * 3, Event::StoreAnswered { call, result });
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
                    self.later(waiter.vm, waiter.process, HOP * 4, event);
                }
                None => self.store.waiters.push(waiter),
            }
        }
    }

    fn expire_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.store.waiters);
        for waiter in waiters {
            if self.now < waiter.until {
                self.store.waiters.push(waiter);
                continue;
            }
            let result = match self.reaches_store(waiter.vm) {
                true => Ok(self.store.nothing()),
                false => Err(StoreError::Unavailable),
            };
            let call = waiter.call;
            let event = Event::ChangesReceived { call, result };
            self.later(waiter.vm, waiter.process, HOP * 4, event);
        }
    }

    fn offer(&mut self, vm: usize, process: u64, owner: &Name, offer: Offer) {
        let to: usize = owner.parse().unwrap_or(0);
        let lost = !self.vms[to].up || self.vms[to].frozen || !self.joined(vm, to);
        if lost {
            self.later(
                vm,
                process,
                TIMEOUT,
                Event::OfferAnswered(OfferResponse::Lost),
            );
            return;
        }
        self.next_caller += 1;
        let caller = self.next_caller;
        self.vms[to].offers.insert(caller, vm);
        let event = Event::Offer { caller, offer };
        let owner_process = self.vms[to].process;
        self.later(to, owner_process, HOP, event);
        // An owner that dies meanwhile never answers.
        let at = self.now + Duration::from_secs(2);
        self.at(at, Action::Offer(to, owner_process, caller));
    }

    fn replied(&mut self, vm: usize, caller: CallerId, reply: Reply) {
        if let Some(helper) = self.vms[vm].offers.remove(&caller) {
            if let Reply::Helper(response) = reply {
                let process = self.vms[helper].process;
                self.later(helper, process, HOP, Event::OfferAnswered(response));
            }
            return;
        }
        let Some(call) = self.vms[vm].callers.remove(&caller) else {
            return;
        };
        match call {
            Call::Submit(id) => self.submitted(&id, &reply),
            Call::State(id) => self.asked(&id, &reply),
            Call::Cancel(id) => self.cancel_answered(&id, &reply),
            Call::Pending(queue) => {
                let in_touch = self.now >= self.out_of_touch_until;
                if let (Reply::Pending(count), true) = (&reply, in_touch) {
                    let broken = self.truth.pending(queue, *count, &self.clients, self.now);
                    let now = self.now;
                    self.report.broken.extend(broken.map(|b| (now, b)));
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
        draining: server.draining,
    }
}

fn advise(query: &PolicyQuery) -> PolicyDecision {
    let granted = query
        .servers
        .iter()
        .filter(|server| checks::allows(&query.step.0, server))
        .map(|server| (server.clone(), Name::from("ticket")));
    PolicyDecision {
        granted: granted.collect(),
    }
}
