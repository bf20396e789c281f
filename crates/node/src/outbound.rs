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
    /// Calls the table service.
    fn table(
        &self,
        call: TableCall,
        limit: Duration,
    ) -> impl Future<Output = Result<TableResponse, TableError>> + Send;

    /// Reads the VM list. The listing is empty if its version is `known`;
    /// `None` if it cannot be read.
    fn vms(&self, known: u64, limit: Duration) -> impl Future<Output = Option<VmList>> + Send;
}

/// Calls to workers.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Calls one worker.
    fn call(
        &self,
        address: Name,
        call: WorkerCall,
        limit: Duration,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;
}

/// Calls to executors.
pub trait Executors: Clone + Send + Sync + 'static {
    /// Runs one request on an executor.
    fn run(
        &self,
        execute: Execute,
    ) -> impl Future<Output = Result<ExecutorResponse, ExecuteError>> + Send;
}

/// Clients for all outgoing calls of the process.
#[derive(Clone, Debug)]
pub struct OutboundClients<P, W, X> {
    /// Client of the platform.
    pub platform: P,
    /// Client of the workers.
    pub workers: W,
    /// Client of the executors.
    pub executors: X,
}
