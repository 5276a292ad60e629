//! The configuration of one revision, immutable and cheap to clone.
//!
//! A clone shares its storage with the original. [`Catalogue::with_edits`] returns an edited
//! clone or, when the result is not valid, every problem that was found.

mod bounds;
mod chain;
mod check;
mod draft;
mod index;
mod problem;
mod resolve;
mod versioned_entry;

use std::sync::{Arc, LazyLock};

use amaranth_core::ids::{AdapterName, ConfigRevision, EndpointId, ModelName, ServiceName};

use crate::entries::{
    AdapterEntry, ConfigEntry, ConfigKey, EndpointGroupEntry, LimitsEntry, ModelEntry, PolicyEntry,
    PolicyPreset, RuleEntry, ServiceEntry,
};
use crate::shared_map::SharedMap;

use index::{AliasRules, ModelUse, NameUse, ServicePath};
use versioned_entry::VersionedEntry;

pub use bounds::{
    MAX_ADAPTERS, MAX_ALIAS_DEPTH, MAX_CATALOGUE_BYTES, MAX_ENDPOINT_GROUPS, MAX_ENTRIES,
    MAX_ENTRY_BYTES, MAX_MODELS, MAX_RULES, MAX_RULES_PER_NAME, MAX_SERVICES,
};
pub use draft::{CatalogueBuilder, ConfigEdit};
pub use problem::{CatalogueProblem, EntryField, ProblemKind};
pub use resolve::{ResolvedModel, ResolvedService};

static DEFAULT_LIMITS: LazyLock<LimitsEntry> = LazyLock::new(LimitsEntry::default);

/// All entries of one revision, with the indexes for routing requests.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    revision: ConfigRevision,
    encoded_bytes: usize,
    models: SharedMap<VersionedEntry<ModelEntry>>,
    adapters: SharedMap<VersionedEntry<AdapterEntry>>,
    rules: SharedMap<VersionedEntry<Arc<RuleEntry>>>,
    services: SharedMap<VersionedEntry<Arc<ServiceEntry>>>,
    endpoint_groups: SharedMap<VersionedEntry<Arc<EndpointGroupEntry>>>,
    limits: Option<Arc<VersionedEntry<LimitsEntry>>>,
    policy: Option<VersionedEntry<PolicyEntry>>,
    aliases: SharedMap<AliasRules>,
    name_uses: SharedMap<NameUse>,
    model_uses: SharedMap<ModelUse>,
    service_paths: SharedMap<ServicePath>,
}

