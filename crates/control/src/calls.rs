//! Calls to workers: claims, renewals, orders and what the reports say.
//!
//! One call at a time watches each worker: the worker holds its answer until
//! something changes there. Orders go at once in a call of their own and stay
//! queued until a report shows that the worker has them, so a lost call is
//! repeated by the next one.
//!
//! Invariant: after an accepted report the engine holds exactly the attempts
//! that the worker runs, plus those whose order is still queued.

use std::time::Duration;

use model::{
    Attempt, AttemptOutcome, Epoch, Finished, JobId, Name, Resources, Running, Start, Stop,
    TaskIndex, Vm, VmLifecycle, WorkerCall, WorkerReport,
};
use policy::{Outcome, WorkerId, WorkerState};

use crate::event::{Effect, WorkerFault};
use crate::node::Node;
use crate::notice::Notice;
use crate::owner::OwnerState;

/// Pause between two watches of one worker.
const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest watch while only workers can confirm the ownership.
const WITNESS_WATCH: Duration = Duration::from_millis(1_000);
/// Failed calls in a row after which a worker's leases are not renewed.
const MAX_MISSES: u32 = 2;

/// A worker with its queued orders.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) name: Name,
    pub(crate) rack: Name,
    pub(crate) address: Name,
    pub(crate) capacity: Resources,
    pub(crate) life: VmLifecycle,
    pub(crate) id: WorkerId,
    /// Time of the last call by which the worker confirmed this epoch.
    pub(crate) confirmed: Option<Duration>,
    /// True once a call of this epoch was accepted, until the worker is lost.
    pub(crate) claimed: bool,
    /// Latest time at which the VM list or the worker said that it stays.
    pub(crate) vouched: Option<Duration>,
    pub(crate) leaving: bool,
    pub(crate) misses: u32,
    pub(crate) next_call: Duration,
    /// Holder, its epoch and ms since its last call, by the last survey.
    pub(crate) holder_seen: Option<(Name, Epoch, u64)>,
    starts: Vec<Start>,
    stops: Vec<Stop>,
    acks: Vec<(JobId, TaskIndex, Attempt)>,
    /// Time at which leases were last renewed by a call that was sent.
    renewed: Option<Duration>,
    /// Version of the last report taken in.
    version: u64,
    busy: bool,
    watched: bool,
}

impl Backend {
    pub(crate) fn new(vm: &Vm, id: WorkerId, now: Duration) -> Self {
        Self {
            name: vm.name.clone(),
            rack: vm.rack.clone(),
            address: vm.address.clone(),
            capacity: vm.capacity,
            life: vm.life,
            id,
            confirmed: None,
            claimed: false,
            vouched: None,
            leaving: false,
            misses: 0,
            next_call: now,
            holder_seen: None,
            starts: Vec::new(),
            stops: Vec::new(),
            acks: Vec::new(),
            renewed: None,
            version: 0,
            busy: false,
            watched: false,
        }
    }

    /// Forgets an earlier epoch.
    pub(crate) fn begin_epoch(&mut self, now: Duration) {
        self.confirmed = None;
        self.claimed = false;
        self.misses = 0;
        self.next_call = now;
        self.starts.clear();
        self.stops.clear();
        self.acks.clear();
        self.renewed = None;
        self.version = 0;
        self.busy = false;
        self.watched = false;
    }

    /// True when it was known at `oldest` or later that the worker stays.
    fn stays(&self, oldest: Duration) -> bool {
        let vouched = self.vouched.is_some_and(|at| at >= oldest);
        self.life == VmLifecycle::Live && !self.leaving && vouched
    }

    /// True while an order waits or its answer is awaited.
    pub(crate) fn is_engaged(&self) -> bool {
        self.busy || (self.has_orders() && self.misses == 0)
    }

    fn has_orders(&self) -> bool {
        !self.starts.is_empty() || !self.stops.is_empty() || !self.acks.is_empty()
    }
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Asks for a report; claims and renews nothing.
    Survey,
    /// Claims the worker and carries orders.
    Order,
    /// Renews leases and waits for a change.
    Watch,
}

