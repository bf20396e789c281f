//! Rows that the scheduler keeps in the table service.
//!
//! Invariant: a row that can't be decoded is reported and skipped, never
//! guessed at.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use model::{
    Attempt, Epoch, Graph, JobId, Name, Occurrence, Resources, Stage, StepIndex, TaskIndex,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::event::Table;

/// Key of the owner row; every write of an owner is conditional on it.
pub(crate) const OWNER_KEY: &str = "cell/owner";
/// Key of the owner's sign of life.
pub(crate) const BEAT_KEY: &str = "cell/beat";
/// Key of the backend servers that an owner may have given work to.
pub(crate) const ROSTER_KEY: &str = "cell/roster";
/// Ending of the key of a request to cancel.
const CANCEL_SUFFIX: &str = "/cancel";

/// Who decides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRow {
    /// Epoch; the fencing token of all orders.
    pub(crate) epoch: Epoch,
    /// Name of the entry VM.
    pub(crate) name: Name,
    /// Number of its process.
    pub(crate) process: u64,
    /// Address for helpers.
    pub(crate) address: Name,
    /// Given up on purpose: no order of this epoch will be sent any more.
    pub(crate) released: bool,
}

/// An owner's sign of life.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Grows with each sign.
    pub(crate) count: u64,
    /// The table service's clock when it was sent.
    pub(crate) clock: Duration,
    /// Every run that its owner had ordered by then was recorded.
    pub(crate) recorded: bool,
    /// Jobs of each queue of which no task has started.
    pub(crate) pending: BTreeMap<Name, u32>,
    /// Part of a core that the strongest VM has that could own.
    pub(crate) strongest: f64,
}

/// A backend server that may run work of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RosterEntry {
    /// Id.
    pub(crate) id: Name,
    /// Incarnation.
    pub(crate) incarnation: u64,
    /// Address.
    pub(crate) address: Name,
    /// Resources; what may run there unseen counts against every team.
    pub(crate) capacity: Resources,
}

/// A job that is not final.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Submission {
    /// Queue.
    pub(crate) queue: Name,
    /// Service of the queue at that time, for when the queue is removed.
    pub(crate) service: Name,
    /// Team; empty for callers of an open queue without a key.
    pub(crate) team: Name,
    /// What to run.
    pub(crate) graph: Graph,
}

/// What must survive of one step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StepRecord {
    /// Bits of the completed tasks.
    pub(crate) done: Vec<u8>,
    /// Numbers of the failed runs of tasks that have any.
    pub(crate) failures: Vec<(TaskIndex, Vec<Attempt>)>,
    /// Checkpoints of tasks that have any.
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

    /// True when a task is completed.
    pub(crate) fn is_done(&self, index: TaskIndex) -> bool {
        let byte = self.done.get((index / 8) as usize).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }
}

/// State of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// Stage.
    pub(crate) stage: Stage,
    /// Steps of which something must survive.
    pub(crate) steps: BTreeMap<(Occurrence, StepIndex), StepRecord>,
    /// Runs that may exist, by backend server and incarnation. Written before
    /// their orders are sent.
    pub(crate) placed: BTreeMap<(Name, u64), Vec<RunRecord>>,
}

/// A run that may exist: occurrence, step, task and number.
pub(crate) type RunRecord = (Occurrence, StepIndex, TaskIndex, Attempt);

/// Bytes of a row.
pub(crate) fn encode<T>(row: &T) -> Bytes
where
    T: Serialize,
{
    // Serializing plain data to memory has no failing case.
    Bytes::from(postcard::to_stdvec(row).unwrap_or_default())
}

/// A row from its bytes; `None` when they are malformed.
pub(crate) fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).ok()
}

/// Key of a job's submission.
pub(crate) fn job_key(id: &JobId) -> Name {
    format_compact!("{}{id}", Table::Job.prefix())
}

/// Key of the request to cancel a job.
pub(crate) fn cancel_key(id: &JobId) -> Name {
    format_compact!("{}{id}{CANCEL_SUFFIX}", Table::Job.prefix())
}

/// Key of a job's state.
pub(crate) fn state_key(id: &JobId) -> Name {
    format_compact!("{}{id}", Table::State.prefix())
}

/// What a key of the job table names.
pub(crate) enum JobKey {
    /// A submission.
    Submission(JobId),
    /// A request to cancel.
    Cancel(JobId),
}

/// Reads a key of the job table.
pub(crate) fn parse_job_key(key: &str) -> Option<JobKey> {
    let rest = key.strip_prefix(Table::Job.prefix())?;
    match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => Some(JobKey::Cancel(id.into())),
        None => Some(JobKey::Submission(rest.into())),
    }
}
