//! Division of the stored rows into partitions of the table service.
//!
//! The table service executes the transactions of one partition one after
//! another, at a limited rate. The rows of a job are in the partition that its
//! id hashes to. The rows of the cell (owner, heartbeat, layout, roster) have a
//! partition of their own, so that no number of jobs can delay a heartbeat.
//!
//! Invariant: the number of job partitions of a cell never changes once its
//! layout row exists.

use bytes::Bytes;
use compact_str::format_compact;
use model::JobId;

/// Partition of the table service.
pub type PartitionId = u32;

/// Partition of the rows of the cell. Builds before the layout row existed kept
/// all rows in it.
pub(crate) const CELL_PARTITION: PartitionId = 0;
/// Maximum number of job partitions. A new owner writes to each and reads each
/// before it acts.
pub(crate) const MAX_JOB_PARTITIONS: u32 = 64;

/// Why a layout row can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The row is not a decimal number.
    #[error("number of job partitions is not a decimal number")]
    NotANumber,
    /// The number is zero or above the maximum.
    #[error("number of job partitions is {0}, not between 1 and {MAX_JOB_PARTITIONS}")]
    OutOfRange(u32),
}

/// Number of job partitions of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout(u32);

impl Layout {
    /// Creates a layout with the given number of job partitions, limited to the
    /// permitted range.
    #[must_use]
    pub fn new(job_partitions: u32) -> Self {
        Self(job_partitions.clamp(1, MAX_JOB_PARTITIONS))
    }

    /// Decodes a layout row: a decimal number.
    ///
    /// # Errors
    /// Returns a [`LayoutError`] when the row is not a number in the permitted
    /// range.
    pub fn decode(bytes: &[u8]) -> Result<Self, LayoutError> {
        let text = std::str::from_utf8(bytes).map_err(|_| LayoutError::NotANumber)?;
        let count: u32 = text.parse().map_err(|_| LayoutError::NotANumber)?;
        match count {
            1..=MAX_JOB_PARTITIONS => Ok(Self(count)),
            _ => Err(LayoutError::OutOfRange(count)),
        }
    }

    /// Encodes the layout row.
    #[must_use]
    pub fn encode(self) -> Bytes {
        Bytes::from(format_compact!("{}", self.0).as_bytes().to_vec())
    }

    /// Number of job partitions.
    #[must_use]
    pub fn job_partitions(self) -> u32 {
        self.0
    }

    /// The job partitions.
    pub(crate) fn partitions(self) -> impl Iterator<Item = PartitionId> {
        1..=self.0
    }

    /// Partition of a job's rows. The hash is CRC-32, which every build and
    /// processor computes alike.
    #[must_use]
    pub fn partition_of(self, id: &JobId) -> PartitionId {
        1 + crc32fast::hash(id.as_bytes()) % self.0
    }
}
