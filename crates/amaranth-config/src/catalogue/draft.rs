//! Edits of a catalogue, and drafts to which they are applied.

use std::collections::BTreeSet;
use std::sync::Arc;

use amaranth_core::ids::{ConfigRevision, ModelName, RuleName};
use postcard::ser_flavors::Size;
use postcard::serialize_with_flavor;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Catalogue;
use super::bounds::MAX_ENTRY_BYTES;
use super::index::{AliasRules, ModelUse, NameUse, ServicePath, fixed_targets};
use super::problem::{CatalogueProblem, EntryField, ProblemKind};
use super::versioned_entry::VersionedEntry;
use crate::entries::{AdapterEntry, ConfigEntry, ConfigKey, RuleEntry, ServiceEntry};
use crate::shared_map::{KeyedValue, SharedMap};

/// One edit of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigEdit {
    /// Adds an entry or replaces the one with the same key.
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
    /// Returns a catalogue of `revision` with all `edits` applied.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found when the resulting catalogue is not valid.
    pub fn with_edits(
        &self,
        revision: ConfigRevision,
        edits: &[ConfigEdit],
    ) -> Result<Self, Vec<CatalogueProblem>> {
        let mut draft = CatalogueDraft::new(self, revision);
        for edit in edits {
            draft.apply(edit);
        }
        draft.check();
        draft.finish()
    }
}

/// Builds a catalogue from the entries of a snapshot.
pub struct CatalogueBuilder {
    draft: CatalogueDraft,
}

impl Default for CatalogueBuilder {
    fn default() -> Self {
        Self::new()
    }
}

impl CatalogueBuilder {
    /// Creates a builder without entries.
    pub fn new() -> Self {
        Self {
            draft: CatalogueDraft::new(&Catalogue::default(), ConfigRevision::default()),
        }
    }

    /// Returns the number of entries that were added.
    pub fn len(&self) -> usize {
        self.draft.catalogue.len()
    }

    /// Returns whether no entry was added.
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
    /// Returns every problem that was found when the entries are not a valid catalogue.
    pub fn finish(mut self, revision: ConfigRevision) -> Result<Catalogue, Vec<CatalogueProblem>> {
        self.draft.catalogue.revision = revision;
        self.draft.check();
        self.draft.finish()
    }
}

/// A catalogue that is being edited, with the problems found so far.
pub(super) struct CatalogueDraft {
    pub(super) catalogue: Catalogue,
    pub(super) edited: BTreeSet<ConfigKey>,
    /// The former models of edited or removed rules, with the keys of the rules.
    pub(super) former_models: Vec<(ConfigKey, ModelName)>,
    pub(super) problems: Vec<CatalogueProblem>,
}

impl CatalogueDraft {
    fn new(catalogue: &Catalogue, revision: ConfigRevision) -> Self {
        let mut catalogue = catalogue.clone();
        catalogue.revision = revision;
        Self {
            catalogue,
            edited: BTreeSet::new(),
            former_models: Vec::new(),
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

    pub(super) fn report(&mut self, key: &ConfigKey, field: EntryField, kind: ProblemKind) {
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
                catalogue.models.insert(VersionedEntry { revision, entry });
            }
            ConfigEntry::Adapter(entry) => self.put_adapter(entry),
            ConfigEntry::Rule(entry) => self.put_rule(entry),
            ConfigEntry::Service(entry) => self.put_service(entry),
            ConfigEntry::EndpointGroup(entry) => {
                let entry = Arc::new(entry);
                catalogue
                    .endpoint_groups
                    .insert(VersionedEntry { revision, entry });
            }
            ConfigEntry::Limits(entry) => {
                catalogue.limits = Some(Arc::new(VersionedEntry { revision, entry }));
            }
            ConfigEntry::Policy(entry) => {
                catalogue.policy = Some(VersionedEntry { revision, entry });
            }
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
            self.report(key, EntryField::Entry, ProblemKind::NotFound);
        }
    }

    fn put_adapter(&mut self, mut entry: AdapterEntry) {
        self.remove_adapter(entry.name.as_str());
        // All adapters of a base model share one allocation of its name.
        if let Some(model) = self.catalogue.models.get(entry.base.as_str()) {
            entry.base = model.entry.name.clone();
        }
        self.count_adapter(&entry.base, 1);
        let revision = self.catalogue.revision;
        self.catalogue
            .adapters
            .insert(VersionedEntry { revision, entry });
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
        let adapters = uses.get(model.as_str()).map_or(0, |uses| uses.adapters);
        uses.insert(ModelUse {
            model: model.clone(),
            adapters: adapters.saturating_add_signed(difference),
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
        self.catalogue
            .rules
            .insert(VersionedEntry { revision, entry });
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
        let mut name_use = uses.get(name).cloned().unwrap_or_else(|| NameUse {
            name: Arc::from(name),
            rules: SmallVec::new(),
        });
        if !name_use.rules.contains(rule) {
            name_use.rules.push(rule.clone());
            uses.insert(name_use);
        }
    }

    fn remove_rule(&mut self, name: &str) -> bool {
        let Some(removed) = self.catalogue.rules.remove(name) else {
            return false;
        };
        let rule = removed.entry;
        let key = ConfigKey::Rule(rule.name.clone());
        self.former_models.push((key, rule.model.clone()));
        for target in fixed_targets(&rule) {
            update_or_remove(&mut self.catalogue.name_uses, target, |name_use| {
                name_use.rules.retain(|user| *user != rule.name);
                name_use.rules.is_empty()
            });
        }
        update_or_remove(&mut self.catalogue.aliases, rule.model.as_str(), |alias| {
            alias.rules.retain(|other| other.name != rule.name);
            alias.rules.is_empty()
        });
        true
    }

    fn put_service(&mut self, entry: ServiceEntry) {
        self.remove_service(entry.name.as_str());
        let key = ConfigKey::Service(entry.name.clone());
        let replaced = self.catalogue.service_paths.insert(ServicePath {
            path: Arc::clone(&entry.path),
            service: entry.name.clone(),
        });
        if let Some(replaced) = replaced {
            let other = ConfigKey::Service(replaced.service);
            self.report(&key, EntryField::Path, ProblemKind::PathTaken(other));
        }
        let entry = Arc::new(entry);
        let revision = self.catalogue.revision;
        self.catalogue
            .services
            .insert(VersionedEntry { revision, entry });
    }

    fn remove_service(&mut self, name: &str) -> bool {
        let Some(removed) = self.catalogue.services.remove(name) else {
            return false;
        };
        let paths = &mut self.catalogue.service_paths;
        let path = &removed.entry.path;
        // Another service in the same change may use the path now.
        if paths
            .get(path)
            .is_some_and(|current| current.service.as_str() == name)
        {
            paths.remove(path);
        }
        true
    }
}

/// Returns the size of `entry` in its record encoding, in bytes.
fn encoded_bytes(entry: &ConfigEntry) -> usize {
    // Entries always encode; an entry that did not would be refused as too large.
    serialize_with_flavor(entry, Size::default()).unwrap_or(usize::MAX >> 1)
}

/// Updates the value with `key`, and removes it when `update` returns true for an empty value.
fn update_or_remove<V: KeyedValue>(
    map: &mut SharedMap<V>,
    key: &str,
    update: impl FnOnce(&mut V) -> bool,
) {
    let Some(mut value) = map.get(key).cloned() else {
        return;
    };
    if update(&mut value) {
        map.remove(key);
    } else {
        map.insert(value);
    }
}
