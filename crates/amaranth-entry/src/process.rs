//! A running entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::ids::{ConfigRevision, Incarnation};
use amaranth_core::membership::ProcessIdentity;
use amaranth_core::time::MonotonicClock;
use amaranth_ports::http_log::HttpLog;
use amaranth_ports::log::LogPort;
use amaranth_telemetry::admin::{self, AdminHandle};
use amaranth_telemetry::metrics::{self, MetricsHandle};
use amaranth_wire::entry::EntryRpc;
use amaranth_wire::transport::{self, ServerHandle};
use axum::serve::ListenerExt;
use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::claim_client::{CLAIM_QUEUE, ClaimClient};
use crate::claim_task::ClaimTask;
use crate::config_follower;
use crate::control_thread::{self, CONTROL_QUEUE, ControlParts};
use crate::directory::DirectoryOwner;
use crate::entry_state::{AdmissionLimiter, EntryState};
use crate::http;
use crate::peer_service::PeerService;
use crate::readiness::EntryReadiness;
use crate::retry_budget::SharedRetryBudget;
use crate::settings::EntrySettings;
use amaranth_telemetry::decision_log::DecisionLog;

/// Maximum time to flush answers, and then to record outcomes, after the last request ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time until the tasks of a stopped entry have closed their sockets.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The external dependencies of an entry.
#[derive(Clone)]
pub struct EntryPorts {
    /// The client of the platform's log.
    pub log: Arc<dyn LogPort>,
    /// The metrics that `/metrics` renders.
    pub metrics: MetricsHandle,
}

impl EntryPorts {
    /// Opens HTTP clients for the addresses in `settings`.
    pub fn open(settings: &EntrySettings, metrics: MetricsHandle) -> Self {
        Self {
            log: Arc::new(HttpLog::new(settings.log_address)),
            metrics,
        }
    }
}

/// A running entry. Dropping it stops the entry abruptly, without a drain.
pub struct EntryProcess {
    state: Arc<EntryState>,
    traffic: Option<Runtime>,
    http_address: SocketAddr,
    http_closing: CancellationToken,
    http_closed: watch::Receiver<bool>,
    peers: ServerHandle,
    admin: AdminHandle,
    drain: watch::Receiver<bool>,
    ended: CancellationToken,
}

impl EntryProcess {
    /// Starts an entry and returns once it listens.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    pub async fn spawn(settings: EntrySettings) -> Result<Self> {
        let ports = EntryPorts::open(&settings, metrics::detached());
        Self::spawn_with(settings, ports).await
    }

    /// Starts an entry that uses the given `ports`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    pub async fn spawn_with(settings: EntrySettings, ports: EntryPorts) -> Result<Self> {
        let traffic = traffic_runtime(settings.traffic_threads).map_err(start_failed)?;
        let handle = traffic.handle().clone();
        let starting = handle.spawn(start(settings, ports, handle.clone()));
        let started = match starting.await {
            Ok(started) => started,
            Err(error) => Err(start_failed(io::Error::other(error))),
        };
        match started {
            Ok(parts) => Ok(parts.into_process(traffic)),
            Err(error) => {
                traffic.shutdown_background();
                Err(error)
            }
        }
    }

    /// Returns the address at which callers are served over HTTP.
    pub const fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address at which agents and other entries are served over tarpc.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address at which health and metrics are served.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns whether the entry has caught up with the log and accepts requests.
    pub fn is_ready(&self) -> bool {
        self.state.readiness.is_ready()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.state.identity.incarnation
    }

    /// Returns the configuration revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.state.catalogue.load().revision()
    }

    /// Returns the number of endpoints that agents have announced.
    pub fn known_endpoints(&self) -> usize {
        self.state.directory.endpoint_count()
    }

    /// Waits until an operator requests that the entry drains.
    pub async fn drain_requested(&mut self) {
        // An error means that the tarpc service has ended, so no request can arrive any more.
        if self.drain.wait_for(|requested| *requested).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Stops admission, waits for the requests in flight and stops the entry.
    pub async fn drain(mut self) {
        self.state.readiness.start_draining();
        self.state.limiter.start_draining();
        log::info!(
            "event=drain_started process={} in_flight={}",
            self.state.identity.process,
            self.state.limiter.in_flight()
        );
        self.state.limiter.wait_until_idle().await;
        self.http_closing.cancel();
        let closed = self.http_closed.wait_for(|closed| *closed);
        if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
            log::warn!("event=connections_left_open");
        }
        let claims_idle = self.state.claims.wait_until_idle();
        if tokio::time::timeout(CLOSE_TIMEOUT, claims_idle)
            .await
            .is_err()
        {
            log::warn!("event=outcomes_left_unrecorded");
        }
        log::info!("event=drain_ended process={}", self.state.identity.process);
    }

    /// Stops all tasks and closes all sockets at once, as a crash would.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.ended.cancel();
        // A runtime must not be shut down on a thread of another runtime. The ports are free once
        // the helper thread has ended, so that a successor can bind them.
        if let Some(traffic) = self.traffic.take() {
            let closing = thread::spawn(move || traffic.shutdown_timeout(SHUTDOWN_TIMEOUT));
            if closing.join().is_err() {
                log::error!("event=shutdown_failed");
            }
        }
    }
}

