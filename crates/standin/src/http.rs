//! HTTP servers for the stand-ins, with outages, slowness, lost answers and
//! connections that go silent.
//!
//! Invariant: a fault that loses an answer does so after the call has taken
//! effect.

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

/// Switches of one server.
#[derive(Debug, Default)]
pub struct Switches {
    /// Calls get 503 and do nothing.
    pub down: AtomicBool,
    /// Calls and connections get no answer at all.
    pub cut: AtomicBool,
    /// Delay of each call in ms.
    pub delay_ms: AtomicU64,
    /// One of this many answers is lost; zero for none.
    pub lose_one_in: AtomicU64,
    /// Connections older than this time, in ms, are silent; zero for none.
    pub silent_before_ms: AtomicU64,
    /// Bytes of bodies and heads seen.
    pub bytes: AtomicU64,
    calls: AtomicU64,
}

/// One call.
#[derive(Debug)]
pub struct Call {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An answer.
pub type Answer = Response<Full<Bytes>>;

/// An answer with a JSON body.
#[must_use]
pub fn json<T>(value: &T) -> Answer
where
    T: serde::Serialize,
{
    Response::new(Full::new(Bytes::from(
        serde_json::to_vec(value).unwrap_or_default(),
    )))
}

/// An answer with a status only.
#[must_use]
pub fn status(code: u16) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    answer
}

/// Bytes of heads in each direction of a call: about 90 of HTTP and two
/// packets' 52 of TCP and IP.
const HEAD_BYTES: u64 = 190;

/// Serves on a loopback port until the process ends; returns the address.
///
/// # Errors
/// Fails when no port can be bound.
pub async fn serve<H, F>(
    started: Instant,
    switches: Arc<Switches>,
    handler: H,
) -> std::io::Result<SocketAddr>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (switches, handler) = (switches.clone(), handler.clone());
            let opened_ms = started.elapsed().as_millis() as u64;
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let (switches, handler) = (switches.clone(), handler.clone());
                    async move { handle(&switches, &handler, request, opened_ms).await }
                });
                // A broken connection ends only itself.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(address)
}

async fn handle<H, F>(
    switches: &Switches,
    handler: &H,
    request: Request<Incoming>,
    opened_ms: u64,
) -> Result<Answer, std::convert::Infallible>
where
    H: Fn(Call) -> F,
    F: Future<Output = Answer>,
{
    let silent = opened_ms < switches.silent_before_ms.load(Ordering::Relaxed);
    if silent || switches.cut.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let Ok(body) = body else {
        return Ok(status(400));
    };
    let delay = switches.delay_ms.load(Ordering::Relaxed);
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if switches.down.load(Ordering::Relaxed) {
        return Ok(status(503));
    }
    let size = body.len() as u64 + HEAD_BYTES;
    switches.bytes.fetch_add(size, Ordering::Relaxed);
    let answer = handler(Call {
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
        body,
    })
    .await;
    let size = hyper::body::Body::size_hint(answer.body()).lower() + HEAD_BYTES;
    switches.bytes.fetch_add(size, Ordering::Relaxed);
    let calls = switches.calls.fetch_add(1, Ordering::Relaxed);
    let lose = switches.lose_one_in.load(Ordering::Relaxed);
    if lose > 0 && calls.is_multiple_of(lose) {
        std::future::pending::<()>().await;
    }
    Ok(answer)
}
