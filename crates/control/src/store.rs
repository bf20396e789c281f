//! Group commit of table writes within a budget, and matching of answers.
//!
//! Invariant: each queued transaction gets exactly one answer: the versions
//! written, or a fault that says whether it may have taken effect. No more
//! write calls leave per second than the budget allows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::{Cell, Epoch, Fault, JobId, Name, Row, Transaction};

use crate::event::{Effect, Tables};

/// Most transactions in one call.
const MAX_BATCH: usize = 64;
/// Most commit calls in flight.
const MAX_IN_FLIGHT: usize = 4;
/// Most transactions that wait for the store.
const MAX_QUEUED: usize = 4_096;
/// Write calls that may leave at once after a quiet time.
const WRITE_BURST: f64 = 4.0;

/// A successful answer of the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum TableResponse {
    /// Rows and prefixes read.
    Read {
        /// Rows asked for; `None` for an unchanged one.
        rows: Vec<(Name, Option<Cell>)>,
        /// For each prefix its rows and the store's version at that time.
        scans: Vec<(Vec<Row>, u64)>,
    },
    /// One result a transaction: the version given to its writes.
    Committed(Vec<Result<u64, Fault>>),
}

/// What an answer is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// Poll of the configuration and ownership rows, and, by an owner, of
    /// its jobs and all allotments; with the epoch held when it was sent.
    Poll(Epoch),
    /// Creation or change of the configuration.
    Change,
    /// Reading back an unknown change.
    ChangeCheck,
    /// Claim of an idempotency key for a request.
    Claim(u64),
    /// Reading an existing claim.
    ClaimCheck(u64),
    /// Recording of an outcome; nobody waits for it.
    Outcome(u64),
    /// Acceptance of a job.
    Accept(u64),
    /// Reading the row of an earlier acceptance.
    AcceptCheck(u64),
    /// Taking an epoch.
    TakeOver(Name),
    /// Giving an epoch up.
    Release(Name),
    /// Saving a job's progress under an epoch.
    Save(Epoch, JobId),
    /// Moving a team's allotment under an epoch.
    Allot(Epoch, Name),
}

/// Calls to the table service.
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
    consecutive_faults: u32,
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
            consecutive_faults: 0,
        }
    }

    /// True while the last calls failed.
    pub(crate) fn is_down(&self) -> bool {
        self.consecutive_faults >= 2 || self.last_success_at.is_none()
    }

    /// Sends a read at once.
    pub(crate) fn read(&mut self, call: Tables, purpose: Purpose, now: Duration) -> Effect {
        self.last_call_id += 1;
        self.in_flight
            .insert(self.last_call_id, (vec![purpose], now));
        Effect::Table {
            id: self.last_call_id,
            call,
        }
    }

    /// True when a read or write with this purpose is queued or in flight.
    pub(crate) fn is_pending(&self, purpose: &Purpose) -> bool {
        self.queue.iter().any(|(_, p, _)| p == purpose)
            || self.in_flight.values().any(|(p, _)| p.contains(purpose))
    }

    /// Queues a write until `deadline`; false when the queue is full.
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

    /// Sends queued writes as the budget allows, and returns the purposes
    /// whose deadline passed in the queue.
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
                call: Tables::Commit(batch),
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

    /// Matches an answer to its purposes; the time is when the call was sent.
    pub(crate) fn complete(
        &mut self,
        id: u64,
        result: Result<TableResponse, Fault>,
        now: Duration,
    ) -> Vec<(Purpose, Result<TableResponse, Fault>, Duration)> {
        let Some((purposes, sent)) = self.in_flight.remove(&id) else {
            return Vec::new();
        };
        match &result {
            Ok(_) => {
                self.last_success_at = Some(now);
                self.consecutive_faults = 0;
            }
            Err(_) => self.consecutive_faults = self.consecutive_faults.saturating_add(1),
        }
        let is_commit = purposes.iter().any(Purpose::is_write);
        if is_commit {
            self.commits_in_flight -= 1;
        }
        match result {
            Ok(TableResponse::Committed(each)) if each.len() == purposes.len() => purposes
                .into_iter()
                .zip(each)
                .map(|(p, r)| (p, r.map(|v| TableResponse::Committed(vec![Ok(v)])), sent))
                .collect(),
            // A commit whose answer does not match it may have taken effect.
            Ok(_) if is_commit => purposes
                .into_iter()
                .map(|p| (p, Err(Fault::Unknown), sent))
                .collect(),
            other => purposes
                .into_iter()
                .map(|p| (p, other.clone(), sent))
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

/// The version given by a committed transaction.
pub(crate) fn committed_version(response: &TableResponse) -> u64 {
    match response {
        TableResponse::Committed(each) => each.iter().flatten().copied().next().unwrap_or(0),
        _ => 0,
    }
}

/// The first row of a read that was answered.
pub(crate) fn first_row(result: Result<TableResponse, Fault>) -> Option<Cell> {
    match result {
        Ok(TableResponse::Read { rows, .. }) => rows.into_iter().next()?.1,
        _ => None,
    }
}

/// A read of one row, whatever its version.
pub(crate) fn read_row(key: Name) -> Tables {
    Tables::Read {
        rows: vec![(key, 0)],
        scans: Vec::new(),
    }
}
