//! HTTP servers for the test doubles, with injectable outages, latency, dropped
//! responses and silent connections.
//!
//! Invariant: a response is dropped only after the handler has run, so the
//! request has taken effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Faults injected into one server, and its traffic counter.
#[derive(Debug, Default)]
pub struct FaultInjection {
    /// Requests are answered with 503 without reaching the handler.
    pub unavailable: AtomicBool,
    /// Requests are accepted but never answered or handled.
    pub partitioned: AtomicBool,
    /// Delay before each request is handled, in ms.
    pub delay_ms: AtomicU64,
    /// One of this many responses is dropped; zero drops none.
    pub drop_response_interval: AtomicU64,
    /// Connections accepted before this time, in ms since the start, stay open but
    /// get no more responses; zero affects none.
    pub silent_before_ms: AtomicU64,
    /// Bytes of bodies and estimated heads in both directions.
    pub traffic_bytes: AtomicU64,
    requests_served: AtomicU64,
}

/// A received request.
#[derive(Debug)]
pub struct HttpRequest {
    /// Path of the request URI, without the query.
    pub path: String,
    /// Query of the request URI, as received; empty if there is none.
    pub query: String,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Request body, read in full before the handler is called.
    pub body: Bytes,
}

/// A response whose body is in memory as a whole.
pub type HttpResponse = Response<Full<Bytes>>;

/// Returns a 200 response with `value` as its JSON body.
#[must_use]
pub fn json_response<T>(value: &T) -> HttpResponse
where
    T: serde::Serialize,
{
    Response::new(Full::new(Bytes::from(
        serde_json::to_vec(value).unwrap_or_default(),
    )))
}

/// Returns a response with the status `code` and an empty body.
#[must_use]
pub fn status_response(code: u16) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

/// Estimated overhead of a message in each direction, in bytes: about 90 for
/// the HTTP head and 52 of TCP and IP headers for each of two packets.
const HEAD_BYTES: u64 = 190;

/// Serves on an ephemeral loopback port until the process ends; returns the
/// bound address.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn serve<H, F>(
    started: Instant,
    faults: Arc<FaultInjection>,
    handler: H,
) -> std::io::Result<SocketAddr>
where
    H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (faults, handler) = (faults.clone(), handler.clone());
            let accepted_ms = started.elapsed().as_millis() as u64;
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let (faults, handler) = (faults.clone(), handler.clone());
                    async move { handle(&faults, &handler, request, accepted_ms).await }
                });
                // An error on one connection does not affect the others.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(address)
}

async fn handle<H, F>(
    faults: &FaultInjection,
    handler: &H,
    request: Request<Incoming>,
    accepted_ms: u64,
) -> Result<HttpResponse, std::convert::Infallible>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    let silent = accepted_ms < faults.silent_before_ms.load(Ordering::Relaxed);
    if silent || faults.partitioned.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let Ok(body) = body else {
        return Ok(status_response(400));
    };
    let delay = faults.delay_ms.load(Ordering::Relaxed);
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if faults.unavailable.load(Ordering::Relaxed) {
        return Ok(status_response(503));
    }
    let size = body.len() as u64 + HEAD_BYTES;
    faults.traffic_bytes.fetch_add(size, Ordering::Relaxed);
    let response = handler(HttpRequest {
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    })
    .await;
    let size = hyper::body::Body::size_hint(response.body()).lower() + HEAD_BYTES;
    faults.traffic_bytes.fetch_add(size, Ordering::Relaxed);
    let served = faults.requests_served.fetch_add(1, Ordering::Relaxed);
    let interval = faults.drop_response_interval.load(Ordering::Relaxed);
    if interval > 0 && served.is_multiple_of(interval) {
        std::future::pending::<()>().await;
    }
    Ok(response)
}
