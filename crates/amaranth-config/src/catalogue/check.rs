//! Validation of a catalogue after edits.
//!
//! Only entries that an edit affects are checked, so that the cost of a change does not depend on
//! the size of the catalogue.

use std::collections::BTreeSet;

use amaranth_core::ids::{AdapterVersion, RuleName};

use super::bounds::{
    MAX_ADAPTERS, MAX_CATALOGUE_BYTES, MAX_ENDPOINT_GROUPS, MAX_MODELS, MAX_PATH_BYTES, MAX_RULES,
    MAX_RULES_PER_NAME, MAX_SERVICES, RESERVED_SEGMENTS,
};
use super::chain::ChainSearch;
use super::draft::CatalogueDraft;
use super::index::fixed_targets;
use super::problem::{EntryField, ProblemKind};
use crate::entries::{
    AdapterEntry, ConfigEntry, ConfigKey, LimitsEntry, MAX_ADAPTER_VERSIONS, MAX_RULE_TARGETS,
    RuleEntry, RuleTarget, ServiceEntry,
};

impl CatalogueDraft {
    /// Checks all edited entries and reports their problems.
    pub(super) fn check(&mut self) {
        let edited = std::mem::take(&mut self.edited);
        for key in &edited {
            match self.catalogue.entry(key) {
                Some(entry) => self.check_entry(key, &entry),
                None => self.check_removed(key),
            }
            self.check_users(key, &edited);
        }
        for (key, model) in std::mem::take(&mut self.former_models) {
            self.check_rules_with_target(&key, model.as_str(), &edited);
        }
        self.check_totals();
    }

    fn check_entry(&mut self, key: &ConfigKey, entry: &ConfigEntry) {
        match entry {
            ConfigEntry::Model(entry) => self.check_name(key, entry.name.as_str()),
            ConfigEntry::Adapter(entry) => self.check_adapter(key, entry),
            ConfigEntry::Rule(entry) => self.check_rule(key, entry),
            ConfigEntry::Service(entry) => self.check_service(key, entry),
            ConfigEntry::Limits(entry) => self.check_limits(key, entry),
            ConfigEntry::EndpointGroup(_) | ConfigEntry::Policy(_) => {}
        }
    }

    /// Checks that a name is unique: models, adapters and the models of rules share a namespace.
    fn check_name(&mut self, key: &ConfigKey, name: &str) {
        let catalogue = &self.catalogue;
        let model = catalogue
            .models
            .get(name)
            .map(|versioned| ConfigKey::Model(versioned.entry.name.clone()));
        let adapter = catalogue
            .adapters
            .get(name)
            .map(|versioned| ConfigKey::Adapter(versioned.entry.name.clone()));
        let rule = catalogue
            .aliases
            .get(name)
            .and_then(|alias| alias.rules.first())
            .map(|rule| ConfigKey::Rule(rule.name.clone()));
        let is_rule = matches!(key, ConfigKey::Rule(_));
        let rule = rule.filter(|_| !is_rule);
        let other = [model, adapter, rule]
            .into_iter()
            .flatten()
            .find(|other| other != key);
        if let Some(other) = other {
            let field = if is_rule {
                EntryField::Model
            } else {
                EntryField::Entry
            };
            self.report(key, field, ProblemKind::NameTaken(other));
        }
    }

    fn check_adapter(&mut self, key: &ConfigKey, adapter: &AdapterEntry) {
        self.check_name(key, adapter.name.as_str());
        if self.catalogue.models.get(adapter.base.as_str()).is_none() {
            let name = adapter.base.to_string();
            self.report(key, EntryField::Base, ProblemKind::UnknownModel(name));
        }
        if !versions_are_valid(&adapter.versions) {
            let limit = MAX_ADAPTER_VERSIONS;
            self.report(
                key,
                EntryField::Versions,
                ProblemKind::BadVersions { limit },
            );
        } else if !adapter.versions.contains(&adapter.current) {
            let kind = ProblemKind::CurrentNotListed(adapter.current);
            self.report(key, EntryField::Current, kind);
        }
    }

    fn check_rule(&mut self, key: &ConfigKey, rule: &RuleEntry) {
        self.check_name(key, rule.model.as_str());
        let weighted = rule.targets.iter().any(|target| target.weight > 0);
        if !weighted || rule.targets.len() > MAX_RULE_TARGETS {
            let limit = MAX_RULE_TARGETS;
            self.report(key, EntryField::Use, ProblemKind::BadTargets { limit });
        }
        for target in &rule.targets {
            if let Some(kind) = self.target_problem(target) {
                self.report(key, EntryField::Use, kind);
            }
        }
        self.check_siblings(key, rule);
        if let Some(kind) = ChainSearch::new(&self.catalogue).find_problem(rule) {
            self.report(key, EntryField::Use, kind);
        }
    }

    fn target_problem(&self, target: &RuleTarget) -> Option<ProblemKind> {
        let (name, version) = target.name.fixed()?;
        let catalogue = &self.catalogue;
        let other_kind =
            catalogue.models.get(name).is_some() || catalogue.aliases.get(name).is_some();
        match (catalogue.adapters.get(name), version) {
            (None, _) if !other_kind => Some(ProblemKind::UnknownTarget(name.to_owned())),
            (None, Some(_)) => Some(ProblemKind::VersionOfModel(name.to_owned())),
            (Some(versioned), Some(version)) if !versioned.entry.versions.contains(&version) => {
                Some(ProblemKind::UnknownVersion {
                    adapter: name.to_owned(),
                    version,
                })
            }
            _ => None,
        }
    }

