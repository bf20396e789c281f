//! HTTP client of the platform's table service and VM list.
//!
//! Invariant: a failed write is reported as `Unavailable` only if the request
//! was not sent or the service answered that it did nothing, and as `Unknown`
//! otherwise.

use std::time::Duration;

use bytes::Bytes;
use control::{TableCall, TableResponse};
use hyper::Response;
use model::{Cell, Name, Row, TableError, Transaction, VmList};
use serde::{Deserialize, Serialize};

use crate::edge::Platform;
use crate::http_client::{Client, ExchangeError, TimeLimit, post_json};
use crate::settings::Services;

/// Body of `POST /v1/read`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys, each with the version known to the caller; zero always returns the
    /// row.
    pub rows: Vec<(Name, u64)>,
    /// Prefixes, each with the store's version at the last scan; only rows changed
    /// later are returned.
    pub scans: Vec<(Name, u64)>,
}

/// Response of `POST /v1/read`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Rows in the order of the request; `None` for an unchanged row.
    pub rows: Vec<(Name, Option<Cell>)>,
    /// For each prefix, its rows with a newer version and the store's version.
    pub scans: Vec<(Vec<Row>, u64)>,
}

/// Body of `POST /v1/vms`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListVmsRequest {
    /// Version of the last list read; zero always returns the list.
    pub known: u64,
}

/// Body of `POST /v1/commit`.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Transactions, each applied or rejected independently.
    pub transactions: Vec<Transaction>,
}

type CommitResponse = Vec<Result<u64, TableError>>;

/// Implements `Platform` over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    table: Name,
    vms: Name,
}

impl HttpPlatform {
    /// Creates a client of the services at the addresses in `services`.
    #[must_use]
    pub fn new(client: Client, services: &Services) -> Self {
        Self {
            client,
            table: compact_str::format_compact!("{}", services.table),
            vms: compact_str::format_compact!("{}", services.vms),
        }
    }

    async fn post_table<T, L>(&self, path: &str, body: &T, limit: L) -> Result<Bytes, TableError>
    where
        T: Serialize + Sync,
        L: Into<TimeLimit> + Send,
    {
        let request = post_json(&self.table, path, body);
        let response = self.client.exchange(&self.table, request, limit).await;
        response.map_err(table_error_from).and_then(success_body)
    }
}

fn table_error_from(error: ExchangeError) -> TableError {
    match error {
        ExchangeError::NotSent => TableError::Unavailable,
        ExchangeError::NoResponse | ExchangeError::Incomplete { .. } => TableError::Unknown,
    }
}

fn success_body(response: Response<Bytes>) -> Result<Bytes, TableError> {
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        503 => Err(TableError::Unavailable),
        _ => Err(TableError::Unknown),
    }
}

fn parse_body<'a, T>(bytes: &'a Bytes) -> Result<T, TableError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(bytes).map_err(|_| TableError::Unknown)
}

impl Platform for HttpPlatform {
    async fn table(&self, call: TableCall, limit: Duration) -> Result<TableResponse, TableError> {
        match call {
            TableCall::Read { rows, scans } => {
                // The size of a scan grows with the number of jobs.
                let limit = match scans.is_empty() {
                    true => limit.into(),
                    false => TimeLimit::for_transfer(limit, limit),
                };
                let bytes = self
                    .post_table("/v1/read", &ReadRequest { rows, scans }, limit)
                    .await?;
                let response = parse_body::<ReadResponse>(&bytes)?;
                Ok(TableResponse::Read {
                    rows: response.rows,
                    scans: response.scans,
                })
            }
            TableCall::Commit(transactions) => {
                let bytes = self
                    .post_table("/v1/commit", &CommitRequest { transactions }, limit)
                    .await?;
                parse_body::<CommitResponse>(&bytes).map(TableResponse::Committed)
            }
        }
    }

    async fn vms(&self, known: u64, limit: Duration) -> Option<VmList> {
        let request = post_json(&self.vms, "/v1/vms", &ListVmsRequest { known });
        let response = self.client.exchange(&self.vms, request, limit).await.ok()?;
        let bytes = success_body(response).ok()?;
        parse_body::<VmList>(&bytes).ok()
    }
}
