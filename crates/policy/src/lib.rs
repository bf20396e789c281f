//! Placement, fair share, limits, gangs and preemption for one data centre.
//!
//! The engine performs no I/O and reads no clock: callers pass in the current
//! time and carry out the returned decisions.
//!
//! Invariant: after every call, the free resources of each worker equal its
//! capacity less its running tasks, the use of each team equals the sum of its
//! tasks, and no placement has raised a team's use above its allotment.

pub(crate) mod allowance;
pub(crate) mod backfill;
pub(crate) mod engine;
pub(crate) mod explain;
pub(crate) mod finish;
pub mod fit;
pub(crate) mod gang;
pub mod headroom;
pub(crate) mod health;
pub(crate) mod learn;
pub(crate) mod preempt;
pub(crate) mod queue;
pub mod rank;
pub(crate) mod recover;
pub(crate) mod select;
pub mod shortage;
pub mod shortlist;
pub mod speculation;
pub(crate) mod tree;
pub(crate) mod verify;
pub(crate) mod worker;

pub use allowance::TokenBucket;
pub use engine::{Decision, Engine, JobRequest, Settings};
pub use health::Health;
pub use learn::RuntimeEstimates;
pub use queue::{JobRef, Outcome, TeamId};
pub use verify::Violation;
pub use worker::{WorkerId, WorkerState};
