//! Test doubles for the systems that greengagemast talks to, a ledger of the
//! work that was executed, and a naive placement policy as a reference.
//!
//! Invariant: no production crate depends on this one. Only the test doubles
//! write to the ledger; it is never derived from the product's own counters.

pub mod cell;
pub mod deployment;
pub mod executor;
pub mod graphs;
pub mod http;
pub mod ledger;
pub mod naive;
pub mod schedule;
pub mod table;
pub mod worker;
