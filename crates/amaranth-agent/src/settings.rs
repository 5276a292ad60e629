//! The settings of an agent.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{DataCentreName, EndpointId, ProcessId, RegionName, ServiceName};
use amaranth_core::units::ByteSize;
use amaranth_telemetry::settings::{CheckedSettings, SettingFault};
use log::LevelFilter;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// The settings of one agent, read from a TOML file.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name of the agent's process, which stays the same over restarts.
    pub process: ProcessId,
    /// The data centre of the agent.
    pub data_centre: DataCentreName,
    /// The region of the agent.
    pub region: RegionName,
    /// The address on which the agent listens for its peers.
    pub peer_address: SocketAddr,
    /// The address on which peers reach the agent, if it differs from the one it listens on.
    #[serde(default)]
    pub advertised_address: Option<SocketAddr>,
    /// The address on which the agent serves metrics and health.
    pub admin_address: SocketAddr,
    /// The address of the platform's log.
    pub log_address: SocketAddr,
    /// The address of the platform's list of VMs.
    #[serde(default)]
    pub vm_list_address: Option<SocketAddr>,
    /// The entries that get announcements besides those in the list of VMs.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The lowest level of events that are logged.
    #[serde(default = "default_log_level")]
    #[serde_as(as = "DisplayFromStr")]
    pub log_level: LevelFilter,
    /// The OTLP collector to which spans are exported. Without one, spans are logged.
    #[serde(default)]
    pub collector: Option<String>,
    /// The endpoints behind this agent.
    #[serde(rename = "endpoint")]
    pub endpoints: Vec<EndpointSettings>,
    /// The limits on memory and time.
    #[serde(default)]
    pub limits: AgentLimits,
}

const fn default_log_level() -> LevelFilter {
    LevelFilter::Info
}

/// One endpoint behind the agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(try_from = "EndpointTable", into = "EndpointTable")]
pub struct EndpointSettings {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The kind of the endpoint.
    pub kind: EndpointKind,
}

/// The kind of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service {
        /// The name of the service.
        service: ServiceName,
    },
}

/// An `[[endpoint]]` table in the form of the settings file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EndpointTable {
    id: EndpointId,
    kind: EndpointKindName,
    #[serde(skip_serializing_if = "Option::is_none")]
    service: Option<ServiceName>,
    address: SocketAddr,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum EndpointKindName {
    Engine,
    Service,
}

impl TryFrom<EndpointTable> for EndpointSettings {
    type Error = String;

    fn try_from(table: EndpointTable) -> Result<Self, String> {
        let id = &table.id;
        let kind = match (table.kind, table.service) {
            (EndpointKindName::Engine, None) => EndpointKind::Engine,
            (EndpointKindName::Service, Some(service)) => EndpointKind::Service { service },
            (EndpointKindName::Engine, Some(service)) => {
                return Err(format!(
                    "endpoint \"{id}\" is an engine and names service \"{service}\"; \
                     only kind = \"service\" does"
                ));
            }
            (EndpointKindName::Service, None) => {
                return Err(format!(
                    "endpoint \"{id}\" is a service and lacks the key \"service\""
                ));
            }
        };
        Ok(Self {
            id: table.id,
            address: table.address,
            kind,
        })
    }
}

impl From<EndpointSettings> for EndpointTable {
    fn from(settings: EndpointSettings) -> Self {
        let (kind, service) = match settings.kind {
            EndpointKind::Engine => (EndpointKindName::Engine, None),
            EndpointKind::Service { service } => (EndpointKindName::Service, Some(service)),
        };
        Self {
            id: settings.id,
            kind,
            service,
            address: settings.address,
        }
    }
}

