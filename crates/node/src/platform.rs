//! Client of the platform's table service and VM list.
//!
//! Invariant: a write without an answer is reported as `Unknown` unless it
//! surely did not leave or the service said that it did nothing.

use std::time::Duration;

use bytes::Bytes;
use control::{TableResponse, Tables};
use hyper::Response;
use model::{Cell, Name, Row, TableError, Transaction, VmList};
use serde::{Deserialize, Serialize};

use crate::edge::Platform;
use crate::http_client::{Client, Failure, post_json};
use crate::settings::Services;

/// Body of `POST /v1/read`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reads {
    /// Keys with the version known to the caller; zero for none.
    pub rows: Vec<(Name, u64)>,
    /// Prefixes with the version seen so far.
    pub scans: Vec<(Name, u64)>,
}

/// Answer of `POST /v1/read`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Rows in the order asked; none for an unchanged one.
    pub rows: Vec<(Name, Option<Cell>)>,
    /// For each prefix, rows with a higher version, and the store's version.
    pub scans: Vec<(Vec<Row>, u64)>,
}

/// Body of `POST /v1/vms`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Lists {
    /// Version known to the caller; zero for none.
    pub known: u64,
}

/// Body of `POST /v1/commit`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Commits {
    /// Independent transactions.
    pub transactions: Vec<Transaction>,
}

type CommitAnswer = Vec<Result<u64, TableError>>;

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpPlatform {
    client: Client,
    table: Name,
    vms: Name,
}

impl HttpPlatform {
    pub(crate) fn new(client: Client, services: &Services) -> Self {
        Self {
            client,
            table: compact_str::format_compact!("{}", services.table),
            vms: compact_str::format_compact!("{}", services.vms),
        }
    }

    async fn ask<T>(&self, path: &str, body: &T, limit: Duration) -> Result<Bytes, TableError>
    where
        T: Serialize + Sync,
    {
        let request = post_json(&self.table, path, body);
        let response = self.client.exchange(&self.table, request, limit).await;
        response.map_err(fault_of).and_then(accepted)
    }
}

fn fault_of(failure: Failure) -> TableError {
    match failure {
        Failure::NotSent => TableError::Unavailable,
        Failure::Lost => TableError::Unknown,
    }
}

fn accepted(response: Response<Bytes>) -> Result<Bytes, TableError> {
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        503 => Err(TableError::Unavailable),
        _ => Err(TableError::Unknown),
    }
}

fn parsed<'a, T>(bytes: &'a Bytes) -> Result<T, TableError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(bytes).map_err(|_| TableError::Unknown)
}

impl Platform for HttpPlatform {
    async fn table(&self, call: Tables, limit: Duration) -> Result<TableResponse, TableError> {
        match call {
            Tables::Read { rows, scans } => {
                let bytes = self.ask("/v1/read", &Reads { rows, scans }, limit).await?;
                let answer = parsed::<ReadAnswer>(&bytes)?;
                Ok(TableResponse::Read {
                    rows: answer.rows,
                    scans: answer.scans,
                })
            }
            Tables::Commit(transactions) => {
                let bytes = self
                    .ask("/v1/commit", &Commits { transactions }, limit)
                    .await?;
                parsed::<CommitAnswer>(&bytes).map(TableResponse::Committed)
            }
        }
    }

    async fn vms(&self, known: u64, limit: Duration) -> Option<VmList> {
        let request = post_json(&self.vms, "/v1/vms", &Lists { known });
        let response = self.client.exchange(&self.vms, request, limit).await.ok()?;
        let bytes = accepted(response).ok()?;
        parsed::<VmList>(&bytes).ok()
    }
}
