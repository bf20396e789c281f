//! Input events and output effects of the reducer.
//!
//! Invariant: each effect that expects a response carries a call id, and
//! exactly one event with that id delivers the response.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use model::{
    Attempt, Epoch, Graph, Hash, Name, Refusal, Resources, Row, RunKey, RunOutcome, Stage,
    Transaction,
};
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::explain::answer::{Error as ExplainError, Explanation, Subject};
use crate::notice::Notice;
use crate::partition::PartitionId;

/// Identifies a caller that waits for a reply; assigned by the event loop.
pub type CallerId = u64;
/// Identifies an outgoing call; unique within the process.
pub type CallId = u64;
/// Identifies a query to the external admission policy; unique among all owners of the
/// cell.
pub type QueryId = u64;

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Time {
    /// Monotonic time that also advances while the VM is suspended.
    pub now: Duration,
    /// Wall-clock time since the Unix epoch; may jump.
    pub unix: Duration,
}

/// Operation that a caller requests.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Submits a job.
    Submit(Box<Graph>),
    /// Reads the state of a job, or of the queue when no job is named.
    State,
    /// Cancels a job.
    Cancel,
}

/// A request from a caller.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Host that the request names, in lower case and without a port.
    pub host: Name,
    /// Path of the request, without the query string.
    pub path: Name,
    /// Hash of the presented API key; `None` if the caller presented none.
    pub key: Option<Hash>,
    /// Operation, with the job to submit if there is one.
    pub kind: RequestKind,
}

/// Reply to a caller or helper.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The job was accepted and is stored durably.
    Accepted,
    /// State of a job.
    State(Stage),
    /// The job is being cancelled or had already ended.
    Cancelled,
    /// Number of jobs of the queue of which no task has started.
    Pending(u32),
    /// The request was refused and will never take effect.
    Refused(Refusal),
    /// The outcome is unknown; the caller should retry.
    Unknown,
    /// The owner's response to a helper.
    Helper(OfferResponse),
    /// Explanation of a job, or why there is none.
    Explained(Box<Result<Explanation, ExplainError>>),
}

/// An offer by a VM (the helper) to query the external admission policy on
/// behalf of the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Name of the VM that makes the offer.
    pub helper: Name,
    /// Share of a CPU core that the VM has; zero while it could not become the
    /// owner.
    #[serde(rename = "strength")]
    pub cpu_share: f64,
    /// Result of the VM's previous query, which may be of an earlier owner.
    pub result: Option<(QueryId, Result<PolicyDecision, PolicyError>)>,
}

/// The owner's response to an offer, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferResponse {
    /// A query to send to the policy.
    #[serde(rename = "Errand")]
    Query(PolicyQuery),
    /// No query is waiting.
    Idle,
    /// The owner gets no answers from the table service; a VM that does should take over
    /// once the owner has been silent for long enough.
    HandOver,
    /// The table service refuses the owner's writes; a VM that it serves should take over
    /// at once.
    TurnedAway,
    /// The connection was refused: the owner's process is not listening.
    Refused,
    /// The owner did not respond.
    Lost,
}

/// A query to the external admission policy, as a helper sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyQuery {
    /// Id assigned by the owner; helpers return it with the result.
    pub id: QueryId,
    /// Job id, occurrence and step index.
    pub step: (Name, u32, u32),
    /// Ids of the candidate backend servers.
    pub servers: Vec<Name>,
    /// Expected latency of the response, from the queue's settings.
    #[serde(rename = "takes")]
    pub expected_latency: Duration,
}

/// Decision of the external admission policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyDecision {
    /// Ids of the backend servers that may run the step, each with the ticket to
    /// present in the start order.
    pub granted: Vec<(Name, Name)>,
}

/// Why a policy query has no decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum PolicyError {
    /// The policy rejected the query because it is overloaded.
    #[error("admission policy is overloaded")]
    Busy,
    /// The policy did not respond.
    #[error("admission policy did not respond")]
    Lost,
    /// The response could not be decoded, or reported an invalid query.
    #[error("admission policy response is malformed or reports an invalid query")]
    Malformed,
}

