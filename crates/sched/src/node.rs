//! The reducer of one entry VM. Routes events to the stages that handle them.
//!
//! Invariant: each event carries the time at which it is handled, not the time
//! at which it arose, so a suspension of the VM is always visible as elapsed
//! time.

use std::time::Duration;

use compact_str::format_compact;
use model::{Epoch, Stage, Transaction, Write};

use crate::drain::EndedTerm;
use crate::evacuation::Evacuations;
use crate::event::{
    ApiRequest, CallId, CallerId, ChangeFeed, Effect, Event, Offer, OfferResponse, PolicyDecision,
    PolicyError, QueryId, Reply, StoreError, StoreResponse, Table, Time,
};
use crate::intake::{self, ActiveConfig, Intake};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};
use crate::partition::CELL_PARTITION;
use crate::rows;
use crate::settings::Settings;
use crate::term::{Role, SUSPENSION_GAP, Term};
use crate::verify::Violation;

/// Delay before retrying a failed read of the cell table.
pub(crate) const CELL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before the cell table is followed again after it has changed. The owner
/// writes a heartbeat several times as often; each would otherwise be a call of
/// every VM. A failed owner is noticed by its helpers' offers in the meantime.
const CELL_FOLLOW_GAP: Duration = Duration::from_millis(500);
/// Delay before the next offer after one that failed.
const OFFER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum age of the last confirmation of the configuration for which the node
/// reports ready. Above it, clients are better served by another node.
const MAX_READY_CONFIG_AGE: Duration = Duration::from_millis(3_000);

/// The reducer of one entry VM.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) time: Time,
    active_config: ActiveConfig,
    evacuations: Evacuations,
    pub(crate) term: Term,
    pub(crate) intake: Intake,
    pub(crate) owner: Option<Box<Owner>>,
    last_call_id: CallId,
    pub(crate) out: Vec<Effect>,
    /// Call in flight that reads or follows the cell table.
    cell_call: Option<CallId>,
    next_cell_read_at: Option<Duration>,
    cell_version: Option<u64>,
    /// Claim in flight: its call, when it was sent and the row that it writes.
    claim: Option<(CallId, Duration, rows::OwnerRow)>,
    pub(crate) release_call: Option<CallId>,
    pub(crate) next_release_at: Duration,
    /// The last term of this VM, once it has ended.
    pub(crate) ended_term: Option<EndedTerm>,
    /// Epoch of the owner to which the offer in flight was sent.
    offer_in_flight: Option<Epoch>,
    next_offer_at: Duration,
    /// Query of an owner that this VM helps, with the call that sends it to the policy.
    policy_query: Option<(CallId, QueryId)>,
    pub(crate) draining_since: Option<Duration>,
    pub(crate) exited: bool,
    /// Earliest time of the next explanation.
    pub(crate) next_explanation_at: Duration,
}

