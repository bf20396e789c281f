//! The owner's writes: one group commit at a time, and its signs of life.
//!
//! Invariant: every write is conditional on the owner row, and every state
//! row also on the version that the owner last saw of it, so a write that is
//! carried out late changes nothing.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use model::{Condition, JobId, Row, Transaction, Write};

use crate::event::{CallId, Effect, Measure, StoreError, StoreResponse};
use crate::fleet::{ServerIx, Standing};
use crate::ledger::{JobIx, Life, RunRef};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};
use crate::rows::{self, Beat, Rostered};

/// Most entries of one transaction that a group commit fills; the table
/// service takes 100.
const MAX_ENTRIES: usize = 90;
/// Entries that one job can need.
const ENTRIES_PER_JOB: usize = 4;
/// Final jobs removed by one group commit.
const MAX_EXPIRED: usize = 16;
/// Pause after a write that failed.
const RETRY: Duration = Duration::from_millis(50);
/// Signs of life in a row that fail before an owner asks for a successor.
const HANDOVER_BEATS: u32 = 2;
/// Weight of the newest answer in the mean answer time.
const ANSWER_GAIN: f64 = 0.1;
/// Factor on the mean answer time for an answer that did not come in time: a
/// table service that has become slow would else never be waited for.
const UNANSWERED_FACTOR: f64 = 2.0;
/// Multiple of the mean answer time after which a group commit is sent again;
/// its conditions make that harmless.
const PATIENCE: f64 = 8.0;
/// Bounds on that time.
const PATIENCE_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));

/// A group commit under way.
#[derive(Debug)]
pub(crate) struct Batch {
    call: CallId,
    sent: Duration,
    jobs: Vec<(JobIx, bool)>,
    acks: Vec<(ServerIx, u64)>,
    roster: Option<Vec<ServerIx>>,
    /// Runs whose records it holds and that are ordered once it is applied.
    starts: Vec<RunRef>,
    /// It holds the state of every job that had changed.
    whole: bool,
}

/// State of the owner's writes.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    /// A job's state or an acknowledgement waits.
    pub(crate) due: bool,
    /// The roster has changed.
    pub(crate) roster_due: bool,
    batch: Option<Batch>,
    beats: HashMap<CallId, Duration>,
    beat_count: u64,
    next_beat: Duration,
    not_before: Duration,
    expiring: VecDeque<(Duration, JobId)>,
    /// Jobs in `expiring`.
    ended: HashSet<JobId>,
    failing: bool,
    /// When the last run was ordered whose record was not written; `None` once
    /// all are written.
    pub(crate) unrecorded_at: Option<Duration>,
    /// Group commits that were applied and that were not.
    pub(crate) applied: u64,
    pub(crate) failed: u64,
    /// Mean answer time of group commits in seconds.
    answer_time: f64,
    /// Signs of life that failed since the last one that was confirmed.
    failed_beats: u32,
}

impl Commits {
    /// Plans the removal of a final job's state row.
    pub(crate) fn expire(&mut self, at: Duration, id: JobId) {
        self.ended.insert(id.clone());
        self.expiring.push_back((at, id));
    }

    /// True when a job has ended and its state row is still there. A read of
    /// the job table that began before may show it.
    pub(crate) fn has_ended(&self, id: &JobId) -> bool {
        self.ended.contains(id)
    }

    /// Mean answer time of group commits in ms.
    pub(crate) fn answer_ms(&self) -> u64 {
        ms(Duration::from_secs_f64(self.answer_time))
    }

    /// A group commit was not answered in time.
    fn note_unanswered(&mut self) {
        let patience = self.patience().as_secs_f64();
        let longer = patience / PATIENCE * UNANSWERED_FACTOR;
        let longest = PATIENCE_RANGE.1.as_secs_f64() / PATIENCE;
        self.answer_time = longer.min(longest);
    }

    /// Time after which a group commit counts as unanswered.
    fn patience(&self) -> Duration {
        let time = Duration::from_secs_f64(self.answer_time * PATIENCE);
        time.clamp(PATIENCE_RANGE.0, PATIENCE_RANGE.1)
    }