/// Tables in the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// Ownership, the owner's heartbeat and the layout.
    Cell,
    /// The owner's roster of backend servers.
    Roster,
    /// Submissions of jobs that have not ended, and cancellation requests for them.
    Job,
    /// State of every job.
    State,
}

impl Table {
    /// Key prefix of the table's rows.
    #[must_use]
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Cell => "cell/",
            Self::Roster => "roster/",
            Self::Job => "job/",
            Self::State => "state/",
        }
    }
}

/// Error of a call to the table service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A condition did not hold; nothing was written. Carries the current rows
    /// of all conditions, without those that do not exist.
    #[error("transaction condition failed")]
    Conflict(Vec<Row>),
    /// The call was not executed.
    #[error("table service unavailable; call not executed")]
    Unavailable,
    /// The call may have taken effect, or may still do so.
    #[error("table service did not respond; outcome unknown")]
    Unknown,
    /// Changes since the requested version are no longer retained.
    #[error("requested change history is no longer available")]
    HistoryLost,
}

/// Successful response of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The transaction was applied.
    Applied {
        /// Version assigned to the transaction and to the rows that it wrote.
        version: u64,
        /// Reading of the table service's monotonic clock.
        clock: Duration,
    },
    /// One page of a table scan.
    Rows {
        /// Rows in ascending key order.
        rows: Vec<Row>,
        /// Whether there are more rows after the last one.
        more: bool,
        /// Latest version of the whole table service at the time of the scan.
        version: u64,
        /// Reading of the table service's monotonic clock.
        clock: Duration,
    },
}

/// Changes of a table since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeFeed {
    /// Changed rows; a deleted row has version zero.
    pub rows: Vec<Row>,
    /// Version up to which the changes are complete.
    pub version: u64,
    /// When the call was sent.
    pub sent_at: Duration,
}

/// Registry entry of one backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Id of the backend server, shared by its incarnations.
    pub id: Name,
    /// Start time of this incarnation in ms since the Unix epoch.
    pub incarnation: u64,
    /// Address to which orders are sent.
    pub address: Name,
    /// Service that the backend server belongs to.
    pub service: Name,
    /// Data centre in which the backend server runs.
    pub data_centre: Name,
    /// Rack; empty if unknown.
    pub rack: Name,
    /// Labels, including the rack.
    pub labels: Vec<Name>,
    /// Resources of the whole backend server, free or in use.
    pub capacity: Resources,
    /// Time for which the backend server stays slow after its start.
    pub cold_left: Duration,
    /// Whether the backend server is draining before shutdown.
    pub draining: bool,
}

/// An order from the owner to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Id of the run; its number is higher than that of any earlier run of the
        /// task.
        run: RunKey,
        /// Payload of the job.
        payload: Name,
        /// Lease expiry in ms on the backend server's clock.
        lease_end: u64,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: Name,
        /// Ticket issued by the external admission policy.
        ticket: Option<Name>,
    },
    /// Stops a run.
    Stop {
        /// Id of the run, which may have ended already.
        run: RunKey,
    },
    /// Renews the lease of all runs on the backend server and requests its run
    /// lists.
    RenewLease {
        /// New lease expiry in ms on the backend server's clock; `None` leaves
        /// the lease unchanged.
        lease_end: Option<u64>,
        /// Ended runs up to this number are acknowledged and need not be
        /// reported again.
        acknowledged: u64,
        /// Maximum time for which the response may be delayed until a run ends.
        max_wait: Duration,
    },
    /// Throttles a run to a percentage of its full speed.
    Pace {
        /// Id of the run, which belongs to a best-effort task.
        run: RunKey,
        /// Percentage of full speed, 0 to 100.
        percent: u8,
    },
}

/// A run in progress, as reported by its backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// Id of the run; the owner may not know it.
    pub run: RunKey,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Name,
    /// Percentage of the work done; 100 for a long-running task that is serving.
    pub percent: u8,
    /// Tail response latency in ms, or number of processors in use.
    pub gauge: u64,
}

