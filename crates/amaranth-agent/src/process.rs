//! A running agent.

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

use crate::announcer::{self, ChangeSignal, HeardRevision};
use crate::answer_store::AnswerStore;
use crate::claim_outcomes::OutcomeRecorder;
use crate::clock::AgentClock;
use crate::control_thread::ControlThread;
use crate::engine_control::{self, EngineContext};
use crate::entry_directory::EntryDirectory;
use crate::lease_keeper::LeaseTask;
use crate::load_permits::LoadPermits;
use crate::ports::AgentPorts;
use crate::server::{AgentCore, AgentServer, ServiceEndpoint};
use crate::service_desk::ServiceDesk;
use crate::settings::{AgentSettings, EndpointKind};
use crate::task_group::TaskGroup;
use amaranth_telemetry::decision_log::DecisionLog;

/// Time between two looks for answers that nobody reads and services that do not answer.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks whether a draining agent is idle.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time that the outcomes of claims have to reach the log when the agent ends.
const FLUSH_LIMIT: Duration = Duration::from_secs(5);

/// Time that a last reader has to fetch the end of its answer again.
const DRAIN_LINGER: Duration = Duration::from_millis(200);

/// What an agent is built from besides its settings.
pub struct AgentParts {
    /// Everything outside that it talks to.
    pub ports: AgentPorts,
    /// The metrics that its admin page shows.
    pub metrics: MetricsHandle,
    /// Where its control tasks run.
    pub control: ControlThread,
}

/// A running agent. Dropping it ends it abruptly.
pub struct AgentProcess {
    core: Arc<AgentCore>,
    server: ServerHandle,
    admin: AdminHandle,
    ready: ReadyFlag,
    tasks: TaskGroup,
    _control: ControlThread,
}

impl AgentProcess {
    /// Spawns an agent with HTTP clients of everything that `settings` name.
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
        let tasks = TaskGroup::open();
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
        let control = tasks.on(parts.control.runtime());
        let core = Arc::new(open_core(
            &settings,
            &parts.ports,
            identity,
            &tasks,
            &control,
        ));
        publish.send_replace(Some(AgentServer::open(core.clone())));
        tasks.spawn(announcer::run(core.clone()));
        tasks.spawn(keep_up(core.clone()));
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

    /// Returns the address that entries and operators call.
    pub const fn peer_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of metrics and health.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the service that entries call, for calls without a connection.
    pub fn server(&self) -> AgentServer {
        AgentServer::open(self.core.clone())
    }

    /// Returns when an operator has asked the agent to leave and nothing is in flight.
    pub async fn drained(&self) {
        while !(self.core.leaving.load(Ordering::Acquire) && self.core.is_idle()) {
            sleep(DRAIN_POLL).await;
        }
        sleep(DRAIN_LINGER).await;
    }

    /// Announces that the agent leaves, refuses new work, finishes what is in flight, delivers
    /// unread answers and ends.
    pub async fn drain(self) {
        self.ready.set(false);
        self.core.start_leaving().await;
        announcer::announce_to_all(&self.core).await;
        self.drained().await;
        self.core.desk.flush(FLUSH_LIMIT).await;
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

/// Binds the tarpc service, which answers as soon as one is published.
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

fn open_core(
    settings: &AgentSettings,
    ports: &AgentPorts,
    identity: ProcessIdentity,
    tasks: &TaskGroup,
    control: &TaskGroup,
) -> AgentCore {
    let limits = settings.limits.clone();
    let entries = Arc::new(EntryDirectory::open(
        settings.entries.iter().copied(),
        ports.vm_list.clone(),
        settings.data_centre.clone(),
        limits.entry_timeout,
    ));
    let changed = Arc::new(ChangeSignal::default());
    let decisions = Arc::new(DecisionLog::default());
    let clock = AgentClock::start();
    let holder = LeaseHolder {
        process: identity.process.clone(),
        incarnation: identity.incarnation,
        address: identity.address,
    };
    let keeper = LeaseTask {
        log: ports.log.clone(),
        clock,
        decisions: decisions.clone(),
        tasks: tasks.clone(),
    };
    let lease = keeper.spawn(control, holder, ports.engines.keys().cloned(), &limits);
    let context = Arc::new(EngineContext {
        clock,
        decisions: decisions.clone(),
        permits: Arc::new(LoadPermits::open(entries.clone())),
        changed: changed.clone(),
        traffic: tasks.clone(),
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
        services: open_services(settings, ports),
        answers: AnswerStore::open(&limits),
        desk: Arc::new(ServiceDesk::open(
            identity.incarnation,
            limits.claim_window,
            tasks.clone(),
            OutcomeRecorder::spawn(tasks, ports.log.clone(), clock),
        )),
        entries,
        lease,
        decisions,
        changed,
        revision: HeardRevision::default(),
        leaving: AtomicBool::new(false),
        found: Mutex::default(),
        announcements: AtomicU64::new(0),
        identity,
        limits,
    }
}

fn open_services(
    settings: &AgentSettings,
    ports: &AgentPorts,
) -> HashMap<EndpointId, ServiceEndpoint> {
    let mut services = HashMap::new();
    for endpoint in &settings.endpoints {
        let EndpointKind::Service { service } = &endpoint.kind else {
            continue;
        };
        if let Some(port) = ports.services.get(&endpoint.id) {
            let opened = ServiceEndpoint {
                offer: EndpointOffer::Service(service.clone()),
                port: port.clone(),
                ready: AtomicBool::new(false),
                in_flight: Arc::new(AtomicU64::new(0)),
            };
            services.insert(endpoint.id.clone(), opened);
        }
    }
    services
}

/// Forgets answers that nobody reads and probes the services.
async fn keep_up(core: Arc<AgentCore>) {
    let mut rounds = interval(UPKEEP_INTERVAL);
    loop {
        rounds.tick().await;
        core.answers.expire_unread().await;
        for service in core.services.values() {
            let ready = service.port.probe().await;
            if service.ready.swap(ready, Ordering::AcqRel) != ready {
                core.changed.raise();
            }
        }
    }
}
