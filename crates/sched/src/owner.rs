//! The owner's in-memory state, and the dispatch of responses to their handlers.
//!
//! Invariant: an `Owner` lives for one epoch; none of its state is carried over
//! to another.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::{Epoch, Name, RunKey};
use policy::{RuntimeEstimates, TokenBucket};

use crate::accounts::{self, Accounts};
use crate::advice::PolicyDispatcher;
use crate::commit::{Change, Commits};
use crate::config::Config;
use crate::copies::Copies;
use crate::divide::Division;
use crate::evacuation::Evacuations;
use crate::event::{CallId, Effect, Listing, Order, OrderError, OrderResponse, Rejection, Time};
use crate::fence::Fences;
use crate::fleet::{Fleet, ServerIx, ServerState, StaleLeases};
use crate::heartbeat::Heartbeats;
use crate::ledger::{JobIx, Ledger, RunRef, RunState};
use crate::losses::open::OpenLosses;
use crate::notice::{Notice, ms};
use crate::recover::Recovery;
use crate::registry::Registry;
use crate::roster::Roster;
use crate::settings::Settings;
use crate::term::Term;

/// Context in which the owner handles an event.
pub(crate) struct Cx<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) config: &'a Config,
    pub(crate) evacuations: &'a Evacuations,
    pub(crate) term: &'a mut Term,
    pub(crate) time: Time,
    pub(crate) last_call_id: &'a mut CallId,
    pub(crate) out: &'a mut Vec<Effect>,
}

impl Cx<'_> {
    /// Monotonic time of the event.
    pub(crate) fn now(&self) -> Duration {
        self.time.now
    }

    /// Allocates a call id.
    pub(crate) fn next_call_id(&mut self) -> CallId {
        *self.last_call_id += 1;
        *self.last_call_id
    }

    /// Emits a log event.
    pub(crate) fn log(&mut self, notice: Notice) {
        self.out.push(Effect::Log(notice));
    }
}

/// An order whose response is outstanding.
#[derive(Clone, Debug)]
pub(crate) enum SentOrder {
    Start(RunRef),
    Stop(RunRef),
    StopOrphan,
    RenewLease(ServerIx),
    Pace(RunRef),
}

/// Listed runs whose task the owner does not know, or that are placed on another
/// backend server, with the time from which the order to stop them may be
/// repeated. The key is the backend server that lists the run.
pub(crate) type OrphanRuns = HashMap<(ServerIx, RunKey), Duration>;

/// The state of the owner during one term.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) ledger: Ledger,
    pub(crate) fleet: Fleet,
    pub(crate) accounts: Accounts,
    pub(crate) policy_dispatcher: PolicyDispatcher,
    pub(crate) commits: Commits,
    pub(crate) heartbeats: Heartbeats,
    pub(crate) fences: Fences,
    pub(crate) registry: Registry,
    pub(crate) roster: Roster,
    pub(crate) division: Division,
    pub(crate) recovery: Recovery,
    /// Orders in flight, with their backend server and fencing token.
    pub(crate) orders_in_flight: HashMap<CallId, (SentOrder, ServerIx, Epoch)>,
    /// Planned runs whose records are written, until their start orders may be sent.
    pub(crate) recorded_starts: Vec<RunRef>,
    pub(crate) orphan_runs: OrphanRuns,
    pub(crate) open_losses: OpenLosses,
    pub(crate) copies: Copies,
    /// Class of each image, under which its run times are estimated.
    pub(crate) image_classes: HashMap<Name, u32>,
    pub(crate) estimates: RuntimeEstimates,
    /// Submission rate limiter of each team, by name.
    token_buckets: HashMap<Name, TokenBucket>,
    /// When each team last submitted urgent work.
    pub(crate) last_urgent_at: HashMap<Name, Duration>,
    /// Factor on the run time of tasks placed outside the rack that holds their data.
    pub(crate) remote_factor: f64,
    /// Whether a change since the last placement pass may allow a task to start.
    pub(crate) place_due: bool,
    pub(crate) last_place_at: Duration,
    /// Minimum interval between placement passes, derived from the cost of one.
    pub(crate) min_place_interval: Duration,
    pub(crate) next_sweep_at: Duration,
    pub(crate) next_summary_at: Duration,
    /// Steps with tasks to start, as of the last placement pass.
    pub(crate) waiting_steps: u32,
    /// Last change by which runs counted as ended without a report.
    last_loss: Change,
    /// The current lack of confirmed writes was logged.
    unconfirmed_logged: bool,
}

