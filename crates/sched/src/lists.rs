//! Holds on backend servers: leases, their lists, and their silence.
//!
//! Invariant: an end is acknowledged only after what it means was committed.

use std::collections::HashSet;
use std::time::Duration;

use model::Run;

use crate::accounts;
use crate::event::{
    CallError, CallId, Finished, Listing, Order, Outcome, Progress, Rejection, RunLists,
};
use crate::fleet::{Hold, ServerIx, Standing};
use crate::ledger::{Life, RunRef};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner, SentOrder};

/// Most ends that a backend server lists at once.
const LISTED_ENDS: usize = 500;
/// Pause before a stray run is told to stop again.
const STRAY_RETRY: Duration = Duration::from_millis(500);
/// Pause between holds while ends wait for their commit.
const UNACKNOWLEDGED_PAUSE: Duration = Duration::from_millis(200);
/// Pause between holds on a silent backend server that runs nothing.
const IDLE_RETRY: Duration = Duration::from_millis(1_000);
/// Wait of holds while no write is confirmed: the answers show that no
/// successor has the backend servers.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(250);
/// Wait of holds on a backend server that leaves.
const LEAVING_WAIT: Duration = Duration::from_millis(400);

impl Owner {
    /// Sends the holds that are due.
    pub(crate) fn hold_all(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.loaded || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        let now = cx.now();
        let due: Vec<ServerIx> = self
            .fleet
            .live()
            .filter(|ix| {
                let server = self.fleet.get(*ix);
                server.hold.is_none()
                    && server.standing != Standing::Found
                    && self.hold_due(*ix, now)
            })
            .collect();
        for ix in due {
            self.send_hold(ix, cx);
        }
    }

    /// A server whose ends wait for their commit is asked again at once after
    /// it, else after a pause.
    fn hold_due(&self, ix: ServerIx, now: Duration) -> bool {
        let server = self.fleet.get(ix);
        let acknowledged = server.processed == server.acknowledged;
        let pause = match acknowledged {
            true => Duration::ZERO,
            false => UNACKNOWLEDGED_PAUSE,
        };
        now >= server.next_hold + pause
    }

    fn send_hold(&mut self, ix: ServerIx, cx: &mut Cx<'_>) {
        let now = cx.now();
        let timing = &cx.settings.timing;
        let fresh = cx.term.is_fresh(cx.settings, now);
        let unconfirmed = now >= cx.term.confirmed_at + timing.handover_after;
        let server = self.fleet.get_mut(ix);
        // A server that this owner has not called yet may know a later owner.
        if server.standing == Standing::Rostered && !fresh {
            return;
        }
        // A silent server is asked without a lease: what is sent to it may count
        // there, so that its runs would never surely end.
        let renews = server.standing == Standing::Held && !server.silent;
        let until = server.lease(timing, now).filter(|_| renews);
        if let Some(until) = until {
            server.leased(until, timing);
        }
        let wait = match server.standing {
            Standing::Held if server.processed != server.acknowledged => Duration::ZERO,
            Standing::Held if server.silent => Duration::ZERO,
            Standing::Held if server.listing.draining => LEAVING_WAIT,
            Standing::Held if unconfirmed => UNCONFIRMED_WAIT,
            Standing::Held => timing.renewal_wait,
            _ => Duration::ZERO,
        };
        // A silent server may come back as another incarnation, whose ends
        // this owner has not seen.
        let seen = match server.silent {
            true => 0,
            false => server.acknowledged,
        };
        let call = *cx.next_call + 1;
        server.hold = Some(Hold { call, sent: now });
        self.send_order(
            ix,
            Order::RenewLease {
                lease_end: until,
                acknowledged: seen,
                max_wait: wait,
            },
            SentOrder::RenewLease(ix),
            cx,
        );
    }

