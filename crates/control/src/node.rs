//! The node's state and the dispatch of events.
//!
//! Invariant: an event is handled with the time at which it is handled, not
//! the time at which it arose, so a pause is always seen as time passed.

use std::time::Duration;

use model::{Epoch, Name, Role, TableError, VmLifecycle, VmList};
use wire::{Frame, JobQuery};

use crate::configuration::Configuration;
use crate::event::{Ask, CallerId, Effect, Event, Fleet, Reply, Tables};
use crate::gateway::Gateway;
use crate::jobs::OPERATOR_TEAM;
use crate::membership::Members;
use crate::notice::Notice;
use crate::owner::Owner;
use crate::settings::Settings;
use crate::slots::Dispatcher;
use crate::store::{Purpose, Store, TableResponse};

/// Gap between events that is reported as a pause.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time between readiness turning false and the first refusal.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// Longest graceful shutdown.
const DRAIN_MAX: Duration = Duration::from_secs(30);

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
    pub(crate) out: Vec<Effect>,
    pub(crate) draining_since: Option<Duration>,
    store_was_down: bool,
    next_vms: Duration,
    vms_version: u64,
    vms_asked: Option<Duration>,
    next_poll: Duration,
    exited: bool,
}

impl Node {
    /// A node that knows nothing but its settings.
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
            out: Vec::new(),
            draining_since: None,
            store_was_down: false,
            next_vms: now,
            vms_version: 0,
            vms_asked: None,
            next_poll: now,
            exited: false,
            settings,
        }
    }

    /// True when the platform's balancer may send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.draining_since.is_none() && self.configuration.config.version > 0
    }

    /// Version of the configuration in force here.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.configuration.config.version
    }

    /// True when the configuration in force here has this team.
    #[must_use]
    pub fn has_team(&self, team: &Name) -> bool {
        self.configuration.config.teams.contains_key(team)
    }

    /// Status of a job that this node places.
    #[must_use]
    pub fn job_status(&self, id: &model::JobId) -> Option<model::Status> {
        self.status_of(id).ok()
    }

    /// True when this node owns its data centre's workers.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.owner.is_active()
    }

    /// Handles one event at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, event: Event, now: Duration, out: &mut Vec<Effect>) {
        std::mem::swap(&mut self.out, out);
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > PAUSE {
            self.log(Notice::Woke(gap.as_millis() as u64));
            self.check_vouchers();
        }
        self.handle(event);
        self.place_tasks();
        self.unbind_retired();
        self.pump_all();
        self.flush();
        std::mem::swap(&mut self.out, out);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Ask { caller, ask } => self.ask(caller, ask),
            Event::CallerGone { caller } => self.caller_gone(caller),
            Event::Frame { from, frame } => self.frame(&from, frame),
            Event::Malformed { detail } => self.log(Notice::FrameMalformed(detail)),
            Event::Unsent { to, frame } => self.unsent(&to, frame),
            Event::Table { id, result } => self.table(id, result),
            Event::Worker { id, result } => self.worker_answered(id, result),
            Event::Executed { id, result } => self.executed(id, result),
            Event::Vms(Some(listing)) => self.learn_vms(&listing),
            Event::Vms(None) => self.vms_asked = None,
            Event::Shutdown => self.shutdown(),
        }
    }

    fn tick(&mut self) {
        self.send_heartbeats();
        self.detect_silent_peers();
        self.update_keys_verifiable();
        if self.now >= self.next_poll {
            self.poll();
        }
        self.check_vouchers();
        if self.now >= self.next_vms && self.vms_asked.is_none() {
            self.next_vms = self.now + self.settings.timing.vm_list;
            self.vms_asked = Some(self.now);
            let known = self.vms_version;
            self.out.push(Effect::ListVms { known });
        }
        self.tick_changes();
        self.tick_gateway();
        self.tick_dispatcher();
        self.tick_owner();
        self.tick_drain();
    }

    fn ask(&mut self, caller: CallerId, ask: Ask) {
        match ask {
            Ask::Request {
                queue,
                key,
                idempotency,
                body,
                budget,
            } => self.ask_request(caller, queue, key, idempotency, body, budget),
            Ask::Submit {
                queue,
                key,
                idempotency,
                spec,
            } => self.ask_submit(caller, queue, key, idempotency, spec),
            Ask::Job { key, job, query } => self.ask_job(caller, key, job, query),
            Ask::Explain { job } => {
                let operators = Name::from(OPERATOR_TEAM);
                self.question(caller, operators, job, JobQuery::Status);
            }
            Ask::Change { change, expect } => self.submit_change(caller, change, expect),
            Ask::Config => {
                let config = Box::new(self.configuration.config.clone());
                self.reply(caller, Reply::Config(config));
            }
            Ask::Fleet => {
                let fleet = Box::new(self.fleet());
                self.reply(caller, Reply::Fleet(fleet));
            }
        }
    }

    fn frame(&mut self, from: &Name, frame: Frame) {
        match frame {
            Frame::Beat(beat) => self.handle_heartbeat(from, beat),
            Frame::PullConfig => {
                let config = Box::new(self.configuration.config.clone());
                self.send(from, Frame::Config(config));
            }
            Frame::Config(config) => self.install_config(*config),
            Frame::Serve(serve) => self.serve_from(from, serve),
            Frame::Served { id, answer } => self.served(id, from, answer),
            Frame::Drop { id } => self.drop_waiting(id),
            Frame::Submitted(job) => self.add_job(*job),
            Frame::Ask {
                id,
                team,
                job,
                query,
            } => self.handle_job_query(from, id, &team, &job, query),
            Frame::Told { id, status } => self.told(id, status),
            Frame::Released { data_centre } if data_centre == self.owner.data_centre => {
                self.next_poll = self.now;
            }
            Frame::Released { .. } => {}
        }
    }

    fn unsent(&mut self, to: &Name, frame: Frame) {
        match frame {
            Frame::Serve(serve) => self.serve_unsent(serve.id, to),
            Frame::Ask { id, .. } => self.ask_unsent(id),
            _ => {}
        }
    }

    fn table(&mut self, id: u64, result: Result<TableResponse, TableError>) {
        for (purpose, result, sent) in self.store.complete(id, result, self.now) {
            self.table_answered(purpose, result, sent);
        }
        self.watch_store();
    }

    fn table_answered(
        &mut self,
        purpose: Purpose,
        result: Result<TableResponse, TableError>,
        sent: Duration,
    ) {
        match purpose {
            Purpose::Poll(epoch) => self.polled(epoch, result, sent),
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
            // Of an epoch that is over: the next owner reads the rows.
            Purpose::Save(..) | Purpose::Allot(..) => {}
        }
    }

    fn flush(&mut self) {
        let expired = self.store.flush(self.now, &mut self.out);
        for purpose in expired {
            self.table_answered(purpose, Err(TableError::Unavailable), self.now);
        }
    }

    fn watch_store(&mut self) {
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
            return; // Due again as soon as the one in flight has ended.
        }
        self.next_poll = self.now + self.settings.timing.poll;
        let rows = vec![
            (Name::from("config"), self.configuration.row_version),
            (self.owner.row_key(), self.owner.row_version),
        ];
        let scans = match self.owner.holds_epoch() {
            true => vec![self.jobs_prefix(), self.allotments_prefix()],
            false => Vec::new(),
        };
        let read = Tables::Read { rows, scans };
        let effect = self.store.read(read, purpose, self.now);
        self.out.push(effect);
    }

    fn polled(&mut self, epoch: Epoch, result: Result<TableResponse, TableError>, sent: Duration) {
        let Ok(TableResponse::Read { rows, scans }) = result else {
            return;
        };
        for (key, cell) in rows {
            match key.as_str() {
                "config" => self.config_polled(cell, sent),
                _ if key == self.owner.row_key() => self.owner_polled(cell, sent),
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

    fn learn_vms(&mut self, listing: &VmList) {
        let Some(asked) = self.vms_asked.take() else {
            return; // Answered after it was given up.
        };
        if listing.version == self.vms_version {
            self.vouch_unchanged(asked);
            return;
        }
        self.vms_version = listing.version;
        let vms = &listing.vms;
        for vm in vms.iter().filter(|vm| vm.role == Role::Entry) {
            self.members
                .set_gone(&vm.name, vm.life == VmLifecycle::Gone);
        }
        let here = self.owner.data_centre.clone();
        for vm in vms.iter().filter(|v| v.role == Role::Worker) {
            if vm.data_centre == here {
                self.update_worker(vm, asked);
                self.learn_executor(vm);
            }
        }
    }

    /// The list has not changed: every worker in it that lives, stays.
    fn vouch_unchanged(&mut self, asked: Duration) {
        let live = |w: &&mut crate::calls::Backend| w.life == VmLifecycle::Live;
        for worker in self.owner.workers.iter_mut().filter(live) {
            worker.vouched = worker.vouched.max(Some(asked));
        }
    }

    fn shutdown(&mut self) {
        if self.draining_since.is_none() {
            self.draining_since = Some(self.now);
            self.log(Notice::ShuttingDown);
        }
    }

    /// True once new work is refused because of a shutdown.
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
        let idle = self.dispatcher.is_idle();
        if idle {
            self.release_ownership();
        }
        let done = idle && self.gateway.is_idle() && self.owner.is_idle();
        if done || self.now >= since + DRAIN_MAX {
            self.exited = true;
            self.log(Notice::Stopped);
            self.out.push(Effect::Exit);
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
            workers: self.owner.view(),
            teams: self.team_view(),
        }
    }

    pub(crate) fn reply(&mut self, caller: CallerId, reply: Reply) {
        self.out.push(Effect::Reply { caller, reply });
    }

    pub(crate) fn send(&mut self, to: &Name, frame: Frame) {
        self.out.push(Effect::Send {
            to: to.clone(),
            frame,
        });
    }

    pub(crate) fn log(&mut self, notice: Notice) {
        self.out.push(Effect::Log(notice));
    }
}