    /// True when no write waits or is under way.
    pub(crate) fn is_idle(&self) -> bool {
        !self.due && self.batch.is_none()
    }
}

fn guard(cx: &Cx<'_>) -> Condition {
    Condition {
        key: rows::OWNER.into(),
        version: cx.term.owner_version,
    }
}

fn put(key: compact_str::CompactString, value: Bytes) -> Write {
    Write {
        key,
        value: Some(value),
    }
}

fn remove(key: compact_str::CompactString) -> Write {
    Write { key, value: None }
}

impl Owner {
    /// Sends the writes that are due.
    pub(crate) fn flush(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        if now >= self.commits.next_beat {
            self.send_beat(cx);
        }
        let commits = &self.commits;
        let wanted = commits.due || commits.roster_due;
        if wanted && commits.batch.is_none() && now >= commits.not_before && self.recovery.loaded {
            self.send_batch(cx);
        }
    }

    fn send_beat(&mut self, cx: &mut Cx<'_>) {
        self.commits.next_beat = cx.now() + cx.settings.timing.heartbeat_interval;
        self.commits.beat_count += 1;
        // Until the jobs are read, what the last owner said still stands.
        let pending = match self.recovery.loaded {
            true => self.pending(),
            false => cx.term.beat.pending.clone(),
        };
        let beat = Beat {
            count: self.commits.beat_count,
            clock: cx.term.clock(cx.now()),
            // What runs unseen may not be recorded either.
            recorded: self.commits.unrecorded_at.is_none() && !self.may_run_unseen(),
            pending,
            strongest: self.policy_calls.strongest().max(cx.settings.cpu_share),
        };
        let call = cx.next_call_id();
        self.commits.beats.insert(call, cx.now());
        let transaction = Transaction {
            conditions: vec![guard(cx)],
            writes: vec![put(rows::BEAT.into(), rows::encode(&beat))],
        };
        cx.term.beat = beat;
        cx.out.push(Effect::Commit {
            call,
            transaction,
            limit: None,
        });
    }

    fn send_batch(&mut self, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        let mut transaction = Transaction {
            conditions: vec![guard(cx)],
            writes: Vec::new(),
        };
        let roster = self.roster_into(&mut transaction);
        let (jobs, whole) = self.jobs_into(&mut transaction);
        self.expired_into(&mut transaction, cx.now());
        self.commits.due = !whole;
        let acks = match whole {
            true => self.acks(),
            false => Vec::new(),
        };
        if transaction.writes.is_empty() {
            self.acknowledge(&acks);
            return;
        }
        let starts = self.planned(&jobs);
        self.commits.batch = Some(Batch {
            call,
            sent: cx.now(),
            jobs,
            acks,
            roster,
            starts,
            whole,
        });
        cx.out.push(Effect::Commit {
            call,
            transaction,
            limit: Some(self.commits.patience()),
        });
    }

    fn roster_into(&mut self, transaction: &mut Transaction) -> Option<Vec<ServerIx>> {
        if !std::mem::take(&mut self.commits.roster_due) {
            return None;
        }
        let live: Vec<ServerIx> = self.fleet.live().collect();
        let entry = |ix: &ServerIx| {
            let listing = &self.fleet.get(*ix).listing;
            Rostered {
                id: listing.id.clone(),
                incarnation: listing.incarnation,
                address: listing.address.clone(),
                capacity: listing.capacity,
            }
        };
        let roster: Vec<Rostered> = live.iter().map(entry).collect();
        let write = put(rows::ROSTER.into(), rows::encode(&roster));
        transaction.writes.push(write);
        Some(live)
    }

