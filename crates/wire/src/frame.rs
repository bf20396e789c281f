//! The frames.
//!
//! Invariant: each answer frame names the request it belongs to; frames may
//! arrive late, out of order or not at all.

use bytes::Bytes;
use model::{Answer, Config, Job, JobId, Name, Refusal, Resources, Status};
use serde::{Deserialize, Serialize};

/// Free request slots of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service.
    pub service: Name,
    /// Free slots.
    pub free: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// State of one data centre's work, published by its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreLoad {
    /// Data centre.
    pub data_centre: Name,
    /// Owner's epoch.
    pub epoch: u64,
    /// Capacity of its workers.
    pub total: Resources,
    /// Free resources, summed over workers.
    pub free: Resources,
    /// Largest worker.
    pub largest: Resources,
    /// Tasks that wait.
    pub waiting_tasks: u32,
    /// Request services.
    pub services: Vec<ServiceLoad>,
}

/// Periodic sign of life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender's counter.
    pub seq: u64,
    /// Highest counter seen from the receiver.
    pub echo: u64,
    /// Sender's configuration version.
    pub config: u64,
    /// Time in ms since the sender knew that version to be the latest.
    pub fresh_ms: Option<u64>,
    /// True while the sender is shutting down.
    pub leaving: bool,
    /// Data centres that the sender owns.
    pub loads: Vec<DataCentreLoad>,
}

/// One request on its way to the owner of executors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Unique id of this attempt.
    pub id: u64,
    /// Data centre whose owner is to serve it.
    pub data_centre: Name,
    /// Team that pays.
    pub team: Name,
    /// Queue.
    pub queue: Name,
    /// Executor service.
    pub service: Name,
    /// True when it must not be sent to an executor twice.
    #[serde(rename = "once")]
    pub at_most_once: bool,
    /// Time left to the caller's deadline, in ms.
    pub budget_ms: u64,
    /// Body.
    pub body: Bytes,
}

/// A question about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobQuery {
    /// Its status and explanation.
    Status,
    /// Cancel it, then its status.
    Cancel,
}

/// Everything that entry VMs say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sign of life.
    Beat(Heartbeat),
    /// Asks for the receiver's configuration.
    PullConfig,
    /// A committed configuration.
    Config(Box<Config>),
    /// A request to serve.
    Serve(ServeRequest),
    /// Answer to `Serve`.
    Served {
        /// Id of the request.
        id: u64,
        /// Answer.
        answer: Answer,
    },
    /// The caller no longer waits; drop the request if it was not sent.
    Drop {
        /// Id of the request.
        id: u64,
    },
    /// A job was accepted for the receiver's data centre.
    Submitted(Box<Job>),
    /// A question about a job.
    Ask {
        /// Id of the question.
        id: u64,
        /// Team that asks.
        team: Name,
        /// Job.
        job: JobId,
        /// Question.
        query: JobQuery,
    },
    /// Answer to `Ask`.
    Told {
        /// Id of the question.
        id: u64,
        /// Status, or why there is none.
        status: Result<Status, Refusal>,
    },
    /// The sender has given up ownership of a data centre.
    Released {
        /// Data centre.
        data_centre: Name,
    },
}
