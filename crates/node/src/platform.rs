//! Client of the platform's table service and VM list.
//!
//! Invariant: a write without an answer is reported as `Unknown` unless it
//! surely did not leave or the service said that it did nothing.

use std::time::Duration;

use bytes::Bytes;
use control::{TableCall, TableResponse};
use hyper::Response;
use model::{Cell, Fault, Listing, Name, Row, Transaction};
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

type CommitAnswer = Vec<Result<u64, Fault>>;

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

    async fn ask<T>(&self, path: &str, body: &T, limit: Duration) -> Result<Bytes, Fault>
    where
        T: Serialize + Sync,
    {
        let request = post_json(&self.table, path, body);
        let response = self.client.exchange(&self.table, request, limit).await;
        response.map_err(fault_of).and_then(accepted)
    }
}

fn fault_of(failure: Failure) -> Fault {
    match failure {
        Failure::NotSent => Fault::Unavailable,
        Failure::Lost => Fault::Unknown,
    }
}

fn accepted(response: Response<Bytes>) -> Result<Bytes, Fault> {
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        503 => Err(Fault::Unavailable),
        _ => Err(Fault::Unknown),
    }
}

fn parsed<'a, T>(bytes: &'a Bytes) -> Result<T, Fault>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(bytes).map_err(|_| Fault::Unknown)
}

impl Platform for HttpPlatform {
    async fn table(&self, call: TableCall, limit: Duration) -> Result<TableResponse, Fault> {
        match call {
            TableCall::Read { rows, scans } => {
                let bytes = self.ask("/v1/read", &Reads { rows, scans }, limit).await?;
                let answer = parsed::<ReadAnswer>(&bytes)?;
                Ok(TableResponse::Read {
                    rows: answer.rows,
                    scans: answer.scans,
                })
            }
            TableCall::Commit(transactions) => {
                let bytes = self
                    .ask("/v1/commit", &Commits { transactions }, limit)
                    .await?;
                parsed::<CommitAnswer>(&bytes).map(TableResponse::Committed)
            }
        }
    }

    async fn vms(&self, known: u64, limit: Duration) -> Option<Listing> {
        let request = post_json(&self.vms, "/v1/vms", &Lists { known });
        let response = self.client.exchange(&self.vms, request, limit).await.ok()?;
        let bytes = accepted(response).ok()?;
        parsed::<Listing>(&bytes).ok()
    }
}
