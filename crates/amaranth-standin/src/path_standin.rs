//! A stand-in for a network path: a TCP proxy that forwards, delays or discards bytes and closes
//! connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Largest number of bytes read and forwarded at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Settings of a [`PathStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathOptions {
    /// Address on which the path listens.
    pub listen: SocketAddr,
    /// Address to which the path forwards connections.
    pub target: SocketAddr,
}

impl PathOptions {
    /// Returns the options of a path from a free loopback port to `target`.
    pub fn to(target: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target,
        }
    }
}

/// The directions in which a path discards bytes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DiscardDirection {
    /// Neither direction.
    #[default]
    None,
    /// From the connecting side to the target.
    FromClient,
    /// From the target to the connecting side.
    FromServer,
    /// Both directions.
    Both,
}

impl DiscardDirection {
    /// Returns whether bytes of `direction` are discarded.
    const fn includes(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::FromClient => matches!(direction, Direction::FromClient),
            Self::FromServer => matches!(direction, Direction::FromServer),
            Self::Both => true,
        }
    }

    /// Returns the directions that are in `self` or in `other`.
    const fn union(self, other: Self) -> Self {
        match (self, other) {
            (Self::None, direction) | (direction, Self::None) => direction,
            (Self::FromClient, Self::FromClient) => Self::FromClient,
            (Self::FromServer, Self::FromServer) => Self::FromServer,
            _ => Self::Both,
        }
    }
}

/// Faults of a path that also apply to future connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathFaults {
    /// Whether new connections are closed immediately after they are accepted.
    pub refuses: bool,
    /// Whether new connections are accepted and all their bytes are discarded.
    #[serde(rename = "swallows_new")]
    pub discards_new: bool,
    /// Delay of every forwarded chunk, in each direction.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
}

/// The direction in which bytes travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    FromClient,
    FromServer,
}

/// The commands that apply to one open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ConnectionControl {
    discarded: DiscardDirection,
    closed: bool,
}

/// State shared by the connections of a path.
#[derive(Debug)]
struct PathState {
    target: SocketAddr,
    faults: Mutex<PathFaults>,
    connections: Mutex<Vec<watch::Sender<ConnectionControl>>>,
}

impl PathState {
    fn faults(&self) -> PathFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, Vec<watch::Sender<ConnectionControl>>> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|connection| connection.receiver_count() > 0);
        connections
    }

    /// Registers a new connection with the given faults and returns the receiver of its commands.
    fn register(&self, faults: PathFaults) -> watch::Receiver<ConnectionControl> {
        let discarded = if faults.discards_new {
            DiscardDirection::Both
        } else {
            DiscardDirection::None
        };
        let control = ConnectionControl {
            discarded,
            closed: false,
        };
        let (sender, receiver) = watch::channel(control);
        self.connections().push(sender);
        receiver
    }

    fn update_connections(&self, change: impl Fn(&mut ConnectionControl)) {
        for connection in self.connections().iter() {
            connection.send_modify(&change);
        }
    }
}

/// A running stand-in for a network path.
#[derive(Debug)]
pub struct PathStandin {
    address: SocketAddr,
    state: Arc<PathState>,
    task: JoinHandle<()>,
}

impl PathStandin {
    /// Spawns a path without faults.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: PathOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(PathState {
            target: options.target,
            faults: Mutex::default(),
            connections: Mutex::default(),
        });
        let task = tokio::spawn(accept_connections(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults that also apply to future connections.
    pub fn set_faults(&self, faults: PathFaults) {
        *self
            .state
            .faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Discards all further bytes in `direction` on the connections that are open now.
    ///
    /// Connections opened later are not affected.
    pub fn discard_bytes(&self, direction: DiscardDirection) {
        self.state
            .update_connections(|control| control.discarded = control.discarded.union(direction));
    }

    /// Closes the connections that are open now. Connections opened later are not affected.
    pub fn close_connections(&self) {
        self.state
            .update_connections(|control| control.closed = true);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.connections().len()
    }

    /// Closes the listener and every connection immediately.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for PathStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until the task is aborted, which drops and thereby closes all of them.
async fn accept_connections(listener: TcpListener, state: Arc<PathState>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let faults = state.faults();
        match accepted {
            Ok((client, _)) if faults.refuses => drop(client),
            Ok((client, _)) => {
                let control = state.register(faults);
                connections.spawn(forward_connection(client, Arc::clone(&state), control));
            }
            Err(error) => log::warn!("event=connection_refused error={error:?}"),
        }
    }
}

/// Forwards both directions until both have ended or the connection is to be closed.
async fn forward_connection(
    client: TcpStream,
    state: Arc<PathState>,
    mut control: watch::Receiver<ConnectionControl>,
) {
    let server = match TcpStream::connect(state.target).await {
        Ok(server) => server,
        Err(error) => {
            log::debug!("event=target_unreachable error={error:?}");
            return;
        }
    };
    for stream in [&client, &server] {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay_refused error={error:?}");
        }
    }
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let client_to_server = forward_direction(
        client_reader,
        server_writer,
        Direction::FromClient,
        &state,
        control.clone(),
    );
    let server_to_client = forward_direction(
        server_reader,
        client_writer,
        Direction::FromServer,
        &state,
        control.clone(),
    );
    tokio::select! {
        _closed = control.wait_for(|control| control.closed) => {}
        _ended = async { tokio::join!(client_to_server, server_to_client) } => {}
    }
}

/// Forwards one direction until its end.
///
/// The end of a discarded direction is discarded as well, so that the receiving side never sees
/// it.
async fn forward_direction(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    direction: Direction,
    state: &PathState,
    control: watch::Receiver<ConnectionControl>,
) -> io::Result<()> {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    loop {
        let length = reader.read(&mut chunk).await.unwrap_or(0);
        tokio::time::sleep(state.faults().delay).await;
        let is_discarded = control.borrow().discarded.includes(direction);
        match (length, is_discarded) {
            (0, true) => return std::future::pending().await,
            (0, false) => return writer.shutdown().await,
            (_, true) => {}
            (length, false) => writer.write_all(&chunk[..length]).await?,
        }
    }
}
