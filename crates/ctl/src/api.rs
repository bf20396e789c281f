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
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The entry VM was not reached; nothing was changed.
    #[error("{0} can't be reached; nothing was changed")]
    Unreachable(CompactString),
    /// The token is wrong.
    #[error("the operators' token is not accepted")]
    InvalidToken,
    /// The change conflicts.
    #[error("not changed: {0}")]
    Conflict(String),
    /// The change was refused.
    #[error("not changed: {0}; try again later")]
    Refused(String),
    /// The input is not acceptable.
    #[error("{0}")]
    InvalidInput(String),
    /// The outcome is unknown.
    #[error("the outcome is unknown; look at the configuration and try again")]
    OutcomeUnknown,
    /// Another answer.
    #[error("unexpected answer {0}: {1}")]
    UnexpectedResponse(u16, String),
}

impl CommandError {
    /// Exit code for scripts.
    #[must_use]
    pub const fn exit_code(&self) -> Exit {
        match self {
            Self::Unreachable(_) | Self::InvalidToken | Self::UnexpectedResponse(..) => {
                Exit::Failed
            }
            Self::Conflict(_) => Exit::Conflict,
            Self::Refused(_) => Exit::Refused,
            Self::InvalidInput(_) => Exit::Usage,
            Self::OutcomeUnknown => Exit::Unknown,
        }
    }
}

/// Connection to one entry VM's administration interface.
pub(crate) struct AdminClient {
    client: Client,
    address: CompactString,
    token: String,
}

impl AdminClient {
    pub(crate) fn new(address: &str, token: &str) -> Self {
        Self {
            client: Client::default(),
            address: CompactString::from(address),
            token: token.to_owned(),
        }
    }

    /// Reads one resource.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Makes one change.
    pub(crate) async fn apply_change(
        &self,
        change: &Change,
        expected_version: Option<u64>,
    ) -> Result<Value, CommandError> {
        let path = match expected_version {
            Some(version) => format!("/admin/v1/changes?expect={version}"),
            None => "/admin/v1/changes".to_owned(),
        };
        // Serializing plain data to memory has no failing case.
        let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
        self.send(Method::POST, &path, body).await
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Value, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.as_str())
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|e| CommandError::InvalidInput(e.to_string()))?;
        let response = self
            .client
            .exchange(&self.address, request, CALL_TIMEOUT)
            .await;
        let response = response.map_err(|error| match error {
            node::ExchangeError::NotSent => CommandError::Unreachable(self.address.clone()),
            node::ExchangeError::NoResponse => CommandError::OutcomeUnknown,
        })?;
        let value: Value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        let message = || value["message"].as_str().unwrap_or_default().to_owned();
        match response.status().as_u16() {
            200 => Ok(value),
            400 => Err(CommandError::InvalidInput(message())),
            401 => Err(CommandError::InvalidToken),
            409 => Err(CommandError::Conflict(message())),
            503 => Err(CommandError::Refused(message())),
            504 => Err(CommandError::OutcomeUnknown),
            code => Err(CommandError::UnexpectedResponse(code, message())),
        }
    }
}
