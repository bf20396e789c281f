//! Network, table service, workers and executors of a schedule.
//!
//! Invariant: a call that is reported as not sent has no effect; every other
//! fate of a call and of its answer is possible.

use compact_str::format_compact;
use control::{Event, Execute, ExecuteError, ExecutorResponse, TableCall, WorkerError};
use model::{Call, Ended, Fault as TableFault, Name};
use wire::Frame;

use crate::executor::answer_to;
use crate::schedule::{Coming, PLACES, Schedule};
use crate::worker::Happening;

/// Time after which a call without an answer is given up, in ms.
const TABLE_TIMEOUT_MS: u64 = 2_000;
/// The same for workers, beyond the time that they may hold a call.
const WORKER_TIMEOUT_MS: u64 = 1_000;
/// The same for executors.
const RUN_TIMEOUT_MS: u64 = 30_000;
/// Period at which held answers are looked at, in ms.
const HOLD_MS: u64 = 20;
/// Lag of the VM list in ms.
const LIST_LAG_MS: u64 = 1_500;

impl Schedule {
    pub(crate) fn happen(&mut self, coming: Coming) {
        match coming {
            Coming::Deliver(at, incarnation, event) => {
                if self.slots[at].incarnation == incarnation {
                    self.step(at, *event);
                }
            }
            Coming::Table(at, inc, id, call, lose) => self.serve_table(at, inc, id, &call, lose),
            Coming::Worker(at, inc, id, worker, call, lose) => {
                self.serve_worker(at, inc, id, worker, &call, lose);
            }
            Coming::Held(at, inc, id, worker, call, until_ms) => {
                self.look_at_held(at, inc, id, worker, call, until_ms);
            }
            Coming::Execute(at, inc, worker, execute) => self.begin_run(at, inc, worker, *execute),
            Coming::RunEnds(at, inc, id, worker, team, body) => {
                self.executors[worker].end();
                self.ledger.run_ended(&team);
                let body = answer_to(&body);
                let result = Ok(ExecutorResponse { status: 200, body });
                let lost = self.worker_cut[worker];
                match lost {
                    false => self.deliver(at, inc, Event::ExecuteResult { id, result }),
                    true => {
                        let result = Err(ExecuteError::Lost);
                        self.deliver_after(
                            RUN_TIMEOUT_MS,
                            at,
                            inc,
                            Event::ExecuteResult { id, result },
                        );
                    }
                }
            }
            Coming::Caller(action) => self.act(*action),
            Coming::Replace(at) => {
                if self.slots[at].node.is_none() {
                    self.boot(at);
                }
            }
        }
    }

    fn delay(&mut self) -> u64 {
        match self.rng.u32(..20) {
            0 => self.rng.u64(20..200),
            _ => self.rng.u64(1..10),
        }
    }

    pub(crate) fn deliver(&mut self, at: usize, incarnation: u64, event: Event) {
        let delay = self.delay();
        self.deliver_after(delay, at, incarnation, event);
    }

    fn deliver_after(&mut self, delay: u64, at: usize, incarnation: u64, event: Event) {
        self.at(delay, Coming::Deliver(at, incarnation, Box::new(event)));
    }

    pub(crate) fn send(&mut self, from: usize, to: &Name, frame: Frame) {
        let Some(at) = self.slots.iter().position(|s| s.identity.name == *to) else {
            return;
        };
        let cut = self.cuts.contains(&(from, at)) || self.slots[at].node.is_none();
        let from_name = self.slots[from].identity.name.clone();
        let sender = self.slots[from].incarnation;
        match cut {
            // The sender's connection may or may not be known to be down.
            true if self.rng.bool() => {
                let to = to.clone();
                self.deliver(from, sender, Event::FrameNotSent { to, frame });
            }
            true => {}
            false => {
                let incarnation = self.slots[at].incarnation;
                let event = Event::Frame {
                    from: from_name,
                    frame,
                };
                // A frame without an acknowledgement is sent again.
                if self.rng.u32(..50) == 0 {
                    self.deliver_after(500, at, incarnation, event.clone());
                }
                self.deliver(at, incarnation, event);
            }
        }
    }

    pub(crate) fn call_table(&mut self, at: usize, inc: u64, id: u64, call: TableCall) {
        if self.slots[at].cut_platform {
            let result = Err(TableFault::Unknown);
            return self.deliver_after(
                TABLE_TIMEOUT_MS,
                at,
                inc,
                Event::TableResult { id, result },
            );
        }
        if self.store_down {
            let result = Err(TableFault::Unavailable);
            return self.deliver(at, inc, Event::TableResult { id, result });
        }
        let lose = self.lose_answers && self.rng.u32(..4) == 0;
        let delay = self.delay()
            + if self.store_slow {
                self.rng.u64(200..900)
            } else {
                0
            };
        self.at(delay, Coming::Table(at, inc, id, Box::new(call), lose));
    }

    fn serve_table(&mut self, at: usize, inc: u64, id: u64, call: &TableCall, lose: bool) {
        let answer = self.table.serve(call);
        match lose {
            true => {
                let result = Err(TableFault::Unknown);
                self.deliver_after(TABLE_TIMEOUT_MS, at, inc, Event::TableResult { id, result });
            }
            false => self.deliver(
                at,
                inc,
                Event::TableResult {
                    id,
                    result: Ok(answer),
                },
            ),
        }
    }