/// The limits of one agent on memory and time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentLimits {
    /// Maximum number of requests that wait for one engine.
    pub queue: usize,
    /// Maximum number of answers that are running or unread.
    pub answers: usize,
    /// Unread size of one answer from which on its engine stream is paused.
    pub answer_buffer: ByteSize,
    /// Time without a read after which an answer is cancelled and removed.
    #[serde(with = "humantime_serde")]
    pub unread_window: Duration,
    /// Time for which the outcomes of claims are kept.
    #[serde(with = "humantime_serde")]
    pub claim_window: Duration,
    /// Time between two announcements to an entry.
    #[serde(with = "humantime_serde")]
    pub announce_interval: Duration,
    /// Timeout of a call to an entry, after which its connection is reopened.
    #[serde(with = "humantime_serde")]
    pub entry_timeout: Duration,
    /// Time between two reads of an engine's inventory.
    #[serde(with = "humantime_serde")]
    pub inventory_interval: Duration,
    /// Time after which a lease on the endpoints expires unless it is renewed.
    #[serde(with = "humantime_serde")]
    pub lease_term: Duration,
    /// Time between two renewals of the leases.
    #[serde(with = "humantime_serde")]
    pub lease_renewal: Duration,
    /// Maximum drift between the clocks of two VMs within one lease term.
    #[serde(with = "humantime_serde")]
    pub clock_skew: Duration,
    /// Time without a chunk after which an engine's stream counts as lost and is resumed.
    #[serde(with = "humantime_serde")]
    pub stream_silence: Duration,
    /// Time without the first chunk after which an engine's stream counts as lost. The engine
    /// processes the prompt before that chunk, which takes longer.
    #[serde(with = "humantime_serde")]
    pub first_chunk_silence: Duration,
    /// Timeout of an order to an engine. An order takes effect within this time or never.
    #[serde(with = "humantime_serde")]
    pub order_timeout: Duration,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            queue: 1_024,
            answers: 2_048,
            answer_buffer: ByteSize(64 << 10),
            unread_window: Duration::from_secs(15),
            claim_window: Duration::from_secs(600),
            announce_interval: Duration::from_secs(1),
            entry_timeout: Duration::from_secs(2),
            inventory_interval: Duration::from_secs(1),
            lease_term: Duration::from_secs(60),
            lease_renewal: Duration::from_secs(20),
            clock_skew: Duration::from_secs(1),
            stream_silence: Duration::from_secs(3),
            first_chunk_silence: Duration::from_secs(10),
            order_timeout: Duration::from_secs(5),
        }
    }
}

impl CheckedSettings for AgentSettings {
    fn faults(&self) -> Vec<SettingFault> {
        let mut faults = Vec::new();
        if self.endpoints.is_empty() {
            faults.push(SettingFault::new(
                "endpoint",
                "[]",
                "one [[endpoint]] table or more",
            ));
        }
        let mut names = HashSet::new();
        for endpoint in &self.endpoints {
            if !names.insert(&endpoint.id) {
                faults.push(SettingFault::new(
                    "endpoint.id",
                    &endpoint.id,
                    "a name that no other [[endpoint]] has",
                ));
            }
        }
        faults.extend(self.limits.faults());
        faults
    }
}

impl AgentLimits {
    fn faults(&self) -> Vec<SettingFault> {
        let mut faults = Vec::new();
        for (name, count) in [("queue", self.queue), ("answers", self.answers)] {
            if count == 0 {
                let key = format!("limits.{name}");
                faults.push(SettingFault::new(key, 0, "1 or more"));
            }
        }
        if self.answer_buffer == ByteSize(0) {
            faults.push(SettingFault::new(
                "limits.answer_buffer",
                "0 B",
                "1 B or more",
            ));
        }
        let durations = [
            ("unread_window", self.unread_window),
            ("claim_window", self.claim_window),
            ("announce_interval", self.announce_interval),
            ("entry_timeout", self.entry_timeout),
            ("inventory_interval", self.inventory_interval),
            ("lease_renewal", self.lease_renewal),
            ("stream_silence", self.stream_silence),
            ("first_chunk_silence", self.first_chunk_silence),
            ("order_timeout", self.order_timeout),
        ];
        let minimum = self.lease_renewal + self.order_timeout + self.clock_skew;
        if self.lease_term <= minimum {
            faults.push(SettingFault::new(
                "limits.lease_term",
                format!("{:?}", self.lease_term),
                "more than lease_renewal, order_timeout and clock_skew together",
            ));
        }
        let zeros = durations.iter().filter(|(_, duration)| duration.is_zero());
        faults
            .extend(zeros.map(|(name, _)| {
                SettingFault::new(format!("limits.{name}"), "0s", "more than 0s")
            }));
        faults
    }
}
