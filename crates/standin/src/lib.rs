//! Small stand-ins for the systems that greengagemast meets, a ledger of what
//! truly ran, and a naive placement policy for comparison.
//!
//! Invariant: nothing here is used by the product; the ledger is written by
//! the stand-ins only, never from the product's own counters.

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
