//! Rebuilding what an earlier owner knew: rows first, then the backend
//! servers' lists.
//!
//! Invariant: while a backend server of the roster has not answered and may
//! still run what an earlier owner ordered, no task starts that could be
//! running there.

use std::collections::HashMap;
use std::time::Duration;

use model::{JobId, Name, Resources, Row};

use crate::accounts;
use crate::event::{
    CallId, ChangeFeed, Effect, Listing, StoreError, StoreResponse, Table, live_value,
};
use crate::fleet::{ServerIx, Standing};
use crate::ledger::{Job, JobIx, Life, StepRef};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};
use crate::rows::{self, Beat, JobKey, PlacedRecord, Record, Rostered, Submission};

/// Rows read by one call.
const PAGE: u32 = 500;
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(100);
/// Longest wait for changes of the job table.
const FOLLOW_WAIT: Duration = Duration::from_millis(5_000);

/// A table that is read at the start of a term.
#[derive(Debug, Default)]
struct Reading {
    rows: Vec<Row>,
    call: Option<CallId>,
    from: Name,
    retry_at: Option<Duration>,
    version: Option<u64>,
    done: bool,
}

/// Progress of a takeover, and the following of the job table.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// Jobs are known.
    pub(crate) loaded: bool,
    /// The registry was read.
    pub(crate) listed: bool,
    since: Duration,
    readings: HashMap<&'static str, Reading>,
    follow: Option<CallId>,
    follow_at: Option<Duration>,
    followed: u64,
    /// When nothing ordered by an earlier owner can run any more.
    unseen_until: Duration,
    reported: bool,
    /// The table service's clock at the last owner's last sign of life.
    last_sign: Option<Duration>,
    /// Whether the records say all that may run; `None` until a majority of
    /// the backend servers has answered.
    sighted: Option<bool>,
}

impl Recovery {
    pub(crate) fn new(since: Duration) -> Self {
        Self {
            since,
            ..Self::default()
        }
    }

    /// True when the term began at least `age` ago.
    pub(crate) fn has_lasted(&self, age: Duration, now: Duration) -> bool {
        now >= self.since + age
    }

    /// True while an earlier owner may still send orders or have sent some
    /// that are carried out.
    pub(crate) fn unseen_at(&self, now: Duration) -> bool {
        now < self.unseen_until
    }
}

/// Tables read at the start of a term.
const TABLES: [Table; 3] = [Table::Cell, Table::Job, Table::State];

impl Owner {
    /// Reads all rows.
    pub(crate) fn read_rows(&mut self, cx: &mut Cx<'_>) {
        let timing = &cx.settings.timing;
        let longest = timing.ownership_validity + timing.lease.div_f64(timing.min_clock_rate);
        self.recovery.unseen_until = cx.now() + longest;
        for table in TABLES {
            let reading = Reading::default();
            self.recovery.readings.insert(table.prefix(), reading);
            self.read_page(table, cx);
        }
    }

    fn read_page(&mut self, table: Table, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        let Some(reading) = self.recovery.readings.get_mut(table.prefix()) else {
            return;
        };
        reading.call = Some(call);
        reading.retry_at = None;
        cx.out.push(Effect::Scan {
            call,
            table,
            from: reading.from.clone(),
            limit: PAGE,
        });
    }

    /// Takes in a page. False when the call is not one of these.
    pub(crate) fn page_read(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let readings = &self.recovery.readings;
        let is_ours = |table: &Table| {
            let reading = readings.get(table.prefix());
            reading.is_some_and(|reading| reading.call == Some(call))
        };
        let Some(table) = TABLES.into_iter().find(is_ours) else {
            return false;
        };
        let Some(reading) = self.recovery.readings.get_mut(table.prefix()) else {
            return true;
        };
        reading.call = None;
        let Ok(StoreResponse::Rows {
            rows,
            more,
            version,
            clock,
        }) = result
        else {
            reading.retry_at = Some(cx.now() + RETRY);
            return true;
        };
        cx.term.set_clock(*clock, cx.now());
        reading.version.get_or_insert(*version);
        reading.rows.extend(rows.iter().cloned());
        reading.done = !more;
        if let Some(last) = rows.last().filter(|_| *more) {
            let key = last.key.strip_prefix(table.prefix()).unwrap_or_default();
            // The smallest key after the last one read.
            reading.from = compact_str::format_compact!("{key}\u{0}");
            self.read_page(table, cx);
        }
        if self.recovery.readings.values().all(|reading| reading.done) {
            self.load(cx);
        }
        true
    }

