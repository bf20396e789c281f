//! HTTP client of the administration interface.
//!
//! Invariant: every error states whether a change may have been applied.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::{Method, Request};
use model::Change;
use node::Client;
use serde_json::Value;

use crate::Exit;

/// Time limit of one request, including the connection set-up.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The request was not sent, so no change was made.
    #[error("cannot send a request to {0}; no change was made")]
    Unreachable(CompactString),
    /// The entry VM rejected the operator token.
    #[error("the entry VM rejected the operator token")]
    InvalidToken,
    /// The change conflicts with the active configuration; no change was made.
    #[error("no change was made because of a conflict: {0}")]
    Conflict(String),
    /// The entry VM refused the request and made no change.
    #[error("request refused, no change was made: {0}; try again later")]
    Refused(String),
    /// An argument or an input file is invalid, or the entry VM rejected the
    /// request as invalid; no change was made.
    #[error("{0}")]
    InvalidInput(String),
    /// The change may have been applied.
    #[error(
        "outcome unknown, the change may have been applied; check the configuration and try again"
    )]
    OutcomeUnknown,
    /// The entry VM answered with an unexpected HTTP status; carries the status and
    /// the message of the response.
    #[error("unexpected HTTP status {0}: {1}")]
    UnexpectedResponse(u16, String),
}

impl CommandError {
    /// Returns the exit code of the process for this error.
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

/// Client of one entry VM's administration interface, or of the interface for other VMs,
/// which takes no token.
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

    /// Reads the resource at `path`.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Submits one change; with `expected_version`, it is applied only if that
    /// version is active.
    pub(crate) async fn apply_change(
        &self,
        change: &Change,
        expected_version: Option<u64>,
    ) -> Result<Value, CommandError> {
        let path = match expected_version {
            Some(version) => format!("/admin/v1/changes?expect={version}"),
            None => "/admin/v1/changes".to_owned(),
        };
        // Serializing a change to memory cannot fail.
        let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
        self.send(Method::POST, &path, body).await
    }

    /// Sends a question, which changes nothing.
    pub(crate) async fn ask(&self, path: &str, question: &Value) -> Result<Value, CommandError> {
        let body = Bytes::from(question.to_string());
        let answer = self.send(Method::POST, path, body).await;
        answer.map_err(|error| match error {
            CommandError::OutcomeUnknown => CommandError::Refused("no answer".to_owned()),
            other => other,
        })
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Value, CommandError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.as_str());
        if !self.token.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.token));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|e| CommandError::InvalidInput(e.to_string()))?;
        let response = self
            .client
            .exchange(&self.address, request, CALL_TIMEOUT)
            .await;
        let response = response.map_err(|error| match error {
            node::ExchangeError::NotSent => CommandError::Unreachable(self.address.clone()),
            node::ExchangeError::NoResponse | node::ExchangeError::Incomplete { .. } => {
                CommandError::OutcomeUnknown
            }
        })?;
        let value: Value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        let message = || value["message"].as_str().unwrap_or_default().to_owned();
        match response.status().as_u16() {
            200 => Ok(value),
            400 | 404 | 410 if !message().is_empty() => Err(CommandError::InvalidInput(message())),
            401 => Err(CommandError::InvalidToken),
            409 => Err(CommandError::Conflict(message())),
            503 => Err(CommandError::Refused(message())),
            504 => Err(CommandError::OutcomeUnknown),
            code => Err(CommandError::UnexpectedResponse(code, message())),
        }
    }
}