impl Owner {
    /// Creates the state of a new term, and starts to watch the registry and to
    /// read the stored rows.
    pub(crate) fn new(cx: &mut Cx<'_>) -> Self {
        let mut owner = Self {
            ledger: Ledger::default(),
            fleet: Fleet::default(),
            accounts: Accounts::default(),
            policy_dispatcher: PolicyDispatcher::default(),
            commits: Commits::default(),
            heartbeats: Heartbeats::default(),
            fences: Fences::default(),
            registry: Registry::default(),
            roster: Roster::default(),
            division: Division::default(),
            recovery: Recovery::new(cx.now()),
            orders_in_flight: HashMap::new(),
            recorded_starts: Vec::new(),
            orphan_runs: HashMap::new(),
            open_losses: OpenLosses::default(),
            copies: Copies::default(),
            image_classes: HashMap::new(),
            estimates: RuntimeEstimates::default(),
            token_buckets: HashMap::new(),
            last_urgent_at: HashMap::new(),
            remote_factor: cx.settings.remote_factor,
            place_due: false,
            last_place_at: Duration::ZERO,
            min_place_interval: Duration::ZERO,
            next_sweep_at: Duration::ZERO,
            next_summary_at: Duration::ZERO,
            waiting_steps: 0,
            last_loss: 0,
            unconfirmed_logged: false,
        };
        cx.out.push(Effect::WatchServers(true));
        owner.start_recovery(cx);
        owner
    }

    /// Sends an order to a backend server.
    pub(crate) fn send_order(
        &mut self,
        server: ServerIx,
        order: Order,
        sent: SentOrder,
        cx: &mut Cx<'_>,
    ) {
        let call = cx.next_call_id();
        let entry = self.fleet.get(server);
        let token = entry.fencing_token(cx.term.epoch());
        self.orders_in_flight.insert(call, (sent, server, token));
        cx.out.push(Effect::Order {
            call,
            server: entry.listing.id.clone(),
            address: entry.listing.address.clone(),
            token,
            order: Box::new(order),
        });
    }

    /// Passes a backend server's response to the handler for the kind of order.
    pub(crate) fn order_answered(
        &mut self,
        call: CallId,
        result: Result<OrderResponse, OrderError>,
        cx: &mut Cx<'_>,
    ) {
        let Some((sent, server, token)) = self.orders_in_flight.remove(&call) else {
            return;
        };
        let result =
            match result {
                Ok(OrderResponse::Rejected(Rejection::Superseded))
                    if self.is_superseded_by_own_order(server, token, cx) =>
                {
                    Ok(OrderResponse::Rejected(Rejection::TooLate))
                }
                // The clock and the address of an earlier incarnation say nothing of the one
                // to which the run was moved.
                Ok(
                    OrderResponse::Done(_) | OrderResponse::Rejected(Rejection::OtherIncarnation),
                ) if self.has_moved(&sent, server) => Err(OrderError::Lost),
                other => other,
            };
        match sent {
            SentOrder::Start(run) => self.start_answered(run, result, cx),
            SentOrder::Stop(run) => self.stop_answered(run, result, cx),
            SentOrder::RenewLease(server) => self.renewal_answered(server, call, result, cx),
            SentOrder::Pace(run) => self.pace_answered(run, &result),
            // The order is repeated while the orphan run is still listed.
            SentOrder::StopOrphan => {}
        }
    }

    /// True when the run of an order was moved to another incarnation than the order
    /// was sent to.
    fn has_moved(&self, sent: &SentOrder, server: ServerIx) -> bool {
        let run = match sent {
            SentOrder::Start(run) | SentOrder::Stop(run) | SentOrder::Pace(run) => run,
            SentOrder::StopOrphan | SentOrder::RenewLease(_) => return false,
        };
        let placed = self.ledger.runs.get(run);
        placed.is_some_and(|placed| placed.server != server)
    }

    /// True when an order carried a lower fencing token than this owner now uses
    /// for the next incarnation of the same backend server. Its rejection then
    /// does not mean that another owner has taken over.
    fn is_superseded_by_own_order(&self, server: ServerIx, token: Epoch, cx: &Cx<'_>) -> bool {
        let current = self.fleet.find(&self.fleet.get(server).listing.id);
        current.is_some_and(|ix| token < self.fleet.get(ix).fencing_token(cx.term.epoch()))
    }

