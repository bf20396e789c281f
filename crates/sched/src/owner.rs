//! What the owner knows, and the routing of answers to the stages.
//!
//! Invariant: an `Owner` lives for one epoch; nothing of it is carried over
//! to another.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::{Epoch, Name, RunId};
use policy::{RuntimeEstimates, TokenBucket};

use crate::accounts::{self, Accounts};
use crate::advice::AdviceDispatcher;
use crate::commit::Commits;
use crate::config::Config;
use crate::event::{CallId, Effect, Fault, Listing, Order, Outcome, Rejection, Time};
use crate::fleet::{Fleet, ServerIx, ServerState};
use crate::ledger::{JobIx, Ledger, RunRef, RunState};
use crate::notice::Notice;
use crate::recover::Recovery;
use crate::settings::Settings;
use crate::term::Term;

/// What every stage may use while it handles an event.
pub(crate) struct Cx<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) config: &'a Config,
    pub(crate) term: &'a mut Term,
    pub(crate) time: Time,
    pub(crate) next_call: &'a mut CallId,
    pub(crate) out: &'a mut Vec<Effect>,
}

impl Cx<'_> {
    /// Steady time of the event.
    pub(crate) fn now(&self) -> Duration {
        self.time.now
    }

    /// A new call id.
    pub(crate) fn call(&mut self) -> CallId {
        *self.next_call += 1;
        *self.next_call
    }

    /// Writes a log line.
    pub(crate) fn log(&mut self, notice: Notice) {
        self.out.push(Effect::Log(notice));
    }
}

/// An order under way.
#[derive(Clone, Debug)]
pub(crate) enum Sent {
    Start(RunRef),
    Stop(RunRef),
    Stray,
    Hold(ServerIx),
    Pace(RunRef),
}

/// Runs of jobs that the owner does not know, by backend server.
pub(crate) type Strays = HashMap<(ServerIx, RunId), Duration>;

/// The owner's state.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) ledger: Ledger,
    pub(crate) fleet: Fleet,
    pub(crate) accounts: Accounts,
    pub(crate) desk: AdviceDispatcher,
    pub(crate) commits: Commits,
    pub(crate) recovery: Recovery,
    /// Orders under way, with their backend server and fencing token.
    pub(crate) sent: HashMap<CallId, (Sent, ServerIx, Epoch)>,
    pub(crate) strays: Strays,
    pub(crate) images: HashMap<Name, u32>,
    pub(crate) estimates: RuntimeEstimates,
    token_buckets: HashMap<Name, TokenBucket>,
    /// When each team last sent urgent work.
    pub(crate) urgent_at: HashMap<Name, Duration>,
    /// Factor on run times away from the data.
    pub(crate) remote_factor: f64,
    /// Something changed that may let a task start.
    pub(crate) place_due: bool,
    pub(crate) last_place: Duration,
    /// Least time between two placement passes, by what one costs.
    pub(crate) place_pause: Duration,
    pub(crate) next_sweep: Duration,
    pub(crate) next_summary: Duration,
    /// Steps with tasks to start, at the last placement pass.
    pub(crate) waiting_steps: u32,
}

impl Owner {
    /// The state of a term that has just begun.
    pub(crate) fn new(cx: &mut Cx<'_>) -> Self {
        let mut owner = Self {
            ledger: Ledger::default(),
            fleet: Fleet::default(),
            accounts: Accounts::default(),
            desk: AdviceDispatcher::default(),
            commits: Commits::default(),
            recovery: Recovery::new(cx.now()),
            sent: HashMap::new(),
            strays: HashMap::new(),
            images: HashMap::new(),
            estimates: RuntimeEstimates::default(),
            token_buckets: HashMap::new(),
            urgent_at: HashMap::new(),
            remote_factor: cx.settings.remote_factor,
            place_due: false,
            last_place: Duration::ZERO,
            place_pause: Duration::ZERO,
            next_sweep: Duration::ZERO,
            next_summary: Duration::ZERO,
            waiting_steps: 0,
        };
        cx.out.push(Effect::WatchServers(true));
        owner.start_scans(cx);
        owner
    }

    /// Sends an order to a backend server.
    pub(crate) fn order(&mut self, server: ServerIx, order: Order, sent: Sent, cx: &mut Cx<'_>) {
        let call = cx.call();
        let entry = self.fleet.get(server);
        let token = entry.fencing_token(cx.term.epoch());
        self.sent.insert(call, (sent, server, token));
        cx.out.push(Effect::Order {
            call,
            server: entry.listing.id.clone(),
            address: entry.listing.address.clone(),
            token,
            order: Box::new(order),
        });
    }

