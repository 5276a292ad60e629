//! Edits of a catalogue, and the checks that their outcome must pass.
//!
//! Only what an edit touches is checked again, so that the cost of a change does not depend on
//! how much the catalogue holds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use amaranth_core::ids::{AdapterVersion, ConfigRevision, ModelName, RuleName};
use postcard::ser_flavors::Size;
use postcard::serialize_with_flavor;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Catalogue;
use super::index::{AliasRules, ModelUse, NameUse, ServicePath};
use super::problem::{CatalogueProblem, EntryField, ProblemKind};
use super::slot::Slot;
use crate::entries::{
    AdapterEntry, ConfigEntry, ConfigKey, LimitsEntry, MAX_ADAPTER_VERSIONS, MAX_RULE_TARGETS,
    RuleEntry, RuleTarget, ServiceEntry,
};
use crate::shared_map::{KeyedValue, SharedMap};

/// Most base models.
pub const MAX_MODELS: usize = 256;

/// Most entries of all kinds.
pub const MAX_ENTRIES: usize =
    MAX_MODELS + MAX_ADAPTERS + MAX_RULES + MAX_SERVICES + MAX_ENDPOINT_GROUPS + 2;

/// Largest sum of all entries as records carry them, in bytes.
pub const MAX_CATALOGUE_BYTES: usize = 24 << 20;

/// Largest entry as records carry it, in bytes.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;

/// Most adapters.
pub const MAX_ADAPTERS: usize = 150_000;

/// Most rules.
pub const MAX_RULES: usize = 20_000;

/// Most rules for one model, and most rules with one target.
pub const MAX_RULES_PER_NAME: usize = 1_024;

/// Most plain services.
pub const MAX_SERVICES: usize = 1_024;

/// Most groups of endpoints.
pub const MAX_ENDPOINT_GROUPS: usize = 1_024;

/// Most rules that one request may pass one after the other.
pub const MAX_ALIAS_DEPTH: usize = 8;

/// Longest path of a service, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// First segments of paths that callers reach the system itself by.
const RESERVED_SEGMENTS: [&str; 1] = ["v1"];

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigEdit {
    /// Adds an entry or takes the place of the one with its key.
    Put(ConfigEntry),
    /// Removes an entry.
    Remove(ConfigKey),
}

impl ConfigEdit {
    /// Returns the key of the entry that is edited.
    pub fn key(&self) -> ConfigKey {
        match self {
            Self::Put(entry) => entry.key(),
            Self::Remove(key) => key.clone(),
        }
    }
}

impl Catalogue {
    /// Returns a catalogue of `revision` with all `edits` made, or every problem found.
    ///
    /// # Errors
    ///
    /// Returns the problems when the outcome is not valid; `self` is unchanged in any case.
    pub fn with_edits(
        &self,
        revision: ConfigRevision,
        edits: &[ConfigEdit],
    ) -> Result<Self, Vec<CatalogueProblem>> {
        let mut draft = CatalogueDraft::open(self, revision);
        for edit in edits {
            draft.apply(edit);
        }
        draft.check();
        draft.finish()
    }
}

/// A catalogue that is put together again from the entries of a snapshot.
pub struct CatalogueRestore {
    draft: CatalogueDraft,
}

impl CatalogueRestore {
    /// Opens an empty catalogue.
    pub fn open() -> Self {
        Self {
            draft: CatalogueDraft::open(&Catalogue::default(), ConfigRevision::default()),
        }
    }

    /// Returns the number of entries so far.
    pub fn len(&self) -> usize {
        self.draft.catalogue.len()
    }

    /// Returns whether there is no entry so far.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an entry with the revision that last changed it.
    pub fn add(&mut self, changed: ConfigRevision, entry: ConfigEntry) {
        self.draft.catalogue.revision = changed;
        self.draft.apply(&ConfigEdit::Put(entry));
    }

