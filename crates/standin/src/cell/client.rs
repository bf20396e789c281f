//! HTTP clients of a cell, and the state shared by its load generators,
//! operators and fault injection.
//!
//! Invariant: each request is recorded once, with exactly one outcome.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use model::{Change, JobId, Name};
use node::{Client, ExchangeError};
use serde_json::Value;

use crate::cell::Options;
use crate::cell::daemons::{ADMIN_TOKEN, Daemons};
use crate::cell::world::{World, lock};
use crate::deployment::Deployment;

/// Maximum number of attempts per call, each on a different entry VM if one is
/// ready.
const MAX_ATTEMPTS: usize = 3;
/// Time that a client waits for a response beyond the deadline of its call.
const RESPONSE_MARGIN: Duration = Duration::from_secs(3);

/// Outcome of a request as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientOutcome {
    /// The expected response was received.
    Answered,
    /// The request succeeded with an unexpected response body.
    WrongAnswer,
    /// The request was refused and has not run.
    Refused,
    /// The request may have run.
    Unknown,
    /// No attempt could send the request, so it has not run.
    Lost,
}

/// Record of a finished request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: Name,
    pub(crate) team: Name,
    pub(crate) outcome: ClientOutcome,
    pub(crate) took_ms: u64,
    pub(crate) run_ms: u64,
}

/// Record of an accepted job.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedJob {
    pub(crate) id: JobId,
    pub(crate) team: Name,
    pub(crate) tasks: u32,
    pub(crate) urgent: bool,
    pub(crate) sent_ms: u64,
    pub(crate) cancelled: bool,
}

/// State shared by load generators, operators and fault injection. `entry_vms`
/// holds the client and admin address of each entry VM, and `ready` its last
/// probed readiness, both in the order of [`Daemons::list`].
pub(crate) struct Harness {
    pub(crate) deployment: Deployment,
    pub(crate) world: Arc<World>,
    pub(crate) options: Options,
    pub(crate) http: Client,
    pub(crate) entry_vms: Vec<(SocketAddr, SocketAddr)>,
    pub(crate) ready: Vec<AtomicBool>,
    pub(crate) keys: Mutex<BTreeMap<Name, String>>,
    pub(crate) request_records: Mutex<Vec<RequestRecord>>,
    pub(crate) jobs: Mutex<Vec<AcceptedJob>>,
    pub(crate) jobs_refused: Mutex<u64>,
    pub(crate) samples: Mutex<Vec<crate::cell::report::Sample>>,
    pub(crate) accepted_after_withdrawal: Mutex<u64>,
    pub(crate) withdrawn_key: Mutex<Option<(String, u64)>>,
    pub(crate) lost_updates: Mutex<u64>,
}

/// API key that a team has at the start of a run.
pub(crate) fn team_key(team: &Name) -> String {
    format!("key-of-{team}")
}

impl Harness {
    pub(crate) fn new(
        deployment: &Deployment,
        daemons: &Daemons,
        world: Arc<World>,
        options: Options,
    ) -> Self {
        let teams = deployment.config.teams.keys();
        Self {
            deployment: deployment.clone(),
            world,
            options,
            http: Client::default(),
            entry_vms: daemons
                .list
                .iter()
                .map(|d| (d.client_addr, d.admin_addr))
                .collect(),
            ready: daemons.list.iter().map(|_| AtomicBool::new(true)).collect(),
            keys: Mutex::new(teams.map(|t| (t.clone(), team_key(t))).collect()),
            request_records: Mutex::default(),
            jobs: Mutex::default(),
            jobs_refused: Mutex::default(),
            samples: Mutex::default(),
            accepted_after_withdrawal: Mutex::default(),
            withdrawn_key: Mutex::default(),
            lost_updates: Mutex::default(),
        }
    }

    /// Picks a random ready entry VM that is not in `tried`, as a load balancer
    /// does. If there is none, picks any entry VM.
    fn pick_entry_vm(&self, tried: &[usize]) -> usize {
        let ready: Vec<usize> = (0..self.entry_vms.len())
            .filter(|index| self.ready[*index].load(Ordering::Relaxed) && !tried.contains(index))
            .collect();
        match ready.is_empty() {
            true => fastrand::usize(..self.entry_vms.len()),
            false => ready[fastrand::usize(..ready.len())],
        }
    }

