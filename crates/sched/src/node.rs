//! The reducer of one entry VM: routes events to its stages.
//!
//! Invariant: an event is handled with the time at which it is handled, so a
//! suspension of the VM is always seen as time passed.

use std::time::Duration;

use compact_str::format_compact;
use model::{Stage, Transaction, Write};

use crate::event::{
    Advice, AdviceFault, Ask, CallId, CallerId, Effect, Event, Failure, Feed, Offer, Reply,
    Response, Stored, Table, Time,
};
use crate::intake::{self, Intake, Known};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};
use crate::rows;
use crate::settings::Settings;
use crate::term::{Role, Term};
use crate::verify::Violation;

/// Gap between events that is reported as a pause.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Pause after a read of the cell table that failed.
pub(crate) const RETRY: Duration = Duration::from_millis(150);
/// Pause after an offer that was not answered.
const OFFER_RETRY: Duration = Duration::from_millis(300);
/// Age of the proof of the configuration above which callers are better
/// served elsewhere.
const READY_AGE: Duration = Duration::from_millis(3_000);

/// The reducer of one entry VM.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) time: Time,
    known: Known,
    pub(crate) term: Term,
    pub(crate) intake: Intake,
    pub(crate) owner: Option<Box<Owner>>,
    next_call: CallId,
    pub(crate) out: Vec<Effect>,
    /// Call that reads or follows the cell table.
    cell: Option<CallId>,
    cell_retry: Option<Duration>,
    cell_version: Option<u64>,
    /// Claim under way, when it was sent, and the row that it writes.
    claim: Option<(CallId, Duration, rows::OwnerRow)>,
    pub(crate) release: Option<CallId>,
    offering: bool,
    next_offer: Duration,
    errand: Option<CallId>,
    pub(crate) draining_since: Option<Duration>,
    pub(crate) exited: bool,
}