    pub(crate) fn call_worker(
        &mut self,
        at: usize,
        inc: u64,
        id: u64,
        address: &Name,
        call: Box<Call>,
    ) {
        let Ok(worker) = address.parse::<usize>() else {
            return;
        };
        let timeout = WORKER_TIMEOUT_MS + call.wait_ms;
        if self.worker_cut[worker] {
            let result = Err(WorkerError::Lost);
            return self.deliver_after(timeout, at, inc, Event::WorkerResult { id, result });
        }
        let lose = self.lose_answers && self.rng.u32(..6) == 0;
        let delay = self.delay();
        self.at(delay, Coming::Worker(at, inc, id, worker, call, lose));
    }

    fn serve_worker(
        &mut self,
        at: usize,
        inc: u64,
        id: u64,
        worker: usize,
        call: &Call,
        lose: bool,
    ) {
        let report = self.workers[worker].call(call, self.now_ms);
        self.record_worker(worker);
        if lose {
            let result = Err(WorkerError::Lost);
            let timeout = WORKER_TIMEOUT_MS + call.wait_ms;
            return self.deliver_after(timeout, at, inc, Event::WorkerResult { id, result });
        }
        if report.accepted && report.unchanged && call.wait_ms > 0 {
            let until_ms = self.now_ms + call.wait_ms;
            let held = Coming::Held(at, inc, id, worker, Box::new(call.clone()), until_ms);
            return self.at(HOLD_MS, held);
        }
        let result = Ok(report);
        self.deliver(at, inc, Event::WorkerResult { id, result });
    }

    fn look_at_held(
        &mut self,
        at: usize,
        inc: u64,
        id: u64,
        worker: usize,
        call: Box<Call>,
        until_ms: u64,
    ) {
        if self.worker_cut[worker] {
            let result = Err(WorkerError::Lost);
            return self.deliver_after(
                WORKER_TIMEOUT_MS,
                at,
                inc,
                Event::WorkerResult { id, result },
            );
        }
        let host = &self.workers[worker];
        if host.may_hold(&call) && self.now_ms < until_ms {
            return self.at(HOLD_MS, Coming::Held(at, inc, id, worker, call, until_ms));
        }
        let result = Ok(host.report(true, call.known, self.now_ms));
        self.deliver(at, inc, Event::WorkerResult { id, result });
    }

    pub(crate) fn record_worker(&mut self, at: usize) {
        let name = self.workers[at].name.clone();
        for happening in std::mem::take(&mut self.workers[at].happenings) {
            match happening {
                Happening::Started(s) => {
                    let now_ms = self.now_ms;
                    self.ledger
                        .task_started(&name, &s.job, s.task, &s.team, s.each, now_ms);
                }
                Happening::Ended(s, ended) => {
                    let done = ended == Ended::Completed;
                    self.ledger
                        .task_ended(&name, &s.job, s.task, &s.team, s.each, done);
                }
            }
        }
    }

    pub(crate) fn execute(&mut self, at: usize, inc: u64, execute: Box<Execute>) {
        let Ok(worker) = execute.address.parse::<usize>() else {
            return;
        };
        let delay = self.delay();
        self.at(delay, Coming::Execute(at, inc, worker, execute));
    }

    fn begin_run(&mut self, at: usize, inc: u64, worker: usize, execute: Execute) {
        let id = execute.id;
        if self.worker_cut[worker] {
            let result = Err(ExecuteError::NotRun);
            return self.deliver_after(1_000, at, inc, Event::ExecuteResult { id, result });
        }
        if !self.executors[worker].begin() {
            let result = Err(ExecuteError::NotRun);
            return self.deliver(at, inc, Event::ExecuteResult { id, result });
        }
        let text = String::from_utf8_lossy(&execute.body).into_owned();
        let mut parts = text.split(' ');
        let request = Name::from(parts.next().unwrap_or_default());
        let once = parts.next() == Some("1");
        let run_ms = parts.next().and_then(|p| p.parse().ok()).unwrap_or(1);
        let name = self.workers[worker].name.clone();
        let now_ms = self.now_ms;
        self.ledger
            .run_started(&name, &execute.team, &request, once, now_ms);
        let body = Box::new(execute.body);
        let ends = Coming::RunEnds(at, inc, id, worker, execute.team, body);
        self.at(run_ms, ends);
    }

    pub(crate) fn list_vms(&mut self, at: usize, inc: u64) {
        if self.slots[at].cut_platform {
            return self.deliver_after(LIST_LAG_MS, at, inc, Event::VmList(None));
        }
        let mut listing = self.listing.clone();
        for slot in &self.slots {
            let entry = model::Vm {
                name: slot.identity.name.clone(),
                data_centre: slot.identity.data_centre.clone(),
                rack: format_compact!("{}-entry", slot.identity.data_centre),
                role: model::Role::Entry,
                life: model::Life::Live,
                address: Name::default(),
                capacity: model::Resources::ZERO,
                executor: None,
            };
            listing.vms.push(entry);
        }
        let event = Event::VmList(Some(listing));
        self.deliver_after(LIST_LAG_MS, at, inc, event);
    }

    /// Entry VMs of the first data centre.
    pub(crate) fn first_place(&self) -> Vec<usize> {
        (0..PLACES.len())
            .filter(|at| PLACES[*at] == PLACES[0])
            .collect()
    }
}
