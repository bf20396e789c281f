//! Callers and operators of a schedule, and what they saw.
//!
//! Invariant: a request's fate is judged by its last answer, and "refused"
//! counts only when no earlier try was left open.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use control::{ApiRequest, Event, Reply};
use model::{Answer, Change, JobId, Name, Resources, Spec, key};

use crate::executor::echo_response;
use crate::ledger::{Ledger, PROPAGATION_GRACE_MS};
use crate::schedule::{Coming, FAULT_MS, Failing, LOAD_MS, Schedule};

/// Mean gap between requests in ms.
const REQUEST_GAP_MS: u64 = 60;
/// Mean gap between jobs in ms.
const JOB_GAP_MS: u64 = 400;
/// Gap between changes of configuration in ms.
const CHANGE_GAP_MS: u64 = 3_000;
/// Tries of a caller whose outcome is unknown.
const MAX_TRIES: u32 = 4;
/// Log lines kept for the reader of a failing run.
const MAX_LOG: usize = 400;

/// What a caller does.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Request(Request),
    Job(Job),
    Change(Name),
    Withdraw,
    Probe,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    id: Name,
    queue: &'static str,
    team: &'static str,
    run_ms: u64,
    tries: u32,
    open: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    id: Name,
    team: &'static str,
    tasks: u32,
    gang: bool,
    run_ms: u64,
    tries: u32,
}

/// A question whose answer is awaited.
#[derive(Clone, Debug)]
struct Waiting {
    action: Action,
    at: usize,
    incarnation: u64,
    asked_ms: u64,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct Callers {
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
    refused: BTreeSet<Name>,
    unknown: BTreeSet<Name>,
    /// Requests answered with a result.
    pub answered: u64,
    accepted: BTreeMap<JobId, (Name, u32)>,
    /// Teams made by acknowledged changes.
    pub changed_teams: Vec<Name>,
    withdrawn_ms: Option<u64>,
    /// Log of the nodes, for the reader of a failing run.
    pub lines: Vec<String>,
    /// Time in ms, entry VM and number of each log event.
    pub events: Vec<(u64, usize, u16)>,
}

impl Callers {
    pub(crate) fn log(&mut self, now_ms: u64, at: usize, notice: &control::Notice) {
        self.events.push((now_ms, at, notice.number()));
        if self.lines.len() < MAX_LOG {
            self.lines
                .push(format!("{now_ms} e{at} {} {notice}", notice.number()));
        }
    }

    /// A request that never got an answer from a process that lived on.
    pub(crate) fn unanswered(&self) -> Option<Name> {
        self.waiting.values().find_map(|w| match &w.action {
            Action::Request(r) => Some(r.id.clone()),
            _ => None,
        })
    }

    /// A request refused as not run that has run.
    pub(crate) fn false_refusal(&self, ledger: &Ledger) -> Option<Name> {
        self.refused.iter().find(|id| ledger.has_run(id)).cloned()
    }

    /// A request whose outcome stayed unknown.
    pub(crate) fn unknown(&self) -> Option<Name> {
        self.unknown.iter().next().cloned()
    }

    /// Accepted jobs of which a task was not completed.
    pub(crate) fn lost_jobs(&self, ledger: &Ledger) -> Vec<Name> {
        let open = |(id, (_, tasks)): &(&JobId, &(Name, u32))| {
            !(0..*tasks).all(|t| ledger.completed.contains_key(&((*id).clone(), t)))
        };
        self.accepted
            .iter()
            .filter(open)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Jobs accepted.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.accepted.len()
    }
}

impl Schedule {
    pub(crate) fn plan_callers(&mut self) {
        let mut at_ms = 6_000;
        let mut number = 0;
        while at_ms < LOAD_MS {
            at_ms += self.rng.u64(1..2 * REQUEST_GAP_MS);
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
                tries: 0,
                open: false,
            };
            self.at(at_ms, Coming::Caller(Box::new(Action::Request(request))));
        }
        let mut at_ms = 6_000;
        while at_ms < LOAD_MS {
            at_ms += self.rng.u64(1..2 * JOB_GAP_MS);
            number += 1;
            let job = Job {
                id: Name::from(format!("j{number}")),
                team: ["tight", "free", "free", "free", "free"][self.rng.usize(..5)],
                tasks: self.rng.u32(1..=4),
                gang: self.rng.u32(..3) == 0,
                run_ms: self.rng.u64(500..12_000),
                tries: 0,
            };
            self.at(at_ms, Coming::Caller(Box::new(Action::Job(job))));
        }
        let mut at_ms = 7_000;
        while at_ms < LOAD_MS {
            at_ms += CHANGE_GAP_MS;
            let team = Name::from(format!("made-{at_ms}"));
            self.at(at_ms, Coming::Caller(Box::new(Action::Change(team))));
        }
        self.at(FAULT_MS + 2_000, Coming::Caller(Box::new(Action::Withdraw)));
        let mut at_ms = FAULT_MS;
        while at_ms < LOAD_MS {
            at_ms += 100;
            self.at(at_ms, Coming::Caller(Box::new(Action::Probe)));
        }
    }