    /// Returns the catalogue of `revision`.
    ///
    /// # Errors
    ///
    /// Returns the problems when the entries don't fit together.
    pub fn finish(mut self, revision: ConfigRevision) -> Result<Catalogue, Vec<CatalogueProblem>> {
        self.draft.catalogue.revision = revision;
        self.draft.check();
        self.draft.finish()
    }
}

/// A catalogue that is being changed.
struct CatalogueDraft {
    catalogue: Catalogue,
    edited: BTreeSet<ConfigKey>,
    /// Models that an edited rule answered to before.
    left_models: Vec<(ConfigKey, ModelName)>,
    problems: Vec<CatalogueProblem>,
}

impl CatalogueDraft {
    fn open(catalogue: &Catalogue, revision: ConfigRevision) -> Self {
        let mut catalogue = catalogue.clone();
        catalogue.revision = revision;
        Self {
            catalogue,
            edited: BTreeSet::new(),
            left_models: Vec::new(),
            problems: Vec::new(),
        }
    }

    fn finish(self) -> Result<Catalogue, Vec<CatalogueProblem>> {
        if self.problems.is_empty() {
            Ok(self.catalogue)
        } else {
            Err(self.problems)
        }
    }

    fn report(&mut self, key: &ConfigKey, field: EntryField, kind: ProblemKind) {
        self.problems.push(CatalogueProblem {
            key: key.clone(),
            field,
            kind,
        });
    }

    fn apply(&mut self, edit: &ConfigEdit) {
        let key = edit.key();
        if !self.edited.insert(key.clone()) {
            self.report(&key, EntryField::Entry, ProblemKind::EditedTwice);
            return;
        }
        let replaced = self.catalogue.entry(&key);
        self.catalogue.encoded_bytes -= replaced.as_ref().map_or(0, encoded_bytes);
        match edit {
            ConfigEdit::Put(entry) => self.put(entry),
            ConfigEdit::Remove(key) => self.remove(key),
        }
    }

    fn put(&mut self, entry: &ConfigEntry) {
        let bytes = encoded_bytes(entry);
        self.catalogue.encoded_bytes += bytes;
        if bytes > MAX_ENTRY_BYTES {
            let kind = ProblemKind::TooLarge(MAX_ENTRY_BYTES);
            self.report(&entry.key(), EntryField::Entry, kind);
        }
        let catalogue = &mut self.catalogue;
        let revision = catalogue.revision;
        match entry.clone() {
            ConfigEntry::Model(entry) => {
                catalogue.models.insert(Slot { revision, entry });
            }
            ConfigEntry::Adapter(entry) => self.put_adapter(entry),
            ConfigEntry::Rule(entry) => self.put_rule(entry),
            ConfigEntry::Service(entry) => self.put_service(entry),
            ConfigEntry::EndpointGroup(entry) => {
                let entry = Arc::new(entry);
                catalogue.endpoint_groups.insert(Slot { revision, entry });
            }
            ConfigEntry::Limits(entry) => {
                catalogue.limits = Some(Arc::new(Slot { revision, entry }));
            }
            ConfigEntry::Policy(entry) => catalogue.policy = Some(Slot { revision, entry }),
        }
    }

    fn remove(&mut self, key: &ConfigKey) {
        let catalogue = &mut self.catalogue;
        let existed = match key {
            ConfigKey::Model(name) => catalogue.models.remove(name.as_str()).is_some(),
            ConfigKey::Adapter(name) => self.remove_adapter(name.as_str()),
            ConfigKey::Rule(name) => self.remove_rule(name.as_str()),
            ConfigKey::Service(name) => self.remove_service(name.as_str()),
            ConfigKey::EndpointGroup(name) => {
                catalogue.endpoint_groups.remove(name.as_str()).is_some()
            }
            ConfigKey::Limits => catalogue.limits.take().is_some(),
            ConfigKey::Policy => catalogue.policy.take().is_some(),
        };
        if !existed {
            self.report(key, EntryField::Entry, ProblemKind::Absent);
        }
    }

