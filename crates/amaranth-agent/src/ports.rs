//! The clients through which an agent reaches the platform and its endpoints.

use std::collections::HashMap;
use std::sync::Arc;

use amaranth_core::ids::EndpointId;
use amaranth_ports::engine::EnginePort;
use amaranth_ports::http_engine::HttpEngine;
use amaranth_ports::http_log::HttpLog;
use amaranth_ports::http_service::HttpService;
use amaranth_ports::http_vm_list::HttpVmList;
use amaranth_ports::log::LogPort;
use amaranth_ports::service::ServicePort;
use amaranth_ports::vm_list::VmListPort;

use crate::settings::{AgentSettings, EndpointKind};

/// The clients of the external systems that an agent uses. Its links to entries are in
/// [`crate::entry_directory`].
#[derive(Clone)]
pub struct AgentPorts {
    /// The client of the platform's log.
    pub log: Arc<dyn LogPort>,
    /// The client of the platform's list of VMs, if the settings name one.
    pub vm_list: Option<Arc<dyn VmListPort>>,
    /// The clients of the engines.
    pub engines: HashMap<EndpointId, Arc<dyn EnginePort>>,
    /// The clients of the instances of plain services.
    pub services: HashMap<EndpointId, Arc<dyn ServicePort>>,
}

impl AgentPorts {
    /// Opens HTTP clients for the addresses in `settings`.
    pub fn open(settings: &AgentSettings) -> Self {
        let mut ports = Self {
            log: Arc::new(HttpLog::new(settings.log_address)),
            vm_list: settings
                .vm_list_address
                .map(|address| Arc::new(HttpVmList::new(address)) as Arc<dyn VmListPort>),
            engines: HashMap::new(),
            services: HashMap::new(),
        };
        for endpoint in &settings.endpoints {
            let (id, address) = (endpoint.id.clone(), endpoint.address);
            match endpoint.kind {
                EndpointKind::Engine => {
                    ports.engines.insert(id, Arc::new(HttpEngine::new(address)));
                }
                EndpointKind::Service { .. } => {
                    ports
                        .services
                        .insert(id, Arc::new(HttpService::new(address)));
                }
            }
        }
        ports
    }
}
