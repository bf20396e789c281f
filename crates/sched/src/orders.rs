//! Orders to start and stop runs, and what their answers mean.
//!
//! Invariant: a run whose start has no answer holds its room until a stop was
//! acknowledged and a later list does not show it, or its lease has surely
//! ended.

use std::time::Duration;

use model::Name;

use crate::accounts;
use crate::event::{CallError, Effect, Measure, Order, Outcome, Rejection};
use crate::fleet::{ServerIx, Standing};
use crate::ledger::{JobIx, Life, RunRef};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner, SentOrder};

/// Pause before a stop without an answer is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);
/// Time for which a backend server that calls itself unhealthy gets nothing.
const UNWELL: Duration = Duration::from_millis(1_500);

/// Names of a run, for log lines.
pub(crate) struct Label {
    pub(crate) job: Name,
    pub(crate) task: Name,
    pub(crate) server: Name,
}

impl Owner {
    /// Names of a run, for log lines.
    pub(crate) fn label(&self, run: RunRef, server: ServerIx) -> Label {
        let step = run.task.step;
        let job = self.ledger.jobs.get(&step.job);
        let task = (step.occurrence, step.step, run.task.index);
        Label {
            job: job.map(|job| job.id.clone()).unwrap_or_default(),
            task: compact_str::format_compact!("{}.{}.{}", task.0, task.1, task.2),
            server: self.fleet.get(server).listing.id.clone(),
        }
    }

    /// Commits room for a run. It is ordered once its record is written, or at
    /// once while the table service is away.
    pub(crate) fn decide_start(&mut self, run: RunRef, server: ServerIx, cx: &mut Cx<'_>) {
        let owner = &mut *self;
        accounts::begin(
            &mut owner.ledger,
            &mut owner.fleet,
            &mut owner.accounts,
            run,
            server,
            Life::Planned,
            cx.now(),
        );
        self.note_start(run, server, cx);
        self.mark_dirty(run.task.step.job);
        if cx.term.may_start_unrecorded(cx.settings, cx.now()) {
            self.order_unrecorded(run, cx);
        }
    }

    fn order_unrecorded(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        self.commits.unrecorded_at = Some(cx.now());
        self.order_start(run, cx);
    }

    /// Orders a planned run.
    pub(crate) fn order_start(&mut self, run: RunRef, cx: &mut Cx<'_>) {
        let timing = &cx.settings.timing;
        let Some(placed) = self.ledger.runs.get(&run) else {
            return;
        };
        if placed.life != Life::Planned || !cx.term.may_order(cx.settings, cx.now()) {
            return;
        }
        let server = placed.server;
        let lease = self.fleet.get(server).lease(timing, cx.now());
        let Some((until, name)) = lease.zip(self.ledger.name(run)) else {
            self.run_over(run, cx);
            return;
        };
        let Some((payload, checkpoint, ticket)) = self.start_details(run, server) else {
            return;
        };
        if let Some(placed) = self.ledger.runs.get_mut(&run) {
            placed.life = Life::Ordered;
            placed.ordered_at = cx.now();
            placed.confirmed_at = cx.now();
        }
        self.fleet.get_mut(server).leased(until, timing);
        let order = Order::Start {
            run: name,
            payload,
            lease_end: until,
            checkpoint,
            ticket,
        };
        self.send_order(server, order, SentOrder::Start(run), cx);
    }

    /// Payload, checkpoint and ticket of a run.
    fn start_details(&self, run: RunRef, server: ServerIx) -> Option<(Name, Name, Option<Name>)> {
        let step = run.task.step;
        let job = self.ledger.jobs.get(&step.job)?;
        let gang = self.ledger.spec(step)?.gang;
        let saved_by = if gang { step.task(0) } else { run.task };
        let checkpoint = self.ledger.task(saved_by)?.checkpoint.clone();
        let id = &self.fleet.get(server).listing.id;
        let ticket = self.ledger.step(step)?.grant.tickets.get(id);
        let ticket = ticket.map(|(ticket, _)| ticket.clone());
        Some((job.graph.payload.clone(), checkpoint, ticket))
    }

    /// Orders what was planned before the table service went away.
    pub(crate) fn order_planned(&mut self, cx: &mut Cx<'_>) {
        if !cx.term.may_start_unrecorded(cx.settings, cx.now()) {
            return;
        }
        let planned = self.ledger.runs.iter();
        let planned = planned.filter(|(_, placed)| placed.life == Life::Planned);
        let mut runs: Vec<RunRef> = planned.map(|(run, _)| *run).collect();
        runs.sort_unstable();
        for run in runs {
            self.order_unrecorded(run, cx);
        }
    }

