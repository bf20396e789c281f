//! Frames that entry VMs exchange.
//!
//! Invariant: each response frame contains the id of its request. Frames may be
//! delayed, reordered or lost.
//!
//! `postcard` encodes enum variants by index and fields by position, so their
//! order is part of the protocol.

use bytes::Bytes;
use model::{Answer, Config, Job, JobId, Name, Refusal, Resources, Status};
use serde::{Deserialize, Serialize};

/// Load of a request service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Executor service, as named by the queues that use it.
    pub service: Name,
    /// Free slots, summed over the usable executors of the data centre.
    pub free: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Load of a data centre, published by its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreLoad {
    /// Data centre that the load describes.
    pub data_centre: Name,
    /// Epoch of the owner that published the load.
    pub epoch: u64,
    /// Total capacity of the workers that the owner has claimed.
    pub total: Resources,
    /// Free resources, summed over the workers.
    pub free: Resources,
    /// Maximum worker capacity per dimension; the maxima may be of different
    /// workers.
    pub largest: Resources,
    /// Number of waiting tasks.
    pub waiting_tasks: u32,
    /// Load of each request service.
    pub services: Vec<ServiceLoad>,
}

/// Heartbeat, sent periodically to each peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number, which the addressee returns in `echo`.
    pub seq: u64,
    /// Last sequence number received from the addressee; zero if there is none.
    pub echo: u64,
    /// Configuration version of the sender.
    pub config: u64,
    /// Time in ms since the sender last knew this version to be the latest; `None`
    /// if it never did.
    pub fresh_ms: Option<u64>,
    /// True while the sender is shutting down.
    pub leaving: bool,
    /// Load of the data centre that the sender owns; empty if it owns none.
    pub loads: Vec<DataCentreLoad>,
}

/// A request forwarded to the owner of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Unique identifier of this attempt.
    pub id: u64,
    /// Data centre whose owner serves the request.
    pub data_centre: Name,
    /// Team to which the request is accounted.
    pub team: Name,
    /// Queue to which the request was submitted.
    pub queue: Name,
    /// Executor service that serves the request.
    pub service: Name,
    /// True when the request must not be sent to an executor more than once.
    #[serde(rename = "once")]
    pub at_most_once: bool,
    /// Time in ms until the caller's deadline.
    pub budget_ms: u64,
    /// Request body.
    pub body: Bytes,
}

/// What a caller requests for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobQuery {
    /// Returns the status and its explanation.
    Status,
    /// Cancels the job and returns its status.
    Cancel,
}

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Liveness and load of the sender.
    Beat(Heartbeat),
    /// Requests the receiver's configuration.
    PullConfig,
    /// A committed configuration version.
    Config(Box<Config>),
    /// Forwards a request to the owner of a data centre.
    Serve(ServeRequest),
    /// Response to `Serve`.
    Served {
        /// Identifier from the `Serve` frame.
        id: u64,
        /// Answer to the attempt with this identifier.
        answer: Answer,
    },
    /// The caller no longer waits; the receiver drops the request unless it was
    /// already sent to an executor.
    Drop {
        /// Identifier from the `Serve` frame.
        id: u64,
    },
    /// A job was accepted for the data centre that the receiver owns.
    Submitted(Box<Job>),
    /// Requests the status or the cancellation of a job.
    Ask {
        /// Identifier that the response repeats.
        id: u64,
        /// Team that sent the query.
        team: Name,
        /// Job that the query is about.
        job: JobId,
        /// Whether to return the status only or to cancel the job first.
        query: JobQuery,
    },
    /// Response to `Ask`.
    Told {
        /// Identifier from the `Ask` frame.
        id: u64,
        /// Status of the job, or why it can't be reported.
        status: Result<Status, Refusal>,
    },
    /// The sender has released the ownership of a data centre.
    Released {
        /// Data centre that another VM may now claim.
        data_centre: Name,
    },
}