/// A call in flight.
#[derive(Debug)]
pub(crate) struct Contact {
    worker: usize,
    epoch: Epoch,
    sent: Duration,
    kind: Kind,
    starts: usize,
    stops: usize,
    acks: usize,
}

impl Node {
    /// Calls workers whose time has come.
    pub(crate) fn tick_workers(&mut self) {
        for at in 0..self.owner.workers.len() {
            self.declare_lost(at);
            if self.owner.workers[at].next_call <= self.now {
                self.call(at);
            }
        }
    }

    /// Calls workers that have new orders.
    pub(crate) fn send_orders(&mut self) {
        for at in 0..self.owner.workers.len() {
            if self.owner.workers[at].has_orders() && self.owner.workers[at].misses == 0 {
                self.call(at);
            }
        }
    }

    fn kind_of_call(&self, at: usize) -> Option<Kind> {
        let acting = match self.owner.state {
            // What runs can be told from a report only once the jobs are known.
            OwnerState::Claiming { .. } if !self.owner.jobs.loaded => return None,
            OwnerState::Claiming { .. } => true,
            OwnerState::Active => self.holds_lease(),
            OwnerState::Surveying { .. } => false,
            _ => return None,
        };
        let worker = &self.owner.workers[at];
        match worker {
            w if w.life == VmLifecycle::Gone => None,
            w if !acting || w.misses >= MAX_MISSES => (!w.busy).then_some(Kind::Survey),
            w if !w.busy && (w.has_orders() || !w.claimed) => Some(Kind::Order),
            w if !w.busy && !w.watched && !self.refuses_work() => Some(Kind::Watch),
            _ => None,
        }
    }

    fn call(&mut self, at: usize) {
        let Some(kind) = self.kind_of_call(at) else {
            return;
        };
        let by_store = self.confirmed_by_store();
        let worker = &mut self.owner.workers[at];
        let mut call = WorkerCall {
            epoch: self.owner.record.epoch,
            lease_ms: self.settings.timing.task_lease.as_millis() as u64,
            ..WorkerCall::default()
        };
        worker.next_call = self.now + RETRY_PAUSE;
        match kind {
            Kind::Survey => worker.busy = true,
            Kind::Order => {
                worker.busy = true;
                call.starts = worker.starts.clone();
                call.stops = worker.stops.clone();
                call.acks = worker.acks.clone();
            }
            Kind::Watch => {
                worker.watched = true;
                let sync = self.settings.timing.sync;
                let wait = if by_store {
                    sync
                } else {
                    sync.min(WITNESS_WATCH)
                };
                call.wait_ms = wait.as_millis() as u64;
                call.known = worker.version;
            }
        }
        if kind != Kind::Survey {
            worker.renewed = Some(self.now);
            call.holder = self.settings.identity.name.clone();
        }
        self.owner.next_call += 1;
        let id = self.owner.next_call;
        call.seq = id;
        let contact = Contact {
            worker: at,
            epoch: self.owner.record.epoch,
            sent: self.now,
            kind,
            starts: call.starts.len(),
            stops: call.stops.len(),
            acks: call.acks.len(),
        };
        self.owner.contacts.insert(id, contact);
        self.out.push(Effect::Worker {
            id,
            address: worker.address.clone(),
            call: Box::new(call),
        });
    }

    pub(crate) fn worker_answered(&mut self, id: u64, result: Result<WorkerReport, WorkerFault>) {
        let Some(contact) = self.owner.contacts.remove(&id) else {
            return;
        };
        let worker = &mut self.owner.workers[contact.worker];
        match contact.kind {
            Kind::Watch => worker.watched = false,
            Kind::Survey | Kind::Order => worker.busy = false,
        }
        match result {
            Err(_) => self.missed(&contact),
            Ok(report) if contact.kind == Kind::Survey => self.surveyed(&contact, report),
            Ok(report) if !report.accepted => self.rejected(&contact, &report),
            Ok(report) if contact.epoch == self.owner.record.epoch => {
                self.reported(&contact, report);
            }
            Ok(_) => {}
        }
    }

