//! Simulated clients and operators, and the outcomes they observed.
//!
//! Invariant: the outcome of a request is that of its last attempt. A refusal
//! counts as "not run" only if no earlier attempt had an unknown outcome.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use control::{ApiRequest, Event, Reply};
use model::{Answer, Change, ConfigError, JobId, Name, Resources, Spec, key};

use crate::executor::echo_response;
use crate::ledger::{Ledger, PROPAGATION_GRACE_MS};
use crate::schedule::evacuations::{Evacuation, Step, build_change};
use crate::schedule::{FAULT_START_MS, LOAD_END_MS, ScheduledEvent, Simulation, Violation};

/// Mean interval between requests, in ms.
const MEAN_REQUEST_INTERVAL_MS: u64 = 60;
/// Mean interval between job submissions, in ms.
const MEAN_JOB_INTERVAL_MS: u64 = 400;
/// Interval between configuration changes, in ms.
const CONFIG_CHANGE_INTERVAL_MS: u64 = 3_000;
/// Retries of a request or submission whose outcome is unknown.
const MAX_RETRIES: u32 = 4;
/// Number of log lines kept to diagnose a failed run.
const MAX_LOG_LINES: usize = 400;

/// A request that a client or operator sends.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Request(Request),
    Job(Job),
    ChangeConfig(Name),
    WithdrawKey,
    UseWithdrawnKey,
    Evacuation(Evacuation, Step),
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    id: Name,
    queue: &'static str,
    team: &'static str,
    run_ms: u64,
    retries: u32,
    outcome_uncertain: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    id: Name,
    team: &'static str,
    tasks: u32,
    gang: bool,
    run_ms: u64,
    retries: u32,
}

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
struct PendingCall {
    action: Action,
    entry_vm: usize,
    incarnation: u64,
    sent_ms: u64,
}

/// Outcomes observed by clients, and log output of the nodes.
#[derive(Debug, Default)]
pub struct Clients {
    pending_calls: BTreeMap<u64, PendingCall>,
    next_call_id: u64,
    refused: BTreeSet<Name>,
    unknown_outcome: BTreeSet<Name>,
    /// Number of requests answered with a result, right or wrong.
    pub answered_requests: u64,
    accepted: BTreeMap<JobId, (Name, u32)>,
    /// Teams created by acknowledged configuration changes.
    pub acknowledged_teams: Vec<Name>,
    withdrawn_ms: Option<u64>,
    /// Number of acknowledged evacuations.
    pub evacuated: u32,
    /// Number of evacuations whose end was acknowledged.
    pub restored: u32,
    /// Errors with which evacuations were rejected.
    pub conflicts: Vec<ConfigError>,
    /// First log lines of the nodes, to diagnose a failed run.
    pub log_lines: Vec<String>,
    /// Time in ms, index of the entry VM, and event number of each log event.
    pub events: Vec<(u64, usize, u16)>,
}

impl Clients {
    pub(crate) fn log(&mut self, now_ms: u64, index: usize, notice: &control::Notice) {
        self.events.push((now_ms, index, notice.number()));
        if self.log_lines.len() < MAX_LOG_LINES {
            self.log_lines
                .push(format!("{now_ms} e{index} {} {notice}", notice.number()));
        }
    }

    /// Returns a request that was never answered although the process that
    /// received it kept running.
    pub(crate) fn unanswered_request(&self) -> Option<Name> {
        self.pending_calls
            .values()
            .find_map(|call| match &call.action {
                Action::Request(r) => Some(r.id.clone()),
                _ => None,
            })
    }

    /// Returns a request that was refused as not run but did run.
    pub(crate) fn refused_but_ran(&self, ledger: &Ledger) -> Option<Name> {
        self.refused.iter().find(|id| ledger.has_run(id)).cloned()
    }

    /// Returns a request whose outcome is unknown after all retries.
    pub(crate) fn unknown_request(&self) -> Option<Name> {
        self.unknown_outcome.iter().next().cloned()
    }

