//! Worker calls: claims, lease renewals, orders and report processing.
//!
//! Each worker has at most one watch call in flight, a long poll that the
//! worker answers when its state changes. Orders are sent immediately in a
//! separate call and stay queued until a report confirms their receipt, so the
//! next call repeats the orders of a lost one.
//!
//! Invariant: after an accepted report, the engine tracks exactly the attempts
//! that the worker runs and those whose start order is still queued.

use std::time::Duration;

use model::{
    Attempt, AttemptOutcome, Epoch, Finished, JobId, Name, Resources, Running, Start, Stop,
    TaskIndex, Vm, VmLifecycle, WorkerCall, WorkerReport,
};
use policy::{Outcome, WorkerId, WorkerState};

use crate::event::{Effect, WorkerError};
use crate::node::Node;
use crate::notice::Notice;
use crate::owner::OwnerState;

/// Delay between two watch calls to one worker.
const WATCH_DELAY: Duration = Duration::from_millis(20);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum duration of a watch call while only the workers, and not the store,
/// confirm the ownership.
const QUORUM_WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of consecutive failed calls after which a worker's leases are no
/// longer renewed.
const MAX_FAILED_CALLS: u32 = 2;

/// State of a worker and its queued orders.
#[derive(Debug)]
pub(crate) struct TrackedWorker {
    pub(crate) name: Name,
    pub(crate) rack: Name,
    pub(crate) address: Name,
    pub(crate) capacity: Resources,
    pub(crate) life: VmLifecycle,
    pub(crate) id: WorkerId,
    /// Send time of the last call with which the worker confirmed this epoch.
    pub(crate) confirmed_at: Option<Duration>,
    /// True from the first accepted call of this epoch until the worker is
    /// declared lost.
    pub(crate) claimed: bool,
    /// Latest time at which the VM list or the worker itself indicated that the
    /// worker is not leaving.
    pub(crate) in_service_at: Option<Duration>,
    pub(crate) leaving: bool,
    pub(crate) failed_calls: u32,
    pub(crate) next_call_at: Duration,
    /// Result of the last survey: the worker's holder, its epoch and the time in
    /// ms since its last call.
    pub(crate) reported_holder: Option<(Name, Epoch, u64)>,
    starts: Vec<Start>,
    stops: Vec<Stop>,
    acks: Vec<(JobId, TaskIndex, Attempt)>,
    /// Latest time at which a call may have renewed the worker's leases.
    leases_renewed_at: Option<Duration>,
    /// Version of the last report applied.
    report_version: u64,
    call_in_flight: bool,
    watch_in_flight: bool,
}

impl TrackedWorker {
    pub(crate) fn new(vm: &Vm, id: WorkerId, now: Duration) -> Self {
        Self {
            name: vm.name.clone(),
            rack: vm.rack.clone(),
            address: vm.address.clone(),
            capacity: vm.capacity,
            life: vm.life,
            id,
            confirmed_at: None,
            claimed: false,
            in_service_at: None,
            leaving: false,
            failed_calls: 0,
            next_call_at: now,
            reported_holder: None,
            starts: Vec::new(),
            stops: Vec::new(),
            acks: Vec::new(),
            leases_renewed_at: None,
            report_version: 0,
            call_in_flight: false,
            watch_in_flight: false,
        }
    }

    /// Resets the state of earlier epochs.
    pub(crate) fn begin_epoch(&mut self, now: Duration) {
        self.confirmed_at = None;
        self.claimed = false;
        self.failed_calls = 0;
        self.next_call_at = now;
        self.starts.clear();
        self.stops.clear();
        self.acks.clear();
        self.leases_renewed_at = None;
        self.report_version = 0;
        self.call_in_flight = false;
        self.watch_in_flight = false;
    }

    /// Returns whether the worker is live, is not leaving, and was known to be in
    /// service at `oldest` or later.
    fn in_service_since(&self, oldest: Duration) -> bool {
        let recent = self.in_service_at.is_some_and(|at| at >= oldest);
        self.life == VmLifecycle::Live && !self.leaving && recent
    }

    /// Returns whether a survey or order call is in flight or orders are queued
    /// for a reachable worker.
    pub(crate) fn has_outstanding_orders(&self) -> bool {
        self.call_in_flight || (self.has_orders() && self.failed_calls == 0)
    }

    fn has_orders(&self) -> bool {
        !self.starts.is_empty() || !self.stops.is_empty() || !self.acks.is_empty()
    }
}

