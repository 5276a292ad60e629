//! The entries of the configuration, and the keys that identify them.

mod adapter;
mod endpoint;
mod limits;
mod pattern;
mod policy;
mod rule;
mod service;

use std::fmt;

use amaranth_core::ids::{AdapterName, EndpointGroupName, ModelName, RuleName, ServiceName};
use serde::{Deserialize, Serialize};

pub use adapter::{AdapterEntry, MAX_ADAPTER_VERSIONS, ModelEntry};
pub use endpoint::EndpointGroupEntry;
pub use limits::LimitsEntry;
pub use pattern::NamePattern;
pub use policy::{PolicyEntry, PolicyPreset};
pub use rule::{
    CALLER_PLACEHOLDER, MAX_RULE_CALLERS, MAX_RULE_TARGETS, RuleEntry, RuleTarget, TargetName,
};
pub use service::{CallPattern, MAX_SERVICE_CALLS, ServiceEntry};

/// The key of one entry: its kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ConfigKey {
    /// A base model.
    Model(ModelName),
    /// An adapter.
    Adapter(AdapterName),
    /// A routing rule.
    Rule(RuleName),
    /// A plain service.
    Service(ServiceName),
    /// A group of endpoints.
    EndpointGroup(EndpointGroupName),
    /// The limits.
    Limits,
    /// The policy.
    Policy,
}

impl fmt::Display for ConfigKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(formatter, "models.{name}"),
            Self::Adapter(name) => write!(formatter, "adapters.{name}"),
            Self::Rule(name) => write!(formatter, "rules.{name}"),
            Self::Service(name) => write!(formatter, "services.{name}"),
            Self::EndpointGroup(name) => write!(formatter, "endpoints.{name}"),
            Self::Limits => formatter.write_str("limits"),
            Self::Policy => formatter.write_str("policy"),
        }
    }
}

/// One entry of the configuration, of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigEntry {
    /// A base model.
    Model(ModelEntry),
    /// An adapter.
    Adapter(AdapterEntry),
    /// A routing rule.
    Rule(RuleEntry),
    /// A plain service.
    Service(ServiceEntry),
    /// A group of endpoints.
    EndpointGroup(EndpointGroupEntry),
    /// The limits.
    Limits(LimitsEntry),
    /// The policy.
    Policy(PolicyEntry),
}

impl ConfigEntry {
    /// Returns the key of the entry.
    pub fn key(&self) -> ConfigKey {
        match self {
            Self::Model(entry) => ConfigKey::Model(entry.name.clone()),
            Self::Adapter(entry) => ConfigKey::Adapter(entry.name.clone()),
            Self::Rule(entry) => ConfigKey::Rule(entry.name.clone()),
            Self::Service(entry) => ConfigKey::Service(entry.name.clone()),
            Self::EndpointGroup(entry) => ConfigKey::EndpointGroup(entry.name.clone()),
            Self::Limits(_) => ConfigKey::Limits,
            Self::Policy(_) => ConfigKey::Policy,
        }
    }
}
