//! Recovery of the state of an earlier owner: first from the rows, then from the
//! backend servers' lists. Also follows the job table during the term.
//!
//! Invariant: no task starts that could be running on a backend server of the
//! roster that has not answered and may still carry out orders of an earlier
//! owner.

use std::collections::HashMap;
use std::time::Duration;

use model::{JobId, Name, Resources, Row};

use crate::accounts;
use crate::event::{
    CallId, ChangeFeed, Effect, Listing, StoreError, StoreResponse, Table, live_value,
};
use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{Job, JobIx, RunState, StepRef};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};
use crate::rows::{self, Heartbeat, JobKey, JobRecord, RosterEntry, RunRecord, Submission};

/// Maximum number of rows in one page of a scan.
const PAGE_ROWS: u32 = 500;
/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Long-poll time for changes of the job table.
const FOLLOW_WAIT: Duration = Duration::from_millis(5_000);

/// A scan of a whole table.
#[derive(Debug, Default)]
struct TableScan {
    rows: Vec<Row>,
    call: Option<CallId>,
    /// First key of the next page, without the table's prefix.
    from: Name,
    retry_at: Option<Duration>,
    /// Version of the table at the first page; changes after it are followed.
    version: Option<u64>,
    complete: bool,
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
    scans: HashMap<&'static str, TableScan>,
    follow_call: Option<CallId>,
    follow_at: Option<Duration>,
    /// Version up to which changes of the job table were applied.
    followed_version: u64,
    /// When no order of an earlier owner can be in effect any more.
    prior_orders_until: Duration,
    /// The end of the recovery was logged.
    logged: bool,
    /// Time of the previous owner's last heartbeat, on the table service's clock;
    /// `None` when there is none.
    last_heartbeat: Option<Duration>,
    /// Whether the records cover all runs that may exist; `None` until a majority
    /// of the backend servers has answered.
    records_trusted: Option<bool>,
}

impl Recovery {
    pub(crate) fn new(began_at: Duration) -> Self {
        Self {
            began_at,
            ..Self::default()
        }
    }

    /// True when the term began at least `age` ago.
    pub(crate) fn has_lasted(&self, age: Duration, now: Duration) -> bool {
        now >= self.began_at + age
    }

    /// True while an earlier owner may still send orders, or its orders may still
    /// be in effect.
    pub(crate) fn may_have_prior_orders(&self, now: Duration) -> bool {
        now < self.prior_orders_until
    }
}

/// Tables scanned at the start of a term.
const TABLES: [Table; 3] = [Table::Cell, Table::Job, Table::State];

impl Owner {
    /// Starts the scans of all tables.
    pub(crate) fn start_scans(&mut self, cx: &mut Cx<'_>) {
        let timing = &cx.settings.timing;
        let longest = timing.ownership_validity + timing.lease.div_f64(timing.min_clock_rate);
        self.recovery.prior_orders_until = cx.now() + longest;
        for table in TABLES {
            let scan = TableScan::default();
            self.recovery.scans.insert(table.prefix(), scan);
            self.request_page(table, cx);
        }
    }

