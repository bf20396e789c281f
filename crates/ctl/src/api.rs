//! Calls to the administration interface.
//!
//! Invariant: every failure says whether something may have been changed.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::{Method, Request};
use model::Change;
use node::Client;
use serde_json::Value;

use crate::Exit;

/// Time allowed for one call.
const CALL_TIME: Duration = Duration::from_secs(10);

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The entry VM was not reached; nothing was changed.
    #[error("{0} can't be reached; nothing was changed")]
    NotReached(CompactString),
    /// The token is wrong.
    #[error("the operators' token is not accepted")]
    Token,
    /// The change conflicts.
    #[error("not changed: {0}")]
    Conflict(String),
    /// The change was refused.
    #[error("not changed: {0}; try again later")]
    Refused(String),
    /// The input is not acceptable.
    #[error("{0}")]
    Input(String),
    /// The outcome is unknown.
    #[error("the outcome is unknown; look at the configuration and try again")]
    Unknown,
    /// Another answer.
    #[error("unexpected answer {0}: {1}")]
    Unexpected(u16, String),
}

impl Failure {
    /// Exit code for scripts.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::NotReached(_) | Self::Token | Self::Unexpected(..) => Exit::Failed,
            Self::Conflict(_) => Exit::Conflict,
            Self::Refused(_) => Exit::Refused,
            Self::Input(_) => Exit::Usage,
            Self::Unknown => Exit::Unknown,
        }
    }
}

/// Connection to one entry VM's administration interface.
pub(crate) struct Api {
    client: Client,
    address: CompactString,
    token: String,
}

impl Api {
    pub(crate) fn new(address: &str, token: &str) -> Self {
        Self {
            client: Client::default(),
            address: CompactString::from(address),
            token: token.to_owned(),
        }
    }

    /// Reads one resource.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Makes one change.
    pub(crate) async fn change(
        &self,
        change: &Change,
        expect: Option<u64>,
    ) -> Result<Value, Failure> {
        let path = match expect {
            Some(version) => format!("/admin/v1/changes?expect={version}"),
            None => "/admin/v1/changes".to_owned(),
        };
        // Serializing plain data to memory has no failing case.
        let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
        self.call(Method::POST, &path, body).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.as_str())
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|e| Failure::Input(e.to_string()))?;
        let answer = self
            .client
            .exchange(&self.address, request, CALL_TIME)
            .await;
        let answer = answer.map_err(|failure| match failure {
            node::Failure::NotSent => Failure::NotReached(self.address.clone()),
            node::Failure::Lost => Failure::Unknown,
        })?;
        let value: Value = serde_json::from_slice(answer.body()).unwrap_or(Value::Null);
        let message = || value["message"].as_str().unwrap_or_default().to_owned();
        match answer.status().as_u16() {
            200 => Ok(value),
            400 => Err(Failure::Input(message())),
            401 => Err(Failure::Token),
            409 => Err(Failure::Conflict(message())),
            503 => Err(Failure::Refused(message())),
            504 => Err(Failure::Unknown),
            code => Err(Failure::Unexpected(code, message())),
        }
    }
}
