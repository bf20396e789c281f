//! I/O of an entry VM around the reducer: sockets, timers, logs and metrics.
//!
//! A single-threaded event loop feeds events to `control::Node` and executes
//! its effects. Operations that wait run as separate tasks and send their
//! results back as events.
//!
//! Invariant: this crate makes no scheduling decisions; the reducer makes them.

pub(crate) mod admin;
pub(crate) mod callers;
pub(crate) mod cli;
pub(crate) mod edge;
pub(crate) mod http_client;
pub(crate) mod log_sink;
pub(crate) mod mesh;
pub(crate) mod metrics;
pub(crate) mod platform;
pub(crate) mod server;
pub(crate) mod settings;
pub(crate) mod shell;
pub(crate) mod worker_client;

pub use cli::main_with;
pub use edge::{Executors, OutboundClients, Platform, Workers};
pub use http_client::{Client, ExchangeError, TimeLimit};
pub use platform::{CommitRequest, HttpPlatform, ListVmsRequest, ReadRequest, ReadResponse};
pub use settings::{File, Problem, Services, load, parse};