    fn put_adapter(&mut self, mut entry: AdapterEntry) {
        self.remove_adapter(entry.name.as_str());
        // Adapters share the text of their base model's name.
        if let Some(model) = self.catalogue.models.get(entry.base.as_str()) {
            entry.base = model.entry.name.clone();
        }
        self.count_adapter(&entry.base, 1);
        let revision = self.catalogue.revision;
        self.catalogue.adapters.insert(Slot { revision, entry });
    }

    fn remove_adapter(&mut self, name: &str) -> bool {
        let Some(removed) = self.catalogue.adapters.remove(name) else {
            return false;
        };
        self.count_adapter(&removed.entry.base, -1);
        true
    }

    fn count_adapter(&mut self, model: &ModelName, difference: isize) {
        let uses = &mut self.catalogue.model_uses;
        let known = uses.get(model.as_str()).map_or(0, |known| known.adapters);
        uses.insert(ModelUse {
            model: model.clone(),
            adapters: known.saturating_add_signed(difference),
        });
    }

    fn put_rule(&mut self, entry: RuleEntry) {
        self.remove_rule(entry.name.as_str());
        let entry = Arc::new(entry);
        self.index_alias(&entry);
        for name in fixed_targets(&entry) {
            self.index_use(name, &entry.name);
        }
        let revision = self.catalogue.revision;
        self.catalogue.rules.insert(Slot { revision, entry });
    }

    fn index_alias(&mut self, rule: &Arc<RuleEntry>) {
        let aliases = &mut self.catalogue.aliases;
        let mut rules = aliases
            .get(rule.model.as_str())
            .map_or_else(SmallVec::new, |alias| alias.rules.clone());
        rules.push(Arc::clone(rule));
        rules.sort_by(|left, right| (left.order, &left.name).cmp(&(right.order, &right.name)));
        let model = rule.model.clone();
        aliases.insert(AliasRules { model, rules });
    }

    fn index_use(&mut self, name: &str, rule: &RuleName) {
        let uses = &mut self.catalogue.name_uses;
        let mut known = uses.get(name).cloned().unwrap_or_else(|| NameUse {
            name: Arc::from(name),
            rules: SmallVec::new(),
        });
        if !known.rules.contains(rule) {
            known.rules.push(rule.clone());
            uses.insert(known);
        }
    }

    fn remove_rule(&mut self, name: &str) -> bool {
        let Some(removed) = self.catalogue.rules.remove(name) else {
            return false;
        };
        let rule = removed.entry;
        let key = ConfigKey::Rule(rule.name.clone());
        self.left_models.push((key, rule.model.clone()));
        for target in fixed_targets(&rule) {
            drop_from(&mut self.catalogue.name_uses, target, |known| {
                known.rules.retain(|user| *user != rule.name);
                known.rules.is_empty()
            });
        }
        drop_from(&mut self.catalogue.aliases, rule.model.as_str(), |alias| {
            alias.rules.retain(|known| known.name != rule.name);
            alias.rules.is_empty()
        });
        true
    }

    fn put_service(&mut self, entry: ServiceEntry) {
        self.remove_service(entry.name.as_str());
        let key = ConfigKey::Service(entry.name.clone());
        let holder = self.catalogue.service_paths.insert(ServicePath {
            path: Arc::clone(&entry.path),
            service: entry.name.clone(),
        });
        if let Some(holder) = holder {
            let other = ConfigKey::Service(holder.service);
            self.report(&key, EntryField::Path, ProblemKind::PathTaken(other));
        }
        let entry = Arc::new(entry);
        let revision = self.catalogue.revision;
        self.catalogue.services.insert(Slot { revision, entry });
    }

    fn remove_service(&mut self, name: &str) -> bool {
        let Some(removed) = self.catalogue.services.remove(name) else {
            return false;
        };
        let paths = &mut self.catalogue.service_paths;
        let path = &removed.entry.path;
        // Another service of the same change may have taken the path over.
        if paths
            .get(path)
            .is_some_and(|held| held.service.as_str() == name)
        {
            paths.remove(path);
        }
        true
    }

