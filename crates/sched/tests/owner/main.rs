//! Tests of a single entry VM against simulated responses of the table service,
//! the registry, the backend servers and the external admission policy.

mod acceptance;
mod capacity;
mod changes;
mod copies;
mod evacuation;
mod explain;
mod gangs;
mod handover;
mod harness;
mod health;
mod incarnations;
mod losses;
mod occurrences;
mod queries;
mod registry;
mod room;
mod roster;
mod rows;
mod servers;
mod starts;
mod takeover;
mod term;
