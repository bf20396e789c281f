//! Requests at the owner: waiting lines, slots and runs on executors.
//!
//! Teams share a service's slots by start-time fair queueing (Goyal, Vin and
//! Cheng, 1996) on slot time, weighted by share.
//!
//! Invariant: no executor has more runs than slots, a team holds at most its
//! allotted slots, and a run whose fate is unknown keeps its slot until it
//! must have ended.

use std::time::Duration;

use model::{Answer, Name, Reason, Refusal, Vm, VmLifecycle};
use wire::{Frame, ServeRequest};

use crate::event::{Effect, Execute, ExecuteFault, Measure, Whole};
use crate::node::Node;
use crate::slots::{MIN_HEDGE, Run, Service, Slots, Waiting};

/// Time in which a frame may be repeated.
const REPEAT_TIME: Duration = Duration::from_secs(60);
/// Runs tried for one request before it is refused.
const MAX_RUNS: u32 = 3;
/// Time for which a failing executor is avoided.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Time after which a run has ended even if its answer never came.
const MAX_RUN: Duration = Duration::from_secs(30);
/// Means of a run that must be left to the deadline for a request to be sent.
const MIN_LEFT_MEANS: f64 = 1.5;

impl Node {
    /// Takes an executor from the VM list.
    pub(crate) fn learn_executor(&mut self, vm: &Vm) {
        let Some(executor) = &vm.executor else {
            return;
        };
        let live = vm.life == VmLifecycle::Live;
        let known = self.dispatcher.executors.iter_mut();
        match known.into_iter().find(|e| e.name == vm.name) {
            Some(slots) => slots.live = live,
            None => self.dispatcher.executors.push(Slots {
                name: vm.name.clone(),
                service: executor.service.clone(),
                address: executor.address.clone(),
                slots: executor.slots.min(executor.connections),
                busy: 0,
                live,
                usable: live,
                avoid_until: Duration::ZERO,
            }),
        }
    }

    /// Queues a request of a gateway, or refuses it.
    pub(crate) fn serve_from(&mut self, origin: &Name, serve: ServeRequest) {
        let until = self.now + REPEAT_TIME;
        if !self.dispatcher.is_new(serve.id, until) {
            return; // A repeated frame.
        }
        if let Some(refusal) = self.refuse_serve(&serve) {
            return self.answer_origin(origin, serve.id, Answer::Refused(refusal));
        }
        let waiting = Waiting {
            origin: origin.clone(),
            arrived: self.now,
            deadline: self.now + Duration::from_millis(serve.budget_ms),
            runs: 0,
            may_have_run: false,
            serve,
        };
        self.enqueue(waiting, false);
    }

    fn refuse_serve(&self, serve: &ServeRequest) -> Option<Refusal> {
        let second = Duration::from_secs(1);
        let slots = self.dispatcher.slots_of(&serve.service);
        if !self.owner.is_active() || slots == 0 {
            return Some(Refusal::temporary(Reason::NoBackend, second));
        }
        if self.refuses_work() {
            return Some(Refusal::temporary(Reason::ShuttingDown, second));
        }
        let service = self.dispatcher.services.get(&serve.service)?;
        let line = service.lines.get(&serve.team)?;
        let waiting = line.waiting.len() as u32;
        let share = self.share_of(&serve.team);
        let rivals = service.lines.iter().filter(|(_, l)| !l.waiting.is_empty());
        let shares: f64 = rivals.map(|(name, _)| self.share_of(name)).sum();
        let own_slots = f64::from(slots) * share / shares.max(share);
        let wait_ms = f64::from(waiting) * service.mean_ms / own_slots.max(0.1);
        let full = waiting >= self.configuration.config.preset().max_waiting;
        let late = wait_ms > serve.budget_ms as f64;
        let retry = Duration::from_millis(wait_ms.clamp(50.0, 30_000.0) as u64);
        (full || late).then_some(Refusal::temporary(Reason::Overloaded, retry))
    }

    fn share_of(&self, team: &Name) -> f64 {
        let teams = &self.configuration.config.teams;
        teams.get(team).map_or(1.0, |t| f64::from(t.share))
    }

    fn enqueue(&mut self, waiting: Waiting, again: bool) {
        let name = waiting.serve.service.clone();
        let service = self.dispatcher.services.entry(name).or_default();
        service.waiting += 1;
        let floor = service.virtual_time;
        let line = service.lines.entry(waiting.serve.team.clone()).or_default();
        if line.waiting.is_empty() {
            line.virtual_time = line.virtual_time.max(floor);
        }
        match again {
            true => line.waiting.push_front(waiting),
            false => line.waiting.push_back(waiting),
        }
    }

