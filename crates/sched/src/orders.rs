//! Orders to start and stop runs, and the handling of their responses.
//!
//! Invariant: a run whose start order got no response keeps its resources until
//! a stop is acknowledged and a later list of the backend server does not
//! contain it, or until its lease has ended under any permitted clock drift.

use std::time::Duration;

use model::Name;

use crate::accounts;
use crate::event::{Effect, Metric, Order, OrderError, OrderResponse, Rejection};
use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{JobIx, RunRef, RunState, Ticket};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner, SentOrder};

/// Delay before an unanswered stop order is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without new work for a backend server that reported itself unhealthy or
/// could not be reached.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(1_500);

/// Job, task and backend server of a run as they appear in log events.
pub(crate) struct RunLabel {
    pub(crate) job: Name,
    pub(crate) task: Name,
    pub(crate) server: Name,
}

impl Owner {
    /// Names of a run, for log events.
    pub(crate) fn run_label(&self, run: RunRef, server: ServerIx) -> RunLabel {
        let step = run.task.step;
        let job = self.ledger.jobs.get(&step.job);
        let task = (step.occurrence, step.step, run.task.index);
        RunLabel {
            job: job.map(|job| job.id.clone()).unwrap_or_default(),
            task: compact_str::format_compact!("{}.{}.{}", task.0, task.1, task.2),
            server: self.fleet.get(server).listing.id.clone(),
        }
    }

    /// Reserves resources for a run. The start order is sent once the run is
    /// recorded, or immediately while the table service is unavailable.
    pub(crate) fn plan_start(&mut self, run: RunRef, server: ServerIx, cx: &mut Cx<'_>) {
        let owner = &mut *self;
        accounts::reserve(
            &mut owner.ledger,
            &mut owner.fleet,
            &mut owner.accounts,
            run,
            server,
            RunState::Planned,
            cx.now(),
        );
        if self.is_suspect(run.task) {
            self.fleet.get_mut(server).suspect = Some(run);
        }
        self.report_start(run, server, cx);
        self.mark_dirty(run.task.step.job);
        if self.may_start_unrecorded(cx) {
            self.send_unrecorded_start(run, cx);
        }
    }

    fn send_unrecorded_start(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        self.commits.note_unrecorded();
        self.send_start(run, cx);
    }

    /// Sends the start orders of the planned runs whose records are written. They wait while
    /// no orders may be sent, as after a suspension of this VM.
    pub(crate) fn send_recorded_starts(&mut self, cx: &mut Cx<'_>) {
        if self.recorded_starts.is_empty() || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        for run in std::mem::take(&mut self.recorded_starts) {
            self.send_start(run, cx);
        }
    }

    /// Sends the start order of a planned run; orders may be sent. Drops the run if the
    /// backend server's clock is unknown, since the end of the lease is given on that clock.
    fn send_start(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let timing = &cx.settings.timing;
        let Some(placed) = self.ledger.runs.get(&run) else {
            return;
        };
        if placed.state != RunState::Planned {
            return;
        }
        let server = placed.server;
        // It may have begun to drain while the start waited, or its data centre to be
        // evacuated.
        let draining = self.fleet.get(server).listing.draining;
        if draining || !self.may_start_in_data_centre(server, cx) {
            self.discard_run(run, cx);
            return;
        }
        let lease = self.fleet.get(server).new_lease_end(timing, cx.now());
        let Some((lease_end, run_id)) = lease.zip(self.ledger.run_id(run)) else {
            self.discard_run(run, cx);
            return;
        };
        // The backend server may have shrunk while the record was written.
        if self.fleet.get(server).is_overcommitted() {
            self.log_start_rejected(run, server, Rejection::NoRoom, cx);
            self.discard_run(run, cx);
            return;
        }
        let Some((payload, checkpoint, ticket)) = self.start_details(run, server) else {
            return;
        };
        // The ticket may have expired while the record was written.
        if ticket.as_ref().is_some_and(|(_, until)| cx.now() >= *until) {
            self.log_start_rejected(run, server, Rejection::BadTicket, cx);
            self.discard_run(run, cx);
            return;
        }
        if let Some(placed) = self.ledger.runs.get_mut(&run) {
            placed.state = RunState::Starting;
            placed.ordered_at = cx.now();
            placed.confirmed_at = cx.now();
        }
        let entry = self.fleet.get_mut(server);
        entry.last_start_at = cx.now();
        entry.record_lease(lease_end, timing);
        entry.supersede_acknowledgements();
        let order = Order::Start {
            run: run_id,
            payload,
            lease_end,
            checkpoint,
            ticket: ticket.map(|(ticket, _)| ticket),
        };
        self.send_order(server, order, SentOrder::Start(run), cx);
    }

