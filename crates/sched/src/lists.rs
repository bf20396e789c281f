//! Lease renewals of backend servers. The response to a renewal contains the
//! lists of running and ended runs; backend servers that do not respond, and leases
//! that expire, are handled here too.
//!
//! Invariant: an ended run is acknowledged only after the effects of its end were
//! committed.

use std::collections::HashSet;
use std::time::Duration;

use model::RunKey;

use crate::accounts;
use crate::event::{
    CallId, Finished, Listing, Order, OrderError, OrderResponse, Progress, Rejection, RunLists,
};
use crate::fleet::{RenewalCall, ServerIx, ServerState, UnacknowledgedEnd};
use crate::ledger::{RunRef, RunState};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner, SentOrder};
use crate::partition::CELL_PARTITION;
use crate::settings::Timing;

/// Maximum number of ended runs in one list. A list of that length may be
/// incomplete.
const MAX_LISTED_ENDS: usize = 500;
/// Delay before the stop of an orphan run is sent again.
const ORPHAN_STOP_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after an acknowledged stop within which the run has ended on a sound backend
/// server.
const MAX_STOP_TIME: Duration = Duration::from_millis(1_000);
/// Lower and upper bound of the additional delay between renewals while the effects
/// of ended runs are not yet committed.
const UNACKNOWLEDGED_PAUSE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Delay between renewals of an unresponsive backend server that runs nothing.
const IDLE_SERVER_RETRY: Duration = Duration::from_millis(1_000);
/// Long-poll time of renewals while no write is confirmed, and their interval at servers
/// with unacknowledged ends. The responses must come within `Timing::majority_max_age`
/// then, since they show that no successor has fenced this owner.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(250);
/// Long-poll time of renewals of a backend server that is draining.
const DRAINING_WAIT: Duration = Duration::from_millis(400);

impl Owner {
    /// Sends the lease renewals that are due, one in flight per backend server.
    pub(crate) fn send_due_renewals(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.tables_loaded || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        let commits = &self.commits;
        self.fleet
            .acknowledge(|partition, change| commits.is_written(partition, change));
        let due: Vec<ServerIx> = self
            .fleet
            .live()
            .filter(|ix| {
                let server = self.fleet.get(*ix);
                server.renewal.is_none()
                    && server.state != ServerState::Discovered
                    && self.is_renewal_due(*ix, cx)
            })
            .collect();
        for ix in due {
            self.send_renewal(ix, cx);
        }
    }

    /// True when the next renewal is due. While the effects of ended runs are not yet
    /// committed, it is delayed, so that it is sent as soon as their commit is
    /// applied.
    fn is_renewal_due(&self, ix: ServerIx, cx: &Cx<'_>) -> bool {
        let server = self.fleet.get(ix);
        let acknowledged = server.processed_end == server.acknowledged_end;
        // A server whose ends are not acknowledged answers at once, so a slow table
        // service must not make this VM call all of them all the time.
        let slow = self.commits.expected_latency() * 2;
        let pause = match acknowledged || server.lists_wanted {
            true => Duration::ZERO,
            // The responses show that no successor has fenced this owner.
            false if self.is_unconfirmed(cx) => UNCONFIRMED_WAIT,
            false => slow.clamp(UNACKNOWLEDGED_PAUSE.0, UNACKNOWLEDGED_PAUSE.1),
        };
        cx.now() >= server.next_renewal_at + pause
    }

    /// True when no write was confirmed for so long that this owner asks for a
    /// successor.
    fn is_unconfirmed(&self, cx: &Cx<'_>) -> bool {
        cx.now() >= cx.term.confirmed_at + cx.settings.timing.handover_after
    }