    /// Adds state rows of changed jobs; the flag says that none is left.
    fn jobs_into(&mut self, transaction: &mut Transaction) -> (Vec<(JobIx, bool)>, bool) {
        let dirty: Vec<JobIx> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, job)| job.dirty)
            .map(|(ix, _)| *ix)
            .collect();
        let unseen = self.may_run_unseen();
        let mut jobs = Vec::new();
        for ix in &dirty {
            let entries = transaction.conditions.len() + transaction.writes.len();
            if entries + ENTRIES_PER_JOB > MAX_ENTRIES {
                return (jobs, false);
            }
            let over = self.ledger.runs_of(*ix).is_empty();
            let Some(job) = self.ledger.jobs.get_mut(ix) else {
                continue;
            };
            job.dirty = false;
            let key = rows::state_key(&job.id);
            transaction.conditions.push(Condition {
                key: key.clone(),
                version: job.record_version,
            });
            let last = job.stage.is_final() && over && !(job.inherited && unseen);
            if last {
                transaction.writes.push(remove(rows::job_key(&job.id)));
                if job.cancelled {
                    transaction.writes.push(remove(rows::cancel_key(&job.id)));
                }
            }
            jobs.push((*ix, last));
            let fleet = &self.fleet;
            let record = self.ledger.record(*ix, |server| {
                let listing = &fleet.get(server).listing;
                (listing.id.clone(), listing.incarnation)
            });
            transaction.writes.push(put(key, rows::encode(&record)));
        }
        (jobs, true)
    }

    fn expired_into(&mut self, transaction: &mut Transaction, now: Duration) {
        for _ in 0..MAX_EXPIRED {
            let due = self
                .commits
                .expiring
                .front()
                .is_some_and(|(at, _)| *at <= now);
            let full = transaction.writes.len() + transaction.conditions.len() >= MAX_ENTRIES;
            match self.commits.expiring.pop_front_if(|_| due && !full) {
                Some((_, id)) => {
                    self.commits.ended.remove(&id);
                    transaction.writes.push(remove(rows::state_key(&id)));
                }
                None => return,
            }
        }
    }

    fn acks(&self) -> Vec<(ServerIx, u64)> {
        let waiting = |ix: &ServerIx| {
            let server = self.fleet.get(*ix);
            server.processed != server.acknowledged
        };
        let servers = self.fleet.live().filter(waiting);
        servers
            .map(|ix| (ix, self.fleet.get(ix).processed))
            .collect()
    }

    /// Takes in the table service's answer to a write of the owner. False
    /// when the call is not one of these.
    pub(crate) fn committed(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        if let Some(sent) = self.commits.beats.remove(&call) {
            self.beat_written(sent, result, cx);
            return true;
        }
        match self.commits.batch.take_if(|batch| batch.call == call) {
            Some(batch) => {
                self.batch_written(batch, result, cx);
                true
            }
            None => false,
        }
    }

    fn beat_written(
        &mut self,
        sent: Duration,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            Ok(StoreResponse::Applied { clock, .. }) => {
                cx.term.confirm(sent);
                cx.term.set_clock(*clock, cx.now());
                self.commits.failed_beats = 0;
                self.place_due = true;
                self.note_store(None, cx);
            }
            Err(StoreError::Conflict(rows)) => self.check_owner(rows, cx),
            Ok(StoreResponse::Rows { .. }) => {}
            Err(failure) => {
                self.commits.failed_beats += 1;
                self.note_store(Some(failure), cx);
                self.consider_handover(cx);
            }
        }
    }

    /// An owner that the table service turns away asks for a successor.
    fn consider_handover(&mut self, cx: &mut Cx<'_>) {
        let unconfirmed = cx.now().saturating_sub(cx.term.confirmed_at);
        let failing = self.commits.failed_beats >= HANDOVER_BEATS;
        if failing && unconfirmed >= cx.settings.timing.handover_after {
            self.ask_for_successor(cx);
        }
    }

    fn batch_written(
        &mut self,
        batch: Batch,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            Ok(StoreResponse::Applied { version, clock }) => {
                cx.term.set_clock(*clock, cx.now());
                self.batch_applied(batch, *version, cx);
            }
            Ok(StoreResponse::Rows { .. }) => self.redo(&batch, cx),
            Err(StoreError::Conflict(rows)) => {
                self.check_owner(rows, cx);
                self.adopt_versions(&batch, rows);
                self.redo(&batch, cx);
                self.commits.not_before = cx.now();
            }
            Err(failure) => {
                if *failure == StoreError::Unknown {
                    self.commits.note_unanswered();
                }
                self.note_store(Some(failure), cx);
                self.redo(&batch, cx);
            }
        }
    }

    fn batch_applied(&mut self, batch: Batch, version: u64, cx: &mut Cx<'_>) {
        cx.term.confirm(batch.sent);
        self.note_store(None, cx);
        self.commits.applied += 1;
        self.place_due = true;
        let took = cx.now().saturating_sub(batch.sent);
        self.commits.answer_time += ANSWER_GAIN * (took.as_secs_f64() - self.commits.answer_time);
        cx.out.push(Effect::Record {
            measure: Measure::Commit,
            team: "".into(),
            queue: "".into(),
            value: took,
        });
        for (ix, last) in batch.jobs {
            self.job_written(ix, last, version, cx);
        }
        if batch.whole {
            let _ = self.commits.unrecorded_at.take_if(|at| *at <= batch.sent);
        }
        self.acknowledge(&batch.acks);
        for run in batch.starts {
            self.order_start(run, cx);
        }
        for ix in batch.roster.into_iter().flatten() {
            let server = self.fleet.get_mut(ix);
            if server.standing == Standing::Found {
                server.standing = Standing::Rostered;
            }
        }
    }

    /// Ends up to these numbers need not be listed again.
    fn acknowledge(&mut self, acks: &[(ServerIx, u64)]) {
        for (ix, number) in acks {
            let server = self.fleet.get_mut(*ix);
            server.acknowledged = server.acknowledged.max(*number);
        }
    }

    /// Planned runs of jobs.
    fn planned(&self, jobs: &[(JobIx, bool)]) -> Vec<RunRef> {
        let runs = jobs.iter().flat_map(|(ix, _)| self.ledger.runs_of(*ix));
        let is_planned = |run: &RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|placed| placed.life == Life::Planned)
        };
        runs.filter(is_planned).collect()
    }

    fn job_written(&mut self, ix: JobIx, last: bool, version: u64, cx: &Cx<'_>) {
        let Some(job) = self.ledger.jobs.get_mut(&ix) else {
            return;
        };
        job.record_version = version;
        if last && !job.dirty {
            let id = job.id.clone();
            self.ledger.remove(ix);
            self.commits
                .expire(cx.now() + cx.settings.timing.state_retention, id);
        }
    }

    /// What was to be written waits again.
    fn redo(&mut self, batch: &Batch, cx: &Cx<'_>) {
        self.commits.failed += 1;
        for (ix, _) in &batch.jobs {
            self.mark_dirty(*ix);
        }
        self.commits.roster_due |= batch.roster.is_some();
        self.commits.due |= !batch.acks.is_empty();
        self.commits.not_before = cx.now() + RETRY;
    }

    /// The versions that the table service has are those that an earlier
    /// write, whose answer was lost, left behind.
    fn adopt_versions(&mut self, batch: &Batch, rows: &[Row]) {
        for (ix, _) in &batch.jobs {
            let Some(job) = self.ledger.jobs.get_mut(ix) else {
                continue;
            };
            let key = rows::state_key(&job.id);
            let row = rows.iter().find(|row| row.key == key);
            job.record_version = row.map_or(0, |row| row.cell.version);
        }
    }

    fn check_owner(&mut self, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::OWNER);
        if row.map(|row| row.cell.version) != Some(cx.term.owner_version) {
            cx.term.follow();
        }
    }

    fn note_store(&mut self, failure: Option<&StoreError>, cx: &mut Cx<'_>) {
        let fault = failure.map(|f| format_compact!("{f}"));
        match (self.commits.failing, fault) {
            (false, Some(fault)) => {
                self.commits.failing = true;
                cx.log(Notice::StoreLost { fault });
            }
            (true, None) => {
                self.commits.failing = false;
                cx.log(Notice::StoreBack);
            }
            _ => {}
        }
    }

    /// Logs that this VM owns, once its rows are read.
    pub(crate) fn log_owner(&self, since: Duration, cx: &mut Cx<'_>) {
        let epoch = cx.term.epoch();
        let took_ms = ms(cx.now().saturating_sub(since));
        cx.log(Notice::Owner { epoch, took_ms });
    }
}
