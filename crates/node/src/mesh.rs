//! Frames between entry VMs over QUIC.
//!
//! All entry VMs share one certificate from the settings; each side of a
//! connection must show it. Each node dials every peer and sends on what it
//! dialled, one stream a frame. A connection that is silent is given up and
//! the next one comes from a new socket, so that state kept between the two
//! ends about the old one does not matter.
//!
//! Invariant: a frame is reported as unsent only if nothing of it was written.

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

/// Name in the shared certificate.
pub(crate) const MESH_NAME: &str = "greengagemast.mesh";
/// Silence after which a connection is given up.
const IDLE_MS: u32 = 3_500;
/// Time allowed for a dial.
const DIAL_TIME: Duration = Duration::from_millis(1_000);
/// Time allowed for one frame.
const FRAME_TIME: Duration = Duration::from_millis(2_000);
/// Time in which a peer acknowledges a frame.
const ACK_TIME: Duration = Duration::from_millis(500);
/// Times that a frame is repeated.
const MAX_REPEATS: u32 = 1;
/// Frames without acknowledgement that may wait to be repeated.
const MAX_LATE: usize = 2_048;
/// Pause after a failed dial.
const DIAL_PAUSE: Duration = Duration::from_millis(200);
/// Streams that a peer may have open at once.
const MAX_STREAMS: u32 = 1_024;

/// Why the mesh can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Certificate or key is not usable.
    #[error("mesh.certificate or mesh.key is not usable: {0}")]
    Key(String),
    /// The socket can't be opened.
    #[error("mesh socket: {0}")]
    Socket(#[from] std::io::Error),
}

/// QUIC settings made from the shared key.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    server: ServerConfig,
    client: ClientConfig,
}

impl Keys {
    /// Reads the shared certificate and key.
    pub(crate) fn new(mesh: &Mesh) -> Result<Self, Error> {
        let key = |e: &dyn std::fmt::Display| Error::Key(e.to_string());
        let certificate =
            CertificateDer::from_pem_slice(mesh.certificate.as_bytes()).map_err(|e| key(&e))?;
        let private = PrivateKeyDer::from_pem_slice(mesh.key.as_bytes()).map_err(|e| key(&e))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = rustls::RootCertStore::empty();
        roots.add(certificate.clone()).map_err(|e| key(&e))?;
        let roots = Arc::new(roots);
        let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
            roots.clone(),
            provider.clone(),
        )
        .build()
        .map_err(|e| key(&e))?;
        let server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| key(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![certificate.clone()], private.clone_key())
            .map_err(|e| key(&e))?;
        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| key(&e))?
            .with_root_certificates(roots)
            .with_client_auth_cert(vec![certificate], private)
            .map_err(|e| key(&e))?;
        let server = QuicServerConfig::try_from(server).map_err(|e| key(&e))?;
        let client = QuicClientConfig::try_from(client).map_err(|e| key(&e))?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport());
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport());
        Ok(Self { server, client })
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(IDLE_MS))))
        .max_concurrent_uni_streams(quinn::VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_bidi_streams(quinn::VarInt::from_u32(0));
    Arc::new(transport)
}

/// Opens the listening socket and passes incoming frames on.
pub(crate) fn listen(keys: &Keys, address: SocketAddr, events: Sender<Event>) -> Result<(), Error> {
    let endpoint = Endpoint::server(keys.server.clone(), address)?;
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
            let read = timeout(FRAME_TIME, stream.read_to_end(wire::MAX_FRAME_BYTES)).await;
            let Ok(Ok(bytes)) = read else {
                return;
            };
            let event = match wire::decode(&bytes) {
                Ok((from, frame)) => Event::Frame { from, frame },
                Err(error) => Event::Malformed {
                    detail: compact_str::format_compact!("{error}"),
                },
            };
            // The loop has ended when the channel is closed.
            drop(events.send(event).await);
        });
    }
}