    fn load(&mut self, cx: &mut Cx<'_>) {
        let mut readings = std::mem::take(&mut self.recovery.readings);
        let mut take = |table: Table| readings.remove(table.prefix()).unwrap_or_default();
        let (cell, jobs, states) = (take(Table::Cell), take(Table::Job), take(Table::State));
        self.recovery.followed = jobs.version.unwrap_or(0);
        // A job that is read again after the start of the term was accepted
        // during it.
        let first = !self.recovery.loaded;
        self.load_roster(&cell.rows, cx);
        for row in &jobs.rows {
            self.take_job_row(row, first, cx);
        }
        self.load_states(&states.rows, cx);
        self.recovery.loaded = true;
        self.recovery.follow_at = Some(cx.now());
        self.place_due = true;
        if first {
            self.note_last_sign(&cell.rows);
            self.log_owner(self.recovery.since, cx);
        }
    }

    /// Reads when the last owner was last known to own.
    fn note_last_sign(&mut self, rows: &[Row]) {
        let row = rows.iter().find(|row| row.key == rows::BEAT);
        // Without complete records, or when it can't be read, the sign counts
        // as endlessly old.
        self.recovery.last_sign = row.and_then(live_value).map(|bytes| {
            let beat = rows::decode::<Beat>(bytes).filter(|beat| beat.recorded);
            beat.map_or(Duration::ZERO, |beat| beat.clock)
        });
    }