    fn send_renewal(&mut self, ix: ServerIx, cx: &mut Cx<'_>) {
        let now = cx.now();
        let timing = &cx.settings.timing;
        let fresh = cx.term.is_fresh(cx.settings, now);
        let unconfirmed = self.is_unconfirmed(cx);
        let awaits_start = self.has_unanswered_start(ix);
        let server = self.fleet.get_mut(ix);
        // A server that has not answered this owner may already have answered a
        // later one, so it is called only while no other VM can have claimed.
        if server.state == ServerState::InRoster && !fresh {
            return;
        }
        // An unresponsive server gets no lease. It may receive the order although its
        // response is lost, so the leases of its runs would never certainly expire.
        let renews = server.state == ServerState::Held && !server.unresponsive;
        let lease_end = server.new_lease_end(timing, now).filter(|_| renews);
        if let Some(lease_end) = lease_end {
            server.record_lease(lease_end, timing);
        }
        let max_wait = match server.state {
            _ if std::mem::take(&mut server.lists_wanted) => Duration::ZERO,
            ServerState::Held if server.processed_end != server.acknowledged_end => Duration::ZERO,
            ServerState::Held if server.unresponsive => Duration::ZERO,
            ServerState::Held if server.listing.draining => DRAINING_WAIT,
            ServerState::Held if unconfirmed => UNCONFIRMED_WAIT,
            ServerState::Held => timing.renewal_wait,
            _ => Duration::ZERO,
        };
        // An unresponsive server may come back as another incarnation, whose ended
        // runs have not been handled, so none are acknowledged. The same holds for a run
        // whose start and whose end the next incarnation executes before this order.
        let in_doubt = server.unresponsive || server.doubted_at.is_some() || awaits_start;
        let acknowledged = match in_doubt {
            true => 0,
            false => server.acknowledged_end,
        };
        if acknowledged > 0 {
            server.note_acknowledgement();
        }
        let call = *cx.last_call_id + 1;
        server.renewal = Some(RenewalCall { call, sent_at: now });
        self.send_order(
            ix,
            Order::RenewLease {
                lease_end,
                acknowledged,
                max_wait,
            },
            SentOrder::RenewLease(ix),
            cx,
        );
    }