    fn check(&mut self) {
        let edited = std::mem::take(&mut self.edited);
        for key in &edited {
            match self.catalogue.entry(key) {
                Some(entry) => self.check_entry(key, &entry),
                None => self.check_removed(key),
            }
            self.check_users(key, &edited);
        }
        for (key, model) in std::mem::take(&mut self.left_models) {
            self.check_users_of(&key, model.as_str(), &edited);
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

    /// Models, adapters and the models of rules share one name space.
    fn check_name(&mut self, key: &ConfigKey, name: &str) {
        let catalogue = &self.catalogue;
        let model = catalogue
            .models
            .get(name)
            .map(|slot| ConfigKey::Model(slot.entry.name.clone()));
        let adapter = catalogue
            .adapters
            .get(name)
            .map(|slot| ConfigKey::Adapter(slot.entry.name.clone()));
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
        if let Some(kind) = ChainSearch::open(&self.catalogue).problem_of(rule) {
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
            (Some(slot), Some(version)) if !slot.entry.versions.contains(&version) => {
                Some(ProblemKind::UnknownVersion {
                    adapter: name.to_owned(),
                    version,
                })
            }
            _ => None,
        }
    }

    /// Two rules for one model must differ in their order, or the names would decide.
    fn check_siblings(&mut self, key: &ConfigKey, rule: &RuleEntry) {
        let Some(alias) = self.catalogue.aliases.get(rule.model.as_str()) else {
            return;
        };
        let same_order = alias
            .rules
            .iter()
            .find(|sibling| sibling.order == rule.order && sibling.name != rule.name)
            .map(|sibling| ConfigKey::Rule(sibling.name.clone()));
        let crowded = alias.rules.len() > MAX_RULES_PER_NAME;
        if let Some(other) = same_order {
            self.report(key, EntryField::Order, ProblemKind::SameOrder(other));
        }
        if crowded {
            let kind = ProblemKind::TooMany {
                what: "rules for its model",
                limit: MAX_RULES_PER_NAME,
            };
            self.report(key, EntryField::Model, kind);
        }
        let busiest = fixed_targets(rule)
            .filter_map(|name| self.catalogue.name_uses.get(name))
            .any(|uses| uses.rules.len() > MAX_RULES_PER_NAME);
        if busiest {
            let kind = ProblemKind::TooMany {
                what: "rules with the same target",
                limit: MAX_RULES_PER_NAME,
            };
            self.report(key, EntryField::Use, kind);
        }
    }

    fn check_service(&mut self, key: &ConfigKey, service: &ServiceEntry) {
        let path = &*service.path;
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./~".contains(&byte);
        let segments = || path.split('/').skip(1);
        let valid = path.starts_with('/')
            && path.len() <= MAX_PATH_BYTES
            && path.bytes().all(plain)
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
            .map_or(0, |known| known.adapters);
        if adapters > 0 {
            self.report(key, EntryField::Entry, ProblemKind::StillBase(adapters));
        }
    }

    /// Rules that the change does not touch must still find their targets.
    fn check_users(&mut self, key: &ConfigKey, edited: &BTreeSet<ConfigKey>) {
        let name = match key {
            ConfigKey::Model(name) => name.as_str(),
            ConfigKey::Adapter(name) => name.as_str(),
            _ => return,
        };
        self.check_users_of(key, name, edited);
    }

    fn check_users_of(&mut self, key: &ConfigKey, name: &str, edited: &BTreeSet<ConfigKey>) {
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
            self.report(key, EntryField::Entry, ProblemKind::StillUsed(other));
        }
    }

    fn has_broken_target(&self, rule: &RuleName) -> bool {
        let Some(slot) = self.catalogue.rules.get(rule.as_str()) else {
            return false;
        };
        let mut targets = slot.entry.targets.iter();
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

/// Returns the size of `entry` as records carry it.
fn encoded_bytes(entry: &ConfigEntry) -> usize {
    // Every entry encodes; one that would not is refused as too large.
    serialize_with_flavor(entry, Size::default()).unwrap_or(usize::MAX >> 1)
}

/// Returns the names among a rule's targets that do not depend on the caller.
fn fixed_targets(rule: &RuleEntry) -> impl Iterator<Item = &str> {
    rule.targets
        .iter()
        .filter_map(|target| target.name.fixed())
        .map(|(name, _)| name)
}

/// Changes the value with `key` by `empty`, and removes it when that returns true.
fn drop_from<V: KeyedValue>(map: &mut SharedMap<V>, key: &str, empty: impl FnOnce(&mut V) -> bool) {
    let Some(mut value) = map.get(key).cloned() else {
        return;
    };
    if empty(&mut value) {
        map.remove(key);
    } else {
        map.insert(value);
    }
}

fn versions_are_valid(versions: &[AdapterVersion]) -> bool {
    let counted = versions.first().is_some_and(|first| first.0 > 0);
    let ascending = versions.windows(2).all(|pair| pair[0] < pair[1]);
    counted && ascending && versions.len() <= MAX_ADAPTER_VERSIONS
}

/// Looks for chains of rules that lead in a circle or are too long.
struct ChainSearch<'a> {
    catalogue: &'a Catalogue,
    depths: BTreeMap<&'a str, usize>,
}

impl<'a> ChainSearch<'a> {
    const fn open(catalogue: &'a Catalogue) -> Self {
        Self {
            catalogue,
            depths: BTreeMap::new(),
        }
    }

    /// Returns what is wrong with the chains that pass through `rule`.
    fn problem_of(mut self, rule: &'a RuleEntry) -> Option<ProblemKind> {
        let mut path = Vec::new();
        let below = match self.depth_below(rule.model.as_str(), &mut path) {
            Ok(depth) => depth,
            Err(problem) => return Some(problem),
        };
        self.depths.clear();
        let above = self.depth_above(rule.model.as_str());
        let limit = MAX_ALIAS_DEPTH;
        (above + below > limit + 1).then_some(ProblemKind::TooDeep { limit })
    }

    /// Returns the number of rules on the longest way down from `model`.
    fn depth_below(
        &mut self,
        model: &'a str,
        path: &mut Vec<&'a str>,
    ) -> Result<usize, ProblemKind> {
        if let Some(start) = path.iter().position(|passed| *passed == model) {
            let circle = path[start..].iter().chain([&model]);
            return Err(ProblemKind::Cycle(
                circle.map(|name| (*name).to_owned()).collect(),
            ));
        }
        if let Some(depth) = self.depths.get(model) {
            return Ok(*depth);
        }
        let Some(alias) = self.catalogue.aliases.get(model) else {
            return Ok(0);
        };
        if path.len() > MAX_ALIAS_DEPTH {
            let limit = MAX_ALIAS_DEPTH;
            return Err(ProblemKind::TooDeep { limit });
        }
        path.push(model);
        let mut deepest = 0;
        for name in alias.rules.iter().flat_map(|rule| fixed_targets(rule)) {
            deepest = deepest.max(self.depth_below(name, path)?);
        }
        path.pop();
        self.depths.insert(model, deepest + 1);
        Ok(deepest + 1)
    }

    /// Returns the number of rules on the longest way up from `model`, itself included.
    ///
    /// It is called only when no circle passes through `model`.
    fn depth_above(&mut self, model: &'a str) -> usize {
        if let Some(depth) = self.depths.get(model) {
            return *depth;
        }
        // The entry cuts circles that lie above, which the rules on them report themselves.
        self.depths.insert(model, 1);
        let users = self.catalogue.name_uses.get(model);
        let mut highest = 0;
        for rule in users.into_iter().flat_map(|uses| &uses.rules) {
            if let Some(slot) = self.catalogue.rules.get(rule.as_str()) {
                highest = highest.max(self.depth_above(slot.entry.model.as_str()));
            }
        }
        self.depths.insert(model, highest + 1);
        highest + 1
    }
}