    /// Routes a backend server's answer.
    pub(crate) fn answered(
        &mut self,
        call: CallId,
        result: Result<Outcome, Fault>,
        cx: &mut Cx<'_>,
    ) {
        let Some((sent, server, token)) = self.sent.remove(&call) else {
            return;
        };
        let result = match result {
            Ok(Outcome::Rejected(Rejection::Superseded)) if self.is_outdated(server, token, cx) => {
                Ok(Outcome::Rejected(Rejection::TooLate))
            }
            other => other,
        };
        match sent {
            Sent::Start(run) => self.start_answered(run, result, cx),
            Sent::Stop(run) => self.stop_answered(run, result, cx),
            Sent::Hold(server) => self.hold_answered(server, call, result, cx),
            Sent::Pace(run) => self.pace_answered(run, &result),
            // A stray run that is still listed is told again.
            Sent::Stray => {}
        }
    }

    /// True when an order was refused because of this owner's own later orders
    /// to the next incarnation.
    fn is_outdated(&self, server: ServerIx, token: Epoch, cx: &Cx<'_>) -> bool {
        let current = self.fleet.find(&self.fleet.get(server).listing.id);
        current.is_some_and(|ix| token < self.fleet.get(ix).fencing_token(cx.term.epoch()))
    }

    /// Takes in the whole registry.
    pub(crate) fn servers_listed(&mut self, listings: Vec<Listing>, cx: &mut Cx<'_>) {
        let named: Vec<Name> = listings.iter().map(|l| l.id.clone()).collect();
        let missing: Vec<Name> = self
            .fleet
            .servers
            .iter()
            .filter(|s| s.listed && !named.contains(&s.listing.id))
            .map(|s| s.listing.id.clone())
            .collect();
        for listing in listings {
            self.server_listed(listing, cx);
        }
        for id in missing {
            self.server_unlisted(&id);
        }
        self.recovery.registry_loaded = true;
    }

    /// Takes in one entry of the registry.
    pub(crate) fn server_listed(&mut self, listing: Listing, cx: &mut Cx<'_>) {
        self.place_due = true;
        match self.fleet.find(&listing.id) {
            Some(ix) if self.fleet.get(ix).listing.incarnation == listing.incarnation => {
                self.update_listing(ix, listing, cx);
            }
            Some(ix) if self.fleet.get(ix).listing.incarnation > listing.incarnation => {}
            Some(ix) => self.reincarnate(ix, listing, cx),
            None => {
                self.fleet.add(listing, true);
                self.commits.roster_due = true;
            }
        }
    }

    /// An incarnation was followed by another of the same id. Orders name the
    /// id, so those that the old one did not surely carry out may have reached
    /// the new one: their runs count there until its lists say otherwise.
    pub(crate) fn reincarnate(&mut self, old: ServerIx, listing: Listing, cx: &mut Cx<'_>) {
        if self.fleet.get(old).state == ServerState::Ended {
            return; // The next incarnation is known already.
        }
        let listed = self.fleet.get(old).listed || self.recovery.registry_loaded;
        let new = self.fleet.add(listing, listed);
        let verified = self.fleet.get(old).verified_at;
        let runs = self.fleet.get(old).runs.iter().copied();
        let uncertain: Vec<RunRef> = runs
            .filter(|run| {
                let placed = self.ledger.runs.get(run);
                placed.is_some_and(|p| p.state != RunState::Planned && p.confirmed_at >= verified)
            })
            .collect();
        for run in uncertain {
            accounts::move_to_server(&mut self.ledger, &mut self.fleet, run, new);
            self.mark(run.task.step.job);
        }
        let births = self.fleet.get(old).prior_incarnations + 1;
        self.fleet.get_mut(new).prior_incarnations = births;
        let timing = &cx.settings.timing;
        let longest = timing.lease_max.div_f64(timing.clock_rate);
        let unfenced = self.recovery.may_have_prior_orders(cx.now());
        let server = self.fleet.get_mut(new);
        server.leases_expire_at = cx.now() + longest;
        // An earlier owner may reach it before this one's token does.
        server.inherited = unfenced;
        self.commits.roster_due = true;
        self.server_over(old, "a newer incarnation was seen", cx);
    }

    fn update_listing(&mut self, ix: ServerIx, listing: Listing, cx: &mut Cx<'_>) {
        let server = self.fleet.get_mut(ix);
        let leaves = listing.draining && !server.listing.draining;
        server.listing = listing;
        server.listed = true;
        if leaves {
            let notice = Notice::ServerLeaving {
                server: server.listing.id.clone(),
                runs: server.runs.len() as u32,
            };
            cx.log(notice);
        }
    }

