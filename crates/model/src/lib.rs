//! Shared data types: resources, configuration, jobs, requests, and the messages
//! exchanged with the platform and the workers.
//!
//! Invariant: no type here uses a clock, I/O or interior mutability. All types
//! are plain data that can be compared, and those stored or sent can be
//! serialized.

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
pub use config::{Change, Config, ConfigError, Preset, Queue, Team, TeamOrder};
pub use graph::{
    Graph, GraphError, Occurrence, Recurrence, RunKey, RunOutcome, Stage, Step, StepIndex, TaskId,
};
pub use id::{Attempt, Epoch, JobId, Name, TaskIndex};
pub use job::{Job, Phase, Spec, Status, WorkKind};
pub use key::Hash;
pub use resources::Resources;
pub use table::{Cell, Condition, Row, TableError, Transaction, Write};
pub use vm::{Executor, Role, Vm, VmLifecycle, VmList};
pub use worker::{AttemptOutcome, Finished, Running, Start, Stop, WorkerCall, WorkerReport};
