//! Schema and encoding of the scheduler's rows in the table service.
//!
//! Invariant: a row that can't be decoded is logged and skipped; no default
//! takes its place.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use model::{
    Attempt, Epoch, Graph, JobId, Name, Occurrence, Resources, Stage, StepIndex, TaskIndex,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::acceptance::Acceptance;
use crate::event::Table;
use crate::losses::Losses;
use crate::losses::open::Incarnation;

/// Key of the owner row. Every write of an owner is conditional on its version.
pub(crate) const OWNER_KEY: &str = "cell/owner";
/// Key of the owner's heartbeat row.
pub(crate) const HEARTBEAT_KEY: &str = "cell/beat";
/// Key of the row that says how long the orders of the last released term stay in
/// effect.
pub(crate) const LAST_ORDERS_KEY: &str = "cell/orders";
/// Key of the layout row: the number of job partitions.
pub(crate) const LAYOUT_KEY: &str = "cell/layout";
/// Key of the row in which earlier builds kept the whole roster.
pub(crate) const UNDIVIDED_ROSTER_KEY: &str = "cell/roster";
/// Key of the row of each job partition with the epoch of the last owner that
/// wrote there.
pub(crate) const FENCE_KEY: &str = "fence/epoch";
/// Suffix of the key of a cancellation request.
const CANCEL_SUFFIX: &str = "/cancel";

/// The current owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRow {
    /// Epoch, from which the fencing tokens of its orders are derived.
    pub(crate) epoch: Epoch,
    /// Name of the entry VM.
    pub(crate) name: Name,
    /// Id of its process; differs at each start.
    pub(crate) process: u64,
    /// Address at which helpers reach the owner.
    pub(crate) address: Name,
    /// The owner gave up ownership; it sends no further orders in this epoch.
    pub(crate) released: bool,
}

/// How long the orders of a released term may stay in effect. Written in the
/// transaction that marks the owner row as released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LastOrders {
    /// Epoch of the term.
    pub(crate) epoch: Epoch,
    /// Time from the sending of the row until no order of this term or an earlier
    /// one can be in effect any more.
    pub(crate) in_effect_for: Duration,
    /// True when the records of all runs ordered by then had been written.
    pub(crate) recorded: bool,
}

/// An owner's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Incremented with each heartbeat.
    pub(crate) count: u64,
    /// Time of sending, on the table service's clock.
    pub(crate) clock: Duration,
    /// True when the records of all runs ordered by then had been written.
    pub(crate) recorded: bool,
    /// Number of jobs per queue of which no task has started.
    pub(crate) pending: BTreeMap<Name, u32>,
    /// Largest share of a CPU core of any VM that could become the owner.
    #[serde(rename = "strongest")]
    pub(crate) max_cpu_share: f64,
}

/// A backend server that may run work of an owner, as listed in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RosterEntry {
    pub(crate) id: Name,
    pub(crate) incarnation: u64,
    pub(crate) address: Name,
    /// The largest capacity that it is known to have had. While its runs are unknown, it
    /// counts in full against every team's limit.
    pub(crate) capacity: Resources,
    /// When the last lease ends there that an order to an earlier incarnation of the id may
    /// have granted, on the table service's clock; `None` until the incarnation has answered
    /// an owner, since it may execute such orders until then. The times follow the entries
    /// in the row and are absent in rows of earlier builds, which can read this build's.
    #[serde(skip)]
    pub(crate) stale_leases_end: Option<Duration>,
}

/// Encodes a row of the roster.
pub(crate) fn encode_roster(entries: &[RosterEntry]) -> Bytes {
    let ends: Vec<Option<Duration>> = entries.iter().map(|e| e.stale_leases_end).collect();
    let mut row = encode(&entries).to_vec();
    row.extend_from_slice(&encode(&ends));
    Bytes::from(row)
}

/// Decodes a row of the roster; `None` when it is malformed.
pub(crate) fn decode_roster(bytes: &[u8]) -> Option<Vec<RosterEntry>> {
    let (mut entries, rest) = postcard::take_from_bytes::<Vec<RosterEntry>>(bytes).ok()?;
    let (ends, _): (Vec<Option<Duration>>, _) = take_if_present(rest)?;
    for (entry, end) in entries.iter_mut().zip(ends) {
        entry.stale_leases_end = end;
    }
    Some(entries)
}

/// A submitted job. The row exists until the job is in a terminal stage and none of
/// its runs is left.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Submission {
    pub(crate) queue: Name,
    /// Service of the queue at submission, used if the queue is removed later.
    pub(crate) service: Name,
    /// Team; empty when a caller without a key used an open queue.
    pub(crate) team: Name,
    pub(crate) graph: Graph,
    /// Settings that the job is accepted under. They follow the other fields in the row and
    /// are `None` in rows of earlier builds, which can read this build's.
    #[serde(skip)]
    pub(crate) acceptance: Option<Acceptance>,
}

impl Submission {
    /// Encodes the submission row of a job.
    pub(crate) fn encode(&self) -> Bytes {
        let mut row = encode(self).to_vec();
        if let Some(acceptance) = &self.acceptance {
            row.extend_from_slice(&encode(acceptance));
        }
        Bytes::from(row)
    }

