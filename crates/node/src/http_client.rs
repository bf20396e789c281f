//! HTTP client with connection reuse and time limits on every exchange.
//!
//! Invariant: a connection whose exchange failed or timed out is closed and
//! never reused. A connection idle for longer than `MAX_IDLE_TIME` is not
//! reused either, so a connection that silently drops its packets fails at
//! most one exchange.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use model::Name;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Time limit for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum idle time after which a connection is still reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Default for the maximum number of idle connections kept in all. An owner calls
/// thousands of addresses, some rarely; each connection takes a descriptor and about
/// 30 kB of memory.
const MAX_IDLE: usize = 1_024;
/// Idle time from which connections are closed when there are too many. Connections
/// that are used all the time are idle for milliseconds.
const MAX_IDLE_TIME_WHEN_FULL: Duration = Duration::from_secs(1);
/// Time for a body of unknown size. The largest one, `MAX_RESPONSE_BYTES`, takes 13.4 s
/// over a link of 10 Mbit/s. A limit that the link can't meet would fail again at each
/// repetition, and the abandoned responses would fill the link.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(15);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reason why an exchange has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The request was not sent.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have been received and executed.
    #[error("no response was received")]
    NoResponse,
    /// The request was received, but the response ended or was too slow after
    /// `received` bytes of its body.
    #[error("the response is incomplete after {received} bytes")]
    Incomplete {
        /// Bytes of the body that had arrived.
        received: usize,
    },
}

/// Time limits of an exchange. A `Duration` bounds it as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimit {
    /// Time until the head of the response.
    pub head: Duration,
    /// Longest pause between two pieces of the body. A body of any size passes as
    /// long as the link delivers it.
    pub pause: Duration,
    /// Time until the end of the response.
    pub total: Duration,
}

impl TimeLimit {
    /// Limits for a response whose size is not known: it has to begin within `head`,
    /// to go on after each `pause`, and may take 15 s from its head on.
    #[must_use]
    pub const fn for_transfer(head: Duration, pause: Duration) -> Self {
        Self {
            head,
            pause,
            total: head.saturating_add(MAX_TRANSFER_TIME),
        }
    }
}

impl From<Duration> for TimeLimit {
    fn from(limit: Duration) -> Self {
        Self {
            head: limit,
            pause: limit,
            total: limit,
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address, with the time since which each is idle.
#[derive(Debug, Default)]
struct IdleConnections {
    by_address: HashMap<Name, Vec<(Sender, Instant)>>,
    count: usize,
}

impl IdleConnections {
    /// Closes connections that are closed by the peer or idle for longer than
    /// `max_age`.
    fn prune(&mut self, max_age: Duration) {
        self.by_address.retain(|_, connections| {
            connections.retain(|(sender, since)| since.elapsed() <= max_age && !sender.is_closed());
            !connections.is_empty()
        });
        self.count = self.by_address.values().map(Vec::len).sum();
    }
}

/// HTTP/1 client with a small pool of idle connections per address.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<IdleConnections>>,
    max_idle: usize,
}

impl Default for Client {
    fn default() -> Self {
        Self::with_max_idle(MAX_IDLE)
    }
}

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections.
    #[must_use]
    pub fn with_max_idle(max_idle: usize) -> Self {
        Self {
            idle: Arc::default(),
            max_idle,
        }
    }

    /// Number of idle connections, including those that the peer has closed.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.idle.lock().map_or(0, |idle| idle.count)
    }

    /// Sends one request and reads the complete response within `limit`.
    ///
    /// # Errors
    /// The error states whether the request may have been received.
    pub async fn exchange<L>(
        &self,
        address: &Name,
        request: Request<Full<Bytes>>,
        limit: L,
    ) -> Result<Response<Bytes>, ExchangeError>
    where
        L: Into<TimeLimit>,
    {
        let outcome = self.try_exchange(address, request, limit.into()).await;
        if matches!(
            outcome,
            Err(ExchangeError::NoResponse | ExchangeError::Incomplete { .. })
        ) {
            // The cause may affect the idle connections to this address too.
            self.close_idle(address);
        }
        outcome
    }

    /// Closes the idle connections to `address`, so that the next exchange
    /// opens a new one.
    pub fn close_idle(&self, address: &Name) {
        if let Ok(mut idle) = self.idle.lock() {
            let closed = idle.by_address.remove(address).map_or(0, |c| c.len());
            idle.count -= closed;
        }
    }

    async fn try_exchange(
        &self,
        address: &Name,
        request: Request<Full<Bytes>>,
        limit: TimeLimit,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let started = Instant::now();
        let mut sender = self.acquire(address, limit.head).await?;
        let response = timeout_at(started + limit.head, sender.send_request(request)).await;
        let response = response.map_err(|_| ExchangeError::NoResponse)?;
        let (parts, body) = response.map_err(classify_send_error)?.into_parts();
        let body = collect_body(body, limit.pause, started + limit.total).await?;
        self.keep_idle(address, sender);
        Ok(Response::from_parts(parts, body))
    }

    async fn acquire(&self, address: &Name, limit: Duration) -> Result<Sender, ExchangeError> {
        if let Some(sender) = self.take_idle(address) {
            return Ok(sender);
        }
        let connect = TcpStream::connect(address.as_str());
        let stream = timeout(limit.min(CONNECT_TIMEOUT), connect).await;
        let stream = stream.map_err(|_| ExchangeError::NotSent)?;
        let stream = stream.map_err(|_| ExchangeError::NotSent)?;
        // Disables Nagle's algorithm to reduce latency; a failure costs only
        // latency.
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take_idle(&self, address: &Name) -> Option<Sender> {
        let mut idle = self.idle.lock().ok()?;
        loop {
            let (sender, since) = idle.by_address.get_mut(address)?.pop()?;
            idle.count -= 1;
            if since.elapsed() <= MAX_IDLE_TIME && sender.is_ready() {
                return Some(sender);
            }
        }
    }

    fn keep_idle(&self, address: &Name, sender: Sender) {
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        if idle.count >= self.max_idle {
            idle.prune(MAX_IDLE_TIME_WHEN_FULL);
        }
        let full = idle.count >= self.max_idle;
        let connections = idle.by_address.entry(address.clone()).or_default();
        if !full && connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push((sender, Instant::now()));
            idle.count += 1;
        }
    }
}

/// Reads a body whose pieces arrive at most `pause` apart, until its end or `deadline`.
async fn collect_body(
    body: Incoming,
    pause: Duration,
    deadline: Instant,
) -> Result<Bytes, ExchangeError> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut received = BytesMut::new();
    loop {
        let frame = timeout_at(deadline.min(Instant::now() + pause), body.frame()).await;
        match frame {
            Ok(None) => return Ok(received.freeze()),
            // Frames other than data are trailers.
            Ok(Some(Ok(frame))) => {
                received.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
            Ok(Some(Err(_))) | Err(_) => {
                let received = received.len();
                return Err(ExchangeError::Incomplete { received });
            }
        }
    }
}

fn classify_send_error(error: hyper::Error) -> ExchangeError {
    match error.is_canceled() {
        true => ExchangeError::NotSent,
        false => ExchangeError::NoResponse,
    }
}

/// Builds a POST request with a JSON body.
pub(crate) fn post_json<T>(address: &Name, path: &str, value: &T) -> Request<Full<Bytes>>
where
    T: serde::Serialize,
{
    // Serializing plain data to memory cannot fail.
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
