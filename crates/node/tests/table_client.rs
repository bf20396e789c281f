//! Time limits of calls to the table service.

use std::net::SocketAddr;
use std::time::Duration;

use control::{TableCall, TableResponse};
use model::TableError;
use node::{Client, HttpPlatform, Platform, ReadResponse, Services};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_millis(300);
/// Pieces in which the stand-in sends a response, each after `PIECE_INTERVAL`.
const PIECES: usize = 20;
const PIECE_INTERVAL: Duration = Duration::from_millis(40);

/// Starts a table service whose responses take 0.8 s to arrive. Returns its address.
async fn start_slow_table() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await;
        let response = ReadResponse {
            rows: Vec::new(),
            scans: Vec::new(),
        };
        let mut body = serde_json::to_vec(&response).expect("plain data");
        // White space after a JSON value is valid.
        body.resize(PIECES * 100, b' ');
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all(head.as_bytes()).await;
        for piece in body.chunks(body.len() / PIECES) {
            sleep(PIECE_INTERVAL).await;
            let _ = stream.write_all(piece).await;
        }
    });
    address
}

async fn read<S>(scans: S) -> Result<TableResponse, TableError>
where
    S: IntoIterator<Item = (model::Name, u64)>,
{
    let table = start_slow_table().await;
    let services = Services { table, vms: table };
    let platform = HttpPlatform::new(Client::default(), &services);
    let call = TableCall::Read {
        rows: Vec::new(),
        scans: scans.into_iter().collect(),
    };
    platform.table(call, LIMIT).await
}

/// Guards against a scan of many jobs that is never read: over a slow link it took
/// longer than the time limit, and was repeated at each poll.
#[tokio::test]
async fn a_scan_that_keeps_arriving_is_read_beyond_the_time_limit() {
    let result = read([("job/".into(), 0)]).await;

    assert!(
        matches!(result, Ok(TableResponse::Read { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn a_read_of_rows_ends_within_the_time_limit() {
    let started = Instant::now();
    let result = read([]).await;

    assert_eq!(result, Err(TableError::Unknown));
    assert!(started.elapsed() < PIECE_INTERVAL * PIECES as u32);
}
