//! Input events and output effects of the reducer.
//!
//! Invariant: an effect that expects a response carries an id, and the
//! corresponding event carries the same id.

use std::time::Duration;

use bytes::Bytes;
use model::{
    Answer, Call, Change, Config, Conflict, Fault, Hash, JobId, Listing, Name, Refusal, Report,
    Spec, Status, Transaction,
};
use serde::Serialize;
use wire::{Frame, Load};

use crate::notice::Notice;
use crate::store::TableResponse;

/// Identifies a waiting caller to the shell, which runs the event loop.
pub type CallerId = u64;

/// Request from a caller or an operator.
#[derive(Clone, Debug)]
pub enum ApiRequest {
    /// Request to be executed by an executor.
    Request {
        /// Queue.
        queue: Name,
        /// Hash of the presented key.
        key: Option<Hash>,
        /// Idempotency key.
        idempotency_key: Option<Name>,
        /// Body.
        body: Bytes,
        /// Time for which the caller waits.
        timeout: Duration,
    },
    /// Job submission.
    Submit {
        /// Queue.
        queue: Name,
        /// Hash of the presented key.
        key: Option<Hash>,
        /// Idempotency key.
        idempotency_key: Option<Name>,
        /// Specification.
        spec: Spec,
    },
    /// Status query or cancellation of a job.
    Job {
        /// Hash of the presented key.
        key: Option<Hash>,
        /// Job.
        job: JobId,
        /// Query.
        query: wire::Query,
    },
    /// Status query for a job of any team, for operators.
    Explain {
        /// Job.
        job: JobId,
    },
    /// Configuration change, conditional on version `expect` if given.
    Change {
        /// Change.
        change: Change,
        /// Version that must be active.
        expect: Option<u64>,
    },
    /// Query for the configuration.
    Config,
    /// Query for the fleet as seen by this node.
    Fleet,
}

/// Reply to an [`ApiRequest`].
#[derive(Clone, Debug)]
pub enum Reply {
    /// Final result of a request.
    Answer(Answer),
    /// The job was accepted.
    Accepted(JobId),
    /// Status of a job.
    Job(Status),
    /// The configuration change was committed and is active on this node.
    Changed {
        /// Version created by the change.
        version: u64,
        /// Number of entry VMs that have confirmed the version.
        confirmed: u32,
        /// Total number of entry VMs.
        of: u32,
    },
    /// The configuration.
    Config(Box<Config>),
    /// The fleet.
    Fleet(Box<Fleet>),
    /// The request was refused: it was not run, accepted or applied.
    Refused(Refusal),
    /// The configuration change was not applied because of a conflict.
    Conflict(Conflict),
    /// The outcome is unknown; the caller may retry with the same key.
    Unknown,
}

/// Entry VM as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// Name.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// True when a heartbeat arrived within `peer_silent`.
    pub alive: bool,
    /// Configuration version of the entry VM.
    pub config: u64,
}

/// The fleet as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct Fleet {
    /// This node.
    pub name: Name,
    /// Configuration version on this node.
    pub config: u64,
    /// Active preset.
    pub preset: Name,
    /// True when the configuration is fresh enough to verify keys.
    pub keys_verifiable: bool,
    /// True when the table service responds.
    pub store_up: bool,
    /// True when this node owns its data centre's workers.
    pub owner: bool,
    /// Entry VMs.
    pub peers: Vec<Peer>,
    /// Loads of the data centres.
    pub loads: Vec<Load>,
    /// Workers of this data centre; empty unless this node is the owner.
    pub workers: Vec<WorkerStatus>,
    /// Usage of each team in this data centre; empty unless this node is the
    /// owner.
    pub teams: Vec<TeamUsage>,
}

/// Worker as seen by the owner.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerStatus {
    /// Name.
    pub name: Name,
    /// Free resources.
    pub free: model::Resources,
    /// Number of running tasks.
    pub running: u32,
    /// True when the last call to the worker succeeded.
    pub reachable: bool,
}

/// Resource usage of a team as seen by the owner.
#[derive(Clone, Debug, Serialize)]
pub struct TeamUsage {
    /// Name.
    pub name: Name,
    /// Resources in use in this data centre.
    pub used: model::Resources,
    /// Number of waiting jobs in this data centre.
    pub waiting: u32,
    /// Part of the team's limit assigned to this data centre; `None` if
    /// unlimited.
    pub allotment: Option<model::Resources>,
}