/// An ended run, as reported by its backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// Sequence number on this backend server; increases by one per ended run.
    pub number: u64,
    /// Id of the run; the owner may not know it.
    pub run: RunKey,
    /// How the run ended, as the backend server saw it.
    pub outcome: RunOutcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// Running and recently ended runs of a backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunLists {
    /// The backend server's clock in ms.
    pub clock: u64,
    /// The backend server's incarnation; `None` if it did not report one.
    pub incarnation: Option<u64>,
    /// Runs in progress.
    pub running: Vec<Progress>,
    /// Ended runs that have not been acknowledged.
    pub finished: Vec<Finished>,
}

/// Why a backend server rejected an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The backend server has seen a higher fencing token.
    #[error("superseded by a higher fencing token")]
    Superseded,
    /// The backend server has already seen this run number or a higher one.
    #[error("run number is not higher than one already seen")]
    NotNew,
    /// The lease in the order had expired on arrival.
    #[error("lease in the order had expired on arrival")]
    TooLate,
    /// The backend server lacks free resources for the run.
    #[error("not enough free resources")]
    NoRoom,
    /// The ticket is missing or no longer valid.
    #[error("ticket is missing or no longer valid")]
    BadTicket,
    /// The address belongs to another incarnation or another backend server.
    #[error("address belongs to another incarnation or another backend server")]
    OtherIncarnation,
    /// The backend server is unhealthy and did not execute the order.
    #[error("backend server is unhealthy; order not executed")]
    Unhealthy,
    /// The backend server could not decode the order.
    #[error("order is malformed")]
    Malformed,
}

/// Response of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderResponse {
    /// The order was executed; carries the backend server's clock in ms.
    Done(u64),
    /// Run lists, in response to a lease renewal.
    Lists(Box<RunLists>),
    /// The order was not executed.
    Rejected(Rejection),
}

/// Why a backend server's response is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderError {
    /// The order was not sent.
    #[error("order was not sent")]
    NotSent,
    /// The order may have been executed, or may still be.
    #[error("no response; outcome unknown")]
    Lost,
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer tick.
    Tick,
    /// A caller sent a request.
    ApiRequest {
        /// Caller to reply to.
        caller: CallerId,
        /// Request, not yet authenticated or routed to a queue.
        request: ApiRequest,
    },
    /// Another entry VM offers to query the external admission policy.
    Offer {
        /// VM to reply to.
        caller: CallerId,
        /// Offer, with the result of the helper's previous query.
        offer: Offer,
    },
    /// An operator asks where a job would be placed.
    Explain {
        /// Caller to reply to.
        caller: CallerId,
        /// Job to explain.
        subject: Subject,
    },
    /// The owner's response to this VM's offer.
    OfferAnswered(OfferResponse),
    /// A version of the configuration was read.
    Config {
        /// Configuration as read; ignored unless it is newer than the active one.
        config: Box<Config>,
        /// When the read was sent.
        requested_at: Duration,
    },
    /// A read found no configuration newer than the known one.
    ConfigCurrent {
        /// When the read was sent.
        requested_at: Duration,
    },
    /// A read returned the requests to evacuate data centres.
    Evacuations {
        /// All data centres that are to be evacuated.
        data_centres: BTreeSet<Name>,
        /// When the read was sent.
        requested_at: Duration,
    },
    /// The configuration can't be read because the table service does not serve
    /// this VM.
    ConfigUnreachable {
        /// Time from sending the read to its failure.
        took: Duration,
        /// Bytes of the response that arrived; `None` if it had not begun.
        received: Option<usize>,
    },
    /// Response of the table service to a commit or scan.
    StoreAnswered {
        /// Call that this responds to.
        call: CallId,
        /// Response, or an error that tells whether the call may have taken effect.
        result: Result<StoreResponse, StoreError>,
    },
    /// Changes to a followed table.
    ChangesReceived {
        /// Call that this responds to.
        call: CallId,
        /// Changes since the requested version, or why there are none.
        result: Result<ChangeFeed, StoreError>,
    },
    /// Complete list of the backend servers in the registry.
    ServersListed(Vec<Listing>),
    /// The registry entry of one backend server was added or changed.
    ServerListed(Listing),
    /// The registry entry of the backend server with this id was removed.
    ServerUnlisted(Name),
    /// Response of a backend server to an order.
    OrderAnswered {
        /// Call that this responds to.
        call: CallId,
        /// Response, or an error that tells whether the order may have been
        /// executed.
        result: Result<OrderResponse, OrderError>,
    },
    /// Response of the external admission policy.
    PolicyAnswered {
        /// Call that this responds to.
        call: CallId,
        /// Decision, or why there is none.
        result: Result<PolicyDecision, PolicyError>,
    },
    /// The process was asked to shut down.
    Shutdown,
}

