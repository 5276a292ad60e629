//! The ports of one agent.

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

/// Everything outside that an agent talks to, entries excepted.
#[derive(Clone)]
pub struct AgentPorts {
    /// The platform's log.
    pub log: Arc<dyn LogPort>,
    /// The platform's list of VMs, if the settings name one.
    pub vm_list: Option<Arc<dyn VmListPort>>,
    /// The engines.
    pub engines: HashMap<EndpointId, Arc<dyn EnginePort>>,
    /// The instances of plain services.
    pub services: HashMap<EndpointId, Arc<dyn ServicePort>>,
}

impl AgentPorts {
    /// Opens HTTP clients of everything that `settings` name.
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