    fn missed(&mut self, contact: &Contact) {
        let worker = &mut self.owner.workers[contact.worker];
        if contact.kind != Kind::Survey {
            // The call may have arrived as late as this.
            worker.renewed = Some(self.now);
        }
        worker.misses += 1;
        if worker.misses == MAX_MISSES {
            let name = worker.name.clone();
            self.update_state(contact.worker);
            self.log(Notice::WorkerSilent(name));
        }
    }

    /// A worker that has accepted a higher epoch ends this one.
    fn rejected(&mut self, contact: &Contact, report: &WorkerReport) {
        let superseded = report.epoch > contact.epoch;
        if superseded && self.owner.holds_epoch() {
            self.step_down();
        }
    }

    fn surveyed(&mut self, contact: &Contact, report: WorkerReport) {
        let current = report.epoch == self.owner.record.epoch;
        let mine = report.holder == self.settings.identity.name && current;
        if report.epoch > self.owner.record.epoch && self.owner.holds_epoch() {
            return self.step_down();
        }
        let holds = self.owner.holds_epoch();
        let worker = &mut self.owner.workers[contact.worker];
        worker.holder_seen = Some((report.holder, report.epoch, report.contact_ms));
        if holds {
            worker.misses = 0;
            worker.next_call = self.now;
            if mine {
                worker.confirmed = Some(contact.sent);
            }
        }
    }

    fn reported(&mut self, contact: &Contact, report: WorkerReport) {
        let worker = &mut self.owner.workers[contact.worker];
        let was_silent = worker.misses >= MAX_MISSES || !worker.claimed;
        worker.misses = 0;
        worker.next_call = self.now + WATCH_PAUSE;
        worker.confirmed = worker.confirmed.max(Some(contact.sent));
        worker.claimed = true;
        worker
            .starts
            .drain(..contact.starts.min(worker.starts.len()));
        worker.stops.drain(..contact.stops.min(worker.stops.len()));
        worker.acks.drain(..contact.acks.min(worker.acks.len()));
        // A report older than one taken in already says nothing new.
        if !report.unchanged && report.version >= worker.version {
            worker.version = report.version;
            self.reconcile(contact.worker, &report);
        }
        let worker = &mut self.owner.workers[contact.worker];
        worker.leaving = report.leaving;
        if !report.leaving {
            worker.vouched = worker.vouched.max(Some(contact.sent));
        }
        if was_silent {
            let name = worker.name.clone();
            self.log(Notice::WorkerBack(name));
        }
        self.update_state(contact.worker);
    }

    /// Brings the engine's state of a worker up to date: it takes new work
    /// only while it answers and is known to stay.
    fn update_state(&mut self, at: usize) {
        let oldest = self.now.saturating_sub(self.settings.timing.vouched);
        let worker = &self.owner.workers[at];
        let state = match worker {
            w if !w.claimed => return,
            w if w.stays(oldest) && w.misses < MAX_MISSES => WorkerState::Active,
            _ => WorkerState::Draining,
        };
        let id = worker.id;
        if self.owner.engine.worker_state(id) != state {
            self.owner.engine.set_worker(id, state);
        }
    }

    /// Stops giving new work to backend servers that nobody vouches for.
    pub(crate) fn check_vouchers(&mut self) {
        let oldest = self.now.saturating_sub(self.settings.timing.vouched);
        for at in 0..self.owner.workers.len() {
            self.update_state(at);
            let worker = &self.owner.workers[at];
            self.dispatcher
                .set_usable(&worker.name, worker.stays(oldest));
        }
    }