/// Call to the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum TableCall {
    /// Reads rows and scans prefixes in one call.
    Read {
        /// Keys with the version known to the caller; an unchanged row is
        /// returned as `None`. Version zero always returns the row.
        rows: Vec<(Name, u64)>,
        /// Prefixes, each with the version after which changed rows are
        /// returned.
        scans: Vec<(Name, u64)>,
    },
    /// Commits independent transactions in one call.
    Commit(Vec<Transaction>),
}

/// Failure of a worker call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// The call was not delivered.
    #[error("worker is unreachable; the call was not sent")]
    NotSent,
    /// No valid response arrived; the call may have taken effect.
    #[error("no valid response from the worker; the call may have taken effect")]
    Lost,
}

/// Call to an executor for one run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execute {
    /// Unique id of this run.
    pub id: u64,
    /// Address of the executor.
    pub address: Name,
    /// Team.
    pub team: Name,
    /// Queue.
    pub queue: Name,
    /// Body.
    pub body: Bytes,
    /// Time-out.
    pub timeout: Duration,
    /// True to open a new connection, because pooled ones may be dead.
    pub new_connection: bool,
}

/// Complete response of an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Failure of an executor call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExecuteError {
    /// The request was not sent, or the executor reported that it did not run it.
    #[error("the request was not run by the executor")]
    NotRun,
    /// No complete response arrived; the request may have run.
    #[error("no complete response from the executor; the request may have run")]
    Lost,
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer tick.
    Tick,
    /// Request from a caller.
    ApiRequest {
        /// Caller.
        caller: CallerId,
        /// Request.
        request: ApiRequest,
    },
    /// A caller disconnected before its reply.
    CallerDisconnected {
        /// Caller.
        caller: CallerId,
    },
    /// Frame received from a peer.
    Frame {
        /// Sender.
        from: Name,
        /// Frame.
        frame: Frame,
    },
    /// Received frame that could not be decoded.
    FrameMalformed {
        /// Decoding error.
        detail: Name,
    },
    /// Frame that was definitely not sent.
    FrameNotSent {
        /// Receiver.
        to: Name,
        /// Frame.
        frame: Frame,
    },
    /// Result of a table service call.
    TableResult {
        /// Id of the call.
        id: u64,
        /// Rows read or versions written.
        result: Result<TableResponse, Fault>,
    },
    /// Result of a worker call.
    WorkerResult {
        /// Id of the call.
        id: u64,
        /// Report.
        result: Result<Report, WorkerError>,
    },
    /// Result of a run on an executor.
    ExecuteResult {
        /// Id of the run.
        id: u64,
        /// Response.
        result: Result<ExecutorResponse, ExecuteError>,
    },
    /// The platform's VM list, or `None` if it could not be read.
    VmList(Option<Listing>),
    /// Request for a graceful shutdown.
    Shutdown,
}

/// Metric recorded by the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Time in ms from the arrival of a request to its start on an executor.
    RequestWait,
    /// Time in ms from submission to start of a task.
    TaskWait,
    /// Time in ms from submission to start of an urgent task.
    UrgentWait,
}

/// Output of the reducer, carried out by the shell.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Reply to a caller.
    Reply {
        /// Caller.
        caller: CallerId,
        /// Reply.
        reply: Reply,
    },
    /// Send a frame to a peer.
    Send {
        /// Receiver.
        to: Name,
        /// Frame.
        frame: Frame,
    },
    /// Call the table service.
    Table {
        /// Id of the call.
        id: u64,
        /// Call.
        call: TableCall,
    },
    /// Call a worker.
    Worker {
        /// Id of the call.
        id: u64,
        /// Address of the worker.
        address: Name,
        /// Call.
        call: Box<Call>,
    },
    /// Send a request to an executor.
    Execute(Box<Execute>),
    /// Read the platform's VM list, unless `known` is its current version.
    ListVms {
        /// Version of the last list read.
        known: u64,
    },
    /// Write a log record.
    Log(Notice),
    /// Record a metric.
    RecordMetric {
        /// Metric.
        metric: Metric,
        /// Team.
        team: Name,
        /// Value.
        value: u64,
    },
    /// Shutdown is complete.
    Exit,
}
