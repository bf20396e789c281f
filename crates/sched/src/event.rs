//! What comes into the reducer and what goes out of it.
//!
//! Invariant: each effect that expects an answer carries a call id, and
//! exactly one event with that id answers it.

use std::time::Duration;

use bytes::Bytes;
use model::{
    Attempt, Epoch, Graph, Hash, Name, Refusal, Resources, Row, RunId, RunOutcome, Stage,
    Transaction,
};
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::notice::Notice;

/// Identifies a waiting caller to the shell.
pub type CallerId = u64;
/// Identifies a call to the outside.
pub type CallId = u64;

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Time {
    /// Steady time that also counts while the VM is suspended.
    pub now: Duration,
    /// Time of day since 1970; may jump.
    pub unix: Duration,
}

/// What a caller wants.
#[derive(Clone, Debug)]
pub enum Question {
    /// Hands a job in.
    Submit(Box<Graph>),
    /// State of a job, or of the queue when no job is named.
    State,
    /// Cancels a job.
    Cancel,
}

/// A caller's call.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Host named.
    pub host: Name,
    /// Path.
    pub path: Name,
    /// Hash of the key shown.
    pub key: Option<Hash>,
    /// What is wanted.
    pub question: Question,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// State of a job.
    State(Stage),
    /// The job is being cancelled, or had ended.
    Cancelled,
    /// Jobs of the queue of which no task has started.
    Pending(u32),
    /// Not accepted, and it never will be under this call.
    Refused(Refusal),
    /// The outcome is unknown; ask again.
    Unknown,
    /// The owner's answer to a helper.
    Helper(Response),
}

/// A VM's offer to ask the outside policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Name of the VM.
    pub helper: Name,
    /// Part of a core that it has; zero while it could not own.
    pub strength: f64,
    /// Result of its previous errand.
    pub result: Option<(CallId, Result<Advice, AdviceFault>)>,
}

/// The owner's answer to a helper, or what became of the offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Something to ask.
    Errand(Errand),
    /// Nothing to ask.
    Idle,
    /// The owner can't reach the table service: who can should take over.
    HandOver,
    /// The owner's process does not listen.
    Refused,
    /// No answer.
    Lost,
}

/// A question to the outside policy, as a helper asks it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Errand {
    /// Number given by the owner.
    pub id: CallId,
    /// Job, occurrence and step.
    pub step: (Name, u32, u32),
    /// Backend servers asked about.
    pub servers: Vec<Name>,
    /// Time that the answer takes by the queue's settings.
    pub takes: Duration,
}

/// The outside policy's decision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Backend servers that may run the step, each with its ticket.
    pub granted: Vec<(Name, Name)>,
}

/// Why there is no advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum AdviceFault {
    /// The policy has too many calls waiting.
    #[error("the policy has too many calls waiting")]
    Busy,
    /// No answer.
    #[error("the policy does not answer")]
    Lost,
    /// The answer can't be read, or says that the question was wrong.
    #[error("the policy's answer can't be used")]
    Malformed,
}

/// Tables of rows kept in the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// Ownership, signs of life of the owner, its roster.
    Cell,
    /// Jobs that are not final, and requests to cancel them.
    Job,
    /// State of every job.
    State,
}

impl Table {
    /// First part of the keys of its rows.
    #[must_use]
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Cell => "cell/",
            Self::Job => "job/",
            Self::State => "state/",
        }
    }
}

/// Why a call to the table service has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// A condition did not hold; nothing was written. Holds the current rows
    /// of all conditions; a row that does not exist is left out.
    #[error("a condition did not hold")]
    Conflict(Vec<Row>),
    /// Nothing was done.
    #[error("the table service did nothing")]
    Unavailable,
    /// The call may have taken effect, or may yet.
    #[error("no answer from the table service")]
    Unknown,
    /// Changes since the version named are no longer known.
    #[error("the history asked for is gone")]
    HistoryLost,
}