    /// Decodes the submission row of a job; `None` when it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (submission, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let acceptance = match rest.is_empty() {
            true => None,
            false => Some(decode(rest)?),
        };
        Some(Self {
            acceptance,
            ..submission
        })
    }
}

/// Persistent state of one step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StepRecord {
    /// Bitmap of the completed tasks.
    pub(crate) done: Vec<u8>,
    /// Numbers of the failed runs, for tasks that have any.
    pub(crate) failures: Vec<(TaskIndex, Vec<Attempt>)>,
    /// Latest checkpoints, for tasks that have one.
    pub(crate) checkpoints: Vec<(TaskIndex, Name)>,
}

impl StepRecord {
    /// Marks a task as completed.
    pub(crate) fn set_done(&mut self, index: TaskIndex) {
        let byte = (index / 8) as usize;
        if self.done.len() <= byte {
            self.done.resize(byte + 1, 0);
        }
        self.done[byte] |= 1 << (index % 8);
    }

    /// True if a task was marked as completed.
    pub(crate) fn is_done(&self, index: TaskIndex) -> bool {
        let byte = self.done.get((index / 8) as usize).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }
}

/// Persistent state of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    pub(crate) stage: Stage,
    /// Steps with state to keep.
    pub(crate) steps: BTreeMap<(Occurrence, StepIndex), StepRecord>,
    /// Runs that may exist, by backend server and incarnation. Written before
    /// the start orders are sent, except while the table service is unavailable.
    pub(crate) placed: BTreeMap<(Name, u64), Vec<RunRecord>>,
    /// Runs that were lost with their backend server, for tasks that have any. They follow
    /// the other fields in the row and are absent when there are none, so that this build
    /// and earlier ones can read each other's rows.
    #[serde(skip)]
    pub(crate) losses: LossRecords,
    /// The losses among them that are open, by backend server. They follow `losses` in the
    /// row.
    #[serde(skip)]
    pub(crate) open_losses: BTreeMap<Incarnation, Vec<RunRecord>>,
}

/// Losses of tasks, by occurrence and step.
pub(crate) type LossRecords = BTreeMap<(Occurrence, StepIndex), Vec<(TaskIndex, Losses)>>;

impl JobRecord {
    /// Encodes the state row of a job.
    pub(crate) fn encode(&self) -> Bytes {
        let mut row = encode(self).to_vec();
        if !self.losses.is_empty() {
            row.extend_from_slice(&encode(&self.losses));
        }
        if !self.losses.is_empty() && !self.open_losses.is_empty() {
            row.extend_from_slice(&encode(&self.open_losses));
        }
        Bytes::from(row)
    }

    /// Decodes the state row of a job; `None` when it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (record, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let (losses, rest) = take_if_present(rest)?;
        let (open_losses, _) = take_if_present(rest)?;
        Some(Self {
            losses,
            open_losses,
            ..record
        })
    }
}

/// A run that may exist: occurrence, step, task and run number.
pub(crate) type RunRecord = (Occurrence, StepIndex, TaskIndex, Attempt);

/// Encodes a row.
pub(crate) fn encode<T>(row: &T) -> Bytes
where
    T: Serialize,
{
    // Serializing these types to memory can't fail.
    Bytes::from(postcard::to_stdvec(row).unwrap_or_default())
}

/// Decodes a part that follows the others of a row, and returns it with the rest; the
/// default if an earlier build wrote the row without it, `None` when it is malformed.
fn take_if_present<T>(bytes: &[u8]) -> Option<(T, &[u8])>
where
    T: DeserializeOwned + Default,
{
    match bytes.is_empty() {
        true => Some((T::default(), bytes)),
        false => postcard::take_from_bytes(bytes).ok(),
    }
}

/// Decodes a row; `None` when it is malformed.
pub(crate) fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).ok()
}

/// Key of a chunk of the roster.
pub(crate) fn roster_key(chunk: u32) -> Name {
    format_compact!("{}{chunk:02}", Table::Roster.prefix())
}

/// Key of a job's submission row.
pub(crate) fn job_key(id: &JobId) -> Name {
    format_compact!("{}{id}", Table::Job.prefix())
}

/// Key of a job's cancellation request.
pub(crate) fn cancel_key(id: &JobId) -> Name {
    format_compact!("{}{id}{CANCEL_SUFFIX}", Table::Job.prefix())
}

/// Key of a job's state row.
pub(crate) fn state_key(id: &JobId) -> Name {
    format_compact!("{}{id}", Table::State.prefix())
}

/// A parsed key of the job table.
pub(crate) enum JobKey {
    Submission(JobId),
    Cancel(JobId),
}

impl JobKey {
    /// The job that the row belongs to.
    pub(crate) fn id(&self) -> &JobId {
        match self {
            Self::Submission(id) | Self::Cancel(id) => id,
        }
    }
}

/// Parses a key of the job table; `None` when it has another prefix.
pub(crate) fn parse_job_key(key: &str) -> Option<JobKey> {
    let rest = key.strip_prefix(Table::Job.prefix())?;
    match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => Some(JobKey::Cancel(id.into())),
        None => Some(JobKey::Submission(rest.into())),
    }
}
