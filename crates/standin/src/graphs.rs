//! Schedules of several graph schedulers against a table service, backend
//! servers and callers, in one thread and in simulated time.
//!
//! Every promise about graph jobs is checked as the world goes on, from what
//! the backend servers run and what callers were told.
//!
//! Invariant: a run depends on its seed and its faults only.

pub(crate) mod callers;
pub(crate) mod checks;
pub(crate) mod faults;
pub(crate) mod server;
pub(crate) mod store;
pub(crate) mod world;

pub use checks::GuaranteeViolation;
pub use faults::Fault;
pub use world::{Report, Simulation, SimulationOptions};
