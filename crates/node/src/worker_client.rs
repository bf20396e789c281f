//! Clients of workers and executors.
//!
//! Invariant: an executor's answer counts only if it names the run it belongs
//! to and is whole.

use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use control::{Execute, ExecuteFault, Whole, WorkerFault};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use model::{Name, WorkerCall, WorkerReport};

use crate::edge::{Executors, Workers};
use crate::http_client::{Client, Failure, post_json};

/// Header that names a run, in the request and in the answer.
const RUN_ID: &str = "x-run-id";
/// Header by which an executor says that it did not run the request.
const NOT_RUN: &str = "x-not-run";

/// Workers over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpWorkers(pub(crate) Client);

impl Workers for HttpWorkers {
    async fn call(
        &self,
        address: Name,
        call: WorkerCall,
        limit: Duration,
    ) -> Result<WorkerReport, WorkerFault> {
        let request = post_json(&address, "/v1/call", &call);
        let response = self.0.exchange(&address, request, limit).await;
        let response = response.map_err(|failure| match failure {
            Failure::NotSent => WorkerFault::NotSent,
            Failure::Lost => WorkerFault::Lost,
        })?;
        serde_json::from_slice(response.body()).map_err(|_| WorkerFault::Lost)
    }
}

/// Executors over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpExecutors {
    pub(crate) client: Client,
    /// Distinguishes the runs of this process from those of others.
    pub(crate) run_prefix: Name,
}

impl Executors for HttpExecutors {
    async fn run(&self, execute: Execute) -> Result<Whole, ExecuteFault> {
        let id = format_compact!("{}-{}", self.run_prefix, execute.id);
        let request = run_request(&id, &execute);
        let limit = execute.timeout;
        if execute.fresh {
            self.client.forget(&execute.address);
        }
        let response = self.client.exchange(&execute.address, request, limit).await;
        match response {
            Err(Failure::NotSent) => Err(ExecuteFault::NotRun),
            Err(Failure::Lost) => Err(ExecuteFault::Lost),
            Ok(response) => whole(&id, response),
        }
    }
}

fn run_request(id: &Name, execute: &Execute) -> Request<Full<Bytes>> {
    let mut request = post_json(&execute.address, "/run", &());
    *request.body_mut() = Full::new(execute.body.clone());
    let headers = request.headers_mut();
    let named = [
        (RUN_ID, id),
        ("x-team", &execute.team),
        ("x-queue", &execute.queue),
    ];
    for (name, value) in named {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    request
}

fn whole(id: &Name, response: Response<Bytes>) -> Result<Whole, ExecuteFault> {
    let named = response.headers().get(RUN_ID).map(HeaderValue::as_bytes);
    let mine = named == Some(id.as_bytes());
    match response.status().as_u16() {
        _ if !mine => Err(ExecuteFault::Lost),
        503 if response.headers().contains_key(NOT_RUN) => Err(ExecuteFault::NotRun),
        status => Ok(Whole {
            status,
            body: response.into_body(),
        }),
    }
}
