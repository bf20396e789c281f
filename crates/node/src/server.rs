//! The HTTP servers and their way to the loop.
//!
//! Invariant: a question is dropped, never answered wrongly, when the loop has
//! ended.

use std::net::SocketAddr;
use std::time::Duration;

use control::{Ask, Reply};
use model::Hash;
use salvo::conn::rustls::{Keycert, RustlsConfig};
use salvo::oapi::OpenApi;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::event_loop::Input;
use crate::metrics::Quantiles;
use crate::settings::Tls;

/// Time in which answers under way are written out.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(500);
/// Time that open connections get to end when the server stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// What handlers share.
#[derive(Clone)]
pub(crate) struct App {
    pub(crate) inputs: Sender<Input>,
    pub(crate) admin_token: Hash,
}

impl App {
    /// Asks the loop and waits for the answer; `None` when the loop ended with
    /// the question in hand.
    pub(crate) async fn call_reducer(&self, ask: Ask) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        match self.inputs.send(Input::Ask(ask, sender)).await {
            Ok(()) => receiver.await.ok(),
            Err(_) => Some(crate::event_loop::shutting_down_reply()),
        }
    }

    /// Quantiles of the loop's histograms.
    pub(crate) async fn metrics(&self) -> Vec<Quantiles> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.inputs.send(Input::Metrics(sender)).await;
        match sent {
            Ok(()) => receiver.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    /// True while callers should be sent here.
    pub(crate) async fn ready(&self) -> bool {
        let (sender, receiver) = oneshot::channel();
        let sent = self.inputs.send(Input::Ready(sender)).await;
        sent.is_ok() && receiver.await.unwrap_or(false)
    }
}

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The address can't be listened on.
    #[error("{0}: {1}")]
    Listen(SocketAddr, String),
    /// Certificate or key can't be read.
    #[error("{0}: {1}")]
    Tls(String, std::io::Error),
}

/// Servers that run.
pub(crate) struct Servers {
    handles: Vec<ServerHandle>,
}

impl Servers {
    /// Stops accepting and lets open exchanges end.
    pub(crate) async fn stop(self) {
        for handle in &self.handles {
            handle.stop_graceful(SHUTDOWN_TIMEOUT);
        }
        tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
    }
}

/// Starts both servers.
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

/// Adds the OpenAPI page to routes.
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
    let handle = server.handle();
    tokio::spawn(async move { server.serve(Service::new(router)).await });
    handle
}