    /// Returns the accepted jobs with tasks that were not completed.
    pub(crate) fn lost_jobs(&self, ledger: &Ledger) -> Vec<Name> {
        let incomplete = |(id, (_, tasks)): &(&JobId, &(Name, u32))| {
            !(0..*tasks).all(|t| ledger.completed.contains_key(&((*id).clone(), t)))
        };
        self.accepted
            .iter()
            .filter(incomplete)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the number of jobs whose submission was acknowledged.
    #[must_use]
    pub fn accepted_jobs(&self) -> usize {
        self.accepted.len()
    }
}

impl Simulation {
    pub(crate) fn schedule_clients(&mut self) {
        let mut at_ms = 6_000;
        let mut number = 0;
        while at_ms < LOAD_END_MS {
            at_ms += self.rng.u64(1..2 * MEAN_REQUEST_INTERVAL_MS);
            number += 1;
            let queue = ["ask", "book", "open"][self.rng.usize(..3)];
            let team = match queue {
                "open" => "free",
                _ => ["free", "tight"][self.rng.usize(..2)],
            };
            let request = Request {
                id: Name::from(format!("r{number}")),
                queue,
                team,
                run_ms: self.rng.u64(20..150),
                retries: 0,
                outcome_uncertain: false,
            };
            self.schedule_after(
                at_ms,
                ScheduledEvent::Client(Box::new(Action::Request(request))),
            );
        }
        let mut at_ms = 6_000;
        while at_ms < LOAD_END_MS {
            at_ms += self.rng.u64(1..2 * MEAN_JOB_INTERVAL_MS);
            number += 1;
            let job = Job {
                id: Name::from(format!("j{number}")),
                team: ["tight", "free", "free", "free", "free"][self.rng.usize(..5)],
                tasks: self.rng.u32(1..=4),
                gang: self.rng.u32(..3) == 0,
                run_ms: self.rng.u64(500..12_000),
                retries: 0,
            };
            self.schedule_after(at_ms, ScheduledEvent::Client(Box::new(Action::Job(job))));
        }
        let mut at_ms = 7_000;
        while at_ms < LOAD_END_MS {
            at_ms += CONFIG_CHANGE_INTERVAL_MS;
            let team = Name::from(format!("made-{at_ms}"));
            self.schedule_after(
                at_ms,
                ScheduledEvent::Client(Box::new(Action::ChangeConfig(team))),
            );
        }
        self.schedule_after(
            FAULT_START_MS + 2_000,
            ScheduledEvent::Client(Box::new(Action::WithdrawKey)),
        );
        let mut at_ms = FAULT_START_MS;
        while at_ms < LOAD_END_MS {
            at_ms += 100;
            self.schedule_after(
                at_ms,
                ScheduledEvent::Client(Box::new(Action::UseWithdrawnKey)),
            );
        }
    }