/// Kind of a worker call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    /// Requests a report without claiming the worker or renewing leases.
    Survey,
    /// Claims the worker, renews leases and carries orders.
    Order,
    /// Renews leases and waits for a change at the worker.
    Watch,
}

/// Worker call in flight, with the number of orders it carries.
#[derive(Debug)]
pub(crate) struct InFlightCall {
    worker_index: usize,
    epoch: Epoch,
    sent_at: Duration,
    kind: CallKind,
    starts: usize,
    stops: usize,
    acks: usize,
}

impl Node {
    /// Declares unreachable workers lost and calls workers that are due.
    pub(crate) fn tick_workers(&mut self) {
        for index in 0..self.owner.workers.len() {
            self.expire_worker(index);
            if self.owner.workers[index].next_call_at <= self.now {
                self.call_worker(index);
            }
        }
    }

    /// Sends queued orders to reachable workers.
    pub(crate) fn send_orders(&mut self) {
        for index in 0..self.owner.workers.len() {
            if self.owner.workers[index].has_orders() && self.owner.workers[index].failed_calls == 0
            {
                self.call_worker(index);
            }
        }
    }

    fn next_call_kind(&self, index: usize) -> Option<CallKind> {
        let acting = match self.owner.state {
            // Reported tasks can be matched only after the jobs are loaded.
            OwnerState::Claiming { .. } if !self.owner.jobs.loaded => return None,
            OwnerState::Claiming { .. } => true,
            OwnerState::Active => self.holds_lease(),
            OwnerState::Surveying { .. } => false,
            _ => return None,
        };
        let worker = &self.owner.workers[index];
        match worker {
            w if w.life == VmLifecycle::Gone => None,
            w if !acting || w.failed_calls >= MAX_FAILED_CALLS => {
                (!w.call_in_flight).then_some(CallKind::Survey)
            }
            w if !w.call_in_flight && (w.has_orders() || !w.claimed) => Some(CallKind::Order),
            w if !w.call_in_flight && !w.watch_in_flight && !self.refuses_work() => {
                Some(CallKind::Watch)
            }
            _ => None,
        }
    }

    fn call_worker(&mut self, index: usize) {
        let Some(kind) = self.next_call_kind(index) else {
            return;
        };
        let confirmed_by_store = self.confirmed_by_store();
        let may_start = self.may_start();
        let worker = &mut self.owner.workers[index];
        let mut call = WorkerCall {
            epoch: self.owner.record.epoch,
            lease_ms: self.settings.timing.task_lease.as_millis() as u64,
            ..WorkerCall::default()
        };
        worker.next_call_at = self.now + RETRY_DELAY;
        let starts = match kind {
            CallKind::Order => worker.starts.len(),
            CallKind::Survey | CallKind::Watch => 0,
        };
        match kind {
            CallKind::Survey => worker.call_in_flight = true,
            CallKind::Order => {
                worker.call_in_flight = true;
                // While nothing may start, the call carries no starts but is
                // counted as if it did: the queued starts end with its report,
                // which shows those that an earlier call started. The worker
                // rejects earlier calls that arrive after this one.
                if may_start {
                    call.starts = worker.starts.clone();
                }
                call.stops = worker.stops.clone();
                call.acks = worker.acks.clone();
            }
            CallKind::Watch => {
                worker.watch_in_flight = true;
                let sync = self.settings.timing.sync;
                let wait = if confirmed_by_store {
                    sync
                } else {
                    sync.min(QUORUM_WATCH_TIMEOUT)
                };
                call.wait_ms = wait.as_millis() as u64;
                call.known = worker.report_version;
            }
        }
        if kind != CallKind::Survey {
            worker.leases_renewed_at = Some(self.now);
            call.holder = self.settings.identity.name.clone();
        }
        self.owner.last_call_id += 1;
        let id = self.owner.last_call_id;
        call.seq = id;
        let in_flight = InFlightCall {
            worker_index: index,
            epoch: self.owner.record.epoch,
            sent_at: self.now,
            kind,
            starts,
            stops: call.stops.len(),
            acks: call.acks.len(),
        };
        self.owner.calls_in_flight.insert(id, in_flight);
        self.effects.push(Effect::Worker {
            id,
            address: worker.address.clone(),
            call: Box::new(call),
        });
    }

