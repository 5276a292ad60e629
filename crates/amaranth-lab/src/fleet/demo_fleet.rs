//! A running fleet: the platform's stand-ins, engines, services, agents and entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_agent::process::AgentProcess;
use amaranth_agent::settings::{AgentLimits, AgentSettings, EndpointKind, EndpointSettings};
use amaranth_config::catalogue::Catalogue;
use amaranth_core::errors::{Result, internal};
use amaranth_core::ids::EndpointId;
use amaranth_entry::process::EntryProcess;
use amaranth_entry::settings::EntrySettings;
use amaranth_ports::http_log::HttpLog;
use amaranth_standin::engine::{EngineOptions, EngineStandin};
use amaranth_standin::log_standin::{LogOptions, LogStandin};
use amaranth_standin::path_standin::{PathOptions, PathStandin};
use amaranth_standin::service_standin::{ServiceOptions, ServiceStandin};
use amaranth_standin::store_standin::{StoreOptions, StoreStandin};
use amaranth_standin::vm_list_standin::{VmListOptions, VmListStandin};
use log::LevelFilter;

use crate::fleet::configuration::{FIRST_VERSION, PendingChange, documents};
use crate::fleet::member::{FleetMember, any_port, free_port};
use crate::fleet::shape::{DataCentreShape, DeploymentShape};

/// Time between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which a fleet must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of ports that are tried for one agent.
const MAX_PORT_ATTEMPTS: u32 = 5;

/// An entry of a fleet.
pub type EntryMember = FleetMember<EntrySettings, EntryProcess>;

/// An agent of a fleet.
pub type AgentMember = FleetMember<AgentSettings, AgentProcess>;

/// An engine stand-in with its endpoint id.
pub struct NamedEngine {
    /// The endpoint id of the engine.
    pub id: EndpointId,
    /// The engine stand-in.
    pub engine: EngineStandin,
}

/// The stand-ins for the services of the platform.
pub struct PlatformStandins {
    /// The stand-in for the log.
    pub log: LogStandin,
    /// The stand-in for the weight store.
    pub store: StoreStandin,
    /// The stand-in for the VM list.
    pub vm_list: VmListStandin,
}

/// A whole deployment that runs in this process, on loopback.
pub struct DemoFleet {
    /// The shape of the deployment.
    pub shape: DeploymentShape,
    /// The stand-ins for the platform.
    pub platform: PlatformStandins,
    /// The engine stand-ins.
    pub engines: Vec<NamedEngine>,
    /// The stand-ins for the instances of the plain service.
    pub services: Vec<ServiceStandin>,
    /// The network paths from the entries to each agent, in the order of `agents`.
    pub paths: Vec<PathStandin>,
    /// The agents: those of the engines first, then those of the service.
    pub agents: Vec<AgentMember>,
    /// The entries, one per data centre.
    pub entries: Vec<EntryMember>,
    /// The configuration after the change that was appended last.
    pub catalogue: Catalogue,
}

fn start_error(error: impl std::fmt::Display) -> amaranth_core::Error {
    internal(format!("the fleet can't start: {error}"))
}

impl PlatformStandins {
    async fn spawn(shape: &DeploymentShape) -> Result<Self> {
        let store = StoreOptions {
            load_rate: shape.store_rate,
            ..StoreOptions::default()
        };
        Ok(Self {
            log: LogStandin::spawn(LogOptions::default())
                .await
                .map_err(start_error)?,
            store: StoreStandin::spawn(store).await.map_err(start_error)?,
            vm_list: VmListStandin::spawn(VmListOptions::default())
                .await
                .map_err(start_error)?,
        })
    }
}

impl DemoFleet {
    /// Starts every stand-in and process of `shape` and waits until each entry is ready and has
    /// discovered every endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or process can't be started or the fleet is not ready in
    /// time.
    pub async fn spawn(shape: DeploymentShape) -> Result<Self> {
        let platform = PlatformStandins::spawn(&shape).await?;
        let first = PendingChange::build(&Catalogue::default(), &documents(&shape, FIRST_VERSION))?;
        let catalogue = first.append(&HttpLog::new(platform.log.address())).await?;
        let engines = spawn_engines(&shape, platform.store.address()).await?;
        let services = spawn_services(&shape).await?;
        let mut fleet = Self {
            shape,
            platform,
            engines,
            services,
            paths: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            catalogue,
        };
        fleet.spawn_entries().await?;
        fleet.spawn_agents().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns a client of the fleet's log.
    pub fn log(&self) -> Arc<HttpLog> {
        Arc::new(HttpLog::new(self.platform.log.address()))
    }

    /// Returns the HTTP addresses of the running entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .filter_map(|member| Some(member.process()?.http_address()))
            .collect()
    }

    /// Drains and stops every process, the entries first, then the agents.
    pub async fn stop(mut self) {
        for member in &mut self.entries {
            if let Some(entry) = member.take_process() {
                entry.drain().await;
            }
        }
        for member in &mut self.agents {
            if let Some(agent) = member.take_process() {
                agent.drain().await;
            }
        }
    }