    /// Requests the next page of a scan.
    fn request_page(&mut self, table: Table, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        let Some(scan) = self.recovery.scans.get_mut(table.prefix()) else {
            return;
        };
        scan.call = Some(call);
        scan.retry_at = None;
        cx.out.push(Effect::Scan {
            call,
            table,
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
        let scans = &self.recovery.scans;
        let is_ours = |table: &Table| {
            let scan = scans.get(table.prefix());
            scan.is_some_and(|scan| scan.call == Some(call))
        };
        let Some(table) = TABLES.into_iter().find(is_ours) else {
            return false;
        };
        let Some(scan) = self.recovery.scans.get_mut(table.prefix()) else {
            return true;
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
            let key = last.key.strip_prefix(table.prefix()).unwrap_or_default();
            // The smallest key greater than the last one read.
            scan.from = compact_str::format_compact!("{key}\u{0}");
            self.request_page(table, cx);
        }
        if self.recovery.scans.values().all(|scan| scan.complete) {
            self.load_tables(cx);
        }
        true
    }

    /// Loads the scanned rows: the whole state at the start of a term, or jobs
    /// alone after a rescan.
    fn load_tables(&mut self, cx: &mut Cx<'_>) {
        let mut scans = std::mem::take(&mut self.recovery.scans);
        let mut take = |table: Table| scans.remove(table.prefix()).unwrap_or_default();
        let (cell, jobs, states) = (take(Table::Cell), take(Table::Job), take(Table::State));
        self.recovery.followed_version = jobs.version.unwrap_or(0);
        // A rescan finds new jobs only if they were accepted during this term.
        let first = !self.recovery.tables_loaded;
        self.load_roster(&cell.rows, cx);
        for row in &jobs.rows {
            self.apply_job_row(row, first, cx);
        }
        self.load_states(&states.rows, cx);
        self.recovery.tables_loaded = true;
        self.recovery.follow_at = Some(cx.now());
        self.place_due = true;
        if first {
            self.load_last_heartbeat(&cell.rows);
            self.log_owner(self.recovery.began_at, cx);
        }
    }

    /// Loads the time of the previous owner's last heartbeat.
    fn load_last_heartbeat(&mut self, rows: &[Row]) {
        let row = rows.iter().find(|row| row.key == rows::HEARTBEAT_KEY);
        // A heartbeat that is malformed, or that reports missing records, counts as
        // sent at time zero, so that the records are not trusted.
        self.recovery.last_heartbeat = row.and_then(live_value).map(|bytes| {
            let heartbeat = rows::decode::<Heartbeat>(bytes).filter(|heartbeat| heartbeat.recorded);
            heartbeat.map_or(Duration::ZERO, |heartbeat| heartbeat.clock)
        });
    }

    fn load_roster(&mut self, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::ROSTER_KEY);
        let Some(bytes) = row.and_then(live_value) else {
            return;
        };
        let Some(roster) = rows::decode::<Vec<RosterEntry>>(bytes) else {
            cx.log(Notice::RowMalformed {
                key: rows::ROSTER_KEY.into(),
            });
            return;
        };
        for entry in roster {
            self.load_roster_entry(entry);
        }
    }

    fn load_roster_entry(&mut self, entry: RosterEntry) {
        let prior_orders_until = self.recovery.prior_orders_until;
        let listed = self.fleet.find(&entry.id);
        let same = |ix: &ServerIx| self.fleet.get(*ix).listing.incarnation == entry.incarnation;
        let ix = match listed.filter(same) {
            Some(ix) => ix,
            // Another incarnation is in the registry, so this one has terminated.
            None if listed.is_some() => return,
            None => self.fleet.add(
                Listing {
                    id: entry.id,
                    incarnation: entry.incarnation,
                    address: entry.address,
                    capacity: entry.capacity,
                    ..Listing::default()
                },
                false,
            ),
        };
        let server = self.fleet.get_mut(ix);
        server.inherited = true;
        server.state = ServerState::InRoster;
        server.leases_expire_at = prior_orders_until;
    }

    fn load_states(&mut self, rows: &[Row], cx: &mut Cx<'_>) {
        for row in rows {
            let id = row.key.strip_prefix(Table::State.prefix());
            let id = JobId::from(id.unwrap_or_default());
            let record = live_value(row).and_then(|bytes| rows::decode::<JobRecord>(bytes));
            match (self.ledger.find(&id), record) {
                (Some(ix), Some(record)) => {
                    self.restore_job(ix, row.cell.version, &record, cx.now());
                }
                (None, Some(record)) if record.stage.is_terminal() => {
                    let at = cx.now() + cx.settings.timing.state_retention;
                    self.commits.expire(at, id);
                }
                (None, Some(_)) => {}
                (_, None) if row.cell.value.is_empty() => {}
                (_, None) => cx.log(Notice::RowMalformed {
                    key: row.key.clone(),
                }),
            }
        }
    }

    /// Restores a job from its state row.
    fn restore_job(&mut self, ix: JobIx, version: u64, record: &JobRecord, now: Duration) {
        let Some(job) = self.ledger.jobs.get_mut(&ix) else {
            return;
        };
        job.restore(version, record);
        let is_terminal = job.stage.is_terminal();
        for ((id, _), runs) in &record.placed {
            self.restore_runs(ix, id, runs, now);
        }
        if is_terminal {
            self.mark_dirty(ix);
        }
    }

    /// Places recorded runs on the current incarnation of their backend server.
    /// They are dropped if the backend server is no longer in use.
    fn restore_runs(&mut self, job: JobIx, id: &Name, runs: &[RunRecord], now: Duration) {
        // An order meant for one incarnation may have reached the next one, so the
        // recorded incarnation is ignored.
        let Some(server) = self.fleet.find(id) else {
            return;
        };
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
                match rows::decode::<Submission>(bytes) {
                    Some(submission) => {
                        let version = row.cell.version;
                        let mut job = Job::new(id, version, submission, inherited, cx.now());
                        // The arrival time of an inherited job is unknown, so it does
                        // not count against its team's rate.
                        job.beyond_rate = !inherited && !self.is_within_rate(&job.team, cx);
                        let queue = cx.config.queue(&job.queue);
                        job.urgent = queue.is_some_and(|queue| queue.priority == 0);
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
        self.recovery.follow_call = Some(call);
        self.recovery.follow_at = None;
        cx.out.push(Effect::Follow {
            call,
            table: Table::Job,
            after: self.recovery.followed_version,
            wait: FOLLOW_WAIT,
        });
    }

    /// Handles changes of the job table. Returns false when the call did not ask
    /// for them.
    pub(crate) fn jobs_followed(
        &mut self,
        call: CallId,
        result: &Result<ChangeFeed, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        if self.recovery.follow_call.take_if(|f| *f == call).is_none() {
            return false;
        }
        match result {
            Ok(feed) => {
                for row in &feed.rows {
                    self.apply_job_row(row, false, cx);
                }
                self.recovery.followed_version = self.recovery.followed_version.max(feed.version);
                self.recovery.follow_at = Some(cx.now());
            }
            Err(StoreError::HistoryLost) => self.rescan_jobs(cx),
            Err(_) => self.recovery.follow_at = Some(cx.now() + READ_RETRY_DELAY),
        }
        true
    }

    /// Scans the whole job table again, after its change history was truncated.
    fn rescan_jobs(&mut self, cx: &mut Cx<'_>) {
        let scan = TableScan::default();
        self.recovery.scans.insert(Table::Job.prefix(), scan);
        self.request_page(Table::Job, cx);
    }

    /// Retries failed reads and checks whether the recovery is complete.
    pub(crate) fn tick_recovery(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let due = |table: &Table| {
            let scan = self.recovery.scans.get(table.prefix());
            scan.is_some_and(|r| r.retry_at.is_some_and(|at| now >= at))
        };
        let due_tables: Vec<Table> = TABLES.into_iter().filter(due).collect();
        for table in due_tables {
            self.request_page(table, cx);
        }
        self.finish_recovery(cx);
    }

    /// Decides whether the records can be trusted, once a majority of the backend
    /// servers has answered. They can unless the previous owner's last heartbeat is
    /// so old that it may have started tasks unrecorded since.
    pub(crate) fn decide_record_trust(&mut self, cx: &mut Cx<'_>) {
        if self.recovery.records_trusted.is_some()
            || !self.recovery.tables_loaded
            || !self.has_majority(None)
        {
            return;
        }
        let clock = cx.term.store_clock(cx.now());
        let silence = self
            .recovery
            .last_heartbeat
            .map(|heartbeat| clock.saturating_sub(heartbeat));
        let trusted =
            silence.is_none_or(|silence| silence < cx.settings.timing.record_trust_window);
        self.recovery.records_trusted = Some(trusted);
        self.place_due = true;
    }

    /// True when a majority of the backend servers in use has answered in this
    /// owner's epoch. `within` is the current time and a maximum age of the last
    /// response.
    pub(crate) fn has_majority(&self, within: Option<(Duration, Duration)>) -> bool {
        let (mut reachable, mut all) = (0_usize, 0_usize);
        for ix in self.fleet.live() {
            let server = self.fleet.get(ix);
            let recent = within.is_none_or(|(now, age)| now < server.last_answer_at + age);
            let used = server.state != ServerState::Discovered;
            all += usize::from(used);
            reachable += usize::from(server.state == ServerState::Held && recent);
        }
        reachable * 2 > all || all == 0
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
        if !self.recovery.may_have_prior_orders(cx.now()) {
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
            .map(|ix| self.fleet.get(ix).listing.capacity);
        capacities.fold(Resources::ZERO, Resources::plus)
    }

    /// True while runs that an earlier owner ordered may exist without being known
    /// to this one.
    pub(crate) fn may_have_unknown_runs(&self) -> bool {
        let trusted = self.recovery.records_trusted == Some(true);
        let undecided = self.recovery.records_trusted.is_none();
        !self.recovery.tables_loaded
            || undecided
            || (!trusted && self.inherited_servers().next().is_some())
    }
}