    /// A caller asks one of the entry VMs that run.
    pub(crate) fn act(&mut self, action: Action) {
        let running: Vec<usize> = (0..self.slots.len())
            .filter(|at| {
                self.slots[*at]
                    .node
                    .as_ref()
                    .is_some_and(control::Node::is_ready)
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let at = running[self.rng.usize(..running.len())];
        let ask = ask_of(&action);
        self.callers.next += 1;
        let caller = self.callers.next;
        let waiting = Waiting {
            action,
            at,
            incarnation: self.slots[at].incarnation,
            asked_ms: self.now_ms,
        };
        self.callers.waiting.insert(caller, waiting);
        self.step(
            at,
            Event::ApiRequest {
                caller,
                request: ask,
            },
        );
    }

    /// An entry VM that died breaks its callers' connections.
    pub(crate) fn break_connections(&mut self) {
        let slots = &self.slots;
        let dead =
            |w: &Waiting| slots[w.at].node.is_none() || slots[w.at].incarnation != w.incarnation;
        let waiting = self.callers.waiting.iter();
        let broken: Vec<u64> = waiting
            .filter(|(_, w)| dead(w))
            .map(|(id, _)| *id)
            .collect();
        for caller in broken {
            self.replied(usize::MAX, caller, Reply::Unknown);
        }
    }

    pub(crate) fn replied(&mut self, _at: usize, caller: u64, reply: Reply) {
        let Some(waiting) = self.callers.waiting.remove(&caller) else {
            return;
        };
        let asked_ms = waiting.asked_ms;
        match (waiting.action, reply) {
            (Action::Request(r), reply) => self.request_replied(r, reply),
            (Action::Job(job), Reply::Accepted(id)) => {
                let entry = (Name::from(job.team), job.tasks);
                self.callers.accepted.insert(id, entry);
            }
            (Action::Job(mut job), Reply::Unknown) if job.tries < MAX_TRIES => {
                job.tries += 1;
                self.at(500, Coming::Caller(Box::new(Action::Job(job))));
            }
            (Action::Change(team), Reply::Changed { .. }) => self.callers.changed_teams.push(team),
            (Action::Withdraw, Reply::Changed { .. }) => {
                self.callers.withdrawn_ms = Some(self.now_ms);
            }
            (Action::Withdraw, _) => {
                self.at(1_000, Coming::Caller(Box::new(Action::Withdraw)));
            }
            (Action::Probe, Reply::Answer(Answer::Done { .. })) => {
                let since = self.callers.withdrawn_ms;
                if since.is_some_and(|since| asked_ms > since + PROPAGATION_GRACE_MS) {
                    self.failing = Some(Failing::WithdrawnKey(asked_ms));
                }
            }
            _ => {}
        }
    }

    fn request_replied(&mut self, mut request: Request, reply: Reply) {
        match reply {
            Reply::Answer(Answer::Done { body, .. }) => {
                self.callers.answered += 1;
                if body != echo_response(&body_of(&request)) {
                    self.failing = Some(Failing::WrongAnswer(request.id));
                }
            }
            Reply::Refused(_) | Reply::Answer(Answer::Refused(_)) if !request.open => {
                // The ledger is asked at once and again at the end.
                if self.ledger.has_run(&request.id) {
                    self.failing = Some(Failing::FalseRefusal(request.id.clone()));
                }
                self.callers.refused.insert(request.id);
            }
            _ if request.tries < MAX_TRIES => {
                request.open = true;
                request.tries += 1;
                self.at(700, Coming::Caller(Box::new(Action::Request(request))));
            }
            _ => {
                self.callers.unknown.insert(request.id);
            }
        }
    }
}

fn body_of(request: &Request) -> Bytes {
    let once = u8::from(request.queue == "book");
    Bytes::from(format!("{} {once} {}", request.id, request.run_ms))
}

fn ask_of(action: &Action) -> ApiRequest {
    match action {
        Action::Request(r) => ApiRequest::Request {
            queue: Name::from(r.queue),
            key: (r.queue != "open").then(|| key::hash(r.team)),
            idempotency_key: (r.queue == "book").then(|| r.id.clone()),
            body: body_of(r),
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
        Action::Change(team) => ApiRequest::Change {
            change: Change::PutTeam {
                name: team.clone(),
                share: 1,
                limit: None,
            },
            expect: None,
        },
        Action::Withdraw => ApiRequest::Change {
            change: Change::WithdrawKey {
                team: Name::from("leaver"),
                hash: key::hash("leaver"),
            },
            expect: None,
        },
        Action::Probe => ApiRequest::Request {
            queue: Name::from("ask"),
            key: Some(key::hash("leaver")),
            idempotency_key: None,
            body: Bytes::from_static(b"probe 0 1"),
            timeout: Duration::from_secs(2),
        },
    }
}