/// A duration that the reducer measures and records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Metric {
    /// Latency from the arrival of a job to its acceptance.
    Accept,
    /// Time from when a placement pass first found a step ready until the start of a
    /// run of it was decided.
    Wait,
    /// Time from when the owner first learned of a job until the job reached a
    /// terminal stage.
    Job,
    /// Latency of a query to the external admission policy that got a decision.
    PolicyCall,
    /// Latency of a group commit that was applied.
    Commit,
    /// Time by which a copy ended before the estimated end of the run that it copied.
    CopySaved,
    /// Time for which a copy ran that did not end first.
    CopySpent,
}

/// Output of the reducer, carried out by the event loop.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Reply to a caller or helper.
    Reply {
        /// Caller or helper that waits for the reply.
        caller: CallerId,
        /// Reply to deliver, dropped if the caller has disconnected.
        reply: Reply,
    },
    /// Commit a transaction to the table service.
    Commit {
        /// Call id of the response.
        call: CallId,
        /// Partition of all rows in the transaction.
        partition: PartitionId,
        /// Conditions and writes, applied as a whole or not at all.
        transaction: Transaction,
        /// Timeout; `None` for the default.
        timeout: Option<Duration>,
    },
    /// Read one page of a table's rows in one partition, starting at a key.
    Scan {
        /// Call id of the response.
        call: CallId,
        /// Partition whose rows are read.
        partition: PartitionId,
        /// Table whose rows are read, in ascending key order.
        table: Table,
        /// First key to read, without the table's prefix.
        from: Name,
        /// Maximum number of rows.
        limit: u32,
    },
    /// Wait for changes to a table, in any partition.
    Follow {
        /// Call id of the response.
        call: CallId,
        /// Table whose changes are reported: `Table::Cell` or `Table::Job`.
        table: Table,
        /// Only changes after this version are reported.
        after: u64,
        /// Maximum time to wait for a change (long poll).
        wait: Duration,
    },
    /// Start or stop watching the registry of backend servers.
    WatchServers(bool),
    /// Send an order to a backend server.
    Order {
        /// Call id of the response.
        call: CallId,
        /// Id of the backend server that the order is meant for.
        server: Name,
        /// Address to send to, from the server's registry entry or the roster. It
        /// may belong to another backend server by now, which rejects the order.
        address: Name,
        /// Fencing token; a backend server that has seen a higher one rejects the
        /// order.
        token: Epoch,
        /// Order, answered by `Event::OrderAnswered`.
        order: Box<Order>,
    },
    /// Query the external admission policy.
    QueryPolicy {
        /// Call id of the response.
        call: CallId,
        /// Query of this VM or of the owner that it helps, answered by
        /// `Event::PolicyAnswered`.
        query: Box<PolicyQuery>,
    },
    /// Offer the owner to query the external admission policy.
    Offer {
        /// Address at which the owner accepts offers.
        owner: Name,
        /// Offer, answered by `Event::OfferAnswered`.
        offer: Offer,
    },
    /// Write a log event.
    Log(Notice),
    /// Record a sample of a metric.
    RecordMetric {
        /// Metric that the sample belongs to.
        metric: Metric,
        /// Team; empty if the sample belongs to no team.
        team: Name,
        /// Queue; empty if the sample belongs to no queue.
        queue: Name,
        /// Measured duration; [`Metric`] says what it spans.
        value: Duration,
    },
    /// Exit the process; shutdown is complete.
    Exit,
}

/// Distance between the lowest run numbers that consecutive epochs assign to a
/// task, so that the runs of a later owner have higher numbers. A task that fails
/// or is rejected ten times a second uses a day to get there.
pub(crate) const RUN_NUMBERS_PER_EPOCH: Attempt = 1_000_000;

/// Returns the value of a row, or `None` if the row was deleted.
pub(crate) fn live_value(row: &Row) -> Option<&Bytes> {
    (row.cell.version > 0).then_some(&row.cell.value)
}