    /// Payload, checkpoint, and ticket with its expiry, for the start order of a run. The members
    /// of a gang share the checkpoint of its first task.
    fn start_details(&self, run: RunRef, server: ServerIx) -> Option<(Name, Name, Option<Ticket>)> {
        let step = run.task.step;
        let job = self.ledger.jobs.get(&step.job)?;
        let gang = self.ledger.spec(step)?.gang;
        let holder = if gang { step.task(0) } else { run.task };
        let checkpoint = self.ledger.task(holder)?.checkpoint.clone();
        let id = &self.fleet.get(server).listing.id;
        let ticket = self.ledger.step(step)?.admission.tickets.get(id);
        Some((job.graph.payload.clone(), checkpoint, ticket.cloned()))
    }

    /// Sends the start orders of runs that were planned before the table service
    /// became unavailable, without waiting for their records.
    pub(crate) fn send_planned_starts(&mut self, cx: &mut Cx<'_>) {
        if !self.may_start_unrecorded(cx) {
            return;
        }
        let planned = self.ledger.runs.iter();
        let planned = planned.filter(|(_, placed)| placed.state == RunState::Planned);
        let mut runs: Vec<RunRef> = planned.map(|(run, _)| *run).collect();
        runs.sort_unstable();
        for run in runs {
            self.send_unrecorded_start(run, cx);
        }
    }

    fn report_start(&mut self, run: RunRef, server: ServerIx, cx: &mut Cx<'_>) {
        let label = self.run_label(run, server);
        let ready = self.ledger.step(run.task.step).and_then(|s| s.ready_since);
        let waited = cx.now().saturating_sub(ready.unwrap_or(cx.now()));
        // A copy has not waited; its task runs.
        let copies = self.ledger.task(run.task).is_some_and(|t| t.runs.len() > 1);
        if let Some(job) = self.ledger.jobs.get(&run.task.step.job).filter(|_| !copies) {
            cx.out.push(Effect::RecordMetric {
                metric: Metric::Wait,
                team: job.team.clone(),
                queue: job.queue.clone(),
                value: waited,
            });
        }
        cx.log(Notice::Start {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            waited_ms: ms(waited),
        });
    }

    pub(crate) fn start_answered(
        &mut self,
        run: RunRef,
        result: Result<OrderResponse, OrderError>,
        cx: &mut Cx<'_>,
    ) {
        // The run may have been moved to a later incarnation in the meantime.
        let Some(server) = self.ledger.runs.get(&run).map(|placed| placed.server) else {
            return;
        };
        match result {
            Ok(OrderResponse::Done(clock)) => self.start_confirmed(run, server, clock, cx),
            Ok(OrderResponse::Lists(_)) => self.start_lost(run, server, OrderError::Lost, cx),
            Ok(OrderResponse::Rejected(why)) => self.start_rejected(run, server, why, cx),
            Err(OrderError::NotSent) => self.start_not_sent(run, server, cx),
            Err(OrderError::Lost) => self.start_lost(run, server, OrderError::Lost, cx),
        }
    }

    fn start_confirmed(&mut self, run: RunRef, server: ServerIx, clock: u64, cx: &mut Cx<'_>) {
        let sent_at = self.ledger.runs.get(&run).map(|placed| placed.ordered_at);
        let entry = self.fleet.get_mut(server);
        if sent_at.is_some_and(|at| entry.is_clock_reset(clock, at, &cx.settings.timing)) {
            entry.doubted_at = Some(cx.now());
            entry.request_lists(cx.now());
        }
        entry.observe_clock(clock, cx.now());
        if let Some(placed) = self.ledger.runs.get_mut(&run) {
            placed.confirmed = true;
            placed.confirmed_at = cx.now();
            if placed.state == RunState::Starting {
                placed.state = RunState::Running;
            }
        }
        self.job_started(run.task.step.job, cx);
    }

    /// Moves a queued job to the running stage when its first task has started.
    pub(crate) fn job_started(&mut self, job: JobIx, cx: &mut Cx<'_>) {
        let Some(entry) = self.ledger.jobs.get_mut(&job) else {
            return;
        };
        if entry.stage == model::Stage::Queued {
            entry.stage = model::Stage::Running;
            let notice = Notice::JobStage {
                job: entry.id.clone(),
                queue: entry.queue.clone(),
                stage: entry.stage,
                since_ms: ms(cx.now().saturating_sub(entry.first_seen_at)),
            };
            cx.log(notice);
            self.mark_dirty_lazily(job, cx.now());
        }
    }

    fn log_start_rejected(&self, run: RunRef, server: ServerIx, why: Rejection, cx: &mut Cx<'_>) {
        let label = self.run_label(run, server);
        cx.log(Notice::StartRejected {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            why,
        });
    }

