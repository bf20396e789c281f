//! Jobs as graphs of steps, placed on backend servers that a registry lists.
//!
//! Every entry VM runs one `Node`. Any of them accepts jobs, by a transaction
//! of the table service; one of them, the owner, decides what runs where. The
//! owner's epoch is the fencing token of all its orders.
//!
//! `Node::step` takes one event and the time; `Node::settle` decides what
//! follows from the events taken so far. Neither has a clock, I/O or
//! randomness of its own.
//!
//! Invariant: what callers were told is in the table service, and what is
//! only in memory can be rebuilt from it and from the backend servers' lists.

pub(crate) mod accounts;
pub(crate) mod advice;
pub(crate) mod commit;
pub(crate) mod config;
pub(crate) mod drain;
pub(crate) mod ends;
pub(crate) mod event;
pub(crate) mod fleet;
pub(crate) mod forecast;
pub(crate) mod intake;
pub(crate) mod ledger;
pub(crate) mod lists;
pub(crate) mod node;
pub(crate) mod notice;
pub(crate) mod orders;
pub(crate) mod owner;
pub(crate) mod pace;
pub(crate) mod place;
pub(crate) mod plan;
pub(crate) mod recover;
pub(crate) mod rows;
pub(crate) mod settings;
pub(crate) mod summary;
pub(crate) mod term;
pub(crate) mod verify;

pub use config::{AdmissionPolicy, Config, Queue, Service, Team};
pub use event::{
    CallError, CallId, CallerId, ChangeFeed, ClientRequest, Effect, Event, Finished, Listing,
    Measure, Offer, OfferResponse, Order, Outcome, PolicyDecision, PolicyError, PolicyQuery,
    Progress, Rejection, Reply, RequestKind, RunLists, StoreError, StoreResponse, Table, Time,
};
pub use node::Node;
pub use notice::Notice;
pub use settings::{Settings, Timing};
pub use verify::Violation;
