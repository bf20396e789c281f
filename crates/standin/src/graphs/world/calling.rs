//! Calls by clients, and the handling of their responses.
//!
//! Invariant: the state of an accepted job is polled until it is final.

use std::time::Duration;

use compact_str::format_compact;
use model::{JobId, Stage, key};
use sched::{ApiRequest, Event, Reply, RequestKind};

use crate::graphs::callers::{ClientJob, JobKind};
use crate::graphs::faults::Fault;
use crate::graphs::world::{
    Action, CLIENT_POLL_PERIOD, ClientCall, NETWORK_LATENCY, PENDING_POLL_PERIOD, Simulation,
    VM_COUNT,
};

/// One in this many jobs has a task that crashes its backend servers during a
/// [`Fault::CrashingTasks`].
const CRASHING_JOB_DIVISOR: u64 = 9;

impl Simulation {
    pub(super) fn submit_new_job(&mut self, n: u64) {
        let mut job = ClientJob::new(n, self.now, &mut self.rng);
        job.crashes_servers =
            self.is_fault_active(Fault::CrashingTasks) && n.is_multiple_of(CRASHING_JOB_DIVISOR);
        if self.options.copy_share.is_some() && n.is_multiple_of(2) {
            job.permit_copies();
        }
        let id = job.id.clone();
        if self.rng.u32(0..12) == 0 || job.kind == JobKind::Service {
            let wait = Duration::from_millis(self.rng.u64(500..6_000));
            self.schedule_at(
                self.now + wait,
                Action::SendCall(ClientCall::Cancel(id.clone())),
            );
        }
        self.jobs.insert(id.clone(), job);
        self.send_call(ClientCall::Submit(id));
    }

    pub(super) fn send_call(&mut self, call: ClientCall) {
        let up: Vec<usize> = (0..VM_COUNT)
            .filter(|vm| {
                self.vms[*vm].up && !self.vms[*vm].suspended && self.vms[*vm].node.is_ready()
            })
            .collect();
        let Some(vm) = self.rng.choice(up) else {
            self.schedule_at(self.now + CLIENT_POLL_PERIOD, Action::SendCall(call));
            return;
        };
        if let ClientCall::Pending(queue) = call {
            self.poll_pending(vm, queue);
            return;
        }
        let (id, kind) = match &call {
            ClientCall::Submit(id) => {
                let graph = self.jobs[id].graph.clone();
                (id.clone(), RequestKind::Submit(Box::new(graph)))
            }
            ClientCall::State(id) => (id.clone(), RequestKind::State),
            ClientCall::Cancel(id) => {
                // A client cancels only jobs that were accepted.
                if self.jobs[id].accepted_at.is_none() {
                    return;
                }
                if let Some(job) = self.jobs.get_mut(id) {
                    job.cancel_requested = true;
                }
                (id.clone(), RequestKind::Cancel)
            }
            ClientCall::Pending(_) => return,
        };
        let job = &self.jobs[&id];
        let request = ApiRequest {
            host: "host".into(),
            path: format_compact!("/{}/{id}", job.queue),
            key: Some(key::hash(&job.team)),
            kind,
        };
        self.next_caller += 1;
        let caller = self.next_caller;
        self.vms[vm].client_calls.insert(caller, call);
        let process = self.vms[vm].process;
        self.deliver_after(
            vm,
            process,
            NETWORK_LATENCY,
            Event::ApiRequest { caller, request },
        );
    }

    pub(super) fn handle_submit_reply(&mut self, id: &JobId, reply: &Reply) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match reply {
            Reply::Accepted => {
                job.accepted_at.get_or_insert(now);
                self.schedule_at(
                    now + CLIENT_POLL_PERIOD,
                    Action::SendCall(ClientCall::State(id.clone())),
                );
            }
            Reply::Refused(_) => {
                job.refused = true;
            }
            _ => {
                job.submission_unknown = true;
                let retry_time = now + CLIENT_POLL_PERIOD;
                self.schedule_at(retry_time, Action::SendCall(ClientCall::Submit(id.clone())));
            }
        }
    }

    pub(super) fn handle_state_reply(&mut self, id: &JobId, reply: &Reply) {
        let now = self.now;
        if let Reply::State(stage) = reply {
            let violation = self.checker.check_stage(id, *stage, &self.jobs);
            self.report
                .violations
                .extend(violation.map(|violation| (now, violation)));
            if let Some(job) = self.jobs.get_mut(id) {
                job.reported_stage = Some(*stage);
            }
        }
        let ended = self.jobs[id].reported_stage.is_some_and(Stage::is_terminal);
        if !ended {
            self.schedule_at(
                now + CLIENT_POLL_PERIOD,
                Action::SendCall(ClientCall::State(id.clone())),
            );
        }
    }

    pub(super) fn handle_cancel_reply(&mut self, id: &JobId, reply: &Reply) {
        let now = self.now;
        match reply {
            Reply::Cancelled => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.cancelled_at.get_or_insert(now);
                }
            }
            _ => self.schedule_at(
                now + CLIENT_POLL_PERIOD,
                Action::SendCall(ClientCall::Cancel(id.clone())),
            ),
        }
    }

    /// Requests the count of pending jobs of a queue from a VM, and schedules the
    /// next request.
    pub(super) fn poll_pending(&mut self, vm: usize, queue: &'static str) {
        self.schedule_at(
            self.now + PENDING_POLL_PERIOD,
            Action::SendCall(ClientCall::Pending(queue)),
        );
        self.next_caller += 1;
        let caller = self.next_caller;
        self.vms[vm]
            .client_calls
            .insert(caller, ClientCall::Pending(queue));
        let request = ApiRequest {
            host: "host".into(),
            path: format_compact!("/{queue}/"),
            key: Some(key::hash("red")),
            kind: RequestKind::State,
        };
        let process = self.vms[vm].process;
        self.deliver_after(
            vm,
            process,
            NETWORK_LATENCY,
            Event::ApiRequest { caller, request },
        );
    }
}