    /// Replaces an incarnation by a newer one with the same id. Orders are
    /// addressed by id, so orders that the old incarnation is not certain to have
    /// executed may have reached the new one. Their runs are transferred to the
    /// new incarnation until its run lists say otherwise. `listed` is true if the registry
    /// has an entry for the new one. Returns the new incarnation.
    pub(crate) fn replace_incarnation(
        &mut self,
        old: ServerIx,
        listing: Listing,
        listed: bool,
        cx: &mut Cx<'_>,
    ) -> ServerIx {
        self.roster.mark_changed(&listing.id);
        let given_up = self.note_crash(old, cx);
        let new = self.fleet.add(listing, listed);
        // It may carry out orders that fitted its predecessor.
        let peak = self.fleet.get(old).peak_capacity;
        let server = self.fleet.get_mut(new);
        server.peak_capacity = server.peak_capacity.max(peak);
        server.resized_at = cx.now();
        let verified = self.fleet.get(old).verified_at;
        let runs = self.fleet.get(old).runs.iter().copied();
        let uncertain: Vec<RunRef> = runs
            .filter(|run| {
                let placed = self.ledger.runs.get(run);
                // A list without an unconfirmed run proves nothing: its start order may
                // still arrive, at the new incarnation.
                placed.is_some_and(|p| {
                    p.state != RunState::Planned && (!p.confirmed || p.confirmed_at >= verified)
                })
            })
            .collect();
        for run in uncertain {
            accounts::move_to_server(&mut self.ledger, &mut self.fleet, run, new);
            self.mark_dirty(run.task.step.job);
        }
        self.fleet.get_mut(new).token_number = self.fleet.get(old).token_number + 1;
        let may_have_prior_orders = self.recovery.may_have_prior_orders(cx.now());
        let server = self.fleet.get_mut(new);
        server.stale_leases = StaleLeases::possible(&cx.settings.timing, cx.now());
        // An earlier owner may reach it before this owner's fencing token does.
        server.inherited = may_have_prior_orders;
        self.incarnation_ended(old, "a newer incarnation was seen", cx);
        self.give_up_tasks(given_up, cx);
        new
    }

    /// Marks an incarnation as ended, together with all its runs.
    pub(crate) fn incarnation_ended(&mut self, ix: ServerIx, why: &str, cx: &mut Cx<'_>) {
        self.retire_server(ix, ServerState::Ended, why, cx);
    }

    /// Moves an incarnation to a state in which it is not used, and ends all its runs.
    pub(crate) fn retire_server(
        &mut self,
        ix: ServerIx,
        state: ServerState,
        why: &str,
        cx: &mut Cx<'_>,
    ) {
        if self.fleet.get(ix).state == ServerState::Ended {
            return;
        }
        let given_up = match state {
            ServerState::Ended => self.note_crash(ix, cx),
            _ => Vec::new(),
        };
        let runs = self.fleet.get(ix).runs.iter().copied().collect();
        self.end_runs(ix, runs, why, cx);
        self.give_up_tasks(given_up, cx);
        let server = self.fleet.get_mut(ix);
        server.state = state;
        server.listed = false;
        server.inherited = false;
        self.mark_inherited_terminal_jobs();
        self.orphan_runs.retain(|(server, _), _| *server != ix);
        let id = &self.fleet.get(ix).listing.id;
        self.roster.mark_changed(id);
    }

    /// Ends runs on a backend server without a report of their ends.
    pub(crate) fn end_runs(&mut self, ix: ServerIx, runs: Vec<RunRef>, why: &str, cx: &mut Cx<'_>) {
        cx.log(Notice::ServerLost {
            server: self.fleet.get(ix).listing.id.clone(),
            runs: runs.len() as u32,
            why: why.into(),
        });
        let others = runs.len().saturating_sub(1) as u32;
        let silent_at = self.fleet.get(ix).silent_since.unwrap_or(cx.now());
        for run in runs {
            let label = self.run_label(run, ix);
            let placed = self.ledger.runs.get(&run);
            let ran = placed.map(|placed| silent_at.saturating_sub(placed.ordered_at));
            cx.log(Notice::RunLost {
                job: label.job,
                task: label.task,
                run: run.number,
                server: label.server,
                why: why.into(),
                ran_ms: ms(ran.unwrap_or_default()),
                others,
            });
            self.discard_run(run, cx);
            self.mark_dirty_lazily(run.task.step.job, cx.now());
            self.last_loss = self.commits.last_change();
        }
    }

    /// Number of jobs per queue of which no task has started, without cancelled
    /// jobs.
    pub(crate) fn pending(&self) -> BTreeMap<Name, u32> {
        let mut pending = BTreeMap::new();
        for job in self.ledger.jobs.values() {
            if job.stage == model::Stage::Queued && !job.cancelled {
                *pending.entry(job.queue.clone()).or_insert(0) += 1;
            }
        }
        pending
    }

    /// Counts a job against its team's rate limit, which is the team's weight in
    /// jobs per second. Returns true if the job is within the limit.
    pub(crate) fn is_within_rate(&mut self, team: &Name, cx: &Cx<'_>) -> bool {
        let Some(weight) = cx.config.team(team).map(|team| team.weight) else {
            return true; // Anonymous jobs belong to no team.
        };
        let bucket = self.token_buckets.entry(team.clone()).or_default();
        bucket.try_acquire(f64::from(weight), cx.now())
    }

    /// Schedules a job's state row for writing as soon as possible.
    pub(crate) fn mark_dirty(&mut self, job: JobIx) {
        self.mark_dirty_until(job, Duration::ZERO);
    }

