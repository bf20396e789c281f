//! UDP relays between daemons, with delay, cuts and flows that go silent.
//!
//! Invariant: a datagram is delivered after the delay or never.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Largest datagram.
const MAX_DATAGRAM: usize = 2_048;

/// One direction of dialling between two daemons.
#[derive(Debug, Default)]
pub(crate) struct Link {
    /// Nothing passes.
    pub(crate) cut: AtomicBool,
    /// Flows older than this time, in ms, are silent.
    pub(crate) silent_before_ms: AtomicU64,
    /// Bytes passed.
    pub(crate) bytes: AtomicU64,
}

impl Link {
    fn passes(&self, opened_ms: u64) -> bool {
        !self.cut.load(Ordering::Relaxed)
            && opened_ms >= self.silent_before_ms.load(Ordering::Relaxed)
    }
}

/// Starts a relay to `target`; returns the address to dial.
pub(crate) async fn start(
    target: SocketAddr,
    delay: Duration,
    started: Instant,
    link: Arc<Link>,
) -> std::io::Result<SocketAddr> {
    let outer = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    let address = outer.local_addr()?;
    tokio::spawn(async move {
        let mut flows: HashMap<SocketAddr, (Arc<UdpSocket>, u64)> = HashMap::new();
        let mut buffer = [0_u8; MAX_DATAGRAM];
        while let Ok((size, from)) = outer.recv_from(&mut buffer).await {
            if let Entry::Vacant(vacant) = flows.entry(from) {
                let Ok(inner) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let opened_ms = started.elapsed().as_millis() as u64;
                let inner = Arc::new(inner);
                let back = (outer.clone(), inner.clone(), from);
                tokio::spawn(return_path(back, delay, opened_ms, link.clone()));
                vacant.insert((inner, opened_ms));
            }
            let (inner, opened_ms) = &flows[&from];
            if !link.passes(*opened_ms) {
                continue;
            }
            link.bytes.fetch_add(size as u64, Ordering::Relaxed);
            let (inner, datagram) = (inner.clone(), buffer[..size].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                // A lost datagram is part of what UDP may do.
                let _ = inner.send_to(&datagram, target).await;
            });
        }
    });
    Ok(address)
}

async fn return_path(
    (outer, inner, to): (Arc<UdpSocket>, Arc<UdpSocket>, SocketAddr),
    delay: Duration,
    opened_ms: u64,
    link: Arc<Link>,
) {
    let mut buffer = [0_u8; MAX_DATAGRAM];
    while let Ok((size, _)) = inner.recv_from(&mut buffer).await {
        if !link.passes(opened_ms) {
            continue;
        }
        link.bytes.fetch_add(size as u64, Ordering::Relaxed);
        let (outer, datagram) = (outer.clone(), buffer[..size].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // A lost datagram is part of what UDP may do.
            let _ = outer.send_to(&datagram, to).await;
        });
    }
}
