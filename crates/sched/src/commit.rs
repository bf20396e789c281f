//! The owner's writes: group commits, one at a time, and heartbeats.
//!
//! Invariant: every transaction is conditional on the version of the owner row,
//! and every update of a job's state row also on the version that the owner last
//! saw. A write that is applied late therefore changes nothing.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use model::{Condition, JobId, Row, Transaction, Write};

use crate::event::{CallId, Effect, Metric, StoreError, StoreResponse};
use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{JobIx, RunRef, RunState};
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};
use crate::rows::{self, Heartbeat, RosterEntry};

/// Maximum number of conditions and writes that a group commit puts into one
/// transaction; the table service accepts 100.
const MAX_ENTRIES: usize = 90;
/// Maximum number of conditions and writes for one job.
const ENTRIES_PER_JOB: usize = 4;
/// Maximum number of expired state rows that one group commit deletes.
const MAX_EXPIRED_PER_COMMIT: usize = 16;
/// Delay before a failed group commit is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of consecutive failed heartbeats after which an owner asks for a
/// successor.
const HANDOVER_HEARTBEATS: u32 = 2;
/// Weight of the newest sample in the moving average of the commit latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Factor by which the mean latency grows after a timeout. Without it the
/// timeout would never adapt to a table service that has become slower.
const TIMEOUT_BACKOFF_FACTOR: f64 = 2.0;
/// Multiple of the mean latency after which a group commit is sent again. Its
/// conditions make a duplicate harmless.
const COMMIT_TIMEOUT_FACTOR: f64 = 8.0;
/// Lower and upper bound on the timeout of a group commit.
const COMMIT_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));

/// A group commit in flight.
#[derive(Debug)]
pub(crate) struct GroupCommit {
    call: CallId,
    sent_at: Duration,
    /// Jobs whose state it writes; the flag marks a job's last write.
    jobs: Vec<(JobIx, bool)>,
    acks: Vec<(ServerIx, u64)>,
    roster: Option<Vec<ServerIx>>,
    /// Planned runs that it records; their start orders are sent once it is
    /// applied.
    starts: Vec<RunRef>,
    /// True when it holds the state of every job that had changed.
    complete: bool,
}

/// Pending and in-flight writes of the owner.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    /// A job's state or an acknowledgement is to be written.
    pub(crate) due: bool,
    /// The roster has changed and is to be written.
    pub(crate) roster_due: bool,
    in_flight: Option<GroupCommit>,
    heartbeats: HashMap<CallId, Duration>,
    heartbeat_count: u64,
    next_heartbeat_at: Duration,
    next_commit_at: Duration,
    /// Ended jobs, with the time at which their state row is deleted.
    expiring: VecDeque<(Duration, JobId)>,
    /// Ids of the jobs in `expiring`.
    ended_jobs: HashSet<JobId>,
    store_failing: bool,
    /// When the owner last ordered or adopted a run without a written record;
    /// `None` once all records are written.
    pub(crate) unrecorded_at: Option<Duration>,
    /// Number of group commits that were applied, and that were not.
    pub(crate) applied: u64,
    pub(crate) failed: u64,
    /// Moving average of the latency of group commits, in seconds.
    mean_latency_secs: f64,
    /// Heartbeats that failed since the last one that was applied.
    failed_heartbeats: u32,
}

impl Commits {
    /// Schedules the deletion of the state row of a job that has ended.
    pub(crate) fn expire(&mut self, at: Duration, id: JobId) {
        self.ended_jobs.insert(id.clone());
        self.expiring.push_back((at, id));
    }

    /// True when a job has ended and its state row has not expired. A scan of
    /// the job table that began before the end may still return the job.
    pub(crate) fn has_ended(&self, id: &JobId) -> bool {
        self.ended_jobs.contains(id)
    }

    /// Moving average of the latency of group commits, in ms.
    pub(crate) fn mean_latency_ms(&self) -> u64 {
        ms(Duration::from_secs_f64(self.mean_latency_secs))
    }

    /// Raises the timeout after a group commit that was not answered in time.
    fn record_timeout(&mut self) {
        let timeout = self.commit_timeout().as_secs_f64();
        let longer = timeout / COMMIT_TIMEOUT_FACTOR * TIMEOUT_BACKOFF_FACTOR;
        let longest = COMMIT_TIMEOUT_RANGE.1.as_secs_f64() / COMMIT_TIMEOUT_FACTOR;
        self.mean_latency_secs = longer.min(longest);
    }

