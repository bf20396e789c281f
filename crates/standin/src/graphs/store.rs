//! Simulated table service with a change history.
//!
//! Invariant: transactions are atomic, and each has a version of its own, which
//! its changes share.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use model::{Cell, Name, Row, Transaction};
use sched::{CallId, ChangeFeed, PartitionId, StoreError, StoreResponse, Table};

/// Partition of the rows that are not of jobs.
pub(crate) const CELL_PARTITION: PartitionId = 0;

/// A pending call that follows the changes of a table.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) vm: usize,
    pub(crate) process: u64,
    pub(crate) call: CallId,
    pub(crate) table: Table,
    pub(crate) after: u64,
    pub(crate) deadline: Duration,
}

/// Rows and their change history.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<(PartitionId, Name), Cell>,
    change_log: Vec<(u64, Name, Option<Bytes>)>,
    version: u64,
    /// Changes up to this version are no longer retained.
    compacted_version: u64,
    pub(crate) waiters: Vec<Waiter>,
    /// The service's monotonic clock.
    pub(crate) clock: Duration,
}

impl Store {
    /// Applies a transaction if its conditions hold; returns the current rows of
    /// its conditions otherwise.
    pub(crate) fn commit(
        &mut self,
        partition: PartitionId,
        transaction: &Transaction,
    ) -> Result<StoreResponse, StoreError> {
        let row_of = |key: &Name| self.rows.get(&(partition, key.clone()));
        let version_of = |key: &Name| row_of(key).map_or(0, |cell| cell.version);
        let conditions_hold = transaction
            .conditions
            .iter()
            .all(|condition| version_of(&condition.key) == condition.version);
        if !conditions_hold {
            let rows = transaction.conditions.iter().filter_map(|condition| {
                let cell = row_of(&condition.key)?.clone();
                let key = condition.key.clone();
                Some(Row { key, cell })
            });
            return Err(StoreError::Conflict(rows.collect()));
        }
        self.version += 1;
        let version = self.version;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let value = value.clone();
                    let key = (partition, write.key.clone());
                    self.rows.insert(key, Cell { version, value });
                }
                None => drop(self.rows.remove(&(partition, write.key.clone()))),
            }
            let entry = (version, write.key.clone(), write.value.clone());
            self.change_log.push(entry);
        }
        Ok(StoreResponse::Applied {
            version,
            clock: self.clock,
        })
    }

    /// Reads a page of a table's rows in a partition, starting at a key.
    pub(crate) fn scan(
        &self,
        partition: PartitionId,
        table: Table,
        from: &str,
        limit: u32,
    ) -> StoreResponse {
        let prefix = table.prefix();
        let start = compact_str::format_compact!("{prefix}{from}");
        let matching = self
            .rows
            .range((partition, start)..)
            .take_while(|((part, key), _)| *part == partition && key.starts_with(prefix));
        let mut rows: Vec<Row> = matching
            .take(limit as usize + 1)
            .map(|((_, key), cell)| Row {
                key: key.clone(),
                cell: cell.clone(),
            })
            .collect();
        let more = rows.len() > limit as usize;
        rows.truncate(limit as usize);
        StoreResponse::Rows {
            rows,
            more,
            version: self.version,
            clock: self.clock,
        }
    }

    /// Returns the changes of a table after a version, or `None` if there are
    /// none.
    pub(crate) fn changes(
        &self,
        table: Table,
        after: u64,
    ) -> Option<Result<ChangeFeed, StoreError>> {
        if after < self.compacted_version {
            return Some(Err(StoreError::HistoryLost));
        }
        let start = self
            .change_log
            .partition_point(|(version, _, _)| *version <= after);
        let rows: Vec<Row> = self.change_log[start..]
            .iter()
            .filter(|(_, key, _)| key.starts_with(table.prefix()))
            .map(|(version, key, value)| Row {
                key: key.clone(),
                cell: Cell {
                    version: value.as_ref().map_or(0, |_| *version),
                    value: value.clone().unwrap_or_default(),
                },
            })
            .collect();
        (!rows.is_empty()).then_some(Ok(self.feed(rows)))
    }

    /// Returns the response to a call that has reached its deadline without
    /// changes.
    pub(crate) fn empty_feed(&self) -> ChangeFeed {
        self.feed(Vec::new())
    }

    fn feed(&self, rows: Vec<Row>) -> ChangeFeed {
        ChangeFeed {
            rows,
            version: self.version,
            sent_at: Duration::ZERO,
        }
    }

    /// Drops the change history, so that readers have to scan their tables again.
    pub(crate) fn drop_history(&mut self) {
        self.compacted_version = self.version;
        self.change_log.clear();
    }
}