    /// Schedules a job's state row for writing with the next group commit of its
    /// partition, which follows after `LAZY_WRITE_DELAY` at the latest. For changes
    /// that neither a start nor a caller waits for.
    pub(crate) fn mark_dirty_lazily(&mut self, job: JobIx, now: Duration) {
        self.mark_dirty_until(job, now + LAZY_WRITE_DELAY);
    }

    fn mark_dirty_until(&mut self, job: JobIx, due_at: Duration) {
        if let Some(entry) = self.ledger.jobs.get_mut(&job) {
            let queue = !std::mem::replace(&mut entry.dirty, true);
            let partition = entry.partition;
            self.commits.record_change(job, partition, queue, due_at);
        }
    }

    /// Does the periodic work.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        let age = cx.settings.timing.majority_max_age;
        cx.term.majority_reachable = self.has_majority(cx.now(), age);
        self.log_unconfirmed(cx);
        self.send_planned_starts(cx);
        self.send_due_renewals(cx);
        if cx.now() >= self.next_sweep_at {
            self.next_sweep_at = cx.now() + SWEEP_INTERVAL;
            self.expire_servers(cx);
            self.decide_open_losses(cx);
            self.retry_stops(cx);
            self.tick_recovery(cx);
        }
        self.tick_policy_queries(cx);
        self.log_summary(cx);
    }

    /// Logs once per outage that this term is valid only by a majority of the backend
    /// servers.
    fn log_unconfirmed(&mut self, cx: &mut Cx<'_>) {
        let silent = cx.now().saturating_sub(cx.term.confirmed_at);
        let unconfirmed = silent >= cx.settings.timing.ownership_validity;
        if unconfirmed && !self.unconfirmed_logged {
            let epoch = cx.term.epoch();
            let silent_ms = ms(silent);
            cx.log(Notice::Unconfirmed { epoch, silent_ms });
        }
        self.unconfirmed_logged = unconfirmed;
    }

    /// Makes the decisions that follow from the events handled so far.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>) {
        self.decide_record_trust(cx);
        self.send_recorded_starts(cx);
        let now = cx.now();
        let due = self.place_due
            && now >= self.last_place_at + self.min_place_interval.max(MIN_PLACE_INTERVAL);
        if due || now >= self.last_place_at + self.min_place_interval.max(MAX_PLACE_INTERVAL) {
            self.place_due = false;
            self.last_place_at = now;
            self.place(cx);
        }
        self.send_due_renewals(cx);
        self.send_due_heartbeat(cx);
        self.send_due_roster(cx);
        self.send_due_commits(cx);
        self.follow_jobs(cx);
    }

    /// True when a VM with a much larger CPU share could become the owner, and
    /// this term has lasted long enough and has no unobserved runs. A successor counts
    /// the leases of servers that do not answer from its own claim, so runs there must
    /// have ended, and the stored records and heartbeat must say so.
    pub(crate) fn should_yield(&self, settings: &Settings, now: Duration) -> bool {
        let is_observed = |ix: ServerIx| {
            let server = self.fleet.get(ix);
            let answers = server.state == ServerState::Held && !server.unresponsive;
            answers || server.runs.is_empty()
        };
        let settled = self.recovery.has_lasted(MIN_TERM_BEFORE_YIELD, now)
            && !self.may_have_unknown_runs()
            && self.fleet.live().all(is_observed)
            && self.commits.written_change() >= self.last_loss
            && self.heartbeats.stored_as_recorded();
        settled
            && self.policy_dispatcher.max_helper_cpu_share() >= settings.cpu_share * YIELD_CPU_RATIO
    }

    /// True when a run has been ordered to stop.
    pub(crate) fn is_stopping(&self, run: RunRef) -> bool {
        self.ledger
            .runs
            .get(&run)
            .is_some_and(|placed| placed.state == RunState::Stopping)
    }
}

/// Minimum age of a term before it is handed to a VM with a larger CPU share;
/// longer than a takeover plus the time in which helpers make their first offers.
const MIN_TERM_BEFORE_YIELD: Duration = Duration::from_secs(3);
/// Ratio of CPU shares that justifies the cost of a takeover.
const YIELD_CPU_RATIO: f64 = 2.0;
/// Longest delay of a write that nothing waits for; short enough that backend
/// servers' ends are acknowledged within a fraction of a second.
const LAZY_WRITE_DELAY: Duration = Duration::from_millis(60);
/// Interval of the checks that depend on elapsed time only.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between placement passes, so that a burst of events does not
/// cause one pass per event.
const MIN_PLACE_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum interval between placement passes; tickets and leases expire without
/// any event.
const MAX_PLACE_INTERVAL: Duration = Duration::from_millis(100);
