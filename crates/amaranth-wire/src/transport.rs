//! TCP connections between processes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{SockRef, TcpKeepalive};
use tarpc::serde_transport::Transport;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::codec::LengthDelimitedCodec;

use crate::MAX_FRAME_BYTES;
use crate::codec::PostcardCodec;

/// Time without an acknowledgement after which the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which the kernel probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// A transport that carries `Received` and `Sent` messages over TCP.
pub type PeerTransport<Received, Sent> =
    Transport<TcpStream, Received, Sent, PostcardCodec<Received, Sent>>;

/// Sets the socket options of a connected stream and wraps it in a framed transport.
fn frame<Received, Sent>(stream: TcpStream) -> io::Result<PeerTransport<Received, Sent>>
where
    Received: DeserializeOwned,
    Sent: Serialize,
{
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    Ok(tarpc::serde_transport::new(
        framed,
        PostcardCodec::default(),
    ))
}

/// Connects to a peer within `timeout`.
///
/// # Errors
///
/// Returns an error when the peer can't be reached in time.
pub async fn connect<Received, Sent>(
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<PeerTransport<Received, Sent>>
where
    Received: DeserializeOwned,
    Sent: Serialize,
{
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    frame(stream)
}

/// A handle to a listening tarpc service. Dropping the handle stops the service.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes every connection.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds `address` and runs `serve` on each connection.
///
/// The `serve` of a program wraps the transport in a tarpc channel and executes its service on it.
/// Only the program knows the type of the service, without which its futures are not `Send`.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn bind<Received, Sent, Serving, Served>(
    address: SocketAddr,
    serve: Serving,
) -> io::Result<ServerHandle>
where
    Received: DeserializeOwned + 'static,
    Sent: Serialize + 'static,
    Serving: Fn(PeerTransport<Received, Sent>) -> Served + Send + 'static,
    Served: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept_connections(listener, serve));
    Ok(ServerHandle { address, task })
}

/// Accepts connections until the task is aborted. Aborting drops and so closes all connections.
async fn accept_connections<Received, Sent, Serving, Served>(listener: TcpListener, serve: Serving)
where
    Received: DeserializeOwned,
    Sent: Serialize,
    Serving: Fn(PeerTransport<Received, Sent>) -> Served,
    Served: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted.and_then(|(stream, _)| frame(stream)) {
            Ok(transport) => {
                connections.spawn(serve(transport));
            }
            Err(error) => log::warn!("event=connection_refused error={error:?}"),
        }
    }
}
