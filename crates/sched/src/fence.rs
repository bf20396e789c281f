//! Fencing of the job partitions.
//!
//! A transaction can't span partitions, so the owner row, which is in the cell's
//! partition, can't guard writes to job rows. Each job partition has a fence row
//! with the epoch of the last owner that wrote there. A new owner replaces every
//! fence row before it reads the partition, and each of its writes to job rows is
//! conditional on the fence row's version.
//!
//! Invariant: after an owner has read a partition, no write of an earlier owner
//! is applied there. The fence row is only ever replaced by a higher epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Condition, Epoch, Row, Transaction, Write};

use crate::event::{CallId, Effect, StoreError, StoreResponse, live_value};
use crate::owner::{Cx, Owner};
use crate::partition::{Layout, PartitionId};
use crate::rows;

/// Delay before a write of a fence row that failed is sent again.
const FENCE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Progress of the fencing of one partition.
#[derive(Debug, Default)]
struct Fence {
    /// Version that the fence row is expected to have before the write.
    expected: u64,
    call: Option<CallId>,
    retry_at: Option<Duration>,
    /// Version of the row that this owner wrote.
    version: Option<u64>,
}

/// Fence rows of all job partitions.
#[derive(Debug, Default)]
pub(crate) struct Fences(BTreeMap<PartitionId, Fence>);

impl Fences {
    /// The condition under which this owner may write to a partition; `None`
    /// until its fence row is written.
    pub(crate) fn condition(&self, partition: PartitionId) -> Option<Condition> {
        let version = self.0.get(&partition)?.version?;
        Some(Condition {
            key: rows::FENCE_KEY.into(),
            version,
        })
    }

    /// True when the fence rows of all partitions are written.
    pub(crate) fn is_complete(&self) -> bool {
        !self.0.is_empty() && self.0.values().all(|fence| fence.version.is_some())
    }
}

impl Owner {
    /// Starts to write the fence rows of all job partitions.
    pub(crate) fn start_fencing(&mut self, layout: Layout, cx: &mut Cx<'_>) {
        for partition in layout.partitions() {
            self.fences.0.insert(partition, Fence::default());
            self.send_fence(partition, cx);
        }
    }

    fn send_fence(&mut self, partition: PartitionId, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        let Some(fence) = self.fences.0.get_mut(&partition) else {
            return;
        };
        fence.call = Some(call);
        fence.retry_at = None;
        let transaction = Transaction {
            conditions: vec![Condition {
                key: rows::FENCE_KEY.into(),
                version: fence.expected,
            }],
            writes: vec![Write {
                key: rows::FENCE_KEY.into(),
                value: Some(rows::encode(&cx.term.epoch())),
            }],
        };
        cx.out.push(Effect::Commit {
            call,
            partition,
            transaction,
            timeout: None,
        });
    }

    /// Handles the response to the write of a fence row. Returns false when the
    /// call is not such a write.
    pub(crate) fn fence_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let mut fences = self.fences.0.iter_mut();
        let Some((&partition, fence)) = fences.find(|(_, fence)| fence.call == Some(call)) else {
            return false;
        };
        fence.call = None;
        match result {
            Ok(StoreResponse::Applied { version, .. }) => {
                fence.version = Some(*version);
                self.fences_advanced(cx);
            }
            Err(StoreError::Conflict(rows)) => self.fence_conflicted(partition, rows, cx),
            Ok(StoreResponse::Rows { .. }) | Err(_) => {
                fence.retry_at = Some(cx.now() + FENCE_RETRY_DELAY);
            }
        }
        true
    }

    /// Handles a fence row that is not as expected: it is replaced if it belongs to
    /// an earlier owner, and ends this term if it belongs to a later one.
    fn fence_conflicted(&mut self, partition: PartitionId, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::FENCE_KEY);
        let epoch = match row.and_then(live_value).map(|b| rows::decode::<Epoch>(b)) {
            Some(Some(epoch)) => epoch,
            // No row: an owner of epoch zero never existed.
            None => 0,
            Some(None) => {
                let key = rows::FENCE_KEY.into();
                cx.log(crate::notice::Notice::RowMalformed { key });
                0
            }
        };
        let version = row.map_or(0, |row| row.cell.version);
        let Some(fence) = self.fences.0.get_mut(&partition) else {
            return;
        };
        match epoch.cmp(&cx.term.epoch()) {
            std::cmp::Ordering::Greater => cx.term.become_follower(),
            // An earlier write of this owner whose response was lost.
            std::cmp::Ordering::Equal => {
                fence.version = Some(version);
                self.fences_advanced(cx);
            }
            std::cmp::Ordering::Less => {
                fence.expected = version;
                self.send_fence(partition, cx);
            }
        }
    }

    fn fences_advanced(&mut self, cx: &mut Cx<'_>) {
        if self.fences.is_complete() {
            self.partitions_fenced(cx);
        }
    }

    /// Sends writes of fence rows again that failed.
    pub(crate) fn retry_fences(&mut self, cx: &mut Cx<'_>) {
        let fences = self.fences.0.iter();
        let due: Vec<PartitionId> = fences
            .filter(|(_, fence)| fence.retry_at.is_some_and(|at| cx.now() >= at))
            .map(|(partition, _)| *partition)
            .collect();
        for partition in due {
            self.send_fence(partition, cx);
        }
    }

    /// Ends this term if a failed write reports that a later owner has replaced the
    /// fence row.
    pub(crate) fn verify_fence(&self, partition: PartitionId, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::FENCE_KEY);
        let held = self.fences.0.get(&partition).and_then(|f| f.version);
        if row.map(|row| row.cell.version) != held {
            cx.term.become_follower();
        }
    }
}
