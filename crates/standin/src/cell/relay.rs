//! UDP relays between daemons, with delay, partitions and flows whose datagrams
//! are silently dropped.
//!
//! Invariant: a datagram is delivered after the delay or not at all.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Size of the receive buffer, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM: usize = 2_048;

/// Network link for the connections that one daemon opens to another.
#[derive(Debug, Default)]
pub(crate) struct Link {
    /// Drops all datagrams.
    pub(crate) cut: AtomicBool,
    /// Drops the datagrams of flows opened before this time, in ms since the
    /// start of the run.
    pub(crate) silent_before_ms: AtomicU64,
    /// Bytes forwarded in both directions.
    pub(crate) bytes: AtomicU64,
}

impl Link {
    fn forwards(&self, opened_ms: u64) -> bool {
        !self.cut.load(Ordering::Relaxed)
            && opened_ms >= self.silent_before_ms.load(Ordering::Relaxed)
    }
}

/// Starts a relay to `target` and returns the address on which it listens.
pub(crate) async fn start(
    target: SocketAddr,
    delay: Duration,
    started: Instant,
    link: Arc<Link>,
) -> std::io::Result<SocketAddr> {
    let listener = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let mut flows: HashMap<SocketAddr, (Arc<UdpSocket>, u64)> = HashMap::new();
        let mut buffer = [0_u8; MAX_DATAGRAM];
        while let Ok((size, from)) = listener.recv_from(&mut buffer).await {
            if let Entry::Vacant(vacant) = flows.entry(from) {
                let Ok(upstream) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let opened_ms = started.elapsed().as_millis() as u64;
                let upstream = Arc::new(upstream);
                let reply_path = (listener.clone(), upstream.clone(), from);
                tokio::spawn(forward_replies(reply_path, delay, opened_ms, link.clone()));
                vacant.insert((upstream, opened_ms));
            }
            let (upstream, opened_ms) = &flows[&from];
            if !link.forwards(*opened_ms) {
                continue;
            }
            link.bytes.fetch_add(size as u64, Ordering::Relaxed);
            let (upstream, datagram) = (upstream.clone(), buffer[..size].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                // UDP may lose datagrams, so a send error is ignored.
                let _ = upstream.send_to(&datagram, target).await;
            });
        }
    });
    Ok(address)
}

async fn forward_replies(
    (listener, upstream, to): (Arc<UdpSocket>, Arc<UdpSocket>, SocketAddr),
    delay: Duration,
    opened_ms: u64,
    link: Arc<Link>,
) {
    let mut buffer = [0_u8; MAX_DATAGRAM];
    while let Ok((size, _)) = upstream.recv_from(&mut buffer).await {
        if !link.forwards(opened_ms) {
            continue;
        }
        link.bytes.fetch_add(size as u64, Ordering::Relaxed);
        let (listener, datagram) = (listener.clone(), buffer[..size].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // UDP may lose datagrams, so a send error is ignored.
            let _ = listener.send_to(&datagram, to).await;
        });
    }
}
