//! A pool of HTTP connections to endpoints. A connection carries one call at a time.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_dispatch::call::CallId;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::carried_calls::CarriedCalls;
use crate::endpoint_body::EndpointBody;
use crate::limited_stream::{LimitedStream, ReadAllowance, WriteBacklog};

/// Timeout for opening a connection: several cross-region round trips. The kernel retransmits a
/// lost packet only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without an acknowledgement after which the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Idle time after which the kernel probes a connection, and the time between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle time after which a connection is not reused if the endpoint states no timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(800);

/// Fraction of the endpoint's idle timeout for which a connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Bytes that the kernel accepts for a peer that takes no more. Otherwise it would buffer megabytes of
/// a call that the endpoint does not read, and the call would count as written.
const MAX_UNSENT_BYTES: u32 = 64 << 10;

/// Limit on idle connections to one endpoint.
const MAX_IDLE: usize = 32;

/// Limit on the bytes that an endpoint sends before the head of an answer is complete, interim
/// answers included.
const MAX_HEAD_BYTES: usize = 512 << 10;

/// Size up to which the read buffer of a connection grows, and the largest head of an answer.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A failure to receive the head of an answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection ended before anything was sent, and gave the request back.
    #[error("the connection ended before the call was sent")]
    NotSent(Box<Request<Full<Bytes>>>),
    /// The call was sent at least in part and may have run.
    #[error("the connection ended after the call was sent: {0}")]
    Ambiguous(hyper::Error),
}

/// The number of a connection, by which the log tells connections apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionNumber(u64);

impl fmt::Display for ConnectionNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl ConnectionNumber {
    fn next() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        Self(LAST.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// An open connection, idle or in use.
#[derive(Debug)]
struct Channel {
    number: ConnectionNumber,
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    backlog: WriteBacklog,
    driver: AbortHandle,
    idle_limit: Duration,
    carried: CarriedCalls,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection that carries one call. Dropping the connection closes it, which cancels the call.
#[derive(Debug)]
pub struct EndpointConnection {
    channel: Channel,
    address: SocketAddr,
}

impl EndpointConnection {
    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have reached the endpoint.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<EndpointBody>, SendError> {
        let channel = &mut self.channel;
        if channel.sender.ready().await.is_err() {
            return Err(SendError::NotSent(Box::new(request)));
        }
        channel.allowance.set(MAX_HEAD_BYTES);
        let response = channel
            .sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request)),
                None => SendError::Ambiguous(error.into_error()),
            })?;
        Ok(response.map(|body| EndpointBody::new(body, channel.allowance.clone())))
    }

    /// Returns the number of the connection.
    pub const fn number(&self) -> ConnectionNumber {
        self.channel.number
    }

    /// Records that a call is about to be sent on the connection.
    pub fn record_call(&mut self, call: &CallId) {
        self.channel.carried.record(call);
    }

    /// Returns the calls that were sent on the connection.
    pub const fn carried(&self) -> &CarriedCalls {
        &self.channel.carried
    }

    /// Records the idle timeout that the endpoint states for the connection.
    pub fn record_keep_alive(&mut self, stated: Option<Duration>) {
        if let Some(stated) = stated {
            self.channel.idle_limit = stated.mul_f64(IDLE_TIMEOUT_FRACTION);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    channel: Channel,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        !self.channel.sender.is_closed() && now.duration_since(self.since) < self.channel.idle_limit
    }
}

/// The idle connections to endpoints, by address.
#[derive(Debug, Default)]
pub struct EndpointPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl EndpointPool {
    /// Returns a connection to an endpoint: the most recently used idle one, or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if a new connection can't be opened in time.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<EndpointConnection> {
        match self.take_idle(address, |_| true) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Returns a connection that has not carried this call: the most recently used idle one, or a new
    /// one. An endpoint may repeat its answer to an earlier send on the connection of that send.
    ///
    /// # Errors
    ///
    /// Returns an error if a new connection can't be opened in time.
    pub async fn connect_for(
        &self,
        address: SocketAddr,
        call: &CallId,
    ) -> io::Result<EndpointConnection> {
        match self.take_idle(address, |carried| carried.sends_of(call) == 0) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Opens a new connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be opened in time.
    pub async fn open(&self, address: SocketAddr) -> io::Result<EndpointConnection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)))?;
        set_options(&stream)?;
        let (allowance, backlog) = (ReadAllowance::default(), WriteBacklog::default());
        allowance.set(MAX_HEAD_BYTES);
        let (sender, connection) = Builder::new()
            .preserve_header_case(true)
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(LimitedStream::new(
                stream,
                allowance.clone(),
                backlog.clone(),
            )))
            .await
            .map_err(io::Error::other)?;
        metrics::counter!("amaranth_endpoint_connections_total").increment(1);
        let driver = tokio::spawn(async move {
            // The caller of `send` receives the error; it matters to no one else.
            let _ = connection.await;
        });
        let channel = Channel {
            number: ConnectionNumber::next(),
            sender,
            allowance,
            backlog,
            driver: driver.abort_handle(),
            idle_limit: DEFAULT_IDLE_LIMIT,
            carried: CarriedCalls::default(),
        };
        Ok(EndpointConnection { channel, address })
    }

    /// Returns a connection to the pool. Its last answer must have been read to the end. An endpoint
    /// may answer before it has read the call: such a connection is closed.
    pub fn release(&self, connection: EndpointConnection) {
        let EndpointConnection { channel, address } = connection;
        let mut idle = self.lock();
        let list = idle.entry(address).or_default();
        let is_usable = !channel.sender.is_closed() && !channel.backlog.is_waiting();
        if list.len() >= MAX_IDLE || !is_usable || channel.carried.is_full() {
            return;
        }
        list.push(IdleConnection {
            channel,
            since: Instant::now(),
        });
    }

    /// Closes the connections that exceeded their idle limit.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for list in idle.values_mut() {
            list.retain(|connection| connection.is_usable(now));
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        is_suitable: impl Fn(&CarriedCalls) -> bool,
    ) -> Option<EndpointConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let list = idle.get_mut(&address)?;
        list.retain(|connection| connection.is_usable(now));
        let index = list
            .iter()
            .rposition(|connection| is_suitable(&connection.channel.carried))?;
        let channel = list.remove(index).channel;
        Some(EndpointConnection { channel, address })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // Not all kernels know the option. Without it, less of an unread call is noticed.
    if let Err(error) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("event=socket_option_unavailable option=notsent_lowat error={error}");
    }
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE)
            .with_retries(KEEPALIVE_PROBES),
    )
}
