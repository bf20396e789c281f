//! Rate-limited group commit of table writes, and matching of responses to
//! calls.
//!
//! Invariant: each queued transaction gets exactly one result: the version
//! written, or an error that states whether it may have taken effect. The rate of
//! write calls stays within the configured budget.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::{Cell, Epoch, JobId, Name, Row, TableError, Transaction};

use crate::event::{Effect, TableCall};

/// Maximum number of transactions per commit call.
const MAX_BATCH: usize = 64;
/// Maximum number of commit calls in flight.
const MAX_IN_FLIGHT: usize = 4;
/// Maximum number of queued transactions.
const MAX_QUEUED: usize = 4_096;
/// Capacity of the token bucket for write calls: the burst allowed after an
/// idle period.
const WRITE_BURST: f64 = 4.0;

/// Successful response of the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum TableResponse {
    /// Result of a read.
    Read {
        /// Requested rows; `None` if a row has not changed.
        rows: Vec<(Name, Option<Cell>)>,
        /// Rows of each scanned prefix, with the store version of the scan.
        scans: Vec<(Vec<Row>, u64)>,
    },
    /// Result of each transaction: the version assigned to its writes.
    Committed(Vec<Result<u64, TableError>>),
}

/// Purpose of a call, by which its result is dispatched.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// Poll of the configuration and ownership rows and, on an owner, of its
    /// jobs and all allotments. Carries the epoch known when it was sent.
    Poll(Epoch),
    /// Creation or change of the configuration.
    Change,
    /// Read-back of a configuration change with an unknown outcome.
    ChangeCheck,
    /// Claim of an idempotency key for a request.
    Claim(u64),
    /// Read of an existing claim.
    ClaimCheck(u64),
    /// Write of a request outcome; no caller waits for it.
    Outcome(u64),
    /// Write that accepts a job.
    Accept(u64),
    /// Read of the idempotency row of a job.
    AcceptCheck(u64),
    /// Commit of the next epoch of a data centre.
    TakeOver(Name),
    /// Release of the ownership of a data centre.
    Release(Name),
    /// Write or deletion of a job row under an epoch.
    Save(Epoch, JobId),
    /// Write of a team's allotment row under an epoch.
    Allot(Epoch, Name),
}

/// Client state for the table service: queued writes and calls in flight.
#[derive(Debug)]
pub(crate) struct Store {
    last_call_id: u64,
    in_flight: BTreeMap<u64, (Vec<Purpose>, Duration)>,
    queue: VecDeque<(Transaction, Purpose, Duration)>,
    commits_in_flight: usize,
    tokens: f64,
    writes_per_second: f64,
    refilled_at: Duration,
    pub(crate) last_success_at: Option<Duration>,
    consecutive_failures: u32,
}

impl Store {
    pub(crate) fn new(writes_per_second: u32) -> Self {
        Self {
            last_call_id: 0,
            in_flight: BTreeMap::new(),
            queue: VecDeque::new(),
            commits_in_flight: 0,
            tokens: WRITE_BURST,
            writes_per_second: f64::from(writes_per_second.max(1)),
            refilled_at: Duration::ZERO,
            last_success_at: None,
            consecutive_failures: 0,
        }
    }

    /// Returns whether the last two calls failed or none has succeeded yet.
    pub(crate) fn is_down(&self) -> bool {
        self.consecutive_failures >= 2 || self.last_success_at.is_none()
    }

    /// Sends a read without queueing it.
    pub(crate) fn read(&mut self, call: TableCall, purpose: Purpose, now: Duration) -> Effect {
        self.last_call_id += 1;
        self.in_flight
            .insert(self.last_call_id, (vec![purpose], now));
        Effect::Table {
            id: self.last_call_id,
            call,
        }
    }

    /// Returns whether a call with this purpose is queued or in flight.
    pub(crate) fn is_pending(&self, purpose: &Purpose) -> bool {
        self.queue.iter().any(|(_, p, _)| p == purpose)
            || self.in_flight.values().any(|(p, _)| p.contains(purpose))
    }

