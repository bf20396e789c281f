//! Request dispatch at the owner: team queues, slots and runs on executors.
//!
//! Slot time of a service is divided among teams by start-time fair queueing
//! (Goyal, Vin and Cheng, 1996), weighted by share.
//!
//! Invariant: no executor has more runs than slots, a team holds at most its
//! allotted slots, and a run with an unknown outcome occupies its slot until
//! its timeout has passed.

use std::time::Duration;

use model::{Answer, Name, Reason, Refusal, Vm, VmLifecycle};
use wire::{Frame, ServeRequest};

use crate::event::{Effect, Execute, ExecuteError, ExecutorResponse, Metric};
use crate::node::Node;
use crate::slots::{Executor, MIN_HEDGE_DELAY, QueuedRequest, Run, ServiceQueues};

/// Period during which repeated `Serve` frames are detected and ignored.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(60);
/// Maximum number of executor attempts per request before it is refused.
const MAX_ATTEMPTS: u32 = 3;
/// Period during which an executor receives no new requests after a failed or
/// slow run.
const AVOID_DURATION: Duration = Duration::from_secs(2);
/// Timeout of a run, after which a run without a response must have ended and
/// its slot is released.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time to the deadline for a request to be sent, as a multiple of the
/// mean run time.
const MIN_REMAINING_MEANS: f64 = 1.5;

