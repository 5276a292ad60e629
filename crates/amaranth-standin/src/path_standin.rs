//! A stand-in of the way between two ends: a TCP relay that loses, delays or cuts bytes.

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

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Settings of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it forwards to.
    pub target: SocketAddr,
}

impl PathOptions {
    /// Returns options of a path to `target` from a free port of loopback.
    pub fn to(target: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target,
        }
    }
}

/// Which bytes a path swallows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum SwallowKind {
    /// None.
    #[default]
    None,
    /// Those of the side that connected.
    FromClient,
    /// Those of the side that was connected to.
    FromServer,
    /// All.
    Both,
}

impl SwallowKind {
    const fn takes(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::FromClient => matches!(direction, Direction::FromClient),
            Self::FromServer => matches!(direction, Direction::FromServer),
            Self::Both => true,
        }
    }

    /// Returns what is swallowed when `other` is swallowed as well.
    const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::None, kind) | (kind, Self::None) => kind,
            (Self::FromClient, Self::FromClient) => Self::FromClient,
            (Self::FromServer, Self::FromServer) => Self::FromServer,
            _ => Self::Both,
        }
    }
}

/// Faults of a path that also hold for connections to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathFaults {
    /// Whether new connections are closed at once.
    pub refuses: bool,
    /// Whether new connections are taken and all their bytes swallowed.
    pub swallows_new: bool,
    /// Delay of every chunk, in each direction.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    FromClient,
    FromServer,
}

/// What happens to one open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ConnectionOrder {
    swallows: SwallowKind,
    cut: bool,
}

/// What a path's connections share.
#[derive(Debug)]
struct PathState {
    target: SocketAddr,
    faults: Mutex<PathFaults>,
    connections: Mutex<Vec<watch::Sender<ConnectionOrder>>>,
}

impl PathState {
    fn faults(&self) -> PathFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, Vec<watch::Sender<ConnectionOrder>>> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|connection| connection.receiver_count() > 0);
        connections
    }

    /// Enters a new connection under the present faults.
    fn register(&self, faults: PathFaults) -> watch::Receiver<ConnectionOrder> {
        let swallows = if faults.swallows_new {
            SwallowKind::Both
        } else {
            SwallowKind::None
        };
        let order = ConnectionOrder {
            swallows,
            cut: false,
        };
        let (sender, receiver) = watch::channel(order);
        self.connections().push(sender);
        receiver
    }

    fn order_all(&self, change: impl Fn(&mut ConnectionOrder)) {
        for connection in self.connections().iter() {
            connection.send_modify(&change);
        }
    }
}

/// A running path.
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

    /// Replaces the faults that also hold for connections to come.
    pub fn set_faults(&self, faults: PathFaults) {
        *self
            .state
            .faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Swallows bytes for good on the connections that are open now; new ones work.
    pub fn swallow_open(&self, kind: SwallowKind) {
        self.state
            .order_all(|order| order.swallows = order.swallows.and(kind));
    }

    /// Closes the connections that are open now; new ones work.
    pub fn cut_open(&self) {
        self.state.order_all(|order| order.cut = true);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.connections().len()
    }

    /// Closes the listener and every connection at once.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for PathStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until the task is aborted, which drops and so closes them all.
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
                let orders = state.register(faults);
                connections.spawn(relay(client, Arc::clone(&state), orders));
            }
            Err(error) => log::warn!("event=connection_refused error={error:?}"),
        }
    }
}

/// Forwards both directions until both are closed or the connection is cut.
async fn relay(
    client: TcpStream,
    state: Arc<PathState>,
    mut orders: watch::Receiver<ConnectionOrder>,
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
    let upward = pump(
        client_reader,
        server_writer,
        Direction::FromClient,
        &state,
        orders.clone(),
    );
    let downward = pump(
        server_reader,
        client_writer,
        Direction::FromServer,
        &state,
        orders.clone(),
    );
    tokio::select! {
        _cut = orders.wait_for(|order| order.cut) => {}
        _ended = async { tokio::join!(upward, downward) } => {}
    }
}

/// Forwards one direction until its end.
///
/// An end that falls into a swallowed direction is swallowed as well: the other side never
/// learns of it.
async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    direction: Direction,
    state: &PathState,
    orders: watch::Receiver<ConnectionOrder>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = reader.read(&mut chunk).await.unwrap_or(0);
        tokio::time::sleep(state.faults().delay).await;
        let swallows = orders.borrow().swallows.takes(direction);
        match (length, swallows) {
            (0, true) => return std::future::pending().await,
            (0, false) => return writer.shutdown().await,
            (_, true) => {}
            (length, false) => writer.write_all(&chunk[..length]).await?,
        }
    }
}
