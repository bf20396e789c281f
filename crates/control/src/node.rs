//! Node state and event dispatch.
//!
//! Invariant: an event is processed with the time of its processing, not of its
//! origin, so a pause of the process always shows as elapsed time.

use std::time::Duration;

use model::{Epoch, Name, Role, TableError, VmLifecycle, VmList};
use wire::{Frame, JobQuery};

use crate::configuration::Configuration;
use crate::event::{ApiRequest, CallerId, Effect, Event, Fleet, Reply, TableCall};
use crate::gateway::Gateway;
use crate::jobs::OPERATOR_TEAM;
use crate::membership::Members;
use crate::notice::Notice;
use crate::owner::Owner;
use crate::settings::Settings;
use crate::slots::Dispatcher;
use crate::store::{Purpose, Store, TableResponse};

/// Minimum gap between events that is reported as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Delay between readiness turning false and the first refusal of work, so
/// that the load balancer can stop sending callers first.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// Maximum duration of a graceful shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The reducer of one entry VM.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) now: Duration,
    pub(crate) rng: fastrand::Rng,
    pub(crate) store: Store,
    pub(crate) members: Members,
    pub(crate) configuration: Configuration,
    pub(crate) gateway: Gateway,
    pub(crate) owner: Owner,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) effects: Vec<Effect>,
    pub(crate) draining_since: Option<Duration>,
    store_was_down: bool,
    next_vm_list_at: Duration,
    vm_list_version: u64,
    vm_list_requested_at: Option<Duration>,
    next_poll_at: Duration,
    exited: bool,
}

