//! The HTTP server under every stand-in.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// An HTTP server that can be ended abruptly with all its connections.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
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
        let task = tokio::spawn(accept_connections(listener, router));
        Ok(Self { address, task })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection at once.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until the task is aborted, which drops and so closes them all.
async fn accept_connections(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, router.clone()));
            }
            Err(error) => log::warn!("event=connection_refused error={error:?}"),
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_refused error={error:?}");
    }
    let service = TowerToHyperService::new(router);
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=connection_broken error={error:?}");
    }
}
