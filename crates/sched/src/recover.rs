//! Recovery of the state of an earlier owner: first from the rows, then from the
//! backend servers' lists. Also follows the job table during the term.
//!
//! The rows of jobs are read only after every job partition is fenced.
//!
//! Invariant: no task starts that could be running on a backend server of the
//! roster that has not answered and may still carry out orders of an earlier
//! owner.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Epoch, JobId, Name, Resources, Row, Step};

use crate::accounts;
use crate::drain::EndedTerm;
use crate::event::{CallId, ChangeFeed, Effect, StoreError, StoreResponse, Table, live_value};
use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{Job, JobIx, RunState, StepRef, TaskRef};
use crate::losses::Evidence;
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};
use crate::partition::{CELL_PARTITION, Layout, PartitionId};
use crate::rows::{self, Heartbeat, JobKey, JobRecord, LastOrders, RunRecord, Submission};
use crate::settings::Timing;
use crate::term::SUSPENSION_GAP;

/// Maximum number of rows in one page of a scan.
const PAGE_ROWS: u32 = 500;
/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Long-poll time for changes of the job table. A call whose response is lost is noticed only
/// when it ends, and until then this owner starts tasks of jobs that were cancelled.
const FOLLOW_WAIT: Duration = Duration::from_millis(900);
/// Long-poll time of the call after one that failed.
const FOLLOW_RETRY_WAIT: Duration = Duration::from_millis(50);
/// Age of a call for changes from which it is replaced when the table service is back.
const FOLLOW_REPLACE_AGE: Duration = Duration::from_millis(100);
/// Delay between two such calls, so that one returns several submissions.
const FOLLOW_GAP: Duration = Duration::from_millis(12);

/// Delay before the cell table is read again after a malformed layout row, which
/// only an operator can repair.
const LAYOUT_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Minimum time that the backend servers have to answer before the runs recorded
/// there count as ended, however long ago their leases ended.
const FIRST_ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// A scan of the rows of one table in one partition.
#[derive(Debug)]
struct TableScan {
    table: Table,
    partition: PartitionId,
    rows: Vec<Row>,
    call: Option<CallId>,
    /// First key of the next page, without the table's prefix.
    from: Name,
    retry_at: Option<Duration>,
    /// Version of the table at the first page; changes after it are followed.
    version: Option<u64>,
    complete: bool,
}

/// Position in the sequence of reads with which a term begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// Reads the rows of the cell, among them the layout.
    #[default]
    Cell,
    /// Replaces the fence rows of the job partitions.
    Fencing,
    /// Reads the rows of jobs that a build without partitions wrote.
    Undivided,
    /// Copies these to the job partitions and writes the layout row.
    Copying,
    /// Reads the rows of jobs, at the start of a term or after the change history
    /// was lost.
    Jobs,
    /// Follows the job table.
    Following,
}

/// Progress of the recovery, and position in the job table's changes.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// All tables have been scanned and loaded.
    pub(crate) tables_loaded: bool,
    /// The registry of backend servers has been read.
    pub(crate) registry_loaded: bool,
    /// When the term began.
    began_at: Duration,
    stage: Stage,
    scans: Vec<TableScan>,
    /// Layout of the cell; `None` until it is read.
    layout: Option<Layout>,
    /// Call for changes of the job table in flight, with the time of sending.
    follow_call: Option<(CallId, Duration)>,
    follow_at: Option<Duration>,
    /// The last such call failed.
    follow_failed: bool,
    /// Version up to which changes of the job table were applied.
    followed_version: u64,
    /// When no order of an earlier owner can be in effect any more; `None` until the
    /// previous owner has said so, or a majority of the backend servers has certainly
    /// stopped answering earlier owners.
    prior_orders_until: Option<Duration>,
    /// No order of an earlier owner can be in effect any more.
    prior_orders_ended: bool,
    /// The end of the recovery was logged.
    logged: bool,
    /// Time of the previous owner's last heartbeat, on the table service's clock;
    /// `None` when there is none.
    last_heartbeat: Option<Duration>,
    /// Whether the records cover all runs that may exist; `None` as long as an
    /// earlier owner may have a majority of the backend servers.
    records_trusted: Option<bool>,
    /// The previous owner said at its release that all runs it had ordered were
    /// recorded.
    released_recorded: bool,
}