/// What the table service did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stored {
    /// The transaction was applied.
    Applied {
        /// Its version.
        version: u64,
        /// Steady clock of the table service.
        clock: Duration,
    },
    /// Rows of a table from some key on.
    Rows {
        /// Rows in ascending order of keys.
        rows: Vec<Row>,
        /// True when there are more after the last one.
        more: bool,
        /// Newest version of the whole service at that moment.
        version: u64,
        /// Steady clock of the table service.
        clock: Duration,
    },
}

/// Changes of a table since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Feed {
    /// Changed rows; a removed row has version zero.
    pub rows: Vec<Row>,
    /// Version up to which changes are known now.
    pub version: u64,
    /// When the call was sent.
    pub sent: Duration,
}

/// What the registry says of one backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Id.
    pub id: Name,
    /// Start of this incarnation in ms since 1970.
    pub incarnation: u64,
    /// Address.
    pub address: Name,
    /// Service.
    pub service: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Rack, empty when unknown.
    pub rack: Name,
    /// Labels, the rack included.
    pub labels: Vec<Name>,
    /// Resources.
    pub capacity: Resources,
    /// It is leaving.
    pub draining: bool,
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Run.
        run: RunId,
        /// Payload of the job.
        payload: Name,
        /// End of the lease in ms on the backend server's clock.
        until: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: Name,
        /// Ticket of the outside policy.
        ticket: Option<Name>,
    },
    /// Stops a run.
    Stop {
        /// Run.
        run: RunId,
    },
    /// Renews the lease of everything that runs there and asks for the lists.
    Hold {
        /// End of the lease in ms on the backend server's clock.
        until: Option<u64>,
        /// Ends up to this number need not be listed again.
        seen: u64,
        /// Longest time for which the answer may wait for an end.
        wait: Duration,
    },
    /// Sets the share of its pace at which a run works.
    Pace {
        /// Run.
        run: RunId,
        /// 0 to 100.
        percent: u8,
    },
}

/// A running task on a backend server's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// Run.
    pub run: RunId,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Name,
    /// Part of the work done; 100 for a long-running task that serves.
    pub percent: u8,
    /// Tail of response times in ms, or processors in use.
    pub gauge: u64,
}

/// An ended run on a backend server's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// Number on this backend server; grows by one with each end.
    pub number: u64,
    /// Run.
    pub run: RunId,
    /// How.
    pub end: RunOutcome,
    /// Checkpoint; empty for none.
    pub checkpoint: Name,
}

/// A backend server's lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lists {
    /// Its clock in ms.
    pub clock: u64,
    /// Its incarnation; `None` when it does not say.
    pub incarnation: Option<u64>,
    /// What runs.
    pub running: Vec<Progress>,
    /// What ended and was not acknowledged.
    pub finished: Vec<Finished>,
}

/// Why a backend server did not do what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// It has seen a higher fencing token.
    #[error("a later owner was there")]
    Superseded,
    /// A run with this number or a higher one was there.
    #[error("the run is not new")]
    NotNew,
    /// The lease of the order had ended.
    #[error("the order came too late")]
    TooLate,
    /// It does not fit.
    #[error("no room")]
    NoRoom,
    /// The ticket is missing or no longer valid.
    #[error("the ticket is not valid")]
    BadTicket,
    /// Another incarnation, or another backend server, is at that address.
    #[error("another incarnation")]
    OtherIncarnation,
    /// It is not healthy and did nothing.
    #[error("not healthy")]
    Unhealthy,
    /// It could not read the order.
    #[error("the order was malformed")]
    Malformed,
}

/// A backend server's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Done; its clock in ms.
    Done(u64),
    /// Lists.
    Lists(Box<Lists>),
    /// Not done.
    Rejected(Rejection),
}

/// Why a backend server's answer is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The order did not leave.
    #[error("the order was not sent")]
    NotSent,
    /// The order may be carried out, now or later.
    #[error("no answer")]
    Lost,
}

