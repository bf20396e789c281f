//! The owner's writes to the rows of jobs: group commits, at most one in flight
//! for each partition.
//!
//! Invariant: every transaction is conditional on the version of its partition's
//! fence row, and every update of a job's state row also on the version that the
//! owner last saw. A write that is applied late therefore changes nothing.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use model::{Condition, JobId, Row, Transaction, Write};

use crate::event::{CallId, Effect, Metric, StoreError, StoreResponse};
use crate::ledger::{JobIx, RunRef, RunState};
use crate::notice::ms;
use crate::owner::{Cx, Owner};
use crate::partition::{Layout, PartitionId};
use crate::rows;

/// Maximum number of conditions and writes that a group commit puts into one
/// transaction; the table service accepts 100.
const MAX_ENTRIES: usize = 90;
/// Maximum number of conditions and writes for one job.
const ENTRIES_PER_JOB: usize = 4;
/// Maximum number of expired state rows that one group commit deletes.
const MAX_EXPIRED_PER_COMMIT: usize = 16;
/// Delay before a failed group commit is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between two group commits in one partition, so that one
/// carries the changes of several jobs.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(15);
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

/// Number of a change to the state of a job. Changes are numbered in the order in
/// which they are made.
pub(crate) type Change = u64;

/// A group commit in flight.
#[derive(Debug)]
struct GroupCommit {
    call: CallId,
    sent_at: Duration,
    jobs: Vec<JobWrite>,
    /// Ended jobs whose state rows it deletes.
    expired: Vec<JobId>,
    /// Planned runs that it records; their start orders are sent once it is
    /// applied.
    starts: Vec<RunRef>,
}

/// The state row of a job in a group commit.
#[derive(Clone, Copy, Debug)]
struct JobWrite {
    job: JobIx,
    /// First change of the job that the row contains.
    change: Change,
    /// True for the last write of a job, which deletes its submission row.
    is_last: bool,
}

/// Writes to one partition.
#[derive(Debug, Default)]
struct PartitionCommits {
    /// Jobs whose state row is to be written, with the first change since the row
    /// was last sent, oldest first. An entry is void if the job is not dirty.
    dirty: VecDeque<(JobIx, Change)>,
    in_flight: Option<GroupCommit>,
    next_commit_at: Duration,
    /// When the queued changes have to be sent at the latest; `None` if there are
    /// none.
    due_at: Option<Duration>,
    /// Ended jobs, with the time at which their state row is deleted.
    expiring: VecDeque<(Duration, JobId)>,
}

impl PartitionCommits {
    /// The oldest change that is not known to be written.
    fn oldest_unwritten(&self) -> Option<Change> {
        let queued = self.dirty.front().map(|(_, change)| *change);
        let in_flight = self.in_flight.as_ref();
        let in_flight = in_flight.and_then(|c| c.jobs.iter().map(|job| job.change).min());
        queued.into_iter().chain(in_flight).min()
    }

    fn is_due(&self, now: Duration) -> bool {
        let expired = self.expiring.front().is_some_and(|(at, _)| *at <= now);
        let changed = self.due_at.is_some_and(|at| now >= at);
        (changed || expired) && self.in_flight.is_none() && now >= self.next_commit_at
    }
}

/// Pending and in-flight writes to the rows of jobs.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    partitions: BTreeMap<PartitionId, PartitionCommits>,
    /// Number of changes made so far.
    last_change: Change,
    /// Ids of the jobs whose state rows are still to be deleted.
    ended_jobs: HashSet<JobId>,
    /// Last change at the time when a run was last ordered or adopted without a
    /// written record; `None` once all records are written.
    unrecorded: Option<Change>,
    /// Number of group commits that were applied, and that were not.
    pub(crate) applied: u64,
    pub(crate) failed: u64,
    /// Moving average of the latency of group commits, in seconds.
    mean_latency_secs: f64,
}