    /// Time after which a group commit counts as not answered.
    fn commit_timeout(&self) -> Duration {
        let timeout = Duration::from_secs_f64(self.mean_latency_secs * COMMIT_TIMEOUT_FACTOR);
        timeout.clamp(COMMIT_TIMEOUT_RANGE.0, COMMIT_TIMEOUT_RANGE.1)
    }

    /// True when no group commit is due or in flight.
    pub(crate) fn is_idle(&self) -> bool {
        !self.due && self.in_flight.is_none()
    }
}

fn owner_condition(cx: &Cx<'_>) -> Condition {
    Condition {
        key: rows::OWNER_KEY.into(),
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
    /// Sends the heartbeat and the group commit, if due.
    pub(crate) fn flush(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        if now >= self.commits.next_heartbeat_at {
            self.send_heartbeat(cx);
        }
        let commits = &self.commits;
        let wanted = commits.due || commits.roster_due;
        if wanted
            && commits.in_flight.is_none()
            && now >= commits.next_commit_at
            && self.recovery.tables_loaded
        {
            self.send_group_commit(cx);
        }
    }

    fn send_heartbeat(&mut self, cx: &mut Cx<'_>) {
        self.commits.next_heartbeat_at = cx.now() + cx.settings.timing.heartbeat_interval;
        self.commits.heartbeat_count += 1;
        // Until the jobs are loaded, the previous owner's counts are repeated.
        let pending = match self.recovery.tables_loaded {
            true => self.pending(),
            false => cx.term.heartbeat.pending.clone(),
        };
        let heartbeat = Heartbeat {
            count: self.commits.heartbeat_count,
            clock: cx.term.store_clock(cx.now()),
            // An unknown run of an earlier owner may lack a record too.
            recorded: self.commits.unrecorded_at.is_none() && !self.may_have_unknown_runs(),
            pending,
            max_cpu_share: self
                .policy_dispatcher
                .max_helper_cpu_share()
                .max(cx.settings.cpu_share),
        };
        let call = cx.next_call_id();
        self.commits.heartbeats.insert(call, cx.now());
        let transaction = Transaction {
            conditions: vec![owner_condition(cx)],
            writes: vec![put(rows::HEARTBEAT_KEY.into(), rows::encode(&heartbeat))],
        };
        cx.term.heartbeat = heartbeat;
        cx.out.push(Effect::Commit {
            call,
            transaction,
            timeout: None,
        });
    }

    fn send_group_commit(&mut self, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        let mut transaction = Transaction {
            conditions: vec![owner_condition(cx)],
            writes: Vec::new(),
        };
        let roster = self.add_roster_write(&mut transaction);
        let (jobs, complete) = self.add_job_writes(&mut transaction);
        self.add_expired_deletes(&mut transaction, cx.now());
        self.commits.due = !complete;
        let acks = match complete {
            true => self.pending_acks(),
            false => Vec::new(),
        };
        if transaction.writes.is_empty() {
            self.record_acks(&acks);
            return;
        }
        let starts = self.planned_runs(&jobs);
        self.commits.in_flight = Some(GroupCommit {
            call,
            sent_at: cx.now(),
            jobs,
            acks,
            roster,
            starts,
            complete,
        });
        cx.out.push(Effect::Commit {
            call,
            transaction,
            timeout: Some(self.commits.commit_timeout()),
        });
    }

    fn add_roster_write(&mut self, transaction: &mut Transaction) -> Option<Vec<ServerIx>> {
        if !std::mem::take(&mut self.commits.roster_due) {
            return None;
        }
        let live: Vec<ServerIx> = self.fleet.live().collect();
        let entry = |ix: &ServerIx| {
            let listing = &self.fleet.get(*ix).listing;
            RosterEntry {
                id: listing.id.clone(),
                incarnation: listing.incarnation,
                address: listing.address.clone(),
                capacity: listing.capacity,
            }
        };
        let roster: Vec<RosterEntry> = live.iter().map(entry).collect();
        let write = put(rows::ROSTER_KEY.into(), rows::encode(&roster));
        transaction.writes.push(write);
        Some(live)
    }

    /// Adds the state rows of changed jobs. The flag in the result is true when
    /// all of them fit.
    fn add_job_writes(&mut self, transaction: &mut Transaction) -> (Vec<(JobIx, bool)>, bool) {
        let dirty: Vec<JobIx> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, job)| job.dirty)
            .map(|(ix, _)| *ix)
            .collect();
        let unknown_runs = self.may_have_unknown_runs();
        let mut jobs = Vec::new();
        for ix in &dirty {
            let entries = transaction.conditions.len() + transaction.writes.len();
            if entries + ENTRIES_PER_JOB > MAX_ENTRIES {
                return (jobs, false);
            }
            let has_no_runs = self.ledger.runs_of(*ix).is_empty();
            let Some(job) = self.ledger.jobs.get_mut(ix) else {
                continue;
            };
            job.dirty = false;
            let key = rows::state_key(&job.id);
            transaction.conditions.push(Condition {
                key: key.clone(),
                version: job.record_version,
            });
            let is_last_write =
                job.stage.is_terminal() && has_no_runs && !(job.inherited && unknown_runs);
            if is_last_write {
                transaction.writes.push(remove(rows::job_key(&job.id)));
                if job.cancelled {
                    transaction.writes.push(remove(rows::cancel_key(&job.id)));
                }
            }
            jobs.push((*ix, is_last_write));
            let fleet = &self.fleet;
            let record = self.ledger.record(*ix, |server| {
                let listing = &fleet.get(server).listing;
                (listing.id.clone(), listing.incarnation)
            });
            transaction.writes.push(put(key, rows::encode(&record)));
        }
        (jobs, true)
    }

    fn add_expired_deletes(&mut self, transaction: &mut Transaction, now: Duration) {
        for _ in 0..MAX_EXPIRED_PER_COMMIT {
            let due = self
                .commits
                .expiring
                .front()
                .is_some_and(|(at, _)| *at <= now);
            let full = transaction.writes.len() + transaction.conditions.len() >= MAX_ENTRIES;
            match self.commits.expiring.pop_front_if(|_| due && !full) {
                Some((_, id)) => {
                    self.commits.ended_jobs.remove(&id);
                    transaction.writes.push(remove(rows::state_key(&id)));
                }
                None => return,
            }
        }
    }

    fn pending_acks(&self) -> Vec<(ServerIx, u64)> {
        let waiting = |ix: &ServerIx| {
            let server = self.fleet.get(*ix);
            server.processed_end != server.acknowledged_end
        };
        let servers = self.fleet.live().filter(waiting);
        servers
            .map(|ix| (ix, self.fleet.get(ix).processed_end))
            .collect()
    }

    /// Handles the table service's response to a write of the owner. Returns false
    /// when the call is not such a write.
    pub(crate) fn commit_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        if let Some(sent_at) = self.commits.heartbeats.remove(&call) {
            self.heartbeat_answered(sent_at, result, cx);
            return true;
        }
        match self.commits.in_flight.take_if(|commit| commit.call == call) {
            Some(commit) => {
                self.group_commit_answered(commit, result, cx);
                true
            }
            None => false,
        }
    }

    fn heartbeat_answered(
        &mut self,
        sent_at: Duration,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            Ok(StoreResponse::Applied { clock, .. }) => {
                cx.term.confirm(sent_at);
                cx.term.observe_store_clock(*clock, cx.now());
                self.commits.failed_heartbeats = 0;
                self.place_due = true;
                self.update_store_availability(None, cx);
            }
            Err(StoreError::Conflict(rows)) => self.verify_ownership(rows, cx),
            Ok(StoreResponse::Rows { .. }) => {}
            Err(error) => {
                self.commits.failed_heartbeats += 1;
                self.update_store_availability(Some(error), cx);
                self.maybe_request_successor(cx);
            }
        }
    }

    /// Asks for a successor when consecutive heartbeats fail and no write has been
    /// confirmed for the handover time.
    fn maybe_request_successor(&mut self, cx: &mut Cx<'_>) {
        let unconfirmed = cx.now().saturating_sub(cx.term.confirmed_at);
        let failing = self.commits.failed_heartbeats >= HANDOVER_HEARTBEATS;
        if failing && unconfirmed >= cx.settings.timing.handover_after {
            self.request_takeover(cx);
        }
    }

    fn group_commit_answered(
        &mut self,
        commit: GroupCommit,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            Ok(StoreResponse::Applied { version, clock }) => {
                cx.term.observe_store_clock(*clock, cx.now());
                self.group_commit_applied(commit, *version, cx);
            }
            Ok(StoreResponse::Rows { .. }) => self.requeue_writes(&commit, cx),
            Err(StoreError::Conflict(rows)) => {
                self.verify_ownership(rows, cx);
                self.adopt_versions(&commit, rows);
                self.requeue_writes(&commit, cx);
                self.commits.next_commit_at = cx.now();
            }
            Err(error) => {
                if *error == StoreError::Unknown {
                    self.commits.record_timeout();
                }
                self.update_store_availability(Some(error), cx);
                self.requeue_writes(&commit, cx);
            }
        }
    }

    fn group_commit_applied(&mut self, commit: GroupCommit, version: u64, cx: &mut Cx<'_>) {
        cx.term.confirm(commit.sent_at);
        self.update_store_availability(None, cx);
        self.commits.applied += 1;
        self.place_due = true;
        let latency = cx.now().saturating_sub(commit.sent_at);
        self.commits.mean_latency_secs +=
            LATENCY_EWMA_WEIGHT * (latency.as_secs_f64() - self.commits.mean_latency_secs);
        cx.out.push(Effect::RecordMetric {
            metric: Metric::Commit,
            team: "".into(),
            queue: "".into(),
            value: latency,
        });
        for (ix, is_last_write) in commit.jobs {
            self.job_row_written(ix, is_last_write, version, cx);
        }
        if commit.complete {
            let _ = self
                .commits
                .unrecorded_at
                .take_if(|at| *at <= commit.sent_at);
        }
        self.record_acks(&commit.acks);
        for run in commit.starts {
            self.send_start(run, cx);
        }
        for ix in commit.roster.into_iter().flatten() {
            let server = self.fleet.get_mut(ix);
            if server.state == ServerState::Discovered {
                server.state = ServerState::InRoster;
            }
        }
    }

    /// Records up to which number each backend server's ended runs are acknowledged;
    /// it need not list them again.
    fn record_acks(&mut self, acks: &[(ServerIx, u64)]) {
        for (ix, number) in acks {
            let server = self.fleet.get_mut(*ix);
            server.acknowledged_end = server.acknowledged_end.max(*number);
        }
    }

    /// Returns the planned runs of jobs.
    fn planned_runs(&self, jobs: &[(JobIx, bool)]) -> Vec<RunRef> {
        let runs = jobs.iter().flat_map(|(ix, _)| self.ledger.runs_of(*ix));
        let is_planned = |run: &RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|placed| placed.state == RunState::Planned)
        };
        runs.filter(is_planned).collect()
    }

    fn job_row_written(&mut self, ix: JobIx, is_last_write: bool, version: u64, cx: &Cx<'_>) {
        let Some(job) = self.ledger.jobs.get_mut(&ix) else {
            return;
        };
        job.record_version = version;
        if is_last_write && !job.dirty {
            let id = job.id.clone();
            self.ledger.remove(ix);
            self.commits
                .expire(cx.now() + cx.settings.timing.state_retention, id);
        }
    }

    /// Schedules the writes of a failed group commit again.
    fn requeue_writes(&mut self, commit: &GroupCommit, cx: &Cx<'_>) {
        self.commits.failed += 1;
        for (ix, _) in &commit.jobs {
            self.mark_dirty(*ix);
        }
        self.commits.roster_due |= commit.roster.is_some();
        self.commits.due |= !commit.acks.is_empty();
        self.commits.next_commit_at = cx.now() + WRITE_RETRY_DELAY;
    }

    /// Adopts the versions of the state rows that a conflict reports. They stem
    /// from an earlier write of this owner whose response was lost.
    fn adopt_versions(&mut self, commit: &GroupCommit, rows: &[Row]) {
        for (ix, _) in &commit.jobs {
            let Some(job) = self.ledger.jobs.get_mut(ix) else {
                continue;
            };
            let key = rows::state_key(&job.id);
            let row = rows.iter().find(|row| row.key == key);
            job.record_version = row.map_or(0, |row| row.cell.version);
        }
    }

    /// Gives up ownership when the owner row has changed.
    fn verify_ownership(&mut self, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::OWNER_KEY);
        if row.map(|row| row.cell.version) != Some(cx.term.owner_version) {
            cx.term.become_follower();
        }
    }

    /// Logs when the table service becomes unavailable or available again.
    fn update_store_availability(&mut self, error: Option<&StoreError>, cx: &mut Cx<'_>) {
        let fault = error.map(|error| format_compact!("{error}"));
        match (self.commits.store_failing, fault) {
            (false, Some(fault)) => {
                self.commits.store_failing = true;
                cx.log(Notice::StoreLost { fault });
            }
            (true, None) => {
                self.commits.store_failing = false;
                cx.log(Notice::StoreBack);
            }
            _ => {}
        }
    }

    /// Logs that this VM is the owner, once the tables are loaded.
    pub(crate) fn log_owner(&self, since: Duration, cx: &mut Cx<'_>) {
        let epoch = cx.term.epoch();
        let took_ms = ms(cx.now().saturating_sub(since));
        cx.log(Notice::Owner { epoch, took_ms });
    }
}