/// Everything that the reducer reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller calls.
    Ask {
        /// Caller.
        caller: CallerId,
        /// Call.
        ask: Ask,
    },
    /// Another entry VM offers to ask the outside policy.
    Offer {
        /// Where to answer.
        caller: CallerId,
        /// What it says.
        offer: Offer,
    },
    /// What the owner answered to this VM's offer.
    Helped(Response),
    /// A version of the configuration, read by a call sent at `asked`.
    Config {
        /// Content.
        config: Box<Config>,
        /// When the call was sent.
        asked: Duration,
    },
    /// No newer configuration than the one known was there.
    ConfigCurrent {
        /// When the call was sent.
        asked: Duration,
    },
    /// The configuration can't be read: the table service does not serve this
    /// VM.
    ConfigUnreachable,
    /// Answer of the table service.
    Stored {
        /// Call.
        call: CallId,
        /// Result.
        result: Result<Stored, Failure>,
    },
    /// Changes of a table.
    Followed {
        /// Call.
        call: CallId,
        /// Result.
        result: Result<Feed, Failure>,
    },
    /// All backend servers that the registry lists.
    Servers(Vec<Listing>),
    /// The registry's entry of one backend server changed.
    Server(Listing),
    /// The registry's entry of one backend server is gone.
    ServerGone(Name),
    /// Answer of a backend server.
    Answered {
        /// Call.
        call: CallId,
        /// Result.
        result: Result<Outcome, Fault>,
    },
    /// Answer of the outside policy.
    Advised {
        /// Call.
        call: CallId,
        /// Result.
        result: Result<Advice, AdviceFault>,
    },
    /// The process is asked to stop.
    Shutdown,
}

/// A value for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Measure {
    /// Time from the arrival of a job to its acceptance.
    Accept,
    /// Time from acceptance to the start of a task that was ready.
    Wait,
    /// Time from acceptance to completion of a job.
    Job,
    /// Time of a call to the outside policy.
    Advice,
    /// Time of a group commit.
    Commit,
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
    /// Apply a transaction.
    Commit {
        /// Call.
        call: CallId,
        /// Transaction.
        transaction: Transaction,
        /// Time after which it counts as unanswered; `None` for the usual.
        limit: Option<Duration>,
    },
    /// Read rows of a table from a key on, in pages.
    Scan {
        /// Call.
        call: CallId,
        /// Table.
        table: Table,
        /// First key of interest, without the table's prefix.
        from: Name,
        /// Most rows.
        limit: u32,
    },
    /// Wait for changes of a table.
    Follow {
        /// Call.
        call: CallId,
        /// Table.
        table: Table,
        /// Version after which changes count.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Start or stop reading the registry of backend servers.
    WatchServers(bool),
    /// Call a backend server.
    Order {
        /// Call.
        call: CallId,
        /// Its id.
        server: Name,
        /// Its address.
        address: Name,
        /// Fencing token.
        token: Epoch,
        /// Order.
        order: Box<Order>,
    },
    /// Ask the outside policy.
    Advise {
        /// Call.
        call: CallId,
        /// Question.
        errand: Box<Errand>,
    },
    /// Offer the owner to ask the outside policy.
    Offer {
        /// Its address.
        owner: Name,
        /// What to say.
        offer: Offer,
    },
    /// Write a log line.
    Log(Notice),
    /// Record a measurement.
    Record {
        /// What.
        measure: Measure,
        /// Team, or queue for open queues.
        team: Name,
        /// Queue.
        queue: Name,
        /// Value.
        value: Duration,
    },
    /// Shutdown is complete.
    Exit,
}

/// Highest attempt number that one epoch gives to one task.
pub(crate) const ATTEMPTS_PER_EPOCH: Attempt = 1_000;

/// Content of a row, or nothing for a removed one.
pub(crate) fn content(row: &Row) -> Option<&Bytes> {
    (row.cell.version > 0).then_some(&row.cell.value)
}
