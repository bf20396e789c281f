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
const TRIES: usize = 3;
/// Time that a caller waits beyond its deadline.
const PATIENCE: Duration = Duration::from_secs(3);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    Answered,
    WrongAnswer,
    Refused,
    Unknown,
    Lost,
}

/// One finished request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) id: Name,
    pub(crate) team: Name,
    pub(crate) seen: Seen,
    pub(crate) took_ms: u64,
    pub(crate) run_ms: u64,
}

/// One accepted job.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    pub(crate) id: JobId,
    pub(crate) team: Name,
    pub(crate) tasks: u32,
    pub(crate) urgent: bool,
    pub(crate) sent_ms: u64,
    pub(crate) cancelled: bool,
}

/// What callers, operators and faults share.
pub(crate) struct Shared {
    pub(crate) deployment: Deployment,
    pub(crate) world: Arc<World>,
    pub(crate) options: Options,
    pub(crate) http: Client,
    pub(crate) entries: Vec<(SocketAddr, SocketAddr)>,
    pub(crate) ready: Vec<AtomicBool>,
    pub(crate) keys: Mutex<BTreeMap<Name, String>>,
    pub(crate) outcomes: Mutex<Vec<Outcome>>,
    pub(crate) jobs: Mutex<Vec<Accepted>>,
    pub(crate) jobs_refused: Mutex<u64>,
    pub(crate) samples: Mutex<Vec<crate::cell::report::Sample>>,
    pub(crate) after_withdrawal: Mutex<u64>,
    pub(crate) withdrawn: Mutex<Option<(String, u64)>>,
    pub(crate) reverted_races: Mutex<u64>,
}

/// The key of a team in a cell.
pub(crate) fn key_of(team: &Name) -> String {
    format!("key-of-{team}")
}

impl Shared {
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
            entries: daemons.list.iter().map(|d| (d.callers, d.admin)).collect(),
            ready: daemons.list.iter().map(|_| AtomicBool::new(true)).collect(),
            keys: Mutex::new(teams.map(|t| (t.clone(), key_of(t))).collect()),
            outcomes: Mutex::default(),
            jobs: Mutex::default(),
            jobs_refused: Mutex::default(),
            samples: Mutex::default(),
            after_withdrawal: Mutex::default(),
            withdrawn: Mutex::default(),
            reverted_races: Mutex::default(),
        }
    }

    /// An entry VM that the balancer would choose, not among `tried`.
    fn balance(&self, tried: &[usize]) -> usize {
        let ready: Vec<usize> = (0..self.entries.len())
            .filter(|at| self.ready[*at].load(Ordering::Relaxed) && !tried.contains(at))
            .collect();
        match ready.is_empty() {
            true => fastrand::usize(..self.entries.len()),
            false => ready[fastrand::usize(..ready.len())],
        }
    }

    /// Asks each entry VM whether it is ready, as the balancer does.
    pub(crate) async fn check_ready(&self) {
        for (at, (callers, _)) in self.entries.iter().enumerate() {
            let request = request(Method::GET, *callers, "/readyz", Bytes::new(), &[]);
            let address = format_compact!("{callers}");
            let limit = Duration::from_millis(300);
            let answer = self.http.exchange(&address, request, limit).await;
            let ready = answer.is_ok_and(|a| a.status().is_success());
            self.ready[at].store(ready, Ordering::Relaxed);
        }
    }

    /// Sends one call to entry VMs until one answers; the second value is
    /// true when an earlier try may have been carried out.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: &Bytes,
        headers: &[(&str, &str)],
        limit: Duration,
    ) -> (Option<Response<Bytes>>, bool) {
        let there_and_back = Duration::from_micros(2 * self.deployment.client_delay_us);
        tokio::time::sleep(there_and_back).await;
        let mut unsure = false;
        let mut tried = Vec::new();
        for _ in 0..TRIES {
            let at = self.balance(&tried);
            tried.push(at);
            let callers = self.entries[at].0;
            let request = request(method.clone(), callers, path, body.clone(), headers);
            let address = format_compact!("{callers}");
            match self
                .http
                .exchange(&address, request, limit + PATIENCE)
                .await
            {
                Ok(answer) => return (Some(answer), unsure),
                Err(ExchangeError::NotSent) => {}
                Err(ExchangeError::NoResponse) => unsure = true,
            }
        }
        (None, unsure)
    }

    /// Changes the configuration through one entry VM.
    pub(crate) async fn change(
        &self,
        at: usize,
        change: &Change,
        expect: Option<u64>,
    ) -> Option<(u16, Value)> {
        let admin = self.entries[at].1;
        let path = match expect {
            Some(v) => format!("/admin/v1/changes?expect={v}"),
            None => "/admin/v1/changes".to_owned(),
        };
        let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
        let bearer = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let request = request(Method::POST, admin, &path, body, &headers);
        let address = format_compact!("{admin}");
        let answer = self
            .http
            .exchange(&address, request, Duration::from_secs(8))
            .await
            .ok()?;
        let value = serde_json::from_slice(answer.body()).unwrap_or(Value::Null);
        Some((answer.status().as_u16(), value))
    }

    /// Configuration versions at all entry VMs.
    pub(crate) async fn versions(&self) -> Vec<Option<u64>> {
        let asks = self.entries.iter().map(|(_, admin)| {
            let admin = *admin;
            tokio::spawn(async move { fleet(admin).await.and_then(|f| f["config"].as_u64()) })
        });
        let mut out = Vec::new();
        for ask in asks.collect::<Vec<_>>() {
            out.push(ask.await.ok().flatten());
        }
        out
    }

    pub(crate) fn finish(&self, outcome: Outcome) {
        lock(&self.outcomes).push(outcome);
    }
}

/// The fleet as an entry VM sees it.
pub(crate) async fn fleet(admin: SocketAddr) -> Option<Value> {
    let bearer = format!("Bearer {ADMIN_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let request = request(
        Method::GET,
        admin,
        "/admin/v1/fleet",
        Bytes::new(),
        &headers,
    );
    let address = format_compact!("{admin}");
    let limit = Duration::from_millis(500);
    let answer = Client::default()
        .exchange(&address, request, limit)
        .await
        .ok()?;
    serde_json::from_slice(answer.body()).ok()
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
