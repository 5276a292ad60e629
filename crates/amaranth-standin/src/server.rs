//! The HTTP server under every stand-in.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

/// An HTTP server that can be ended abruptly with all its connections.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    stopping: CancellationToken,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Binds `address` and serves `router` on it.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn bind(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stopping = CancellationToken::new();
        let task = tokio::spawn(accept_connections(listener, router, stopping.clone()));
        Ok(Self {
            address,
            stopping,
            task,
        })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection at once.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Closes the listener and returns when the calls in flight have ended.
    pub async fn drain(&mut self) {
        self.stopping.cancel();
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

/// Accepts connections until it is told to stop, then lets their calls end.
///
/// Aborting the task drops and so closes every connection.
async fn accept_connections(listener: TcpListener, router: Router, stopping: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stopping.cancelled() => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, router.clone(), stopping.clone()));
            }
            Err(error) => log::warn!("event=connection_refused error={error:?}"),
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(stream: TcpStream, router: Router, stopping: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_refused error={error:?}");
    }
    let service = TowerToHyperService::new(router);
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopping.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=connection_broken error={error:?}");
    }
}
