//! Transport of frames between entry VMs over QUIC.
//!
//! All entry VMs share one certificate from the settings, and both sides of a
//! connection must present it. Each VM connects to every peer and sends its
//! frames over that connection, one unidirectional stream per frame. A
//! connection without acknowledgements is closed and its successor uses a new
//! socket, so that it does not match any stale state about the old flow that
//! is kept between the two VMs.
//!
//! Invariant: a frame is reported as unsent only if no part of it was written.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use control::Event;
use model::Name;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    ClientConfig, Connection, Endpoint, IdleTimeout, SendStream, ServerConfig, TransportConfig,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::timeout;
use wire::Frame;

use crate::settings::Mesh;

/// Server name in the shared certificate.
pub(crate) const MESH_SERVER_NAME: &str = "greengagemast.mesh";
/// Time without incoming packets after which QUIC closes a connection.
const IDLE_TIMEOUT_MS: u32 = 3_500;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit for writing or reading one frame.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time within which a peer must acknowledge a frame.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of retransmissions of a frame.
const MAX_RETRANSMISSIONS: u32 = 1;
/// Number of unacknowledged frames that may be queued for retransmission.
const RETRANSMIT_QUEUE_CAPACITY: usize = 2_048;
/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of concurrent streams opened by a peer.
const MAX_STREAMS_PER_PEER: u32 = 1_024;

/// Reason why the mesh cannot start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The certificate or the key is invalid.
    #[error("invalid mesh.certificate or mesh.key: {0}")]
    Key(String),
    /// The socket cannot be opened.
    #[error("cannot open the mesh socket: {0}")]
    Socket(#[from] std::io::Error),
}

/// QUIC configuration with mutual TLS from the shared certificate and key.
#[derive(Clone, Debug)]
pub(crate) struct MeshTls {
    server: ServerConfig,
    client: ClientConfig,
}

impl MeshTls {
    /// Parses the shared certificate and key.
    pub(crate) fn new(mesh: &Mesh) -> Result<Self, Error> {
        let invalid = |e: &dyn std::fmt::Display| Error::Key(e.to_string());
        let certificate =
            CertificateDer::from_pem_slice(mesh.certificate.as_bytes()).map_err(|e| invalid(&e))?;
        let private_key =
            PrivateKeyDer::from_pem_slice(mesh.key.as_bytes()).map_err(|e| invalid(&e))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = rustls::RootCertStore::empty();
        roots.add(certificate.clone()).map_err(|e| invalid(&e))?;
        let roots = Arc::new(roots);
        let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
            roots.clone(),
            provider.clone(),
        )
        .build()
        .map_err(|e| invalid(&e))?;
        let server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| invalid(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![certificate.clone()], private_key.clone_key())
            .map_err(|e| invalid(&e))?;
        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| invalid(&e))?
            .with_root_certificates(roots)
            .with_client_auth_cert(vec![certificate], private_key)
            .map_err(|e| invalid(&e))?;
        let server = QuicServerConfig::try_from(server).map_err(|e| invalid(&e))?;
        let client = QuicClientConfig::try_from(client).map_err(|e| invalid(&e))?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport_config());
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport_config());
        Ok(Self { server, client })
    }
}

fn transport_config() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(
            IDLE_TIMEOUT_MS,
        ))))
        .max_concurrent_uni_streams(quinn::VarInt::from_u32(MAX_STREAMS_PER_PEER))
        .max_concurrent_bidi_streams(quinn::VarInt::from_u32(0));
    Arc::new(config)
}

/// Opens the listening socket and forwards incoming frames as events.
pub(crate) fn listen(
    tls: &MeshTls,
    address: SocketAddr,
    events: Sender<Event>,
) -> Result<(), Error> {
    let endpoint = Endpoint::server(tls.server.clone(), address)?;
    tokio::spawn(async move {
        while let Some(incoming) = endpoint.accept().await {
            let events = events.clone();
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    receive(connection, events).await;
                }
            });
        }
    });
    Ok(())
}

async fn receive(connection: Connection, events: Sender<Event>) {
    while let Ok(mut stream) = connection.accept_uni().await {
        let events = events.clone();
        tokio::spawn(async move {
            let read = timeout(FRAME_TIMEOUT, stream.read_to_end(wire::MAX_FRAME_BYTES)).await;
            let Ok(Ok(bytes)) = read else {
                return;
            };
            let event = match wire::decode(&bytes) {
                Ok((from, frame)) => Event::Frame { from, frame },
                Err(error) => Event::FrameMalformed {
                    detail: compact_str::format_compact!("{error}"),
                },
            };
            // Fails only if the event loop has ended.
            drop(events.send(event).await);
        });
    }
}

