//! The configuration in force at one revision, immutable and cheap to clone.
//!
//! A clone shares all its pages with the original. [`Catalogue::with_edits`] returns a changed
//! clone or, when anything is wrong with the outcome, every problem and no catalogue.

mod bounds;
mod chain;
mod check;
mod draft;
mod index;
mod problem;
mod resolve;
mod slot;

use std::sync::{Arc, LazyLock};

use amaranth_core::ids::{AdapterName, ConfigRevision, EndpointId, ModelName, ServiceName};

use crate::entries::{
    AdapterEntry, ConfigEntry, ConfigKey, EndpointGroupEntry, LimitsEntry, ModelEntry, PolicyEntry,
    PolicyPreset, RuleEntry, ServiceEntry,
};
use crate::shared_map::SharedMap;

use index::{AliasRules, ModelUse, NameUse, ServicePath};
use slot::Slot;

pub use bounds::{
    MAX_ADAPTERS, MAX_ALIAS_DEPTH, MAX_CATALOGUE_BYTES, MAX_ENDPOINT_GROUPS, MAX_ENTRIES,
    MAX_ENTRY_BYTES, MAX_MODELS, MAX_RULES, MAX_RULES_PER_NAME, MAX_SERVICES,
};
pub use draft::{CatalogueRestore, ConfigEdit};
pub use problem::{CatalogueProblem, EntryField, ProblemKind};
pub use resolve::{ResolvedModel, ResolvedService};

static DEFAULT_LIMITS: LazyLock<LimitsEntry> = LazyLock::new(LimitsEntry::default);

/// All entries of one revision, with the indexes that requests need.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    revision: ConfigRevision,
    encoded_bytes: usize,
    models: SharedMap<Slot<ModelEntry>>,
    adapters: SharedMap<Slot<AdapterEntry>>,
    rules: SharedMap<Slot<Arc<RuleEntry>>>,
    services: SharedMap<Slot<Arc<ServiceEntry>>>,
    endpoint_groups: SharedMap<Slot<Arc<EndpointGroupEntry>>>,
    limits: Option<Arc<Slot<LimitsEntry>>>,
    policy: Option<Slot<PolicyEntry>>,
    aliases: SharedMap<AliasRules>,
    name_uses: SharedMap<NameUse>,
    model_uses: SharedMap<ModelUse>,
    service_paths: SharedMap<ServicePath>,
}

impl Catalogue {
    /// Returns the revision.
    pub const fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Returns whether there is no entry.
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
        self.models.iter().map(|slot| &slot.entry)
    }

    /// Returns the adapters in no particular order.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterEntry> {
        self.adapters.iter().map(|slot| &slot.entry)
    }

    /// Returns the number of adapters.
    pub const fn adapter_count(&self) -> usize {
        self.adapters.len()
    }

    /// Returns the adapter of that name.
    pub fn adapter(&self, name: &AdapterName) -> Option<&AdapterEntry> {
        self.adapters.get(name.as_str()).map(|slot| &slot.entry)
    }

    /// Returns the rules in no particular order.
    pub fn rules(&self) -> impl Iterator<Item = &RuleEntry> {
        self.rules.iter().map(|slot| &*slot.entry)
    }

    /// Returns the services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.iter().map(|slot| &*slot.entry)
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.get(name.as_str()).map(|slot| &*slot.entry)
    }

    /// Returns the models that rules answer to, in no particular order.
    pub fn rule_models(&self) -> impl Iterator<Item = &ModelName> {
        self.aliases.iter().map(|alias| &alias.model)
    }

    /// Returns the groups of endpoints in no particular order.
    pub fn endpoint_groups(&self) -> impl Iterator<Item = &EndpointGroupEntry> {
        self.endpoint_groups.iter().map(|slot| &*slot.entry)
    }

    /// Returns whether `endpoint` is known to refuse orders with an old fencing number.
    ///
    /// The group with the closest pattern decides. An endpoint in no group does not check.
    pub fn checks_orders(&self, endpoint: &EndpointId) -> bool {
        self.endpoint_groups()
            .filter(|group| group.endpoints.matches(endpoint.as_str()))
            .max_by_key(|group| (group.endpoints.specificity(), &group.name))
            .is_some_and(|group| group.checks_orders)
    }

    /// Returns the limits.
    pub fn limits(&self) -> &LimitsEntry {
        self.limits
            .as_ref()
            .map_or(&DEFAULT_LIMITS, |slot| &slot.entry)
    }

    /// Returns the policy preset.
    pub fn policy(&self) -> PolicyPreset {
        self.policy
            .as_ref()
            .map_or_else(PolicyPreset::default, |slot| slot.entry.preset)
    }

    /// Returns the entry with `key`.
    pub fn entry(&self, key: &ConfigKey) -> Option<ConfigEntry> {
        match key {
            ConfigKey::Model(name) => self.models.get(name.as_str()).map(Slot::to_entry),
            ConfigKey::Adapter(name) => self.adapters.get(name.as_str()).map(Slot::to_entry),
            ConfigKey::Rule(name) => self.rules.get(name.as_str()).map(Slot::to_entry),
            ConfigKey::Service(name) => self.services.get(name.as_str()).map(Slot::to_entry),
            ConfigKey::EndpointGroup(name) => {
                self.endpoint_groups.get(name.as_str()).map(Slot::to_entry)
            }
            ConfigKey::Limits => self.limits.as_ref().map(|slot| slot.to_entry()),
            ConfigKey::Policy => self.policy.as_ref().map(Slot::to_entry),
        }
    }

    /// Returns the revision that last changed the entry with `key`, if it exists.
    pub fn entry_revision(&self, key: &ConfigKey) -> Option<ConfigRevision> {
        match key {
            ConfigKey::Model(name) => self.models.get(name.as_str()).map(Slot::revision),
            ConfigKey::Adapter(name) => self.adapters.get(name.as_str()).map(Slot::revision),
            ConfigKey::Rule(name) => self.rules.get(name.as_str()).map(Slot::revision),
            ConfigKey::Service(name) => self.services.get(name.as_str()).map(Slot::revision),
            ConfigKey::EndpointGroup(name) => {
                self.endpoint_groups.get(name.as_str()).map(Slot::revision)
            }
            ConfigKey::Limits => self.limits.as_ref().map(|slot| slot.revision()),
            ConfigKey::Policy => self.policy.as_ref().map(Slot::revision),
        }
    }

    /// Returns every entry with the revision that last changed it, in an order that depends on
    /// the keys alone.
    pub fn entries(&self) -> impl Iterator<Item = (ConfigRevision, ConfigEntry)> {
        self.models
            .iter()
            .map(Slot::to_pair)
            .chain(self.adapters.iter().map(Slot::to_pair))
            .chain(self.rules.iter().map(Slot::to_pair))
            .chain(self.services.iter().map(Slot::to_pair))
            .chain(self.endpoint_groups.iter().map(Slot::to_pair))
            .chain(self.limits.iter().map(|slot| slot.to_pair()))
            .chain(self.policy.iter().map(Slot::to_pair))
    }
}
