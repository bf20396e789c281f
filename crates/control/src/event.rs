//! Input events and output effects of the reducer.
//!
//! Invariant: an effect that expects a response carries an id, and the
//! corresponding event carries the same id.

use std::time::Duration;

use bytes::Bytes;
use model::{
    Answer, Change, Config, ConfigError, Hash, JobId, Name, Refusal, Spec, Status, TableError,
    Transaction, VmList, WorkerCall, WorkerReport,
};
use serde::Serialize;
use wire::{DataCentreLoad, Frame};

use crate::notice::Notice;
use crate::store::TableResponse;

/// Identifies a caller that waits for a reply; assigned by the event loop.
pub type CallerId = u64;

/// Request from a caller or an operator.
#[derive(Clone, Debug)]
pub enum ApiRequest {
    /// Runs a request on an executor.
    Request {
        /// Name of a queue that accepts requests.
        queue: Name,
        /// Hash of the presented team key; `None` if the caller presented none.
        key: Option<Hash>,
        /// Idempotency key; required unless the queue is idempotent.
        idempotency_key: Option<Name>,
        /// Body, sent to the executor unchanged.
        body: Bytes,
        /// Time for which the caller waits; the gateway caps it.
        timeout: Duration,
    },
    /// Submits a job.
    Submit {
        /// Name of a queue that accepts jobs.
        queue: Name,
        /// Hash of the presented team key; `None` if the caller presented none.
        key: Option<Hash>,
        /// Idempotency key; without one, a retry submits another job.
        idempotency_key: Option<Name>,
        /// Number, resources and payload of the job's tasks.
        spec: Spec,
    },
    /// Queries the status of a job of the caller's team, or cancels it.
    Job {
        /// Hash of the presented team key; `None` if the caller presented none.
        key: Option<Hash>,
        /// Id returned when the job was accepted.
        job: JobId,
        /// Whether to return the status or to cancel the job.
        query: wire::JobQuery,
    },
    /// Queries the status of a job of any team, for operators.
    Explain {
        /// Id returned when the job was accepted.
        job: JobId,
    },
    /// Changes the configuration.
    Change {
        /// Change to apply to the active configuration.
        change: Change,
        /// Version that must be active; `None` accepts any.
        expected_version: Option<u64>,
    },
    /// Reads the configuration active on this node.
    Config,
    /// Reads the state of the fleet as seen by this node.
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
    /// The configuration active on this node.
    Config(Box<Config>),
    /// State of the fleet as seen by this node.
    Fleet(Box<Fleet>),
    /// The request was refused: it was not run, accepted or applied.
    Refused(Refusal),
    /// The configuration change was not applied because of a conflict.
    Conflict(ConfigError),
    /// The outcome is unknown; the caller may retry with the same key.
    Unknown,
}

/// Entry VM as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// Name of the entry VM, from this node's settings.
    pub name: Name,
    /// Data centre of the entry VM, from this node's settings.
    pub data_centre: Name,
    /// True when a heartbeat arrived within `peer_silent`.
    pub alive: bool,
    /// Configuration version in its last heartbeat; zero before the first one.
    pub config: u64,
}

/// The fleet as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct Fleet {
    /// Name of this node, from its settings.
    pub name: Name,
    /// Configuration version active on this node; zero before the first one.
    pub config: u64,
    /// Name of the active preset; empty before the first configuration.
    pub preset: Name,
    /// True when the configuration is fresh enough to verify keys.
    pub keys_verifiable: bool,
    /// True when the table service responds.
    pub store_up: bool,
    /// True when this node owns its data centre's workers.
    pub owner: bool,
    /// The other entry VMs, alive or not.
    pub peers: Vec<Peer>,
    /// Loads that the data centres' owners published last.
    pub loads: Vec<DataCentreLoad>,
    /// Workers of this data centre; empty unless this node is the owner.
    pub workers: Vec<WorkerStatus>,
    /// Usage of each team in this data centre; empty unless this node is the
    /// owner.
    pub teams: Vec<TeamUsage>,
    /// Evacuated data centres, in the order of their names.
    pub evacuations: Vec<Evacuation>,
}

/// Evacuated data centre as seen by this node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Evacuation {
    /// Name of the data centre.
    pub data_centre: Name,
    /// Configuration version since which no new work starts there.
    pub since_version: u64,
    /// Entry VMs that have not confirmed this or a later version; the evacuation
    /// is in force everywhere if there is none.
    pub unconfirmed: Vec<Name>,
    /// Resources of the tasks that run there; `None` if its owner is not known.
    pub used: Option<model::Resources>,
    /// Number of tasks that wait there; `None` if its owner is not known.
    pub waiting_tasks: Option<u32>,
    /// Number of tasks that run there; `None` unless this node is the owner.
    pub running_tasks: Option<u32>,
    /// Number of requests that run there; `None` unless this node is the owner.
    pub running_requests: Option<u32>,
}