impl Node {
    /// Adds or updates the executor of a VM in the VM list.
    pub(crate) fn update_executor(&mut self, vm: &Vm) {
        let Some(executor) = &vm.executor else {
            return;
        };
        let live = vm.life == VmLifecycle::Live;
        let executors = self.dispatcher.executors.iter_mut();
        match executors.into_iter().find(|e| e.name == vm.name) {
            Some(found) => found.live = live,
            None => self.dispatcher.executors.push(Executor {
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

    /// Queues or refuses a request from a gateway.
    pub(crate) fn handle_serve(&mut self, origin: &Name, serve: ServeRequest) {
        let until = self.now + DUPLICATE_WINDOW;
        if !self.dispatcher.record_request(serve.id, until) {
            return; // The frame is a duplicate.
        }
        if let Some(refusal) = self.check_admission(&serve) {
            return self.send_answer(origin, serve.id, Answer::Refused(refusal));
        }
        let request = QueuedRequest {
            origin: origin.clone(),
            arrived_at: self.now,
            deadline: self.now + Duration::from_millis(serve.budget_ms),
            attempts: 0,
            may_have_run: false,
            serve,
        };
        self.enqueue_request(request, false);
    }

    /// Returns a refusal if the request can't be queued: no backend, shutdown, a
    /// full queue, or an estimated wait beyond the caller's deadline.
    fn check_admission(&self, serve: &ServeRequest) -> Option<Refusal> {
        let second = Duration::from_secs(1);
        let slots = self.dispatcher.usable_slots(&serve.service);
        if !self.owner.is_active() || !self.may_start() || slots == 0 {
            return Some(Refusal::temporary(Reason::NoBackend, second));
        }
        if self.refuses_work() {
            return Some(Refusal::temporary(Reason::ShuttingDown, second));
        }
        let service = self.dispatcher.services.get(&serve.service)?;
        let queue = service.team_queues.get(&serve.team)?;
        let waiting = queue.waiting.len() as u32;
        let share = self.share_of(&serve.team);
        let competing = service
            .team_queues
            .iter()
            .filter(|(_, q)| !q.waiting.is_empty());
        let shares: f64 = competing.map(|(name, _)| self.share_of(name)).sum();
        let own_slots = f64::from(slots) * share / shares.max(share);
        let wait_ms = f64::from(waiting) * service.mean_ms / own_slots.max(0.1);
        let full = waiting >= self.configuration.config.preset().max_waiting;
        let too_late = wait_ms > serve.budget_ms as f64;
        let retry = Duration::from_millis(wait_ms.clamp(50.0, 30_000.0) as u64);
        (full || too_late).then_some(Refusal::temporary(Reason::Overloaded, retry))
    }

    fn share_of(&self, team: &Name) -> f64 {
        let teams = &self.configuration.config.teams;
        teams.get(team).map_or(1.0, |t| f64::from(t.share))
    }

    fn enqueue_request(&mut self, request: QueuedRequest, at_front: bool) {
        let name = request.serve.service.clone();
        let service = self.dispatcher.services.entry(name).or_default();
        service.waiting += 1;
        let floor = service.virtual_time;
        let queue = service
            .team_queues
            .entry(request.serve.team.clone())
            .or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(floor);
        }
        match at_front {
            true => queue.waiting.push_front(request),
            false => queue.waiting.push_back(request),
        }
    }

    /// Sends queued requests to executors while slots are free.
    pub(crate) fn dispatch_all(&mut self) {
        if !self.owner.is_active() {
            return;
        }
        if !self.may_start() {
            return self.refuse_queued();
        }
        let names: Vec<Name> = self.dispatcher.services.keys().cloned().collect();
        for name in names {
            while self.dispatch_next(&name) {}
        }
    }

    fn dispatch_next(&mut self, name: &Name) -> bool {
        let waiting = self.dispatcher.services.get(name).map_or(0, |s| s.waiting);
        if waiting == 0 {
            return false;
        }
        let Some(executor_index) = self.dispatcher.select_executor(name, self.now) else {
            return false;
        };
        let Some(team) = self.next_team(name) else {
            return false;
        };
        let share = self.share_of(&team);
        let Some(service) = self.dispatcher.services.get_mut(name) else {
            return false;
        };
        let Some(queue) = service.team_queues.get_mut(&team) else {
            return false;
        };
        let Some(request) = queue.waiting.pop_front() else {
            return false;
        };
        service.waiting -= 1;
        service.virtual_time = service.virtual_time.max(queue.virtual_time);
        queue.virtual_time += service.mean_ms / share;
        let charged_ms = service.mean_ms;
        self.start_run(request, executor_index, charged_ms);
        true
    }

    /// Returns the team with the lowest virtual time among those that have queued
    /// requests and may acquire a slot.
    fn next_team(&self, name: &Name) -> Option<Name> {
        let service = self.dispatcher.services.get(name)?;
        let mut best: Option<(f64, &Name)> = None;
        for (team, queue) in &service.team_queues {
            if queue.waiting.is_empty() || !self.may_acquire_slot(team) {
                continue;
            }
            if best.is_none_or(|(b, _)| queue.virtual_time < b) {
                best = Some((queue.virtual_time, team));
            }
        }
        best.map(|(_, team)| team.clone())
    }

    fn start_run(&mut self, request: QueuedRequest, executor_index: usize, charged_ms: f64) {
        self.dispatcher.last_run_id += 1;
        let id = self.dispatcher.last_run_id;
        let executor = &mut self.dispatcher.executors[executor_index];
        executor.busy += 1;
        let team = request.serve.team.clone();
        *self.dispatcher.slots_held.entry(team.clone()).or_default() += 1;
        let wait = self.now.saturating_sub(request.arrived_at);
        self.effects.push(Effect::RecordMetric {
            metric: Metric::RequestWait,
            team: team.clone(),
            value: wait.as_millis() as u64,
        });
        self.effects.push(Effect::Execute(Box::new(Execute {
            id,
            address: executor.address.clone(),
            team,
            queue: request.serve.queue.clone(),
            body: request.serve.body.clone(),
            timeout: RUN_TIMEOUT,
            new_connection: request.serve.at_most_once || request.may_have_run,
        })));
        self.dispatcher.runs.insert(
            id,
            Run {
                request,
                executor_index,
                started_at: self.now,
                charged_ms,
                hedged: false,
            },
        );
    }

    /// Handles an executor's response or failure, matched to its run by id.
    pub(crate) fn handle_execute_result(
        &mut self,
        id: u64,
        result: Result<ExecutorResponse, ExecuteError>,
    ) {
        let Some(run) = self.dispatcher.runs.remove(&id) else {
            return;
        };
        let team = run.request.serve.team.clone();
        self.correct_charge(&run, &team);
        match result {
            Ok(response) => {
                self.release_slot(run.executor_index, &team);
                let answer = Answer::Done {
                    status: response.status,
                    body: response.body,
                };
                self.send_answer(&run.request.origin, run.request.serve.id, answer);
            }
            Err(ExecuteError::NotRun) => {
                self.release_slot(run.executor_index, &team);
                self.avoid_executor(run.executor_index);
                if !run.hedged {
                    self.retry_request(run.request);
                }
            }
            Err(ExecuteError::Lost) => {
                self.avoid_executor(run.executor_index);
                let until = run.started_at + RUN_TIMEOUT;
                let unresolved = (until, id, run.executor_index, team);
                self.dispatcher.unresolved_runs.insert(unresolved);
                let (origin, id) = (&run.request.origin, run.request.serve.id);
                if !run.hedged {
                    self.send_answer(origin, id, Answer::Unknown);
                }
            }
        }
    }

    /// Corrects a team's virtual time by the difference between the estimated and
    /// the actual run time.
    fn correct_charge(&mut self, run: &Run, team: &Name) {
        let share = self.share_of(team);
        let ran_ms = self.now.saturating_sub(run.started_at).as_secs_f64() * 1_000.0;
        let service = self.dispatcher.services.get_mut(&run.request.serve.service);
        let Some(service) = service else {
            return;
        };
        service.record_run(ran_ms);
        if let Some(queue) = service.team_queues.get_mut(team) {
            queue.virtual_time += (ran_ms - run.charged_ms) / share;
        }
    }

    fn retry_request(&mut self, mut request: QueuedRequest) {
        request.attempts += 1;
        if request.attempts < MAX_ATTEMPTS && request.deadline > self.now && self.may_start() {
            return self.enqueue_request(request, true);
        }
        let answer = request.answer_not_sent(Reason::NoBackend);
        self.send_answer(&request.origin, request.serve.id, answer);
    }

    fn avoid_executor(&mut self, executor_index: usize) {
        self.dispatcher.executors[executor_index].avoid_until = self.now + AVOID_DURATION;
    }

    fn release_slot(&mut self, executor_index: usize, team: &Name) {
        let executor = &mut self.dispatcher.executors[executor_index];
        executor.busy = executor.busy.saturating_sub(1);
        let held = self.dispatcher.slots_held.get_mut(team);
        held.into_iter().for_each(|n| *n = n.saturating_sub(1));
    }

    fn send_answer(&mut self, origin: &Name, id: u64, answer: Answer) {
        match *origin == self.settings.identity.name {
            true => self.handle_answer(id, &origin.clone(), answer),
            false => self.send(origin, Frame::Served { id, answer }),
        }
    }

    /// Removes a request if it is still queued.
    pub(crate) fn drop_queued(&mut self, id: u64) {
        for service in self.dispatcher.services.values_mut() {
            for queue in service.team_queues.values_mut() {
                let before = queue.waiting.len();
                queue.waiting.retain(|w| w.serve.id != id);
                service.waiting -= (before - queue.waiting.len()) as u32;
            }
        }
    }

    /// Queues a second attempt of idempotent requests that run far longer than
    /// usual, because the connection may be dead. The first response wins.
    fn hedge_slow_runs(&mut self) {
        if !self.owner.is_active() || !self.may_start() {
            return; // A second attempt could not start.
        }
        let mut repeats = Vec::new();
        for run in self.dispatcher.runs.values_mut() {
            let request = &run.request;
            let service = self.dispatcher.services.get(&request.serve.service);
            let delay = service.map_or(MIN_HEDGE_DELAY, ServiceQueues::hedge_delay);
            let slow = run.started_at + delay <= self.now && self.now < request.deadline;
            if slow && !run.hedged && !request.serve.at_most_once && self.gateway.take_retry_token()
            {
                run.hedged = true;
                let mut second = request.clone();
                second.may_have_run = true;
                repeats.push((run.executor_index, second));
            }
        }
        for (executor_index, request) in repeats {
            self.avoid_executor(executor_index);
            self.enqueue_request(request, true);
        }
    }

    /// Refuses queued requests that can no longer meet their deadline, and
    /// releases the slots of unresolved runs whose timeout has passed.
    pub(crate) fn tick_dispatcher(&mut self) {
        let now = self.now;
        self.dispatcher
            .recent_requests
            .retain(|_, until| *until > now);
        self.hedge_slow_runs();
        let mut expired: Vec<QueuedRequest> = Vec::new();
        for service in self.dispatcher.services.values_mut() {
            let needed = Duration::from_secs_f64(service.mean_ms * MIN_REMAINING_MEANS / 1_000.0);
            for queue in service.team_queues.values_mut() {
                let before = queue.waiting.len();
                queue.waiting.retain(|w| {
                    let over = w.deadline <= now + needed && w.arrived_at < now;
                    if over {
                        expired.push(w.clone());
                    }
                    !over
                });
                service.waiting -= (before - queue.waiting.len()) as u32;
            }
        }
        for request in expired {
            let answer = request.answer_not_sent(Reason::Expired);
            self.send_answer(&request.origin, request.serve.id, answer);
        }
        while let Some(unresolved) = self.dispatcher.unresolved_runs.first().cloned() {
            if unresolved.0 > now {
                break;
            }
            self.release_slot(unresolved.2, &unresolved.3);
            self.dispatcher.unresolved_runs.remove(&unresolved);
        }
    }

    /// Refuses all queued requests, when ownership is lost or nothing may start
    /// here. A second attempt whose first one still runs is dropped, and the first
    /// one answers the request.
    pub(crate) fn refuse_queued(&mut self) {
        let mut all: Vec<QueuedRequest> = Vec::new();
        for service in self.dispatcher.services.values_mut() {
            for queue in service.team_queues.values_mut() {
                all.extend(queue.waiting.drain(..));
            }
            service.waiting = 0;
        }
        for request in all {
            let mut runs = self.dispatcher.runs.values_mut();
            let first = runs.find(|r| r.hedged && r.request.serve.id == request.serve.id);
            if let Some(first) = first {
                first.hedged = false;
                continue;
            }
            let answer = request.answer_not_sent(Reason::NoBackend);
            self.send_answer(&request.origin, request.serve.id, answer);
        }
    }
}
