//! The reducer of one entry VM.
//!
//! `Node::step` takes one event and the time and appends effects; it has no
//! clock, randomness source, I/O or threads of its own.
//!
//! Invariant: every promise is kept by what `step` decides, given only what
//! `docs/INTERFACES.md` asks of the edges; no effect has to succeed for it.

pub(crate) mod allotment;
pub(crate) mod calls;
pub(crate) mod claims;
pub(crate) mod configuration;
pub(crate) mod dispatch;
pub(crate) mod event;
pub(crate) mod gateway;
pub(crate) mod jobs;
pub(crate) mod membership;
pub(crate) mod node;
pub(crate) mod notice;
pub(crate) mod orphans;
pub(crate) mod owner;
pub(crate) mod relay;
pub(crate) mod settings;
pub(crate) mod slots;
pub(crate) mod store;
pub(crate) mod submit;
pub(crate) mod takeover;
pub(crate) mod verify;
pub(crate) mod view;

pub use event::{
    ApiRequest, CallerId, Effect, Event, Execute, ExecuteFault, ExecutorResponse, Fleet, Metric,
    Peer, Reply, TableCall, WorkerFault,
};
pub use node::Node;
pub use notice::Notice;
pub use settings::{Identity, Settings, Timing};
pub use store::TableResponse;
pub use verify::Violation;