    /// Sends waiting requests while slots are free.
    pub(crate) fn pump_all(&mut self) {
        if !self.owner.is_active() {
            return;
        }
        let names: Vec<Name> = self.dispatcher.services.keys().cloned().collect();
        for name in names {
            while self.pump(&name) {}
        }
    }

    fn pump(&mut self, name: &Name) -> bool {
        let waiting = self.dispatcher.services.get(name).map_or(0, |s| s.waiting);
        if waiting == 0 {
            return false;
        }
        let Some(executor) = self.dispatcher.free_executor(name, self.now) else {
            return false;
        };
        let Some(team) = self.next_team(name) else {
            return false;
        };
        let share = self.share_of(&team);
        let Some(service) = self.dispatcher.services.get_mut(name) else {
            return false;
        };
        let Some(line) = service.lines.get_mut(&team) else {
            return false;
        };
        let Some(waiting) = line.waiting.pop_front() else {
            return false;
        };
        service.waiting -= 1;
        service.virtual_time = service.virtual_time.max(line.virtual_time);
        line.virtual_time += service.mean_ms / share;
        let charged = service.mean_ms;
        self.run(waiting, executor, charged);
        true
    }

    /// The waiting team with the least weighted slot time, within limits.
    fn next_team(&self, name: &Name) -> Option<Name> {
        let service = self.dispatcher.services.get(name)?;
        let mut best: Option<(f64, &Name)> = None;
        for (team, line) in &service.lines {
            if line.waiting.is_empty() || !self.may_acquire_slot(team) {
                continue;
            }
            if best.is_none_or(|(b, _)| line.virtual_time < b) {
                best = Some((line.virtual_time, team));
            }
        }
        best.map(|(_, team)| team.clone())
    }

    fn run(&mut self, waiting: Waiting, executor: usize, charged: f64) {
        self.dispatcher.next_run += 1;
        let id = self.dispatcher.next_run;
        let entry = &mut self.dispatcher.executors[executor];
        entry.busy += 1;
        let team = waiting.serve.team.clone();
        *self.dispatcher.held.entry(team.clone()).or_default() += 1;
        let wait = self.now.saturating_sub(waiting.arrived);
        self.out.push(Effect::Record {
            measure: Measure::RequestWait,
            team: team.clone(),
            value: wait.as_millis() as u64,
        });
        self.out.push(Effect::Execute(Box::new(Execute {
            id,
            address: entry.address.clone(),
            team,
            queue: waiting.serve.queue.clone(),
            body: waiting.serve.body.clone(),
            timeout: MAX_RUN,
            fresh: waiting.serve.at_most_once || waiting.may_have_run,
        })));
        self.dispatcher.runs.insert(
            id,
            Run {
                waiting,
                executor,
                started: self.now,
                charged,
                hedged: false,
            },
        );
    }

    /// An executor's answer, matched to its run by id.
    pub(crate) fn executed(&mut self, id: u64, result: Result<Whole, ExecuteFault>) {
        let Some(run) = self.dispatcher.runs.remove(&id) else {
            return;
        };
        let team = run.waiting.serve.team.clone();
        self.correct_charge(&run, &team);
        match result {
            Ok(whole) => {
                self.free_slot(run.executor, &team);
                let answer = Answer::Done {
                    status: whole.status,
                    body: whole.body,
                };
                self.answer_origin(&run.waiting.origin, run.waiting.serve.id, answer);
            }
            Err(ExecuteFault::NotRun) => {
                self.free_slot(run.executor, &team);
                self.avoid(run.executor);
                if !run.hedged {
                    self.run_again(run.waiting);
                }
            }
            Err(ExecuteFault::Lost) => {
                self.avoid(run.executor);
                let until = run.started + MAX_RUN;
                let ghost = (until, id, run.executor, team);
                self.dispatcher.ghosts.insert(ghost);
                let (origin, id) = (&run.waiting.origin, run.waiting.serve.id);
                if !run.hedged {
                    self.answer_origin(origin, id, Answer::Unknown);
                }
            }
        }
    }

