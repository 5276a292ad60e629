//! The HTTP server of every stand-in except the one for a network path.

use std::io;
use std::net::SocketAddr;

use amaranth_ports::http_client::REQUEST_ID;
use axum::Router;
use axum::extract::Request;
use axum::middleware::{self, Next};
use axum::response::Response;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

/// An HTTP server that can be drained, or killed together with its connections.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    shutdown: CancellationToken,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Binds `address` and serves `router` on it. Each answer names the id of its request.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn bind(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let router = router.layer(middleware::from_fn(echo_request_id));
        let shutdown = CancellationToken::new();
        let task = tokio::spawn(accept_connections(listener, router, shutdown.clone()));
        Ok(Self {
            address,
            shutdown,
            task,
        })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection immediately.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Closes the listener and returns when the calls in flight have ended.
    pub async fn drain(&mut self) {
        self.shutdown.cancel();
        if let Err(error) = (&mut self.task).await {
            log::debug!("event=server_ended error={error:?}");
        }
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Copies the id of a request to its answer.
async fn echo_request_id(request: Request, next: Next) -> Response {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut response = next.run(request).await;
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Accepts connections until `shutdown` is cancelled, then waits for their calls to end.
///
/// Aborting the task drops and thereby closes every connection.
async fn accept_connections(listener: TcpListener, router: Router, shutdown: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, router.clone(), shutdown.clone()));
            }
            Err(error) => log::warn!("event=connection_refused error={error:?}"),
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one connection until it ends, or until its calls in flight end after a shutdown.
async fn serve_connection(stream: TcpStream, router: Router, shutdown: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_refused error={error:?}");
    }
    let service = TowerToHyperService::new(router);
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=connection_broken error={error:?}");
    }
}
