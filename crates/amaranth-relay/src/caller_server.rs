//! The HTTP servers for callers and for the load balancer's readiness checks.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranth_dispatch::memory_budget::CallPhase;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::answer_body::{self, AnswerBody};
use crate::call_task;
use crate::caller_memory::CallerStream;
use crate::entry::EntryCore;
use crate::entry_stage::EntryStage;

/// Limit on concurrent connections of callers, which leaves file descriptors for endpoints and
/// agents.
const MAX_CALLER_CONNECTIONS: usize = 2_500;

/// Idle timeout of a connection while no configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Limit on the head of a call while no configuration is known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// Smallest connection buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limit on the number of headers of one call.
const MAX_HEADERS: usize = 100;

/// Size of the kernel's send buffer for a caller. It would otherwise grow to several megabytes for a
/// caller that reads nothing, outside of the memory budget. At a round trip of 2 ms to callers it
/// allows for more than 30 MB/s.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Length of the queue of connections that are not yet accepted.
const BACKLOG: u32 = 1_024;

/// The servers of an entry. Dropping the handle stops listening.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    readiness: SocketAddr,
    caller_task: JoinHandle<()>,
    readiness_task: JoinHandle<()>,
    stop: watch::Sender<bool>,
    open_connections: Arc<AtomicUsize>,
}

impl CallerServer {
    /// Binds the addresses for callers and for readiness.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub fn bind(core: &Arc<EntryCore>) -> io::Result<Self> {
        let callers = listen(core.options.callers)?;
        let readiness = listen(core.options.readiness)?;
        let (stop, stop_receiver) = watch::channel(false);
        let open_connections = Arc::new(AtomicUsize::new(0));
        let address = callers.local_addr()?;
        let readiness_address = readiness.local_addr()?;
        Ok(Self {
            address,
            readiness: readiness_address,
            caller_task: tokio::spawn(accept_callers(
                callers,
                Arc::clone(core),
                stop_receiver,
                Arc::clone(&open_connections),
            )),
            readiness_task: tokio::spawn(answer_readiness(readiness, Arc::clone(core))),
            stop,
            open_connections,
        })
    }

    /// Returns the address for callers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for readiness checks.
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns how many connections of callers are open.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Closes idle connections, and the others after their current answer. New connections are
    /// still accepted, for one call each.
    pub fn disable_keep_alive(&self) {
        self.stop.send_replace(true);
    }

    /// Stops accepting callers and closes their connections as [`Self::disable_keep_alive`] does.
    pub fn close(&self) {
        self.disable_keep_alive();
        self.caller_task.abort();
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.caller_task.abort();
        self.readiness_task.abort();
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Counts an open connection until it is dropped.
struct ConnectionCount(Arc<AtomicUsize>);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts the next connection. Errors, such as too few file descriptors, are retried after a
/// delay.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_callers(
    listener: TcpListener,
    core: Arc<EntryCore>,
    stop_receiver: watch::Receiver<bool>,
    open_connections: Arc<AtomicUsize>,
) {
    let max_connections = MAX_CALLER_CONNECTIONS.min(core.memory.limits().connections());
    loop {
        let stream = accept(&listener).await;
        if open_connections.fetch_add(1, Ordering::Relaxed) >= max_connections {
            open_connections.fetch_sub(1, Ordering::Relaxed);
            log::warn!("event=caller_refused reason=connections");
            continue;
        }
        let connection = ConnectionCount(Arc::clone(&open_connections));
        let core = Arc::clone(&core);
        let stop_receiver = stop_receiver.clone();
        tokio::spawn(async move {
            serve_caller(stream, core, stop_receiver).await;
            drop(connection);
        });
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}

async fn serve_caller(
    stream: TcpStream,
    core: Arc<EntryCore>,
    mut stop_receiver: watch::Receiver<bool>,
) {
    if let Err(error) = set_options(&stream) {
        log::debug!("event=caller_gone error={error}");
        return;
    }
    let limits = core.table().map(|table| table.limits());
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes);
    let memory = core.memory.open();
    let call_memory = Arc::clone(&memory);
    let service = service_fn(move |request: Request<Incoming>| {
        let core = Arc::clone(&core);
        let memory = Arc::clone(&call_memory);
        async move {
            let mut answer =
                call_task::answer(Arc::clone(&core), Arc::clone(&memory), request).await;
            memory.set_phase(CallPhase::Answering);
            if core.stage.get() == EntryStage::Stopping {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let is_single_call = *stop_receiver.borrow();
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .keep_alive(!is_single_call)
        .max_headers(MAX_HEADERS)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .preserve_header_case(true)
        .auto_date_header(false)
        .serve_connection(
            TokioIo::new(CallerStream::new(stream, Arc::clone(&memory))),
            service,
        );
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = memory.ended() => return,
        () = stop_requested(&mut stop_receiver), if !is_single_call => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = memory.ended() => return,
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended error={error}");
    }
}

/// Returns when a stop is requested or the server was dropped.
async fn stop_requested(stop_receiver: &mut watch::Receiver<bool>) {
    let _ = stop_receiver.wait_for(|stop| *stop).await.map(drop);
}

async fn answer_readiness(listener: TcpListener, core: Arc<EntryCore>) {
    loop {
        let stream = accept(&listener).await;
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = readiness_answer(&core, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=readiness_connection_ended error={error}");
            }
        });
    }
}

fn readiness_answer(core: &EntryCore, request: &Request<Incoming>) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::empty());
    let is_check = core
        .codec
        .is_readiness_check(request.method(), request.uri().path());
    *response.status_mut() = match (is_check, core.stage.get()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, EntryStage::Ready) => StatusCode::OK,
        (true, _) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