impl Commits {
    /// Creates the queues of all job partitions.
    pub(crate) fn open(&mut self, layout: Layout) {
        for partition in layout.partitions() {
            self.partitions.entry(partition).or_default();
        }
    }

    /// Notes a change to the state of a job, which is to be sent at `due_at` or
    /// with an earlier group commit. `queue` is true if the job was not already
    /// queued to be written.
    pub(crate) fn record_change(
        &mut self,
        job: JobIx,
        partition: PartitionId,
        queue: bool,
        due_at: Duration,
    ) {
        self.last_change += 1;
        let commits = self.partitions.entry(partition).or_default();
        if queue {
            commits.dirty.push_back((job, self.last_change));
        }
        commits.due_at = Some(commits.due_at.map_or(due_at, |at| at.min(due_at)));
    }

    /// The last change so far.
    pub(crate) fn last_change(&self) -> Change {
        self.last_change
    }

    /// True when all changes to the jobs of a partition up to `change` are written.
    pub(crate) fn is_written(&self, partition: PartitionId, change: Change) -> bool {
        let commits = self.partitions.get(&partition);
        let oldest = commits.and_then(PartitionCommits::oldest_unwritten);
        oldest.is_none_or(|oldest| change < oldest)
    }

    /// True while a write of the state row of a job of a partition is in flight.
    pub(crate) fn is_in_flight(&self, partition: PartitionId, job: JobIx) -> bool {
        let commits = self.partitions.get(&partition);
        let in_flight = commits.and_then(|commits| commits.in_flight.as_ref());
        in_flight.is_some_and(|commit| commit.jobs.iter().any(|write| write.job == job))
    }

    /// The last change up to which all changes are written.
    pub(crate) fn written_change(&self) -> Change {
        let partitions = self.partitions.values();
        let oldest = partitions.filter_map(PartitionCommits::oldest_unwritten);
        oldest.min().map_or(self.last_change, |change| change - 1)
    }

    /// Notes that a run was ordered or adopted without a written record. Its job
    /// must have been noted as changed.
    pub(crate) fn note_unrecorded(&mut self) {
        self.unrecorded = Some(self.last_change);
    }

    /// True when the records of all runs ordered so far are written.
    pub(crate) fn is_all_recorded(&mut self) -> bool {
        let written = self.written_change();
        // Dropped here, so that it is `None` from then on.
        let _ = self.unrecorded.take_if(|change| *change <= written);
        self.unrecorded.is_none()
    }

    /// Schedules the deletion of the state row of a job that has ended.
    pub(crate) fn expire(&mut self, at: Duration, id: JobId, partition: PartitionId) {
        self.ended_jobs.insert(id.clone());
        let commits = self.partitions.entry(partition).or_default();
        commits.expiring.push_back((at, id));
    }

    /// True when a job has ended and its state row was not deleted. A scan of the
    /// job table that began before the end may still return the job.
    pub(crate) fn has_ended(&self, id: &JobId) -> bool {
        self.ended_jobs.contains(id)
    }

    /// Time that a change made now is expected to take until it is written: it may
    /// have to wait for the group commit in flight.
    pub(crate) fn expected_latency(&self) -> Duration {
        Duration::from_secs_f64(self.mean_latency_secs * 2.0)
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

    /// True when every change is written.
    pub(crate) fn is_idle(&self) -> bool {
        self.written_change() == self.last_change
    }
}

/// A write that creates or replaces a row.
pub(crate) fn put(key: CompactString, value: Bytes) -> Write {
    Write {
        key,
        value: Some(value),
    }
}

/// A write that deletes a row.
pub(crate) fn remove(key: CompactString) -> Write {
    Write { key, value: None }
}

fn entries(transaction: &Transaction) -> usize {
    transaction.conditions.len() + transaction.writes.len()
}

impl Owner {
    /// Sends the group commits that are due.
    pub(crate) fn send_due_commits(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.tables_loaded {
            return;
        }
        let partitions = self.commits.partitions.iter();
        let due: Vec<PartitionId> = partitions
            .filter(|(_, commits)| commits.is_due(cx.now()))
            .map(|(partition, _)| *partition)
            .collect();
        for partition in due {
            self.send_group_commit(partition, cx);
        }
    }

