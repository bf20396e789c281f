//! Callers and operators of a cell.
//!
//! Invariant: what a caller saw is classified once: answered, refused,
//! unknown, or lost when no answer came at all.

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

/// Tries of one caller, on different entry VMs.
const MAX_ATTEMPTS: usize = 3;
/// Time that a caller waits beyond its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_secs(3);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientOutcome {
    Answered,
    WrongAnswer,
    Refused,
    Unknown,
    Lost,
}

/// One finished request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: Name,
    pub(crate) team: Name,
    pub(crate) outcome: ClientOutcome,
    pub(crate) took_ms: u64,
    pub(crate) run_ms: u64,
}

/// One accepted job.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedJob {
    pub(crate) id: JobId,
    pub(crate) team: Name,
    pub(crate) tasks: u32,
    pub(crate) urgent: bool,
    pub(crate) sent_ms: u64,
    pub(crate) cancelled: bool,
}

/// What callers, operators and faults share.
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

/// The key of a team in a cell.
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

    /// An entry VM that the balancer would choose, not among `tried`.
    fn pick_entry_vm(&self, tried: &[usize]) -> usize {
        let ready: Vec<usize> = (0..self.entry_vms.len())
            .filter(|index| self.ready[*index].load(Ordering::Relaxed) && !tried.contains(index))
            .collect();
        match ready.is_empty() {
            true => fastrand::usize(..self.entry_vms.len()),
            false => ready[fastrand::usize(..ready.len())],
        }
    }

    /// Asks each entry VM whether it is ready, as the balancer does.
    pub(crate) async fn update_readiness(&self) {
        for (index, (client_addr, _)) in self.entry_vms.iter().enumerate() {
            let request = request(Method::GET, *client_addr, "/readyz", Bytes::new(), &[]);
            let address = format_compact!("{client_addr}");
            let limit = Duration::from_millis(300);
            let response = self.http.exchange(&address, request, limit).await;
            let ready = response.is_ok_and(|a| a.status().is_success());
            self.ready[index].store(ready, Ordering::Relaxed);
        }
    }

    /// Sends one call to entry VMs until one answers; the second value is
    /// true when an earlier try may have been carried out.
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
                Err(ExchangeError::NoResponse) => may_have_run = true,
            }
        }
        (None, may_have_run)
    }

    /// Changes the configuration through one entry VM.
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

    /// Configuration versions at all entry VMs.
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

/// The fleet as an entry VM sees it.
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
    // Paths and headers here are made of plain text.
    builder.body(Full::new(body)).unwrap_or_default()
}