impl Recovery {
    pub(crate) fn new(began_at: Duration) -> Self {
        Self {
            began_at,
            ..Self::default()
        }
    }

    /// True until the rows of the cell have been read.
    pub(crate) fn is_reading_cell(&self) -> bool {
        self.stage == Stage::Cell
    }

    /// True when the term began at least `age` ago.
    pub(crate) fn has_lasted(&self, age: Duration, now: Duration) -> bool {
        now >= self.began_at + age
    }

    /// True while an earlier owner may still send orders, or its orders may still
    /// be in effect.
    pub(crate) fn may_have_prior_orders(&self, now: Duration) -> bool {
        self.prior_orders_until.is_none_or(|until| now < until)
    }

    /// True when the records of an earlier owner may lack runs and losses.
    pub(crate) fn lacks_records(&self) -> bool {
        self.records_trusted == Some(false)
    }

    /// When no order of an earlier owner can be in effect any more; `None` while that
    /// is unknown.
    pub(crate) fn prior_orders_until(&self) -> Option<Duration> {
        self.prior_orders_until
    }

    /// Notes that from `now` on no earlier owner can have a majority of the backend
    /// servers. Until then a majority may have kept its term valid, however long ago
    /// this term began.
    fn predecessors_superseded(&mut self, timing: &Timing, now: Duration) {
        let by_write = self.began_at + timing.ownership_validity;
        // It may be suspended unnoticed between its last response and its last order.
        let by_majority = now + timing.majority_max_age + SUSPENSION_GAP;
        let lease = timing.lease.div_f64(timing.min_clock_rate);
        let bound = by_write.max(by_majority) + lease;
        let stated = self.prior_orders_until.unwrap_or(bound);
        self.prior_orders_until = Some(bound.min(stated));
    }

    /// Removes the completed scans of a table and returns their rows.
    fn take_rows(&mut self, table: Table) -> Vec<Row> {
        let scans = self.scans.extract_if(.., |scan| scan.table == table);
        scans.flat_map(|scan| scan.rows).collect()
    }
}

impl Owner {
    /// Starts to read the rows with which a term begins.
    pub(crate) fn start_recovery(&mut self, cx: &mut Cx<'_>) {
        self.start_scan(Table::Cell, CELL_PARTITION, cx);
        self.start_scan(Table::Roster, CELL_PARTITION, cx);
    }

    fn start_scan(&mut self, table: Table, partition: PartitionId, cx: &mut Cx<'_>) {
        self.recovery.scans.push(TableScan {
            table,
            partition,
            rows: Vec::new(),
            call: None,
            from: Name::default(),
            retry_at: None,
            version: None,
            complete: false,
        });
        self.request_page(self.recovery.scans.len() - 1, cx);
    }

    /// Requests the next page of a scan.
    fn request_page(&mut self, index: usize, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        let Some(scan) = self.recovery.scans.get_mut(index) else {
            return;
        };
        scan.call = Some(call);
        scan.retry_at = None;
        cx.out.push(Effect::Scan {
            call,
            partition: scan.partition,
            table: scan.table,
            from: scan.from.clone(),
            limit: PAGE_ROWS,
        });
    }

