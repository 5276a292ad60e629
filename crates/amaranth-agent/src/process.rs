//! The agent process: building, draining and stopping it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_control::lease::record::LeaseHolder;
use amaranth_core::ids::{EndpointId, Incarnation};
use amaranth_core::membership::{EndpointOffer, ProcessIdentity};
use amaranth_telemetry::admin::{self, AdminHandle, ReadyFlag};
use amaranth_telemetry::metrics::{self, MetricsHandle};
use amaranth_wire::agent::AgentRpc;
use amaranth_wire::transport::{self, PeerTransport, ServerHandle};
use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::watch;
use tokio::time::{interval, sleep};

use crate::announcer::{self, ChangeSignal, LatestRevision};
use crate::answer_store::AnswerStore;
use crate::claim_outcomes::OutcomeRecorder;
use crate::clock::AgentClock;
use crate::control_thread::ControlThread;
use crate::engine_control::{self, EngineContext};
use crate::entry_directory::EntryDirectory;
use crate::lease_task::LeaseContext;
use crate::permit_client::PermitClient;
use crate::ports::AgentPorts;
use crate::server::{AgentCore, AgentServer, ServiceEndpoint};
use crate::service_executor::ServiceExecutor;
use crate::settings::{AgentSettings, EndpointKind};
use crate::task_group::TaskGroup;
use amaranth_telemetry::decision_log::DecisionLog;

/// Time between two rounds that check for abandoned answers and probe the services.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks whether a draining agent is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for appending the outcomes of claims to the log when the agent ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a drained agent still serves reads, so that the last reader can repeat its read
/// of the end of an answer.
const DRAIN_LINGER: Duration = Duration::from_millis(200);

/// The parts from which an agent is built, besides its settings.
pub struct AgentParts {
    /// The clients of the log, the list of VMs, the engines and the services.
    pub ports: AgentPorts,
    /// The metrics that the admin address serves.
    pub metrics: MetricsHandle,
    /// The runtime of the control tasks.
    pub control: ControlThread,
}

/// A running agent. Dropping the handle stops the agent at once, without a drain.
pub struct AgentProcess {
    core: Arc<AgentCore>,
    server: ServerHandle,
    admin: AdminHandle,
    ready: ReadyFlag,
    tasks: TaskGroup,
    _control: ControlThread,
}

impl AgentProcess {
    /// Spawns an agent with HTTP clients for the addresses in `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn spawn(settings: AgentSettings) -> io::Result<Self> {
        let parts = AgentParts {
            ports: AgentPorts::open(&settings),
            metrics: metrics::detached(),
            control: ControlThread::spawn("agent-control")?,
        };
        Self::spawn_with(settings, parts).await
    }

    /// Spawns an agent from `parts`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn spawn_with(settings: AgentSettings, parts: AgentParts) -> io::Result<Self> {
        let tasks = TaskGroup::current();
        let ready = ReadyFlag::default();
        let admin = admin::bind(settings.admin_address, parts.metrics, ready.clone()).await?;
        let (publish, published) = watch::channel(None);
        let server = bind_server(settings.peer_address, published, tasks.clone()).await?;
        let identity = ProcessIdentity {
            process: settings.process.clone(),
            incarnation: Incarnation(rand::random()),
            address: settings.advertised_address.unwrap_or(server.address()),
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
        };
        let control = tasks.on_runtime(parts.control.runtime());
        let core = Arc::new(build_core(
            &settings,
            &parts.ports,
            identity,
            &tasks,
            &control,
        ));
        publish.send_replace(Some(AgentServer::new(core.clone())));
        tasks.spawn(announcer::run(core.clone()));
        tasks.spawn(run_maintenance(core.clone()));
        ready.set(true);
        log::info!(
            "event=agent_started process={} incarnation={} address={}",
            core.identity.process,
            core.identity.incarnation,
            core.identity.address
        );
        Ok(Self {
            core,
            server,
            admin,
            ready,
            tasks,
            _control: parts.control,
        })
    }

    /// Returns the address on which entries and operators call the agent.
    pub const fn peer_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of metrics and health.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the RPC server, for calls without a connection.
    pub fn server(&self) -> AgentServer {
        AgentServer::new(self.core.clone())
    }

    /// Waits until a drain was requested and nothing is in flight.
    pub async fn drained(&self) {
        while !(self.core.draining.load(Ordering::Acquire) && self.core.is_idle()) {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        sleep(DRAIN_LINGER).await;
    }

    /// Announces the drain, refuses new work, finishes requests in flight, delivers unread
    /// answers and ends the agent.
    pub async fn drain(self) {
        self.ready.set(false);
        self.core.start_draining().await;
        announcer::announce_to_all(&self.core).await;
        self.drained().await;
        self.core.service_executor.flush(FLUSH_TIMEOUT).await;
        self.core.release_endpoints().await;
        log::info!("event=agent_drained process={}", self.core.identity.process);
    }

    /// Ends all tasks and closes all connections at once.
    pub fn kill(self) {
        log::info!("event=agent_killed process={}", self.core.identity.process);
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        self.ready.set(false);
        self.server.stop();
        self.tasks.stop();
    }
}