    /// Sends a request to a random entry VM that is ready, if there is one.
    pub(crate) fn perform(&mut self, action: Action) {
        if let Action::Evacuation(evacuation, Step::Restore) = &action {
            // The request may take effect at any time from now on.
            self.record_evacuation(evacuation.data_centre, None);
        }
        let running: Vec<usize> = (0..self.entry_vms.len())
            .filter(|index| {
                self.entry_vms[*index]
                    .node
                    .as_ref()
                    .is_some_and(control::Node::is_ready)
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let index = running[self.rng.usize(..running.len())];
        let request = build_api_request(&action);
        self.clients.next_call_id += 1;
        let caller = self.clients.next_call_id;
        let pending_call = PendingCall {
            action,
            entry_vm: index,
            incarnation: self.entry_vms[index].incarnation,
            sent_ms: self.now_ms,
        };
        self.clients.pending_calls.insert(caller, pending_call);
        self.step(index, Event::ApiRequest { caller, request });
    }

    /// Answers requests to processes that no longer run with an unknown
    /// outcome, as a broken connection does.
    pub(crate) fn close_dead_connections(&mut self) {
        let entry_vms = &self.entry_vms;
        let dead = |call: &PendingCall| {
            entry_vms[call.entry_vm].node.is_none()
                || entry_vms[call.entry_vm].incarnation != call.incarnation
        };
        let pending_calls = self.clients.pending_calls.iter();
        let orphaned: Vec<u64> = pending_calls
            .filter(|(_, call)| dead(call))
            .map(|(id, _)| *id)
            .collect();
        for caller in orphaned {
            self.handle_reply(usize::MAX, caller, Reply::Unknown);
        }
    }

    pub(crate) fn handle_reply(&mut self, _index: usize, caller: u64, reply: Reply) {
        let Some(pending_call) = self.clients.pending_calls.remove(&caller) else {
            return;
        };
        let sent_ms = pending_call.sent_ms;
        match (pending_call.action, reply) {
            (Action::Request(r), reply) => self.handle_request_reply(r, reply),
            (Action::Job(job), Reply::Accepted(id)) => {
                let entry = (Name::from(job.team), job.tasks);
                self.clients.accepted.insert(id, entry);
            }
            (Action::Job(mut job), Reply::Unknown) if job.retries < MAX_RETRIES => {
                job.retries += 1;
                self.schedule_after(500, ScheduledEvent::Client(Box::new(Action::Job(job))));
            }
            (Action::ChangeConfig(team), Reply::Changed { .. }) => {
                self.clients.acknowledged_teams.push(team)
            }
            (Action::Evacuation(evacuation, step), reply) => {
                self.handle_evacuation_reply(evacuation, step, reply);
            }
            (Action::WithdrawKey, Reply::Changed { .. }) => {
                self.clients.withdrawn_ms = Some(self.now_ms);
            }
            (Action::WithdrawKey, _) => {
                self.schedule_after(1_000, ScheduledEvent::Client(Box::new(Action::WithdrawKey)));
            }
            (Action::UseWithdrawnKey, Reply::Answer(Answer::Done { .. })) => {
                let since = self.clients.withdrawn_ms;
                if since.is_some_and(|since| sent_ms > since + PROPAGATION_GRACE_MS) {
                    self.violation = Some(Violation::WithdrawnKeyAccepted(sent_ms));
                }
            }
            _ => {}
        }
    }

    fn handle_request_reply(&mut self, mut request: Request, reply: Reply) {
        match reply {
            Reply::Answer(Answer::Done { body, .. }) => {
                self.clients.answered_requests += 1;
                if body != echo_response(&request_body(&request)) {
                    self.violation = Some(Violation::WrongAnswer(request.id));
                }
            }
            Reply::Refused(_) | Reply::Answer(Answer::Refused(_)) if !request.outcome_uncertain => {
                // Checked here and again at the end, when a late run would show.
                if self.ledger.has_run(&request.id) {
                    self.violation = Some(Violation::RefusedButRan(request.id.clone()));
                }
                self.clients.refused.insert(request.id);
            }
            _ if request.retries < MAX_RETRIES => {
                request.outcome_uncertain = true;
                request.retries += 1;
                self.schedule_after(
                    700,
                    ScheduledEvent::Client(Box::new(Action::Request(request))),
                );
            }
            _ => {
                self.clients.unknown_outcome.insert(request.id);
            }
        }
    }
}

fn request_body(request: &Request) -> Bytes {
    let non_idempotent = u8::from(request.queue == "book");
    Bytes::from(format!(
        "{} {non_idempotent} {}",
        request.id, request.run_ms
    ))
}

fn build_api_request(action: &Action) -> ApiRequest {
    match action {
        Action::Request(r) => ApiRequest::Request {
            queue: Name::from(r.queue),
            key: (r.queue != "open").then(|| key::hash(r.team)),
            idempotency_key: (r.queue == "book").then(|| r.id.clone()),
            body: request_body(r),
            timeout: Duration::from_secs(4),
        },
        Action::Job(job) => ApiRequest::Submit {
            queue: Name::from(if job.gang { "gang" } else { "batch" }),
            key: Some(key::hash(job.team)),
            idempotency_key: Some(job.id.clone()),
            spec: Spec {
                tasks: job.tasks,
                each: Resources::of(1_000, 1_000, 0, 0),
                run_ms: job.run_ms,
                urgent: false,
                payload: Name::from(format!("run:{}", job.run_ms)),
            },
        },
        Action::ChangeConfig(team) => ApiRequest::Change {
            change: Change::PutTeam {
                name: team.clone(),
                share: 1,
                limit: None,
            },
            expected_version: None,
        },
        Action::WithdrawKey => ApiRequest::Change {
            change: Change::WithdrawKey {
                team: Name::from("leaver"),
                hash: key::hash("leaver"),
            },
            expected_version: None,
        },
        Action::Evacuation(evacuation, step) => build_change(evacuation, *step),
        Action::UseWithdrawnKey => ApiRequest::Request {
            queue: Name::from("ask"),
            key: Some(key::hash("leaver")),
            idempotency_key: None,
            body: Bytes::from_static(b"probe 0 1"),
            timeout: Duration::from_secs(2),
        },
    }
}
