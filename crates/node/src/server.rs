//! The HTTP servers and their way to the loop.
//!
//! Invariant: a question is dropped, never answered wrongly, when the loop has
//! ended.

use std::net::SocketAddr;
use std::time::Duration;

use control::{ApiRequest, Reply};
use model::Hash;
use salvo::conn::rustls::{Keycert, RustlsConfig};
use salvo::oapi::OpenApi;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::metrics::Quantiles;
use crate::settings::Tls;
use crate::shell::Input;

/// Time in which answers under way are written out.
const LINGER: Duration = Duration::from_millis(500);
/// Time that open connections get to end when the server stops.
const STOP_TIME: Duration = Duration::from_secs(2);

/// What handlers share.
#[derive(Clone)]
pub(crate) struct App {
    pub(crate) inputs: Sender<Input>,
    pub(crate) admin_token: Hash,
}

impl App {
    /// Asks the loop and waits for the answer; `None` when the loop ended with
    /// the question in hand.
    pub(crate) async fn ask(&self, ask: ApiRequest) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        match self.inputs.send(Input::Ask(ask, sender)).await {
            Ok(()) => receiver.await.ok(),
            Err(_) => Some(crate::shell::shutting_down()),
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
            handle.stop_graceful(STOP_TIME);
        }
        tokio::time::sleep(LINGER).await;
    }
}

/// Starts both servers.
pub(crate) async fn start(
    app: App,
    callers: SocketAddr,
    admin: SocketAddr,
    tls: Option<&Tls>,
) -> Result<Servers, Error> {
    let caller_routes = Router::new()
        .hoop(salvo::affix_state::inject(app.clone()))
        .push(crate::callers::router())
        .push(crate::admin::health_router());
    let admin_routes = Router::new()
        .hoop(salvo::affix_state::inject(app))
        .push(crate::admin::router())
        .push(crate::admin::health_router());
    let handles = vec![
        serve(callers, documented("callers", caller_routes), tls).await?,
        serve(admin, documented("administration", admin_routes), None).await?,
    ];
    Ok(Servers { handles })
}

/// Adds the OpenAPI page to routes.
fn documented(title: &str, routes: Router) -> Router {
    let document = OpenApi::new(format!("greengagemast {title}"), env!("CARGO_PKG_VERSION"));
    let document = document.merge_router(&routes);
    routes.push(document.into_router("/openapi.json"))
}

async fn serve(
    address: SocketAddr,
    routes: Router,
    tls: Option<&Tls>,
) -> Result<ServerHandle, Error> {
    let listen = |e: &dyn std::fmt::Display| Error::Listen(address, e.to_string());
    match tls {
        None => {
            let acceptor = TcpListener::new(address).try_bind().await;
            Ok(spawn(
                Server::new(acceptor.map_err(|e| listen(&e))?),
                routes,
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
                routes,
            ))
        }
    }
}

fn spawn<A>(server: Server<A>, routes: Router) -> ServerHandle
where
    A: salvo::conn::Acceptor + Send + 'static,
{
    let handle = server.handle();
    tokio::spawn(async move { server.serve(Service::new(routes)).await });
    handle
}
