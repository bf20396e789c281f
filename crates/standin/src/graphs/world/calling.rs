//! Callers' calls and what they make of the answers.
//!
//! Invariant: a job's state is asked for until it is final.

use std::time::Duration;

use compact_str::format_compact;
use model::{JobId, Stage, key};
use sched::{ApiRequest, Event, Reply, RequestKind};

use crate::graphs::callers::{Client, Shape};
use crate::graphs::world::{ASK_PERIOD, Action, Call, HOP, PENDING_PERIOD, VMS, World};

impl World {
    pub(super) fn hand_in(&mut self, n: u64) {
        let client = Client::new(n, &mut self.rng);
        let id = client.id.clone();
        if self.rng.u32(0..12) == 0 || client.shape == Shape::Service {
            let wait = Duration::from_millis(self.rng.u64(500..6_000));
            self.at(self.now + wait, Action::Send(Call::Cancel(id.clone())));
        }
        self.clients.insert(id.clone(), client);
        self.send_call(Call::Submit(id));
    }

    pub(super) fn send_call(&mut self, call: Call) {
        let up: Vec<usize> = (0..VMS)
            .filter(|vm| self.vms[*vm].up && !self.vms[*vm].frozen && self.vms[*vm].node.is_ready())
            .collect();
        let Some(vm) = self.rng.choice(up) else {
            self.at(self.now + ASK_PERIOD, Action::Send(call));
            return;
        };
        if let Call::Pending(queue) = call {
            self.ask_pending(vm, queue);
            return;
        }
        let (id, question) = match &call {
            Call::Submit(id) => {
                let graph = self.clients[id].graph.clone();
                (id.clone(), RequestKind::Submit(Box::new(graph)))
            }
            Call::State(id) => (id.clone(), RequestKind::State),
            Call::Cancel(id) => {
                // A client cancels only what was accepted.
                if self.clients[id].accepted.is_none() {
                    return;
                }
                if let Some(client) = self.clients.get_mut(id) {
                    client.cancel_asked = true;
                }
                (id.clone(), RequestKind::Cancel)
            }
            Call::Pending(_) => return,
        };
        let client = &self.clients[&id];
        let ask = ApiRequest {
            host: "host".into(),
            path: format_compact!("/{}/{id}", client.queue),
            key: Some(key::hash(&client.team)),
            kind: question,
        };
        self.next_caller += 1;
        let caller = self.next_caller;
        self.vms[vm].callers.insert(caller, call);
        let process = self.vms[vm].process;
        self.later(
            vm,
            process,
            HOP,
            Event::ApiRequest {
                caller,
                request: ask,
            },
        );
    }

    pub(super) fn submitted(&mut self, id: &JobId, reply: &Reply) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        match reply {
            Reply::Accepted => {
                client.accepted.get_or_insert(now);
                self.at(now + ASK_PERIOD, Action::Send(Call::State(id.clone())));
            }
            Reply::Refused(_) => {
                client.refused = true;
            }
            _ => {
                client.asked_unknown = true;
                let again = now + ASK_PERIOD;
                self.at(again, Action::Send(Call::Submit(id.clone())));
            }
        }
    }

    pub(super) fn asked(&mut self, id: &JobId, reply: &Reply) {
        let now = self.now;
        if let Reply::State(stage) = reply {
            let broken = self.truth.shown(id, *stage, &self.clients);
            self.report.broken.extend(broken.map(|b| (now, b)));
            if let Some(client) = self.clients.get_mut(id) {
                client.shown = Some(*stage);
            }
        }
        let ended = self.clients[id].shown.is_some_and(Stage::is_final);
        if !ended {
            self.at(now + ASK_PERIOD, Action::Send(Call::State(id.clone())));
        }
    }

    pub(super) fn cancel_answered(&mut self, id: &JobId, reply: &Reply) {
        let now = self.now;
        match reply {
            Reply::Cancelled => {
                if let Some(client) = self.clients.get_mut(id) {
                    client.cancelled.get_or_insert(now);
                }
            }
            _ => self.at(now + ASK_PERIOD, Action::Send(Call::Cancel(id.clone()))),
        }
    }

    /// Asks a VM how many jobs of a queue wait, again and again.
    pub(super) fn ask_pending(&mut self, vm: usize, queue: &'static str) {
        self.at(
            self.now + PENDING_PERIOD,
            Action::Send(Call::Pending(queue)),
        );
        self.next_caller += 1;
        let caller = self.next_caller;
        self.vms[vm].callers.insert(caller, Call::Pending(queue));
        let ask = ApiRequest {
            host: "host".into(),
            path: format_compact!("/{queue}/"),
            key: Some(key::hash("red")),
            kind: RequestKind::State,
        };
        let process = self.vms[vm].process;
        self.later(
            vm,
            process,
            HOP,
            Event::ApiRequest {
                caller,
                request: ask,
            },
        );
    }
}
