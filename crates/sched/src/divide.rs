//! Creation of a cell's layout. Rows of jobs that a build without job partitions
//! wrote are copied to these first.
//!
//! Invariant: copies are conditional on the fence row of their partition, and the
//! layout row is written after the last copy. Until it exists no VM accepts a job
//! or answers for one, so a repeated copy replaces nothing newer.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::{Condition, JobId, Row, Transaction, Write};

use crate::commit::{put, remove};
use crate::event::{CallId, Effect, StoreError, StoreResponse, Table, live_value};
use crate::heartbeat::owner_condition;
use crate::notice::Notice;
use crate::owner::{Cx, Owner};
use crate::partition::{CELL_PARTITION, Layout, PartitionId};
use crate::rows;

/// Maximum number of rows in one transaction, which the table service limits to
/// 100 entries and 1 MB. A submission of the longest payload takes about 10 kB.
const MAX_ROWS: usize = 60;
/// Delay before a failed write is sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One write of the division.
#[derive(Clone, Debug)]
enum Step {
    /// Copies rows to a job partition.
    Copy(PartitionId, Vec<Write>),
    /// Writes the layout row.
    Layout(Layout),
    /// Deletes rows that were copied.
    Delete(Vec<Write>),
}

/// Writes that remain, one at a time and in this order.
#[derive(Debug, Default)]
pub(crate) struct Division {
    steps: VecDeque<Step>,
    call: Option<CallId>,
    retry_at: Option<Duration>,
}

impl Owner {
    /// Starts to copy rows of jobs to the partitions of a new layout.
    pub(crate) fn divide_rows(
        &mut self,
        layout: Layout,
        jobs: Vec<Row>,
        states: Vec<Row>,
        cx: &mut Cx<'_>,
    ) {
        if !jobs.is_empty() || !states.is_empty() {
            cx.log(Notice::RowsDivided {
                jobs: jobs.len() as u32,
                states: states.len() as u32,
            });
        }
        let mut copies: BTreeMap<PartitionId, Vec<Write>> = BTreeMap::new();
        let mut deletes = Vec::new();
        for row in jobs.iter().chain(&states) {
            let Some(value) = live_value(row) else {
                continue;
            };
            let id = match rows::parse_job_key(&row.key) {
                Some(key) => key.id().clone(),
                None => JobId::from(row.key.strip_prefix(Table::State.prefix()).unwrap_or("")),
            };
            let writes = copies.entry(layout.partition_of(&id)).or_default();
            writes.push(put(row.key.clone(), value.clone()));
            deletes.push(remove(row.key.clone()));
        }
        let copies = copies.into_iter().flat_map(|(partition, writes)| {
            let chunks = writes.chunks(MAX_ROWS).map(<[Write]>::to_vec);
            let steps: Vec<Step> = chunks.map(|writes| Step::Copy(partition, writes)).collect();
            steps
        });
        self.division.steps = copies.collect();
        self.division.steps.push_back(Step::Layout(layout));
        let deletes = deletes.chunks(MAX_ROWS).map(<[Write]>::to_vec);
        self.division.steps.extend(deletes.map(Step::Delete));
        self.send_division(cx);
    }

    fn send_division(&mut self, cx: &mut Cx<'_>) {
        self.division.retry_at = None;
        let Some(step) = self.division.steps.front().cloned() else {
            return;
        };
        let (partition, conditions, writes) = match step {
            Step::Copy(partition, writes) => {
                let fence = self.fences.condition(partition);
                (partition, fence.into_iter().collect(), writes)
            }
            Step::Layout(layout) => {
                let absent = Condition {
                    key: rows::LAYOUT_KEY.into(),
                    version: 0,
                };
                let write = put(rows::LAYOUT_KEY.into(), layout.encode());
                let conditions = vec![owner_condition(cx), absent];
                (CELL_PARTITION, conditions, vec![write])
            }
            Step::Delete(writes) => (CELL_PARTITION, vec![owner_condition(cx)], writes),
        };
        let call = cx.next_call_id();
        self.division.call = Some(call);
        cx.out.push(Effect::Commit {
            call,
            partition,
            transaction: Transaction { conditions, writes },
            timeout: None,
        });
    }

    /// Handles the response to a write of the division. Returns false when the call
    /// is not one.
    pub(crate) fn division_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        if self.division.call.take_if(|c| *c == call).is_none() {
            return false;
        }
        let Some(step) = self.division.steps.front().cloned() else {
            return true;
        };
        match (result, step) {
            (Ok(StoreResponse::Applied { .. }), step) => self.division_applied(&step, cx),
            (Err(StoreError::Conflict(rows)), Step::Copy(partition, _)) => {
                self.verify_fence(partition, rows, cx);
            }
            (Err(StoreError::Conflict(rows)), step) => {
                self.verify_ownership(rows, cx);
                // An earlier write of the layout whose response was lost.
                match rows.iter().any(|row| row.key == rows::LAYOUT_KEY) {
                    true if cx.term.is_owning() => self.division_applied(&step, cx),
                    _ => {}
                }
            }
            (Ok(StoreResponse::Rows { .. }) | Err(_), _) => {
                self.division.retry_at = Some(cx.now() + WRITE_RETRY_DELAY);
            }
        }
        true
    }

    fn division_applied(&mut self, step: &Step, cx: &mut Cx<'_>) {
        self.division.steps.pop_front();
        if let Step::Layout(layout) = step {
            self.layout_stored(*layout, cx);
        }
        self.send_division(cx);
    }

    /// Sends a write again that failed.
    pub(crate) fn retry_division(&mut self, cx: &mut Cx<'_>) {
        if self.division.retry_at.is_some_and(|at| cx.now() >= at) {
            self.send_division(cx);
        }
    }
}
