//! Rows and transactions of the platform's table service.
//!
//! Invariant: a row's version grows with each write of that row; version
//! zero means "absent".

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A row's content and version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Grows with each write; zero when absent.
    pub version: u64,
    /// Opaque content.
    pub value: Bytes,
}

/// A row with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Full key.
    pub key: CompactString,
    /// Content.
    pub cell: Cell,
}

/// Precondition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Full key.
    pub key: CompactString,
    /// Version the row must have; zero for absent.
    pub version: u64,
}

/// One row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Full key.
    pub key: CompactString,
    /// New content; `None` deletes the row.
    pub value: Option<Bytes>,
}

/// Writes that take effect together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Why a table call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum TableError {
    /// A condition did not hold; nothing was written.
    #[error("a condition on {0} did not hold")]
    Condition(CompactString),
    /// The call never left, or was refused; nothing was written.
    #[error("the table service is unavailable")]
    Unavailable,
    /// No answer came; the call may have taken effect.
    #[error("no answer from the table service; the outcome is unknown")]
    Unknown,
}
