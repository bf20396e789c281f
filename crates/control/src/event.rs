//! What comes into the reducer and what goes out of it.
//!
//! Invariant: each effect that expects an answer carries an id, and the event
//! that answers it carries the same id.

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

/// Identifies a waiting caller to the shell.
pub type CallerId = u64;

/// What a caller or an operator asks.
#[derive(Clone, Debug)]
pub enum Ask {
    /// A request to be answered by an executor.
    Request {
        /// Queue.
        queue: Name,
        /// Hash of the key shown.
        key: Option<Hash>,
        /// Idempotency key.
        idempotency: Option<Name>,
        /// Body.
        body: Bytes,
        /// Time the caller waits.
        budget: Duration,
    },
    /// A job.
    Submit {
        /// Queue.
        queue: Name,
        /// Hash of the key shown.
        key: Option<Hash>,
        /// Idempotency key.
        idempotency: Option<Name>,
        /// Specification.
        spec: Spec,
    },
    /// Status or cancellation of a job.
    Job {
        /// Hash of the key shown.
        key: Option<Hash>,
        /// Job.
        job: JobId,
        /// Question.
        query: wire::JobQuery,
    },
    /// Status of a job of any team, for operators.
    Explain {
        /// Job.
        job: JobId,
    },
    /// A change of configuration, on top of `expect` when given.
    Change {
        /// Change.
        change: Change,
        /// Version that must be in force.
        expect: Option<u64>,
    },
    /// The configuration.
    Config,
    /// The fleet as this node sees it.
    Fleet,
}

/// The answer to an `Ask`.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Final answer to a request.
    Answer(Answer),
    /// The job is accepted.
    Accepted(JobId),
    /// Status of a job.
    Job(Status),
    /// The change is in force.
    Changed {
        /// Its version.
        version: u64,
        /// Entry VMs known to have it in force.
        confirmed: u32,
        /// Entry VMs in all.
        of: u32,
    },
    /// The configuration.
    Config(Box<Config>),
    /// The fleet.
    Fleet(Box<Fleet>),
    /// Not run, not accepted, not changed.
    Refused(Refusal),
    /// Not changed: the change conflicts.
    Conflict(ConfigError),
    /// The outcome is unknown; ask again.
    Unknown,
}

/// One entry VM as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// Name.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Heard within the silence bound.
    pub alive: bool,
    /// Its configuration version.
    pub config: u64,
}

/// The fleet as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct Fleet {
    /// This node.
    pub name: Name,
    /// Configuration version here.
    pub config: u64,
    /// Preset in force.
    pub preset: Name,
    /// True when keys can be verified now.
    pub keys_verifiable: bool,
    /// True when the store answers.
    pub store_up: bool,
    /// True when this node owns its data centre's workers.
    pub owner: bool,
    /// Entry VMs.
    pub peers: Vec<Peer>,
    /// Data centres.
    pub loads: Vec<DataCentreLoad>,
    /// Workers of this data centre, when this node is the owner.
    pub workers: Vec<Backend>,
    /// Teams here: name, running resources, waiting jobs, allotment.
    pub teams: Vec<TeamUse>,
}

/// One worker as the owner sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Backend {
    /// Name.
    pub name: Name,
    /// Free resources.
    pub free: model::Resources,
    /// Running tasks.
    pub running: u32,
    /// Answered within its lease.
    pub reachable: bool,
}

/// One team as the owner sees it.
#[derive(Clone, Debug, Serialize)]
pub struct TeamUse {
    /// Name.
    pub name: Name,
    /// Resources in use here.
    pub used: model::Resources,
    /// Jobs that wait here.
    pub waiting: u32,
    /// Part of the team's limit assigned to this data centre.
    pub allotment: Option<model::Resources>,
}

/// Calls to the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum Tables {
    /// Reads rows and prefixes in one call.
    Read {
        /// Keys with the version known to the caller; an unchanged row comes
        /// back as `None`. Version zero always reads.
        rows: Vec<(Name, u64)>,
        /// Prefixes of which rows above a version are read.
        scans: Vec<(Name, u64)>,
    },
    /// Independent transactions in one call.
    Commit(Vec<Transaction>),
}

/// Why a worker call has no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkerFault {
    /// The call was not delivered.
    #[error("the worker can't be reached")]
    NotSent,
    /// No answer; the call may have taken effect.
    #[error("no answer from the worker")]
    Lost,
}

/// A request on its way to an executor.
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
    /// Time allowed.
    pub timeout: Duration,
    /// True to use a new connection: the idle ones may have gone silent.
    pub fresh: bool,
}

/// A whole answer of an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Why there is no whole answer of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExecuteFault {
    /// The request did not leave, or the executor says it was not run.
    #[error("the request was not run")]
    NotRun,
    /// It may have run.
    #[error("no whole answer came; the request may have run")]
    Lost,
}

/// Everything that the reducer reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller asks.
    Ask {
        /// Caller.
        caller: CallerId,
        /// Question.
        ask: Ask,
    },
    /// A caller has gone.
    CallerGone {
        /// Caller.
        caller: CallerId,
    },
    /// A frame of a peer.
    Frame {
        /// Sender.
        from: Name,
        /// Frame.
        frame: Frame,
    },
    /// A frame that could not be decoded.
    Malformed {
        /// Why.
        detail: Name,
    },
    /// A frame that surely was not sent.
    Unsent {
        /// Receiver.
        to: Name,
        /// Frame.
        frame: Frame,
    },
    /// Answer of the table service.
    Table {
        /// Call.
        id: u64,
        /// Rows read or versions written.
        result: Result<TableResponse, TableError>,
    },
    /// Answer of a worker.
    Worker {
        /// Call.
        id: u64,
        /// Report.
        result: Result<WorkerReport, WorkerFault>,
    },
    /// Answer of an executor.
    Executed {
        /// Run.
        id: u64,
        /// Whole answer.
        result: Result<Whole, ExecuteFault>,
    },
    /// The platform's VM list, or `None` when it could not be read.
    Vms(Option<VmList>),
    /// The process is asked to stop.
    Shutdown,
}

/// A value for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Wait of a request for a slot, in ms.
    RequestWait,
    /// Wait of a task from submission to start, in ms.
    TaskWait,
    /// Wait of an urgent task from submission to start, in ms.
    UrgentWait,
}

/// What the shell is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a caller.
    Reply {
        /// Caller.
        caller: CallerId,
        /// Answer.
        reply: Reply,
    },
    /// Send a frame.
    Send {
        /// Receiver.
        to: Name,
        /// Frame.
        frame: Frame,
    },
    /// Call the table service.
    Table {
        /// Call.
        id: u64,
        /// What.
        call: Tables,
    },
    /// Call a worker.
    Worker {
        /// Call.
        id: u64,
        /// Its address.
        address: Name,
        /// What.
        call: Box<WorkerCall>,
    },
    /// Send a request to an executor.
    Execute(Box<Execute>),
    /// Read the VM list unless `known` is its version.
    ListVms {
        /// Version known.
        known: u64,
    },
    /// Write a log record.
    Log(Notice),
    /// Record a measurement.
    Record {
        /// What.
        measure: Measure,
        /// Team.
        team: Name,
        /// Value.
        value: u64,
    },
    /// Shutdown is complete.
    Exit,
}
