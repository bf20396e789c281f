//! Reuse and number of the HTTP client's connections.

use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use http_body_util::Full;
use hyper::Request;
use node::{Client, ExchangeError, TimeLimit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server on loopback that answers each request and keeps its connections
/// open. Returns its address.
async fn start_server() -> model::Name {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 1_024];
                while matches!(stream.read(&mut buffer).await, Ok(1..)) {
                    if stream.write_all(RESPONSE).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    format_compact!("{address}")
}

/// Starts a server whose responses arrive in pieces of one byte, `pause` apart. It sends
/// `sent` of `length` bytes. Returns its address.
async fn start_slow_server(pause: Duration, sent: usize, length: usize) -> model::Name {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..sent {
            tokio::time::sleep(pause).await;
            let _ = stream.write_all(b"x").await;
        }
        // Keeps the connection open.
        std::future::pending::<()>().await;
    });
    format_compact!("{address}")
}

async fn exchange<L>(address: &model::Name, limit: L) -> Result<usize, ExchangeError>
where
    L: Into<TimeLimit>,
{
    let request = Request::new(Full::new(Bytes::new()));
    let response = Client::default().exchange(address, request, limit).await?;
    Ok(response.into_body().len())
}

async fn call(client: &Client, address: &model::Name) {
    let mut request = Request::new(Full::new(Bytes::new()));
    let host = address.parse().expect("valid host");
    request.headers_mut().insert(hyper::header::HOST, host);
    let response = client.exchange(address, request, Duration::from_secs(5));
    response.await.expect("answered");
}

/// Pattern: an owner calls thousands of backend servers, each rarely. Without a limit
/// in all, the idle connections exceed the descriptors and the memory of a VM.
#[tokio::test]
async fn idle_connections_are_limited_over_all_addresses() {
    let client = Client::with_max_idle(4);
    let mut addresses = Vec::new();
    for _ in 0..10 {
        addresses.push(start_server().await);
    }

    for address in &addresses {
        call(&client, address).await;
    }

    assert_eq!(client.idle_connections(), 4);
}

#[tokio::test]
async fn a_connection_is_reused() {
    let client = Client::with_max_idle(4);
    let address = start_server().await;

    for _ in 0..3 {
        call(&client, &address).await;
    }

    assert_eq!(client.idle_connections(), 1);
}

/// Guards against a limit that large bodies exceed on a slow link, however steadily
/// they arrive.
#[tokio::test]
async fn a_body_that_keeps_arriving_is_read_beyond_the_limit_of_its_head() {
    let address = start_slow_server(Duration::from_millis(20), 20, 20).await;
    let limit = TimeLimit {
        head: Duration::from_millis(200),
        pause: Duration::from_millis(200),
        total: Duration::from_secs(10),
    };

    let read = exchange(&address, limit).await;

    assert_eq!(read, Ok(20));
}

#[tokio::test]
async fn a_body_that_stops_arriving_is_given_up_after_the_pause() {
    let address = start_slow_server(Duration::from_millis(5), 3, 20).await;
    let limit = TimeLimit {
        head: Duration::from_millis(200),
        pause: Duration::from_millis(200),
        total: Duration::from_secs(60),
    };

    let started = std::time::Instant::now();
    let read = exchange(&address, limit).await;

    assert_eq!(read, Err(ExchangeError::Incomplete { received: 3 }));
    assert!(started.elapsed() < Duration::from_secs(10));
}

#[tokio::test]
async fn a_duration_bounds_an_exchange_as_a_whole() {
    let address = start_slow_server(Duration::from_millis(20), 1_000, 1_000).await;

    let started = std::time::Instant::now();
    let read = exchange(&address, Duration::from_millis(300)).await;

    assert!(
        matches!(read, Err(ExchangeError::Incomplete { .. })),
        "{read:?}"
    );
    assert!(started.elapsed() < Duration::from_secs(5));
}