    /// Probes the readiness of each entry VM, as a load balancer does.
    pub(crate) async fn update_readiness(&self) {
        for (index, (client_addr, _)) in self.entry_vms.iter().enumerate() {
            let request = request(Method::GET, *client_addr, "/readyz", Bytes::new(), &[]);
            let address = format_compact!("{client_addr}");
            let limit = Duration::from_millis(300);
            let response = self.http.exchange(&address, request, limit).await;
            let ready = response.is_ok_and(|r| r.status().is_success());
            self.ready[index].store(ready, Ordering::Relaxed);
        }
    }

    /// Sends a call to one entry VM after another until one responds. The second
    /// value is true if an earlier attempt may have been executed.
    pub(crate) async fn send_with_retries(
        &self,
        method: Method,
        path: &str,
        body: &Bytes,
        headers: &[(&str, &str)],
        limit: Duration,
    ) -> (Option<Response<Bytes>>, bool) {
        let round_trip = Duration::from_micros(2 * self.deployment.client_delay_us);
        tokio::time::sleep(round_trip).await;
        let mut may_have_run = false;
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let index = self.pick_entry_vm(&tried);
            tried.push(index);
            let client_addr = self.entry_vms[index].0;
            let request = request(method.clone(), client_addr, path, body.clone(), headers);
            let address = format_compact!("{client_addr}");
            match self
                .http
                .exchange(&address, request, limit + RESPONSE_MARGIN)
                .await
            {
                Ok(response) => return (Some(response), may_have_run),
                Err(ExchangeError::NotSent) => {}
                Err(ExchangeError::NoResponse | ExchangeError::Incomplete { .. }) => {
                    may_have_run = true
                }
            }
        }
        (None, may_have_run)
    }

    /// Submits a configuration change to one entry VM. With `expect`, the change
    /// applies only to that configuration version.
    pub(crate) async fn submit_change(
        &self,
        index: usize,
        change: &Change,
        expect: Option<u64>,
    ) -> Option<(u16, Value)> {
        let admin_addr = self.entry_vms[index].1;
        let path = match expect {
            Some(v) => format!("/admin/v1/changes?expect={v}"),
            None => "/admin/v1/changes".to_owned(),
        };
        let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
        let bearer = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let request = request(Method::POST, admin_addr, &path, body, &headers);
        let address = format_compact!("{admin_addr}");
        let response = self
            .http
            .exchange(&address, request, Duration::from_secs(8))
            .await
            .ok()?;
        let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        Some((response.status().as_u16(), value))
    }

    /// Returns the configuration version of each entry VM; `None` for one that
    /// does not respond.
    pub(crate) async fn config_versions(&self) -> Vec<Option<u64>> {
        let queries = self.entry_vms.iter().map(|(_, admin_addr)| {
            let admin_addr = *admin_addr;
            tokio::spawn(async move {
                fetch_fleet(admin_addr)
                    .await
                    .and_then(|f| f["config"].as_u64())
            })
        });
        let mut versions = Vec::new();
        for query in queries.collect::<Vec<_>>() {
            versions.push(query.await.ok().flatten());
        }
        versions
    }

    pub(crate) fn record_request(&self, record: RequestRecord) {
        lock(&self.request_records).push(record);
    }
}

/// Fetches the state of the fleet as seen by one entry VM.
pub(crate) async fn fetch_fleet(admin_addr: SocketAddr) -> Option<Value> {
    let bearer = format!("Bearer {ADMIN_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let request = request(
        Method::GET,
        admin_addr,
        "/admin/v1/fleet",
        Bytes::new(),
        &headers,
    );
    let address = format_compact!("{admin_addr}");
    let limit = Duration::from_millis(500);
    let response = Client::default()
        .exchange(&address, request, limit)
        .await
        .ok()?;
    serde_json::from_slice(response.body()).ok()
}

fn request(
    method: Method,
    to: SocketAddr,
    path: &str,
    body: Bytes,
    headers: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string());
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    // Building fails only on invalid paths or headers, which the callers do not
    // pass.
    builder.body(Full::new(body)).unwrap_or_default()
}
