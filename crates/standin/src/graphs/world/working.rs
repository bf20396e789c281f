//! Orders on their way to backend servers, and what these do.
//!
//! Invariant: every order is answered, or counted as lost after a time-out.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{End, JobId, Name, TaskName};
use sched::{CallId, Event, Order};

use crate::graphs::callers::Shape;
use crate::graphs::faults::Fault;
use crate::graphs::server::Happening;
use crate::graphs::world::{Action, HOP, TIMEOUT, World};

impl World {
    pub(super) fn order(
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
            self.lose_order(vm, process, call);
            return;
        };
        let late = self.has(Fault::LateOrders) && self.rng.f64() < 0.2;
        if late {
            let delay = Duration::from_millis(self.rng.u64(1_000..6_000));
            let incarnation = self.servers[server].incarnation;
            let action = Action::LateOrder(server, incarnation, epoch, order);
            self.at(self.now + delay, action);
            self.lose_order(vm, process, call);
            return;
        }
        let action = Action::Order(vm, process, call, server, epoch, order);
        self.at(self.now + HOP, action);
    }

    pub(super) fn lose_order(&mut self, vm: usize, process: u64, call: CallId) {
        let result = Err(sched::OrderError::Lost);
        self.later(vm, process, TIMEOUT, Event::OrderAnswered { call, result });
    }

    pub(super) fn obey(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        server: usize,
        epoch: u64,
        order: &Order,
    ) {
        if !self.servers[server].up {
            self.lose_order(vm, process, call);
            return;
        }
        let work = match order {
            Order::Start { run, .. } => {
                let client = self.clients.get(&run.task.job);
                client.and_then(|client| client.work(&run.task))
            }
            _ => None,
        };
        let mut happenings = Vec::new();
        let entry = &mut self.servers[server];
        let outcome = entry.obey(epoch, order, work.as_ref(), self.now, &mut happenings);
        self.note(server, &happenings);
        self.form_gangs();
        let waits = match order {
            Order::RenewLease { max_wait: wait, .. } => {
                !wait.is_zero() && !self.servers[server].has_ends()
            }
            _ => false,
        };
        match (order, waits) {
            (Order::RenewLease { max_wait: wait, .. }, true) => {
                // Half the wait stands for an end that comes meanwhile.
                let at = self.now + *wait / 4;
                self.at(at, Action::Answer(vm, process, call, server, epoch));
            }
            _ => {
                let result = Ok(outcome);
                self.later(vm, process, HOP, Event::OrderAnswered { call, result });
            }
        }
    }

    pub(super) fn answer_hold(
        &mut self,
        vm: usize,
        process: u64,
        call: CallId,
        server: usize,
        epoch: u64,
    ) {
        if !self.reaches_server(vm, server) {
            self.lose_order(vm, process, call);
            return;
        }
        let look = Order::RenewLease {
            lease_end: None,
            acknowledged: 0,
            max_wait: Duration::ZERO,
        };
        let mut happenings = Vec::new();
        let entry = &mut self.servers[server];
        let outcome = entry.obey(epoch, &look, None, self.now, &mut happenings);
        self.note(server, &happenings);
        let result = Ok(outcome);
        self.later(vm, process, HOP, Event::OrderAnswered { call, result });
    }

    pub(super) fn advance(&mut self, server: usize) {
        let mut happenings = Vec::new();
        self.servers[server].advance(self.now, &mut happenings);
        self.note(server, &happenings);
    }

    pub(super) fn note(&mut self, server: usize, happenings: &[Happening]) {
        let mut broken = Vec::new();
        let in_touch = self.now >= self.out_of_touch_until && !self.late;
        for happening in happenings {
            if self.trace {
                println!("{:?} s{server} {happening:?}", self.now);
            }
            let (servers, clients) = (&self.servers, &self.clients);
            self.truth.note(
                server,
                happening,
                servers,
                clients,
                (self.now, in_touch),
                &mut broken,
            );
            if let Happening::Ended(run, end) = happening {
                self.break_gang(&run.task, *end);
            }
        }
        let now = self.now;
        self.report
            .broken
            .extend(broken.into_iter().map(|b| (now, b)));
    }

    /// Lets gangs of which all members are there work towards their end.
    pub(super) fn form_gangs(&mut self) {
        let mut members: BTreeMap<(JobId, u32, u64), Vec<(usize, TaskName)>> = BTreeMap::new();
        for (at, server) in self.servers.iter().enumerate().filter(|(_, s)| s.up) {
            for (task, live) in &server.live {
                let waits = live.ends.is_some_and(|(_, end)| end == End::Alone);
                if waits {
                    let gang = (task.job.clone(), task.step, live.number);
                    members.entry(gang).or_default().push((at, task.clone()));
                }
            }
        }
        for ((job, step, _), members) in members {
            let wanted = self.clients[&job].graph.steps[step as usize].tasks;
            if members.len() as u32 == wanted {
                let ends = self.now + Duration::from_millis(600);
                for (at, task) in members {
                    if let Some(live) = self.servers[at].live.get_mut(&task) {
                        live.ends = Some((ends, End::Completed));
                    }
                }
            }
        }
    }

    /// The members of a gang end with the first of them. Only the first end
    /// of a completed gang is listed.
    pub(super) fn break_gang(&mut self, task: &TaskName, end: End) {
        let gang = self
            .clients
            .get(&task.job)
            .is_some_and(|c| c.shape == Shape::Gang);
        if !gang || end == End::Broken {
            return;
        }
        for server in 0..self.servers.len() {
            let others: Vec<TaskName> = self.servers[server]
                .live
                .keys()
                .filter(|other| other.job == task.job && other.step == task.step)
                .cloned()
                .collect();
            for other in others {
                let mut happenings = Vec::new();
                match end {
                    End::Completed => drop(self.servers[server].live.remove(&other)),
                    _ => self.servers[server].end(&other, End::Broken, &mut happenings),
                }
                self.note(server, &happenings);
            }
        }
    }
}
