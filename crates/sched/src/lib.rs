//! Scheduler for jobs that are graphs of steps. Tasks are placed on backend
//! servers discovered through a registry.
//!
//! Every entry VM runs one `Node`. Any node accepts jobs, by committing a
//! transaction to the table service. One node, the owner, decides what runs
//! where; its epoch is the fencing token of all its orders.
//!
//! `Node::step` handles one event at a given time; `Node::settle` makes the
//! decisions that follow from the events handled so far. Both are
//! deterministic: they do no I/O and read no clock or random source.
//!
//! Invariant: everything acknowledged to a caller is stored in the table
//! service. State held only in memory can be rebuilt from the table service and
//! from the run lists of the backend servers.

pub(crate) mod acceptance;
pub(crate) mod accounts;
pub(crate) mod advice;
pub(crate) mod commit;
pub(crate) mod config;
pub(crate) mod copies;
pub(crate) mod divide;
pub(crate) mod drain;
pub(crate) mod ends;
pub(crate) mod evacuation;
pub(crate) mod event;
pub(crate) mod explain;
pub(crate) mod failures;
pub(crate) mod fence;
pub(crate) mod fleet;
pub(crate) mod forecast;
pub(crate) mod heartbeat;
pub(crate) mod intake;
pub(crate) mod ledger;
pub(crate) mod lists;
pub(crate) mod losses;
pub(crate) mod node;
pub(crate) mod notice;
pub(crate) mod orders;
pub(crate) mod owner;
pub(crate) mod pace;
pub(crate) mod partition;
pub(crate) mod place;
pub(crate) mod plan;
pub(crate) mod recover;
pub(crate) mod registry;
pub(crate) mod roster;
pub(crate) mod rows;
pub(crate) mod settings;
pub(crate) mod summary;
pub(crate) mod term;
pub(crate) mod verify;

pub use config::{AdmissionPolicy, Config, Queue, Service, Team};
pub use event::{
    ApiRequest, CallId, CallerId, ChangeFeed, Effect, Event, Finished, Listing, Metric, Offer,
    OfferResponse, Order, OrderError, OrderResponse, PolicyDecision, PolicyError, PolicyQuery,
    Progress, QueryId, Rejection, Reply, RequestKind, RunLists, StoreError, StoreResponse, Table,
    Time,
};
pub use explain::answer::{
    Error as ExplainError, Excluded, Explanation, Place, StepExplanation, Subject, Verdict,
};
pub use node::Node;
pub use notice::Notice;
pub use partition::{Layout, LayoutError, PartitionId};
pub use settings::{Settings, Timing};
pub use verify::Violation;
