//! Deterministic simulation of several graph schedulers with a table service,
//! backend servers and clients, in one thread and in simulated time.
//!
//! The guarantees for graph jobs are checked throughout the simulation, from
//! what the backend servers run and what the clients were told.
//!
//! Invariant: the course of a simulation depends only on its seed, its faults
//! and its options.

pub(crate) mod callers;
pub(crate) mod checks;
pub(crate) mod faults;
pub(crate) mod server;
pub(crate) mod store;
pub(crate) mod world;

pub use checks::GuaranteeViolation;
pub use faults::Fault;
pub use world::{Burst, Report, Simulation, SimulationOptions};
