//! Rows and transactions of the platform's table service.
//!
//! Invariant: each write of a row increases its version; version zero means that
//! the row is absent.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Content and version of a row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Increases with each write; zero when the row is absent.
    pub version: u64,
    /// Content, which the table service does not interpret.
    pub value: Bytes,
}

/// A row with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key including its prefix, such as `job/<data centre>/<job>`.
    pub key: CompactString,
    /// Content and version that were read together.
    pub cell: Cell,
}

/// Precondition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row, which need not be among the written rows.
    pub key: CompactString,
    /// Version that the row must have; zero if it must be absent.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row to create, replace or delete.
    pub key: CompactString,
    /// New content; `None` deletes the row.
    pub value: Option<Bytes>,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions; all of them must hold.
    pub conditions: Vec<Condition>,
    /// Writes, applied together or not at all.
    pub writes: Vec<Write>,
}

/// Why a call to the table service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum TableError {
    /// A precondition on the row with this key did not hold; nothing was written.
    #[error("a condition on {0} did not hold")]
    Condition(CompactString),
    /// The call was not sent or was refused; nothing was written.
    #[error("the table service is unavailable")]
    Unavailable,
    /// No response was received; the transaction may have been applied.
    #[error("no answer from the table service; the outcome is unknown")]
    Unknown,
}