/// Binds the tarpc service. Calls wait until a server is published.
async fn bind_server(
    address: SocketAddr,
    published: watch::Receiver<Option<AgentServer>>,
    tasks: TaskGroup,
) -> io::Result<ServerHandle> {
    transport::bind(address, move |transport: PeerTransport<_, _>| {
        let mut published = published.clone();
        let tasks = tasks.clone();
        async move {
            let server = match published.wait_for(Option::is_some).await {
                Ok(server) => server.clone(),
                Err(_) => None,
            };
            let Some(server) = server else {
                return;
            };
            BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|response| {
                    tasks.spawn(response);
                    std::future::ready(())
                })
                .await;
        }
    })
    .await
}

fn build_core(
    settings: &AgentSettings,
    ports: &AgentPorts,
    identity: ProcessIdentity,
    tasks: &TaskGroup,
    control: &TaskGroup,
) -> AgentCore {
    let limits = settings.limits.clone();
    let entries = Arc::new(EntryDirectory::new(
        settings.entries.iter().copied(),
        ports.vm_list.clone(),
        settings.data_centre.clone(),
        limits.entry_timeout,
    ));
    let change_signal = Arc::new(ChangeSignal::default());
    let decisions = Arc::new(DecisionLog::default());
    let clock = AgentClock::start();
    let holder = LeaseHolder {
        process: identity.process.clone(),
        incarnation: identity.incarnation,
        address: identity.address,
    };
    let lease_context = LeaseContext {
        log: ports.log.clone(),
        clock,
        decisions: decisions.clone(),
        tasks: tasks.clone(),
    };
    let lease = lease_context.spawn(control, holder, ports.engines.keys().cloned(), &limits);
    let context = Arc::new(EngineContext {
        clock,
        decisions: decisions.clone(),
        permit_client: Arc::new(PermitClient::new(entries.clone())),
        change_signal: change_signal.clone(),
        traffic_tasks: tasks.clone(),
        lease: lease.clone(),
        limits: limits.clone(),
    });
    let engines = ports.engines.iter().map(|(endpoint, port)| {
        let engine =
            engine_control::spawn(control, endpoint.clone(), port.clone(), context.clone());
        (endpoint.clone(), engine)
    });
    AgentCore {
        engines: engines.collect(),
        services: build_services(settings, ports),
        answers: AnswerStore::new(&limits),
        service_executor: Arc::new(ServiceExecutor::new(
            identity.incarnation,
            limits.claim_window,
            tasks.clone(),
            OutcomeRecorder::spawn(tasks, ports.log.clone(), clock),
        )),
        entries,
        lease,
        decisions,
        change_signal,
        revision: LatestRevision::default(),
        draining: AtomicBool::new(false),
        announced: Mutex::default(),
        announcements: AtomicU64::new(0),
        identity,
        limits,
    }
}

fn build_services(
    settings: &AgentSettings,
    ports: &AgentPorts,
) -> HashMap<EndpointId, ServiceEndpoint> {
    let mut services = HashMap::new();
    for endpoint in &settings.endpoints {
        let EndpointKind::Service { service } = &endpoint.kind else {
            continue;
        };
        if let Some(port) = ports.services.get(&endpoint.id) {
            let service_endpoint = ServiceEndpoint {
                offer: EndpointOffer::Service(service.clone()),
                port: port.clone(),
                ready: AtomicBool::new(false),
                in_flight: Arc::new(AtomicU64::new(0)),
            };
            services.insert(endpoint.id.clone(), service_endpoint);
        }
    }
    services
}

/// Removes abandoned answers and probes the services at a fixed interval.
async fn run_maintenance(core: Arc<AgentCore>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    loop {
        ticks.tick().await;
        core.answers.expire_unread().await;
        for service in core.services.values() {
            let ready = service.port.probe().await;
            if service.ready.swap(ready, Ordering::AcqRel) != ready {
                core.change_signal.notify();
            }
        }
    }
}