    pub(crate) fn handle_worker_result(
        &mut self,
        id: u64,
        result: Result<WorkerReport, WorkerError>,
    ) {
        let Some(in_flight) = self.owner.calls_in_flight.remove(&id) else {
            return;
        };
        let worker = &mut self.owner.workers[in_flight.worker_index];
        match in_flight.kind {
            CallKind::Watch => worker.watch_in_flight = false,
            CallKind::Survey | CallKind::Order => worker.call_in_flight = false,
        }
        match result {
            Err(_) => self.handle_call_failure(&in_flight),
            Ok(report) if in_flight.kind == CallKind::Survey => {
                self.handle_survey(&in_flight, report)
            }
            Ok(report) if !report.accepted => self.handle_rejection(&in_flight, &report),
            Ok(report) if in_flight.epoch == self.owner.record.epoch => {
                self.handle_report(&in_flight, report);
            }
            Ok(_) => {}
        }
    }

    fn handle_call_failure(&mut self, in_flight: &InFlightCall) {
        let worker = &mut self.owner.workers[in_flight.worker_index];
        if in_flight.kind != CallKind::Survey {
            // The call may have renewed the leases at any time up to now.
            worker.leases_renewed_at = Some(self.now);
        }
        worker.failed_calls += 1;
        if worker.failed_calls == MAX_FAILED_CALLS {
            let name = worker.name.clone();
            self.update_worker_state(in_flight.worker_index);
            self.log(Notice::WorkerUnreachable(name));
        }
    }

    /// Steps down if the worker has accepted a later epoch.
    fn handle_rejection(&mut self, in_flight: &InFlightCall, report: &WorkerReport) {
        let superseded = report.epoch > in_flight.epoch;
        if superseded && self.owner.holds_epoch() {
            self.step_down();
        }
    }

    fn handle_survey(&mut self, in_flight: &InFlightCall, report: WorkerReport) {
        let current = report.epoch == self.owner.record.epoch;
        let held_here = report.holder == self.settings.identity.name && current;
        if report.epoch > self.owner.record.epoch && self.owner.holds_epoch() {
            return self.step_down();
        }
        let holds = self.owner.holds_epoch();
        let worker = &mut self.owner.workers[in_flight.worker_index];
        worker.reported_holder = Some((report.holder, report.epoch, report.contact_ms));
        if holds {
            worker.failed_calls = 0;
            worker.next_call_at = self.now;
            if held_here {
                worker.confirmed_at = Some(in_flight.sent_at);
            }
        }
    }

    fn handle_report(&mut self, in_flight: &InFlightCall, report: WorkerReport) {
        let worker = &mut self.owner.workers[in_flight.worker_index];
        let was_unreachable = worker.failed_calls >= MAX_FAILED_CALLS || !worker.claimed;
        worker.failed_calls = 0;
        worker.next_call_at = self.now + WATCH_DELAY;
        worker.confirmed_at = worker.confirmed_at.max(Some(in_flight.sent_at));
        worker.claimed = true;
        worker
            .starts
            .drain(..in_flight.starts.min(worker.starts.len()));
        worker
            .stops
            .drain(..in_flight.stops.min(worker.stops.len()));
        worker.acks.drain(..in_flight.acks.min(worker.acks.len()));
        // Reports may arrive out of order; an older one is ignored.
        if !report.unchanged && report.version >= worker.report_version {
            worker.report_version = report.version;
            self.reconcile(in_flight.worker_index, &report);
        }
        let worker = &mut self.owner.workers[in_flight.worker_index];
        worker.leaving = report.leaving;
        if !report.leaving {
            worker.in_service_at = worker.in_service_at.max(Some(in_flight.sent_at));
        }
        if was_unreachable {
            let name = worker.name.clone();
            self.log(Notice::WorkerReachable(name));
        }
        self.update_worker_state(in_flight.worker_index);
    }

    /// Updates the engine's state of a worker. Only a worker that is reachable
    /// and known to be in service receives new tasks.
    fn update_worker_state(&mut self, index: usize) {
        let oldest = self
            .now
            .saturating_sub(self.settings.timing.in_service_max_age);
        let may_start = self.may_start();
        let worker = &self.owner.workers[index];
        let state = match worker {
            w if !w.claimed => return,
            w if may_start && w.in_service_since(oldest) && w.failed_calls < MAX_FAILED_CALLS => {
                WorkerState::Active
            }
            _ => WorkerState::Draining,
        };
        let id = worker.id;
        if self.owner.engine.worker_state(id) != state {
            self.owner.engine.set_worker_state(id, state);
        }
    }

