//! The values of the catalogue's indexes, which each edit keeps up to date.

use std::sync::Arc;

use amaranth_core::ids::{ModelName, RuleName, ServiceName};
use smallvec::SmallVec;

use crate::entries::RuleEntry;
use crate::shared_map::KeyedValue;

/// The rules for one model name, in the order in which they are tried.
#[derive(Debug, Clone)]
pub(super) struct AliasRules {
    pub(super) model: ModelName,
    pub(super) rules: SmallVec<[Arc<RuleEntry>; 1]>,
}

impl KeyedValue for AliasRules {
    fn key(&self) -> &str {
        self.model.as_str()
    }
}

/// The rules that have one name among their targets.
#[derive(Debug, Clone)]
pub(super) struct NameUse {
    pub(super) name: Arc<str>,
    pub(super) rules: SmallVec<[RuleName; 1]>,
}

impl KeyedValue for NameUse {
    fn key(&self) -> &str {
        &self.name
    }
}

/// The number of adapters that are based on one model.
#[derive(Debug, Clone)]
pub(super) struct ModelUse {
    pub(super) model: ModelName,
    pub(super) adapters: usize,
}

impl KeyedValue for ModelUse {
    fn key(&self) -> &str {
        self.model.as_str()
    }
}

/// The service that is reached under one path.
#[derive(Debug, Clone)]
pub(super) struct ServicePath {
    pub(super) path: Arc<str>,
    pub(super) service: ServiceName,
}

impl KeyedValue for ServicePath {
    fn key(&self) -> &str {
        &self.path
    }
}

/// Returns the names of a rule's targets that do not depend on the caller.
pub(super) fn fixed_targets(rule: &RuleEntry) -> impl Iterator<Item = &str> {
    rule.targets
        .iter()
        .filter_map(|target| target.name.fixed())
        .map(|(name, _)| name)
}