    fn send_group_commit(&mut self, partition: PartitionId, cx: &mut Cx<'_>) {
        let Some(fence) = self.fences.condition(partition) else {
            return;
        };
        let mut transaction = Transaction {
            conditions: vec![fence],
            writes: Vec::new(),
        };
        let jobs = self.add_job_writes(partition, &mut transaction);
        if let Some(commits) = self.commits.partitions.get_mut(&partition) {
            // Changes that did not fit are due at once.
            commits.due_at = (!commits.dirty.is_empty()).then_some(cx.now());
        }
        let expired = self.add_expired_deletes(partition, &mut transaction, cx.now());
        if transaction.writes.is_empty() {
            return; // All entries of the queue were void.
        }
        let starts = self.planned_runs(&jobs);
        let call = cx.next_call_id();
        let timeout = self.commits.commit_timeout();
        if let Some(commits) = self.commits.partitions.get_mut(&partition) {
            commits.next_commit_at = cx.now() + MIN_COMMIT_INTERVAL;
            commits.in_flight = Some(GroupCommit {
                call,
                sent_at: cx.now(),
                jobs,
                expired,
                starts,
            });
        }
        cx.out.push(Effect::Commit {
            call,
            partition,
            transaction,
            timeout: Some(timeout),
        });
    }

    /// Adds the state rows of changed jobs, the longest changed first, as many as
    /// fit.
    fn add_job_writes(
        &mut self,
        partition: PartitionId,
        transaction: &mut Transaction,
    ) -> Vec<JobWrite> {
        let unknown_runs = self.may_have_unknown_runs();
        let mut jobs = Vec::new();
        while entries(transaction) + ENTRIES_PER_JOB <= MAX_ENTRIES {
            let commits = self.commits.partitions.get_mut(&partition);
            let Some((ix, change)) = commits.and_then(|c| c.dirty.pop_front()) else {
                break;
            };
            let has_no_runs = self.ledger.runs_of(ix).is_empty();
            let Some(job) = self.ledger.jobs.get_mut(&ix).filter(|job| job.dirty) else {
                continue;
            };
            job.dirty = false;
            let key = rows::state_key(&job.id);
            transaction.conditions.push(Condition {
                key: key.clone(),
                version: job.record_version,
            });
            let is_last =
                job.stage.is_terminal() && has_no_runs && !(job.inherited && unknown_runs);
            if is_last {
                transaction.writes.push(remove(rows::job_key(&job.id)));
                if job.cancelled {
                    transaction.writes.push(remove(rows::cancel_key(&job.id)));
                }
            }
            jobs.push(JobWrite {
                job: ix,
                change,
                is_last,
            });
            let fleet = &self.fleet;
            let mut record = self.ledger.record(ix, |server| {
                let listing = &fleet.get(server).listing;
                (listing.id.clone(), listing.incarnation)
            });
            record.open_losses = self.open_losses.of_job(ix);
            transaction.writes.push(put(key, record.encode()));
        }
        jobs
    }

    /// Adds the deletions of state rows that have expired, as many as fit.
    fn add_expired_deletes(
        &mut self,
        partition: PartitionId,
        transaction: &mut Transaction,
        now: Duration,
    ) -> Vec<JobId> {
        let mut expired = Vec::new();
        let Some(commits) = self.commits.partitions.get_mut(&partition) else {
            return expired;
        };
        while expired.len() < MAX_EXPIRED_PER_COMMIT && entries(transaction) < MAX_ENTRIES {
            let Some((_, id)) = commits.expiring.pop_front_if(|(at, _)| *at <= now) else {
                break;
            };
            transaction.writes.push(remove(rows::state_key(&id)));
            expired.push(id);
        }
        expired
    }

