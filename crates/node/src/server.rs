//! HTTP servers and their connection to the event loop.
//!
//! Invariant: a request that is pending when the event loop ends gets no reply
//! or a refusal, never an incorrect reply.

use std::net::SocketAddr;
use std::time::Duration;

use control::{ApiRequest, Reply};
use model::Hash;
use salvo::conn::rustls::{Keycert, RustlsConfig};
use salvo::fuse::FuseConfig;
use salvo::oapi::OpenApi;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::metrics::Quantiles;
use crate::settings::Tls;
use crate::shell::Input;

/// Time allowed for writing pending responses before the process exits.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(500);
/// Time limit after which a stopping server closes its open connections.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the buffers for what is read and for what is written on a connection, and
/// the maximum size of a head. The library's default is 400 kB.
const BUFFER_BYTES: usize = 16_384;
/// Longest pause in a request body.
const BODY_PAUSE: Duration = Duration::from_secs(10);
/// Time after which a connection is closed whose peer takes nothing of an answer.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by the handlers.
#[derive(Clone)]
pub(crate) struct App {
    pub(crate) inputs: Sender<Input>,
    pub(crate) admin_token: Hash,
}

impl App {
    /// Sends a request to the reducer and waits for its reply; `None` if the
    /// event loop ended before it replied.
    pub(crate) async fn call_reducer(&self, request: ApiRequest) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        match self.inputs.send(Input::Request(request, sender)).await {
            Ok(()) => receiver.await.ok(),
            Err(_) => Some(crate::shell::shutting_down_reply()),
        }
    }

    /// Returns the quantiles of the event loop's histograms.
    pub(crate) async fn metrics(&self) -> Vec<Quantiles> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.inputs.send(Input::Metrics(sender)).await;
        match sent {
            Ok(()) => receiver.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    /// Returns true while the load balancer may send callers to this VM.
    pub(crate) async fn ready(&self) -> bool {
        let (sender, receiver) = oneshot::channel();
        let sent = self.inputs.send(Input::Ready(sender)).await;
        sent.is_ok() && receiver.await.unwrap_or(false)
    }
}

/// Reason why a server cannot start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The server cannot listen on the address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, String),
    /// The certificate or key file cannot be read.
    #[error("cannot read {0}: {1}")]
    Tls(String, std::io::Error),
}

/// The running servers.
pub(crate) struct Servers {
    handles: Vec<ServerHandle>,
}

impl Servers {
    /// Stops accepting connections and waits for pending responses to be written.
    pub(crate) async fn stop(self) {
        for handle in &self.handles {
            handle.stop_graceful(SHUTDOWN_TIMEOUT);
        }
        tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
    }
}

/// Starts the servers for callers and for administration.
pub(crate) async fn start(
    app: App,
    callers: SocketAddr,
    admin: SocketAddr,
    tls: Option<&Tls>,
) -> Result<Servers, Error> {
    let caller_router = Router::new()
        .hoop(salvo::affix_state::inject(app.clone()))
        .push(crate::callers::router())
        .push(crate::admin::health_router());
    let admin_router = Router::new()
        .hoop(salvo::affix_state::inject(app))
        .push(crate::admin::router())
        .push(crate::admin::health_router());
    let handles = vec![
        serve(callers, with_openapi("callers", caller_router), tls).await?,
        serve(admin, with_openapi("administration", admin_router), None).await?,
    ];
    Ok(Servers { handles })
}

/// Adds the OpenAPI document of the routes to the router.
fn with_openapi(title: &str, router: Router) -> Router {
    let document = OpenApi::new(format!("greengagemast {title}"), env!("CARGO_PKG_VERSION"));
    let document = document.merge_router(&router);
    router.push(document.into_router("/openapi.json"))
}

async fn serve(
    address: SocketAddr,
    router: Router,
    tls: Option<&Tls>,
) -> Result<ServerHandle, Error> {
    let listen = |e: &dyn std::fmt::Display| Error::Listen(address, e.to_string());
    match tls {
        None => {
            let acceptor = TcpListener::new(address).try_bind().await;
            Ok(spawn(
                Server::new(acceptor.map_err(|e| listen(&e))?),
                router,
            ))
        }
        Some(tls) => {
            let read = |path: &str| std::fs::read(path).map_err(|e| Error::Tls(path.into(), e));
            let keycert = Keycert::new()
                .cert(read(&tls.certificate.value)?)
                .key(read(&tls.key.value)?);
            let listener = TcpListener::new(address).rustls(RustlsConfig::new(keycert));
            let acceptor = listener.try_bind().await;
            Ok(spawn(
                Server::new(acceptor.map_err(|e| listen(&e))?),
                router,
            ))
        }
    }
}

fn spawn<A>(server: Server<A>, router: Router) -> ServerHandle
where
    A: salvo::conn::Acceptor + Send + 'static,
{
    let timeouts = FuseConfig::default()
        .with_request_body_timeout(BODY_PAUSE)
        .with_write_stall_timeout(UNREAD_TIMEOUT);
    let mut server = server.fuse_config(timeouts);
    server.http1_mut().max_buf_size(BUFFER_BYTES);
    let handle = server.handle();
    tokio::spawn(async move { server.serve(Service::new(router)).await });
    handle
}
