//! Traits for outgoing calls to the platform, workers and executors.
//!
//! This crate implements each trait over HTTP. Support for another platform is
//! added by implementing them again.
//!
//! Invariant: each call completes within its time limit, with a response or
//! with an error that states whether the call may have taken effect.

use std::future::Future;
use std::time::Duration;

use control::{Execute, ExecuteError, ExecutorResponse, TableCall, TableResponse, WorkerError};
use model::{Name, TableError, VmList, WorkerCall, WorkerReport};

/// Calls to the platform's table service and VM list.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads rows from the table service or commits transactions to it, within
    /// `limit`. A scan, whose size has no bound, has to begin within `limit` and may
    /// go on as long as its rows arrive.
    fn table(
        &self,
        call: TableCall,
        limit: Duration,
    ) -> impl Future<Output = Result<TableResponse, TableError>> + Send;

    /// Reads the VM list within `limit`. The list is empty if its version is
    /// `known`; `None` if it cannot be read.
    fn vms(&self, known: u64, limit: Duration) -> impl Future<Output = Option<VmList>> + Send;
}

/// Calls by which an owner claims workers and sends them orders.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Sends leases and orders to the worker at `address` and returns its report.
    /// `limit` covers the time for which the worker may hold its response.
    fn call(
        &self,
        address: Name,
        call: WorkerCall,
        limit: Duration,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;
}

/// Calls that run requests on executors.
pub trait Executors: Clone + Send + Sync + 'static {
    /// Sends a request to an executor and returns its complete response, within
    /// `execute.timeout`.
    fn run(
        &self,
        execute: Execute,
    ) -> impl Future<Output = Result<ExecutorResponse, ExecuteError>> + Send;
}

/// Clients for all outgoing calls of the process.
#[derive(Clone, Debug)]
pub struct OutboundClients<P, W, X> {
    /// Client of the table service and the VM list.
    pub platform: P,
    /// Client for worker calls of this node as the owner.
    pub workers: W,
    /// Client for runs of this node as the owner.
    pub executors: X,
}
