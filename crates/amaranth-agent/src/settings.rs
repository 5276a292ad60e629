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
    /// The agent's name, which survives its restarts.
    pub process: ProcessId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its region.
    pub region: RegionName,
    /// Where it listens for its peers.
    pub peer_address: SocketAddr,
    /// Where its peers reach it, if that differs from where it listens.
    #[serde(default)]
    pub advertised_address: Option<SocketAddr>,
    /// Where it serves metrics and health.
    pub admin_address: SocketAddr,
    /// Where the platform's log listens.
    pub log_address: SocketAddr,
    /// Where the platform's list of VMs listens.
    #[serde(default)]
    pub vm_list_address: Option<SocketAddr>,
    /// Entries to announce to besides those of the list of VMs.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The least important events that are logged.
    #[serde(default = "default_log_level")]
    #[serde_as(as = "DisplayFromStr")]
    pub log_level: LevelFilter,
    /// The OTLP collector of the spans. Without one, spans are logged.
    #[serde(default)]
    pub collector: Option<String>,
    /// The endpoints behind this agent.
    #[serde(rename = "endpoint")]
    pub endpoints: Vec<EndpointSettings>,
    /// Bounds of memory and time.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is.
    pub kind: EndpointKind,
}

/// What an endpoint is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// An `[[endpoint]]` table as it is written.
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

/// Bounds of memory and time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentLimits {
    /// Requests that wait for one engine at once.
    pub queue: usize,
    /// Answers that are running or unread at once.
    pub answers: usize,
    /// Unread bytes of one answer at which its engine stream is held back.
    pub answer_buffer: ByteSize,
    /// Time without a read after which an answer is cancelled and forgotten.
    #[serde(with = "humantime_serde")]
    pub unread_window: Duration,
    /// Time for which the outcomes of claims are remembered.
    #[serde(with = "humantime_serde")]
    pub claim_window: Duration,
    /// Time between announcements.
    #[serde(with = "humantime_serde")]
    pub announce_interval: Duration,
    /// Time after which an entry that does not answer is connected to anew.
    #[serde(with = "humantime_serde")]
    pub entry_timeout: Duration,
    /// Time between two reads of an engine's inventory.
    #[serde(with = "humantime_serde")]
    pub inventory_interval: Duration,
    /// How long a lease on the endpoints lasts unless it is renewed.
    #[serde(with = "humantime_serde")]
    pub lease_term: Duration,
    /// Time between two renewals of the leases.
    #[serde(with = "humantime_serde")]
    pub lease_renewal: Duration,
    /// Most that two VMs' clocks drift apart within one lease term.
    #[serde(with = "humantime_serde")]
    pub clock_skew: Duration,
    /// Time without a chunk after which an engine's stream is taken to be lost and resumed.
    #[serde(with = "humantime_serde")]
    pub stream_silence: Duration,
    /// The same for the first chunk, before which the engine reads the prompt.
    #[serde(with = "humantime_serde")]
    pub first_chunk_silence: Duration,
    /// Time after which the answer to an order is given up.
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
        let shortest = self.lease_renewal + self.order_timeout + self.clock_skew;
        if self.lease_term <= shortest {
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