    /// Updates which backend servers may receive new work: only those known to be
    /// in service within the last `in_service_max_age`, and none while the data
    /// centre is evacuated.
    pub(crate) fn update_usable_workers(&mut self) {
        let oldest = self
            .now
            .saturating_sub(self.settings.timing.in_service_max_age);
        for index in 0..self.owner.workers.len() {
            self.update_worker_state(index);
            let worker = &self.owner.workers[index];
            let usable = self.may_start() && worker.in_service_since(oldest);
            self.dispatcher.set_usable(&worker.name, usable);
        }
    }

    /// Reconciles the engine's view of a worker with its report.
    fn reconcile(&mut self, index: usize, report: &WorkerReport) {
        for finished in &report.finished {
            self.task_finished(index, finished);
        }
        for running in &report.running {
            if !self.is_tracked(index, running) {
                self.adopt_running(index, running);
            }
        }
        let id = self.owner.workers[index].id;
        let vanished: Vec<_> = self
            .owner
            .engine
            .attempts_on(id)
            .filter(|(job, task, attempt)| {
                let Some(job_id) = self.owner.jobs.id_of(*job) else {
                    return false;
                };
                let same = |j: &JobId, t: TaskIndex, a: Attempt| {
                    j == job_id && t == *task && a == *attempt
                };
                let runs = report
                    .running
                    .iter()
                    .any(|r| same(&r.job, r.task, r.attempt));
                let queued = self.owner.workers[index]
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
        self.release_ended_orphans(index, report);
    }

    /// Returns whether a running attempt is already tracked by the engine or as
    /// an orphan.
    fn is_tracked(&self, index: usize, running: &Running) -> bool {
        let id = self.owner.workers[index].id;
        self.owner.jobs.is_orphan(index, running)
            || self.owner.jobs.find_ref(&running.job).is_some_and(|job| {
                let wanted = (job, running.task, running.attempt);
                self.owner
                    .engine
                    .attempts_on(id)
                    .any(|found| found == wanted)
            })
    }

    fn task_finished(&mut self, index: usize, finished: &Finished) {
        let outcome = match finished.outcome {
            AttemptOutcome::Completed => Outcome::Completed,
            AttemptOutcome::Failed => Outcome::Failed,
            AttemptOutcome::Stopped | AttemptOutcome::Lapsed => Outcome::Interrupted,
        };
        let Some(job) = self.owner.jobs.find_ref(&finished.job) else {
            return self.queue_ack(index, finished);
        };
        let id = self.owner.workers[index].id;
        let now_ms = self.now.as_millis() as u64;
        let (task, attempt) = (finished.task, finished.attempt);
        self.owner
            .engine
            .record_end(id, job, task, attempt, outcome, now_ms);
        match outcome {
            Outcome::Completed => self.task_completed(index, finished),
            _ => self.queue_ack(index, finished),
        }
    }

    /// Queues an acknowledgement, after which the worker no longer reports the
    /// finished attempt.
    pub(crate) fn queue_ack(&mut self, index: usize, finished: &Finished) {
        let ack = (finished.job.clone(), finished.task, finished.attempt);
        let acks = &mut self.owner.workers[index].acks;
        if !acks.contains(&ack) {
            acks.push(ack);
        }
    }

    /// Queues a start order.
    pub(crate) fn queue_start(&mut self, worker: WorkerId, start: Start) {
        let found = self.owner.workers.iter_mut().find(|w| w.id == worker);
        found.into_iter().for_each(|w| w.starts.push(start.clone()));
    }

    /// Queues a stop order. If the start of the attempt is still queued, both are
    /// sent in one call; the worker rejects the start if it has already received
    /// it.
    pub(crate) fn queue_stop(&mut self, worker: WorkerId, stop: Stop) {
        let found = self.owner.workers.iter_mut().find(|w| w.id == worker);
        found.into_iter().for_each(|w| w.stops.push(stop.clone()));
    }

    /// Declares an unreachable worker lost once the leases of all its tasks must
    /// have expired.
    fn expire_worker(&mut self, index: usize) {
        if !self.owner.is_active() {
            return;
        }
        let worker = &self.owner.workers[index];
        let lapsed = worker
            .leases_renewed_at
            .is_some_and(|at| at + self.settings.timing.max_task_lapse() <= self.now);
        if !worker.claimed || worker.failed_calls < MAX_FAILED_CALLS || !lapsed {
            return;
        }
        let (id, name) = (worker.id, worker.name.clone());
        let worker = &mut self.owner.workers[index];
        worker.claimed = false;
        worker.report_version = 0;
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
        self.owner.jobs.drop_orphans(index);
        self.owner.engine.set_worker_state(id, WorkerState::Lost);
    }
}