/// Worker as seen by the owner.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerStatus {
    /// Name of the worker, from the VM list.
    pub name: Name,
    /// Capacity less the resources committed to the worker's tasks.
    pub free: model::Resources,
    /// Number of tasks with resources committed, including those being stopped.
    pub running: u32,
    /// True when the last call to the worker succeeded.
    pub reachable: bool,
}

/// Resource usage of a team as seen by the owner.
#[derive(Clone, Debug, Serialize)]
pub struct TeamUsage {
    /// Name of the team; empty for the team charged for orphan tasks.
    pub name: Name,
    /// Resources of its tasks and slots of its requests in this data centre.
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
    /// Id of the run, unique within this process; an executor receives it with
    /// a prefix that is unique to the process.
    pub id: u64,
    /// Host and port of the executor's HTTP interface.
    pub address: Name,
    /// Team that the request is charged to.
    pub team: Name,
    /// Queue that accepted the request.
    pub queue: Name,
    /// Body of the request, unchanged.
    pub body: Bytes,
    /// Time limit of the call; when it expires, the request may have run.
    pub timeout: Duration,
    /// True to open a new connection, because pooled ones may be dead.
    pub new_connection: bool,
}

/// Complete response of an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorResponse {
    /// HTTP status code, passed on to the caller.
    pub status: u16,
    /// Response body; never truncated.
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
    /// Timer tick, sent periodically; drives timeouts, retries and polls.
    Tick,
    /// Request from a caller or an operator.
    ApiRequest {
        /// Caller to reply to.
        caller: CallerId,
        /// Request, not yet authorized.
        request: ApiRequest,
    },
    /// A caller disconnected before its reply.
    CallerDisconnected {
        /// Caller that can no longer receive a reply.
        caller: CallerId,
    },
    /// Frame received from a peer.
    Frame {
        /// Name of the peer that sent the frame.
        from: Name,
        /// The frame, decoded but not yet checked against the node's state.
        frame: Frame,
    },
    /// Received frame that could not be decoded.
    FrameMalformed {
        /// Message of the decoding error, for the log.
        detail: Name,
    },
    /// Frame that was definitely not sent.
    FrameNotSent {
        /// Name of the peer that the frame was addressed to.
        to: Name,
        /// The frame as passed to `Effect::Send`.
        frame: Frame,
    },
    /// Result of a table service call.
    TableResult {
        /// Id of the call, from `Effect::Table`.
        id: u64,
        /// Rows read or versions written, or whether the call may have taken
        /// effect.
        result: Result<TableResponse, TableError>,
    },
    /// Result of a worker call.
    WorkerResult {
        /// Id of the call, from `Effect::Worker`.
        id: u64,
        /// The worker's report, or whether the call may have taken effect.
        result: Result<WorkerReport, WorkerError>,
    },
    /// Result of a run on an executor.
    ExecuteResult {
        /// Id of the run, from `Execute::id`.
        id: u64,
        /// Response, or whether the request may have run.
        result: Result<ExecutorResponse, ExecuteError>,
    },
    /// The platform's VM list, or `None` if it could not be read.
    VmList(Option<VmList>),
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

/// Output of the reducer, carried out by the event loop.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Reply to a caller.
    Reply {
        /// Caller that waits for the reply.
        caller: CallerId,
        /// Reply to deliver, dropped if the caller has disconnected.
        reply: Reply,
    },
    /// Send a frame to a peer.
    Send {
        /// Name of the peer.
        to: Name,
        /// Frame to send; it may be lost without an event.
        frame: Frame,
    },
    /// Call the table service.
    Table {
        /// Id that `Event::TableResult` returns.
        id: u64,
        /// Rows to read or transactions to commit.
        call: TableCall,
    },
    /// Call a worker.
    Worker {
        /// Id that `Event::WorkerResult` returns.
        id: u64,
        /// Host and port of the worker's HTTP interface.
        address: Name,
        /// Epoch, lease renewal and orders to send.
        call: Box<WorkerCall>,
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
    /// Record a sample of a metric.
    RecordMetric {
        /// Metric that the sample belongs to.
        metric: Metric,
        /// Team whose request or task was measured.
        team: Name,
        /// Sample in ms.
        value: u64,
    },
    /// Shutdown is complete.
    Exit,
}