    /// Checks that rules for one model differ in their order, so that their names never decide,
    /// and that there are not too many rules for one model or target.
    fn check_siblings(&mut self, key: &ConfigKey, rule: &RuleEntry) {
        let Some(alias) = self.catalogue.aliases.get(rule.model.as_str()) else {
            return;
        };
        let same_order = alias
            .rules
            .iter()
            .find(|sibling| sibling.order == rule.order && sibling.name != rule.name)
            .map(|sibling| ConfigKey::Rule(sibling.name.clone()));
        let too_many_rules = alias.rules.len() > MAX_RULES_PER_NAME;
        if let Some(other) = same_order {
            self.report(key, EntryField::Order, ProblemKind::DuplicateOrder(other));
        }
        if too_many_rules {
            let kind = ProblemKind::TooMany {
                what: "rules for its model",
                limit: MAX_RULES_PER_NAME,
            };
            self.report(key, EntryField::Model, kind);
        }
        let too_many_users = fixed_targets(rule)
            .filter_map(|name| self.catalogue.name_uses.get(name))
            .any(|uses| uses.rules.len() > MAX_RULES_PER_NAME);
        if too_many_users {
            let kind = ProblemKind::TooMany {
                what: "rules with the same target",
                limit: MAX_RULES_PER_NAME,
            };
            self.report(key, EntryField::Use, kind);
        }
    }

    fn check_service(&mut self, key: &ConfigKey, service: &ServiceEntry) {
        let path = &*service.path;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./~".contains(&byte);
        let segments = || path.split('/').skip(1);
        let valid = path.starts_with('/')
            && path.len() <= MAX_PATH_BYTES
            && path.bytes().all(allowed)
            && segments().all(|segment| !matches!(segment, "" | "." | ".."));
        if !valid {
            let kind = ProblemKind::BadPath(path.to_owned());
            self.report(key, EntryField::Path, kind);
        } else if segments()
            .next()
            .is_some_and(|first| RESERVED_SEGMENTS.contains(&first))
        {
            let kind = ProblemKind::ReservedPath(path.to_owned());
            self.report(key, EntryField::Path, kind);
        }
    }

    fn check_limits(&mut self, key: &ConfigKey, limits: &LimitsEntry) {
        for kind in limits.range_problems() {
            self.report(key, EntryField::Limits, kind);
        }
    }

    fn check_removed(&mut self, key: &ConfigKey) {
        let ConfigKey::Model(name) = key else {
            return;
        };
        let adapters = self
            .catalogue
            .model_uses
            .get(name.as_str())
            .map_or(0, |uses| uses.adapters);
        if adapters > 0 {
            self.report(key, EntryField::Entry, ProblemKind::BaseInUse(adapters));
        }
    }

    /// Checks that unedited rules with the edited entry as a target remain valid.
    fn check_users(&mut self, key: &ConfigKey, edited: &BTreeSet<ConfigKey>) {
        let name = match key {
            ConfigKey::Model(name) => name.as_str(),
            ConfigKey::Adapter(name) => name.as_str(),
            _ => return,
        };
        self.check_rules_with_target(key, name, edited);
    }

    fn check_rules_with_target(
        &mut self,
        key: &ConfigKey,
        name: &str,
        edited: &BTreeSet<ConfigKey>,
    ) {
        let Some(uses) = self.catalogue.name_uses.get(name) else {
            return;
        };
        let broken: Vec<RuleName> = uses
            .rules
            .iter()
            .filter(|rule| !edited.contains(&ConfigKey::Rule((*rule).clone())))
            .filter(|rule| self.has_broken_target(rule))
            .cloned()
            .collect();
        for rule in broken {
            let other = ConfigKey::Rule(rule);
            self.report(key, EntryField::Entry, ProblemKind::InUse(other));
        }
    }

    fn has_broken_target(&self, rule: &RuleName) -> bool {
        let Some(versioned) = self.catalogue.rules.get(rule.as_str()) else {
            return false;
        };
        let mut targets = versioned.entry.targets.iter();
        targets.any(|target| self.target_problem(target).is_some())
    }

    fn check_totals(&mut self) {
        let catalogue = &self.catalogue;
        let totals = [
            ("models", catalogue.models.len(), MAX_MODELS),
            ("adapters", catalogue.adapters.len(), MAX_ADAPTERS),
            ("rules", catalogue.rules.len(), MAX_RULES),
            ("services", catalogue.services.len(), MAX_SERVICES),
            (
                "bytes of entries",
                catalogue.encoded_bytes,
                MAX_CATALOGUE_BYTES,
            ),
            (
                "endpoint groups",
                catalogue.endpoint_groups.len(),
                MAX_ENDPOINT_GROUPS,
            ),
        ];
        for (what, total, limit) in totals {
            if total > limit {
                let kind = ProblemKind::TotalExceeded { what, limit };
                self.report(&ConfigKey::Limits, EntryField::Entry, kind);
            }
        }
    }
}

fn versions_are_valid(versions: &[AdapterVersion]) -> bool {
    let positive = versions.first().is_some_and(|first| first.0 > 0);
    let ascending = versions.windows(2).all(|pair| pair[0] < pair[1]);
    positive && ascending && versions.len() <= MAX_ADAPTER_VERSIONS
}