    async fn spawn_entries(&mut self) -> Result<()> {
        let mut peers = Vec::new();
        for index in 0..self.shape.data_centres.len() {
            let settings = self.entry_settings(index, peers.clone())?;
            let entry = EntryProcess::spawn(settings.clone()).await?;
            peers.push(entry.peer_address());
            let settings = EntrySettings {
                http_address: entry.http_address(),
                peer_address: entry.peer_address(),
                admin_address: entry.admin_address(),
                ..settings
            };
            self.entries.push(FleetMember::running(settings, entry));
        }
        Ok(())
    }

    fn entry_settings(&self, index: usize, entries: Vec<SocketAddr>) -> Result<EntrySettings> {
        let DataCentreShape { name, region } = self.shape.data_centre_of(index).clone();
        let process = format!("entry-{name}").parse()?;
        let log = self.platform.log.address();
        let mut settings = EntrySettings::loopback(process, name, region, log);
        settings.vm_list_address = Some(self.platform.vm_list.address());
        settings.entries = entries;
        Ok(settings)
    }

    async fn spawn_agents(&mut self) -> Result<()> {
        let engines: Vec<_> = self
            .engines
            .iter()
            .map(|named| {
                (
                    named.id.clone(),
                    named.engine.address(),
                    EndpointKind::Engine,
                )
            })
            .collect();
        let service = self.shape.service.clone();
        let services: Vec<_> = self
            .services
            .iter()
            .enumerate()
            .map(|(index, instance)| {
                let id: EndpointId = format!("{service}-{}", index + 1)
                    .parse()
                    .expect("a service name with a number is a valid endpoint id");
                let kind = EndpointKind::Service {
                    service: service.clone(),
                };
                (id, instance.address(), kind)
            })
            .collect();
        for (index, (id, address, kind)) in engines.into_iter().enumerate() {
            self.spawn_agent_with_retries(index, EndpointSettings { id, address, kind })
                .await?;
        }
        for (index, (id, address, kind)) in services.into_iter().enumerate() {
            self.spawn_agent_with_retries(index, EndpointSettings { id, address, kind })
                .await?;
        }
        Ok(())
    }

    /// Starts an agent, trying another port if that fails.
    ///
    /// Another connection can occupy the port between the check that it is free and the bind.
    async fn spawn_agent_with_retries(
        &mut self,
        index: usize,
        endpoint: EndpointSettings,
    ) -> Result<()> {
        let mut attempts = 1;
        loop {
            match self.spawn_agent(index, endpoint.clone()).await {
                Err(_) if attempts < MAX_PORT_ATTEMPTS => attempts += 1,
                result => return result,
            }
        }
    }

    async fn spawn_agent(&mut self, index: usize, endpoint: EndpointSettings) -> Result<()> {
        let DataCentreShape { name, region } = self.shape.data_centre_of(index).clone();
        let peer_address = free_port().map_err(start_error)?;
        let path = PathStandin::spawn(PathOptions::to(peer_address))
            .await
            .map_err(start_error)?;
        let settings = AgentSettings {
            process: format!("agent-{}", endpoint.id).parse()?,
            data_centre: name,
            region,
            peer_address,
            advertised_address: Some(path.address()),
            admin_address: any_port(),
            log_address: self.platform.log.address(),
            vm_list_address: Some(self.platform.vm_list.address()),
            entries: self.peer_addresses(),
            log_level: LevelFilter::Warn,
            collector: None,
            endpoints: vec![endpoint],
            limits: AgentLimits::default(),
        };
        let agent = AgentProcess::spawn(settings.clone())
            .await
            .map_err(start_error)?;
        let settings = AgentSettings {
            admin_address: agent.admin_address(),
            ..settings
        };
        self.paths.push(path);
        self.agents.push(FleetMember::running(settings, agent));
        Ok(())
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|member| member.settings().peer_address)
            .collect()
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| start_error("it is not ready in time"))
    }

    /// Returns whether every entry is ready and has discovered every endpoint of the fleet.
    async fn is_ready(&self) -> bool {
        let expected = self.engines.len() + self.services.len();
        self.entries.iter().all(|member| {
            member
                .process()
                .is_some_and(|entry| entry.is_ready() && entry.known_endpoints() >= expected)
        })
    }
}

async fn spawn_engines(shape: &DeploymentShape, store: SocketAddr) -> Result<Vec<NamedEngine>> {
    let mut engines = Vec::with_capacity(shape.engines);
    for index in 0..shape.engines {
        let options = EngineOptions {
            bases: vec![shape.base.clone()],
            adapter_slots: shape.adapter_slots,
            batch_slots: shape.batch_slots,
            step_time: shape.step_time,
            store: Some(store),
            // Every third engine ignores fencing tokens, as the engines of some deployments do.
            checks_fencing: index % 3 != 2,
            ..EngineOptions::default()
        };
        let id = format!("{}-{:02}", shape.base, index + 1).parse()?;
        let engine = EngineStandin::spawn(options).await.map_err(start_error)?;
        engines.push(NamedEngine { id, engine });
    }
    Ok(engines)
}

async fn spawn_services(shape: &DeploymentShape) -> Result<Vec<ServiceStandin>> {
    let mut services = Vec::with_capacity(shape.service_instances);
    for _ in 0..shape.service_instances {
        let service = ServiceStandin::spawn(ServiceOptions::default())
            .await
            .map_err(start_error)?;
        services.push(service);
    }
    Ok(services)
}