    fn note_start(&mut self, run: RunRef, server: ServerIx, cx: &mut Cx<'_>) {
        let label = self.label(run, server);
        let ready = self.ledger.step(run.task.step).and_then(|s| s.ready_since);
        let waited = cx.now().saturating_sub(ready.unwrap_or(cx.now()));
        if let Some(job) = self.ledger.jobs.get(&run.task.step.job) {
            cx.out.push(Effect::Record {
                measure: Measure::Wait,
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
        result: Result<Outcome, CallError>,
        cx: &mut Cx<'_>,
    ) {
        // The run may be counted on a later incarnation by now.
        let Some(server) = self.ledger.runs.get(&run).map(|placed| placed.server) else {
            return;
        };
        match result {
            Ok(Outcome::Done(clock)) => self.started(run, server, clock, cx),
            Ok(Outcome::Lists(_)) => self.start_lost(run, server, CallError::Lost, cx),
            Ok(Outcome::Rejected(why)) => self.start_rejected(run, server, why, cx),
            Err(CallError::NotSent) => self.start_not_sent(run, server, cx),
            Err(CallError::Lost) => self.start_lost(run, server, CallError::Lost, cx),
        }
    }

    fn started(&mut self, run: RunRef, server: ServerIx, clock: u64, cx: &mut Cx<'_>) {
        self.fleet.get_mut(server).set_clock(clock, cx.now());
        if let Some(placed) = self.ledger.runs.get_mut(&run) {
            placed.confirmed = true;
            placed.confirmed_at = cx.now();
            if placed.life == Life::Ordered {
                placed.life = Life::Running;
            }
        }
        self.job_started(run.task.step.job, cx);
    }

    /// The first task of a job runs.
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
                since_ms: ms(cx.now().saturating_sub(entry.since)),
            };
            cx.log(notice);
            self.mark_dirty(job);
        }
    }

    fn start_rejected(&mut self, run: RunRef, server: ServerIx, why: Rejection, cx: &mut Cx<'_>) {
        let label = self.label(run, server);
        cx.log(Notice::StartRejected {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server.clone(),
            why,
        });
        self.place_due = true;
        match why {
            Rejection::Superseded => {
                cx.term.follow();
                return;
            }
            Rejection::OtherIncarnation => {
                self.incarnation_ended(server, "another incarnation answered", cx);
                return;
            }
            Rejection::Unhealthy => {
                self.fleet.get_mut(server).unwell_until = cx.now() + UNWELL;
            }
            Rejection::BadTicket => {
                if let Some(step) = self.ledger.step_mut(run.task.step) {
                    step.grant.tickets.remove(&label.server);
                }
            }
            // Another run may be there that the lists will show.
            Rejection::NotNew => {
                self.start_lost(run, server, CallError::Lost, cx);
                return;
            }
            Rejection::TooLate | Rejection::NoRoom | Rejection::Malformed => {}
        }
        self.run_over(run, cx);
    }

    fn start_not_sent(&mut self, run: RunRef, server: ServerIx, cx: &mut Cx<'_>) {
        let label = self.label(run, server);
        cx.log(Notice::StartLost {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            fault: CallError::NotSent,
        });
        let entry = self.fleet.get_mut(server);
        entry.unwell_until = cx.now() + UNWELL;
        entry.next_hold = cx.now();
        self.run_over(run, cx);
    }

    fn start_lost(&mut self, run: RunRef, server: ServerIx, fault: CallError, cx: &mut Cx<'_>) {
        let label = self.label(run, server);
        cx.log(Notice::StartLost {
            job: label.job,
            task: label.task,
            run: run.number,
            server: label.server,
            fault,
        });
        self.stop(run, "its start has no answer", cx);
    }

    /// Tells a backend server to stop a run.
    pub(crate) fn stop(&mut self, run: RunRef, why: &str, cx: &mut Cx<'_>) {
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        // What was only planned needs no order.
        if placed.life == Life::Planned {
            self.run_over(run, cx);
            return;
        }
        if placed.life != Life::Stopping {
            placed.life = Life::Stopping;
            placed.stop_acked = None;
            let server = placed.server;
            let label = self.label(run, server);
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
        let Some(name) = self.ledger.name(run) else {
            return;
        };
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        if placed.stop_call.is_some() || placed.stop_acked.is_some() {
            return;
        }
        placed.stop_call = Some(*cx.next_call + 1);
        let server = placed.server;
        self.send_order(server, Order::Stop { run: name }, SentOrder::Stop(run), cx);
    }

    pub(crate) fn stop_answered(
        &mut self,
        run: RunRef,
        result: Result<Outcome, CallError>,
        cx: &mut Cx<'_>,
    ) {
        let Some(placed) = self.ledger.runs.get_mut(&run) else {
            return;
        };
        placed.stop_call = None;
        placed.next_stop = cx.now() + STOP_RETRY;
        let server = placed.server;
        match result {
            Ok(Outcome::Done(clock)) => {
                placed.stop_acked = Some(cx.now());
                let entry = self.fleet.get_mut(server);
                entry.set_clock(clock, cx.now());
            }
            Ok(Outcome::Rejected(Rejection::Superseded)) => cx.term.follow(),
            Ok(Outcome::Rejected(Rejection::OtherIncarnation)) => {
                self.incarnation_ended(server, "another incarnation answered", cx);
            }
            // Sent again by `retry_stops`.
            Ok(Outcome::Rejected(_) | Outcome::Lists(_)) | Err(_) => {}
        }
    }

    /// Sends stops again that have no answer.
    pub(crate) fn retry_stops(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let runs = self.ledger.runs.iter();
        let due: Vec<RunRef> = runs
            .filter(|(_, p)| {
                p.life == Life::Stopping
                    && p.stop_call.is_none()
                    && p.stop_acked.is_none()
                    && now >= p.next_stop
                    && self.fleet.get(p.server).standing == Standing::Held
            })
            .map(|(run, _)| *run)
            .collect();
        for run in due {
            self.send_stop(run, cx);
        }
    }
}