impl Node {
    /// Creates a node in its initial state.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Self {
        Self {
            members: Members::new(&settings.peers),
            store: Store::new(settings.store_writes_per_second),
            configuration: Configuration::default(),
            gateway: Gateway::default(),
            owner: Owner::new(settings.identity.data_centre.clone(), now),
            dispatcher: Dispatcher::default(),
            rng: fastrand::Rng::with_seed(seed),
            now,
            effects: Vec::new(),
            draining_since: None,
            store_was_down: false,
            next_vm_list_at: now,
            vm_list_version: 0,
            vm_list_requested_at: None,
            next_poll_at: now,
            exited: false,
            settings,
        }
    }

    /// Returns whether the platform's load balancer may send callers to this
    /// node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.draining_since.is_none() && self.configuration.config.version > 0
    }

    /// Returns the version of the active configuration.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.configuration.config.version
    }

    /// Returns whether the active configuration contains a team.
    #[must_use]
    pub fn has_team(&self, team: &Name) -> bool {
        self.configuration.config.teams.contains_key(team)
    }

    /// Returns the status of a job that this node manages as the owner.
    #[must_use]
    pub fn job_status(&self, id: &model::JobId) -> Option<model::Status> {
        self.status_of(id).ok()
    }

    /// Returns whether this node owns its data centre's workers.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.owner.is_active()
    }

    /// Processes one event at time `now` and appends the resulting effects to
    /// `out`.
    pub fn step(&mut self, event: Event, now: Duration, out: &mut Vec<Effect>) {
        std::mem::swap(&mut self.effects, out);
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > PAUSE_THRESHOLD {
            self.log(Notice::EventGap(gap.as_millis() as u64));
            self.update_usable_workers();
        }
        self.update_starts();
        self.handle_event(event);
        self.update_starts();
        self.place_tasks();
        self.unbind_retired();
        self.dispatch_all();
        self.flush_store();
        std::mem::swap(&mut self.effects, out);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::ApiRequest { caller, request } => self.handle_request(caller, request),
            Event::CallerDisconnected { caller } => self.handle_caller_disconnect(caller),
            Event::Frame { from, frame } => self.handle_frame(&from, frame),
            Event::FrameMalformed { detail } => self.log(Notice::FrameMalformed(detail)),
            Event::FrameNotSent { to, frame } => self.handle_frame_not_sent(&to, frame),
            Event::TableResult { id, result } => self.handle_table_result(id, result),
            Event::WorkerResult { id, result } => self.handle_worker_result(id, result),
            Event::ExecuteResult { id, result } => self.handle_execute_result(id, result),
            Event::VmList(Some(vm_list)) => self.apply_vm_list(&vm_list),
            Event::VmList(None) => self.vm_list_requested_at = None,
            Event::Shutdown => self.shutdown(),
        }
    }

    fn tick(&mut self) {
        self.send_heartbeats();
        self.detect_silent_peers();
        self.update_keys_verifiable();
        if self.now >= self.next_poll_at {
            self.poll();
        }
        self.update_usable_workers();
        if self.now >= self.next_vm_list_at && self.vm_list_requested_at.is_none() {
            self.next_vm_list_at = self.now + self.settings.timing.vm_list;
            self.vm_list_requested_at = Some(self.now);
            let known = self.vm_list_version;
            self.effects.push(Effect::ListVms { known });
        }
        self.tick_changes();
        self.tick_gateway();
        self.tick_dispatcher();
        self.tick_owner();
        self.tick_drain();
    }

    fn handle_request(&mut self, caller: CallerId, request: ApiRequest) {
        match request {
            ApiRequest::Request {
                queue,
                key,
                idempotency_key,
                body,
                timeout,
            } => self.submit_request(caller, queue, key, idempotency_key, body, timeout),
            ApiRequest::Submit {
                queue,
                key,
                idempotency_key,
                spec,
            } => self.submit_job(caller, queue, key, idempotency_key, spec),
            ApiRequest::Job { key, job, query } => self.query_job(caller, key, job, query),
            ApiRequest::Explain { job } => {
                let operators = Name::from(OPERATOR_TEAM);
                self.forward_job_query(caller, operators, job, JobQuery::Status);
            }
            ApiRequest::Change {
                change,
                expected_version,
            } => self.submit_change(caller, change, expected_version),
            ApiRequest::Config => {
                let config = Box::new(self.configuration.config.clone());
                self.reply(caller, Reply::Config(config));
            }
            ApiRequest::Fleet => {
                let fleet = Box::new(self.fleet());
                self.reply(caller, Reply::Fleet(fleet));
            }
        }
    }

    fn handle_frame(&mut self, from: &Name, frame: Frame) {
        match frame {
            Frame::Beat(heartbeat) => self.handle_heartbeat(from, heartbeat),
            Frame::PullConfig => {
                let config = Box::new(self.configuration.config.clone());
                self.send(from, Frame::Config(config));
            }
            Frame::Config(config) => self.install_config(*config),
            Frame::Serve(serve) => self.handle_serve(from, serve),
            Frame::Served { id, answer } => self.handle_answer(id, from, answer),
            Frame::Drop { id } => self.drop_queued(id),
            Frame::Submitted(job) => self.add_job(*job),
            Frame::Ask {
                id,
                team,
                job,
                query,
            } => self.handle_job_query(from, id, &team, &job, query),
            Frame::Told { id, status } => self.handle_job_answer(id, status),
            Frame::Released { data_centre } if data_centre == self.owner.data_centre => {
                self.next_poll_at = self.now;
            }
            Frame::Released { .. } => {}
        }
    }

    fn handle_frame_not_sent(&mut self, to: &Name, frame: Frame) {
        match frame {
            Frame::Serve(serve) => self.handle_serve_not_sent(serve.id, to),
            Frame::Ask { id, .. } => self.handle_query_not_sent(id),
            _ => {}
        }
    }

    fn handle_table_result(&mut self, id: u64, result: Result<TableResponse, TableError>) {
        for (purpose, result, sent_at) in self.store.complete(id, result, self.now) {
            self.dispatch_table_result(purpose, result, sent_at);
        }
        self.log_store_state();
    }

    fn dispatch_table_result(
        &mut self,
        purpose: Purpose,
        result: Result<TableResponse, TableError>,
        sent_at: Duration,
    ) {
        match purpose {
            Purpose::Poll(epoch) => self.handle_poll_result(epoch, result, sent_at),
            Purpose::Change => self.change_written(result),
            Purpose::ChangeCheck => self.change_read(result),
            Purpose::Claim(id) => self.claim_written(id, result),
            Purpose::ClaimCheck(id) => self.claim_read(id, result),
            Purpose::Outcome(id) => self.outcome_written(id, &result),
            Purpose::Accept(id) => self.accept_written(id, result),
            Purpose::AcceptCheck(id) => self.accept_read(id, result),
            Purpose::TakeOver(dc) if dc == self.owner.data_centre => self.takeover_written(result),
            Purpose::Release(dc) if dc == self.owner.data_centre => self.release_written(&result),
            Purpose::TakeOver(_) | Purpose::Release(_) => {}
            Purpose::Save(epoch, job) if self.owner.holds(epoch) => {
                self.save_written(&job, &result);
            }
            Purpose::Allot(epoch, team) if self.owner.holds(epoch) => {
                self.allotment_written(&team, &result);
            }
            // The epoch has ended; the next owner reads the rows.
            Purpose::Save(..) | Purpose::Allot(..) => {}
        }
    }

    fn flush_store(&mut self) {
        let expired = self.store.flush(self.now, &mut self.effects);
        for purpose in expired {
            self.dispatch_table_result(purpose, Err(TableError::Unavailable), self.now);
        }
    }

    fn log_store_state(&mut self) {
        let down = self.store.is_down();
        if down != self.store_was_down {
            self.store_was_down = down;
            self.log(if down {
                Notice::StoreDown
            } else {
                Notice::StoreUp
            });
        }
    }

    pub(crate) fn poll(&mut self) {
        let purpose = Purpose::Poll(self.owner.record.epoch);
        if self.store.is_pending(&purpose) {
            return; // The next poll is due as soon as the one in flight ends.
        }
        self.next_poll_at = self.now + self.settings.timing.poll;
        let rows = vec![
            (Name::from("config"), self.configuration.row_version),
            (self.owner.row_key(), self.owner.row_version),
        ];
        let scans = match self.owner.holds_epoch() {
            true => vec![self.jobs_prefix(), self.allotments_prefix()],
            false => Vec::new(),
        };
        let read = TableCall::Read { rows, scans };
        let effect = self.store.read(read, purpose, self.now);
        self.effects.push(effect);
    }

    fn handle_poll_result(
        &mut self,
        epoch: Epoch,
        result: Result<TableResponse, TableError>,
        sent_at: Duration,
    ) {
        let Ok(TableResponse::Read { rows, scans }) = result else {
            return;
        };
        for (key, cell) in rows {
            match key.as_str() {
                "config" => self.config_polled(cell, sent_at),
                _ if key == self.owner.row_key() => self.owner_polled(cell, sent_at),
                _ => {}
            }
        }
        if !self.owner.holds(epoch) {
            return;
        }
        let mut scans = scans.into_iter();
        if let (Some(jobs), Some(allotments)) = (scans.next(), scans.next()) {
            self.jobs_scanned(jobs);
            self.allotments_scanned(allotments);
        }
    }

    fn apply_vm_list(&mut self, vm_list: &VmList) {
        let Some(requested_at) = self.vm_list_requested_at.take() else {
            return; // The request was already given up.
        };
        if vm_list.version == self.vm_list_version {
            self.confirm_listed_workers(requested_at);
            return;
        }
        self.vm_list_version = vm_list.version;
        let vms = &vm_list.vms;
        for vm in vms.iter().filter(|vm| vm.role == Role::Entry) {
            self.members
                .set_gone(&vm.name, vm.life == VmLifecycle::Gone);
        }
        let here = self.owner.data_centre.clone();
        for vm in vms.iter().filter(|v| v.role == Role::Worker) {
            if vm.data_centre == here {
                self.update_worker(vm, requested_at);
                self.update_executor(vm);
            }
        }
    }

    /// Records for an unchanged VM list that its live workers are not leaving.
    fn confirm_listed_workers(&mut self, requested_at: Duration) {
        let is_live = |w: &&mut crate::calls::TrackedWorker| w.life == VmLifecycle::Live;
        for worker in self.owner.workers.iter_mut().filter(is_live) {
            worker.in_service_at = worker.in_service_at.max(Some(requested_at));
        }
    }

    fn shutdown(&mut self) {
        if self.draining_since.is_none() {
            self.draining_since = Some(self.now);
            self.log(Notice::ShuttingDown);
        }
    }

    /// Returns whether new work is refused because of a shutdown.
    pub(crate) fn refuses_work(&self) -> bool {
        self.draining_since
            .is_some_and(|since| self.now >= since + DRAIN_GRACE)
    }

    fn tick_drain(&mut self) {
        let Some(since) = self.draining_since.filter(|_| !self.exited) else {
            return;
        };
        if !self.refuses_work() {
            return;
        }
        let dispatcher_idle = self.dispatcher.is_idle();
        if dispatcher_idle {
            self.release_ownership();
        }
        let done = dispatcher_idle && self.gateway.is_idle() && self.owner.is_idle();
        if done || self.now >= since + DRAIN_TIMEOUT {
            self.exited = true;
            self.log(Notice::Stopped);
            self.effects.push(Effect::Exit);
        }
    }

    fn fleet(&mut self) -> Fleet {
        Fleet {
            name: self.settings.identity.name.clone(),
            config: self.configuration.config.version,
            preset: self.configuration.config.active_preset.clone(),
            keys_verifiable: self.keys_verifiable(),
            store_up: !self.store.is_down(),
            owner: self.owner.is_active(),
            peers: self.members.snapshot(),
            loads: self.loads(),
            workers: self.owner.worker_statuses(),
            teams: self.team_usages(),
            evacuations: self.evacuations(),
        }
    }

    pub(crate) fn reply(&mut self, caller: CallerId, reply: Reply) {
        self.effects.push(Effect::Reply { caller, reply });
    }

    pub(crate) fn send(&mut self, to: &Name, frame: Frame) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            frame,
        });
    }

    pub(crate) fn log(&mut self, notice: Notice) {
        self.effects.push(Effect::Log(notice));
    }
}