    pub(crate) fn hold_answered(
        &mut self,
        ix: ServerIx,
        call: CallId,
        result: Result<Outcome, CallError>,
        cx: &mut Cx<'_>,
    ) {
        let server = self.fleet.get_mut(ix);
        let Some(hold) = server.hold.take_if(|hold| hold.call == call) else {
            return;
        };
        if server.standing == Standing::Gone {
            return; // Another incarnation has taken its place.
        }
        let timing = &cx.settings.timing;
        match result {
            Ok(Outcome::Lists(lists)) => {
                server.next_hold = cx.now() + timing.renewal_gap;
                self.take_lists(ix, &lists, hold.sent, cx);
            }
            Ok(Outcome::Rejected(Rejection::Superseded)) => cx.term.follow(),
            Ok(Outcome::Rejected(Rejection::OtherIncarnation)) => {
                self.incarnation_ended(ix, "another incarnation answered", cx);
            }
            Ok(Outcome::Rejected(_) | Outcome::Done(_)) => {
                server.next_hold = cx.now() + timing.renewal_retry;
            }
            Err(fault) => {
                let idle = server.runs.is_empty() && !server.inherited;
                server.next_hold = cx.now()
                    + if idle {
                        IDLE_RETRY
                    } else {
                        timing.renewal_retry
                    };
                self.report_silence(ix, fault, cx);
            }
        }
    }

    fn report_silence(&mut self, ix: ServerIx, fault: CallError, cx: &mut Cx<'_>) {
        let server = self.fleet.get_mut(ix);
        if !server.silent {
            server.silent = true;
            let notice = Notice::ServerSilent {
                server: server.listing.id.clone(),
                fault,
                lease_left_ms: ms(server.lapses_at.saturating_sub(cx.now())),
            };
            cx.log(notice);
        }
    }

    fn take_lists(&mut self, ix: ServerIx, lists: &RunLists, sent: Duration, cx: &mut Cx<'_>) {
        let known = self.fleet.get(ix).listing.incarnation;
        let other = lists
            .incarnation
            .is_some_and(|incarnation| incarnation != known);
        if other {
            let listing = Listing {
                incarnation: lists.incarnation.unwrap_or(known),
                ..self.fleet.get(ix).listing.clone()
            };
            self.replace_incarnation(ix, listing, cx);
            return;
        }
        let now = cx.now();
        let server = self.fleet.get_mut(ix);
        server.verified_at = sent;
        server.set_clock(lists.clock, now);
        server.silent = false;
        let first = server.standing == Standing::Rostered;
        server.standing = Standing::Held;
        for finished in &lists.finished {
            self.take_listed_end(ix, finished, cx);
        }
        self.take_running(ix, lists, sent, cx);
        if first {
            self.held(ix, lists, sent, cx);
        }
        self.commits.due |= self.fleet.get(ix).processed != self.fleet.get(ix).acknowledged;
    }

    fn held(&mut self, ix: ServerIx, lists: &RunLists, sent: Duration, cx: &mut Cx<'_>) {
        let timing = &cx.settings.timing;
        let server = self.fleet.get_mut(ix);
        server.inherited = false;
        // What runs there has a lease that an earlier owner gave.
        let inherited_lease = timing.lease.div_f64(timing.min_clock_rate);
        server.lapses_at = server.lapses_at.max(cx.now() + inherited_lease);
        let notice = Notice::ServerHeld {
            server: server.listing.id.clone(),
            incarnation: server.listing.incarnation,
            runs: lists.running.len() as u32,
            took_ms: ms(cx.now().saturating_sub(sent)),
        };
        cx.log(notice);
        self.place_due = true;
        self.all_seen();
    }

    fn take_listed_end(&mut self, ix: ServerIx, finished: &Finished, cx: &mut Cx<'_>) {
        let server = self.fleet.get_mut(ix);
        if finished.number > server.processed {
            server.processed = finished.number;
            self.take_end(ix, finished, cx);
        }
    }

    fn take_running(&mut self, ix: ServerIx, lists: &RunLists, sent: Duration, cx: &mut Cx<'_>) {
        let mut listed = HashSet::with_capacity(lists.running.len());
        for progress in &lists.running {
            match self.ledger.resolve(&progress.run.task) {
                Some(task) => {
                    let run = task.run(progress.run.number);
                    listed.insert(run);
                    self.take_progress(ix, run, progress, cx);
                }
                None => self.stop_stray(ix, &progress.run, cx),
            }
        }
        self.orphan_runs.retain(|(server, run), _| {
            *server != ix || lists.running.iter().any(|p| p.run == *run)
        });
        if lists.finished.len() < LISTED_ENDS {
            self.find_vanished(ix, &listed, sent, cx);
        }
        self.adjust_paces(ix, cx);
    }