    /// The registry's entry of a backend server is gone. What runs there goes
    /// on while the server answers.
    pub(crate) fn server_unlisted(&mut self, id: &Name) {
        if let Some(ix) = self.fleet.find(id) {
            self.fleet.get_mut(ix).listed = false;
        }
    }

    /// An incarnation is over: nothing of it runs any more.
    pub(crate) fn server_over(&mut self, ix: ServerIx, why: &str, cx: &mut Cx<'_>) {
        if self.fleet.get(ix).state == ServerState::Ended {
            return;
        }
        self.runs_over(ix, why, cx);
        let server = self.fleet.get_mut(ix);
        server.state = ServerState::Ended;
        server.listed = false;
        server.inherited = false;
        self.mark_inherited_final_jobs();
        self.strays.retain(|(server, _), _| *server != ix);
        self.commits.roster_due = true;
    }

    /// Everything that ran on a backend server is over.
    pub(crate) fn runs_over(&mut self, ix: ServerIx, why: &str, cx: &mut Cx<'_>) {
        let server = self.fleet.get(ix);
        let runs: Vec<RunRef> = server.runs.iter().copied().collect();
        cx.log(Notice::ServerLost {
            server: server.listing.id.clone(),
            runs: runs.len() as u32,
            why: why.into(),
        });
        for run in runs {
            self.discard_run(run, cx);
        }
    }

    /// Jobs of each queue of which no task has started.
    pub(crate) fn pending(&self) -> BTreeMap<Name, u32> {
        let mut pending = BTreeMap::new();
        for job in self.ledger.jobs.values() {
            if job.stage == model::Stage::Queued && !job.cancelled {
                *pending.entry(job.queue.clone()).or_insert(0) += 1;
            }
        }
        pending
    }

    /// Counts a job of a team; true when it is within the team's rate, which is
    /// its share in jobs a second.
    pub(crate) fn is_within_rate(&mut self, team: &Name, cx: &Cx<'_>) -> bool {
        let Some(share) = cx.config.team(team).map(|team| team.share) else {
            return true; // An open queue's jobs count for nobody.
        };
        let bucket = self.token_buckets.entry(team.clone()).or_default();
        bucket.try_acquire(f64::from(share), cx.now())
    }

    /// Marks a job's state row as to be written.
    pub(crate) fn mark(&mut self, job: JobIx) {
        if let Some(job) = self.ledger.jobs.get_mut(&job) {
            job.dirty = true;
            self.commits.due = true;
        }
    }

    /// Periodic work.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        let age = cx.settings.timing.majority_age;
        cx.term.majority_reachable = self.has_majority(Some((cx.now(), age)));
        self.send_planned_starts(cx);
        self.send_due_holds(cx);
        if cx.now() >= self.next_sweep {
            self.next_sweep = cx.now() + SWEEP;
            self.expire_servers(cx);
            self.retry_stops(cx);
            self.tick_recovery(cx);
        }
        self.tick_advice(cx);
        self.summarize(cx);
    }

    /// What follows from the events taken so far.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>) {
        self.decide_record_trust(cx);
        let now = cx.now();
        let due = self.place_due && now >= self.last_place + self.place_pause.max(PLACE_PAUSE);
        if due || now >= self.last_place + self.place_pause.max(PLACE_PERIOD) {
            self.place_due = false;
            self.last_place = now;
            self.place(cx);
        }
        self.send_due_holds(cx);
        self.flush(cx);
        self.follow_jobs(cx);
    }

    /// True when a much stronger VM could own and this term has settled.
    pub(crate) fn should_yield(&self, settings: &Settings, now: Duration) -> bool {
        let settled = self.recovery.has_lasted(YIELD_AFTER, now) && !self.may_have_unknown_runs();
        settled && self.desk.max_helper_strength() >= settings.strength * MUCH_STRONGER
    }

    /// True when a run was told to stop.
    pub(crate) fn is_stopping(&self, run: RunRef) -> bool {
        self.ledger
            .runs
            .get(&run)
            .is_some_and(|placed| placed.state == RunState::Stopping)
    }
}

/// Age of a term from which it may be handed to a stronger VM: longer than a
/// takeover and the questions that tell the owner of its helpers.
const YIELD_AFTER: Duration = Duration::from_secs(3);
/// Ratio of strengths that is worth a takeover.
const MUCH_STRONGER: f64 = 2.0;
/// Period of the checks that depend on time alone.
const SWEEP: Duration = Duration::from_millis(50);
/// Pause between two placement passes, so that a burst of events does not
/// cause a pass each.
const PLACE_PAUSE: Duration = Duration::from_millis(4);
/// Longest time between two placement passes: tickets and leases change with
/// time alone.
const PLACE_PERIOD: Duration = Duration::from_millis(100);