fn start_failed(error: io::Error) -> Error {
    Error::new(
        ErrorKind::Internal,
        format!("the entry can't start: {error}"),
    )
}

fn traffic_runtime(threads: usize) -> io::Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    builder.thread_name("entry-traffic").enable_all().build()
}

/// The started parts of an entry, without the runtime that they run on.
struct StartedParts {
    state: Arc<EntryState>,
    http_address: SocketAddr,
    http_closing: CancellationToken,
    http_closed: watch::Receiver<bool>,
    peers: ServerHandle,
    admin: AdminHandle,
    drain: watch::Receiver<bool>,
    ended: CancellationToken,
}

impl StartedParts {
    fn into_process(self, traffic: Runtime) -> EntryProcess {
        EntryProcess {
            state: self.state,
            traffic: Some(traffic),
            http_address: self.http_address,
            http_closing: self.http_closing,
            http_closed: self.http_closed,
            peers: self.peers,
            admin: self.admin,
            drain: self.drain,
            ended: self.ended,
        }
    }
}

async fn start(
    settings: EntrySettings,
    ports: EntryPorts,
    traffic: tokio::runtime::Handle,
) -> Result<StartedParts> {
    let bind_failed = |address: SocketAddr| {
        move |error: io::Error| start_failed(io::Error::other(format!("{address}: {error}")))
    };
    let readiness = EntryReadiness::default();
    let admin = admin::bind(settings.admin_address, ports.metrics, readiness.flag())
        .await
        .map_err(bind_failed(settings.admin_address))?;
    let listener = TcpListener::bind(settings.http_address)
        .await
        .map_err(bind_failed(settings.http_address))?;
    let http_address = listener.local_addr().map_err(start_failed)?;
    let clock = MonotonicClock::start();
    let directory = DirectoryOwner::new(settings.peers, clock);
    let (claim_sender, claim_events) = mpsc::channel(CLAIM_QUEUE);
    let (idle_sender, idle) = watch::channel(true);
    let (control, events) = mpsc::channel(CONTROL_QUEUE);
    let (drain_sender, drain) = watch::channel(false);
    let identity = ProcessIdentity {
        process: settings.process.clone(),
        incarnation: Incarnation(rand::random()),
        address: settings.peer_address,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
    };
    let follower = config_follower::new(&identity, &settings, Arc::clone(&ports.log));
    let state = Arc::new(EntryState {
        identity,
        clock,
        directory: directory.directory(),
        retries: SharedRetryBudget::default(),
        catalogue: follower.view().cell(),
        configuration: follower.view(),
        claims: ClaimClient::new(claim_sender.clone(), idle),
        decisions: DecisionLog::default(),
        readiness,
        traffic,
        limiter: Arc::new(AdmissionLimiter::default()),
        settings,
    });
    let service = PeerService::new(Arc::clone(&state), control, drain_sender);
    let peers = bind_peers(&state, service).await?;
    let ended = CancellationToken::new();
    let control = ControlParts {
        state: Arc::clone(&state),
        directory,
        events,
        claims: ClaimTask::new(
            Arc::clone(&state),
            Arc::clone(&ports.log),
            claim_sender,
            idle_sender,
        ),
        claim_events,
        follower,
        ended: ended.clone(),
    };
    run_control(control).map_err(start_failed)?;
    let http_closing = CancellationToken::new();
    let http_closed = serve_callers(&state, listener, http_closing.clone());
    log::info!(
        "event=entry_started process={} incarnation={} http={http_address} peers={} admin={}",
        state.identity.process,
        state.identity.incarnation,
        peers.address(),
        admin.address()
    );
    Ok(StartedParts {
        state,
        http_address,
        http_closing,
        http_closed,
        peers,
        admin,
        drain,
        ended,
    })
}

async fn bind_peers(state: &EntryState, service: PeerService) -> Result<ServerHandle> {
    let address = state.settings.peer_address;
    let binding = transport::bind(address, move |transport| {
        BaseChannel::with_defaults(transport)
            .execute(service.clone().serve())
            .for_each(|response| async {
                tokio::spawn(response);
            })
    });
    binding
        .await
        .map_err(|error| start_failed(io::Error::other(format!("{address}: {error}"))))
}

/// Starts the thread that owns the control state and ends with the process.
fn run_control(parts: ControlParts) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("entry-control".to_owned())
        .spawn(move || runtime.block_on(control_thread::run(parts)))?;
    Ok(())
}

/// Serves callers until `closing` is cancelled, then finishes the open connections. The returned
/// receiver turns true once all of them have ended.
fn serve_callers(
    state: &Arc<EntryState>,
    listener: TcpListener,
    closing: CancellationToken,
) -> watch::Receiver<bool> {
    let (closed_sender, closed) = watch::channel(false);
    let routes = http::routes(Arc::clone(state));
    let listener = listener.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!("event=socket_option_failed error={error:?}");
        }
    });
    state.traffic.spawn(async move {
        let serving =
            axum::serve(listener, routes).with_graceful_shutdown(closing.cancelled_owned());
        if let Err(error) = serving.await {
            log::error!("event=http_ended error={error:?}");
        }
        closed_sender.send_replace(true);
    });
    closed
}
