//! Placement, fair share, limits, gangs and preemption for one data centre.
//!
//! The engine is pure: callers pass the time in and get decisions out.
//!
//! Invariant: after every call each worker's free resources equal its capacity
//! less its running tasks, each team's use equals the sum of its tasks, and no
//! team holds more than its allotment gained through a placement.

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