/// A frame that its peer has not acknowledged yet.
struct PendingFrame {
    frame: Frame,
    /// Number of the connection to which it was last written; 0 before the
    /// first write.
    connection_number: u64,
    retransmissions: u32,
}

/// Sends frames to one peer until the channel closes. A frame that is not
/// acknowledged within `ACK_TIMEOUT` is sent once more over a newer connection;
/// the receiver discards duplicates.
pub(crate) async fn send_to_peer(
    tls: MeshTls,
    local: Name,
    peer: Name,
    address: SocketAddr,
    mut frames: Receiver<Frame>,
    events: Sender<Event>,
) {
    let mut connection: Option<Connection> = None;
    let mut connection_number = 0;
    let (retransmit, mut retransmit_queue) = channel::<PendingFrame>(RETRANSMIT_QUEUE_CAPACITY);
    loop {
        let mut pending = tokio::select! {
            Some(pending) = retransmit_queue.recv() => pending,
            frame = frames.recv() => match frame {
                Some(frame) => PendingFrame { frame, connection_number: 0, retransmissions: 0 },
                None => return,
            },
        };
        if let Some(current) = connection
            .take_if(|_| pending.connection_number == connection_number && connection_number > 0)
        {
            current.close(quinn::VarInt::from_u32(0), b"silent");
        }
        if connection
            .as_ref()
            .is_none_or(|c| c.close_reason().is_some())
        {
            connection = connect(&tls, address).await;
            connection_number += 1;
        }
        let Some(current) = &connection else {
            report_if_first_attempt(&peer, pending, &events).await;
            while let Ok(frame) = frames.try_recv() {
                report_unsent(&peer, frame, &events).await;
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        pending.connection_number = connection_number;
        match timeout(FRAME_TIMEOUT, write_frame(current, &local, &pending.frame)).await {
            Ok(Ok(stream)) => drop(tokio::spawn(await_ack(stream, pending, retransmit.clone()))),
            Ok(Err(WriteError::NotWritten)) => {
                report_if_first_attempt(&peer, pending, &events).await
            }
            Ok(Err(WriteError::MaybeWritten)) | Err(_) => {
                current.close(quinn::VarInt::from_u32(0), b"");
                connection = None;
            }
        }
    }
}

enum WriteError {
    NotWritten,
    MaybeWritten,
}

async fn write_frame(
    connection: &Connection,
    local: &Name,
    frame: &Frame,
) -> Result<SendStream, WriteError> {
    let bytes = wire::encode(local, frame).map_err(|_| WriteError::NotWritten)?;
    let mut stream = connection
        .open_uni()
        .await
        .map_err(|_| WriteError::NotWritten)?;
    stream
        .write_all(&bytes)
        .await
        .map_err(|_| WriteError::MaybeWritten)?;
    stream.finish().map_err(|_| WriteError::MaybeWritten)?;
    Ok(stream)
}

/// Queues a frame for retransmission if the peer does not acknowledge it in time.
async fn await_ack(
    stream: SendStream,
    mut pending: PendingFrame,
    retransmit: Sender<PendingFrame>,
) {
    let acknowledged = timeout(ACK_TIMEOUT, stream.stopped()).await;
    if matches!(acknowledged, Ok(Ok(_))) || pending.retransmissions >= MAX_RETRANSMISSIONS {
        return;
    }
    pending.retransmissions += 1;
    // If the queue is full, the frame is lost; the request behind it ends at
    // its deadline.
    drop(retransmit.try_send(pending));
}

/// Reports a frame as unsent, unless an earlier attempt may have delivered it.
async fn report_if_first_attempt(peer: &Name, pending: PendingFrame, events: &Sender<Event>) {
    if pending.retransmissions == 0 {
        report_unsent(peer, pending.frame, events).await;
    }
}

async fn report_unsent(peer: &Name, frame: Frame, events: &Sender<Event>) {
    let to = peer.clone();
    // Fails only if the event loop has ended.
    drop(events.send(Event::FrameNotSent { to, frame }).await);
}

/// Connects from a new socket.
async fn connect(tls: &MeshTls, address: SocketAddr) -> Option<Connection> {
    let local_address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let endpoint = Endpoint::client(local_address).ok()?;
    let connecting = endpoint
        .connect_with(tls.client.clone(), address, MESH_SERVER_NAME)
        .ok()?;
    timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()
}
