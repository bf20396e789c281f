//! Shared vocabulary: resources, configuration, jobs, requests and the typed
//! messages at the edges of the system.
//!
//! Invariant: nothing here has a clock, I/O or interior state; every type is
//! plain data that can be compared and serialized.

pub(crate) mod answer;
pub mod config;
pub mod graph;
pub(crate) mod id;
pub mod job;
pub mod key;
pub(crate) mod resources;
pub(crate) mod table;
pub(crate) mod vm;
pub(crate) mod worker;

pub use answer::{Answer, Reason, Refusal};
pub use config::{Change, Config, Conflict, Order, Preset, Queue, Team};
pub use graph::{End, Graph, Occurrence, Recurrence, Run, Stage, Step, StepIndex, TaskName};
pub use id::{Attempt, Epoch, JobId, Name, TaskIndex};
pub use job::{Job, Phase, Spec, Status, Work};
pub use key::Hash;
pub use resources::Resources;
pub use table::{Cell, Condition, Fault, Row, Transaction, Write};
pub use vm::{Executor, Life, Listing, Role, Vm};
pub use worker::{Call, Ended, Finished, Report, Running, Start, Stop};
