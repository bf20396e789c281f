//! The answers that callers get.
//!
//! Invariant: `Refused` is given only when the work was not and will not be
//! run; `Unknown` is given whenever that can't be ruled out.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Why work was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The key is missing, unknown or withdrawn.
    #[error("the team key is not valid")]
    BadKey,
    /// Keys can't be verified now: the configuration may be stale.
    #[error("keys can't be verified at present")]
    StaleConfig,
    /// The queue does not exist or takes another kind of work.
    #[error("no such queue for this kind of work")]
    NoQueue,
    /// The team's waiting line is full.
    #[error("too many requests of this team are waiting")]
    Overloaded,
    /// No executor or owner can be reached.
    #[error("no backend server is available")]
    NoBackend,
    /// The table service can't be reached, so the work can't be promised.
    #[error("the work can't be recorded at present")]
    StoreDown,
    /// The deadline passed before the work was sent.
    #[error("the deadline passed before the work was sent")]
    Expired,
    /// The node is shutting down.
    #[error("this entry VM is shutting down")]
    ShuttingDown,
    /// The same idempotency key was used for different content.
    #[error("the idempotency key was used for other content")]
    KeyReused,
    /// A field of the request is out of range.
    #[error("the request is malformed or out of range")]
    BadRequest,
    /// A non-idempotent queue needs an idempotency key.
    #[error("an Idempotency-Key header is required")]
    NoIdempotencyKey,
    /// The job can never run on this fleet.
    #[error("no worker of the fleet is large enough")]
    NeverFits,
    /// There is no job with this id.
    #[error("no such job")]
    NoJob,
}

/// A refusal with the time after which a retry makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back; `None` when a retry can't help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that a retry can't change.
    #[must_use]
    pub const fn permanent(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal that may pass after `wait`.
    #[must_use]
    pub const fn temporary(reason: Reason, wait: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(wait),
        }
    }
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The executor's whole answer.
    Done {
        /// HTTP status of the executor.
        status: u16,
        /// Whole body.
        body: Bytes,
    },
    /// Not run, and it never will be under this attempt.
    Refused(Refusal),
    /// It may or may not have run.
    Unknown,
}
