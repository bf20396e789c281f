//! The shell around the reducer: sockets, timers, logs and metrics.
//!
//! One loop on one thread feeds events to `control::Node` and carries out its
//! effects; everything that waits is a task that sends its result back as an
//! event.
//!
//! Invariant: no decision is made here.

pub(crate) mod admin;
pub(crate) mod callers;
pub(crate) mod cli;
pub(crate) mod event_loop;
pub(crate) mod http_client;
pub(crate) mod log_sink;
pub(crate) mod mesh;
pub(crate) mod metrics;
pub(crate) mod outbound;
pub(crate) mod platform;
pub(crate) mod server;
pub(crate) mod settings;
pub(crate) mod worker_client;

pub use cli::main_with;
pub use http_client::{Client, ExchangeError};
pub use outbound::{Executors, OutboundClients, Platform, Workers};
pub use platform::{CommitRequest, ListVmsRequest, ReadRequest, ReadResponse};
pub use settings::{File, Problem, load, parse};
