//! Deterministic reducer of one entry VM.
//!
//! `Node::step` takes one event and the current time and appends effects. It
//! uses no clock, entropy source, I/O or threads of its own; its random numbers
//! come from a seed.
//!
//! Invariant: the guarantees of the system follow from the decisions of `step`
//! and the properties that `docs/INTERFACES.md` requires of the external
//! interfaces. They do not depend on any effect succeeding.

pub(crate) mod allotment;
pub(crate) mod calls;
pub(crate) mod claims;
pub(crate) mod configuration;
pub(crate) mod dispatch;
pub(crate) mod evacuation;
pub(crate) mod event;
pub(crate) mod gateway;
pub(crate) mod jobs;
pub(crate) mod membership;
pub(crate) mod node;
pub(crate) mod notice;
pub(crate) mod owner;
pub(crate) mod relay;
pub(crate) mod settings;
pub(crate) mod slots;
pub(crate) mod store;
pub(crate) mod strays;
pub(crate) mod submit;
pub(crate) mod takeover;
pub(crate) mod verify;
pub(crate) mod view;

pub use event::{
    ApiRequest, CallerId, Effect, Evacuation, Event, Execute, ExecuteError, ExecutorResponse,
    Fleet, Metric, Peer, Reply, TableCall, WorkerError,
};
pub use node::Node;
pub use notice::Notice;
pub use settings::{Identity, Settings, Timing};
pub use store::TableResponse;
pub use verify::Violation;