    /// Returns the planned runs of jobs.
    fn planned_runs(&self, jobs: &[JobWrite]) -> Vec<RunRef> {
        let runs = jobs.iter().flat_map(|write| self.ledger.runs_of(write.job));
        let is_planned = |run: &RunRef| {
            let placed = self.ledger.runs.get(run);
            placed.is_some_and(|placed| placed.state == RunState::Planned)
        };
        runs.filter(is_planned).collect()
    }

    /// Handles the table service's response to a group commit. Returns false when
    /// the call is not one.
    pub(crate) fn group_commit_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let mut partitions = self.commits.partitions.iter_mut();
        let found = partitions.find_map(|(partition, commits)| {
            let commit = commits.in_flight.take_if(|commit| commit.call == call)?;
            Some((*partition, commit))
        });
        let Some((partition, commit)) = found else {
            return false;
        };
        match result {
            Ok(StoreResponse::Applied { version, clock }) => {
                cx.term.observe_store_clock(*clock, cx.now());
                self.group_commit_applied(partition, commit, *version, cx);
            }
            Ok(StoreResponse::Rows { .. }) => self.requeue_writes(partition, commit, cx.now()),
            Err(StoreError::Conflict(rows)) => {
                self.verify_fence(partition, rows, cx);
                self.adopt_versions(&commit, rows);
                self.requeue_writes(partition, commit, cx.now());
            }
            Err(error) => {
                if *error == StoreError::Unknown {
                    self.commits.record_timeout();
                }
                self.update_store_availability(partition, Some(error), cx);
                self.requeue_writes(partition, commit, cx.now() + WRITE_RETRY_DELAY);
            }
        }
        true
    }

    fn group_commit_applied(
        &mut self,
        partition: PartitionId,
        commit: GroupCommit,
        version: u64,
        cx: &mut Cx<'_>,
    ) {
        // This does not confirm the term: a later owner may have claimed already
        // and not yet replaced the fence row of this partition.
        self.update_store_availability(partition, None, cx);
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
        for id in &commit.expired {
            self.commits.ended_jobs.remove(id);
        }
        for write in commit.jobs {
            self.job_row_written(write, partition, version, cx);
        }
        self.recorded_starts.extend(commit.starts);
        self.send_recorded_starts(cx);
    }

    fn job_row_written(
        &mut self,
        write: JobWrite,
        partition: PartitionId,
        version: u64,
        cx: &Cx<'_>,
    ) {
        let Some(job) = self.ledger.jobs.get_mut(&write.job) else {
            return;
        };
        job.record_version = version;
        if write.is_last && !job.dirty {
            let id = job.id.clone();
            self.ledger.remove(write.job);
            let at = cx.now() + cx.settings.timing.state_retention;
            self.commits.expire(at, id, partition);
        }
    }

    /// Schedules the writes of a failed group commit again, ahead of all others.
    fn requeue_writes(&mut self, partition: PartitionId, commit: GroupCommit, at: Duration) {
        self.commits.failed += 1;
        let Some(commits) = self.commits.partitions.get_mut(&partition) else {
            return;
        };
        commits.next_commit_at = at;
        commits.due_at = Some(at);
        for write in commit.jobs.iter().rev() {
            if let Some(job) = self.ledger.jobs.get_mut(&write.job) {
                job.dirty = true;
                commits.dirty.push_front((write.job, write.change));
            }
        }
        for id in commit.expired.into_iter().rev() {
            commits.expiring.push_front((at, id));
        }
    }

    /// Adopts the versions of the state rows that a conflict reports. They stem
    /// from an earlier write of this owner whose response was lost.
    fn adopt_versions(&mut self, commit: &GroupCommit, rows: &[Row]) {
        for write in &commit.jobs {
            let Some(job) = self.ledger.jobs.get_mut(&write.job) else {
                continue;
            };
            let key = rows::state_key(&job.id);
            let row = rows.iter().find(|row| row.key == key);
            job.record_version = row.map_or(0, |row| row.cell.version);
        }
    }
}
