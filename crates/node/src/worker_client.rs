//! HTTP clients of workers and executors.
//!
//! Invariant: an executor's response is accepted only if it is complete and
//! carries the id of the run.

use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use control::{Execute, ExecuteError, ExecutorResponse, WorkerError};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use model::{Name, WorkerCall, WorkerReport};

use crate::edge::{Executors, Workers};
use crate::http_client::{Client, ExchangeError, post_json};

/// Header with the id of a run, in the request and in the response.
const RUN_ID: &str = "x-run-id";
/// Header of a 503 response by which an executor states that it did not run the
/// request.
const NOT_RUN: &str = "x-not-run";

/// Implements `Workers` over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpWorkers(pub(crate) Client);

impl Workers for HttpWorkers {
    async fn call(
        &self,
        address: Name,
        call: WorkerCall,
        limit: Duration,
    ) -> Result<WorkerReport, WorkerError> {
        let request = post_json(&address, "/v1/call", &call);
        let response = self.0.exchange(&address, request, limit).await;
        let response = response.map_err(|error| match error {
            ExchangeError::NotSent => WorkerError::NotSent,
            ExchangeError::NoResponse | ExchangeError::Incomplete { .. } => WorkerError::Lost,
        })?;
        serde_json::from_slice(response.body()).map_err(|_| WorkerError::Lost)
    }
}

/// Implements `Executors` over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpExecutors {
    pub(crate) client: Client,
    /// Prefix of run ids that is unique to this process.
    pub(crate) run_prefix: Name,
}

impl Executors for HttpExecutors {
    async fn run(&self, execute: Execute) -> Result<ExecutorResponse, ExecuteError> {
        let id = format_compact!("{}-{}", self.run_prefix, execute.id);
        let request = run_request(&id, &execute);
        let limit = execute.timeout;
        if execute.new_connection {
            self.client.close_idle(&execute.address);
        }
        let response = self.client.exchange(&execute.address, request, limit).await;
        match response {
            Err(ExchangeError::NotSent) => Err(ExecuteError::NotRun),
            Err(ExchangeError::NoResponse | ExchangeError::Incomplete { .. }) => {
                Err(ExecuteError::Lost)
            }
            Ok(response) => parse_run_response(&id, response),
        }
    }
}

fn run_request(id: &Name, execute: &Execute) -> Request<Full<Bytes>> {
    let mut request = post_json(&execute.address, "/run", &());
    *request.body_mut() = Full::new(execute.body.clone());
    let headers = request.headers_mut();
    let run_headers = [
        (RUN_ID, id),
        ("x-team", &execute.team),
        ("x-queue", &execute.queue),
    ];
    for (name, value) in run_headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    request
}

fn parse_run_response(
    id: &Name,
    response: Response<Bytes>,
) -> Result<ExecutorResponse, ExecuteError> {
    let run_id = response.headers().get(RUN_ID).map(HeaderValue::as_bytes);
    let matches_run = run_id == Some(id.as_bytes());
    match response.status().as_u16() {
        _ if !matches_run => Err(ExecuteError::Lost),
        503 if response.headers().contains_key(NOT_RUN) => Err(ExecuteError::NotRun),
        status => Ok(ExecutorResponse {
            status,
            body: response.into_body(),
        }),
    }
}
