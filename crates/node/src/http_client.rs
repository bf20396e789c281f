//! Outgoing HTTP with deadlines on every exchange.
//!
//! Invariant: a connection whose exchange failed or timed out is closed and
//! never used again; a connection idle for longer than `MAX_IDLE` is not
//! reused, so one that has gone silent costs at most one exchange.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use model::Name;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Longest time for a TCP connection to be made.
const CONNECT_TIME: Duration = Duration::from_millis(1_000);
/// Longest idle time after which a connection is used again.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Most idle connections kept per address.
const MAX_KEPT: usize = 8;
/// Largest answer accepted.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why an exchange has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The request did not leave.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have arrived.
    #[error("no whole answer came")]
    Lost,
}

type Sender = SendRequest<Full<Bytes>>;
type Idle = HashMap<Name, Vec<(Sender, Instant)>>;

/// A client with a small pool of connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<Idle>>,
}

impl Client {
    /// Sends one request and reads the whole answer within `limit`.
    ///
    /// # Errors
    /// Says whether the request may have arrived.
    pub async fn exchange(
        &self,
        address: &Name,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let outcome = self.try_exchange(address, request, limit).await;
        if matches!(outcome, Err(Failure::Lost)) {
            // What silenced this connection may have silenced the others.
            self.forget(address);
        }
        outcome
    }

    /// Closes the idle connections to `address`, so that the next exchange
    /// makes a new one.
    pub fn forget(&self, address: &Name) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.remove(address);
        }
    }

    async fn try_exchange(
        &self,
        address: &Name,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let deadline = Instant::now() + limit;
        let mut sender = self.sender(address, limit).await?;
        let left = deadline.saturating_duration_since(Instant::now());
        let exchange = async {
            let response = sender.send_request(request).await.map_err(classify)?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|_| Failure::Lost)?.to_bytes();
            Ok(Response::from_parts(parts, body))
        };
        let response = timeout(left, exchange).await.map_err(|_| Failure::Lost)??;
        self.keep(address, sender);
        Ok(response)
    }

    async fn sender(&self, address: &Name, limit: Duration) -> Result<Sender, Failure> {
        if let Some(sender) = self.take(address) {
            return Ok(sender);
        }
        let connect = TcpStream::connect(address.as_str());
        let stream = timeout(limit.min(CONNECT_TIME), connect).await;
        let stream = stream.map_err(|_| Failure::NotSent)?;
        let stream = stream.map_err(|_| Failure::NotSent)?;
        // Latency matters more than packets here; a refusal costs only speed.
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::NotSent)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take(&self, address: &Name) -> Option<Sender> {
        let mut idle = self.idle.lock().ok()?;
        let kept = idle.get_mut(address)?;
        while let Some((sender, since)) = kept.pop() {
            if since.elapsed() <= MAX_IDLE && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: &Name, sender: Sender) {
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        let kept = idle.entry(address.clone()).or_default();
        kept.retain(|(sender, since)| since.elapsed() <= MAX_IDLE && !sender.is_closed());
        if kept.len() < MAX_KEPT {
            kept.push((sender, Instant::now()));
        }
    }
}

fn classify(error: hyper::Error) -> Failure {
    match error.is_canceled() {
        true => Failure::NotSent,
        false => Failure::Lost,
    }
}

/// A JSON POST request.
pub(crate) fn post_json<T>(address: &Name, path: &str, value: &T) -> Request<Full<Bytes>>
where
    T: serde::Serialize,
{
    // Serializing plain data to memory has no failing case.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    if let Ok(host) = address.as_str().parse() {
        headers.insert(hyper::header::HOST, host);
    }
    let json = hyper::header::HeaderValue::from_static("application/json");
    headers.insert(hyper::header::CONTENT_TYPE, json);
    request
}