    fn start_rejected(&mut self, run: RunRef, server: ServerIx, why: Rejection, cx: &mut Cx<'_>) {
        self.log_start_rejected(run, server, why, cx);
        self.place_due = true;
        match why {
            Rejection::Superseded => {
                cx.term.become_follower();
                return;
            }
            Rejection::OtherIncarnation => {
                self.incarnation_ended(server, "another incarnation answered", cx);
                return;
            }
            Rejection::Unhealthy => {
                self.fleet.get_mut(server).unhealthy_until = cx.now() + UNHEALTHY_BACKOFF;
            }
            Rejection::BadTicket => {
                let id = self.fleet.get(server).listing.id.clone();
                if let Some(step) = self.ledger.step_mut(run.task.step) {
                    step.admission.tickets.remove(&id);
                }
            }
            // The server may have another run of this task; its lists will show it.
            Rejection::NotNew => {
                self.start_lost(run, server, OrderError::Lost, cx);
                return;
            }
            Rejection::TooLate | Rejection::NoRoom | Rejection::Malformed => {}
        }
        self.discard_run(run, cx);
    }

    fn start_not_sent(&mut self, run: RunRef, server: ServerIx, cx: &mut Cx<'_>) {
        let label = self.run_label(run, server);
        cx.log(Notice::StartLost {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            fault: OrderError::NotSent,
        });
        let entry = self.fleet.get_mut(server);
        entry.unhealthy_until = cx.now() + UNHEALTHY_BACKOFF;
        entry.next_renewal_at = cx.now();
        self.discard_run(run, cx);
    }

    fn start_lost(&mut self, run: RunRef, server: ServerIx, fault: OrderError, cx: &mut Cx<'_>) {
        let label = self.run_label(run, server);
        cx.log(Notice::StartLost {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            fault,
        });
        self.stop_run(run, "no answer to the start order", cx);
    }

    /// Stops a run. Its resources stay reserved until it is known to have ended;
    /// a run that was only planned is dropped at once.
    pub(crate) fn stop_run(&mut self, run: RunRef, why: &str, cx: &mut Cx<'_>) {
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        // The backend server has not been told of a planned run.
        if placed.state == RunState::Planned {
            self.discard_run(run, cx);
            return;
        }
        if placed.state != RunState::Stopping {
            placed.state = RunState::Stopping;
            placed.stop_acknowledged_at = None;
            let server = placed.server;
            let label = self.run_label(run, server);
            cx.log(Notice::Stop {
                job: label.job,
                task: label.task,
                run: run.number,
                server: label.server,
                why: why.into(),
            });
        }
        self.send_stop(run, cx);
    }

    fn send_stop(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let Some(run_id) = self.ledger.run_id(run) else {
            return;
        };
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        if placed.stop_call.is_some() || placed.stop_acknowledged_at.is_some() {
            return;
        }
        placed.stop_call = Some(*cx.last_call_id + 1);
        let server = placed.server;
        self.send_order(
            server,
            Order::Stop { run: run_id },
            SentOrder::Stop(run),
            cx,
        );
    }

    pub(crate) fn stop_answered(
        &mut self,
        run: RunRef,
        result: Result<OrderResponse, OrderError>,
        cx: &mut Cx<'_>,
    ) {
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        placed.stop_call = None;
        placed.next_stop_at = cx.now() + STOP_RETRY_DELAY;
        let server = placed.server;
        match result {
            Ok(OrderResponse::Done(clock)) => {
                placed.stop_acknowledged_at = Some(cx.now());
                let unconfirmed = !placed.confirmed;
                let entry = self.fleet.get_mut(server);
                entry.observe_clock(clock, cx.now());
                if unconfirmed {
                    entry.request_lists(cx.now());
                }
            }
            Ok(OrderResponse::Rejected(Rejection::Superseded)) => cx.term.become_follower(),
            Ok(OrderResponse::Rejected(Rejection::OtherIncarnation)) => {
                self.incarnation_ended(server, "another incarnation answered", cx);
            }
            // `retry_stops` sends the stop again.
            Ok(OrderResponse::Rejected(_) | OrderResponse::Lists(_)) | Err(_) => {}
        }
    }

    /// Sends stops again that were not acknowledged, to backend servers that have
    /// answered to this owner's epoch.
    pub(crate) fn retry_stops(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let runs = self.ledger.runs.iter();
        let due: Vec<RunRef> = runs
            .filter(|(_, p)| {
                p.state == RunState::Stopping
                    && p.stop_call.is_none()
                    && p.stop_acknowledged_at.is_none()
                    && now >= p.next_stop_at
                    && self.fleet.get(p.server).state == ServerState::Held
            })
            .map(|(run, _)| *run)
            .collect();
        for run in due {
            self.send_stop(run, cx);
        }
    }
}
