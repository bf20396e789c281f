//! An in-memory table service with row versions and conditional transactions.
//!
//! Invariant: transactions are atomic, and each commit gets a version higher
//! than that of every earlier commit.

use std::collections::BTreeMap;

use control::{TableCall, TableResponse};
use model::{Cell, Name, Row, TableError, Transaction};

/// Rows of the table and the version of the last commit.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<Name, Cell>,
    version: u64,
    /// Number of commit calls served; each may hold several transactions.
    pub commit_calls: u64,
}

impl Table {
    /// Executes a read, or each transaction of a commit call. Transactions of one
    /// call succeed or fail independently.
    pub fn serve(&mut self, call: &TableCall) -> TableResponse {
        match call {
            TableCall::Read { rows, scans } => TableResponse::Read {
                rows: rows.iter().map(|(k, v)| self.read_row(k, *v)).collect(),
                scans: scans.iter().map(|(p, v)| self.scan_prefix(p, *v)).collect(),
            },
            TableCall::Commit(transactions) => {
                self.commit_calls += 1;
                TableResponse::Committed(
                    transactions
                        .iter()
                        .map(|t| self.commit_transaction(t))
                        .collect(),
                )
            }
        }
    }

    fn read_row(&self, key: &Name, known: u64) -> (Name, Option<Cell>) {
        let cell = self.rows.get(key).cloned().unwrap_or_default();
        let unchanged = known > 0 && cell.version == known;
        (key.clone(), (!unchanged).then_some(cell))
    }

    fn scan_prefix(&self, prefix: &Name, after: u64) -> (Vec<Row>, u64) {
        let from = self.rows.range(prefix.clone()..);
        let rows = from
            .take_while(|(key, _)| key.starts_with(prefix.as_str()))
            .filter(|(_, cell)| cell.version > after)
            .map(|(key, cell)| Row {
                key: key.clone(),
                cell: cell.clone(),
            })
            .collect();
        (rows, self.version)
    }

    fn commit_transaction(&mut self, transaction: &Transaction) -> Result<u64, TableError> {
        for condition in &transaction.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |c| c.version);
            if version != condition.version {
                return Err(TableError::Condition(condition.key.clone()));
            }
        }
        self.version += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let cell = Cell {
                        version: self.version,
                        value: value.clone(),
                    };
                    self.rows.insert(write.key.clone(), cell);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Ok(self.version)
    }

    /// Returns the cell of one row, if the row exists.
    #[must_use]
    pub fn get(&self, key: &Name) -> Option<&Cell> {
        self.rows.get(key)
    }
}