    /// Queues a write until `deadline`; returns false if the queue is full.
    pub(crate) fn write(
        &mut self,
        transaction: Transaction,
        purpose: Purpose,
        deadline: Duration,
    ) -> bool {
        let room = self.queue.len() < MAX_QUEUED;
        if room {
            self.queue.push_back((transaction, purpose, deadline));
        }
        room
    }

    /// Sends queued writes within the rate limit, and returns the purposes of
    /// writes whose deadline passed while they were queued.
    pub(crate) fn flush(&mut self, now: Duration, out: &mut Vec<Effect>) -> Vec<Purpose> {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * self.writes_per_second).min(WRITE_BURST);
        let expired = self.take_expired(now);
        let limit = if self.is_down() { 1 } else { MAX_IN_FLIGHT };
        while !self.queue.is_empty() && self.commits_in_flight < limit && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.commits_in_flight += 1;
            let count = self.queue.len().min(MAX_BATCH);
            let (mut batch, mut purposes) = (Vec::new(), Vec::new());
            for (transaction, purpose, _) in self.queue.drain(..count) {
                batch.push(transaction);
                purposes.push(purpose);
            }
            self.last_call_id += 1;
            self.in_flight.insert(self.last_call_id, (purposes, now));
            out.push(Effect::Table {
                id: self.last_call_id,
                call: TableCall::Commit(batch),
            });
        }
        expired
    }

    fn take_expired(&mut self, now: Duration) -> Vec<Purpose> {
        let mut expired = Vec::new();
        self.queue.retain(|(_, purpose, deadline)| {
            let over = *deadline <= now;
            if over {
                expired.push(purpose.clone());
            }
            !over
        });
        expired
    }

    /// Matches a response to the purposes of its call, and returns each with its
    /// result and the time at which the call was sent.
    pub(crate) fn complete(
        &mut self,
        id: u64,
        result: Result<TableResponse, TableError>,
        now: Duration,
    ) -> Vec<(Purpose, Result<TableResponse, TableError>, Duration)> {
        let Some((purposes, sent_at)) = self.in_flight.remove(&id) else {
            return Vec::new();
        };
        match &result {
            Ok(_) => {
                self.last_success_at = Some(now);
                self.consecutive_failures = 0;
            }
            Err(_) => self.consecutive_failures = self.consecutive_failures.saturating_add(1),
        }
        let is_commit = purposes.iter().any(Purpose::is_write);
        if is_commit {
            self.commits_in_flight -= 1;
        }
        match result {
            Ok(TableResponse::Committed(each)) if each.len() == purposes.len() => purposes
                .into_iter()
                .zip(each)
                .map(|(p, r)| (p, r.map(|v| TableResponse::Committed(vec![Ok(v)])), sent_at))
                .collect(),
            // The response does not match the commit, which may have taken
            // effect.
            Ok(_) if is_commit => purposes
                .into_iter()
                .map(|p| (p, Err(TableError::Unknown), sent_at))
                .collect(),
            other => purposes
                .into_iter()
                .map(|p| (p, other.clone(), sent_at))
                .collect(),
        }
    }
}

impl Purpose {
    const fn is_write(&self) -> bool {
        matches!(
            self,
            Self::Change
                | Self::Claim(_)
                | Self::Outcome(_)
                | Self::Accept(_)
                | Self::TakeOver(_)
                | Self::Release(_)
                | Self::Save(..)
                | Self::Allot(..)
        )
    }
}

/// Returns the version assigned by a committed transaction.
pub(crate) fn committed_version(response: &TableResponse) -> u64 {
    match response {
        TableResponse::Committed(each) => each.iter().flatten().copied().next().unwrap_or(0),
        _ => 0,
    }
}

/// Returns the first row of a successful read.
pub(crate) fn first_row(result: Result<TableResponse, TableError>) -> Option<Cell> {
    match result {
        Ok(TableResponse::Read { rows, .. }) => rows.into_iter().next()?.1,
        _ => None,
    }
}

/// Builds an unconditional read of one row.
pub(crate) fn read_row(key: Name) -> TableCall {
    TableCall::Read {
        rows: vec![(key, 0)],
        scans: Vec::new(),
    }
}