    fn take_progress(&mut self, ix: ServerIx, run: RunRef, progress: &Progress, cx: &mut Cx<'_>) {
        match self.ledger.runs.get_mut(&run) {
            Some(placed) if placed.server == ix => {
                placed.percent = progress.percent;
                placed.gauge = progress.gauge;
                placed.confirmed = true;
                if matches!(placed.life, Life::Planned | Life::Ordered) {
                    placed.life = Life::Running;
                    placed.confirmed_at = cx.now();
                }
            }
            Some(_) => {
                self.stop_stray(ix, &progress.run, cx);
                return;
            }
            None => self.adopt(ix, run, progress, cx),
        }
        self.keep_checkpoint(run.task, &progress.checkpoint);
        self.job_started(run.task.step.job, cx);
        self.stop_if_over(run, cx);
    }

    /// Stops a run of a job that has ended. Records can bring such a run back
    /// after a takeover.
    fn stop_if_over(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let job = self.ledger.jobs.get(&run.task.step.job);
        if job.is_some_and(|job| job.stage.is_final()) && !self.is_stopping(run) {
            self.stop(run, "its job has ended", cx);
        }
    }

    /// Takes over a run that this owner did not order.
    fn adopt(&mut self, ix: ServerIx, run: RunRef, progress: &Progress, cx: &mut Cx<'_>) {
        let owner = &mut *self;
        accounts::begin(
            &mut owner.ledger,
            &mut owner.fleet,
            &mut owner.accounts,
            run,
            ix,
            Life::Running,
            cx.now(),
        );
        if let Some(placed) = self.ledger.runs.get_mut(&run) {
            placed.percent = progress.percent;
            placed.gauge = progress.gauge;
            placed.pace = crate::pace::UNKNOWN;
        }
        // A successor that can't reach this backend server knows it by the
        // record alone.
        self.mark_dirty(run.task.step.job);
        self.commits.unrecorded_at = Some(cx.now());
        let label = self.label(run, ix);
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
        let unwanted = task.is_some_and(|t| t.done || (t.runs.len() > 1 && !speculative));
        if unwanted {
            self.stop(run, "it is not wanted any more", cx);
        }
    }

    /// Runs that should be listed and are not have ended.
    fn find_vanished(
        &mut self,
        ix: ServerIx,
        listed: &HashSet<RunRef>,
        sent: Duration,
        cx: &mut Cx<'_>,
    ) {
        let is_over = |run: &&RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|placed| match placed.life {
                Life::Planned | Life::Ordered => false,
                Life::Running => placed.confirmed_at <= sent,
                // One that may not have arrived yet needs the stop to have.
                Life::Stopping if placed.confirmed => placed.confirmed_at <= sent,
                Life::Stopping => placed.stop_acked.is_some_and(|at| at <= sent),
            })
        };
        let missing = self
            .fleet
            .get(ix)
            .runs
            .iter()
            .filter(|run| !listed.contains(run));
        let over: Vec<RunRef> = missing.filter(is_over).copied().collect();
        for run in over {
            let label = self.label(run, ix);
            cx.log(Notice::RunVanished {
                job: label.job,
                task: label.task,
                run: run.number,
                server: label.server,
            });
            self.run_over(run, cx);
        }
    }

    /// Stops a run of a job that is not known, or that is known elsewhere.
    fn stop_stray(&mut self, ix: ServerIx, run: &Run, cx: &mut Cx<'_>) {
        let now = cx.now();
        let next = self.orphan_runs.entry((ix, run.clone())).or_insert(now);
        if now < *next {
            return;
        }
        *next = now + STRAY_RETRY;
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
            why: "its job is not known".into(),
        });
        let order = Order::Stop { run: run.clone() };
        self.send_order(ix, order, SentOrder::StopOrphan, cx);
    }

    /// Ends what has surely lapsed, and forgets servers that are gone.
    pub(crate) fn sweep_servers(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let live: Vec<ServerIx> = self.fleet.live().collect();
        for ix in live {
            let server = self.fleet.get(ix);
            let lapsed = now >= server.lapses_at;
            let silent = now >= server.heard_at + cx.settings.timing.server_timeout;
            let unused = server.runs.is_empty() && !server.inherited;
            if lapsed && !server.runs.is_empty() {
                self.end_runs_on(ix, "its leases have lapsed", cx);
            } else if lapsed && silent && unused && !server.listed {
                self.incarnation_ended(ix, "it is not listed any more", cx);
            }
        }
    }
}
