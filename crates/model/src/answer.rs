//! Answers to requests and the reasons for refusing work.
//!
//! Invariant: `Refused` means that the work has not run and will not run.
//! `Unknown` is returned whenever execution can't be ruled out.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Why work was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The team key is missing, unknown or withdrawn.
    #[error("the team key is not valid")]
    BadKey,
    /// Team keys can't be verified because the configuration may be stale.
    #[error("keys can't be verified at present")]
    StaleConfig,
    /// The queue does not exist or accepts another kind of work.
    #[error("no such queue for this kind of work")]
    NoQueue,
    /// The team's queue is full, the expected wait exceeds the deadline, or the
    /// node is at another capacity limit.
    #[error("too many requests of this team are waiting")]
    Overloaded,
    /// No executor or data centre owner is available.
    #[error("no backend server is available")]
    NoBackend,
    /// The table service is unavailable, so the work can't be recorded durably
    /// and is not accepted.
    #[error("the work can't be recorded at present")]
    StoreDown,
    /// The deadline passed before the work was sent to an executor.
    #[error("the deadline passed before the work was sent")]
    Expired,
    /// The entry VM is shutting down and accepts no work.
    #[error("this entry VM is shutting down")]
    ShuttingDown,
    /// The idempotency key was used before with different content.
    #[error("the idempotency key was used for other content")]
    KeyReused,
    /// The request is malformed or one of its fields is out of range.
    #[error("the request is malformed or out of range")]
    BadRequest,
    /// The queue is not idempotent and the request has no idempotency key.
    #[error("an Idempotency-Key header is required")]
    NoIdempotencyKey,
    /// A task of the job is larger than any worker of the fleet.
    #[error("no worker of the fleet is large enough")]
    NeverFits,
    /// No job with this id is visible to the team.
    #[error("no such job")]
    NoJob,
}

/// A refusal and the delay after which to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Cause, which also determines the error text that the caller receives.
    pub reason: Reason,
    /// Delay before a retry; `None` when a retry can't succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal for which a retry can't succeed.
    #[must_use]
    pub const fn permanent(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal that may no longer apply after `wait`.
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
    /// The executor's complete response.
    Done {
        /// HTTP status code.
        status: u16,
        /// Complete response body.
        body: Bytes,
    },
    /// The request has not run and will not run under this attempt.
    Refused(Refusal),
    /// The request may or may not have run.
    Unknown,
}