    /// True while a start order to a backend server has no response.
    fn has_unanswered_start(&self, ix: ServerIx) -> bool {
        let mut runs = self.fleet.get(ix).runs.iter();
        runs.any(|run| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|p| p.state != RunState::Planned && !p.confirmed)
        })
    }

    /// Handles the response to a lease renewal.
    pub(crate) fn renewal_answered(
        &mut self,
        ix: ServerIx,
        call: CallId,
        result: Result<OrderResponse, OrderError>,
        cx: &mut Cx<'_>,
    ) {
        let server = self.fleet.get_mut(ix);
        let live = server.state.is_live();
        let current = server.renewal.take_if(|renewal| renewal.call == call);
        let Some(renewal) = current.filter(|_| live) else {
            self.late_renewal_answered(ix, &result, cx);
            return;
        };
        let timing = &cx.settings.timing;
        match result {
            Ok(OrderResponse::Lists(lists)) => {
                server.next_renewal_at = cx.now() + timing.renewal_gap;
                self.process_lists(ix, &lists, renewal.sent_at, cx);
            }
            Ok(OrderResponse::Rejected(Rejection::Superseded)) => cx.term.become_follower(),
            Ok(OrderResponse::Rejected(Rejection::OtherIncarnation)) => {
                self.incarnation_ended(ix, "another incarnation answered", cx);
            }
            Ok(OrderResponse::Rejected(_) | OrderResponse::Done(_)) => {
                server.next_renewal_at = cx.now() + timing.renewal_retry;
            }
            Err(fault) => {
                let idle = server.runs.is_empty() && !server.inherited;
                server.next_renewal_at = cx.now()
                    + if idle {
                        IDLE_SERVER_RETRY
                    } else {
                        timing.renewal_retry
                    };
                self.mark_unresponsive(ix, fault, cx);
            }
        }
    }

    /// Handles the response to a renewal that this owner no longer waits for, because
    /// it has requested the lists again or no longer uses the incarnation. The ends in
    /// it are facts whenever it was made; what was running then may have ended since.
    fn late_renewal_answered(
        &mut self,
        ix: ServerIx,
        result: &Result<OrderResponse, OrderError>,
        cx: &mut Cx<'_>,
    ) {
        let Ok(OrderResponse::Lists(lists)) = result else {
            return;
        };
        let listing = &self.fleet.get(ix).listing;
        match lists.incarnation {
            Some(other) if other != listing.incarnation => cx.log(Notice::ListsUnused {
                server: listing.id.clone(),
                incarnation: other,
                ends: lists.finished.len() as u32,
            }),
            _ => self.process_ends(ix, lists, cx),
        }
    }

    fn mark_unresponsive(&mut self, ix: ServerIx, fault: OrderError, cx: &mut Cx<'_>) {
        let expire_at = self.leases_expire_at(ix, &cx.settings.timing);
        let server = self.fleet.get_mut(ix);
        if !server.unresponsive {
            server.unresponsive = true;
            server.silent_since.get_or_insert(cx.now());
            let notice = Notice::ServerSilent {
                server: server.listing.id.clone(),
                fault,
                lease_left_ms: expire_at.map(|at| ms(at.saturating_sub(cx.now()))),
            };
            cx.log(notice);
            self.place_due = true; // For copies of what runs there.
        }
    }

    fn process_lists(
        &mut self,
        ix: ServerIx,
        lists: &RunLists,
        sent_at: Duration,
        cx: &mut Cx<'_>,
    ) {
        let known = self.fleet.get(ix).listing.incarnation;
        let other = lists
            .incarnation
            .is_some_and(|incarnation| incarnation != known);
        if other {
            let listing = Listing {
                incarnation: lists.incarnation.unwrap_or(known),
                ..self.fleet.get(ix).listing.clone()
            };
            // It may have another capacity than its predecessor, which only the registry shows.
            self.replace_incarnation(ix, listing, false, cx);
            return;
        }
        let now = cx.now();
        let server = self.fleet.get_mut(ix);
        server.verified_at = sent_at;
        server.observe_clock(lists.clock, now);
        server.unresponsive = false;
        server.doubted_at = None;
        server.silent_since = None;
        let first = server.state == ServerState::InRoster;
        server.state = ServerState::Held;
        self.withdraw_open_losses(ix, cx);
        self.process_ends(ix, lists, cx);
        self.process_running(ix, lists, sent_at, cx);
        if first {
            self.server_held(ix, lists, sent_at, cx);
        }
    }

    /// Handles the first response of a backend server in this term.
    fn server_held(&mut self, ix: ServerIx, lists: &RunLists, sent_at: Duration, cx: &mut Cx<'_>) {
        let timing = &cx.settings.timing;
        let server = self.fleet.get_mut(ix);
        server.inherited = false;
        // Its runs may hold a full lease from an earlier owner.
        let inherited_lease = timing.lease.div_f64(timing.min_clock_rate);
        server.leases_expire_at = server.leases_expire_at.max(cx.now() + inherited_lease);
        if server.stale_leases.answered(timing, cx.now()) {
            self.roster.mark_changed(&server.listing.id);
        }
        let notice = Notice::ServerHeld {
            server: server.listing.id.clone(),
            incarnation: server.listing.incarnation,
            runs: lists.running.len() as u32,
            took_ms: ms(cx.now().saturating_sub(sent_at)),
        };
        cx.log(notice);
        self.place_due = true;
        self.mark_inherited_terminal_jobs();
    }

    fn process_ends(&mut self, ix: ServerIx, lists: &RunLists, cx: &mut Cx<'_>) {
        for finished in &lists.finished {
            self.process_listed_end(ix, finished, cx);
        }
    }

    fn process_listed_end(&mut self, ix: ServerIx, finished: &Finished, cx: &mut Cx<'_>) {
        let server = self.fleet.get_mut(ix);
        if finished.number > server.processed_end {
            server.processed_end = finished.number;
            self.handle_run_end(ix, finished, cx);
            let job = self.ledger.find(&finished.run.task.job);
            let job = job.and_then(|ix| self.ledger.jobs.get(&ix));
            let end = UnacknowledgedEnd {
                number: finished.number,
                partition: job.map_or(CELL_PARTITION, |job| job.partition),
                change: self.commits.last_change(),
            };
            self.fleet.get_mut(ix).unacknowledged.push_back(end);
        }
    }

    fn process_running(
        &mut self,
        ix: ServerIx,
        lists: &RunLists,
        sent_at: Duration,
        cx: &mut Cx<'_>,
    ) {
        let mut listed = HashSet::with_capacity(lists.running.len());
        for progress in &lists.running {
            match self.ledger.resolve(&progress.run.task) {
                Some(task) => {
                    let run = task.run(progress.run.number);
                    listed.insert(run);
                    self.process_progress(ix, run, progress, sent_at, cx);
                }
                None => self.stop_orphan_run(ix, &progress.run, cx),
            }
        }
        self.orphan_runs.retain(|(server, run), _| {
            *server != ix || lists.running.iter().any(|p| p.run == *run)
        });
        if lists.finished.len() < MAX_LISTED_ENDS {
            self.discard_vanished(ix, &listed, sent_at, cx);
        }
        self.adjust_paces(ix, cx);
    }

    fn process_progress(
        &mut self,
        ix: ServerIx,
        run: RunRef,
        progress: &Progress,
        sent_at: Duration,
        cx: &mut Cx<'_>,
    ) {
        match self.ledger.runs.get_mut(&run) {
            Some(placed) if placed.server == ix => {
                placed.observe_percent(progress.percent, cx.now());
                placed.gauge = progress.gauge;
                placed.confirmed = true;
                if matches!(placed.state, RunState::Planned | RunState::Starting) {
                    placed.state = RunState::Running;
                    placed.confirmed_at = cx.now();
                }
            }
            Some(_) => {
                self.stop_orphan_run(ix, &progress.run, cx);
                return;
            }
            None => self.adopt_run(ix, run, progress, cx),
        }
        self.save_checkpoint(run.task, &progress.checkpoint);
        self.job_started(run.task.step.job, cx);
        match self.is_stopping(run) {
            true => self.repeat_ineffective_stop(run, sent_at),
            false => self.stop_if_unneeded(run, cx),
        }
    }

    /// Stops a run whose job has ended or whose task is done. After a takeover, such a run
    /// may have been restored from the job's record.
    fn stop_if_unneeded(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let job = self.ledger.jobs.get(&run.task.step.job);
        let done = self.ledger.task(run.task).is_some_and(|task| task.done);
        match job.is_some_and(|job| job.stage.is_terminal()) {
            true => self.stop_run(run, "job ended", cx),
            false if done => self.stop_run(run, "task is done", cx),
            false => {}
        }
    }

    /// Makes a stop due again whose run is still listed by a response to a renewal that was
    /// sent at `sent_at`, long after the stop was acknowledged: another incarnation
    /// acknowledged it, or the run did not end with its gang.
    fn repeat_ineffective_stop(&mut self, run: RunRef, sent_at: Duration) {
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        let overdue = |at: &mut Duration| *at + MAX_STOP_TIME <= sent_at;
        if placed.stop_acknowledged_at.take_if(overdue).is_some() {
            placed.next_stop_at = Duration::ZERO;
        }
    }

    /// Adopts a listed run that this owner does not know.
    fn adopt_run(&mut self, ix: ServerIx, run: RunRef, progress: &Progress, cx: &mut Cx<'_>) {
        let owner = &mut *self;
        accounts::reserve(
            &mut owner.ledger,
            &mut owner.fleet,
            &mut owner.accounts,
            run,
            ix,
            RunState::Running,
            cx.now(),
        );
        if let Some(placed) = self.ledger.runs.get_mut(&run) {
            placed.observe_percent(progress.percent, cx.now());
            placed.gauge = progress.gauge;
            placed.pace = crate::pace::UNKNOWN_PACE;
        }
        // The run must be recorded: a successor that can't reach this backend
        // server knows of it only by the record.
        self.mark_dirty(run.task.step.job);
        self.commits.note_unrecorded();
        let label = self.run_label(run, ix);
        cx.log(Notice::RunAdopted {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
        });
        let speculative = self
            .ledger
            .spec(run.task.step)
            .is_some_and(|s| s.speculative);
        let task = self.ledger.task(run.task);
        let redundant = task.is_some_and(|t| t.done || (t.runs.len() > 1 && !speculative));
        if redundant {
            self.stop_run(run, "task is done or has another run", cx);
        }
    }

    /// Discards runs that the list should contain and does not: they have ended.
    fn discard_vanished(
        &mut self,
        ix: ServerIx,
        listed: &HashSet<RunRef>,
        sent_at: Duration,
        cx: &mut Cx<'_>,
    ) {
        let has_ended = |run: &&RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|placed| match placed.state {
                RunState::Planned | RunState::Starting => false,
                RunState::Running => placed.confirmed_at <= sent_at,
                // An unconfirmed start may still arrive after this list was made,
                // unless the stop arrived first.
                RunState::Stopping if placed.confirmed => placed.confirmed_at <= sent_at,
                RunState::Stopping => placed.stop_acknowledged_at.is_some_and(|at| at <= sent_at),
            })
        };
        let missing = self
            .fleet
            .get(ix)
            .runs
            .iter()
            .filter(|run| !listed.contains(run));
        let ended: Vec<RunRef> = missing.filter(has_ended).copied().collect();
        for run in ended {
            let label = self.run_label(run, ix);
            cx.log(Notice::RunVanished {
                job: label.job,
                task: label.task,
                run: run.number,
                server: label.server,
            });
            self.discard_run(run, cx);
        }
    }

    /// Stops an orphan run: a listed run whose task is unknown, or that is placed on
    /// another backend server.
    fn stop_orphan_run(&mut self, ix: ServerIx, run: &RunKey, cx: &mut Cx<'_>) {
        let now = cx.now();
        let next = self.orphan_runs.entry((ix, run.clone())).or_insert(now);
        if now < *next {
            return;
        }
        *next = now + ORPHAN_STOP_RETRY_DELAY;
        cx.log(Notice::Stop {
            job: run.task.job.clone(),
            task: compact_str::format_compact!(
                "{}.{}.{}",
                run.task.occurrence,
                run.task.step,
                run.task.index
            ),
            run: run.number,
            server: self.fleet.get(ix).listing.id.clone(),
            why: "unknown job, or placed on another server".into(),
        });
        let order = Order::Stop { run: run.clone() };
        self.send_order(ix, order, SentOrder::StopOrphan, cx);
    }

    /// When all leases on a backend server have certainly expired, unless this owner
    /// renews them; `None` while an earlier owner may still do so.
    pub(crate) fn leases_expire_at(&self, ix: ServerIx, timing: &Timing) -> Option<Duration> {
        let server = self.fleet.get(ix);
        let known = server.granted_until(timing);
        match server.inherited {
            true => Some(self.recovery.prior_orders_until()?.max(known)),
            false => Some(known),
        }
    }

    /// Runs that can't be executing once the leases on their backend server have
    /// expired. An unanswered start order may still be executed by the next incarnation,
    /// under a lease from then on, so such a run counts for as long as orders are delayed,
    /// and for a shorter time if the server has left the registry.
    fn lapsed_runs(&self, ix: ServerIx, cx: &Cx<'_>) -> Vec<RunRef> {
        let timing = &cx.settings.timing;
        let server = self.fleet.get(ix);
        let wait = match server.is_gone(timing, cx.now()) {
            true => timing.unanswered_start_wait,
            // An incarnation that has executed the order is in the registry by then.
            false => timing.max_order_delay + timing.registry_absence,
        };
        let is_over = |run: &&RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_none_or(|p| {
                let received = p.confirmed || p.state == RunState::Planned;
                received || cx.now() >= p.ordered_at + wait
            })
        };
        server.runs.iter().filter(is_over).copied().collect()
    }

    /// Discards the runs of backend servers whose leases have certainly expired,
    /// and removes unresponsive backend servers that left the registry.
    pub(crate) fn expire_servers(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let live: Vec<ServerIx> = self.fleet.live().collect();
        for ix in live {
            let server = self.fleet.get(ix);
            // Without a write confirmed since, a successor may have renewed them.
            let certain = |at| now >= at && cx.term.confirmed_at >= at;
            let expire_at = self.leases_expire_at(ix, &cx.settings.timing);
            let expired = expire_at.is_some_and(certain);
            let unresponsive = now >= server.last_answer_at + cx.settings.timing.server_timeout;
            let unused = server.runs.is_empty() && !server.inherited;
            let lapsed = match expired {
                true => self.lapsed_runs(ix, cx),
                false => Vec::new(),
            };
            if !lapsed.is_empty() {
                self.note_lapses(ix, &lapsed, now);
                self.end_runs(ix, lapsed, "leases expired", cx);
            } else if expired && unresponsive && unused && !server.listed {
                let why = "no longer in the registry and not answering";
                self.retire_server(ix, ServerState::GivenUp, why, cx);
            }
        }
    }
}
