//! The edges of the process, as traits.
//!
//! Each has one client over HTTP here and one fake in the tests. Another
//! platform is fitted by implementing these traits.
//!
//! Invariant: each call ends within its limit, with an answer or a fault that
//! says whether it may have taken effect.

use std::future::Future;
use std::time::Duration;

use control::{Execute, ExecuteFault, TableResponse, Tables, Whole, WorkerFault};
use model::{Name, TableError, VmList, WorkerCall, WorkerReport};

/// The platform: table service and VM list.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Calls the table service.
    fn table(
        &self,
        call: Tables,
        limit: Duration,
    ) -> impl Future<Output = Result<TableResponse, TableError>> + Send;

    /// Reads the VM list unless `known` is its version; `None` when it can't
    /// be read.
    fn vms(&self, known: u64, limit: Duration) -> impl Future<Output = Option<VmList>> + Send;
}

/// Workers.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Calls one worker.
    fn call(
        &self,
        address: Name,
        call: WorkerCall,
        limit: Duration,
    ) -> impl Future<Output = Result<WorkerReport, WorkerFault>> + Send;
}

/// Executors.
pub trait Executors: Clone + Send + Sync + 'static {
    /// Runs one request.
    fn run(&self, execute: Execute) -> impl Future<Output = Result<Whole, ExecuteFault>> + Send;
}

/// All outgoing edges of a process.
#[derive(Clone, Debug)]
pub struct Edges<P, W, X> {
    /// Platform.
    pub platform: P,
    /// Workers.
    pub workers: W,
    /// Executors.
    pub executors: X,
}