/// A frame on its way to one peer.
struct Parcel {
    frame: Frame,
    /// Number of the connection that it was last written to.
    connection: u64,
    tries: u32,
}

/// Sends frames to one peer until the channel closes. A frame that is not
/// acknowledged in time is sent once more over a new connection; the receiver
/// drops what it has got already.
pub(crate) async fn dial(
    keys: Keys,
    me: Name,
    peer: Name,
    address: SocketAddr,
    mut frames: Receiver<Frame>,
    events: Sender<Event>,
) {
    let mut connection: Option<Connection> = None;
    let mut number = 0;
    let (late, mut unacknowledged) = channel::<Parcel>(MAX_LATE);
    loop {
        let mut parcel = tokio::select! {
            Some(parcel) = unacknowledged.recv() => parcel,
            frame = frames.recv() => match frame {
                Some(frame) => Parcel { frame, connection: 0, tries: 0 },
                None => return,
            },
        };
        if let Some(open) = connection.take_if(|_| parcel.connection == number && number > 0) {
            open.close(quinn::VarInt::from_u32(0), b"silent");
        }
        if connection
            .as_ref()
            .is_none_or(|c| c.close_reason().is_some())
        {
            connection = connect(&keys, address).await;
            number += 1;
        }
        let Some(open) = &connection else {
            give_up(&peer, parcel, &events).await;
            while let Ok(frame) = frames.try_recv() {
                unsent(&peer, frame, &events).await;
            }
            tokio::time::sleep(DIAL_PAUSE).await;
            continue;
        };
        parcel.connection = number;
        match timeout(FRAME_TIME, write(open, &me, &parcel.frame)).await {
            Ok(Ok(stream)) => drop(tokio::spawn(await_ack(stream, parcel, late.clone()))),
            Ok(Err(Unsent::Nothing)) => give_up(&peer, parcel, &events).await,
            Ok(Err(Unsent::Maybe)) | Err(_) => {
                open.close(quinn::VarInt::from_u32(0), b"");
                connection = None;
            }
        }
    }
}

enum Unsent {
    Nothing,
    Maybe,
}

async fn write(connection: &Connection, me: &Name, frame: &Frame) -> Result<SendStream, Unsent> {
    let bytes = wire::encode(me, frame).map_err(|_| Unsent::Nothing)?;
    let mut stream = connection.open_uni().await.map_err(|_| Unsent::Nothing)?;
    stream.write_all(&bytes).await.map_err(|_| Unsent::Maybe)?;
    stream.finish().map_err(|_| Unsent::Maybe)?;
    Ok(stream)
}

/// Hands a frame back that the peer has not acknowledged in time.
async fn await_ack(stream: SendStream, mut parcel: Parcel, late: Sender<Parcel>) {
    let acknowledged = timeout(ACK_TIME, stream.stopped()).await;
    if matches!(acknowledged, Ok(Ok(_))) || parcel.tries >= MAX_REPEATS {
        return;
    }
    parcel.tries += 1;
    // With a full channel the frame stays lost; its request has a deadline.
    drop(late.try_send(parcel));
}

/// Reports a frame as unsent, unless an earlier try may have arrived.
async fn give_up(peer: &Name, parcel: Parcel, events: &Sender<Event>) {
    if parcel.tries == 0 {
        unsent(peer, parcel.frame, events).await;
    }
}

async fn unsent(peer: &Name, frame: Frame, events: &Sender<Event>) {
    let to = peer.clone();
    // The loop has ended when the channel is closed.
    drop(events.send(Event::FrameNotSent { to, frame }).await);
}

/// Dials from a new socket.
async fn connect(keys: &Keys, address: SocketAddr) -> Option<Connection> {
    let local = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let endpoint = Endpoint::client(local).ok()?;
    let connecting = endpoint
        .connect_with(keys.client.clone(), address, MESH_NAME)
        .ok()?;
    timeout(DIAL_TIME, connecting).await.ok()?.ok()
}
