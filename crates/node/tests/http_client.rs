//! Reuse and number of the HTTP client's connections.

use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use http_body_util::Full;
use hyper::Request;
use node::Client;
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