    fn load_roster(&mut self, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::ROSTER);
        let Some(bytes) = row.and_then(live_value) else {
            return;
        };
        let Some(roster) = rows::decode::<Vec<Rostered>>(bytes) else {
            cx.log(Notice::RowMalformed {
                key: rows::ROSTER.into(),
            });
            return;
        };
        for entry in roster {
            self.inherit_server(entry);
        }
    }

    fn inherit_server(&mut self, entry: Rostered) {
        let unseen_until = self.recovery.unseen_until;
        let listed = self.fleet.find(&entry.id);
        let same = |ix: &ServerIx| self.fleet.get(*ix).listing.incarnation == entry.incarnation;
        let ix = match listed.filter(same) {
            Some(ix) => ix,
            // A newer incarnation is listed: this one is over.
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
        server.standing = Standing::Rostered;
        server.lapses_at = unseen_until;
    }

    fn load_states(&mut self, rows: &[Row], cx: &mut Cx<'_>) {
        for row in rows {
            let id = row.key.strip_prefix(Table::State.prefix());
            let id = JobId::from(id.unwrap_or_default());
            let record = live_value(row).and_then(|bytes| rows::decode::<Record>(bytes));
            match (self.ledger.find(&id), record) {
                (Some(ix), Some(record)) => {
                    self.restore(ix, row.cell.version, &record, cx.now());
                }
                (None, Some(record)) if record.stage.is_final() => {
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

    fn restore(&mut self, ix: JobIx, version: u64, record: &Record, now: Duration) {
        let Some(job) = self.ledger.jobs.get_mut(&ix) else {
            return;
        };
        job.restore(version, record);
        let over = job.stage.is_final();
        for ((id, _), runs) in &record.placed {
            self.restore_runs(ix, id, runs, now);
        }
        if over {
            self.mark_dirty(ix);
        }
    }

    /// Counts recorded runs on the backend server that may run them, unless it
    /// is not in use any more.
    fn restore_runs(&mut self, job: JobIx, id: &Name, runs: &[PlacedRecord], now: Duration) {
        // An order for one incarnation may have reached the next one.
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
                entry.open(occurrence);
            }
            let owner = &mut *self;
            accounts::begin(
                &mut owner.ledger,
                &mut owner.fleet,
                &mut owner.accounts,
                step.task(index).run(number),
                server,
                Life::Running,
                now,
            );
        }
    }

    /// Takes in a row of the job table.
    fn take_job_row(&mut self, row: &Row, inherited: bool, cx: &mut Cx<'_>) {
        match (rows::parse_job_key(&row.key), live_value(row)) {
            (Some(JobKey::Submission(id)), Some(bytes)) => {
                if self.ledger.find(&id).is_some() || self.commits.has_ended(&id) {
                    return;
                }
                match rows::decode::<Submission>(bytes) {
                    Some(submission) => {
                        let version = row.cell.version;
                        let mut job = Job::new(id, version, submission, inherited, cx.now());
                        // When an inherited job came is not known.
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
            (Some(JobKey::Cancel(id)), Some(_)) => self.cancel(&id, cx),
            (Some(_), None) => {}
            (None, _) => cx.log(Notice::RowMalformed {
                key: row.key.clone(),
            }),
        }
    }

    fn cancel(&mut self, id: &JobId, cx: &mut Cx<'_>) {
        let Some(ix) = self.ledger.find(id) else {
            return;
        };
        if let Some(job) = self.ledger.jobs.get_mut(&ix) {
            job.cancelled = true;
            cx.log(Notice::Cancelled { job: id.clone() });
            self.close(ix, model::Stage::Cancelled, cx);
        }
    }

    /// Waits for changes of the job table, when that is due.
    pub(crate) fn follow_jobs(&mut self, cx: &mut Cx<'_>) {
        let due = self.recovery.follow_at.is_some_and(|at| cx.now() >= at);
        if !due || self.recovery.follow.is_some() {
            return;
        }
        let call = cx.next_call_id();
        self.recovery.follow = Some(call);
        self.recovery.follow_at = None;
        cx.out.push(Effect::Follow {
            call,
            table: Table::Job,
            after: self.recovery.followed,
            wait: FOLLOW_WAIT,
        });
    }

    /// Takes in changes of the job table. False when the call is not ours.
    pub(crate) fn jobs_followed(
        &mut self,
        call: CallId,
        result: &Result<ChangeFeed, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        if self.recovery.follow.take_if(|f| *f == call).is_none() {
            return false;
        }
        match result {
            Ok(feed) => {
                for row in &feed.rows {
                    self.take_job_row(row, false, cx);
                }
                self.recovery.followed = self.recovery.followed.max(feed.version);
                self.recovery.follow_at = Some(cx.now());
            }
            Err(StoreError::HistoryLost) => self.reread_jobs(cx),
            Err(_) => self.recovery.follow_at = Some(cx.now() + RETRY),
        }
        true
    }

    /// Reads the job table whole, since changes of it were missed.
    fn reread_jobs(&mut self, cx: &mut Cx<'_>) {
        let reading = Reading::default();
        self.recovery.readings.insert(Table::Job.prefix(), reading);
        self.read_page(Table::Job, cx);
    }

    /// Periodic work.
    pub(crate) fn tick_recovery(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let due = |table: &Table| {
            let reading = self.recovery.readings.get(table.prefix());
            reading.is_some_and(|r| r.retry_at.is_some_and(|at| now >= at))
        };
        let late: Vec<Table> = TABLES.into_iter().filter(due).collect();
        for table in late {
            self.read_page(table, cx);
        }
        self.settle_inheritance(cx);
    }

    /// Decides whether the records can be trusted, once a majority of the
    /// backend servers obeys this owner.
    pub(crate) fn judge_records(&mut self, cx: &mut Cx<'_>) {
        if self.recovery.sighted.is_some() || !self.recovery.loaded || !self.has_majority(None) {
            return;
        }
        let clock = cx.term.clock(cx.now());
        let since = self
            .recovery
            .last_sign
            .map(|sign| clock.saturating_sub(sign));
        let sighted = since.is_none_or(|since| since < cx.settings.timing.record_trust_window);
        self.recovery.sighted = Some(sighted);
        self.place_due = true;
    }

    /// True when a majority of the backend servers in use has answered to this
    /// owner's epoch, within `age` of now when given.
    pub(crate) fn has_majority(&self, within: Option<(Duration, Duration)>) -> bool {
        let (mut heard, mut all) = (0_usize, 0_usize);
        for ix in self.fleet.live() {
            let server = self.fleet.get(ix);
            let recent = within.is_none_or(|(now, age)| now < server.heard_at + age);
            let used = server.standing != Standing::Found;
            all += usize::from(used);
            heard += usize::from(server.standing == Standing::Held && recent);
        }
        heard * 2 > all || all == 0
    }

    /// Lets go of what an earlier owner may have started, once nothing of it
    /// can run unseen.
    fn settle_inheritance(&mut self, cx: &mut Cx<'_>) {
        if !self.recovery.loaded || !self.recovery.listed {
            return;
        }
        let unreached: Vec<ServerIx> = self.unreached().collect();
        if !self.recovery.reported {
            self.recovery.reported = true;
            cx.log(Notice::Recovered {
                epoch: cx.term.epoch(),
                jobs: self.ledger.jobs.len() as u32,
                servers: self.fleet.live().count() as u32,
                unreached: unreached.len() as u32,
            });
        }
        if !self.recovery.unseen_at(cx.now()) {
            for ix in unreached {
                self.fleet.get_mut(ix).inherited = false;
            }
            self.all_seen();
        }
    }

    /// Once nothing can run unseen, jobs that had ended before need no row any
    /// more.
    pub(crate) fn all_seen(&mut self) {
        if self.may_run_unseen() {
            return;
        }
        self.place_due = true;
        let ended = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, job)| job.inherited && job.stage.is_final());
        let ended: Vec<JobIx> = ended.map(|(ix, _)| *ix).collect();
        for ix in ended {
            self.mark_dirty(ix);
        }
    }

    fn unreached(&self) -> impl Iterator<Item = ServerIx> + '_ {
        self.fleet.live().filter(|ix| self.fleet.get(*ix).inherited)
    }

    /// Most that any team may have running unseen.
    pub(crate) fn unseen(&self) -> Resources {
        if !self.may_run_unseen() {
            return Resources::ZERO;
        }
        let capacities = self
            .unreached()
            .map(|ix| self.fleet.get(ix).listing.capacity);
        capacities.fold(Resources::ZERO, Resources::plus)
    }

    /// True while tasks that an earlier owner ordered may run unseen.
    pub(crate) fn may_run_unseen(&self) -> bool {
        let recorded = self.recovery.sighted == Some(true);
        let waits = self.recovery.sighted.is_none();
        !self.recovery.loaded || waits || (!recorded && self.unreached().next().is_some())
    }
}