    /// Makes the engine's view of a worker equal to its report.
    fn reconcile(&mut self, at: usize, report: &WorkerReport) {
        for finished in &report.finished {
            self.task_finished(at, finished);
        }
        for running in &report.running {
            if !self.is_engaged(at, running) {
                self.adopt_running(at, running);
            }
        }
        let id = self.owner.workers[at].id;
        let vanished: Vec<_> = self
            .owner
            .engine
            .attempts_on(id)
            .filter(|(job, task, attempt)| {
                let Some(name) = self.owner.jobs.id_of(*job) else {
                    return false;
                };
                let same =
                    |j: &JobId, t: TaskIndex, a: Attempt| j == name && t == *task && a == *attempt;
                let runs = report
                    .running
                    .iter()
                    .any(|r| same(&r.job, r.task, r.attempt));
                let queued = self.owner.workers[at]
                    .starts
                    .iter()
                    .any(|s| same(&s.job, s.task, s.attempt));
                !runs && !queued
            })
            .collect();
        let now_ms = self.now.as_millis() as u64;
        for (job, task, attempt) in vanished {
            let outcome = Outcome::Interrupted;
            self.owner
                .engine
                .record_end(id, job, task, attempt, outcome, now_ms);
        }
        self.release_ended_orphans(at, report);
    }

    fn is_engaged(&self, at: usize, running: &Running) -> bool {
        let id = self.owner.workers[at].id;
        self.owner.jobs.is_orphan(at, running)
            || self.owner.jobs.find_ref(&running.job).is_some_and(|job| {
                let wanted = (job, running.task, running.attempt);
                self.owner
                    .engine
                    .attempts_on(id)
                    .any(|found| found == wanted)
            })
    }

    fn task_finished(&mut self, at: usize, finished: &Finished) {
        let outcome = match finished.ended {
            AttemptOutcome::Completed => Outcome::Completed,
            AttemptOutcome::Failed => Outcome::Failed,
            AttemptOutcome::Stopped | AttemptOutcome::Lapsed => Outcome::Interrupted,
        };
        let Some(job) = self.owner.jobs.find_ref(&finished.job) else {
            return self.acknowledge(at, finished);
        };
        let id = self.owner.workers[at].id;
        let now_ms = self.now.as_millis() as u64;
        let (task, attempt) = (finished.task, finished.attempt);
        self.owner
            .engine
            .record_end(id, job, task, attempt, outcome, now_ms);
        match outcome {
            Outcome::Completed => self.task_completed(at, finished),
            _ => self.acknowledge(at, finished),
        }
    }

    /// Lets the worker forget a finished attempt.
    pub(crate) fn acknowledge(&mut self, at: usize, finished: &Finished) {
        let ack = (finished.job.clone(), finished.task, finished.attempt);
        let acks = &mut self.owner.workers[at].acks;
        if !acks.contains(&ack) {
            acks.push(ack);
        }
    }

    /// Queues the start of a task.
    pub(crate) fn order_start(&mut self, worker: WorkerId, start: Start) {
        let found = self.owner.workers.iter_mut().find(|w| w.id == worker);
        found.into_iter().for_each(|w| w.starts.push(start.clone()));
    }

    /// Queues the stop of an attempt; a start still queued goes with it, and
    /// the worker refuses it if it has got it.
    pub(crate) fn order_stop(&mut self, worker: WorkerId, stop: Stop) {
        let found = self.owner.workers.iter_mut().find(|w| w.id == worker);
        found.into_iter().for_each(|w| w.stops.push(stop.clone()));
    }

    /// Gives up on a silent worker once all its tasks have surely ended.
    fn declare_lost(&mut self, at: usize) {
        if !self.owner.is_active() {
            return;
        }
        let worker = &self.owner.workers[at];
        let over = worker
            .renewed
            .is_some_and(|sent| sent + self.settings.timing.surely_lapsed() <= self.now);
        if !worker.claimed || worker.misses < MAX_MISSES || !over {
            return;
        }
        let (id, name) = (worker.id, worker.name.clone());
        let worker = &mut self.owner.workers[at];
        worker.claimed = false;
        worker.version = 0;
        worker.starts.clear();
        worker.stops.clear();
        worker.acks.clear();
        self.log(Notice::WorkerLost(name));
        let now_ms = self.now.as_millis() as u64;
        let lost: Vec<_> = self.owner.engine.attempts_on(id).collect();
        for (job, task, attempt) in lost {
            let outcome = Outcome::Interrupted;
            self.owner
                .engine
                .record_end(id, job, task, attempt, outcome, now_ms);
        }
        self.owner.jobs.drop_orphans(at);
        self.owner.engine.set_worker(id, WorkerState::Lost);
    }
}