    /// Handles a page of a scan. Returns false when the call is not part of a scan.
    pub(crate) fn page_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let mut scans = self.recovery.scans.iter_mut().enumerate();
        let Some((index, scan)) = scans.find(|(_, scan)| scan.call == Some(call)) else {
            return false;
        };
        scan.call = None;
        let Ok(StoreResponse::Rows {
            rows,
            more,
            version,
            clock,
        }) = result
        else {
            scan.retry_at = Some(cx.now() + READ_RETRY_DELAY);
            return true;
        };
        cx.term.observe_store_clock(*clock, cx.now());
        scan.version.get_or_insert(*version);
        scan.rows.extend(rows.iter().cloned());
        scan.complete = !more;
        if let Some(last) = rows.last().filter(|_| *more) {
            let key = last.key.strip_prefix(scan.table.prefix());
            // The smallest key greater than the last one read.
            scan.from = compact_str::format_compact!("{}\u{0}", key.unwrap_or_default());
            self.request_page(index, cx);
        }
        if self.recovery.scans.iter().all(|scan| scan.complete) {
            self.scans_completed(cx);
        }
        true
    }

    /// Goes on to the next stage of the recovery when all scans of one have ended.
    fn scans_completed(&mut self, cx: &mut Cx<'_>) {
        match self.recovery.stage {
            Stage::Cell => self.cell_scanned(cx),
            Stage::Undivided => {
                self.recovery.stage = Stage::Copying;
                let jobs = self.recovery.take_rows(Table::Job);
                let states = self.recovery.take_rows(Table::State);
                let layout = self.new_layout(cx);
                self.divide_rows(layout, jobs, states, cx);
            }
            Stage::Jobs => self.load_jobs(cx),
            Stage::Fencing | Stage::Copying | Stage::Following => {}
        }
    }

    /// Loads the rows of the cell, and begins to fence the job partitions.
    fn cell_scanned(&mut self, cx: &mut Cx<'_>) {
        let find = |rows: &[Row], key: &str| rows.iter().find(|row| row.key == key).cloned();
        let cell = self.recovery.take_rows(Table::Cell);
        let row = find(&cell, rows::LAYOUT_KEY);
        match row.as_ref().and_then(live_value).map(|b| Layout::decode(b)) {
            Some(Ok(layout)) => self.recovery.layout = Some(layout),
            None => {}
            Some(Err(error)) => {
                // Without the number of partitions no row of a job can be found.
                cx.log(Notice::LayoutUnusable {
                    fault: compact_str::format_compact!("{error}"),
                });
                self.recovery.scans.clear();
                self.start_scan(Table::Cell, CELL_PARTITION, cx);
                self.start_scan(Table::Roster, CELL_PARTITION, cx);
                for scan in &mut self.recovery.scans {
                    scan.call = None;
                    scan.retry_at = Some(cx.now() + LAYOUT_RETRY_DELAY);
                }
                return;
            }
        }
        self.load_last_orders(&cell, cx);
        let chunks = self.recovery.take_rows(Table::Roster);
        let undivided = find(&cell, rows::UNDIVIDED_ROSTER_KEY);
        self.load_roster(&chunks, undivided.as_ref(), cx);
        self.load_last_heartbeat(&cell);
        self.recovery.stage = Stage::Fencing;
        let layout = self.recovery.layout;
        let layout = layout.unwrap_or_else(|| self.new_layout(cx));
        self.commits.open(layout);
        self.start_fencing(layout, cx);
    }

    /// Layout of a cell that has none yet.
    fn new_layout(&self, cx: &Cx<'_>) -> Layout {
        Layout::new(cx.settings.job_partitions)
    }

    /// Begins to read the rows of jobs, once no earlier owner can write them.
    pub(crate) fn partitions_fenced(&mut self, cx: &mut Cx<'_>) {
        if self.recovery.stage != Stage::Fencing {
            return;
        }
        match self.recovery.layout {
            Some(layout) => self.scan_jobs(layout, cx),
            None => {
                self.recovery.stage = Stage::Undivided;
                self.start_scan(Table::Job, CELL_PARTITION, cx);
                self.start_scan(Table::State, CELL_PARTITION, cx);
            }
        }
    }

    /// Notes the layout that is now stored, and begins to read the rows of jobs.
    pub(crate) fn layout_stored(&mut self, layout: Layout, cx: &mut Cx<'_>) {
        cx.term.layout = Some(layout);
        self.recovery.layout = Some(layout);
        self.scan_jobs(layout, cx);
    }

    fn scan_jobs(&mut self, layout: Layout, cx: &mut Cx<'_>) {
        cx.term.layout = Some(layout);
        self.recovery.stage = Stage::Jobs;
        self.recovery.scans.clear();
        for partition in layout.partitions() {
            self.start_scan(Table::Job, partition, cx);
            if !self.recovery.tables_loaded {
                self.start_scan(Table::State, partition, cx);
            }
        }
    }

    /// Loads the scanned rows of jobs: the whole state at the start of a term, or
    /// new jobs alone after a rescan.
    fn load_jobs(&mut self, cx: &mut Cx<'_>) {
        let Some(layout) = self.recovery.layout else {
            return;
        };
        let scans = std::mem::take(&mut self.recovery.scans);
        // Changes are followed from the oldest of the scans.
        let job_scans = scans.iter().filter(|scan| scan.table == Table::Job);
        let version = job_scans.filter_map(|scan| scan.version).min();
        self.recovery.followed_version = version.unwrap_or(0);
        // A rescan finds new jobs only if they were accepted during this term.
        let first = !self.recovery.tables_loaded;
        for scan in scans.iter().filter(|scan| scan.table == Table::Job) {
            for row in &scan.rows {
                let id = rows::parse_job_key(&row.key).map(|key| key.id().clone());
                // Copies by an owner that chose another number of partitions.
                if id.is_some_and(|id| layout.partition_of(&id) == scan.partition) {
                    self.apply_job_row(row, first, cx);
                }
            }
        }
        for scan in scans.iter().filter(|scan| scan.table == Table::State) {
            self.load_states(&scan.rows, scan.partition, layout, cx);
        }
        self.recovery.tables_loaded = true;
        self.recovery.stage = Stage::Following;
        self.recovery.follow_at = Some(cx.now());
        self.place_due = true;
        if first {
            self.await_first_answers(cx.now());
            self.services_named(cx);
            self.log_owner(self.recovery.began_at, cx);
        }
    }

    /// Logs that this VM is the owner, once the tables are loaded.
    fn log_owner(&self, since: Duration, cx: &mut Cx<'_>) {
        let epoch = cx.term.epoch();
        let took_ms = ms(cx.now().saturating_sub(since));
        cx.log(Notice::Owner { epoch, took_ms });
    }

    /// Gives the backend servers, which are called from now on, time to answer.
    fn await_first_answers(&mut self, now: Duration) {
        let earliest = now + FIRST_ANSWER_TIME;
        if let Some(until) = &mut self.recovery.prior_orders_until {
            *until = earliest.max(*until);
        }
    }

    /// Loads what the previous owner said of its orders when it released ownership,
    /// if it did.
    fn load_last_orders(&mut self, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::LAST_ORDERS_KEY);
        let Some((row, bytes)) = row.and_then(|row| Some((row, live_value(row)?))) else {
            return;
        };
        match rows::decode::<LastOrders>(bytes) {
            Some(last) if last.epoch == cx.term.epoch().saturating_sub(1) => {
                // The release was sent before the claim was applied; the clocks of the
                // two VMs may differ in rate.
                let left = last.in_effect_for.as_secs_f64() / cx.settings.timing.min_clock_rate;
                let left = Duration::try_from_secs_f64(left).ok();
                let began_at = self.recovery.began_at;
                let until = left.and_then(|left| began_at.checked_add(left));
                self.recovery.prior_orders_until = until;
                self.recovery.released_recorded = until.is_some() && last.recorded;
            }
            Some(_) => {} // A later term ended without a release.
            None => cx.log(Notice::RowMalformed {
                key: row.key.clone(),
            }),
        }
    }

    /// What a successor needs to know of the orders of this term, which has ended;
    /// `None` while orders of an earlier term may be in effect for an unknown time.
    pub(crate) fn last_orders(&mut self, epoch: Epoch) -> Option<EndedTerm> {
        let prior = self.recovery.prior_orders_until?;
        let servers = self.fleet.live().map(|ix| self.fleet.get(ix));
        let leases = servers.map(|server| server.leases_expire_at);
        Some(EndedTerm {
            epoch,
            orders_end_at: leases.fold(prior, Duration::max),
            recorded: self.commits.is_all_recorded() && !self.may_have_unknown_runs(),
        })
    }

    /// Loads the time of the previous owner's last heartbeat.
    fn load_last_heartbeat(&mut self, rows: &[Row]) {
        let row = rows.iter().find(|row| row.key == rows::HEARTBEAT_KEY);
        self.heartbeats
            .observe_version(row.map_or(0, |row| row.cell.version));
        // A heartbeat that is malformed, or that reports missing records, counts as
        // sent at time zero, so that the records are not trusted.
        self.recovery.last_heartbeat = row.and_then(live_value).map(|bytes| {
            let heartbeat = rows::decode::<Heartbeat>(bytes).filter(|heartbeat| heartbeat.recorded);
            heartbeat.map_or(Duration::ZERO, |heartbeat| heartbeat.clock)
        });
    }

    fn load_states(
        &mut self,
        rows: &[Row],
        partition: PartitionId,
        layout: Layout,
        cx: &mut Cx<'_>,
    ) {
        for row in rows {
            let id = row.key.strip_prefix(Table::State.prefix());
            let id = JobId::from(id.unwrap_or_default());
            if layout.partition_of(&id) != partition {
                continue;
            }
            let record = live_value(row).and_then(|bytes| JobRecord::decode(bytes));
            match (self.ledger.find(&id), record) {
                (Some(ix), Some(record)) => {
                    self.restore_job(ix, row.cell.version, &record, cx);
                }
                (None, Some(record)) if record.stage.is_terminal() => {
                    let at = cx.now() + cx.settings.timing.state_retention;
                    self.commits.expire(at, id, partition);
                }
                (None, Some(_)) => {}
                (_, None) if live_value(row).is_none() => {}
                (_, None) => cx.log(Notice::RowMalformed {
                    key: row.key.clone(),
                }),
            }
        }
    }

    /// Restores a job from its state row.
    fn restore_job(&mut self, ix: JobIx, version: u64, record: &JobRecord, cx: &mut Cx<'_>) {
        let Some(job) = self.ledger.jobs.get_mut(&ix) else {
            return;
        };
        job.restore(version, record);
        let is_terminal = job.stage.is_terminal();
        let mut given_up = Vec::new();
        for ((id, incarnation), runs) in &record.placed {
            self.restore_runs(ix, id, runs, cx.now());
            let is_listed = self.fleet.find(id).is_some();
            if !is_listed || self.has_ended(id, *incarnation) {
                given_up.extend(self.note_recorded_losses(ix, runs));
            }
            // It may be cut off.
            if !is_listed {
                let runs = BTreeMap::from([((id.clone(), *incarnation), runs.clone())]);
                self.restore_open_losses(ix, &runs);
            }
        }
        self.restore_open_losses(ix, &record.open_losses);
        given_up.retain(|holder| self.exceeds_limit(*holder, self.undecided_losses(*holder, cx)));
        self.give_up_tasks(given_up, cx);
        if is_terminal {
            self.mark_dirty(ix);
        }
    }

    /// Notes the loss of recorded runs whose incarnation has ended since, and returns the
    /// tasks to give up. How long they had run is unknown.
    fn note_recorded_losses(&mut self, job: JobIx, runs: &[RunRecord]) -> Vec<TaskRef> {
        let mut given_up = Vec::new();
        for &(occurrence, step, index, number) in runs {
            let step = StepRef {
                job,
                occurrence,
                step,
            };
            if let Some(entry) = self.ledger.jobs.get_mut(&job) {
                entry.create_occurrence(occurrence);
            }
            let run = step.task(index).run(number);
            given_up.extend(self.note_loss(run, Evidence::Weak));
        }
        given_up
    }

    /// Places recorded runs on the current incarnation of their backend server.
    /// They are dropped if the backend server is no longer in use.
    fn restore_runs(&mut self, job: JobIx, id: &Name, runs: &[RunRecord], now: Duration) {
        // An order meant for one incarnation may have reached the next one, so the
        // recorded incarnation is ignored.
        let Some(server) = self.fleet.find(id) else {
            return;
        };
        // The record proves that an earlier owner may have called it, whatever the roster
        // lists, so its leases may be in effect.
        self.fleet.get_mut(server).inherited = true;
        for &(occurrence, step, index, number) in runs {
            let step = StepRef {
                job,
                occurrence,
                step,
            };
            if let Some(entry) = self.ledger.jobs.get_mut(&job) {
                entry.create_occurrence(occurrence);
            }
            let owner = &mut *self;
            accounts::reserve(
                &mut owner.ledger,
                &mut owner.fleet,
                &mut owner.accounts,
                step.task(index).run(number),
                server,
                RunState::Running,
                now,
            );
        }
    }

    /// Applies a row of the job table: a submission or a cancellation request.
    fn apply_job_row(&mut self, row: &Row, inherited: bool, cx: &mut Cx<'_>) {
        match (rows::parse_job_key(&row.key), live_value(row)) {
            (Some(JobKey::Submission(id)), Some(bytes)) => {
                if self.ledger.find(&id).is_some() || self.commits.has_ended(&id) {
                    return;
                }
                match Submission::decode(bytes) {
                    Some(submission) => {
                        let version = row.cell.version;
                        let Some(layout) = self.recovery.layout else {
                            return;
                        };
                        let partition = layout.partition_of(&id);
                        let mut job =
                            Job::new(id, partition, version, submission, inherited, cx.now());
                        // The arrival time of an inherited job is unknown, so it does
                        // not count against its team's rate.
                        job.beyond_rate = !inherited && !self.is_within_rate(&job.team, cx);
                        job.urgent = job.settings(cx.config).priority == 0;
                        if job.urgent {
                            self.last_urgent_at.insert(job.team.clone(), cx.now());
                        }
                        self.ledger.insert(job);
                        self.place_due = true;
                    }
                    None => cx.log(Notice::RowMalformed {
                        key: row.key.clone(),
                    }),
                }
            }
            (Some(JobKey::Cancel(id)), Some(_)) => self.cancel_job(&id, cx),
            (Some(_), None) => {}
            (None, _) => cx.log(Notice::RowMalformed {
                key: row.key.clone(),
            }),
        }
    }

    fn cancel_job(&mut self, id: &JobId, cx: &mut Cx<'_>) {
        let Some(ix) = self.ledger.find(id) else {
            return;
        };
        if let Some(job) = self.ledger.jobs.get_mut(&ix) {
            job.cancelled = true;
            cx.log(Notice::Cancelled { job: id.clone() });
            self.finish_job(ix, model::Stage::Cancelled, cx);
        }
    }

    /// Requests the next changes of the job table, if due.
    pub(crate) fn follow_jobs(&mut self, cx: &mut Cx<'_>) {
        let due = self.recovery.follow_at.is_some_and(|at| cx.now() >= at);
        if !due || self.recovery.follow_call.is_some() {
            return;
        }
        let call = cx.next_call_id();
        self.recovery.follow_call = Some((call, cx.now()));
        self.recovery.follow_at = None;
        let wait = match self.recovery.follow_failed {
            true => FOLLOW_RETRY_WAIT,
            false => FOLLOW_WAIT,
        };
        cx.out.push(Effect::Follow {
            call,
            table: Table::Job,
            after: self.recovery.followed_version,
            wait,
        });
    }

    /// Asks again for changes of the job table, as the table service answers again after a
    /// failure: the response to the call in flight may be lost.
    pub(crate) fn replace_follow_call(&mut self, now: Duration) {
        let in_flight = self.recovery.follow_call;
        if in_flight.is_some_and(|(_, sent_at)| now >= sent_at + FOLLOW_REPLACE_AGE) {
            self.recovery.follow_call = None;
            self.recovery.follow_at = Some(now);
            self.recovery.follow_failed = true;
        }
    }

    /// Handles changes of the job table. Returns false when the call did not ask
    /// for them.
    pub(crate) fn jobs_followed(
        &mut self,
        call: CallId,
        result: &Result<ChangeFeed, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let in_flight = &mut self.recovery.follow_call;
        if in_flight.take_if(|(sent, _)| *sent == call).is_none() {
            return false;
        }
        self.recovery.follow_failed = result.is_err();
        match result {
            Ok(feed) => {
                for row in &feed.rows {
                    self.apply_job_row(row, false, cx);
                }
                self.recovery.followed_version = self.recovery.followed_version.max(feed.version);
                self.recovery.follow_at = Some(cx.now() + FOLLOW_GAP);
            }
            Err(StoreError::HistoryLost) => self.rescan_jobs(cx),
            Err(_) => self.recovery.follow_at = Some(cx.now() + READ_RETRY_DELAY),
        }
        true
    }

    /// Scans the whole job table again, after its change history was truncated.
    fn rescan_jobs(&mut self, cx: &mut Cx<'_>) {
        if let Some(layout) = self.recovery.layout {
            self.scan_jobs(layout, cx);
        }
    }

    /// Retries failed reads and writes of the recovery, and checks whether it is
    /// complete.
    pub(crate) fn tick_recovery(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let scans = self.recovery.scans.iter().enumerate();
        let due: Vec<usize> = scans
            .filter(|(_, scan)| scan.retry_at.is_some_and(|at| now >= at))
            .map(|(index, _)| index)
            .collect();
        for index in due {
            self.request_page(index, cx);
        }
        self.retry_fences(cx);
        self.retry_division(cx);
        self.finish_recovery(cx);
    }

    /// Decides whether the records can be trusted, once no earlier owner can have a
    /// majority of the backend servers. They can unless the previous owner's last
    /// heartbeat is so old that it may have started tasks unrecorded since.
    pub(crate) fn decide_record_trust(&mut self, cx: &mut Cx<'_>) {
        if self.recovery.records_trusted.is_some()
            || !self.recovery.tables_loaded
            || (self.recovery.prior_orders_until.is_none()
                && self.predecessor_may_have_majority(cx))
        {
            return;
        }
        let timing = &cx.settings.timing;
        self.recovery.predecessors_superseded(timing, cx.now());
        let clock = cx.term.store_clock(cx.now());
        let silence = self
            .recovery
            .last_heartbeat
            .map(|heartbeat| clock.saturating_sub(heartbeat));
        let recent = silence.is_none_or(|silence| silence < cx.settings.timing.record_trust_window);
        let trusted = recent || self.recovery.released_recorded;
        self.recovery.records_trusted = Some(trusted);
        if !trusted {
            self.give_up_inherited_tasks(cx);
        }
        self.place_due = true;
        self.mark_inherited_terminal_jobs();
    }

    /// True when a majority of the backend servers in the stored roster has answered in
    /// this owner's epoch, each within `max_age`. Incarnations that have terminated count
    /// until the roster is stored without them, since a successor counts by it.
    pub(crate) fn has_majority(&self, now: Duration, max_age: Duration) -> bool {
        let (mut reachable, mut all) = (0_usize, 0_usize);
        let servers = self.fleet.servers.iter();
        for server in servers.filter(|server| server.in_stored_roster) {
            let recent = now < server.last_answer_at + max_age;
            all += 1;
            reachable += usize::from(server.state == ServerState::Held && recent);
        }
        reachable * 2 > all || all == 0
    }

    /// True while so many backend servers of the inherited roster may answer an earlier
    /// owner that they can be a majority.
    fn predecessor_may_have_majority(&self, cx: &Cx<'_>) -> bool {
        let inherited = self.fleet.servers.iter().filter(|s| s.in_inherited_roster);
        let (mut unfenced, mut all) = (0_usize, 0_usize);
        for server in inherited {
            let fenced = match server.state {
                ServerState::Held | ServerState::Ended => true,
                ServerState::Discovered | ServerState::InRoster | ServerState::GivenUp => {
                    server.is_gone(&cx.settings.timing, cx.now())
                }
            };
            all += 1;
            unfenced += usize::from(!fenced);
        }
        unfenced * 2 > all
    }

    /// Logs the recovery once, and clears the `inherited` flag of backend servers
    /// once no order of an earlier owner can be in effect.
    fn finish_recovery(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.tables_loaded || !self.recovery.registry_loaded {
            return;
        }
        let inherited: Vec<ServerIx> = self.inherited_servers().collect();
        if !self.recovery.logged {
            self.recovery.logged = true;
            cx.log(Notice::Recovered {
                epoch: cx.term.epoch(),
                jobs: self.ledger.jobs.len() as u32,
                servers: self.fleet.live().count() as u32,
                unreached: inherited.len() as u32,
            });
        }
        // Without a write confirmed since, a successor may keep runs alive.
        let ended = |until| cx.now() >= until && cx.term.confirmed_at >= until;
        let all_ended = self.recovery.prior_orders_until.is_some_and(ended);
        if all_ended && !std::mem::replace(&mut self.recovery.prior_orders_ended, true) {
            for ix in inherited {
                self.fleet.get_mut(ix).inherited = false;
            }
            self.mark_inherited_terminal_jobs();
        }
    }

    /// Once no unknown runs can exist, marks inherited jobs in a terminal stage to be
    /// written, so that their rows are deleted, and requests a placement pass.
    pub(crate) fn mark_inherited_terminal_jobs(&mut self) {
        if self.may_have_unknown_runs() {
            return;
        }
        self.place_due = true;
        let ended = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, job)| job.inherited && job.stage.is_terminal());
        let ended: Vec<JobIx> = ended.map(|(ix, _)| *ix).collect();
        for ix in ended {
            self.mark_dirty(ix);
        }
    }

    /// Backend servers that may run tasks of an earlier owner that are not yet known.
    fn inherited_servers(&self) -> impl Iterator<Item = ServerIx> + '_ {
        self.fleet.live().filter(|ix| self.fleet.get(*ix).inherited)
    }

    /// Upper bound on the resources that unknown runs of any one team may use.
    pub(crate) fn unknown_usage(&self) -> Resources {
        if !self.may_have_unknown_runs() {
            return Resources::ZERO;
        }
        let capacities = self
            .inherited_servers()
            .map(|ix| self.fleet.get(ix).peak_capacity);
        capacities.fold(Resources::ZERO, Resources::plus)
    }

    /// True while runs that an earlier owner ordered may exist without being known
    /// to this one.
    pub(crate) fn may_have_unknown_runs(&self) -> bool {
        match self.recovery.records_trusted {
            _ if !self.recovery.tables_loaded => true,
            None => true,
            Some(trusted) => !trusted && self.inherited_servers().next().is_some(),
        }
    }

    /// True while a task of an inherited step may run without being known to this
    /// owner: on a backend server with room for it that may have unknown runs.
    pub(crate) fn may_run_unknown(&self, spec: &Step) -> bool {
        let each = spec.committed();
        let mut servers = self.inherited_servers();
        match self.recovery.records_trusted {
            _ if !self.recovery.tables_loaded => true,
            None => true,
            Some(true) => false,
            Some(false) => servers.any(|ix| each.fits(&self.fleet.get(ix).peak_capacity)),
        }
    }
}