    /// Corrects a team's virtual time from the guessed to the real length.
    fn correct_charge(&mut self, run: &Run, team: &Name) {
        let share = self.share_of(team);
        let ran_ms = self.now.saturating_sub(run.started).as_secs_f64() * 1_000.0;
        let service = self.dispatcher.services.get_mut(&run.waiting.serve.service);
        let Some(service) = service else {
            return;
        };
        service.learn(ran_ms);
        if let Some(line) = service.lines.get_mut(team) {
            line.virtual_time += (ran_ms - run.charged) / share;
        }
    }

    fn run_again(&mut self, mut waiting: Waiting) {
        waiting.runs += 1;
        if waiting.runs < MAX_RUNS && waiting.deadline > self.now {
            return self.enqueue(waiting, true);
        }
        let answer = waiting.unsent(Reason::NoBackend);
        self.answer_origin(&waiting.origin, waiting.serve.id, answer);
    }

    fn avoid(&mut self, executor: usize) {
        self.dispatcher.executors[executor].avoid_until = self.now + AVOID_TIME;
    }

    fn free_slot(&mut self, executor: usize, team: &Name) {
        let entry = &mut self.dispatcher.executors[executor];
        entry.busy = entry.busy.saturating_sub(1);
        let held = self.dispatcher.held.get_mut(team);
        held.into_iter().for_each(|n| *n = n.saturating_sub(1));
    }

    fn answer_origin(&mut self, origin: &Name, id: u64, answer: Answer) {
        match *origin == self.settings.identity.name {
            true => self.served(id, &origin.clone(), answer),
            false => self.send(origin, Frame::Served { id, answer }),
        }
    }

    /// Drops a request that still waits.
    pub(crate) fn drop_waiting(&mut self, id: u64) {
        for service in self.dispatcher.services.values_mut() {
            for line in service.lines.values_mut() {
                let before = line.waiting.len();
                line.waiting.retain(|w| w.serve.id != id);
                service.waiting -= (before - line.waiting.len()) as u32;
            }
        }
    }

    /// Sends idempotent requests once more whose run takes far longer than
    /// usual: its connection may have gone silent. The first answer counts.
    fn hedge(&mut self) {
        let mut again = Vec::new();
        for run in self.dispatcher.runs.values_mut() {
            let waiting = &run.waiting;
            let service = self.dispatcher.services.get(&waiting.serve.service);
            let usual = service.map_or(MIN_HEDGE, Service::slow_after);
            let slow = run.started + usual <= self.now && self.now < waiting.deadline;
            if slow && !run.hedged && !waiting.serve.at_most_once && self.gateway.spend_retry() {
                run.hedged = true;
                let mut second = waiting.clone();
                second.may_have_run = true;
                again.push((run.executor, second));
            }
        }
        for (executor, waiting) in again {
            self.avoid(executor);
            self.enqueue(waiting, true);
        }
    }

    /// Refuses requests that can't be answered before their deadline any more,
    /// and frees slots of runs that must have ended.
    pub(crate) fn tick_dispatcher(&mut self) {
        let now = self.now;
        self.dispatcher.seen.retain(|_, until| *until > now);
        self.hedge();
        let mut late: Vec<Waiting> = Vec::new();
        for service in self.dispatcher.services.values_mut() {
            let needed = Duration::from_secs_f64(service.mean_ms * MIN_LEFT_MEANS / 1_000.0);
            for line in service.lines.values_mut() {
                let before = line.waiting.len();
                line.waiting.retain(|w| {
                    let over = w.deadline <= now + needed && w.arrived < now;
                    if over {
                        late.push(w.clone());
                    }
                    !over
                });
                service.waiting -= (before - line.waiting.len()) as u32;
            }
        }
        for waiting in late {
            let answer = waiting.unsent(Reason::Expired);
            self.answer_origin(&waiting.origin, waiting.serve.id, answer);
        }
        while let Some(ghost) = self.dispatcher.ghosts.first().cloned() {
            if ghost.0 > now {
                break;
            }
            self.free_slot(ghost.2, &ghost.3);
            self.dispatcher.ghosts.remove(&ghost);
        }
    }

    /// Refuses everything that waits, when ownership is lost.
    pub(crate) fn refuse_waiting(&mut self) {
        let mut all: Vec<Waiting> = Vec::new();
        for service in self.dispatcher.services.values_mut() {
            for line in service.lines.values_mut() {
                all.extend(line.waiting.drain(..));
            }
            service.waiting = 0;
        }
        for waiting in all {
            let answer = waiting.unsent(Reason::NoBackend);
            self.answer_origin(&waiting.origin, waiting.serve.id, answer);
        }
    }
}
