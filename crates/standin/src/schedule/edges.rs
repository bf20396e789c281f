//! Simulated network between nodes, table service, workers and executors.
//!
//! Invariant: a call that is reported as not sent or not run has no effect. In
//! all other cases the call may take effect even if its response is lost.

use compact_str::format_compact;
use control::{Event, Execute, ExecuteError, ExecutorResponse, TableCall, WorkerError};
use model::{AttemptOutcome, Name, TableError, WorkerCall};
use wire::Frame;

use crate::executor::echo_response;
use crate::schedule::{ENTRY_DATA_CENTRES, ScheduledEvent, Simulation};
use crate::worker::TaskEvent;

/// Timeout of a table call, in ms.
const TABLE_CALL_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a worker call, in ms, in addition to the time for which the worker
/// may delay its response.
const WORKER_CALL_TIMEOUT_MS: u64 = 1_000;
/// Timeout of a request to an executor, in ms.
const EXECUTE_TIMEOUT_MS: u64 = 30_000;
/// Interval at which delayed worker responses are re-evaluated, in ms.
const DELAYED_RESPONSE_POLL_MS: u64 = 20;
/// Delay of the VM list, in ms.
const VM_LIST_DELAY_MS: u64 = 1_500;

impl Simulation {
    pub(crate) fn handle_scheduled_event(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Deliver(entry_vm, incarnation, event) => {
                if self.entry_vms[entry_vm].incarnation == incarnation {
                    self.step(entry_vm, *event);
                }
            }
            ScheduledEvent::Table(entry_vm, incarnation, id, call, drop_response) => {
                self.serve_table(entry_vm, incarnation, id, &call, drop_response)
            }
            ScheduledEvent::Worker(entry_vm, incarnation, id, worker, call, drop_response) => {
                self.serve_worker(entry_vm, incarnation, id, worker, &call, drop_response);
            }
            ScheduledEvent::DelayedResponse(entry_vm, incarnation, id, worker, call, until_ms) => {
                self.poll_delayed_response(entry_vm, incarnation, id, worker, call, until_ms);
            }
            ScheduledEvent::Execute(entry_vm, incarnation, worker, execute) => {
                self.start_run(entry_vm, incarnation, worker, *execute)
            }
            ScheduledEvent::RunEnds(entry_vm, incarnation, id, worker, team, body) => {
                self.executors[worker].release_slot();
                self.ledger.run_ended(&team);
                let body = echo_response(&body);
                let result = Ok(ExecutorResponse { status: 200, body });
                let lost = self.worker_unreachable[worker];
                match lost {
                    false => {
                        self.deliver(entry_vm, incarnation, Event::ExecuteResult { id, result })
                    }
                    true => {
                        let result = Err(ExecuteError::Lost);
                        self.deliver_after(
                            EXECUTE_TIMEOUT_MS,
                            entry_vm,
                            incarnation,
                            Event::ExecuteResult { id, result },
                        );
                    }
                }
            }
            ScheduledEvent::Client(action) => self.perform(*action),
            ScheduledEvent::Replace(entry_vm) => {
                if self.entry_vms[entry_vm].node.is_none() {
                    self.start_entry_vm(entry_vm);
                }
            }
        }
    }

    fn network_delay(&mut self) -> u64 {
        match self.rng.u32(..20) {
            0 => self.rng.u64(20..200),
            _ => self.rng.u64(1..10),
        }
    }

    pub(crate) fn deliver(&mut self, entry_vm: usize, incarnation: u64, event: Event) {
        let delay = self.network_delay();
        self.deliver_after(delay, entry_vm, incarnation, event);
    }

    fn deliver_after(&mut self, delay: u64, entry_vm: usize, incarnation: u64, event: Event) {
        self.schedule_after(
            delay,
            ScheduledEvent::Deliver(entry_vm, incarnation, Box::new(event)),
        );
    }

    pub(crate) fn send(&mut self, from: usize, to: &Name, frame: Frame) {
        let Some(entry_vm) = self.entry_vms.iter().position(|vm| vm.identity.name == *to) else {
            return;
        };
        let blocked = self.blocked_links.contains(&(from, entry_vm))
            || self.entry_vms[entry_vm].node.is_none();
        let from_name = self.entry_vms[from].identity.name.clone();
        let sender = self.entry_vms[from].incarnation;
        match blocked {
            // The sender may or may not have noticed that the connection is
            // down; if not, the frame is lost silently.
            true if self.rng.bool() => {
                let to = to.clone();
                self.deliver(from, sender, Event::FrameNotSent { to, frame });
            }
            true => {}
            false => {
                let incarnation = self.entry_vms[entry_vm].incarnation;
                let event = Event::Frame {
                    from: from_name,
                    frame,
                };
                // Duplicates some frames, as a sender does that retransmits an
                // unacknowledged frame.
                if self.rng.u32(..50) == 0 {
                    self.deliver_after(500, entry_vm, incarnation, event.clone());
                }
                self.deliver(entry_vm, incarnation, event);
            }
        }
    }

    pub(crate) fn call_table(
        &mut self,
        entry_vm: usize,
        incarnation: u64,
        id: u64,
        call: TableCall,
    ) {
        if self.entry_vms[entry_vm].platform_unreachable {
            let result = Err(TableError::Unknown);
            return self.deliver_after(
                TABLE_CALL_TIMEOUT_MS,
                entry_vm,
                incarnation,
                Event::TableResult { id, result },
            );
        }
        if self.store_down {
            let result = Err(TableError::Unavailable);
            return self.deliver(entry_vm, incarnation, Event::TableResult { id, result });
        }
        let drop_response = self.drop_responses && self.rng.u32(..4) == 0;
        let delay = self.network_delay()
            + if self.store_slow {
                self.rng.u64(200..900)
            } else {
                0
            };
        self.schedule_after(
            delay,
            ScheduledEvent::Table(entry_vm, incarnation, id, Box::new(call), drop_response),
        );
    }

    fn serve_table(
        &mut self,
        entry_vm: usize,
        incarnation: u64,
        id: u64,
        call: &TableCall,
        drop_response: bool,
    ) {
        let response = self.table.serve(call);
        match drop_response {
            true => {
                let result = Err(TableError::Unknown);
                self.deliver_after(
                    TABLE_CALL_TIMEOUT_MS,
                    entry_vm,
                    incarnation,
                    Event::TableResult { id, result },
                );
            }
            false => self.deliver(
                entry_vm,
                incarnation,
                Event::TableResult {
                    id,
                    result: Ok(response),
                },
            ),
        }
    }

    pub(crate) fn call_worker(
        &mut self,
        entry_vm: usize,
        incarnation: u64,
        id: u64,
        address: &Name,
        call: Box<WorkerCall>,
    ) {
        let Ok(worker) = address.parse::<usize>() else {
            return;
        };
        let timeout = WORKER_CALL_TIMEOUT_MS + call.wait_ms;
        if self.worker_unreachable[worker] {
            let result = Err(WorkerError::Lost);
            return self.deliver_after(
                timeout,
                entry_vm,
                incarnation,
                Event::WorkerResult { id, result },
            );
        }
        let drop_response = self.drop_responses && self.rng.u32(..6) == 0;
        let delay = self.network_delay();
        self.schedule_after(
            delay,
            ScheduledEvent::Worker(entry_vm, incarnation, id, worker, call, drop_response),
        );
    }

    fn serve_worker(
        &mut self,
        entry_vm: usize,
        incarnation: u64,
        id: u64,
        worker: usize,
        call: &WorkerCall,
        drop_response: bool,
    ) {
        let report = self.workers[worker].handle_call(call, self.now_ms);
        self.record_worker(worker);
        if drop_response {
            let result = Err(WorkerError::Lost);
            let timeout = WORKER_CALL_TIMEOUT_MS + call.wait_ms;
            return self.deliver_after(
                timeout,
                entry_vm,
                incarnation,
                Event::WorkerResult { id, result },
            );
        }
        if report.accepted && report.unchanged && call.wait_ms > 0 {
            let until_ms = self.now_ms + call.wait_ms;
            let delayed_response = ScheduledEvent::DelayedResponse(
                entry_vm,
                incarnation,
                id,
                worker,
                Box::new(call.clone()),
                until_ms,
            );
            return self.schedule_after(DELAYED_RESPONSE_POLL_MS, delayed_response);
        }
        let result = Ok(report);
        self.deliver(entry_vm, incarnation, Event::WorkerResult { id, result });
    }

    fn poll_delayed_response(
        &mut self,
        entry_vm: usize,
        incarnation: u64,
        id: u64,
        worker: usize,
        call: Box<WorkerCall>,
        until_ms: u64,
    ) {
        if self.worker_unreachable[worker] {
            let result = Err(WorkerError::Lost);
            return self.deliver_after(
                WORKER_CALL_TIMEOUT_MS,
                entry_vm,
                incarnation,
                Event::WorkerResult { id, result },
            );
        }
        let worker_state = &self.workers[worker];
        if worker_state.may_delay_response(&call) && self.now_ms < until_ms {
            return self.schedule_after(
                DELAYED_RESPONSE_POLL_MS,
                ScheduledEvent::DelayedResponse(entry_vm, incarnation, id, worker, call, until_ms),
            );
        }
        let result = Ok(worker_state.report(true, call.known, self.now_ms));
        self.deliver(entry_vm, incarnation, Event::WorkerResult { id, result });
    }

    pub(crate) fn record_worker(&mut self, index: usize) {
        let name = self.workers[index].name.clone();
        for event in std::mem::take(&mut self.workers[index].task_events) {
            match event {
                TaskEvent::Started(s) => {
                    let now_ms = self.now_ms;
                    self.ledger
                        .task_started(&name, &s.job, s.task, &s.team, s.each, now_ms);
                }
                TaskEvent::Ended(s, ended) => {
                    let done = ended == AttemptOutcome::Completed;
                    self.ledger
                        .task_ended(&name, &s.job, s.task, &s.team, s.each, done);
                }
            }
        }
    }

    pub(crate) fn execute(&mut self, entry_vm: usize, incarnation: u64, execute: Box<Execute>) {
        let Ok(worker) = execute.address.parse::<usize>() else {
            return;
        };
        let delay = self.network_delay();
        self.schedule_after(
            delay,
            ScheduledEvent::Execute(entry_vm, incarnation, worker, execute),
        );
    }

    fn start_run(&mut self, entry_vm: usize, incarnation: u64, worker: usize, execute: Execute) {
        let id = execute.id;
        if self.worker_unreachable[worker] {
            let result = Err(ExecuteError::NotRun);
            return self.deliver_after(
                1_000,
                entry_vm,
                incarnation,
                Event::ExecuteResult { id, result },
            );
        }
        if !self.executors[worker].try_acquire_slot() {
            let result = Err(ExecuteError::NotRun);
            return self.deliver(entry_vm, incarnation, Event::ExecuteResult { id, result });
        }
        let text = String::from_utf8_lossy(&execute.body).into_owned();
        let mut parts = text.split(' ');
        let request = Name::from(parts.next().unwrap_or_default());
        let non_idempotent = parts.next() == Some("1");
        let run_ms = parts.next().and_then(|p| p.parse().ok()).unwrap_or(1);
        let name = self.workers[worker].name.clone();
        let now_ms = self.now_ms;
        self.ledger
            .run_started(&name, &execute.team, &request, non_idempotent, now_ms);
        let body = Box::new(execute.body);
        let ends = ScheduledEvent::RunEnds(entry_vm, incarnation, id, worker, execute.team, body);
        self.schedule_after(run_ms, ends);
    }

    pub(crate) fn list_vms(&mut self, entry_vm: usize, incarnation: u64) {
        if self.entry_vms[entry_vm].platform_unreachable {
            return self.deliver_after(
                VM_LIST_DELAY_MS,
                entry_vm,
                incarnation,
                Event::VmList(None),
            );
        }
        let mut listing = self.listing.clone();
        for vm in &self.entry_vms {
            let entry = model::Vm {
                name: vm.identity.name.clone(),
                data_centre: vm.identity.data_centre.clone(),
                rack: format_compact!("{}-entry", vm.identity.data_centre),
                role: model::Role::Entry,
                life: model::VmLifecycle::Live,
                address: Name::default(),
                capacity: model::Resources::ZERO,
                executor: None,
            };
            listing.vms.push(entry);
        }
        let event = Event::VmList(Some(listing));
        self.deliver_after(VM_LIST_DELAY_MS, entry_vm, incarnation, event);
    }

    /// Indexes of the entry VMs in the first data centre.
    pub(crate) fn first_data_centre(&self) -> Vec<usize> {
        (0..ENTRY_DATA_CENTRES.len())
            .filter(|index| ENTRY_DATA_CENTRES[*index] == ENTRY_DATA_CENTRES[0])
            .collect()
    }
}