impl Node {
    /// Creates a node that follows no owner yet and has no configuration. `seed`
    /// determines the jitter of its ownership claims.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, time: Time) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let started = Notice::Started {
            process: settings.process,
        };
        Self {
            time,
            active_config: ActiveConfig::default(),
            evacuations: Evacuations::default(),
            term: Term::new(&mut rng),
            intake: Intake::default(),
            owner: None,
            last_call_id: 0,
            out: vec![Effect::Log(started)],
            cell_call: None,
            next_cell_read_at: Some(time.now),
            cell_version: None,
            claim: None,
            release_call: None,
            next_release_at: time.now,
            ended_term: None,
            offer_in_flight: None,
            next_offer_at: time.now,
            policy_query: None,
            draining_since: None,
            exited: false,
            next_explanation_at: time.now,
            settings,
        }
    }

    /// True while the load balancer should route clients to this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let current = self.active_config.age(self.time.now) < MAX_READY_CONFIG_AGE;
        let reachable = current && !self.active_config.is_unreachable();
        let informed = self.active_config.config.version > 0 && self.term.layout.is_some();
        self.draining_since.is_none() && informed && reachable
    }

    /// True while this node is the owner.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.term.is_owning()
    }

    /// Estimate of the table service's monotonic clock; zero while unknown.
    #[must_use]
    pub fn table_clock(&self) -> Duration {
        self.term.store_clock(self.time.now)
    }

    /// Checks the consistency of the owner's in-memory state, if this node has any.
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        self.owner
            .as_ref()
            .map_or_else(Vec::new, |owner| owner.verify())
    }

    /// Replaces the settings, except for the node name and the process id.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = Settings {
            name: self.settings.name.clone(),
            process: self.settings.process,
            ..settings
        };
    }

    /// Handles one event at the given time.
    pub fn step(&mut self, event: Event, time: Time) {
        let gap = time.now.saturating_sub(self.time.now);
        self.time = Time {
            now: self.time.now.max(time.now),
            unix: time.unix,
        };
        if gap > SUSPENSION_GAP {
            self.term.resumed(self.time.now);
            let gap_ms = ms(gap);
            self.log(Notice::Woke { gap_ms });
        }
        match event {
            Event::Tick => self.tick(),
            Event::ApiRequest { caller, request } => self.handle_request(caller, request),
            Event::Offer { caller, offer } => self.offer_received(caller, offer),
            Event::Explain { caller, subject } => self.explain(caller, subject),
            Event::OfferAnswered(response) => self.offer_answered(response),
            Event::Config {
                config,
                requested_at,
            } => {
                let version = config.version;
                if self.active_config.install(*config, requested_at) {
                    let age_ms = ms(self.active_config.age(self.time.now));
                    self.log(Notice::ConfigInForce { version, age_ms });
                    self.with_owner(|owner, cx| {
                        owner.place_due = true;
                        owner.services_named(cx);
                    });
                }
            }
            Event::ConfigCurrent { requested_at } => self.active_config.confirm(requested_at),
            Event::Evacuations {
                data_centres,
                requested_at,
            } => {
                let change = self.evacuations.apply(data_centres, requested_at);
                if !change.is_empty() {
                    self.with_owner(|owner, cx| owner.evacuations_changed(&change, cx));
                }
            }
            Event::ConfigUnreachable { took, received } => {
                if let Some(notice) = self.active_config.record_failure(took, received) {
                    self.log(notice);
                }
            }
            Event::StoreAnswered { call, result } => self.store_answered(call, &result),
            Event::ChangesReceived { call, result } => self.changes_received(call, &result),
            Event::ServersListed(listings) => {
                self.with_owner(|owner, cx| owner.servers_listed(listings, cx));
            }
            Event::ServerListed(listing) => {
                self.with_owner(|owner, cx| owner.server_listed(listing, cx));
            }
            Event::ServerUnlisted(id) => {
                self.with_owner(|owner, cx| owner.server_unlisted(&id, cx.now()));
            }
            Event::OrderAnswered { call, result } => {
                self.with_owner(|owner, cx| owner.order_answered(call, result, cx));
            }
            Event::PolicyAnswered { call, result } => self.policy_answered(call, result),
            Event::Shutdown => self.shutdown(),
        }
    }

    /// Makes the decisions that follow from the events handled so far, and
    /// appends all pending effects to `out`.
    pub fn settle(&mut self, out: &mut Vec<Effect>) {
        self.with_owner(|owner, cx| owner.settle(cx));
        self.end_expired_term();
        self.read_or_follow_cell();
        self.offer_help();
        out.append(&mut self.out);
    }

    pub(crate) fn with_owner<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Owner, &mut Cx<'_>),
    {
        let Some(owner) = self.owner.as_mut() else {
            return;
        };
        let config = self.active_config.config.clone();
        let mut cx = Cx {
            settings: &self.settings,
            config: &config,
            evacuations: &self.evacuations,
            term: &mut self.term,
            time: self.time,
            last_call_id: &mut self.last_call_id,
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
            active_config: &self.active_config,
            term: &self.term,
            now: self.time.now,
            last_call_id: &mut self.last_call_id,
            out: &mut self.out,
        };
        act(&mut self.intake, &mut cx)
    }

    pub(crate) fn log(&mut self, notice: Notice) {
        self.out.push(Effect::Log(notice));
    }

    pub(crate) fn next_call_id(&mut self) -> CallId {
        self.last_call_id += 1;
        self.last_call_id
    }

    fn tick(&mut self) {
        let limit = self.settings.timing.max_config_age;
        if let Some(notice) = self.active_config.check_staleness(limit, self.time.now) {
            self.log(notice);
        }
        let (timing, now) = (&self.settings.timing, self.time.now);
        if let Some(notice) = self.evacuations.check_staleness(timing, now) {
            self.log(notice);
        }
        self.with_intake(|intake, cx| intake.tick(cx));
        self.with_owner(|owner, cx| owner.tick(cx));
        self.tick_drain();
        self.maybe_yield();
    }

    fn handle_request(&mut self, caller: CallerId, request: ApiRequest) {
        self.with_intake(|intake, cx| intake.handle_request(caller, request, cx));
    }

    fn store_answered(&mut self, call: CallId, result: &Result<StoreResponse, StoreError>) {
        match () {
            () if self.claim.as_ref().is_some_and(|claim| claim.0 == call) => {
                self.claim_answered(result)
            }
            () if self.release_call == Some(call) => self.release_answered(result),
            () if self.cell_call == Some(call) => self.cell_read(result),
            () if self.with_intake(|intake, cx| intake.store_answered(call, result, cx)) => {}
            () => self.with_owner(|owner, cx| {
                // A response to a call of an earlier term matches nothing and is
                // dropped.
                let _ = owner.heartbeat_answered(call, result, cx)
                    || owner.group_commit_answered(call, result, cx)
                    || owner.roster_answered(call, result, cx)
                    || owner.fence_answered(call, result, cx)
                    || owner.page_answered(call, result, cx)
                    || owner.division_answered(call, result, cx);
            }),
        }
    }

    fn changes_received(&mut self, call: CallId, result: &Result<ChangeFeed, StoreError>) {
        match self.cell_call == Some(call) {
            true => self.cell_followed(result),
            false => self.with_owner(|owner, cx| {
                // A response to a call of an earlier term matches nothing and is
                // dropped.
                let _ = owner.jobs_followed(call, result, cx);
            }),
        }
    }

    /// Reads the cell table, or follows it once it was read, while this VM is not the
    /// owner.
    fn read_or_follow_cell(&mut self) {
        let due = self.next_cell_read_at.is_some_and(|at| self.time.now >= at);
        if self.cell_call.is_some() || !due || self.term.is_owning() {
            return;
        }
        self.next_cell_read_at = None;
        let call = self.next_call_id();
        self.cell_call = Some(call);
        self.out.push(match self.cell_version {
            None => Effect::Scan {
                call,
                partition: CELL_PARTITION,
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

    fn cell_read(&mut self, result: &Result<StoreResponse, StoreError>) {
        self.cell_call = None;
        match result {
            Ok(StoreResponse::Rows {
                rows,
                version,
                clock,
                ..
            }) => {
                self.term.observe_store_clock(*clock, self.time.now);
                self.apply_cell_rows(rows);
                self.cell_version = Some(*version);
                self.next_cell_read_at = Some(self.time.now);
                self.maybe_release_ended_term();
                self.maybe_claim();
            }
            Ok(StoreResponse::Applied { .. }) | Err(_) => self.cell_read_failed(),
        }
    }

    fn cell_followed(&mut self, result: &Result<ChangeFeed, StoreError>) {
        self.cell_call = None;
        match result {
            Ok(feed) => {
                self.apply_cell_rows(&feed.rows);
                self.cell_version = Some(feed.version);
                let gap = match feed.rows.is_empty() {
                    true => Duration::ZERO,
                    false => CELL_FOLLOW_GAP,
                };
                self.next_cell_read_at = Some(self.time.now + gap);
                self.maybe_release_ended_term();
                self.maybe_claim();
            }
            Err(StoreError::HistoryLost) => {
                self.cell_version = None;
                self.next_cell_read_at = Some(self.time.now);
            }
            Err(_) => self.cell_read_failed(),
        }
    }

    fn cell_read_failed(&mut self) {
        self.term.lose_contact();
        self.next_cell_read_at = Some(self.time.now + CELL_RETRY_DELAY);
    }

    fn apply_cell_rows(&mut self, rows: &[model::Row]) {
        for row in rows {
            match self.term.apply_row(row, self.time.now) {
                Some(true) => self.owner_changed(),
                Some(false) => {}
                None => self.log(Notice::RowMalformed {
                    key: row.key.clone(),
                }),
            }
        }
        self.term.mark_current(self.time.now);
    }

    fn owner_changed(&mut self) {
        let (epoch, name) = (self.term.owner.epoch, self.term.owner.name.clone());
        self.log(Notice::OwnerSeen { epoch, name });
        // A claim whose response was lost may still have been applied.
        let mine = self.term.owner.process == self.settings.process;
        if mine && !self.term.owner.released && self.term.role == Role::Following {
            let (owner, version) = (self.term.owner.clone(), self.term.owner_version);
            self.begin_term(owner, version, self.time.now);
        }
    }

    fn maybe_claim(&mut self) {
        let wanted = self.term.should_claim(&self.settings);
        let busy = self.claim.is_some() || self.release_call.is_some();
        if !wanted || busy || self.draining_since.is_some() {
            return;
        }
        let owner = self.term.next_owner(&self.settings);
        self.log(Notice::Claiming {
            epoch: owner.epoch,
            previous: self.term.owner.name.clone(),
            silent_ms: ms(self.term.owner_silence()),
        });
        let call = self.next_call_id();
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
            partition: CELL_PARTITION,
            transaction,
            timeout: None,
        });
    }

    fn claim_answered(&mut self, result: &Result<StoreResponse, StoreError>) {
        let Some((_, sent_at, owner)) = self.claim.take() else {
            return;
        };
        match result {
            Ok(StoreResponse::Applied { version, clock }) if self.term.role == Role::Claiming => {
                self.term.observe_store_clock(*clock, self.time.now);
                self.begin_term(owner, *version, sent_at);
            }
            // Rereading the rows shows who the owner is.
            Ok(_) | Err(_) => self.become_follower(),
        }
    }

    /// Makes this VM a follower and reads the cell table again.
    pub(crate) fn become_follower(&mut self) {
        self.term.become_follower();
        self.cell_call = None;
        self.cell_version = None;
        self.next_cell_read_at = Some(self.time.now);
    }

    fn begin_term(&mut self, owner: rows::OwnerRow, version: u64, sent_at: Duration) {
        self.term.begin(owner, version, sent_at);
        self.cell_call = None;
        self.next_cell_read_at = None;
        let mut cx = Cx {
            settings: &self.settings,
            config: &self.active_config.config.clone(),
            evacuations: &self.evacuations,
            term: &mut self.term,
            time: self.time,
            last_call_id: &mut self.last_call_id,
            out: &mut self.out,
        };
        self.owner = Some(Box::new(Owner::new(&mut cx)));
    }

    /// Releases ownership in favour of a VM with a much larger CPU share. If that
    /// VM can't claim it, any VM may, including this one.
    fn maybe_yield(&mut self) {
        let owner = self.owner.as_ref().filter(|_| self.release_call.is_none());
        let yields = owner.is_some_and(|owner| owner.should_yield(&self.settings, self.time.now));
        if yields && self.term.is_owning() {
            self.send_release();
        }
    }

    /// Drops the owner's state once its term is no longer valid.
    fn end_expired_term(&mut self) {
        let valid = self.term.is_valid(&self.settings, self.time.now);
        let releasing = self.release_call.is_some();
        if self.owner.is_none() || valid || releasing {
            return;
        }
        let why = match self.term.is_owning() {
            true => "neither a confirmed write nor a majority of backend servers in time",
            false => "superseded by another owner",
        };
        self.log(Notice::NotOwner {
            epoch: self.term.epoch(),
            why: why.into(),
        });
        self.end_term();
        self.become_follower();
    }

    /// Offers the owner to query the external admission policy, unless an offer or
    /// a query is already in progress.
    fn offer_help(&mut self) {
        let now = self.time.now;
        let owner = &self.term.owner;
        let known = self.term.owner_version > 0 && !owner.released && !owner.address.is_empty();
        let free = self.offer_in_flight.is_none()
            && self.policy_query.is_none()
            && now >= self.next_offer_at;
        if known && free && !self.term.is_owning() && self.draining_since.is_none() {
            self.send_offer(None);
        }
    }

    fn send_offer(&mut self, result: Option<(QueryId, Result<PolicyDecision, PolicyError>)>) {
        self.offer_in_flight = Some(self.term.epoch());
        let cpu_share = match self.is_ready() {
            true => self.settings.cpu_share,
            false => 0.0,
        };
        self.out.push(Effect::Offer {
            owner: self.term.owner.address.clone(),
            offer: Offer {
                helper: self.settings.name.clone(),
                cpu_share,
                result,
            },
        });
    }

    fn offer_answered(&mut self, response: OfferResponse) {
        let asked = self.offer_in_flight.take();
        match response {
            OfferResponse::Query(query) => {
                let call = self.next_call_id();
                self.policy_query = Some((call, query.id));
                self.out.push(Effect::QueryPolicy {
                    call,
                    query: Box::new(query),
                });
            }
            OfferResponse::Idle => self.next_offer_at = self.time.now,
            // What an earlier owner lacks says nothing of the present one.
            _ if asked != Some(self.term.epoch()) => {
                self.next_offer_at = self.time.now + OFFER_RETRY_DELAY;
            }
            OfferResponse::TurnedAway => {
                self.next_offer_at = self.time.now + OFFER_RETRY_DELAY;
                self.term.note_handover_request(self.time.now);
                self.suspect_owner();
            }
            OfferResponse::HandOver | OfferResponse::Refused | OfferResponse::Lost => {
                self.next_offer_at = self.time.now + OFFER_RETRY_DELAY;
                self.suspect_owner();
            }
        }
    }

    /// Marks the owner as suspected and rereads its rows at once, instead of
    /// waiting for a change notification.
    fn suspect_owner(&mut self) {
        if self.term.role == Role::Following {
            self.term.suspect_owner(self.time.now);
            self.cell_call = None;
            self.cell_version = None;
            self.next_cell_read_at = Some(self.time.now);
        }
    }

    fn policy_answered(&mut self, call: CallId, result: Result<PolicyDecision, PolicyError>) {
        match self.policy_query.take_if(|(sent, _)| *sent == call) {
            Some((_, query)) if !self.term.is_owning() => self.send_offer(Some((query, result))),
            Some(_) => {}
            None => self.with_owner(|owner, cx| owner.policy_answered(call, result, cx)),
        }
    }

    fn offer_received(&mut self, caller: CallerId, offer: Offer) {
        match self.term.is_owning() {
            true => self.with_owner(|owner, cx| owner.offer_received(caller, offer, cx)),
            false => {
                let reply = Reply::Helper(OfferResponse::Idle);
                self.out.push(Effect::Reply { caller, reply });
            }
        }
    }

    /// One-line summary for the readiness endpoint and the operator CLI.
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
            self.active_config.config.version
        )
    }
}
