//! Delivery of orders to backend servers, and handling of the events there.
//!
//! Invariant: every order gets a response, or counts as lost after a time-out.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{JobId, Name, RunOutcome, TaskId};
use sched::{CallId, Event, Order, OrderResponse};

use crate::graphs::callers::JobKind;
use crate::graphs::checks::Moment;
use crate::graphs::faults::Fault;
use crate::graphs::server::RunEvent;
use crate::graphs::world::{Action, CALL_TIMEOUT, CONTACT_TIME, NETWORK_LATENCY, Simulation};

/// Time from the start of a task that crashes its backend server until the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time from such a crash until the backend server is back.
const CRASH_DOWNTIME: Duration = Duration::from_millis(2_500);

impl Simulation {
    pub(super) fn send_order(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        server: &Name,
        epoch: u64,
        order: Box<Order>,
    ) {
        let index = self.servers.iter().position(|s| s.id == *server);
        let Some(server) = index.filter(|server| self.reaches_server(vm, *server)) else {
            self.time_out_order(vm, process, call);
            return;
        };
        let late = self.is_fault_active(Fault::LateOrders) && self.rng.f64() < 0.2;
        if late {
            let delay = Duration::from_millis(self.rng.u64(1_000..6_000));
            let incarnation = self.servers[server].incarnation;
            let action = Action::DeliverLateOrder(server, incarnation, epoch, order);
            self.schedule_at(self.now + delay, action);
            self.time_out_order(vm, process, call);
            return;
        }
        let is_start = matches!(*order, Order::Start { .. });
        let hasty = self.is_fault_active(Fault::HastyLeavers) && [2, 5].contains(&server);
        if hasty && is_start && self.rng.f64() < 0.3 {
            let delay = Duration::from_millis(self.rng.u64(300..1_500));
            let incarnation = self.servers[server].incarnation;
            let action = Action::DeliverLateOrder(server, incarnation, epoch, order);
            self.schedule_at(self.now + delay, action);
            self.time_out_order(vm, process, call);
            return;
        }
        let outlives = self.is_fault_active(Fault::OutlivingOrders)
            && self.now < self.outlived_crash.start
            && [2, 5].contains(&server)
            && self.rng.bool();
        if outlives {
            let at = self.outlived_crash.end + Duration::from_millis(self.rng.u64(1..300));
            let next = self.servers[server].incarnation + 1;
            let action = Action::DeliverLateOrder(server, next, epoch, order);
            self.schedule_at(at, action);
            self.time_out_order(vm, process, call);
            return;
        }
        let action = Action::DeliverOrder(vm, process, call, server, epoch, order);
        self.schedule_at(self.now + NETWORK_LATENCY, action);
    }

    pub(super) fn time_out_order(&mut self, vm: usize, process: u64, call: CallId) {
        let result = Err(sched::OrderError::Lost);
        self.deliver_after(
            vm,
            process,
            CALL_TIMEOUT,
            Event::OrderAnswered { call, result },
        );
    }

    pub(super) fn execute_order(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        server: usize,
        epoch: u64,
        order: &Order,
    ) {
        if !self.servers[server].up {
            self.time_out_order(vm, process, call);
            return;
        }
        let behaviour = match order {
            Order::Start { run, .. } => {
                let job = self.jobs.get(&run.task.job);
                job.and_then(|job| job.task_behaviour(&run.task))
            }
            _ => None,
        };
        let mut events = Vec::new();
        let entry = &mut self.servers[server];
        let outcome = entry.execute_order(epoch, order, behaviour.as_ref(), self.now, &mut events);
        self.record_events(server, &events);
        self.form_gangs();
        self.schedule_crash(server, &events);
        let waits = match order {
            Order::RenewLease { max_wait, .. } => {
                !max_wait.is_zero() && !self.servers[server].has_unacknowledged_ends()
            }
            _ => false,
        };
        match (order, waits) {
            (Order::RenewLease { max_wait, .. }, true) => {
                // Responds after a quarter of the longest wait, as if a run had ended
                // in the meantime.
                let at = self.now + *max_wait / 4;
                self.schedule_at(at, Action::AnswerRenewal(vm, process, call, server, epoch));
            }
            _ => self.answer_order(vm, process, call, server, outcome),
        }
    }

    /// Schedules the crash of a backend server that has started a task that crashes it.
    fn schedule_crash(&mut self, server: usize, events: &[RunEvent]) {
        for event in events {
            let RunEvent::Started(run) = event else {
                continue;
            };
            let job = self.jobs.get(&run.task.job);
            if job.is_some_and(|job| job.crashes_server(&run.task)) {
                let incarnation = self.servers[server].incarnation;
                let crash = Action::CrashByTask(server, incarnation, run.task.clone());
                self.schedule_at(self.now + CRASH_DELAY, crash);
            }
        }
    }