impl Node {
    /// A node that knows nothing but its settings.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, time: Time) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let started = Notice::Started {
            process: settings.process,
        };
        Self {
            time,
            known: Known::default(),
            term: Term::new(&mut rng),
            intake: Intake::default(),
            owner: None,
            next_call: 0,
            out: vec![Effect::Log(started)],
            cell: None,
            cell_retry: Some(time.now),
            cell_version: None,
            claim: None,
            release: None,
            offering: false,
            next_offer: time.now,
            errand: None,
            draining_since: None,
            exited: false,
            settings,
        }
    }

    /// True while the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let current = self.known.age(self.time.now) < READY_AGE;
        let reachable = current && !self.known.unreachable;
        self.draining_since.is_none() && self.known.config.version > 0 && reachable
    }

    /// True while this node owns.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.term.is_owning()
    }

    /// The table service's steady clock; zero while it is not known.
    #[must_use]
    pub fn table_clock(&self) -> Duration {
        self.term.store_clock(self.time.now)
    }

    /// Checks the owner's books.
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        self.owner
            .as_ref()
            .map_or_else(Vec::new, |owner| owner.verify())
    }

    /// Puts other settings in force; the name and the process stay.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = Settings {
            name: self.settings.name.clone(),
            process: self.settings.process,
            ..settings
        };
    }

    /// Handles one event.
    pub fn step(&mut self, event: Event, time: Time) {
        let gap = time.now.saturating_sub(self.time.now);
        self.time = Time {
            now: self.time.now.max(time.now),
            unix: time.unix,
        };
        if gap > PAUSE {
            self.term.resumed(self.time.now);
            let gap_ms = ms(gap);
            self.log(Notice::Woke { gap_ms });
        }
        match event {
            Event::Tick => self.tick(),
            Event::Ask { caller, ask } => self.ask(caller, ask),
            Event::Offer { caller, offer } => self.offered(caller, offer),
            Event::Helped(response) => self.helped(response),
            Event::Config { config, asked } => {
                let version = config.version;
                if self.known.install(*config, asked) {
                    let age_ms = ms(self.known.age(self.time.now));
                    self.log(Notice::ConfigInForce { version, age_ms });
                    self.with_owner(|owner, _| owner.place_due = true);
                }
            }
            Event::ConfigCurrent { asked } => self.known.confirm(asked),
            Event::ConfigUnreachable => self.known.unreachable = true,
            Event::Stored { call, result } => self.stored(call, &result),
            Event::Followed { call, result } => self.followed(call, &result),
            Event::Servers(listings) => {
                self.with_owner(|owner, cx| owner.servers_listed(listings, cx));
            }
            Event::Server(listing) => {
                self.with_owner(|owner, cx| owner.server_listed(listing, cx));
            }
            Event::ServerGone(id) => self.with_owner(|owner, _| owner.server_unlisted(&id)),
            Event::Answered { call, result } => {
                self.with_owner(|owner, cx| owner.answered(call, result, cx));
            }
            Event::Advised { call, result } => self.advised(call, result),
            Event::Shutdown => self.shutdown(),
        }
    }

    /// Decides what follows from the events taken so far, and appends what is
    /// to be done to `out`.
    pub fn settle(&mut self, out: &mut Vec<Effect>) {
        self.with_owner(|owner, cx| owner.settle(cx));
        self.leave_term();
        self.watch_term();
        self.offer();
        out.append(&mut self.out);
    }

    fn with_owner<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Owner, &mut Cx<'_>),
    {
        let Some(owner) = self.owner.as_mut() else {
            return;
        };
        let config = self.known.config.clone();
        let mut cx = Cx {
            settings: &self.settings,
            config: &config,
            term: &mut self.term,
            time: self.time,
            next_call: &mut self.next_call,
            out: &mut self.out,
        };
        if cx.term.is_owning() {
            act(owner, &mut cx);
        }
    }

    fn with_intake<F, R>(&mut self, act: F) -> R
    where
        F: FnOnce(&mut Intake, &mut intake::Cx<'_>) -> R,
    {
        let mut cx = intake::Cx {
            settings: &self.settings,
            known: &self.known,
            term: &self.term,
            now: self.time.now,
            next_call: &mut self.next_call,
            out: &mut self.out,
        };
        act(&mut self.intake, &mut cx)
    }

    pub(crate) fn log(&mut self, notice: Notice) {
        self.out.push(Effect::Log(notice));
    }

    pub(crate) fn call(&mut self) -> CallId {
        self.next_call += 1;
        self.next_call
    }

    fn tick(&mut self) {
        let limit = self.settings.timing.config_age;
        if let Some(notice) = self.known.watch(limit, self.time.now) {
            self.log(notice);
        }
        self.with_intake(|intake, cx| intake.tick(cx));
        self.with_owner(|owner, cx| owner.tick(cx));
        self.tick_drain();
        self.yield_to_stronger();
    }

    fn ask(&mut self, caller: CallerId, ask: Ask) {
        self.with_intake(|intake, cx| intake.ask(caller, ask, cx));
    }

    fn stored(&mut self, call: CallId, result: &Result<Stored, Failure>) {
        match () {
            () if self.claim.as_ref().is_some_and(|claim| claim.0 == call) => self.claimed(result),
            () if self.release == Some(call) => self.release_answered(),
            () if self.cell == Some(call) => self.cell_read(result),
            () if self.with_intake(|intake, cx| intake.stored(call, result, cx)) => {}
            () => self.with_owner(|owner, cx| {
                // A call of an earlier term is nobody's any more.
                let _ = owner.commit_answered(call, result, cx)
                    || owner.page_answered(call, result, cx);
            }),
        }
    }

    fn followed(&mut self, call: CallId, result: &Result<Feed, Failure>) {
        match self.cell == Some(call) {
            true => self.cell_followed(result),
            false => self.with_owner(|owner, cx| {
                // A call of an earlier term is nobody's any more.
                let _ = owner.jobs_followed(call, result, cx);
            }),
        }
    }

    /// Reads or follows the cell table while this VM does not own.
    fn watch_term(&mut self) {
        let due = self.cell_retry.is_some_and(|at| self.time.now >= at);
        if self.cell.is_some() || !due || self.term.is_owning() {
            return;
        }
        self.cell_retry = None;
        let call = self.call();
        self.cell = Some(call);
        self.out.push(match self.cell_version {
            None => Effect::Scan {
                call,
                table: Table::Cell,
                from: model::Name::default(),
                limit: 100,
            },
            Some(after) => Effect::Follow {
                call,
                table: Table::Cell,
                after,
                wait: self.term.follow_wait(&self.settings),
            },
        });
    }

    fn cell_read(&mut self, result: &Result<Stored, Failure>) {
        self.cell = None;
        match result {
            Ok(Stored::Rows {
                rows,
                version,
                clock,
                ..
            }) => {
                self.term.observe_store_clock(*clock, self.time.now);
                self.learn_cell(rows);
                self.cell_version = Some(*version);
                self.cell_retry = Some(self.time.now);
                self.consider_claim();
            }
            Ok(Stored::Applied { .. }) | Err(_) => self.cell_failed(),
        }
    }

    fn cell_followed(&mut self, result: &Result<Feed, Failure>) {
        self.cell = None;
        match result {
            Ok(feed) => {
                self.learn_cell(&feed.rows);
                self.cell_version = Some(feed.version);
                self.cell_retry = Some(self.time.now);
                self.consider_claim();
            }
            Err(Failure::HistoryLost) => {
                self.cell_version = None;
                self.cell_retry = Some(self.time.now);
            }
            Err(_) => self.cell_failed(),
        }
    }

    fn cell_failed(&mut self) {
        self.term.lose_contact();
        self.cell_retry = Some(self.time.now + RETRY);
    }

    fn learn_cell(&mut self, rows: &[model::Row]) {
        for row in rows {
            match self.term.apply_row(row, self.time.now) {
                Some(true) => self.owner_seen(),
                Some(false) => {}
                None => self.log(Notice::RowMalformed {
                    key: row.key.clone(),
                }),
            }
        }
        self.term.mark_current(self.time.now);
    }

    fn owner_seen(&mut self) {
        let (epoch, name) = (self.term.owner.epoch, self.term.owner.name.clone());
        self.log(Notice::OwnerSeen { epoch, name });
        // A claim whose answer was lost may have been applied.
        let mine = self.term.owner.process == self.settings.process;
        if mine && !self.term.owner.released && self.term.role == Role::Following {
            let (owner, version) = (self.term.owner.clone(), self.term.owner_version);
            self.begin_term(owner, version, self.time.now);
        }
    }

    fn consider_claim(&mut self) {
        let wanted = self.term.should_claim(&self.settings);
        if !wanted || self.claim.is_some() || self.draining_since.is_some() {
            return;
        }
        let owner = self.term.next_owner(&self.settings);
        self.log(Notice::Claiming {
            epoch: owner.epoch,
            previous: self.term.owner.name.clone(),
            silent_ms: ms(self.term.owner_silence()),
        });
        let call = self.call();
        self.term.role = Role::Claiming;
        let transaction = Transaction {
            conditions: vec![model::Condition {
                key: rows::OWNER_KEY.into(),
                version: self.term.owner_version,
            }],
            writes: vec![Write {
                key: rows::OWNER_KEY.into(),
                value: Some(rows::encode(&owner)),
            }],
        };
        self.claim = Some((call, self.time.now, owner));
        self.out.push(Effect::Commit {
            call,
            transaction,
            limit: None,
        });
    }

    fn claimed(&mut self, result: &Result<Stored, Failure>) {
        let Some((_, sent, owner)) = self.claim.take() else {
            return;
        };
        match result {
            Ok(Stored::Applied { version, clock }) if self.term.role == Role::Claiming => {
                self.term.observe_store_clock(*clock, self.time.now);
                self.begin_term(owner, *version, sent);
            }
            // The next read of the rows shows who owns.
            Ok(_) | Err(_) => self.reread_cell(),
        }
    }

    pub(crate) fn reread_cell(&mut self) {
        self.term.become_follower();
        self.cell = None;
        self.cell_version = None;
        self.cell_retry = Some(self.time.now);
    }

    fn begin_term(&mut self, owner: rows::OwnerRow, version: u64, sent: Duration) {
        self.term.begin(owner, version, sent);
        self.cell = None;
        self.cell_retry = None;
        let mut cx = Cx {
            settings: &self.settings,
            config: &self.known.config.clone(),
            term: &mut self.term,
            time: self.time,
            next_call: &mut self.next_call,
            out: &mut self.out,
        };
        self.owner = Some(Box::new(Owner::new(&mut cx)));
    }

    /// Hands the ownership to a VM that can do the owner's work better. One
    /// that can't claim leaves it to the next claim, which may be this VM's.
    fn yield_to_stronger(&mut self) {
        let owner = self.owner.as_ref().filter(|_| self.release.is_none());
        let yields = owner.is_some_and(|owner| owner.should_yield(&self.settings, self.time.now));
        if yields && self.term.is_owning() {
            self.send_release();
        }
    }

    /// Drops the owner's state once the term is over.
    fn leave_term(&mut self) {
        let valid = self.term.is_valid(&self.settings, self.time.now);
        let releasing = self.release.is_some();
        if self.owner.is_none() || valid || releasing {
            return;
        }
        self.owner = None;
        let why = match self.term.is_owning() {
            true => "no write was confirmed in time",
            false => "another owner was seen",
        };
        self.log(Notice::NotOwner {
            epoch: self.term.epoch(),
            why: why.into(),
        });
        self.out.push(Effect::WatchServers(false));
        self.reread_cell();
    }

    /// Offers the owner to ask the outside policy.
    fn offer(&mut self) {
        let now = self.time.now;
        let owner = &self.term.owner;
        let known = self.term.owner_version > 0 && !owner.released && !owner.address.is_empty();
        let free = !self.offering && self.errand.is_none() && now >= self.next_offer;
        if known && free && !self.term.is_owning() && self.draining_since.is_none() {
            self.send_offer(None);
        }
    }

    fn send_offer(&mut self, result: Option<(CallId, Result<Advice, AdviceFault>)>) {
        self.offering = true;
        let strength = match self.is_ready() {
            true => self.settings.strength,
            false => 0.0,
        };
        self.out.push(Effect::Offer {
            owner: self.term.owner.address.clone(),
            offer: Offer {
                helper: self.settings.name.clone(),
                strength,
                result,
            },
        });
    }

    fn helped(&mut self, response: Response) {
        self.offering = false;
        match response {
            Response::Errand(errand) => {
                self.errand = Some(errand.id);
                let call = errand.id;
                self.out.push(Effect::Advise {
                    call,
                    errand: Box::new(errand),
                });
            }
            Response::Idle => self.next_offer = self.time.now,
            Response::HandOver | Response::Refused | Response::Lost => {
                self.next_offer = self.time.now + OFFER_RETRY;
                self.suspect_owner();
            }
        }
    }

    /// The owner is in trouble: looks at its rows without waiting for changes.
    fn suspect_owner(&mut self) {
        if self.term.role == Role::Following {
            self.term.suspect_owner(self.time.now);
            self.cell = None;
            self.cell_version = None;
            self.cell_retry = Some(self.time.now);
        }
    }

    fn advised(&mut self, call: CallId, result: Result<Advice, AdviceFault>) {
        match self.errand.take_if(|errand| *errand == call) {
            Some(_) if !self.term.is_owning() => self.send_offer(Some((call, result))),
            Some(_) => {}
            None => self.with_owner(|owner, cx| owner.advice_received(call, result, cx)),
        }
    }

    fn offered(&mut self, caller: CallerId, offer: Offer) {
        match self.term.is_owning() {
            true => self.with_owner(|owner, cx| owner.offer_received(caller, offer, cx)),
            false => {
                let reply = Reply::Helper(Response::Idle);
                self.out.push(Effect::Reply { caller, reply });
            }
        }
    }

    /// Summary for the readiness page and the operators' command.
    #[must_use]
    pub fn summary(&self) -> model::Name {
        let jobs = self.owner.as_ref().map_or(0, |owner| {
            let jobs = owner.ledger.jobs.values();
            jobs.filter(|job| job.stage != Stage::Completed).count()
        });
        format_compact!(
            "owner={} epoch={} config={} jobs={jobs}",
            self.term.owner.name,
            self.term.owner.epoch,
            self.known.config.version
        )
    }
}