impl Catalogue {
    /// Returns the revision of the catalogue.
    pub const fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Returns whether the catalogue contains no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.models.len()
            + self.adapters.len()
            + self.rules.len()
            + self.services.len()
            + self.endpoint_groups.len()
            + usize::from(self.limits.is_some())
            + usize::from(self.policy.is_some())
    }

    /// Returns the base models in no particular order.
    pub fn models(&self) -> impl Iterator<Item = &ModelEntry> {
        self.models.iter().map(|versioned| &versioned.entry)
    }

    /// Returns the adapters in no particular order.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterEntry> {
        self.adapters.iter().map(|versioned| &versioned.entry)
    }

    /// Returns the number of adapters.
    pub const fn adapter_count(&self) -> usize {
        self.adapters.len()
    }

    /// Returns the adapter with `name`, if any.
    pub fn adapter(&self, name: &AdapterName) -> Option<&AdapterEntry> {
        self.adapters
            .get(name.as_str())
            .map(|versioned| &versioned.entry)
    }

    /// Returns the rules in no particular order.
    pub fn rules(&self) -> impl Iterator<Item = &RuleEntry> {
        self.rules.iter().map(|versioned| &*versioned.entry)
    }

    /// Returns the services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.iter().map(|versioned| &*versioned.entry)
    }

    /// Returns the service with `name`, if any.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services
            .get(name.as_str())
            .map(|versioned| &*versioned.entry)
    }

    /// Returns the model names for which there are rules, in no particular order.
    pub fn rule_models(&self) -> impl Iterator<Item = &ModelName> {
        self.aliases.iter().map(|alias| &alias.model)
    }

    /// Returns the endpoint groups in no particular order.
    pub fn endpoint_groups(&self) -> impl Iterator<Item = &EndpointGroupEntry> {
        self.endpoint_groups
            .iter()
            .map(|versioned| &*versioned.entry)
    }

    /// Returns whether `endpoint` is known to refuse orders with an outdated fencing token.
    ///
    /// The group with the most specific matching pattern decides. The result is false for an
    /// endpoint that is in no group.
    pub fn checks_orders(&self, endpoint: &EndpointId) -> bool {
        self.endpoint_groups()
            .filter(|group| group.endpoints.matches(endpoint.as_str()))
            .max_by_key(|group| (group.endpoints.specificity(), &group.name))
            .is_some_and(|group| group.checks_orders)
    }

    /// Returns the limits, or the default limits if there is no such entry.
    pub fn limits(&self) -> &LimitsEntry {
        self.limits
            .as_ref()
            .map_or(&DEFAULT_LIMITS, |versioned| &versioned.entry)
    }

    /// Returns the policy preset, or the default preset if there is no such entry.
    pub fn policy(&self) -> PolicyPreset {
        self.policy
            .as_ref()
            .map_or_else(PolicyPreset::default, |versioned| versioned.entry.preset)
    }

    /// Returns a copy of the entry with `key`, if any.
    pub fn entry(&self, key: &ConfigKey) -> Option<ConfigEntry> {
        match key {
            ConfigKey::Model(name) => self.models.get(name.as_str()).map(VersionedEntry::to_entry),
            ConfigKey::Adapter(name) => self
                .adapters
                .get(name.as_str())
                .map(VersionedEntry::to_entry),
            ConfigKey::Rule(name) => self.rules.get(name.as_str()).map(VersionedEntry::to_entry),
            ConfigKey::Service(name) => self
                .services
                .get(name.as_str())
                .map(VersionedEntry::to_entry),
            ConfigKey::EndpointGroup(name) => self
                .endpoint_groups
                .get(name.as_str())
                .map(VersionedEntry::to_entry),
            ConfigKey::Limits => self.limits.as_ref().map(|versioned| versioned.to_entry()),
            ConfigKey::Policy => self.policy.as_ref().map(VersionedEntry::to_entry),
        }
    }

    /// Returns the revision that last changed the entry with `key`, if it exists.
    pub fn entry_revision(&self, key: &ConfigKey) -> Option<ConfigRevision> {
        match key {
            ConfigKey::Model(name) => self.models.get(name.as_str()).map(VersionedEntry::revision),
            ConfigKey::Adapter(name) => self
                .adapters
                .get(name.as_str())
                .map(VersionedEntry::revision),
            ConfigKey::Rule(name) => self.rules.get(name.as_str()).map(VersionedEntry::revision),
            ConfigKey::Service(name) => self
                .services
                .get(name.as_str())
                .map(VersionedEntry::revision),
            ConfigKey::EndpointGroup(name) => self
                .endpoint_groups
                .get(name.as_str())
                .map(VersionedEntry::revision),
            ConfigKey::Limits => self.limits.as_ref().map(|versioned| versioned.revision()),
            ConfigKey::Policy => self.policy.as_ref().map(VersionedEntry::revision),
        }
    }

    /// Returns every entry with the revision that last changed it, in an order that depends only
    /// on the keys.
    pub fn entries(&self) -> impl Iterator<Item = (ConfigRevision, ConfigEntry)> {
        self.models
            .iter()
            .map(VersionedEntry::to_pair)
            .chain(self.adapters.iter().map(VersionedEntry::to_pair))
            .chain(self.rules.iter().map(VersionedEntry::to_pair))
            .chain(self.services.iter().map(VersionedEntry::to_pair))
            .chain(self.endpoint_groups.iter().map(VersionedEntry::to_pair))
            .chain(self.limits.iter().map(|versioned| versioned.to_pair()))
            .chain(self.policy.iter().map(VersionedEntry::to_pair))
    }
}