    /// Crashes a backend server under a run of a task, if the run is still there.
    pub(super) fn crash_by_task(&mut self, server: usize, incarnation: u64, task: &TaskId) {
        let entry = &self.servers[server];
        let runs = entry.up && entry.active_runs.contains_key(task);
        if !runs || entry.incarnation != incarnation {
            return;
        }
        if self.trace {
            println!("{:?} s{server} crashed by {task:?}", self.now);
        }
        self.checker.record_crash(task);
        self.crash_servers(&[server]);
        self.end_gang(task, RunOutcome::Failed);
        let restart = Action::RestartCrashed(server, incarnation);
        self.schedule_at(self.now + CRASH_DOWNTIME, restart);
        // The cell is not calm around a crash.
        let calm_at = self.now + CRASH_DOWNTIME + CONTACT_TIME;
        self.calm_at = self.calm_at.max(calm_at);
        self.undisturbed_at = self.undisturbed_at.max(calm_at);
    }

    /// Responds to an order. A backend server that leaves in haste does so as soon
    /// as it has listed an end, in a response that others may overtake.
    fn answer_order(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        server: usize,
        outcome: OrderResponse,
    ) {
        let lists_end = match &outcome {
            OrderResponse::Lists(lists) => !lists.finished.is_empty(),
            _ => false,
        };
        let hasty = self.is_fault_active(Fault::HastyLeavers) && self.servers[server].draining;
        let latency = match hasty && lists_end && process != u64::MAX {
            true => {
                let leave_at = self.now + NETWORK_LATENCY;
                self.schedule_at(leave_at, Action::CrashServer(server));
                Duration::from_millis(self.rng.u64(1..300))
            }
            false => NETWORK_LATENCY,
        };
        let result = Ok(outcome);
        let event = Event::OrderAnswered { call, result };
        self.deliver_after(vm, process, latency, event);
    }

    pub(super) fn answer_renewal(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        server: usize,
        epoch: u64,
    ) {
        if !self.reaches_server(vm, server) {
            self.time_out_order(vm, process, call);
            return;
        }
        let renewal = Order::RenewLease {
            lease_end: None,
            acknowledged: 0,
            max_wait: Duration::ZERO,
        };
        let mut events = Vec::new();
        let entry = &mut self.servers[server];
        let outcome = entry.execute_order(epoch, &renewal, None, self.now, &mut events);
        self.record_events(server, &events);
        self.answer_order(vm, process, call, server, outcome);
    }

    pub(super) fn advance_server(&mut self, server: usize) {
        let mut events = Vec::new();
        self.servers[server].advance(self.now, &mut events);
        self.record_events(server, &events);
    }

    pub(super) fn record_events(&mut self, server: usize, events: &[RunEvent]) {
        let mut violations = Vec::new();
        let moment = Moment {
            now: self.now,
            bounds_apply: self.now >= self.store_settled_at && !self.executing_late_order,
            order_is_late: self.executing_late_order,
        };
        for event in events {
            if self.trace {
                println!("{:?} s{server} {event:?}", self.now);
            }
            let (servers, jobs) = (&self.servers, &self.jobs);
            self.checker
                .record(server, event, servers, jobs, moment, &mut violations);
            if let RunEvent::Ended(run, end) = event {
                self.end_gang(&run.task, *end);
            }
        }
        let now = self.now;
        self.report
            .violations
            .extend(violations.into_iter().map(|violation| (now, violation)));
    }

    /// Sets the end of each gang of which all members have started.
    pub(super) fn form_gangs(&mut self) {
        let mut members: BTreeMap<(JobId, u32, u64), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (index, server) in self.servers.iter().enumerate().filter(|(_, s)| s.up) {
            for (task, active) in &server.active_runs {
                let waits = active
                    .planned_end
                    .is_some_and(|(_, end)| end == RunOutcome::GangIncomplete);
                if waits {
                    let gang = (task.job.clone(), task.step, active.number);
                    members.entry(gang).or_default().push((index, task.clone()));
                }
            }
        }
        for ((job, step, _), members) in members {
            let gang_size = self.jobs[&job].graph.steps[step as usize].tasks;
            if members.len() as u32 == gang_size {
                let end_at = self.now + Duration::from_millis(600);
                for (index, task) in members {
                    if let Some(active) = self.servers[index].active_runs.get_mut(&task) {
                        active.planned_end = Some((end_at, RunOutcome::Completed));
                    }
                }
            }
        }
    }

    /// Ends the other members of a gang when one member ends. If the gang is
    /// completed, only the first end is reported.
    pub(super) fn end_gang(&mut self, task: &TaskId, end: RunOutcome) {
        let gang = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.kind == JobKind::Gang);
        if !gang || end == RunOutcome::GangMemberEnded {
            return;
        }
        for server in 0..self.servers.len() {
            let others: Vec<TaskId> = self.servers[server]
                .active_runs
                .keys()
                .filter(|other| other.job == task.job && other.step == task.step)
                .cloned()
                .collect();
            for other in others {
                let mut events = Vec::new();
                match end {
                    RunOutcome::Completed => drop(self.servers[server].active_runs.remove(&other)),
                    _ => self.servers[server].end_run(
                        &other,
                        RunOutcome::GangMemberEnded,
                        &mut events,
                    ),
                }
                self.record_events(server, &events);
            }
        }
    }
}
